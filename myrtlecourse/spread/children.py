"""Those right below a node: how far they are, who counts, and what they are owed.

A child counts from its grant on, until that grant must be over on its own clock. While it counts nothing that
it lacks is done; and it is granted a lease only when it lacks nothing that was said to be done.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse.spread.messages import Report, Settings, member_ident

NEW_PROCESS_STAMP_GAP = (
    2**32
)  # by which the stamps of two processes are apart, as they begin at a random number
MAX_SILENT_CHILDREN = 64  # names that are remembered
SILENT_LEASES = 30  # leases for which they are
HOLD_REST_LEASES = 5  # leases after which a child that has held `done` back in vain may again
MS_PER_S = 1000.0


@dataclass(slots=True)
class Child:
    """One of them."""

    name: str
    stamp: int
    reported_at: float
    cursor: int  # number of the next entry that it is sent
    applied_until: int = 0
    acknowledged: int = 0
    members: int = 1
    away: int = 0
    slowest: int = 0
    epoch: int = 0
    counted_until: float = -math.inf
    holding_since: float = -math.inf  # since when it has held `done` back to come in
    reply_due: float = math.inf  # by when its report is to be answered


@dataclass(slots=True)
class Children:
    """All of one node's."""

    settings: Settings
    limit: int
    by_name: dict[str, Child] = field(default_factory=dict)
    lease_floors: list[tuple[int, float]] = field(
        default_factory=list
    )  # `done` of processes before, and until when
    silent: dict[str, tuple[int, float]] = field(default_factory=dict)  # members with it, until when told
    watermark: int = 0  # what was said to be done; it never falls
    inherited_watermark: int = 0  # at a new root: the most that the root before may have said to be done

    @property
    def clock_ratio(self) -> float:
        """How much longer a time may be on one clock than on another."""
        return (1 + self.settings.drift) / (1 - self.settings.drift)

    def on_report(self, now: float, sender: str, report: Report, cursor: int) -> Child | None:
        """Take a child's report; None if it is an old one, or there is no room for another child."""
        child = self.by_name.get(sender)
        if child is not None and 0 <= child.stamp - report.stamp < NEW_PROCESS_STAMP_GAP:
            return None
        if child is not None and abs(report.stamp - child.stamp) >= NEW_PROCESS_STAMP_GAP:
            # guards those below that vouch by a grant of the process before: it stays counted as it was
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
        rested = now > child.holding_since + HOLD_REST_LEASES * self.settings.lease
        if (
            child.counted_until <= now
            and child.acknowledged < self.watermark
            and self._is_near(child)
            and rested
        ):
            child.holding_since = now
        return child

    def _add_lease_floor(self, now: float, done: int, until: float) -> None:
        self.lease_floors = [f for f in self.lease_floors if f[1] > now]
        if len(self.lease_floors) >= 2 * self.limit:
            self.lease_floors = [(min(f[0] for f in self.lease_floors), max(f[1] for f in self.lease_floors))]
        self.lease_floors.append((done, until))

    def _is_near(self, child: Child) -> bool:
        return self.watermark - child.acknowledged <= max(100.0, self.settings.rate * self.settings.lease)

    def grant(self, now: float, child: Child, left: float, epoch: int) -> int:
        """Milliseconds that a child may vouch from its last report on, when so many seconds of the node's own
        lease are left: nothing before it has all that was said to be done."""
        if child.counted_until <= now and child.acknowledged < max(self.watermark, self.inherited_watermark):
            return 0
        if child.epoch < epoch or left <= 0:
            return 0
        good_for = int(left / self.clock_ratio * MS_PER_S)
        child.counted_until = max(child.counted_until, now + good_for / MS_PER_S * self.clock_ratio)
        return good_for

    def remove(self, sender: str) -> None:
        """A child vouches for nothing any more by a grant from here."""
        self.by_name.pop(sender, None)

    def expire(self, now: float) -> None:
        """Those that were silent for a lease are away."""
        for name in [n for n, c in self.by_name.items() if c.reported_at < now - self.settings.lease]:
            child = self.by_name.pop(name)
            if child.counted_until > now:
                self._add_lease_floor(now, child.acknowledged, child.counted_until)
            if child.counted_until > -math.inf:
                self.silent[name] = child.members, now + SILENT_LEASES * self.settings.lease
        while len(self.silent) > MAX_SILENT_CHILDREN or any(
            u <= now for _, u in list(self.silent.values())[:1]
        ):
            del self.silent[next(iter(self.silent))]

    def _counts(self, now: float, child: Child) -> bool:
        near = now < child.holding_since + self.settings.lease and child.acknowledged < self.watermark
        return child.counted_until > now or near

    def lowest_acknowledged(self, now: float, have: int) -> tuple[int, int]:
        """What all have that count, the node itself too, and who holds it back."""
        lowest, behind = have, 0
        for child in self.by_name.values():
            if child.acknowledged < lowest and self._counts(now, child):
                lowest, behind = child.acknowledged, child.slowest or member_ident(child.name)
        return min([lowest, *(done for done, until in self.lease_floors if until > now)]), behind

    def advance_watermark(self, now: float, have: int) -> tuple[int, int]:
        """The same, as it is said from now on: it never falls."""
        lowest, behind = self.lowest_acknowledged(now, have)
        self.watermark = max(self.watermark, lowest)
        return self.watermark, behind

    def member_counts(self, now: float) -> tuple[int, int]:
        """Members that count, the node itself too; and those that are away."""
        counted = [c for c in self.by_name.values() if c.counted_until > now]
        away = sum(c.away for c in counted) + sum(below for below, _ in self.silent.values())
        return 1 + sum(c.members for c in counted), away

    def last_lease_end(self, now: float) -> float:
        """When the last grant is over that a child may still have."""
        return max(
            [
                now,
                *(c.counted_until for c in self.by_name.values()),
                *(until for _, until in self.lease_floors),
            ]
        )
