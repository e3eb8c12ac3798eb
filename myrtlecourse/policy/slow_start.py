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
        self.first_choices: dict[str, int] = {}  # requests for whose key a server comes first, by server
        self.total = 0
        self.halve_at = now
        self.cold_until = -math.inf  # from then on no server is
        self.next_measure_at = -math.inf
        self.max_warmth = 1.0  # how warm the warmest server is
        self.mean_warmth = 1.0  # how warm all servers together are
        self.recent_sends: dict[Server, list[float]] = {}  # when the last ones went to each cold server
        self.refused = False  # the request that was looked at last, by a cold server

    def server_started(self, started: float, lasts: float) -> None:
        """A server has started, and is cold for so many seconds."""
        self.cold_until = max(self.cold_until, started + lasts)
        self.next_measure_at = -math.inf

    def count_first_choice(self, now: float, server: str, ramp: float, listed: Collection[str]) -> None:
        """Count a request for whose key a server comes first, in a memory that halves every ramp."""
        if now > self.halve_at:
            self.halve_at = now + ramp
            self.first_choices = {
                name: n // 2 for name, n in self.first_choices.items() if n > 1 and name in listed
            }
            self.total = sum(self.first_choices.values())
        self.first_choices[server] = self.first_choices.get(server, 0) + 1
        self.total += 1

    def measure(self, now: float, ramp: float, servers: Iterable[tuple[float, float]]) -> None:
        """Take how warm each server is, and its size."""
        self.next_measure_at = now + ramp / tuning.SLOW_START_STEPS
        self.max_warmth = warm = size = 0.0
        for each, its_size in servers:
            self.max_warmth = max(self.max_warmth, each)
            warm += each * its_size
            size += its_size
        self.mean_warmth = warm / size if size else 1.0
        self.max_warmth = self.max_warmth or 1.0
        self.recent_sends = {
            server: calls for server, calls in self.recent_sends.items() if now < calls[-1] + ramp
        }

    def accept_probability(self, server: str, fair: float, servers: int, multiple: float) -> float:
        """The chance with which a cold server takes what its points on the ring give it.

        `fair` is its share of the size of all; popular keys bring more than that to some. `multiple` is how
        many times what it can do it bears, where its points count in full. What is refused comes again in
        part, so that the chance falls faster than what the fleet bears. 1 at most.
        """
        prior = tuning.FIRST_CHOICE_PRIOR * servers
        comes = (self.first_choices.get(server, 0) + prior * fair) / (self.total + prior)
        most = tuning.OVERLOAD_FACTOR * (max(tuning.KEY_SKEW, comes / fair) + tuning.BURST_SHARE)
        bears = multiple * self.mean_warmth
        once = (1 - tuning.REFUSED_RETRY_SHARE) * bears
        return once / max(most - tuning.REFUSED_RETRY_SHARE * bears, once)

    def has_free_send(self, now: float, server: Server, window: float, router_count: int) -> bool:
        """Whether a cold server bears one more call whatever it can do."""
        calls = self.recent_sends.get(server)
        own = tuning.FREE_COLD_SENDS // router_count
        return own > 0 and (calls is None or len(calls) < own or calls[-own] <= now - window)

    def record_send(self, now: float, server: Server) -> None:
        """A cold server gets a call."""
        last = self.recent_sends.get(server, [])[1 - tuning.FREE_COLD_SENDS :]
        self.recent_sends[server] = [*last, now]
