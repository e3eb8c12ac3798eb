"""What the end of an attempt proves about its server: its verdict, on which all decisions rely.

A missing answer while later requests were answered means that a packet or connection was lost; it says
nothing about the server's load. If nothing is answered for a while, the server has stalled or is gone. Only
answers show how long answers take. No clock and no I/O: times are seconds on the caller's clock. The types of
its interface are in `myrtlecourse/interface.py`.
"""

from __future__ import annotations

import math
from enum import Enum

from myrtlecourse.interface import Reachability, Status

FIRST_BUCKET = 0.001  # seconds: upper bound of the first latency bucket
BUCKET_RATIO = 1.25  # ratio of successive bounds: quantiles are too high by at most this factor
BUCKETS = 44  # number of buckets; the last one ends at 14.6 s and also counts everything longer
SAMPLE_DECAY = 0.98  # factor on a sample's weight with each further sample: about fifty samples count
RESCALE_WEIGHT = 1e12  # weight at which all weights are scaled down, far below the range of a float
OVERDUE_FACTOR = 6.0  # multiple of the usual latency after which an answer is more likely lost than late
MAX_SAMPLE_FACTOR = 4.0  # multiple of the usual latency: upper bound of a sample's effect
SMOOTHING = 0.2  # weight of the latest sample in a mean: about five answers count
MIN_USUAL_LATENCY = 0.002  # seconds: with less, a busy event loop would look like loss


class Verdict(Enum):
    """What an outcome says about its server."""

    ANSWERED = "answered"  # the server answered normally, and the latency is a valid sample
    CROWDED = "crowded"  # the server refused the attempt unprocessed, as it is full
    FAILED = "failed"  # an error or a broken connection: often fast, it says nothing about the load
    LOST = "lost"  # a later attempt has been answered
    STALLED = "stalled"  # no later attempt has been answered in time
    INCONCLUSIVE = "nothing"  # the attempt was given up before an answer was due, or not sent


def reachability_of(status: Status, verdict: Verdict) -> Reachability | None:
    """Return what an outcome proves about the connection to its server, or None if it proves nothing."""
    if status is Status.CONNECT_FAILED or status is Status.RESET:
        return Reachability.REFUSED
    if status in UNANSWERED:
        # a cancelled attempt was reported when it became overdue, or its answer may have been on its way
        return Reachability.SILENT if status is Status.TIMEOUT and verdict is Verdict.STALLED else None
    return Reachability.ANSWERED


FAILURE_STATUSES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED)
UNANSWERED = (Status.TIMEOUT, Status.CANCELLED, Status.NOT_SENT)


class Latencies:
    """The latency distribution of answers: a histogram with exponential bucket bounds.

    The weight of samples decays with the number of later samples (forward decay, Cormode et al., 2009).
    """

    __slots__ = ("counts", "total", "weight")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self.weight = 1.0

    def add(self, latency: float) -> None:
        """Add a sample (seconds)."""
        self.weight /= SAMPLE_DECAY
        self.counts[self._bucket(latency)] += self.weight
        self.total += self.weight
        if self.weight > RESCALE_WEIGHT:
            self.counts = [c / RESCALE_WEIGHT for c in self.counts]
            self.total /= RESCALE_WEIGHT
            self.weight /= RESCALE_WEIGHT

    def share_within(self, limit: float) -> float:
        """Return the share of answers that take at most `limit` seconds; 1 without samples."""
        if limit <= 0:
            return 0.0
        if not self.total:
            return 1.0
        last = self._bucket(limit)
        count = 0.0
        for i in range(last):
            count += self.counts[i]
        # samples of a bucket count as spread evenly on a logarithmic scale; otherwise the share would jump
        low = FIRST_BUCKET * BUCKET_RATIO ** (last - 1)
        part = math.log(limit / low) / math.log(BUCKET_RATIO) if limit > low else 0.0
        return (count + min(1.0, part) * self.counts[last]) / self.total

    def quantile(self, share: float) -> float:
        """Return the latency (seconds) of a quantile, rounded up to the bound of its bucket.

        Return 0 without samples.
        """
        if not self.total:
            return 0.0
        remaining = share * self.total
        for i, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0 and count:
                return float(FIRST_BUCKET * BUCKET_RATIO**i)
        return float(FIRST_BUCKET * BUCKET_RATIO ** (BUCKETS - 1))

    def _bucket(self, latency: float) -> int:
        if latency <= FIRST_BUCKET:
            return 0
        return min(BUCKETS - 1, math.ceil(math.log(latency / FIRST_BUCKET) / math.log(BUCKET_RATIO) - 1e-9))


class Evidence:
    """The evidence about one server, from the answers that it has sent and those that are missing."""

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
        self.unanswered_since = math.inf  # time of the first send since the latest answer
        self.last_answer_at = -math.inf
        self.last_sent_at = -math.inf
        self.latest_answered_send = -math.inf  # send time of the latest answered attempt
        self.resumed_at = -math.inf  # time of the first answer after a stall

    def record_send(self, now: float) -> None:
        """Record that an attempt is sent."""
        self.unanswered_since = min(self.unanswered_since, now)
        self.last_sent_at = now

    def overdue_after(self) -> float:
        """Return the seconds until an unanswered attempt is more likely lost than late; 0 if unknown."""
        return OVERDUE_FACTOR * max(self.usual_latency, MIN_USUAL_LATENCY) if self.usual_latency else 0.0

    def is_overtaken(self, sent_at: float) -> bool:
        """Return whether an attempt sent after this time has been answered."""
        return self.latest_answered_send > sent_at

    def probe_due(self, now: float, pause: float) -> bool:
        """Return whether for `pause` seconds the server has answered nothing and nothing was sent to it.

        When lost attempts hold all slots, nothing is sent that could overtake them, and they would never
        count as lost. A probe above the limit solves that: its answer proves them lost.
        """
        return now - self._silent_since() >= pause and now - self.last_sent_at >= pause

    def _silent_since(self) -> float:
        """Return the time of the first unanswered send since the latest answer or, without one, of that
        answer."""
        return self.last_answer_at if self.unanswered_since == math.inf else self.unanswered_since

    def is_lost(self, now: float, sent_at: float) -> bool:
        """Return whether an unanswered attempt is more likely lost than late."""
        # with a tolerance of a microsecond, as a timer for that time may fire early by a rounding error
        return (
            bool(self.usual_latency)
            and now - sent_at >= self.overdue_after() - 1e-6
            and self.is_overtaken(sent_at)
        )

    def judge(self, now: float, sent_at: float, status: Status, latency: float) -> Verdict:
        """Return what the end of an attempt proves, and add its latency as a sample if it is a valid one.

        Must be called once for each attempt. `latency` is in seconds, without delays in this process.
        """
        if status is Status.NOT_SENT:
            return Verdict.INCONCLUSIVE
        if status in UNANSWERED:
            if now - sent_at < self.usual_latency:
                return Verdict.INCONCLUSIVE
            return Verdict.LOST if self.is_overtaken(sent_at) else Verdict.STALLED
        stall = self.overdue_after()
        # when a stall ends, all delayed answers arrive at once: as samples they would make a healthy server
        # look slow until as many other samples have come
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
        # bounds the effect of a single slow answer
        sample = min(latency, MAX_SAMPLE_FACTOR * self.usual_latency) if self.usual_latency else latency
        self.usual_latency += SMOOTHING * (sample - self.usual_latency)
        self.latencies.add(latency)
        return Verdict.ANSWERED
