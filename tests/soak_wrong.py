"""A real router that breaks a rule on purpose, named by its argument; a soak test must catch it."""

from __future__ import annotations

import itertools
import os
import sys
from typing import Any

from myrtlecourse import __main__ as program
from myrtlecourse.net import host
from myrtlecourse.net.clients import ClientConnection
from myrtlecourse.net.request_log import CloseReason
from myrtlecourse.net.reuse_delay import ReuseDelay
from myrtlecourse.service import Service


def ends_at_once() -> None:
    """Exits at once on SIGTERM, without answering the requests in flight."""

    async def end(self: Service) -> None:
        os._exit(0)

    Service._shut_down = end  # type: ignore[method-assign]


def misses_deadlines() -> None:
    """Waits for servers beyond the deadline of the request."""
    host.DEADLINE_MARGIN = -2.0


def tells_deadlines_late() -> None:
    """Tells servers a deadline slightly beyond the request's."""
    host.DEADLINE_MARGIN = -0.3


def forgets_drains() -> None:
    """Ignores drains: leaves servers that are not ready out of each list update."""
    original_apply_list = host.Host.apply_list

    def take_ready(self: Any, update: Any) -> None:
        ready = [m for m in update.members if m.entry.ready]
        original_apply_list(self, type(update)(update.kind, ready))

    host.Host.apply_list = take_ready  # type: ignore[method-assign]


def reuses_connections_at_once() -> None:
    """Writes the next request on a connection as soon as its last answer is complete."""
    ReuseDelay.seconds = lambda self, now, scarce=False: 0.0  # type: ignore[method-assign]


def closes_connections_that_owe() -> None:
    """Closes the connections of a share of clients as idle while they wait for an answer."""
    original_process = ClientConnection._process_command
    commands = itertools.count()

    def process_and_close(self: ClientConnection, parts: Any) -> None:
        original_process(self, parts)
        if next(commands) % 50 == 49 and self.slots:
            self.close(CloseReason.IDLE)

    ClientConnection._process_command = process_and_close  # type: ignore[method-assign]


VARIANTS = (
    closes_connections_that_owe,
    ends_at_once,
    misses_deadlines,
    tells_deadlines_late,
    forgets_drains,
    reuses_connections_at_once,
)

if __name__ == "__main__":
    next(variant for variant in VARIANTS if variant.__name__ == sys.argv[1])()
    sys.argv = sys.argv[:1]
    sys.exit(program.main())
