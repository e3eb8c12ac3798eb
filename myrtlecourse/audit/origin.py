"""Whether routers together asked the origin for more than it bears; judged only where the figure is set."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

ORIGIN = "origin"
SECOND = 1.0


class OriginRule:
    """Judges observations as they come: fetches and writes that reach the origin, in every second."""

    def __init__(self, rate: float, breach: Callable[[float, str], None]) -> None:
        """`rate` a second are what it bears; 0: not judged. A breach is told when, and what it was."""
        self.rate = rate
        self.breach = breach
        self.lately: deque[float] = deque()
        self.over = False
        self.closest = 0.0  # 1 at the limit

    def judge(self, what: seen.Observation) -> None:
        """One observation, in the order of their times."""
        if not self.rate or not isinstance(what, seen.AttemptReceived) or what.box != ORIGIN:
            return
        self.lately.append(what.at)
        while self.lately[0] <= what.at - SECOND:
            self.lately.popleft()
        count = len(self.lately)
        self.closest = max(self.closest, min(1.0, count / self.rate))
        over = count > self.rate
        if over and not self.over:  # one breach for each time that it is asked for too much
            self.breach(what.at, f"{count} in a second, of {self.rate:g} that it bears")
        self.over = over
