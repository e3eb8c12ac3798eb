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

FIRST = 0.001  # seconds: the upper end of the first bucket of latencies
RATIO = 1.25  # of one bucket's end to that of the next: a quantile is at most so much too long
BUCKETS = 44  # the last ends at 14.6 s; what takes longer is counted there
FADE = 0.98  # of a sample's weight that is left after the next one: about fifty are remembered
RESCALE = 1e12  # weight of the latest sample at which all are made smaller again: a float holds far more
OVERDUE = 6.0  # times the usual latency after which an answer is more likely lost than late
OUTLIER = 4.0  # times what is usual: the most that one sample says
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
LEAST_USUAL = 0.002  # seconds an answer takes at least, or a busy turn of the own loop looks like loss


class Verdict(Enum):
    """What an outcome says of the server it came from."""

    ANSWERED = "answered"  # in its usual course: a sample of how long answers take
    CROWDED = "crowded"  # it turned the attempt away unseen
    FAILED = "failed"  # fast, and telling nothing of load
    LOST = "lost"  # what was sent later has been answered
    STALLED = "stalled"  # nothing that was sent since has been answered in time
    NOTHING = "nothing"  # the client left before an answer was due, or nothing was sent


def reach(status: Status, verdict: Verdict) -> Reachability | None:
    """What an outcome proves of the way to its server, by the verdict on it; None when it proves nothing."""
    if status is Status.CONNECT_FAILED or status is Status.RESET:
        return Reachability.REFUSED
    if status in UNHEARD:
        # one that is given up was overdue before, which has been told, or its answer may have been on its way
        return Reachability.SILENT if status is Status.TIMEOUT and verdict is Verdict.STALLED else None
    return Reachability.ANSWERED


FAILURES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED)
UNHEARD = (Status.TIMEOUT, Status.CANCELLED, Status.NOT_SENT)


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
        self.weight /= FADE
        self.counts[self._bucket(latency)] += self.weight
        self.total += self.weight
        if self.weight > RESCALE:
            self.counts = [c / RESCALE for c in self.counts]
            self.total /= RESCALE
            self.weight /= RESCALE

    def chance(self, within: float) -> float:
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
        low = FIRST * RATIO ** (last - 1)
        part = math.log(within / low) / math.log(RATIO) if within > low else 0.0
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
                return float(FIRST * RATIO**i)
        return float(FIRST * RATIO ** (BUCKETS - 1))

    def _bucket(self, latency: float) -> int:
        if latency <= FIRST:
            return 0
        return min(BUCKETS - 1, math.ceil(math.log(latency / FIRST) / math.log(RATIO) - 1e-9))


class Evidence:
    """What is proven of one server by the answers that came from it, and by those that did not."""

    __slots__ = ("heard_at", "last_sent", "latencies", "latest_sent", "quiet_since", "resumed_at", "usual")

    def __init__(self) -> None:
        self.usual = 0.0  # smoothed latency of answers (seconds), 0 before the first
        self.latencies = Latencies()
        self.quiet_since = math.inf  # first send since anything was heard
        self.heard_at = -math.inf
        self.last_sent = -math.inf
        self.latest_sent = -math.inf  # the latest send that has been answered
        self.resumed_at = -math.inf  # the first answer after a stall

    def sent(self, now: float) -> None:
        """An attempt goes out."""
        self.quiet_since = min(self.quiet_since, now)
        self.last_sent = now

    def overdue_after(self) -> float:
        """Seconds after which an attempt without an answer is more likely lost than late; 0 if unknown."""
        return OVERDUE * max(self.usual, LEAST_USUAL) if self.usual else 0.0

    def overtaken(self, sent_at: float) -> bool:
        """Whether something that went out later has been answered."""
        return self.latest_sent > sent_at

    def trial_due(self, now: float, pause: float) -> bool:
        """Whether nothing has been heard for `pause` seconds of what is out, nor anything sent.

        Guards against places that are all held by what is lost: nothing goes out that could overtake it.
        """
        return now - self._quiet_from() >= pause and now - self.last_sent >= pause

    def _quiet_from(self) -> float:
        """When it was last heard, or the first send since."""
        return self.heard_at if self.quiet_since == math.inf else self.quiet_since

    def lost(self, now: float, sent_at: float) -> bool:
        """Whether an attempt that is still out is more likely lost than late."""
        # a millionth of grace: a timer set for that very time may come a rounding early
        return bool(self.usual) and now - sent_at >= self.overdue_after() - 1e-6 and self.overtaken(sent_at)

    def judge(self, now: float, sent_at: float, status: Status, latency: float) -> Verdict:
        """What the end of an attempt proves, and its latency as a sample if that is proven.

        To be told once of each attempt; `latency` is in seconds, without what the own process added.
        """
        if status is Status.NOT_SENT:
            return Verdict.NOTHING
        if status in UNHEARD:
            if now - sent_at < self.usual:
                return Verdict.NOTHING
            return Verdict.LOST if self.overtaken(sent_at) else Verdict.STALLED
        stall = self.overdue_after()
        # guards against a stall that ends: all that it held up comes at once, late, and would make a server
        # that is well again look slow for as long as it takes to forget so many answers
        held_up = sent_at < self.resumed_at and now - sent_at >= stall
        if stall and now - self._quiet_from() >= stall:
            self.resumed_at = now
        self.quiet_since = math.inf
        self.heard_at = now
        if status in FAILURES:
            return Verdict.FAILED
        self.latest_sent = max(self.latest_sent, sent_at)
        if status is Status.FULL:
            return Verdict.CROWDED
        if held_up:
            return Verdict.STALLED
        # guards against the one answer that took long: it says no more than a few times what is usual
        sample = min(latency, OUTLIER * self.usual) if self.usual else latency
        self.usual += SMOOTHING * (sample - self.usual)
        self.latencies.add(latency)
        return Verdict.ANSWERED
