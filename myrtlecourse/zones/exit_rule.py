"""One rule on merged evidence: is a zone dark from here, from my zone, or for all? No I/O, no clock.

Two routers that have heard the same say the same: what the rule looks at are sums over records, and how it
stood before is a value that merges, too. Its two thresholds lie apart (hysteresis), and a zone that was
left again and again stays out for longer each time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.zones.tallies import Tally

DARK = 0.8  # share of the attempts that did not come through: half a zone's servers, or slow ones, are fewer
LIGHT = 0.6  # share that came through: the zone is back
ENOUGH = 5  # attempts that say anything, of the fleet's or a zone's routers together
AGAIN = 3  # the same of a zone that has just come back, which gets few
TRIALS = 3  # that came through: back
IN_A_ROW = 2  # that came through lately and none that did not: back as well
DOUBTS = 2  # in a row at one router are a run: one alone comes late now and then
WITNESSES = 2  # routers that must have seen it: one alone may be the one that is cut off
CONTRADICTED = 0.5  # of one's own attempts come through: what others say of the zone does not hold here
HOLD = 2.0  # seconds out at least, doubled each time that it is left again
MOST_FLAPS = 4
WHOLE = 64  # parts of a zone's points
ALL = 0  # in place of a zone's number: every router


class Order(Enum):
    """How a zone stands, for the routers of one zone; by operators' order in the last two."""

    IN = 0
    BACK = 1  # by steps, each a part of its points
    OUT = 2
    ORDERED_OUT = 3
    ORDERED_IN = 4  # whatever the evidence says
    ORDERED_HOLD = 5  # a return stays where it is


class Look(Enum):
    """What a zone looks like, in a word for staff."""

    WELL = "well"
    UNKNOWN = "unknown"  # too little is known
    GONE = "gone"  # refused
    SILENT = "silent"
    HALF = "half dead"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Sum:
    """Tallies of several routers, added up."""

    heard: int = 0
    refused: int = 0
    silent: int = 0
    witnesses: int = 0  # routers that have seen it, by more than a doubt
    run: int = 0  # that did not since the last one that did, at each of them
    runners: int = 0  # routers to which nothing came through since
    others: int = 0  # routers to which the last one did
    lately: int = 0  # attempts that came through in the latest time
    heard_long: int = 0  # and in the longer one

    @property
    def bad(self) -> int:
        return self.refused + self.silent

    @property
    def total(self) -> int:
        return self.heard + self.bad

    @property
    def share(self) -> float:
        """Of those that did not come through."""
        return self.bad / self.total if self.total else 0.0


def added(tallies: Iterable[Tally]) -> Sum:
    """What several routers saw lately; over the longer time where that is too little to tell."""
    each = list(tallies)
    short = added_short(each)
    return short if short.total >= ENOUGH else added_long(each)


def added_short(tallies: Iterable[Tally]) -> Sum:
    """The same of the latest time alone."""
    each = list(tallies)
    return Sum(
        sum(t.heard for t in each),
        sum(t.refused for t in each),
        sum(t.silent for t in each),
        sum(witness(t.bad, t.heard, t.run) for t in each),
        *runs(each),
    )


def added_long(tallies: Iterable[Tally]) -> Sum:
    """The same over the longer time."""
    each = list(tallies)
    return Sum(
        sum(t.heard_long for t in each),
        sum(t.refused_long for t in each),
        sum(t.silent_long for t in each),
        sum(witness(t.bad_long, t.heard_long, t.run) for t in each),
        *runs(each),
    )


def witness(bad: int, heard: int, run: int) -> bool:
    """Whether a router has seen it: most of its attempts did not come through, or none of the last few.

    Guards a zone that one router alone can't reach, whose many failures and another's one late answer would
    do.
    """
    return bad > 0 and (bad > heard or run >= DOUBTS)


def runs(tallies: list[Tally]) -> tuple[int, int, int, int, int]:
    """How many attempts in a row did not come through, at how many routers; at how many the last one did, and
    how many did lately."""
    each = [t.run for t in tallies if t.run >= DOUBTS]
    others = sum(t.run == 0 and (t.heard_long > 0 or t.heard > 0) for t in tallies)
    lately, longer = sum(t.heard for t in tallies), sum(t.heard_long for t in tallies)
    return sum(each), len(each), others, lately, longer


def dark(seen: Sum, members: int, enough: int = ENOUGH) -> bool:
    """Whether nothing comes through, by enough routers of `members`."""
    needed = min(WITNESSES, members)
    if seen.bad >= enough and seen.witnesses >= needed and seen.share >= DARK:
        return True
    # few attempts, as each router has left the servers out by itself: nothing came through since, and to
    # nobody
    most = seen.runners >= needed and seen.runners >= DARK * (seen.runners + seen.others)
    return seen.run >= enough and most and not seen.lately


def light(seen: Sum) -> bool:
    """Whether enough comes through."""
    return seen.heard >= TRIALS and seen.heard >= LIGHT * seen.total


def back(tallies: Iterable[Tally]) -> bool:
    """Whether enough comes through again, by counts of after a zone was left."""
    each = list(tallies)
    lately = added_short(each)
    return (lately.heard >= IN_A_ROW and not lately.bad) or light(added_long(each))


def look(seen: Sum) -> Look:
    """A word for it."""
    if seen.total < ENOUGH:
        return Look.UNKNOWN
    if seen.share >= DARK:
        return Look.SILENT if seen.silent > seen.refused else Look.GONE
    if seen.share >= 1 - DARK:
        return Look.SLOW if seen.silent > seen.refused else Look.HALF
    return Look.WELL


def left(own: Sum, everyone: Sum, members: int, fleet: int, enough: int = ENOUGH) -> Sum | None:
    """What shows that the routers of one zone should leave another; None if nothing does.

    Their own evidence decides; what the rest of the fleet sees does where they have met it too little to
    tell. So a cut between two zones is left by those that it cuts off, and a dead zone by all.
    """
    if dark(own, members, enough):
        return own
    unknown = own.heard < TRIALS and (own.runners > 0 or not own.heard_long)
    return everyone if unknown and dark(everyone, fleet, enough) else None


@dataclass(slots=True, frozen=True)
class Standing:
    """How a zone stands: a register whose later value wins, whatever order values come in."""

    epoch: int = 0  # grows with each change
    order: Order = Order.IN
    flaps: int = 0  # times that it was left in a row
    by: int = 0  # who ordered it; 0: nobody did
    share: int = 0  # of WHOLE: the points that count while it comes back

    @property
    def out(self) -> bool:
        return self.order in (Order.OUT, Order.ORDERED_OUT)

    @property
    def ordered(self) -> bool:
        return self.order in (Order.ORDERED_OUT, Order.ORDERED_IN, Order.ORDERED_HOLD)

    @property
    def hold(self) -> float:
        """Seconds for which it stays out at least."""
        return float(HOLD * 2 ** max(0, self.flaps - 1))

    def merged(self, other: Standing) -> Standing:
        """The one that holds of two: the later; of two made at once, the one by order, then the one out, then
        the one with the smaller share."""
        return max(self, other, key=lambda s: (s.epoch, s.order.value, -s.share, s.flaps, s.by))

    def number(self) -> int:
        """As it is told, without who ordered it."""
        return self.epoch << 13 | self.share << 6 | self.flaps << 3 | self.order.value


def standing(number: int, by: int) -> Standing:
    """What was told; an order that this version does not know is none."""
    order = Order(number & 7) if number & 7 < len(Order) else Order.IN
    return Standing(number >> 13, order, min(MOST_FLAPS, number >> 3 & 7), by, min(WHOLE, number >> 6 & 127))
