"""Limits what a node sends to its budget in any interval of one second."""

from __future__ import annotations

from collections import deque

WINDOW = 1.0  # seconds


class SendWindow:
    """The datagrams sent within the last WINDOW seconds: their times and sizes in bytes."""

    def __init__(self, budget: float) -> None:
        self.budget = budget
        self.sent: deque[tuple[float, int]] = deque()
        self.spent = 0
        self.total = 0

    def available(self, now: float) -> float:
        """Return how many bytes may be sent now."""
        while self.sent and self.sent[0][0] < now - WINDOW:
            self.spent -= self.sent.popleft()[1]
        return self.budget - self.spent

    def try_spend(self, now: float, size: int) -> bool:
        """Reserve bytes for a datagram; return False if they are not available."""
        if size > self.available(now):
            return False
        self.sent.append((now, size))
        self.spent += size
        self.total += size
        return True
