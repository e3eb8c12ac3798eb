"""The asking side of retransmission: requests for missing entries, to the parent and then to the other
candidates, each for a bounded number of entries. The serving side is in `retransmit_queue.py`."""

from __future__ import annotations

import math

from myrtlecourse.spread.applied_ranges import AppliedRanges, Range
from myrtlecourse.spread.messages import RetransmitRequest

MAX_REQUEST_ENTRIES = 512  # entries per request
MAX_TRIES = 2  # requests without an answer before another node is asked


class RetransmitRequests:
    """One open request at a time, and the node that it is sent to."""

    def __init__(self, retry_delay: float) -> None:
        self.retry_delay = retry_delay  # seconds without an answer before a request is repeated
        self.requested: Range | None = None
        self.candidate_offset = 0  # number of candidates, the parent first, that were asked without success
        self.tries = 0
        self.retry_at = math.inf  # when to check again

    def target(self, parent: int, candidates: tuple[str, ...]) -> str:
        """Return the node to ask now; the parent comes first."""
        return candidates[(parent + self.candidate_offset) % len(candidates)] if candidates else ""

    def on_answer(self, now: float) -> None:
        """Record that the node that was asked has answered, so the count of tries begins anew."""
        self.tries = 0
        if self.retry_at < math.inf:
            self.retry_at = now + self.retry_delay

    def on_timeout(self) -> None:
        """Record that a request was not answered in time; after MAX_TRIES ask the next candidate."""
        self.tries += 1
        if self.tries >= MAX_TRIES:
            self.tries, self.candidate_offset = 0, self.candidate_offset + 1

    def smallest_gap(self, applied: AppliedRanges, last: int) -> Range | None:
        """Return the shortest gap, so that a backlog does not delay new entries."""
        gaps = applied.gaps()
        if last > applied.highest:
            gaps.append((applied.highest + 1, last))
        return min(gaps, key=lambda gap: gap[1] - gap[0], default=None)

    def next_request(self, now: float, applied: AppliedRanges, last: int) -> RetransmitRequest | None:
        """Return the request to send now, if any."""
        gap = self.smallest_gap(applied, last)
        if gap is None:
            self.requested, self.retry_at, self.candidate_offset, self.tries = None, math.inf, 0, 0
            return None
        if self.requested is not None and gap[0] <= self.requested[1] and self.requested[0] <= gap[1]:
            if now < self.retry_at:
                return None
            self.on_timeout()
        count = min(gap[1] - gap[0] + 1, MAX_REQUEST_ENTRIES)
        self.requested = (gap[0], gap[0] + count - 1)
        self.retry_at = now + self.retry_delay
        return RetransmitRequest(gap[0], count)
