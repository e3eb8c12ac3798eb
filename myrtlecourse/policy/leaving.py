"""What this router does about zones that the fleet has left: what may still go there, and what may move."""

from __future__ import annotations

import random

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning


class Leaving:
    """While something is left."""

    def __init__(self, chance: random.Random) -> None:
        self.order = api.ZoneExit()
        self.left_at: dict[str, float] = {}  # by zone
        self.random = chance
        self.credit = tuning.SPILL_SAVED  # requests that may move at once
        self.trial_at = 0.0
        self.origin_trial_at = 0.0

    def change(self, now: float, order: api.ZoneExit) -> None:
        """Take a new order; what was left before stays left since then."""
        self.left_at = {zone: self.left_at.get(zone, now) for zone in order.zones}
        # not at once: all routers hear of it at the same time
        first = now + order.trial_interval * self.random.random()
        self.trial_at = min(self.trial_at, first) if self.order.zones else first
        self.origin_trial_at = min(self.origin_trial_at, first) if self.order.origin_unreachable else first
        self.order = order

    def meant(self, entry: api.ServerEntry) -> bool:
        """Whether a cache server is left: not one that has started since, which a list has told, unless the
        fleet has a pace for it."""
        left_at = self.left_at.get(entry.zone)
        return left_at is not None and (self.order.paced_return or entry.start_time <= left_at)

    def stays(self) -> None:
        """A request goes to a survivor that it would have gone to anyway: others may follow in proportion."""
        gain = self.order.spill_limit - 1.0
        # where few stay, many move between two of them
        self.credit = min(max(tuning.SPILL_SAVED, tuning.SPILL_ROUNDS * gain), self.credit + gain)

    def moves(self, worth: float, most: float) -> bool:
        """Whether a request that has lost its server may go to a survivor; `most` is the worth of the best.

        Guards survivors: each router moves no more than its own share of what they bear, so that nobody has
        to count for the fleet. What is worth less leaves a part of it to what is worth more.
        """
        kept = 0.0 if worth >= most else tuning.SPILL_KEPT * tuning.SPILL_SAVED
        if self.credit < 1.0 + kept:
            return False
        self.credit -= 1.0
        return True

    def trial(self, now: float, zone: str) -> bool:
        """Whether a request may go to a zone that is left, to learn whether it is back."""
        if now < self.trial_at or zone in self.order.forced_zones:
            return False
        self.trial_at = now + self.order.trial_interval * self.random.uniform(0.5, 1.5)
        return True

    def origin_trial(self, now: float) -> bool:
        """The same of the origin."""
        if now < self.origin_trial_at:
            return False
        self.origin_trial_at = now + self.order.trial_interval * self.random.uniform(0.5, 1.5)
        return True
