"""A process in virtual time with a clock of its own, that may stand still with what comes for it waiting."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from myrtlecourse.sim.core import Core, Event

EventT = TypeVar("EventT")  # what it is told


class SimulatedProcess(Generic[EventT]):
    """What such processes have in common; what an event does is in `post`."""

    def __init__(self, core: Core, chance: random.Random, name: str, rate: float) -> None:
        """Its clock runs `rate` times as fast as true time, from anywhere."""
        self.core = core
        self.name = name
        self.rate = rate
        self.offset = chance.uniform(0.0, 1e6)
        self.able = True
        self.stopped = False
        self.deferred: list[EventT] = []  # what comes while it stands still
        self.wake: Event | None = None
        self.boots = 0

    def clock(self) -> float:
        """Its own monotonic clock."""
        return self.offset + self.rate * self.core.now

    def post(self, event: EventT) -> None:
        """It is told something."""
        raise NotImplementedError

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call once its clock shows a time, in place of the call before; at infinity never."""
        if self.wake is not None:
            self.wake.cancel()
        if at < float("inf"):
            self.wake = self.core.call_after(max(0.0, (at - self.clock()) / self.rate), call)

    def discard_pending(self) -> None:
        """The process dies: nothing waits for it, and nothing is called."""
        self.stopped = False
        self.deferred.clear()
        if self.wake is not None:
            self.wake.cancel()

    def stop(self) -> None:
        """It stands still (SIGSTOP)."""
        self.stopped = True

    def resume(self) -> None:
        """It goes on where it stood, with all that came meanwhile."""
        self.stopped = False
        events, self.deferred = self.deferred, []
        for event in events:
            self.post(event)
