"""What a fleet bears while servers of it start cold, as shares of what it bears when all are warm.

As long as others are warm they take what a cold server leaves. With all of them cold nobody does: then each
takes a part of what comes for it, by how warm the fleet is, and the rest is refused.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Server


class SlowStart:
    """What one router counts for it."""

    def __init__(self, now: float) -> None:
        self.first: dict[str, int] = {}  # requests for whose key a server comes first, by server
        self.total = 0
        self.halve_at = now
        self.cold_until = -math.inf  # from then on no server is
        self.measure_at = -math.inf
        self.warmest = 1.0  # how warm the warmest server is
        self.warm = 1.0  # how warm all servers together are
        self.calls: dict[Server, list[float]] = {}  # when the last ones went to each cold server
        self.turned_away = False  # the request that was looked at last, by a cold server

    def began(self, started: float, lasts: float) -> None:
        """A server has started, and is cold for so many seconds."""
        self.cold_until = max(self.cold_until, started + lasts)
        self.measure_at = -math.inf

    def comes(self, now: float, server: str, ramp: float, listed: Collection[str]) -> None:
        """Count a request for whose key a server comes first, in a memory that halves every ramp."""
        if now > self.halve_at:
            self.halve_at = now + ramp
            self.first = {name: n // 2 for name, n in self.first.items() if n > 1 and name in listed}
            self.total = sum(self.first.values())
        self.first[server] = self.first.get(server, 0) + 1
        self.total += 1

    def measure(self, now: float, ramp: float, servers: Iterable[tuple[float, float]]) -> None:
        """Take how warm each server is, and its size."""
        self.measure_at = now + ramp / tuning.SLOW_START_STEPS
        self.warmest = warm = size = 0.0
        for each, its_size in servers:
            self.warmest = max(self.warmest, each)
            warm += each * its_size
            size += its_size
        self.warm = warm / size if size else 1.0
        self.warmest = self.warmest or 1.0
        self.calls = {server: calls for server, calls in self.calls.items() if now < calls[-1] + ramp}

    def chance(self, server: str, fair: float, servers: int, multiple: float) -> float:
        """The chance with which a cold server takes what its points on the ring give it.

        `fair` is its share of the size of all; popular keys bring more than that to some. `multiple` is how
        many times what it can do it bears, where its points count in full. What is refused comes again in
        part, so that the chance falls faster than what the fleet bears. 1 at most.
        """
        prior = tuning.PRIOR * servers
        comes = (self.first.get(server, 0) + prior * fair) / (self.total + prior)
        most = tuning.MOST_LOAD * (max(tuning.UNEVEN, comes / fair) + tuning.CHANCE)
        bears = multiple * self.warm
        once = (1 - tuning.COME_AGAIN) * bears
        return once / max(most - tuning.COME_AGAIN * bears, once)

    def free(self, now: float, server: Server, window: float, siblings: int) -> bool:
        """Whether a cold server bears one more call whatever it can do."""
        calls = self.calls.get(server)
        own = tuning.FREE_CALLS // siblings
        return own > 0 and (calls is None or len(calls) < own or calls[-own] <= now - window)

    def sent(self, now: float, server: Server) -> None:
        """A cold server gets a call."""
        last = self.calls.get(server, [])[1 - tuning.FREE_CALLS :]
        self.calls[server] = [*last, now]
