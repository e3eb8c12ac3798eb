"""Measurements of the router on this machine; each module is a command (`python -m bench.NAME --help`)."""
