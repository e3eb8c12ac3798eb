"""A discrete-event core: one heap, integer microseconds, no wall clock.

Two events of one instant happen in the order in which they were set. Each source of chance has a stream of
its own, so that a change in one part moves no other.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

MICROSECONDS = 1_000_000  # microseconds
# of Unix time, so that a start is never the 0 that stands for long ago
START_TIME = 1_000 * MICROSECONDS


class Event:
    """Something that is to happen; it can be taken back."""

    __slots__ = ("arguments", "call")

    def __init__(self, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.arguments = arguments

    def cancel(self) -> None:
        """It will not happen."""
        self.call = None
        self.arguments = ()


class Core:
    """The clock and what is to happen."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.time = START_TIME  # microseconds
        self.heap: list[tuple[int, int, Event]] = []
        self.numbers = 0
        self.events_run = 0

    @property
    def now(self) -> float:
        """The time in seconds."""
        return self.time / MICROSECONDS

    def stream(self, name: str) -> random.Random:
        """A source of chance of its own; the same name and seed give the same numbers."""
        return random.Random(f"{self.seed} {name}")

    def call_at(self, seconds: float, call: Callable[..., None], *arguments: Any) -> Event:
        """Let something happen at a time (seconds); never in the past."""
        self.numbers += 1
        event = Event(call, arguments)
        # rounded up: what is due at a time must not find that it is not yet that late
        when = max(self.time, -int(-seconds * MICROSECONDS // 1))
        heapq.heappush(self.heap, (when, self.numbers, event))
        return event

    def call_after(self, seconds: float, call: Callable[..., None], *arguments: Any) -> Event:
        """Let something happen in so many seconds."""
        return self.call_at(self.now + seconds, call, *arguments)

    def run(self, until: float) -> None:
        """Let everything happen that is due by a time (seconds)."""
        # rounded up as what is set is: one who waits for a time between two microseconds must get there
        end, heap = -int(-until * MICROSECONDS // 1), self.heap
        while heap and heap[0][0] <= end:
            self.time, _, event = heapq.heappop(heap)
            if event.call is not None:
                self.events_run += 1
                event.call(*event.arguments)
        self.time = max(self.time, end)
