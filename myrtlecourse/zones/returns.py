"""One router's state of the returns under way: it sums what the fleet has counted since the last step, from
which the next step follows. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from myrtlecourse.zones import pace
from myrtlecourse.zones.exit_rule import FULL_SHARE, ZoneMode, ZoneState
from myrtlecourse.zones.pace import MIN_ANSWERS, ReturnView
from myrtlecourse.zones.tallies import LONG_PERIODS, PERIOD, SHORT_PERIODS, Tally

LONG_WINDOW = PERIOD * LONG_PERIODS  # seconds
# Seconds that the short counts cover on average: the current period is not over.
MEAN_SHORT_WINDOW = PERIOD * (SHORT_PERIODS - 0.5)
MAX_REPORT_AGE = 1.0  # seconds for which another router's counts stand for its present traffic


@dataclass(slots=True, frozen=True)
class Report:
    """What one router had counted at a given time."""

    home: int  # its zone
    made_at: float
    tallies: Mapping[int, Tally]


def long_counts(tally: Tally) -> Tally:
    """Return a tally whose short counts are the long counts of another."""
    return Tally(answered=tally.answered_long, overloaded=tally.overloaded_long, misses=tally.misses_long)


class Returns:
    """The returns that one router takes part in."""

    def __init__(self, origin_id: int, origin_rate: float) -> None:
        """Start without a return.

        `origin_id` stands for the origin's zone in records. `origin_rate` is the number of fetches a second
        that the origin can take from all routers; 0 means that it is unknown.
        """
        self.origin_id = origin_id
        self.origin_rate = origin_rate
        self.began_at: dict[int, float] = {}  # by zone that is being returned to
        self.never_left: set[int] = set()  # zones that others left while this router still reached them
        self.blocked_by: dict[int, str] = {}  # by zone: why the next step is not taken, for operators

    def update(self, now: float, zone: int, state: ZoneState, left_out: bool) -> None:
        """Note a zone's state, and whether this router leaves the zone out like the others."""
        if state.mode is ZoneMode.OUT:
            self.began_at.pop(zone, None)
            (self.never_left.discard if left_out else self.never_left.add)(zone)
        elif state.mode is ZoneMode.BACK:
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
        origin_part: float,
    ) -> ReturnView:
        """Sum what has been counted since a step at `since`, for the routers of one zone (`home`).

        `members` is the number of routers by zone, `load` the share of the routers' requests that the
        returning zone gets with all of its points, and `origin_part` their part of the origin's free
        capacity.
        """
        recent = [r for r in reports if now - r.made_at <= MAX_REPORT_AGE]
        fleet_size = max(1, sum(members.values()))
        # Extrapolates from the routers heard to all routers, and to one second.
        scale = fleet_size / max(1, len(recent)) / MEAN_SHORT_WINDOW
        after_step = [r for r in recent if r.made_at >= since + PERIOD * SHORT_PERIODS]
        returning = [r.tallies.get(zone, Tally()) for r in after_step]
        others = [t for r in after_step for z, t in r.tallies.items() if z not in (zone, self.origin_id)]
        if sum(t.answered for t in returning) < MIN_ANSWERS:
            # The zone gets little traffic yet. The long counts are used once they include nothing from before
            # the step.
            returning = [
                long_counts(r.tallies.get(zone, Tally()))
                for r in after_step
                if r.made_at >= since + LONG_WINDOW
            ]
        origin = [r.tallies.get(self.origin_id, Tally()) for r in recent]
        neighbours = [r.tallies for r in recent if r.home == home]
        answered = sum(t.answered for each in neighbours for z, t in each.items() if z != self.origin_id)
        request_rate = members.get(home, 1) / max(1, len(neighbours)) / MEAN_SHORT_WINDOW * answered
        return ReturnView(
            answered=sum(t.answered for t in returning),
            overloaded=sum(t.overloaded for t in returning),
            misses=sum(t.misses for t in returning),
            others_answered=sum(t.answered for t in others),
            others_overloaded=sum(t.overloaded for t in others),
            others_misses=sum(t.misses for t in others),
            fetch_rate=scale * sum(t.answered for t in origin),
            origin_answered=sum(t.answered for t in origin),
            origin_overloaded=sum(t.overloaded for t in origin),
            routers_share=len(after_step) / fleet_size,
            full_rate=load * request_rate,
            origin_part=origin_part,
        )

    def next_state(
        self, now: float, zone: int, before: ZoneState, age: float, view: ReturnView
    ) -> tuple[ZoneState, str] | None:
        """Return a zone's new state, `age` seconds after its last step, and the reason, or None to wait."""
        share = pace.next_share(before.share, age, view, self.origin_rate)
        self.blocked_by[zone] = pace.blocking_reason(view)
        seen = f"{view.answered} answers, {view.overloaded} overloaded, {view.misses} missed"
        # The servers must bear the last step like the others.
        proven = before.share >= FULL_SHARE and pace.is_proven(age, view)
        if proven or now - self.began_at.get(zone, now) >= pace.MAX_RETURN_TIME:
            return ZoneState(before.epoch + 1, ZoneMode.IN, before.flaps), f"the return is complete ({seen})"
        if share == before.share:
            return None
        direction = "on" if share > before.share else "back"
        why = f"{share}/{FULL_SHARE} of its points, {direction} from {before.share} ({seen})"
        return ZoneState(before.epoch + 1, ZoneMode.BACK, before.flaps, 0, share), why
