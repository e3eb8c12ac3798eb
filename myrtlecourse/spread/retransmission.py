"""Requests for missing entries, to the parent and then to the other candidates, each for a bounded number of
entries."""

from __future__ import annotations

import math

from myrtlecourse.spread.applied_ranges import AppliedRanges, Range
from myrtlecourse.spread.messages import RetransmitRequest

MAX_REQUEST_ENTRIES = 512  # entries per request
MAX_TRIES = 2  # requests without an answer before another node is asked


class RetransmitRequests:
    """One open request at a time, and the node that it is sent to."""

    def __init__(self, retry: float) -> None:
        self.retry_delay = retry  # seconds without an answer before a request is repeated
        self.requested: Range | None = None
        self.candidate_offset = 0  # candidates from the parent on that were asked without success
        self.tries = 0
        self.retry_at = math.inf  # when to check again

    def target(self, parent: int, candidates: tuple[str, ...]) -> str:
        """Return the node to ask now; the parent comes first."""
        return candidates[(parent + self.candidate_offset) % len(candidates)] if candidates else ""

    def on_answer(self, now: float) -> None:
        """A requested entry has arrived, so the node that was asked has the entries."""
        self.tries = 0
        if self.retry_at < math.inf:
            self.retry_at = now + self.retry_delay

    def on_timeout(self) -> None:
        """A request was not answered in time."""
        self.tries += 1
        if self.tries >= MAX_TRIES:
            self.tries, self.candidate_offset = 0, self.candidate_offset + 1

    def smallest_gap(self, lanes: AppliedRanges, last: int) -> Range | None:
        """Return the shortest gap, so that a backlog does not delay new entries."""
        holes = lanes.gaps()
        if last > lanes.highest:
            holes.append((lanes.highest + 1, last))
        return min(holes, key=lambda hole: hole[1] - hole[0], default=None)

    def next_request(self, now: float, lanes: AppliedRanges, last: int) -> RetransmitRequest | None:
        """Return the request to send now, if any."""
        hole = self.smallest_gap(lanes, last)
        if hole is None:
            self.requested, self.retry_at, self.candidate_offset, self.tries = None, math.inf, 0, 0
            return None
        if self.requested is not None and hole[0] <= self.requested[1] and self.requested[0] <= hole[1]:
            if now < self.retry_at:
                return None
            self.on_timeout()
        count = min(hole[1] - hole[0] + 1, MAX_REQUEST_ENTRIES)
        self.requested = (hole[0], hole[0] + count - 1)
        self.retry_at = now + self.retry_delay
        return RetransmitRequest(hole[0], count)
