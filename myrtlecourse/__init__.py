"""myrtlecourse: a router in front of a fleet of cache servers."""

from myrtlecourse import interface
from myrtlecourse.policy import Router

__all__ = ["Router", "interface"]
