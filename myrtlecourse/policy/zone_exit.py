"""This router's part in a zone exit: which zones it avoids, and how many requests move to other zones."""

from __future__ import annotations

import random

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning


class ZoneExitControl:
    """The state of a zone exit, while one is in effect."""

    def __init__(self, generator: random.Random) -> None:
        self.current = api.ZoneExit()
        self.exited_at: dict[str, float] = {}  # time of the exit by zone
        self.random = generator
        self.move_credit = tuning.MOVE_CREDIT  # requests that may move at once
        self.next_probe_at = 0.0
        self.next_origin_probe_at = 0.0

    def apply(self, now: float, exit_: api.ZoneExit) -> None:
        """Apply a new state of the exit; zones that were left before keep their time."""
        self.exited_at = {zone: self.exited_at.get(zone, now) for zone in exit_.zones}
        # spread over one interval, as all routers learn of it at the same time
        first = now + exit_.trial_interval * self.random.random()
        self.next_probe_at = min(self.next_probe_at, first) if self.current.zones else first
        self.next_origin_probe_at = (
            min(self.next_origin_probe_at, first) if self.current.origin_unreachable else first
        )
        self.current = exit_

    def excludes(self, entry: api.ServerEntry) -> bool:
        """Return whether a cache server gets no new requests.

        A server that has started since its zone was left does get some, unless the fleet paces the return.
        """
        exited_at = self.exited_at.get(entry.zone)
        return exited_at is not None and (self.current.paced_return or entry.start_time <= exited_at)

    def earn_move_credit(self) -> None:
        """Count a request that goes to its own server: others may move in proportion."""
        gain = self.current.spill_limit - 1.0
        # the bound allows several moves between two requests that stay, as is usual where few stay
        self.move_credit = min(
            max(tuning.MOVE_CREDIT, tuning.MOVE_CREDIT_FACTOR * gain), self.move_credit + gain
        )

    def allow_move(self, value: float, highest_value: float) -> bool:
        """Return whether a request that has lost its server may move to another one, and count it.

        Each router moves no more than its own share of what the remaining servers can take, so that the fleet
        needs no common count. Requests below the highest value leave a part of the credit to those of it.
        """
        reserve = 0.0 if value >= highest_value else tuning.MOVE_RESERVE_SHARE * tuning.MOVE_CREDIT
        if self.move_credit < 1.0 + reserve:
            return False
        self.move_credit -= 1.0
        return True

    def allow_probe(self, now: float, zone: str) -> bool:
        """Return whether a request may test if a zone that was left is reachable again, and count it."""
        if now < self.next_probe_at or zone in self.current.forced_zones:
            return False
        self.next_probe_at = now + self.current.trial_interval * self.random.uniform(0.5, 1.5)
        return True

    def allow_origin_probe(self, now: float) -> bool:
        """Return whether a request may test if the origin is reachable again, and count it."""
        if now < self.next_origin_probe_at:
            return False
        self.next_origin_probe_at = now + self.current.trial_interval * self.random.uniform(0.5, 1.5)
        return True
