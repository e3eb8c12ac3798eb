"""Duties that one router holds at a time: many fenced leases over one fleet, and their holders' orders."""
