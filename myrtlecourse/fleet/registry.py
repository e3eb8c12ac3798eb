"""The list of cache servers as discovery publishes it: delayed and versioned; no I/O and no clock.

Changes are scheduled when they happen and listed when discovery notices them. Each change has the index of
the first list that contains it, so that a caller that names an index can be sent only what is newer.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import Any

MAX_CHANGES = 1000  # changes that are kept; a caller that has missed more gets the whole list


@dataclass(frozen=True, slots=True)
class Entry:
    """A server's entry in the list.

    `since` is the start of the server in seconds on the caller's clock, -inf for long ago.
    """

    name: str
    zone: str
    kind: str
    cell: int
    weight: float
    status: str = "in_service"
    since: float = -math.inf


class Registry:
    """The list and its latest changes."""

    def __init__(self, entries: list[Entry]) -> None:
        self.index = 1
        self.listed = {e.name: e for e in entries}
        self.changes: list[tuple[int, Entry]] = []
        self.pending: list[tuple[float, int, Entry]] = []
        self.sequence = 0

    def schedule(self, at: float, entry: Entry) -> None:
        """Schedule a change: the entry is listed from the given time on."""
        self.sequence += 1
        heapq.heappush(self.pending, (at, self.sequence, entry))

    def next_change(self) -> float:
        """Return when the list next changes; infinite if no change is scheduled."""
        return self.pending[0][0] if self.pending else math.inf

    def advance(self, now: float) -> list[Entry]:
        """Apply the changes that are due, under one new index, and return the entries that changed."""
        new = []
        while self.pending and self.pending[0][0] <= now:
            entry = heapq.heappop(self.pending)[2]
            if self.listed.get(entry.name) != entry:
                new.append(entry)
                if entry.status == "terminated":
                    self.listed.pop(entry.name, None)
                else:
                    self.listed[entry.name] = entry
        if new:
            self.index += 1
            self.changes += [(self.index, e) for e in new]
            del self.changes[:-MAX_CHANGES]
        return new

    def entries_after(self, index: int | None) -> tuple[bool, list[Entry]]:
        """Return whether a caller that has seen `index` gets the whole list, and the entries for it."""
        oldest = self.changes[0][0] if self.changes else self.index + 1
        if index is None or not 0 < index <= self.index or index < min(oldest, self.index) - 1:
            return True, list(self.listed.values())
        return False, [e for i, e in self.changes if i > index]


def entry_to_json(entry: Entry, address: str, epoch: float) -> dict[str, Any]:
    """Return an entry in the JSON form of discovery; `epoch` is Unix time minus the caller's clock."""
    since = 0 if entry.since == -math.inf else round((entry.since + epoch) * 1000)
    return {
        "name": entry.name,
        "address": address,
        "zone": entry.zone,
        "type": entry.kind,
        "group": entry.cell,
        "status": entry.status,
        "weight": entry.weight,
        "since_ms": since,
    }
