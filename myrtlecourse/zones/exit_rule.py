"""The rule that decides, from the evidence of all routers, whether a zone is excluded; no I/O and no clock.

Excluding a zone means that nothing is sent to its servers but a few requests as probes. The rule
distinguishes a zone that a single router can't reach, one that the routers of some zone can't reach, and one
that no router can reach. It depends only on sums over the routers' gossiped counts and on the zone's previous
state. That state is replicated as well: each router holds a copy in a register, and of two copies the same
one wins at every router. So routers that have received the same records decide the same. Between the shares
of failed attempts at which a zone is excluded and at which it is returned to lies a gap (hysteresis), and a
zone that is excluded several times in a row stays excluded for longer each time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.zones.tallies import Tally

# Share of failed attempts at which a zone is unreachable. The share stays lower when half of a zone's servers
# have failed, or when its servers are slow, so that such a zone stays in use.
UNREACHABLE_SHARE = 0.8
RECOVERED_SHARE = 0.6  # share of answered attempts at which a zone has recovered
MIN_ATTEMPTS = 5  # attempts needed for a decision, by all routers of the zone or the fleet together
MIN_ATTEMPTS_RETURNING = 3  # the same during a return to a zone, while it gets few attempts
# Answered attempts needed for a return, or for a zone's own evidence to prevail over the fleet's; also the
# failures in a row at one router that suggest that only this router can't reach a zone.
MIN_CONCLUSIVE_ATTEMPTS = 3
MIN_RECENT_ANSWERS = 2  # recent answers that suffice for a return when no recent attempt failed
# Failures in a row after which a router counts as failing to reach a zone; a single answer may just be late.
MIN_FAILURES_IN_ROW = 2
MIN_WITNESSES = 2  # routers that must have seen the failures, as a single router may be cut off itself
# Share of a router's own attempts at which, when they are answered, it goes on to use a zone that others
# exclude.
CONTRADICTING_SHARE = 0.5
MIN_OUT = 2.0  # minimum seconds of an exclusion, doubled with each further exclusion in a row
MAX_FLAPS = 4  # exclusions in a row up to which that time is doubled
# During a return, a zone's share of its points on the ring is an integer from 1 to FULL_SHARE, which means
# all.
FULL_SHARE = 64
ALL_ROUTERS = 0  # scope of a register that applies to the routers of every zone


class ZoneMode(Enum):
    """How the routers of one zone use another zone. The rule sets the first three modes, operators the
    others."""

    IN = 0  # in use
    BACK = 1  # a return is under way, in steps that each use a share of the zone's points
    OUT = 2  # excluded
    ORDERED_OUT = 3  # excluded whatever the evidence says
    ORDERED_IN = 4  # in use whatever the evidence says
    ORDERED_HOLD = 5  # neither a return nor its next step begins


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
    # failures since the last answer, summed over the routers with at least MIN_FAILURES_IN_ROW of them
    failures_in_row: int = 0
    routers_failing: int = 0  # number of these routers
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
        *last_outcomes(each),
    )


def sum_long(tallies: Iterable[Tally]) -> Evidence:
    """Sum several routers' counts of the long window."""
    each = list(tallies)
    return Evidence(
        sum(t.answered_long for t in each),
        sum(t.refused_long for t in each),
        sum(t.silent_long for t in each),
        sum(is_witness(t.failed_long, t.answered_long, t.failures_in_row) for t in each),
        *last_outcomes(each),
    )


def is_witness(failed: int, answered: int, failures_in_row: int) -> bool:
    """Return whether a router has seen a zone fail: most of its attempts failed, or all of its last few.

    A router with few failures does not count: otherwise the many failures of one router that is cut off,
    together with a single late answer at another, would suffice to exclude a zone.
    """
    return failed > 0 and (failed > answered or failures_in_row >= MIN_FAILURES_IN_ROW)


def last_outcomes(tallies: list[Tally]) -> tuple[int, int, int, int, int]:
    """Return the last five fields of `Evidence`, from `failures_in_row` to `answered_long`."""
    runs = [t.failures_in_row for t in tallies if t.failures_in_row >= MIN_FAILURES_IN_ROW]
    answered = sum(t.failures_in_row == 0 and (t.answered_long > 0 or t.answered > 0) for t in tallies)
    short, long = sum(t.answered for t in tallies), sum(t.answered_long for t in tallies)
    return sum(runs), len(runs), answered, short, long


