"""What a node misses, and asks its parent for, then its next candidates: a bounded number at a time."""

from __future__ import annotations

import math

from myrtlecourse.spread.applied_ranges import Lanes, Range
from myrtlecourse.spread.messages import Want

AT_A_TIME = 512  # entries
TRIES = 2  # without an entry, after which another is asked


class Asking:
    """One question at a time; and whom."""

    def __init__(self, retry: float) -> None:
        self.retry = retry  # seconds without an entry after which a question is asked again
        self.asked: Range | None = None
        self.turn = 0  # candidates from the parent on that were asked in vain
        self.tries = 0
        self.at = math.inf  # when to look again

    def whom(self, parent: int, candidates: tuple[str, ...]) -> str:
        """To ask now; the parent first."""
        return candidates[(parent + self.turn) % len(candidates)] if candidates else ""

    def came(self, now: float) -> None:
        """Something did that was asked for: the one that is asked has it."""
        self.tries = 0
        if self.at < math.inf:
            self.at = now + self.retry

    def vain(self) -> None:
        """A question was not answered."""
        self.tries += 1
        if self.tries >= TRIES:
            self.tries, self.turn = 0, self.turn + 1

    def missing(self, lanes: Lanes, last: int) -> Range | None:
        """What to ask for first: the shortest hole, so that a backlog does not hold up what is new."""
        holes = lanes.holes()
        if last > lanes.top:
            holes.append((lanes.top + 1, last))
        return min(holes, key=lambda hole: hole[1] - hole[0], default=None)

    def next(self, now: float, lanes: Lanes, last: int) -> Want | None:
        """The question to ask now, if there is one."""
        hole = self.missing(lanes, last)
        if hole is None:
            self.asked, self.at, self.turn, self.tries = None, math.inf, 0, 0
            return None
        if self.asked is not None and hole[0] <= self.asked[1] and self.asked[0] <= hole[1]:
            if now < self.at:
                return None
            self.vain()
        count = min(hole[1] - hole[0] + 1, AT_A_TIME)
        self.asked = (hole[0], hole[0] + count - 1)
        self.at = now + self.retry
        return Want(hole[0], count)
