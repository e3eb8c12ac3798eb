"""The pace at which the fleet returns to a zone: in steps, each of which the fleet's counts must justify.

A step sets the share of each server's points on the ring that count. These are the same points at every
router, so that each key moves once and then stays. The first step is small, and each later step may double
the share (slow start, as in TCP; RFC 5681, 3.1) as long as the returning servers answer no worse than those
that took their keys over. Where the returning servers lack the keys, the origin bears the load: a step is
then cut to what remains of the origin's configured capacity or, where that is unknown, to a small constant
(as in congestion avoidance). No I/O and no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from myrtlecourse.zones.exit_rule import FULL_SHARE

FIRST_SHARE = 8  # of FULL_SHARE: the first step
MIN_STEP_TIME = 0.6  # seconds that a step lasts at least, so that the counts are from after it
RELAXED_PROOF_AFTER = 2.5  # seconds after which the next step needs fewer answers and routers heard
FORCED_STEP_AFTER = 5.0  # seconds without proof after which the smallest step is taken, except on overload
MAX_RETURN_TIME = 60.0  # seconds after which a return ends without proof, leaving the rest to slow start
MIN_ANSWERS = 5  # answers needed for any conclusion
MIN_ROUTERS_SHARE = 0.5  # share of the fleet's routers that must have been heard since the step
OVERLOAD_MARGIN = 0.1  # excess of the zone's share of overloaded answers over the others' that stops steps
STEP_BACK_MARGIN = 0.3  # excess at which a step is taken back
MISS_MARGIN = 0.2  # excess of its share of misses at which moved keys are taken to be fetched anew
ORIGIN_OVERLOAD_SHARE = 0.1  # share of the origin's answers that are overloaded that stops steps
COMPLETE_FROM = 58  # of FULL_SHARE: a step that gets here takes the rest as well
COLD_STEP = 4  # of FULL_SHARE: a step when the origin must fetch the moved keys at an unknown capacity
ORIGIN_USABLE_SHARE = 0.9  # of the origin's capacity: the rest absorbs random bursts of arrivals


@dataclass(slots=True, frozen=True)
class ReturnView:
    """What the fleet has counted since the last step, as far as this router has heard; rates are per second.

    An answer is overloaded when it was a refusal for overload, or slower than its router wants.
    """

    answered: int = 0  # answers of the returning zone
    overloaded: int = 0
    misses: int = 0
    others_answered: int = 0  # answers of all other zones
    others_overloaded: int = 0
    others_misses: int = 0
    fetch_rate: float = 0.0  # fetches a second from the origin, by all routers
    origin_answered: int = 0  # answers of the origin
    origin_overloaded: int = 0
    routers_share: float = 0.0  # share of the fleet's routers that have been heard
    full_rate: float = 0.0  # requests a second that the zone gets with all of its points
    origin_part: float = 1.0  # this return's part of the origin's free capacity


def ratio(part: int, whole: int) -> float:
    """Return the share of `part` in `whole`, or 0 when there is nothing."""
    return part / whole if whole else 0.0


def is_overloaded(view: ReturnView) -> bool:
    """Return whether the returning servers are more overloaded than the others by so much as to step back."""
    if view.answered < MIN_ANSWERS:
        return False
    usual = ratio(view.others_overloaded, view.others_answered)
    return ratio(view.overloaded, view.answered) > usual + STEP_BACK_MARGIN


def next_share(share: int, age: float, view: ReturnView, origin_rate: float) -> int:
    """Return the share from now on, `age` seconds after the last step.

    `origin_rate` is the number of fetches a second that the origin can take; 0 means that it is unknown.
    """
    if age < MIN_STEP_TIME:
        return share
    if is_overloaded(view):
        return max(1, share // 2)
    proven = is_proven(age, view)
    if not proven and age < FORCED_STEP_AFTER:
        return share
    most = max(1, share) if proven else 1
    if proven and not origin_rate and lacks_keys(view):
        # The origin's capacity is unknown, and is not probed by overloading the origin.
        most = min(most, COLD_STEP)
    if origin_rate and view.full_rate:
        room = (ORIGIN_USABLE_SHARE * origin_rate - view.fetch_rate) * view.origin_part
        fits = math.floor(max(-1.0, min(FULL_SHARE, FULL_SHARE * room / view.full_rate)))
        most = min(most, fits) if age < FORCED_STEP_AFTER else min(most, max(1, fits))
    share += max(0, most)
    return share if share < COMPLETE_FROM else FULL_SHARE


def is_proven(age: float, view: ReturnView) -> bool:
    """Return whether the servers bear the last step: enough of the fleet has seen it, or nobody has seen the
    contrary for long enough."""
    enough = view.answered >= MIN_ANSWERS and view.routers_share >= MIN_ROUTERS_SHARE
    return age >= MIN_STEP_TIME and not blocking_reason(view) and (enough or age >= RELAXED_PROOF_AFTER)


def lacks_keys(view: ReturnView) -> bool:
    """Return whether the returning servers miss clearly more keys than the others."""
    usual = ratio(view.others_misses, view.others_answered)
    return ratio(view.misses, view.answered) > usual + MISS_MARGIN


def blocking_reason(view: ReturnView) -> str:
    """Return, for operators, what blocks the next step; an empty string if nothing does."""
    usual = ratio(view.others_overloaded, view.others_answered)
    if view.answered >= MIN_ANSWERS and ratio(view.overloaded, view.answered) > usual + OVERLOAD_MARGIN:
        return "its servers are slower or more loaded than the others"
    if (
        view.origin_answered >= MIN_ANSWERS
        and ratio(view.origin_overloaded, view.origin_answered) > ORIGIN_OVERLOAD_SHARE
        and lacks_keys(view)
    ):
        return "the origin is overloaded, and they lack the keys they are asked for"
    return ""
