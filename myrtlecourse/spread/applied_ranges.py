"""The log numbers that a member has applied, as a few ranges, each of which only grows upward. New
entries extend the highest range, and retransmitted ones the lower ranges."""

from __future__ import annotations

MAX_RANGES = 8

Range = tuple[int, int]  # first and last number, both inclusive


class AppliedRanges:
    """Disjoint, non-adjacent ranges in ascending order."""

    def __init__(self) -> None:
        self.ranges: list[Range] = []

    @property
    def contiguous_until(self) -> int:
        """The number up to which all entries are applied; 0 if entry 1 is not."""
        return self.ranges[0][1] if self.ranges and self.ranges[0][0] == 1 else 0

    @property
    def highest(self) -> int:
        """The highest number that is applied; 0 if none is."""
        return self.ranges[-1][1] if self.ranges else 0

    def gaps(self) -> list[Range]:
        """Return the ranges of missing numbers below the highest applied number."""
        starts = [first for first, _ in self.ranges]
        ends = [0, *(last for _, last in self.ranges)]
        return [(end + 1, start - 1) for end, start in zip(ends, starts, strict=False) if start > end + 1]

    def range_end(self, number: int) -> int:
        """Return the last number of the range that contains a number; 0 if none does."""
        return next((last for first, last in self.ranges if first <= number <= last), 0)

    def acceptable(self, first: int, last: int) -> Range | None:
        """Return the first part of a range that is new and extends an existing range or begins one above all
        others.

        This bounds the number of ranges and keeps each in order: entries that arrive out of order within a
        gap are not accepted, and are requested again.
        """
        if first > self.highest:
            return first, last
        for position, (start, end) in enumerate(self.ranges):
            if start <= first <= end + 1:
                if position + 1 < len(self.ranges):
                    last = min(last, self.ranges[position + 1][0] - 1)
                return (max(first, end + 1), last) if last > end else None
        return (1, min(last, self.ranges[0][0] - 1)) if first == 1 else None

    def add(self, first: int, last: int) -> None:
        """Add a range that has been applied or is no longer needed."""
        ranges: list[Range] = []
        for start, end in self.ranges:
            if end + 1 < first or last + 1 < start:
                ranges.append((start, end))
            else:
                first, last = min(first, start), max(last, end)
        self.ranges = sorted([*ranges, (first, last)])

    def excess_gap(self) -> Range | None:
        """Return the lowest gap when there are too many ranges; its entries then count as unavailable."""
        return self.gaps()[0] if len(self.ranges) > MAX_RANGES else None
