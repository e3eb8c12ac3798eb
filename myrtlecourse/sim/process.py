"""A process in virtual time with a clock of its own, which can be stopped while its events are queued."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from myrtlecourse.sim.core import Core, Event

EventT = TypeVar("EventT")  # the events of the core that the process runs


class SimulatedProcess(Generic[EventT]):
    """Base class of simulated processes; subclasses handle events in `post`."""

    def __init__(self, core: Core, rng: random.Random, name: str, rate: float) -> None:
        """Create a process whose clock runs `rate` times as fast as true time, from a random offset."""
        self.core = core
        self.name = name
        self.rate = rate
        self.offset = rng.uniform(0.0, 1e6)
        self.able = True  # whether the process reports that it can do its work
        self.stopped = False
        self.deferred: list[EventT] = []  # events that arrive while the process is stopped
        self.timer: Event | None = None
        self.boots = 0  # number of starts

    def clock(self) -> float:
        """Return the time of the process's own monotonic clock (s)."""
        return self.offset + self.rate * self.core.now

    def post(self, event: EventT) -> None:
        """Pass an event to the process."""
        raise NotImplementedError

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Set the process's only timer to a time of its clock; infinity clears it."""
        if self.timer is not None:
            self.timer.cancel()
        if at < float("inf"):
            self.timer = self.core.call_after(max(0.0, (at - self.clock()) / self.rate), callback)

    def discard_pending(self) -> None:
        """Discard deferred events and the timer when the process is killed."""
        self.stopped = False
        self.deferred.clear()
        if self.timer is not None:
            self.timer.cancel()

    def stop(self) -> None:
        """Stop the process, as SIGSTOP does."""
        self.stopped = True

    def resume(self) -> None:
        """Resume the process, which then handles all events that arrived in the meantime."""
        self.stopped = False
        events, self.deferred = self.deferred, []
        for event in events:
            self.post(event)
