"""Adaptive limits of attempts in flight at each server, and the exclusion of failing servers.

The limit follows additive increase, multiplicative decrease (AIMD) on the latency of answers.
"""

from __future__ import annotations

from random import Random

from myrtlecourse.evidence import MAX_SAMPLE_FACTOR, SMOOTHING, Verdict
from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Attempt, Server


def learn_limit(now: float, attempt: Attempt, verdict: Verdict, latency: float) -> None:
    """Adapt a server's limit to the end of an attempt: lower it if the server is slow or full, else raise it.

    Lost and stalled attempts don't change the limit, as they prove nothing about the server's capacity.
    """
    server = attempt.server
    if verdict not in (Verdict.ANSWERED, Verdict.CROWDED):
        return
    server.latency_ratio += SMOOTHING * (
        min(MAX_SAMPLE_FACTOR, latency / attempt.target_latency) - server.latency_ratio
    )
    if verdict is Verdict.CROWDED or server.latency_ratio > 1.0:
        if now - server.limit_cut_at > attempt.target_latency:
            server.limit = max(1.0, server.limit * tuning.LIMIT_CUT)
            server.limit_cut_at = now
        if verdict is Verdict.CROWDED:  # the server can take no more than the attempts in flight now
            server.limit = max(1.0, min(server.limit, server.in_flight))
    # The limit grows to at most twice the attempts in flight: that a higher one would hold is not proven.
    elif server.in_flight + 1 >= server.limit / 2:
        server.limit += (
            1.0
            if not server.is_cache and server.latency_ratio < tuning.FAST_LATENCY_RATIO
            else 1 / server.limit
        )


def record_outcome(
    now: float, server: Server, failed: bool, count: int, ramp_time: float, random: Random
) -> None:
    """Count a failure `count` times, and exclude a server with too many consecutive ones; without a failure,
    start the count again.

    Without exclusions, the keys of a server that fails every attempt at once would use up the retry budget.
    `failed` has to be false while too many other servers are excluded.
    """
    if not failed or not server.is_cache:
        server.consecutive_failures, server.exclusion_time = 0, 0.0
        return
    server.consecutive_failures += count
    if server.consecutive_failures >= tuning.EXCLUSION_FAILURES and now >= server.excluded_until:
        server.exclusion_time = min(ramp_time, max(tuning.EXCLUSION_TIME, 2 * server.exclusion_time))
        server.excluded_until = now + server.exclusion_time * random.uniform(0.5, 1.0)
        # the server may have restarted and be cold, which the list may show late
        server.limit = min(server.limit, tuning.INITIAL_LIMIT)
