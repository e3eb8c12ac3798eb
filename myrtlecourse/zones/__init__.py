"""Leaving zones as a fleet: merges the routers' evidence on each zone, applies one rule to it, and makes
orders for the decision module."""
