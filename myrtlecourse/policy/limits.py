"""What a router learns of a server's limit, and when it leaves a server out."""

from __future__ import annotations

from random import Random

from myrtlecourse.evidence import MAX_SAMPLE_FACTOR, SMOOTHING, Verdict
from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Attempt, Server


def learn_limit(now: float, attempt: Attempt, verdict: Verdict, latency: float) -> None:
    """Adapt what this router has out at a server: less when it is slow or full, else more.

    Nothing else moves it: neither what is lost nor a stall says what a server bears.
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
        if verdict is Verdict.CROWDED:  # what is out there now is what it bears
            server.limit = max(1.0, min(server.limit, server.in_flight))
    # bounds it from above, by twice what is out: room that nothing has tried proves nothing
    elif server.in_flight + 1 >= server.limit / 2:
        server.limit += (
            1.0
            if not server.is_cache and server.latency_ratio < tuning.FAST_LATENCY_RATIO
            else 1 / server.limit
        )


def record_failure(now: float, server: Server, failed: bool, count: int, ramp: float, chance: Random) -> None:
    """Guards retries: keys of a server that fails each attempt at once would spend them all.

    `failed` is to be false where too many others are out.
    """
    if not failed or not server.is_cache:
        server.consecutive_failures, server.exclusion_time = 0, 0.0
        return
    server.consecutive_failures += count
    if server.consecutive_failures >= tuning.EXCLUSION_FAILURES and now >= server.excluded_until:
        server.exclusion_time = min(ramp, max(tuning.EXCLUSION_TIME, 2 * server.exclusion_time))
        server.excluded_until = now + server.exclusion_time * chance.uniform(0.5, 1.0)
        # it may come back cold, and the list tells it late
        server.limit = min(server.limit, tuning.INITIAL_LIMIT)
