"""The rule that decides, from merged evidence, whether a zone is left; no I/O and no clock.

The rule tells apart a zone that one router can't reach, one that the routers of a zone can't reach, and one
that nobody reaches. It looks only at sums over the routers' records, and the state before is itself a value
that merges, so routers that have received the same records decide the same. Its thresholds for leaving and
for returning lie apart (hysteresis), and a zone that is left several times in a row stays out for longer each
time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.zones.tallies import Tally

# Share of failed attempts at which a zone is unreachable. Half a zone's servers, or slow servers, fail fewer.
UNREACHABLE_SHARE = 0.8
RECOVERED_SHARE = 0.6  # share of answered attempts at which a zone has recovered
MIN_ATTEMPTS = 5  # attempts needed for a decision, by all routers of the zone or the fleet together
MIN_ATTEMPTS_RETURNING = 3  # the same for a zone that is being returned to, which gets few attempts
MIN_TRIALS = 3  # answered trials needed for a return
MIN_RECENT_ANSWERS = 2  # recent answers that suffice for a return when no recent attempt failed
MIN_RUN = 2  # failures in a row that make a run at one router: single answers are late now and then
MIN_WITNESSES = 2  # routers that must have seen the failures: a single one may be cut off itself
CONTRADICTING_SHARE = 0.5  # share of a router's own attempts answered, at which it ignores the others' exit
MIN_OUT = 2.0  # minimum seconds out, doubled each time the zone is left again
MAX_FLAPS = 4
FULL_SHARE = 64  # parts into which a zone's points on the ring are divided
ALL_ROUTERS = 0  # scope of a register that is valid for the routers of every zone


class ZoneMode(Enum):
    """The mode of a zone, for the routers of one zone; operators order the last three."""

    IN = 0
    BACK = 1  # being returned to in steps, each a share of its points
    OUT = 2
    ORDERED_OUT = 3
    ORDERED_IN = 4  # in use whatever the evidence says
    ORDERED_HOLD = 5  # a return takes no further step


class ZoneHealth(Enum):
    """A one-word summary of the evidence on a zone, for operators."""

    HEALTHY = "well"
    UNKNOWN = "unknown"  # too few attempts
    REFUSED = "gone"  # most attempts are refused
    SILENT = "silent"
    HALF_DEAD = "half dead"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Evidence:
    """The sum of several routers' tallies of one zone."""

    answered: int = 0
    refused: int = 0
    silent: int = 0
    witnesses: int = 0  # routers that saw the zone fail, by more than a single late answer
    failures_in_row: int = 0  # failures since the last answer, summed over the routers with a run of them
    routers_in_run: int = 0  # routers with such a run
    routers_answered: int = 0  # routers whose last attempt was answered
    answered_short: int = 0  # attempts answered within the short window
    answered_long: int = 0  # attempts answered within the long window

    @property
    def failed(self) -> int:
        return self.refused + self.silent

    @property
    def total(self) -> int:
        return self.answered + self.failed

    @property
    def failed_share(self) -> float:
        """The share of the attempts that failed."""
        return self.failed / self.total if self.total else 0.0


def sum_tallies(tallies: Iterable[Tally]) -> Evidence:
    """Sum several routers' short counts, or their long counts where the short ones are too few to decide."""
    each = list(tallies)
    short = sum_short(each)
    return short if short.total >= MIN_ATTEMPTS else sum_long(each)


def sum_short(tallies: Iterable[Tally]) -> Evidence:
    """Sum several routers' counts of the short window."""
    each = list(tallies)
    return Evidence(
        sum(t.answered for t in each),
        sum(t.refused for t in each),
        sum(t.silent for t in each),
        sum(is_witness(t.failed, t.answered, t.failures_in_row) for t in each),
        *failure_runs(each),
    )


def sum_long(tallies: Iterable[Tally]) -> Evidence:
    """Sum several routers' counts of the long window."""
    each = list(tallies)
    return Evidence(
        sum(t.answered_long for t in each),
        sum(t.refused_long for t in each),
        sum(t.silent_long for t in each),
        sum(is_witness(t.failed_long, t.answered_long, t.failures_in_row) for t in each),
        *failure_runs(each),
    )


def is_witness(failed: int, answered: int, failures_in_row: int) -> bool:
    """Return whether a router has seen a zone fail: most of its attempts failed, or all of its last few.

    Otherwise the many failures of one router that is cut off, and a single late answer at another, would
    suffice to leave a zone.
    """
    return failed > 0 and (failed > answered or failures_in_row >= MIN_RUN)


