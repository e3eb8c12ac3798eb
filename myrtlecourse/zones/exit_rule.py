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

UNREACHABLE_SHARE = (
    0.8  # share of the attempts that did not come through: half a zone's servers, or slow ones, are fewer
)
RECOVERED_SHARE = 0.6  # share that came through: the zone is back
MIN_ATTEMPTS = 5  # attempts that say anything, of the fleet's or a zone's routers together
MIN_ATTEMPTS_RETURNING = 3  # the same of a zone that has just come back, which gets few
MIN_TRIALS = 3  # that came through: back
MIN_RECENT_ANSWERS = 2  # that came through lately and none that did not: back as well
MIN_RUN = 2  # in a row at one router are a run: one alone comes late now and then
MIN_WITNESSES = 2  # routers that must have seen it: one alone may be the one that is cut off
CONTRADICTING_SHARE = (
    0.5  # of one's own attempts come through: what others say of the zone does not hold here
)
MIN_OUT = 2.0  # seconds out at least, doubled each time that it is left again
MAX_FLAPS = 4
FULL_SHARE = 64  # parts of a zone's points
ALL_ROUTERS = 0  # in place of a zone's number: every router


class ZoneMode(Enum):
    """How a zone stands, for the routers of one zone; by operators' order in the last two."""

    IN = 0
    BACK = 1  # by steps, each a part of its points
    OUT = 2
    ORDERED_OUT = 3
    ORDERED_IN = 4  # whatever the evidence says
    ORDERED_HOLD = 5  # a return stays where it is


class ZoneHealth(Enum):
    """What a zone looks like, in a word for staff."""

    HEALTHY = "well"
    UNKNOWN = "unknown"  # too little is known
    REFUSED = "gone"  # refused
    SILENT = "silent"
    HALF_DEAD = "half dead"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Evidence:
    """Tallies of several routers, added up."""

    answered: int = 0
    refused: int = 0
    silent: int = 0
    witnesses: int = 0  # routers that have seen it, by more than a doubt
    failures_in_row: int = 0  # that did not since the last one that did, at each of them
    routers_in_run: int = 0  # routers to which nothing came through since
    routers_answered: int = 0  # routers to which the last one did
    answered_short: int = 0  # attempts that came through in the latest time
    answered_long: int = 0  # and in the longer one

    @property
    def failed(self) -> int:
        return self.refused + self.silent

    @property
    def total(self) -> int:
        return self.answered + self.failed

    @property
    def failed_share(self) -> float:
        """Of those that did not come through."""
        return self.failed / self.total if self.total else 0.0


def sum_tallies(tallies: Iterable[Tally]) -> Evidence:
    """What several routers saw lately; over the longer time where that is too little to tell."""
    each = list(tallies)
    short = sum_short(each)
    return short if short.total >= MIN_ATTEMPTS else sum_long(each)


def sum_short(tallies: Iterable[Tally]) -> Evidence:
    """The same of the latest time alone."""
    each = list(tallies)
    return Evidence(
        sum(t.answered for t in each),
        sum(t.refused for t in each),
        sum(t.silent for t in each),
        sum(is_witness(t.failed, t.answered, t.failures_in_row) for t in each),
        *failure_runs(each),
    )


def sum_long(tallies: Iterable[Tally]) -> Evidence:
    """The same over the longer time."""
    each = list(tallies)
    return Evidence(
        sum(t.answered_long for t in each),
        sum(t.refused_long for t in each),
        sum(t.silent_long for t in each),
        sum(is_witness(t.failed_long, t.answered_long, t.failures_in_row) for t in each),
        *failure_runs(each),
    )


def is_witness(bad: int, heard: int, run: int) -> bool:
    """Whether a router has seen it: most of its attempts did not come through, or none of the last few.

    Guards a zone that one router alone can't reach, whose many failures and another's one late answer would
    do.
    """
    return bad > 0 and (bad > heard or run >= MIN_RUN)


def failure_runs(tallies: list[Tally]) -> tuple[int, int, int, int, int]:
    """How many attempts in a row did not come through, at how many routers; at how many the last one did, and
    how many did lately."""
    each = [t.failures_in_row for t in tallies if t.failures_in_row >= MIN_RUN]
    others = sum(t.failures_in_row == 0 and (t.answered_long > 0 or t.answered > 0) for t in tallies)
    lately, longer = sum(t.answered for t in tallies), sum(t.answered_long for t in tallies)
    return sum(each), len(each), others, lately, longer


