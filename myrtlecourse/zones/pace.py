"""How fast a zone that is back takes its keys again: in steps, each proven by the whole fleet; no I/O, no
clock.

A step is a share of the points of each of its servers, the same points at every router, so that a key goes
over once and stays. The first is small and each may double what is there (slow start, as of TCP; RFC 5681,
3.1), as long as the servers that come back answer no worse than those that took over. Where they lack what
they are asked for, the origin bears that: a step is cut to what is left of what staff have said it bears or,
where they have not, short and always the same (congestion avoidance, as there).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from myrtlecourse.zones.exit_rule import FULL_SHARE

FIRST_SHARE = 8  # of WHOLE: the first step
MIN_STEP_TIME = 0.6  # seconds that a step stands at least, so that what is counted is of after it
RELAXED_PROOF_AFTER = 2.5  # seconds after which it may go on with fewer answers, or fewer routers heard
FORCED_STEP_AFTER = 5.0  # seconds without proof, after which it goes on by the smallest step, unless it hurts
MAX_RETURN_TIME = (
    60.0  # seconds after which a return is over whatever is proven: servers' own warm-up is left
)
MIN_ANSWERS = 5  # answers of the zone that prove something
MIN_ROUTERS_SHARE = 0.5  # of the fleet, that must have been heard since the step
OVERLOAD_MARGIN = 0.1  # more of the zone's answers pressed than of the others': no further
STEP_BACK_MARGIN = 0.3  # the same: back a step
MISS_MARGIN = 0.2  # more of its answers missed than of the others': what comes over is fetched anew
ORIGIN_OVERLOAD_SHARE = 0.1  # of the origin's answers pressed: no further
COMPLETE_FROM = 58  # of WHOLE, from which on a step takes the rest as well
COLD_STEP = 4  # of WHOLE: a step where the origin has to fetch what comes over, and nobody has said how fast
ORIGIN_USABLE_SHARE = 0.9  # of what the origin bears: arrivals come by chance


@dataclass(slots=True, frozen=True)
class ReturnView:
    """What the fleet has counted since a step, as far as it has been heard; rates a second."""

    answered: int = 0  # answers of the zone that comes back
    overloaded: int = 0
    misses: int = 0
    others_answered: int = 0  # and of the others
    others_overloaded: int = 0
    others_misses: int = 0
    fetch_rate: float = 0.0  # a second, of all routers
    origin_answered: int = 0  # answers of the origin
    origin_overloaded: int = 0
    routers_share: float = 0.0  # share of the fleet's routers that have been heard
    full_rate: float = 0.0  # requests a second that come over with all of the zone's points
    origin_part: float = 1.0  # of what the origin bears beyond now, that is for this return


def ratio(part: int, whole: int) -> float:
    """Of answers; none say nothing."""
    return part / whole if whole else 0.0


def is_overloaded(view: ReturnView) -> bool:
    """Whether the servers that come back bear what they get worse than the others."""
    if view.answered < MIN_ANSWERS:
        return False
    usual = ratio(view.others_overloaded, view.others_answered)
    return ratio(view.overloaded, view.answered) > usual + STEP_BACK_MARGIN


def next_share(share: int, age: float, view: ReturnView, origin_rate: float) -> int:
    """The share from now on, `age` seconds after the last step; `origin_rate` fetches a second are what the
    origin bears, 0 where nobody has said."""
    if age < MIN_STEP_TIME:
        return share
    if is_overloaded(view):
        return max(1, share // 2)
    goes_on = is_proven(age, view)
    if not goes_on and age < FORCED_STEP_AFTER:
        return share
    most = max(1, share) if goes_on else 1
    if goes_on and not origin_rate and lacks_keys(view):
        most = min(
            most, COLD_STEP
        )  # nobody knows what the origin bears: not found out by asking for too much
    if origin_rate and view.full_rate:
        room = (ORIGIN_USABLE_SHARE * origin_rate - view.fetch_rate) * view.origin_part
        fits = math.floor(max(-1.0, min(FULL_SHARE, FULL_SHARE * room / view.full_rate)))
        most = min(most, fits) if age < FORCED_STEP_AFTER else min(most, max(1, fits))
    share += max(0, most)
    return share if share < COMPLETE_FROM else FULL_SHARE


def is_proven(age: float, view: ReturnView) -> bool:
    """Whether enough of the fleet has seen that a step is borne, or nobody the contrary for long enough."""
    enough = view.answered >= MIN_ANSWERS and view.routers_share >= MIN_ROUTERS_SHARE
    return age >= MIN_STEP_TIME and not blocking_reason(view) and (enough or age >= RELAXED_PROOF_AFTER)


def lacks_keys(view: ReturnView) -> bool:
    """Whether the servers that come back lack what they are asked for."""
    usual = ratio(view.others_misses, view.others_answered)
    return ratio(view.misses, view.answered) > usual + MISS_MARGIN


def blocking_reason(view: ReturnView) -> str:
    """What keeps a return from going on, for staff; empty: nothing."""
    usual = ratio(view.others_overloaded, view.others_answered)
    if view.answered >= MIN_ANSWERS and ratio(view.overloaded, view.answered) > usual + OVERLOAD_MARGIN:
        return "its servers are slower or fuller than the others"
    if (
        view.origin_answered >= MIN_ANSWERS
        and ratio(view.origin_overloaded, view.origin_answered) > ORIGIN_OVERLOAD_SHARE
        and lacks_keys(view)
    ):
        return "the origin is full, and they lack what they are asked for"
    return ""
