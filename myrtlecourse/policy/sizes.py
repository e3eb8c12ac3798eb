"""The sizes of the cache servers that may be sent to, their sum, and the unit that points are counted in."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Server


class Sizes:
    """Books that a server's change costs the same, however many servers there are."""

    def __init__(self) -> None:
        self.declared: dict[Server, float] = {}  # of each; 0 where its weight is missing
        self.size_counts: dict[float, int] = {}  # servers of each such size
        self.largest = 1.0  # and what a missing weight counts as
        self.unit = 1.0  # of which a server gets all points; rarely changes with the fleet
        self.total = 0.0
        self.reported_total = 0.0  # the sum of what is reported for each
        self.largest_is_stale = False  # whether the largest may be another one by now

    def update(self, server: Server, size: float, reported: float) -> None:
        """A server is there, or has another size; `reported` is what it holds for each unit of size."""
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
        """A server is not there, or no more."""
        self._subtract(server)
        if not self.declared:  # no rounding errors are carried on
            self.total = self.reported_total = 0.0

    def _subtract(self, server: Server) -> None:
        told = self.declared.pop(server, None)
        if told is None:
            return
        self.total -= server.size
        self.reported_total -= server.reported_load
        left = self.size_counts[told] - 1
        if left:
            self.size_counts[told] = left
        else:
            del self.size_counts[told]
            self.largest_is_stale = self.largest_is_stale or told == self.largest

    def refresh(self) -> bool:
        """Find the largest anew, once all that changed is told; whether points are counted otherwise now."""
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
        """How many points a server has on the ring."""
        return math.ceil(tuning.POINTS * server.size / self.unit) if server in self.declared else 0

    def mean_reported(self) -> float:
        """Requests held for each unit of size, in the mean."""
        return self.reported_total / max(1, len(self.declared))
