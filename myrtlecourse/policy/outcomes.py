"""What the end of an attempt teaches about its server, and whom it is reported to."""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import FAILURE_STATUSES, SMOOTHING, Verdict, reachability_of
from myrtlecourse.policy.limits import learn_limit
from myrtlecourse.policy.selection import ServerSelection
from myrtlecourse.policy.state import Attempt


class OutcomeLearning(ServerSelection):
    """Learns latencies and concurrency limits from attempts."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, observer: api.ReachabilityObserver | None = None
    ) -> None:
        super().__init__(settings, seed, now)
        self.observer = observer

    def _learn_from(self, attempt: Attempt, status: api.Status, latency: float) -> Verdict:
        """Learn from an attempt's end or the start of a long answer, whose end then only shows a failure."""
        server = attempt.server
        if attempt.response_begun:
            ended = Verdict.ANSWERED if status is api.Status.OK else Verdict.INCONCLUSIVE
            return Verdict.FAILED if status in FAILURE_STATUSES else ended
        verdict = server.evidence.judge(self.now, attempt.sent_at, status, latency)
        if server.is_cache and (verdict is Verdict.ANSWERED or verdict is Verdict.CROWDED):
            self.unit_latency += SMOOTHING * (latency / (1 + server.reported_load) - self.unit_latency)
        learn_limit(self.now, attempt, verdict, latency)
        return verdict

    def _notify_observer(self, attempt: Attempt, event: api.Outcome, verdict: Verdict) -> None:
        """Report an attempt's end once; one reported as overdue is reported again only if it is answered."""
        proven, server = reachability_of(event.status, verdict), attempt.server
        if self.observer is None or proven is None or (proven is api.Reachability.SILENT and attempt.overdue):
            return
        overloaded = (
            verdict is Verdict.CROWDED
            or proven is api.Reachability.ANSWERED
            and event.latency > attempt.target_latency
        )
        missed = event.status is api.Status.MISS
        self.observer.attempt_ended(
            self.now, server.entry.zone, not server.is_cache, proven, overloaded, missed
        )
