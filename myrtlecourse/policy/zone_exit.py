"""This router's part in a zone exit: which zones it excludes, and how many requests move to other zones.

A zone exit is the fleet's decision to send no requests to the servers of a zone. A request is displaced if
its key's own server is in such a zone. A probe is a request that is sent to an excluded zone, or to an
unreachable origin, to test whether it is reachable again.
"""

from __future__ import annotations

import random

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning


class ZoneExitControl:
    """The state of a zone exit, while one is in effect."""

    def __init__(self, generator: random.Random) -> None:
        self.current = api.ZoneExit()
        self.exited_at: dict[str, float] = {}  # zone -> when this router learned of its exit
        self.random = generator
        self.move_credit = tuning.MOVE_CREDIT  # displaced requests that may move to other servers at once
        self.next_probe_at = 0.0
        self.next_origin_probe_at = 0.0

    def apply(self, now: float, exit_: api.ZoneExit) -> None:
        """Apply a new state of the exit; zones that were excluded before keep the time of their exit."""
        self.exited_at = {zone: self.exited_at.get(zone, now) for zone in exit_.zones}
        # the routers' first probes are spread over one interval, as all learn of the exit at the same time
        first = now + exit_.trial_interval * self.random.random()
        self.next_probe_at = min(self.next_probe_at, first) if self.current.zones else first
        self.next_origin_probe_at = (
            min(self.next_origin_probe_at, first) if self.current.origin_unreachable else first
        )
        self.current = exit_

    def excludes(self, entry: api.ServerEntry) -> bool:
        """Return whether a cache server gets no new requests because its zone is excluded.

        A server that has started since the exit does get requests, unless the fleet paces the return.
        """
        exited_at = self.exited_at.get(entry.zone)
        return exited_at is not None and (self.current.paced_return or entry.start_time <= exited_at)

    def earn_move_credit(self) -> None:
        """Count a request that goes to its key's own server: displaced requests may move in proportion."""
        gain = self.current.spill_limit - 1.0
        # the bound allows several moves between two requests that are not displaced, which is the usual ratio
        # where most servers are in excluded zones
        self.move_credit = min(
            max(tuning.MOVE_CREDIT, tuning.MOVE_CREDIT_FACTOR * gain), self.move_credit + gain
        )

    def allow_move(self, value: float, highest_value: float) -> bool:
        """Return whether a displaced request may move to another server, and count it.

        Each router moves no more than its own share of what the remaining servers can take, so that the fleet
        needs no common count. Requests of lower value leave a part of the credit to those of the highest.
        """
        reserve = 0.0 if value >= highest_value else tuning.MOVE_RESERVE_SHARE * tuning.MOVE_CREDIT
        if self.move_credit < 1.0 + reserve:
            return False
        self.move_credit -= 1.0
        return True

    def allow_probe(self, now: float, zone: str) -> bool:
        """Return whether a request may probe an excluded zone now, and count the probe."""
        if now < self.next_probe_at or zone in self.current.forced_zones:
            return False
        self.next_probe_at = now + self.current.trial_interval * self.random.uniform(0.5, 1.5)
        return True

    def allow_origin_probe(self, now: float) -> bool:
        """Return whether a request may probe the unreachable origin now, and count the probe."""
        if now < self.next_origin_probe_at:
            return False
        self.next_origin_probe_at = now + self.current.trial_interval * self.random.uniform(0.5, 1.5)
        return True
