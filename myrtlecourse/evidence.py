"""What the end of an attempt proves of its server: the one account that every other decision learns from.

An answer that never came while others did says that a packet or connection was lost, and nothing of the
server's load. None at all for a while says that the server has stalled or is gone. Only answers tell how
long answers take. No clock and no I/O: times are seconds on the caller's clock. The types it speaks in are
in `myrtlecourse/interface.py`.
"""

from __future__ import annotations

import math
from enum import Enum

from myrtlecourse.interface import Reachability, Status

FIRST_BUCKET = 0.001  # seconds: the upper end of the first bucket of latencies
BUCKET_RATIO = 1.25  # of one bucket's end to that of the next: a quantile is at most so much too long
BUCKETS = 44  # the last ends at 14.6 s; what takes longer is counted there
SAMPLE_DECAY = 0.98  # of a sample's weight that is left after the next one: about fifty are remembered
RESCALE_WEIGHT = (
    1e12  # weight of the latest sample at which all are made smaller again: a float holds far more
)
OVERDUE_FACTOR = 6.0  # times the usual latency after which an answer is more likely lost than late
MAX_SAMPLE_FACTOR = 4.0  # times what is usual: the most that one sample says
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
MIN_USUAL_LATENCY = 0.002  # seconds an answer takes at least, or a busy turn of the own loop looks like loss


class Verdict(Enum):
    """What an outcome says of the server it came from."""

    ANSWERED = "answered"  # in its usual course: a sample of how long answers take
    CROWDED = "crowded"  # it turned the attempt away unseen
    FAILED = "failed"  # fast, and telling nothing of load
    LOST = "lost"  # what was sent later has been answered
    STALLED = "stalled"  # nothing that was sent since has been answered in time
    INCONCLUSIVE = "nothing"  # the client left before an answer was due, or nothing was sent


def reachability_of(status: Status, verdict: Verdict) -> Reachability | None:
    """What an outcome proves of the way to its server, by the verdict on it; None when it proves nothing."""
    if status is Status.CONNECT_FAILED or status is Status.RESET:
        return Reachability.REFUSED
    if status in UNANSWERED:
        # one that is given up was overdue before, which has been told, or its answer may have been on its way
        return Reachability.SILENT if status is Status.TIMEOUT and verdict is Verdict.STALLED else None
    return Reachability.ANSWERED


FAILURE_STATUSES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED)
UNANSWERED = (Status.TIMEOUT, Status.CANCELLED, Status.NOT_SENT)


class Latencies:
    """How long answers take: a fading histogram in buckets of a constant ratio.

    Samples fade exponentially with the number that come after them (forward decay, Cormode et al., 2009).
    """

    __slots__ = ("counts", "total", "weight")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self.weight = 1.0

    def add(self, latency: float) -> None:
        """Count a sample (seconds)."""
        self.weight /= SAMPLE_DECAY
        self.counts[self._bucket(latency)] += self.weight
        self.total += self.weight
        if self.weight > RESCALE_WEIGHT:
            self.counts = [c / RESCALE_WEIGHT for c in self.counts]
            self.total /= RESCALE_WEIGHT
            self.weight /= RESCALE_WEIGHT

    def share_within(self, within: float) -> float:
        """The share of answers that take at most `within` seconds; 1 while nothing is known."""
        if within <= 0:
            return 0.0
        if not self.total:
            return 1.0
        last = self._bucket(within)
        whole = 0.0
        for i in range(last):
            whole += self.counts[i]
        # within the bucket evenly by the logarithm: else the chance would jump with its ends
        low = FIRST_BUCKET * BUCKET_RATIO ** (last - 1)
        part = math.log(within / low) / math.log(BUCKET_RATIO) if within > low else 0.0
        return (whole + min(1.0, part) * self.counts[last]) / self.total

    def quantile(self, share: float) -> float:
        """The time (seconds) within which that share of the answers comes, rounded up to its bucket's end.

        0 while nothing is known.
        """
        if not self.total:
            return 0.0
        left = share * self.total
        for i, count in enumerate(self.counts):
            left -= count
            if left <= 0 and count:
                return float(FIRST_BUCKET * BUCKET_RATIO**i)
        return float(FIRST_BUCKET * BUCKET_RATIO ** (BUCKETS - 1))

    def _bucket(self, latency: float) -> int:
        if latency <= FIRST_BUCKET:
            return 0
        return min(BUCKETS - 1, math.ceil(math.log(latency / FIRST_BUCKET) / math.log(BUCKET_RATIO) - 1e-9))


