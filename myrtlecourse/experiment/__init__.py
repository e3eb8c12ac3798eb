"""Experiments in the simulator: grids and samples of settings over paired seeds."""
