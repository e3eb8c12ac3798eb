"""Slow start: how much of its traffic a cold server gets, as shares of what it can take when warm.

While other servers are warm, they take the requests that a cold server does not get. When all servers are
cold there is no other server: then each accepts a share of its requests that follows the mean warmth of the
fleet, and the rest is refused.

Two durations occur: `ramp_time` is the setting for how long the warm-up lasts, and a server counts as cold
for that time and one more window (`fall_window`), in which the warm-up ends.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Server


class SlowStart:
    """One router's measurements for the slow start: first choices, the fleet's warmth, and recent sends."""

    def __init__(self, now: float) -> None:
        # server -> requests for whose key it is the first on the ring
        self.first_choices: dict[str, int] = {}
        self.total = 0  # sum of these counts
        self.halve_at = now
        self.cold_until = (
            -math.inf
        )  # when the last cold server will be warm; read by the router and its selection
        self.next_measure_at = -math.inf
        self.max_warmth = 1.0  # warmth of the warmest server; read by the router and its selection
        self.mean_warmth = 1.0  # mean warmth of all servers, weighted by size
        self.recent_sends: dict[Server, list[float]] = {}  # times of the latest requests to each cold server
        # Whether a cold server has refused the request that is being routed. The server selection sets it.
        # The router reads it: if also no server is warm, the request fails because the fleet is cold.
        self.refused = False

    def server_started(self, started_at: float, cold_duration: float) -> None:
        """Record the start of a server that counts as cold for `cold_duration` seconds."""
        self.cold_until = max(self.cold_until, started_at + cold_duration)
        self.next_measure_at = -math.inf

    def count_first_choice(self, now: float, server: str, ramp_time: float, listed: Collection[str]) -> None:
        """Count a request by the first server for its key; counts are halved once per `ramp_time`."""
        if now > self.halve_at:
            self.halve_at = now + ramp_time
            self.first_choices = {
                name: n // 2 for name, n in self.first_choices.items() if n > 1 and name in listed
            }
            self.total = sum(self.first_choices.values())
        self.first_choices[server] = self.first_choices.get(server, 0) + 1
        self.total += 1

    def measure(self, now: float, ramp_time: float, servers: Iterable[tuple[float, float]]) -> None:
        """Compute the fleet's warmth from the warmth and size of each server."""
        self.next_measure_at = now + ramp_time / tuning.SLOW_START_STEPS
        self.max_warmth = weighted = size = 0.0
        for warmth, server_size in servers:
            self.max_warmth = max(self.max_warmth, warmth)
            weighted += warmth * server_size
            size += server_size
        self.mean_warmth = weighted / size if size else 1.0
        self.max_warmth = self.max_warmth or 1.0
        self.recent_sends = {
            server: times for server, times in self.recent_sends.items() if now < times[-1] + ramp_time
        }

    def accept_probability(
        self, server: str, fair_share: float, server_count: int, collapse_multiple: float
    ) -> float:
        """Return the probability with which a cold server accepts a request that the ring assigns to it.

        `fair_share` is its share of the total size; servers with popular keys get more requests than that.
        `collapse_multiple` is the load at which a server collapses, as a multiple of its capacity. It is at
        least COLD_CAPACITY_MULTIPLE: a server that collapses at less uses fewer of its points on the ring
        instead.

        The formula is for a fleet that is cold as a whole: its capacity follows from the fleet's mean warmth.
        Clients send a part of the refused requests again, so with a falling capacity the probability falls
        faster than the capacity does.
        """
        prior = tuning.FIRST_CHOICE_PRIOR * server_count
        arriving = (self.first_choices.get(server, 0) + prior * fair_share) / (self.total + prior)
        peak = tuning.OVERLOAD_FACTOR * (max(tuning.KEY_SKEW, arriving / fair_share) + tuning.BURST_SHARE)
        capacity = collapse_multiple * self.mean_warmth
        # The load includes the refused requests that clients send again:
        #     load = peak + REFUSED_RETRY_SHARE * (load - capacity)
        # The probability is capacity / load, at most 1. Both are multiplied by 1 - REFUSED_RETRY_SHARE here.
        scaled_capacity = (1 - tuning.REFUSED_RETRY_SHARE) * capacity
        return scaled_capacity / max(peak - tuning.REFUSED_RETRY_SHARE * capacity, scaled_capacity)

    def below_minimum_rate(self, now: float, server: Server, window: float, router_count: int) -> bool:
        """Return whether this router has sent a cold server less than its minimum of requests in the window.

        Any server can take FREE_COLD_SENDS requests per window from all routers together, however cold it is.
        This router's minimum is that number divided by the number of routers, rounded down.
        """
        times = self.recent_sends.get(server)
        own_sends = tuning.FREE_COLD_SENDS // router_count
        return own_sends > 0 and (
            times is None or len(times) < own_sends or times[-own_sends] <= now - window
        )

    def record_send(self, now: float, server: Server) -> None:
        """Record a request sent to a cold server."""
        last = self.recent_sends.get(server, [])[1 - tuning.FREE_COLD_SENDS :]
        self.recent_sends[server] = [*last, now]
