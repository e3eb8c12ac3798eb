"""A node's children: which entries they have applied, which of them count, and what has to be sent to them.

A child counts from the moment it is granted a lease until that lease must have expired on the child's own
clock. While it counts, the watermark does not pass what it has acknowledged. A lease is only granted to a
child that has everything up to the watermark.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse.spread.messages import Report, Settings, member_ident

# Stamps of two processes of one member differ at least by this much, as they start at a random number.
NEW_PROCESS_STAMP_GAP = 2**32
MAX_SILENT_CHILDREN = 64  # names of silent children that are remembered
SILENT_LEASES = 30  # leases for which these names are remembered
# leases after which a child that held back the watermark, but was not granted a lease, may hold it back again
HOLD_REST_LEASES = 5
MS_PER_S = 1000.0


@dataclass(slots=True)
class Child:
    """One child."""

    name: str
    stamp: int
    reported_at: float
    cursor: int  # number of the next entry to send to it
    # the fields of its reports: `have`, `done`, `below`, `away`, `behind` and `epoch`
    applied_until: int = 0
    acknowledged: int = 0
    members: int = 1
    away: int = 0
    slowest: int = 0
    epoch: int = 0
    counted_until: float = -math.inf  # when the last lease that it was granted has ended on every clock
    # When it began to hold back the watermark: a child that has almost caught up counts for the length of a
    # lease, so that it can reach the watermark and be granted a lease.
    holding_since: float = -math.inf
    reply_due: float = math.inf  # when its report has to be answered at the latest


@dataclass(slots=True)
class Children:
    """All children of one node."""

    settings: Settings
    limit: int
    by_name: dict[str, Child] = field(default_factory=dict)
    # Numbers that the watermark must not pass, each with the time until which this holds: members may still
    # rely on leases that derive from a grant to a child that has since restarted or gone silent.
    lease_floors: list[tuple[int, float]] = field(default_factory=list)
    # by name of a silent child: the number of members of its subtree, and until when it is remembered
    silent: dict[str, tuple[int, float]] = field(default_factory=dict)
    # the highest number reported as applied by all counted members; it never decreases
    watermark: int = 0
    # At a new root: the highest watermark that the previous root may have reported. A child below it gets no
    # lease.
    inherited_watermark: int = 0

    @property
    def clock_ratio(self) -> float:
        """The largest ratio between the lengths of one interval on two clocks."""
        return (1 + self.settings.drift) / (1 - self.settings.drift)

    def on_report(self, now: float, sender: str, report: Report, cursor: int) -> Child | None:
        """Process a child's report. Return None for a delayed report or when there is no room for another
        child."""
        child = self.by_name.get(sender)
        if child is not None and 0 <= child.stamp - report.stamp < NEW_PROCESS_STAMP_GAP:
            return None
        if child is not None and abs(report.stamp - child.stamp) >= NEW_PROCESS_STAMP_GAP:
            # The child's previous process may have granted leases to its own children, so it stays counted as
            # it was.
            if child.counted_until > now:
                self._add_lease_floor(now, child.acknowledged, child.counted_until)
            child = None
        if child is None:
            if sender not in self.by_name and len(self.by_name) >= self.limit:
                return None
            child = self.by_name[sender] = Child(sender, report.stamp, now, cursor)
            self.silent.pop(sender, None)
        child.stamp, child.reported_at, child.epoch = report.stamp, now, report.epoch
        child.applied_until, child.acknowledged = (
            max(child.applied_until, report.have),
            max(child.acknowledged, report.done),
        )
        child.members, child.away, child.slowest = report.below, report.away, report.behind
        child.reply_due = min(child.reply_due, now + self.settings.pause)
        may_hold_again = now > child.holding_since + HOLD_REST_LEASES * self.settings.lease
        if (
            child.counted_until <= now
            and child.acknowledged < self.watermark
            and self._is_nearly_caught_up(child)
            and may_hold_again
        ):
            child.holding_since = now
        return child

    def _add_lease_floor(self, now: float, acknowledged: int, until: float) -> None:
        self.lease_floors = [f for f in self.lease_floors if f[1] > now]
        if len(self.lease_floors) >= 2 * self.limit:
            self.lease_floors = [(min(f[0] for f in self.lease_floors), max(f[1] for f in self.lease_floors))]
        self.lease_floors.append((acknowledged, until))

    def _is_nearly_caught_up(self, child: Child) -> bool:
        """Return whether a child lacks at most as many entries as arrive within a lease, or at most 100."""
        return self.watermark - child.acknowledged <= max(100.0, self.settings.rate * self.settings.lease)

    def grant(self, now: float, child: Child, remaining_lease: float, epoch: int) -> int:
        """Return the milliseconds for which a child is granted a lease, counted from its last report.

        The lease ends before this node's own one, of which `remaining_lease` seconds are left. Return 0 for a
        child that lacks entries up to the watermark or is in an older epoch.
        """
        if child.counted_until <= now and child.acknowledged < max(self.watermark, self.inherited_watermark):
            return 0
        if child.epoch < epoch or remaining_lease <= 0:
            return 0
        good_for = int(remaining_lease / self.clock_ratio * MS_PER_S)
        child.counted_until = max(child.counted_until, now + good_for / MS_PER_S * self.clock_ratio)
        return good_for

    def remove(self, sender: str) -> None:
        """Remove a child that no longer relies on a lease from this node."""
        self.by_name.pop(sender, None)

    def expire(self, now: float) -> None:
        """Remove children that have been silent for the length of a lease."""
        for name in [n for n, c in self.by_name.items() if c.reported_at < now - self.settings.lease]:
            child = self.by_name.pop(name)
            if child.counted_until > now:
                self._add_lease_floor(now, child.acknowledged, child.counted_until)
            if child.counted_until > -math.inf:
                self.silent[name] = child.members, now + SILENT_LEASES * self.settings.lease
        while len(self.silent) > MAX_SILENT_CHILDREN or any(
            until <= now for _, until in list(self.silent.values())[:1]
        ):
            del self.silent[next(iter(self.silent))]

    def _counts(self, now: float, child: Child) -> bool:
        holding = now < child.holding_since + self.settings.lease and child.acknowledged < self.watermark
        return child.counted_until > now or holding

    def lowest_acknowledged(self, now: float, applied_until: int) -> tuple[int, int]:
        """Return the number up to which all counted members have applied entries, including this node, and
        the ident of the slowest one."""
        lowest, slowest = applied_until, 0
        for child in self.by_name.values():
            if child.acknowledged < lowest and self._counts(now, child):
                lowest, slowest = child.acknowledged, child.slowest or member_ident(child.name)
        return min(
            [lowest, *(acknowledged for acknowledged, until in self.lease_floors if until > now)]
        ), slowest

    def advance_watermark(self, now: float, applied_until: int) -> tuple[int, int]:
        """Advance the watermark to the lowest acknowledged number. Return it and the slowest member's
        ident."""
        lowest, slowest = self.lowest_acknowledged(now, applied_until)
        self.watermark = max(self.watermark, lowest)
        return self.watermark, slowest

    def member_counts(self, now: float) -> tuple[int, int]:
        """Return how many members count, including this node, and how many are silent."""
        counted = [c for c in self.by_name.values() if c.counted_until > now]
        away = sum(c.away for c in counted) + sum(members for members, _ in self.silent.values())
        return 1 + sum(c.members for c in counted), away

    def last_lease_end(self, now: float) -> float:
        """Return when the last lease ends that was granted to a child."""
        return max(
            [
                now,
                *(c.counted_until for c in self.by_name.values()),
                *(until for _, until in self.lease_floors),
            ]
        )
