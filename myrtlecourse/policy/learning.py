"""What a router learns of a server's limit, and when it leaves a server out."""

from __future__ import annotations

from random import Random

from myrtlecourse.evidence import OUTLIER, SMOOTHING, Verdict
from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Attempt, Server


def learn_limit(now: float, attempt: Attempt, verdict: Verdict, latency: float) -> None:
    """Adapt what this router has out at a server: less when it is slow or full, else more.

    Nothing else moves it: neither what is lost nor a stall says what a server bears.
    """
    server = attempt.server
    if verdict not in (Verdict.ANSWERED, Verdict.CROWDED):
        return
    server.slowness += SMOOTHING * (min(OUTLIER, latency / attempt.target) - server.slowness)
    if verdict is Verdict.CROWDED or server.slowness > 1.0:
        if now - server.cut_at > attempt.target:
            server.limit = max(1.0, server.limit * tuning.LIMIT_CUT)
            server.cut_at = now
        if verdict is Verdict.CROWDED:  # what is out there now is what it bears
            server.limit = max(1.0, min(server.limit, server.load))
    # bounds it from above, by twice what is out: room that nothing has tried proves nothing
    elif server.load + 1 >= server.limit / 2:
        server.limit += 1.0 if not server.cache and server.slowness < tuning.EASY else 1 / server.limit


def note_failure(now: float, server: Server, failed: bool, count: int, ramp: float, chance: Random) -> None:
    """Guards retries: keys of a server that fails each attempt at once would spend them all.

    `failed` is to be false where too many others are out.
    """
    if not failed or not server.cache:
        server.failures, server.pause = 0, 0.0
        return
    server.failures += count
    if server.failures >= tuning.FAILURES and now >= server.out_until:
        server.pause = min(ramp, max(tuning.PAUSE, 2 * server.pause))
        server.out_until = now + server.pause * chance.uniform(0.5, 1.0)
        # it may come back cold, and the list tells it late
        server.limit = min(server.limit, tuning.LIMIT_START)