class Evidence:
    """What is proven of one server by the answers that came from it, and by those that did not."""

    __slots__ = (
        "last_answer_at",
        "last_sent_at",
        "latencies",
        "latest_answered_send",
        "unanswered_since",
        "resumed_at",
        "usual_latency",
    )

    def __init__(self) -> None:
        self.usual_latency = 0.0  # smoothed latency of answers (seconds), 0 before the first
        self.latencies = Latencies()
        self.unanswered_since = math.inf  # first send since anything was heard
        self.last_answer_at = -math.inf
        self.last_sent_at = -math.inf
        self.latest_answered_send = -math.inf  # the latest send that has been answered
        self.resumed_at = -math.inf  # the first answer after a stall

    def record_send(self, now: float) -> None:
        """An attempt goes out."""
        self.unanswered_since = min(self.unanswered_since, now)
        self.last_sent_at = now

    def overdue_after(self) -> float:
        """Seconds after which an attempt without an answer is more likely lost than late; 0 if unknown."""
        return OVERDUE_FACTOR * max(self.usual_latency, MIN_USUAL_LATENCY) if self.usual_latency else 0.0

    def is_overtaken(self, sent_at: float) -> bool:
        """Whether something that went out later has been answered."""
        return self.latest_answered_send > sent_at

    def trial_due(self, now: float, pause: float) -> bool:
        """Whether nothing has been heard for `pause` seconds of what is out, nor anything sent.

        Guards against places that are all held by what is lost: nothing goes out that could overtake it.
        """
        return now - self._silent_since() >= pause and now - self.last_sent_at >= pause

    def _silent_since(self) -> float:
        """When it was last heard, or the first send since."""
        return self.last_answer_at if self.unanswered_since == math.inf else self.unanswered_since

    def is_lost(self, now: float, sent_at: float) -> bool:
        """Whether an attempt that is still out is more likely lost than late."""
        # a millionth of grace: a timer set for that very time may come a rounding early
        return (
            bool(self.usual_latency)
            and now - sent_at >= self.overdue_after() - 1e-6
            and self.is_overtaken(sent_at)
        )

    def judge(self, now: float, sent_at: float, status: Status, latency: float) -> Verdict:
        """What the end of an attempt proves, and its latency as a sample if that is proven.

        To be told once of each attempt; `latency` is in seconds, without what the own process added.
        """
        if status is Status.NOT_SENT:
            return Verdict.INCONCLUSIVE
        if status in UNANSWERED:
            if now - sent_at < self.usual_latency:
                return Verdict.INCONCLUSIVE
            return Verdict.LOST if self.is_overtaken(sent_at) else Verdict.STALLED
        stall = self.overdue_after()
        # guards against a stall that ends: all that it held up comes at once, late, and would make a server
        # that is well again look slow for as long as it takes to forget so many answers
        held_up = sent_at < self.resumed_at and now - sent_at >= stall
        if stall and now - self._silent_since() >= stall:
            self.resumed_at = now
        self.unanswered_since = math.inf
        self.last_answer_at = now
        if status in FAILURE_STATUSES:
            return Verdict.FAILED
        self.latest_answered_send = max(self.latest_answered_send, sent_at)
        if status is Status.FULL:
            return Verdict.CROWDED
        if held_up:
            return Verdict.STALLED
        # guards against the one answer that took long: it says no more than a few times what is usual
        sample = min(latency, MAX_SAMPLE_FACTOR * self.usual_latency) if self.usual_latency else latency
        self.usual_latency += SMOOTHING * (sample - self.usual_latency)
        self.latencies.add(latency)
        return Verdict.ANSWERED