def failure_runs(tallies: list[Tally]) -> tuple[int, int, int, int, int]:
    """Return the last five fields of `Evidence`: failures in a row, the routers that have such runs, the
    routers whose last attempt was answered, and the answers in the short and in the long window."""
    runs = [t.failures_in_row for t in tallies if t.failures_in_row >= MIN_RUN]
    answered = sum(t.failures_in_row == 0 and (t.answered_long > 0 or t.answered > 0) for t in tallies)
    short, long = sum(t.answered for t in tallies), sum(t.answered_long for t in tallies)
    return sum(runs), len(runs), answered, short, long


def is_unreachable(evidence: Evidence, members: int, min_attempts: int = MIN_ATTEMPTS) -> bool:
    """Return whether enough of the `members` routers fail to reach a zone."""
    needed = min(MIN_WITNESSES, members)
    if (
        evidence.failed >= min_attempts
        and evidence.witnesses >= needed
        and evidence.failed_share >= UNREACHABLE_SHARE
    ):
        return True
    # Each router bans failing servers by itself and so makes few attempts. Then it suffices that the last
    # attempts of nearly all routers failed, and that none was answered recently.
    most = evidence.routers_in_run >= needed and evidence.routers_in_run >= UNREACHABLE_SHARE * (
        evidence.routers_in_run + evidence.routers_answered
    )
    return evidence.failures_in_row >= min_attempts and most and not evidence.answered_short


def is_recovered(evidence: Evidence) -> bool:
    """Return whether enough attempts are answered."""
    return evidence.answered >= MIN_TRIALS and evidence.answered >= RECOVERED_SHARE * evidence.total


def is_back(tallies: Iterable[Tally]) -> bool:
    """Return whether a zone that was left answers again, given only counts from after the exit."""
    each = list(tallies)
    short = sum_short(each)
    return (short.answered >= MIN_RECENT_ANSWERS and not short.failed) or is_recovered(sum_long(each))


def zone_health(evidence: Evidence) -> ZoneHealth:
    """Summarise the evidence on a zone in one word."""
    if evidence.total < MIN_ATTEMPTS:
        return ZoneHealth.UNKNOWN
    if evidence.failed_share >= UNREACHABLE_SHARE:
        return ZoneHealth.SILENT if evidence.silent > evidence.refused else ZoneHealth.REFUSED
    if evidence.failed_share >= 1 - UNREACHABLE_SHARE:
        return ZoneHealth.SLOW if evidence.silent > evidence.refused else ZoneHealth.HALF_DEAD
    return ZoneHealth.HEALTHY


def exit_evidence(
    own: Evidence, everyone: Evidence, members: int, fleet: int, min_attempts: int = MIN_ATTEMPTS
) -> Evidence | None:
    """Return the evidence for which the routers of one zone should leave another, or None to stay.

    The routers' own evidence decides. Where they have too few attempts of their own, the evidence of the
    whole fleet decides. So only those routers leave a zone that a partition cuts off from it, and all leave
    a dead zone.
    """
    if is_unreachable(own, members, min_attempts):
        return own
    undecided = own.answered < MIN_TRIALS and (own.routers_in_run > 0 or not own.answered_long)
    return everyone if undecided and is_unreachable(everyone, fleet, min_attempts) else None


@dataclass(slots=True, frozen=True)
class ZoneState:
    """The value of a zone's register: the later value wins, in whatever order values arrive."""

    epoch: int = 0  # grows with each change
    mode: ZoneMode = ZoneMode.IN
    flaps: int = 0  # number of exits in a row
    ordered_by: int = 0  # router at which an operator ordered the mode; 0: no order
    share: int = 0  # of FULL_SHARE: points that count during a return

    @property
    def out(self) -> bool:
        return self.mode in (ZoneMode.OUT, ZoneMode.ORDERED_OUT)

    @property
    def ordered(self) -> bool:
        return self.mode in (ZoneMode.ORDERED_OUT, ZoneMode.ORDERED_IN, ZoneMode.ORDERED_HOLD)

    @property
    def min_out_time(self) -> float:
        """The minimum number of seconds that the zone stays out."""
        return float(MIN_OUT * 2 ** max(0, self.flaps - 1))

    def merged(self, other: ZoneState) -> ZoneState:
        """Return the value that wins of two: the one of the later epoch; of two of the same epoch, an ordered
        one, then one that is out, then the one with the smaller share."""
        return max(self, other, key=lambda s: (s.epoch, s.mode.value, -s.share, s.flaps, s.ordered_by))

    def encode(self) -> int:
        """Return the number that stands for the state in a record; it leaves out who ordered it."""
        return self.epoch << 13 | self.share << 6 | self.flaps << 3 | self.mode.value


def decode_state(number: int, by: int) -> ZoneState:
    """Return the state that a record's number stands for; a mode that this version lacks is read as IN."""
    mode = ZoneMode(number & 7) if number & 7 < len(ZoneMode) else ZoneMode.IN
    return ZoneState(
        number >> 13, mode, min(MAX_FLAPS, number >> 3 & 7), by, min(FULL_SHARE, number >> 6 & 127)
    )