def is_unreachable(seen: Evidence, members: int, enough: int = MIN_ATTEMPTS) -> bool:
    """Whether nothing comes through, by enough routers of `members`."""
    needed = min(MIN_WITNESSES, members)
    if seen.failed >= enough and seen.witnesses >= needed and seen.failed_share >= UNREACHABLE_SHARE:
        return True
    # few attempts, as each router has left the servers out by itself: nothing came through since, and to
    # nobody
    most = seen.routers_in_run >= needed and seen.routers_in_run >= UNREACHABLE_SHARE * (
        seen.routers_in_run + seen.routers_answered
    )
    return seen.failures_in_row >= enough and most and not seen.answered_short


def is_recovered(seen: Evidence) -> bool:
    """Whether enough comes through."""
    return seen.answered >= MIN_TRIALS and seen.answered >= RECOVERED_SHARE * seen.total


def is_back(tallies: Iterable[Tally]) -> bool:
    """Whether enough comes through again, by counts of after a zone was left."""
    each = list(tallies)
    lately = sum_short(each)
    return (lately.answered >= MIN_RECENT_ANSWERS and not lately.failed) or is_recovered(sum_long(each))


def zone_health(seen: Evidence) -> ZoneHealth:
    """A word for it."""
    if seen.total < MIN_ATTEMPTS:
        return ZoneHealth.UNKNOWN
    if seen.failed_share >= UNREACHABLE_SHARE:
        return ZoneHealth.SILENT if seen.silent > seen.refused else ZoneHealth.REFUSED
    if seen.failed_share >= 1 - UNREACHABLE_SHARE:
        return ZoneHealth.SLOW if seen.silent > seen.refused else ZoneHealth.HALF_DEAD
    return ZoneHealth.HEALTHY


def exit_evidence(
    own: Evidence, everyone: Evidence, members: int, fleet: int, enough: int = MIN_ATTEMPTS
) -> Evidence | None:
    """What shows that the routers of one zone should leave another; None if nothing does.

    Their own evidence decides; what the rest of the fleet sees does where they have met it too little to
    tell. So a cut between two zones is left by those that it cuts off, and a dead zone by all.
    """
    if is_unreachable(own, members, enough):
        return own
    unknown = own.answered < MIN_TRIALS and (own.routers_in_run > 0 or not own.answered_long)
    return everyone if unknown and is_unreachable(everyone, fleet, enough) else None


@dataclass(slots=True, frozen=True)
class ZoneState:
    """How a zone stands: a register whose later value wins, whatever order values come in."""

    epoch: int = 0  # grows with each change
    mode: ZoneMode = ZoneMode.IN
    flaps: int = 0  # times that it was left in a row
    ordered_by: int = 0  # who ordered it; 0: nobody did
    share: int = 0  # of WHOLE: the points that count while it comes back

    @property
    def out(self) -> bool:
        return self.mode in (ZoneMode.OUT, ZoneMode.ORDERED_OUT)

    @property
    def ordered(self) -> bool:
        return self.mode in (ZoneMode.ORDERED_OUT, ZoneMode.ORDERED_IN, ZoneMode.ORDERED_HOLD)

    @property
    def min_out_time(self) -> float:
        """Seconds for which it stays out at least."""
        return float(MIN_OUT * 2 ** max(0, self.flaps - 1))

    def merged(self, other: ZoneState) -> ZoneState:
        """The one that holds of two: the later; of two made at once, the one by order, then the one out, then
        the one with the smaller share."""
        return max(self, other, key=lambda s: (s.epoch, s.mode.value, -s.share, s.flaps, s.ordered_by))

    def encode(self) -> int:
        """As it is told, without who ordered it."""
        return self.epoch << 13 | self.share << 6 | self.flaps << 3 | self.mode.value


def decode_state(number: int, by: int) -> ZoneState:
    """What was told; an order that this version does not know is none."""
    order = ZoneMode(number & 7) if number & 7 < len(ZoneMode) else ZoneMode.IN
    return ZoneState(
        number >> 13, order, min(MAX_FLAPS, number >> 3 & 7), by, min(FULL_SHARE, number >> 6 & 127)
    )
