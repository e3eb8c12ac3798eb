"""Which numbers of the log a member has applied: a few ranges, each of which grows upward only."""

from __future__ import annotations

MAX_RANGES = 8

Range = tuple[int, int]  # first and last, both within


class AppliedRanges:
    """Disjoint ranges, none of which touches another, in their order."""

    def __init__(self) -> None:
        self.ranges: list[Range] = []

    @property
    def contiguous_until(self) -> int:
        """All up to this number are applied."""
        return self.ranges[0][1] if self.ranges and self.ranges[0][0] == 1 else 0

    @property
    def highest(self) -> int:
        """The highest number that is applied; 0: none."""
        return self.ranges[-1][1] if self.ranges else 0

    def gaps(self) -> list[Range]:
        """What is missing below the highest number."""
        starts = [first for first, _ in self.ranges]
        ends = [0, *(last for _, last in self.ranges)]
        return [(end + 1, start - 1) for end, start in zip(ends, starts, strict=False) if start > end + 1]

    def range_end(self, number: int) -> int:
        """The last number of the range that this one is in; 0: it is in none."""
        return next((last for first, last in self.ranges if first <= number <= last), 0)

    def acceptable(self, first: int, last: int) -> Range | None:
        """The first part of a range that is new and would grow a lane, or begin one above all.

        Guards the lanes' number and order: what came before its turn in a hole is not taken, and asked for
        again.
        """
        if first > self.highest:
            return first, last
        for place, (start, end) in enumerate(self.ranges):
            if start <= first <= end + 1:
                if place + 1 < len(self.ranges):
                    last = min(last, self.ranges[place + 1][0] - 1)
                return (max(first, end + 1), last) if last > end else None
        return (1, min(last, self.ranges[0][0] - 1)) if first == 1 else None

    def add(self, first: int, last: int) -> None:
        """These are applied, or need not be any more."""
        kept: list[Range] = []
        for start, end in self.ranges:
            if end + 1 < first or last + 1 < start:
                kept.append((start, end))
            else:
                first, last = min(first, start), max(last, end)
        self.ranges = sorted([*kept, (first, last)])

    def excess_gap(self) -> Range | None:
        """The oldest hole, when there are too many lanes: what to forget."""
        return self.gaps()[0] if len(self.ranges) > MAX_RANGES else None
