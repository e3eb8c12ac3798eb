"""Limits the memory that long values take: a budget for the whole process in each direction.

Streamed answers share their budget evenly. A peer that reads or sends slowly fills only its own window, which
pauses the other side of its stream; no stream is aborted for lack of memory. Answers that have to be gathered
whole take what they need out of that budget, up to a part of it, and wait for it.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

DEFAULT_BUDGET = 16 * 1024 * 1024  # bytes, unless the configuration gives the available memory
MAX_WINDOW = 64 * 1024  # bytes of one stream in each of its two buffers; as much as is read at once
MIN_WINDOW = 4 * 1024
GATHERED_SHARE = 1 / 2  # share of the budget for answers that gathered ones may use
SCARCE_SHARE = 1 / 2  # of the memory for incomplete answers, from which on it is scarce
SCARCE_FIRST_READ = 4 * 1024  # bytes that are read then of an answer of which nothing has come yet


class StreamWindows:
    """Counts the answers that are streamed to clients and sizes the buffers of each."""

    def __init__(self, budget: int = DEFAULT_BUDGET) -> None:
        """Create windows that share `budget` bytes."""
        self.streams = 0
        self.gathered = ValueMemory()  # for answers that are gathered before any of them is sent
        self.incomplete = ValueMemory()  # for answers that have begun to arrive, and are not passed on yet
        self.set_budget(budget, budget)

    def set_budget(self, budget: int, incomplete: int) -> None:
        """Set the bytes that all streamed answers may take together, and all incomplete ones."""
        self.budget = budget
        self.gathered.budget = int(budget * GATHERED_SHARE)
        self.incomplete.budget = incomplete

    def first_read(self) -> int:
        """Return the bytes that may be read at once of an answer of which nothing has come."""
        if self.incomplete.reserved > SCARCE_SHARE * self.incomplete.budget:
            return SCARCE_FIRST_READ
        return self.size()  # it may turn out to be a long answer

    def size(self) -> int:
        """Return the bytes that one stream may read ahead; its client's write buffer may hold as many."""
        shared = self.budget - self.gathered.reserved
        return max(MIN_WINDOW, min(MAX_WINDOW, shared // (2 * max(1, self.streams))))


class ReservationWaiter(Protocol):
    """What can't go on before memory for a long value is reserved."""

    def on_reserved(self) -> None:
        """Handle that the memory has been reserved."""


class ValueMemory:
    """The memory for long values that are held whole; all of a value is reserved before it is read.

    Reservations are made in the order of the requests. Who has half of a value has reserved the other half,
    so that nobody waits for memory that another one holds while it waits itself.
    """

    def __init__(self, budget: int = DEFAULT_BUDGET) -> None:
        """Create a budget of `budget` bytes for all values together; a single value always fits."""
        self.budget = budget
        self.reserved = 0
        self.waiting: deque[tuple[ReservationWaiter, int]] = deque()

    def reserve(self, waiter: ReservationWaiter, size: int) -> bool:
        """Reserve memory and return True, or return False and call `on_reserved` once it is reserved."""
        if not self.waiting and self._fits(size):
            self.reserved += size
            return True
        self.waiting.append((waiter, size))
        return False

    def _fits(self, size: int) -> bool:
        return not self.reserved or self.reserved + size <= self.budget

    def release(self, size: int) -> None:
        """Free reserved memory."""
        self.reserved -= size
        self._grant_waiting()

    def stop_waiting(self, waiter: ReservationWaiter) -> None:
        """Remove a waiter from the queue."""
        self.waiting = deque(each for each in self.waiting if each[0] is not waiter)
        self._grant_waiting()  # it may have been ahead of others with smaller values

    def _grant_waiting(self) -> None:
        while self.waiting and self._fits(self.waiting[0][1]):
            waiter, size = self.waiting.popleft()
            self.reserved += size
            waiter.on_reserved()
