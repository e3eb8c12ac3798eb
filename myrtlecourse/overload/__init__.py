"""Admission control: protects the router's own processor core from overload."""
