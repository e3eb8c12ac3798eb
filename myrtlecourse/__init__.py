"""myrtlecourse: a router in front of a fleet of cache servers."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from myrtlecourse import interface
    from myrtlecourse.policy import Router

__all__ = ["Router", "interface"]


def __getattr__(name: str) -> Any:
    """Import what this package exports when it is first used.

    The program imports this package before it can handle signals, so that an import here would delay that.
    """
    if name == "Router":
        return importlib.import_module("myrtlecourse.policy").Router
    if name == "interface":
        return importlib.import_module("myrtlecourse.interface")
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
