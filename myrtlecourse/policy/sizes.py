"""The sizes of the cache servers that may get requests, their total, and the unit of ring points."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Server


class Sizes:
    """Running totals over the servers. A change costs the same however many servers there are."""

    def __init__(self) -> None:
        self.declared: dict[Server, float] = {}  # size of each server by its weight; 0 if that is missing
        self.size_counts: dict[float, int] = {}  # number of servers of each size
        self.largest = 1.0  # also the size of servers without a weight
        # size at which a server gets tuning.POINTS points: a power of two, so that it rarely changes
        self.unit = 1.0
        self.total = 0.0
        self.reported_total = 0.0  # sum of the reported loads
        self.largest_is_stale = False  # the largest size may have changed

    def update(self, server: Server, size: float, reported: float) -> None:
        """Add a server or change its size; `reported` is its load per unit of size."""
        self._subtract(server)
        self.declared[server] = size
        self.size_counts[size] = self.size_counts.get(size, 0) + 1
        self.largest_is_stale = (
            self.largest_is_stale or size > self.largest or self.largest not in self.size_counts
        )
        server.size = size or self.largest
        server.reported_load = reported
        self.total += server.size
        self.reported_total += reported

    def remove(self, server: Server) -> None:
        """Remove a server, if it is included."""
        self._subtract(server)
        if not self.declared:  # discards accumulated rounding errors
            self.total = self.reported_total = 0.0

    def _subtract(self, server: Server) -> None:
        declared = self.declared.pop(server, None)
        if declared is None:
            return
        self.total -= server.size
        self.reported_total -= server.reported_load
        remaining = self.size_counts[declared] - 1
        if remaining:
            self.size_counts[declared] = remaining
        else:
            del self.size_counts[declared]
            self.largest_is_stale = self.largest_is_stale or declared == self.largest

    def refresh(self) -> bool:
        """Update the largest size after all changes. Return whether the unit of points has changed."""
        if not self.largest_is_stale:
            return False
        self.largest_is_stale = False
        largest = max(self.size_counts, default=0.0) or 1.0
        if largest != self.largest and 0.0 in self.size_counts:
            self._fill_missing(largest, [s for s, size in self.declared.items() if not size])
        self.largest = largest
        unit = 2.0 ** math.ceil(math.log2(largest))
        changed = unit != self.unit
        self.unit = unit
        return changed

    def _fill_missing(self, largest: float, missing: Iterable[Server]) -> None:
        for server in missing:
            self.total += largest - server.size
            server.size = largest

    def points(self, server: Server) -> int:
        """Return the number of points that a server should have on the ring."""
        return math.ceil(tuning.POINTS * server.size / self.unit) if server in self.declared else 0

    def mean_reported(self) -> float:
        """Return the mean of the reported loads."""
        return self.reported_total / max(1, len(self.declared))
