"""Discrete-event simulation: one heap of events and a clock in integer microseconds, without a wall clock.

Two events of the same microsecond run in the order in which they were scheduled. Each source of randomness
has a random stream of its own, so that a change in one part of a simulation does not affect the others.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

MICROSECONDS = 1_000_000  # per second
# Unix time at which simulations start; not 0, as a start time of 0 stands for long ago
START_TIME = 1_000 * MICROSECONDS


class Event:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancel the call and drops its arguments."""
        self.callback = None
        self.arguments = ()


class Core:
    """The clock and the scheduled events."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.time = START_TIME  # microseconds
        self.heap: list[tuple[int, int, Event]] = []
        self.events_scheduled = 0
        self.events_run = 0

    @property
    def now(self) -> float:
        """The time in seconds."""
        return self.time / MICROSECONDS

    def stream(self, name: str) -> random.Random:
        """Return a new random stream; the same name and seed give the same numbers."""
        return random.Random(f"{self.seed} {name}")

    def call_at(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> Event:
        """Schedule a call at a time in seconds; a time in the past means now."""
        self.events_scheduled += 1
        event = Event(callback, arguments)
        # rounded up, so that a callback never runs before the time for which it was scheduled
        when = max(self.time, -int(-seconds * MICROSECONDS // 1))
        heapq.heappush(self.heap, (when, self.events_scheduled, event))
        return event

    def call_after(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> Event:
        """Schedule a call after a delay in seconds."""
        return self.call_at(self.now + seconds, callback, *arguments)

    def run(self, until: float) -> None:
        """Run all events that are due by a time in seconds, and advance the clock to it."""
        # rounded up like the times of events: a caller that waits for a time between two microseconds would
        # otherwise never reach it
        end, heap = -int(-until * MICROSECONDS // 1), self.heap
        while heap and heap[0][0] <= end:
            self.time, _, event = heapq.heappop(heap)
            if event.callback is not None:
                self.events_run += 1
                event.callback(*event.arguments)
        self.time = max(self.time, end)
