"""How much of long values may be held: one budget over the whole process, dealt evenly to what flows.

A peer that takes or gives slowly holds its own part and stops its other side; nothing is cut for room.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

DEFAULT_BUDGET = 16 * 1024 * 1024  # bytes, unless the configuration tells the memory that there is
MEMORY_SHARE = 1 / 5  # of a process's memory, for each direction
MAX_WINDOW = 64 * 1024  # bytes of one flow in each of its two places: as much as is read at once
MIN_WINDOW = 4 * 1024


class StreamWindows:
    """The answers that flow to clients, and what each may hold at a time."""

    def __init__(self, budget: int = DEFAULT_BUDGET) -> None:
        """Takes the bytes for all flows together."""
        self.budget = budget
        self.streams = 0

    def size(self) -> int:
        """Bytes that one flow may read ahead, and as many again that its client has not taken."""
        return max(MIN_WINDOW, min(MAX_WINDOW, self.budget // (2 * max(1, self.streams))))


class ReservationWaiter(Protocol):
    """A client that announced a long value, and is not read until there is room for it."""

    def on_reserved(self) -> None:
        """There is room; it has been reserved."""


class UploadMemory:
    """UploadMemory for the long values that clients send, reserved whole before they are read.

    In the order of asking: one that holds half a value has reserved the other half, so that none of them
    waits for what another holds.
    """

    def __init__(self, budget: int = DEFAULT_BUDGET) -> None:
        """Takes the bytes for all values together; one value alone always fits."""
        self.budget = budget
        self.reserved = 0
        self.waiting: deque[tuple[ReservationWaiter, int]] = deque()

    def reserve(self, client: ReservationWaiter, size: int) -> bool:
        """Reserve room, or wait for it: then the client is told once it is there."""
        if not self.waiting and self._fits(size):
            self.reserved += size
            return True
        self.waiting.append((client, size))
        return False

    def _fits(self, size: int) -> bool:
        return not self.reserved or self.reserved + size <= self.budget

    def release(self, size: int) -> None:
        """What was reserved is free again."""
        self.reserved -= size
        self._grant_waiting()

    def stop_waiting(self, client: ReservationWaiter) -> None:
        """A client waits no more."""
        self.waiting = deque(each for each in self.waiting if each[0] is not client)
        self._grant_waiting()  # it may have stood before smaller ones

    def _grant_waiting(self) -> None:
        while self.waiting and self._fits(self.waiting[0][1]):
            client, size = self.waiting.popleft()
            self.reserved += size
            client.on_reserved()
