"""A real router that breaks a rule on purpose, by the name of its argument: soaks must catch it."""

from __future__ import annotations

import os
import sys
from typing import Any

from myrtlecourse import __main__ as program
from myrtlecourse.net import host
from myrtlecourse.service import Service


def ends_at_once() -> None:
    """Leaves what it has taken when it is told to end."""

    async def end(self: Service) -> None:
        os._exit(0)

    Service._end = end  # type: ignore[method-assign]


def misses_deadlines() -> None:
    """Waits on for servers that don't answer."""
    host.DEADLINE_MARGIN = -2.0


def forgets_drains() -> None:
    """Takes servers that drain for ready ones."""
    told = host.Host.apply_list

    def take(self: Any, update: Any) -> None:
        ready = [m for m in update.members if m.entry.ready]
        told(self, type(update)(update.kind, ready))

    host.Host.apply_list = take  # type: ignore[method-assign]


WAYS = (ends_at_once, misses_deadlines, forgets_drains)

if __name__ == "__main__":
    next(way for way in WAYS if way.__name__ == sys.argv[1])()
    sys.argv = sys.argv[:1]
    sys.exit(program.main())
