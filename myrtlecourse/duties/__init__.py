"""Duties that one router holds at a time: several fenced leases over one fleet, and their holders' orders."""
