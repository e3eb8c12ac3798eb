"""The file descriptors of a router, shared by its holders, which lend one another what they do not use."""

from __future__ import annotations

from typing import Protocol


class DescriptorHolder(Protocol):
    """The connections of clients, to cache servers or to the origin."""

    budget: int  # descriptors reserved for this holder

    def descriptors_used(self) -> int:
        """Return the descriptors in use, including dials and connections not yet set up."""

    def close_one_idle(self) -> bool:
        """Close one connection without an open request; return False if there is none."""


class DescriptorBudget:
    """The descriptors that all holders may use together.

    Half of a holder's own budget is never lent, so that it can start at once when it needs descriptors. For
    the other half it waits until a borrower closes its idle connections.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.holders: list[DescriptorHolder] = []

    def add(self, holder: DescriptorHolder) -> None:
        self.holders.append(holder)

    def may_open(self, holder: DescriptorHolder) -> bool:
        """Return whether a holder may open one more descriptor, after reclaiming one if need be."""
        if holder.descriptors_used() < holder.budget:
            return self.descriptors_used() < self.total or self._reclaim(holder)
        kept = sum(max(0, h.budget // 2 - h.descriptors_used()) for h in self.holders if h is not holder)
        return self.descriptors_used() + kept < self.total

    def fits_after_open(self, holder: DescriptorHolder) -> bool:
        """Return whether all holders are within the total after one of them opened one of its own budget."""
        return self.descriptors_used() <= self.total or self._reclaim(holder)

    def descriptors_used(self) -> int:
        return sum(h.descriptors_used() for h in self.holders)

    def _reclaim(self, holder: DescriptorHolder) -> bool:
        return any(
            h.descriptors_used() > h.budget and h.close_one_idle() for h in self.holders if h is not holder
        )
