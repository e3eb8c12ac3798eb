"""The descriptors of a router, dealt to its sides, which lend to one another what they don't use."""

from __future__ import annotations

from typing import Protocol


class DescriptorHolder(Protocol):
    """Clients, cache servers or the origin."""

    budget: int  # its own part

    def descriptors_used(self) -> int:
        """DescriptorBudget that it holds, dials and connections not yet welcomed included."""

    def close_one_idle(self) -> bool:
        """Close one connection on which nothing is owed; False when there is none."""


class DescriptorBudget:
    """What all sides may hold together.

    Half of a side's own part is never lent, so that it can begin at once when it is needed; for the other
    half it waits until a borrower closes what it keeps idle.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.holders: list[DescriptorHolder] = []

    def add(self, side: DescriptorHolder) -> None:
        self.holders.append(side)

    def may_open(self, side: DescriptorHolder) -> bool:
        """Whether a side may open one more."""
        if side.descriptors_used() < side.budget:
            return self.descriptors_used() < self.total or self._reclaim(side)
        kept = sum(max(0, s.budget // 2 - s.descriptors_used()) for s in self.holders if s is not side)
        return self.descriptors_used() + kept < self.total

    def fits_after_open(self, side: DescriptorHolder) -> bool:
        """Whether all is within the total, after a side has opened one more of its own part."""
        return self.descriptors_used() <= self.total or self._reclaim(side)

    def descriptors_used(self) -> int:
        return sum(s.descriptors_used() for s in self.holders)

    def _reclaim(self, side: DescriptorHolder) -> bool:
        return any(
            s.descriptors_used() > s.budget and s.close_one_idle() for s in self.holders if s is not side
        )
