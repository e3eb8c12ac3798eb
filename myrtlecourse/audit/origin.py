"""The rule that routers together must not overload the origin; judged only if its rate is configured."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

ORIGIN = "origin"
WINDOW = 1.0  # seconds


class OriginRule:
    """Counts fetches and writes that reach the origin within any second; a breach is more than a rate."""

    def __init__(self, rate: float, report_breach: Callable[[float, str], None]) -> None:
        """Create the rule.

        Args:
            rate: requests a second that the origin can bear; 0 turns the rule off.
            report_breach: called with the time and the details of each breach.
        """
        self.rate = rate
        self.report_breach = report_breach
        self.recent: deque[float] = deque()
        self.over = False  # whether the rate was exceeded at the last request
        self.margin = 0.0  # the highest share of the limit that was reached, at most 1

    def judge(self, event: seen.Observation) -> None:
        """Judge an observation; observations must come in the order of their times."""
        if not self.rate or not isinstance(event, seen.AttemptReceived) or event.box != ORIGIN:
            return
        self.recent.append(event.at)
        while self.recent[0] <= event.at - WINDOW:
            self.recent.popleft()
        count = len(self.recent)
        self.margin = max(self.margin, min(1.0, count / self.rate))
        over = count > self.rate
        if over and not self.over:  # each period of overload counts as one breach
            self.report_breach(event.at, f"{count} in a second, of {self.rate:g} that it bears")
        self.over = over
