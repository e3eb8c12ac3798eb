"""What one router knows of zones that come back: the fleet's counts since a step, put together; no I/O, no
clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from myrtlecourse.zones import pace
from myrtlecourse.zones.exit_rule import FULL_SHARE, ZoneMode, ZoneState
from myrtlecourse.zones.pace import MIN_ANSWERS, ReturnView
from myrtlecourse.zones.tallies import LONG_PERIODS, PERIOD, SHORT_PERIODS, Tally

LONG_WINDOW = PERIOD * LONG_PERIODS  # seconds of the longer counts
MEAN_SHORT_WINDOW = PERIOD * (
    SHORT_PERIODS - 0.5
)  # seconds that short counts are of, on average: the latest period is not over
MAX_REPORT_AGE = 1.0  # seconds for which what another has counted is taken for what it sends now


@dataclass(slots=True, frozen=True)
class Report:
    """What one router has counted, as of some moment."""

    home: int  # its zone
    made_at: float
    tallies: Mapping[int, Tally]


def long_counts(tally: Tally) -> Tally:
    """What came over the longer time, in place of the latest."""
    return Tally(answered=tally.answered_long, overloaded=tally.overloaded_long, misses=tally.misses_long)


class Returns:
    """Of one router."""

    def __init__(self, origin: int, origin_rate: float) -> None:
        """`origin` is what the origin's zone is in a record; `origin_rate` fetches a second are what it bears
        of all routers, 0 where nobody has said."""
        self.origin_id = origin
        self.origin_rate = origin_rate
        self.began_at: dict[int, float] = {}  # of each return
        self.never_left: set[int] = set()  # zones that others left, and that this router reached all the time
        self.blocked_by: dict[int, str] = {}  # why a return does not go on, for staff

    def update(self, now: float, zone: int, standing: ZoneState, obeyed: bool) -> None:
        """How a zone stands now, and whether this router does as the others."""
        if standing.mode is ZoneMode.OUT:
            self.began_at.pop(zone, None)
            (self.never_left.discard if obeyed else self.never_left.add)(zone)
        elif standing.mode is ZoneMode.BACK:
            self.began_at.setdefault(zone, now)
        else:
            self.began_at.pop(zone, None)
            self.never_left.discard(zone)
            self.blocked_by.pop(zone, None)

    def view(
        self,
        now: float,
        since: float,
        zone: int,
        reports: Iterable[Report],
        members: Mapping[int, int],
        home: int,
        load: float,
        mine: float,
    ) -> ReturnView:
        """What has been counted since a step at `since`, for the routers of one zone (`home`).

        `load` is the share of their requests that the returning zone gets when it is whole; `mine` their part
        of what the origin bears beyond now.
        """
        fresh = [r for r in reports if now - r.made_at <= MAX_REPORT_AGE]
        whole = max(1, sum(members.values()))
        scale = whole / max(1, len(fresh)) / MEAN_SHORT_WINDOW  # from what was heard to all, a second
        here = [r for r in fresh if r.made_at >= since + PERIOD * SHORT_PERIODS]
        back = [r.tallies.get(zone, Tally()) for r in here]
        others = [t for r in here for z, t in r.tallies.items() if z not in (zone, self.origin_id)]
        if sum(t.answered for t in back) < MIN_ANSWERS:
            # the zone gets little yet: what came over a longer time, once none of it is of before the step
            back = [
                long_counts(r.tallies.get(zone, Tally())) for r in here if r.made_at >= since + LONG_WINDOW
            ]
        origin = [t.tallies.get(self.origin_id, Tally()) for t in fresh]
        near = [r.tallies for r in fresh if r.home == home]
        asked = sum(t.answered for each in near for z, t in each.items() if z != self.origin_id)
        asking = members.get(home, 1) / max(1, len(near)) / MEAN_SHORT_WINDOW * asked
        return ReturnView(
            answered=sum(t.answered for t in back),
            overloaded=sum(t.overloaded for t in back),
            misses=sum(t.misses for t in back),
            others_answered=sum(t.answered for t in others),
            others_overloaded=sum(t.overloaded for t in others),
            others_misses=sum(t.misses for t in others),
            fetch_rate=scale * sum(t.answered for t in origin),
            origin_answered=sum(t.answered for t in origin),
            origin_overloaded=sum(t.overloaded for t in origin),
            routers_share=len(here) / whole,
            full_rate=load * asking,
            origin_part=mine,
        )

    def next_state(
        self, now: float, zone: int, before: ZoneState, age: float, view: ReturnView
    ) -> tuple[ZoneState, str] | None:
        """How a zone stands from now on, `age` seconds after its last step, and why; None: as before."""
        share = pace.next_share(before.share, age, view, self.origin_rate)
        self.blocked_by[zone] = pace.blocking_reason(view)
        seen = f"{view.answered} answers, {view.overloaded} slow, {view.misses} missed"
        # the last step is proven like the others
        proven = before.share >= FULL_SHARE and pace.is_proven(age, view)
        if proven or now - self.began_at.get(zone, now) >= pace.MAX_RETURN_TIME:
            return ZoneState(before.epoch + 1, ZoneMode.IN, before.flaps), f"all of it is back ({seen})"
        if share == before.share:
            return None
        way = "on" if share > before.share else "back"
        why = f"{share}/{FULL_SHARE} of it, {way} from {before.share} ({seen})"
        return ZoneState(before.epoch + 1, ZoneMode.BACK, before.flaps, 0, share), why