def is_unreachable(evidence: Evidence, router_count: int, min_attempts: int = MIN_ATTEMPTS) -> bool:
    """Return whether enough routers fail to reach a zone; `router_count` is the number of routers that
    could."""
    needed = min(MIN_WITNESSES, router_count)
    if (
        evidence.failed >= min_attempts
        and evidence.witnesses >= needed
        and evidence.failed_share >= UNREACHABLE_SHARE
    ):
        return True
    # Each router bans failing servers on its own, and then makes too few attempts for the test above. So it
    # also suffices that the last attempts of nearly all routers failed, and that none was answered recently.
    most = evidence.routers_failing >= needed and evidence.routers_failing >= UNREACHABLE_SHARE * (
        evidence.routers_failing + evidence.routers_answered
    )
    return evidence.failures_in_row >= min_attempts and most and not evidence.answered_short


def is_recovered(evidence: Evidence) -> bool:
    """Return whether enough attempts at an excluded zone, and a large enough share of them, are answered."""
    return (
        evidence.answered >= MIN_CONCLUSIVE_ATTEMPTS and evidence.answered >= RECOVERED_SHARE * evidence.total
    )


def answers_after_exit(tallies: Iterable[Tally]) -> bool:
    """Return whether an excluded zone answers again; the tallies must only cover time since its exclusion."""
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
    own: Evidence, everyone: Evidence, router_count: int, fleet_size: int, min_attempts: int = MIN_ATTEMPTS
) -> Evidence | None:
    """Return the evidence that requires the routers of one zone to exclude another zone, or None.

    `own` is the evidence of these routers, of which there are `router_count`, and `everyone` that of all
    `fleet_size` routers. Their own evidence decides; where they have made too few attempts, the fleet's does.
    So a partition makes only those routers exclude a zone that it cuts off from the zone, and a dead zone is
    excluded by all.
    """
    if is_unreachable(own, router_count, min_attempts):
        return own
    undecided = own.answered < MIN_CONCLUSIVE_ATTEMPTS and (own.routers_failing > 0 or not own.answered_long)
    return everyone if undecided and is_unreachable(everyone, fleet_size, min_attempts) else None


@dataclass(slots=True, frozen=True)
class ZoneState:
    """The state of a zone as it is replicated among routers; see `merged` for which of two values wins."""

    epoch: int = 0  # grows with each change
    mode: ZoneMode = ZoneMode.IN
    flaps: int = 0  # number of exclusions in a row
    ordered_by: int = 0  # router at which an operator ordered the mode; 0: no order
    share: int = 0  # points that count during a return, as a part of FULL_SHARE

    @property
    def out(self) -> bool:
        return self.mode in (ZoneMode.OUT, ZoneMode.ORDERED_OUT)

    @property
    def ordered(self) -> bool:
        return self.mode in (ZoneMode.ORDERED_OUT, ZoneMode.ORDERED_IN, ZoneMode.ORDERED_HOLD)

    @property
    def min_out_time(self) -> float:
        """The minimum number of seconds for which the zone stays excluded."""
        return float(MIN_OUT * 2 ** max(0, self.flaps - 1))

    def merged(self, other: ZoneState) -> ZoneState:
        """Return the value that wins of two, whatever the order in which they arrive.

        The higher epoch wins, then the later mode in `ZoneMode` (so that an order prevails over the rule, and
        an exclusion over a return), then the smaller share, more flaps, and the higher `ordered_by`.
        """
        return max(self, other, key=lambda s: (s.epoch, s.mode.value, -s.share, s.flaps, s.ordered_by))

    def encode(self) -> int:
        """Return the number that stands for the state in a record; it leaves out who ordered it."""
        return self.epoch << 13 | self.share << 6 | self.flaps << 3 | self.mode.value


def decode_state(number: int, by: int) -> ZoneState:
    """Return the state that a record's number stands for, with `by` as its `ordered_by`.

    A mode that this version does not know is read as IN.
    """
    mode = ZoneMode(number & 7) if number & 7 < len(ZoneMode) else ZoneMode.IN
    return ZoneState(
        number >> 13, mode, min(MAX_FLAPS, number >> 3 & 7), by, min(FULL_SHARE, number >> 6 & 127)
    )
