"""Disseminates changes of configuration and purges to every member of a fleet, in one order, and determines
when all members have applied them. `messages` defines the terms."""
