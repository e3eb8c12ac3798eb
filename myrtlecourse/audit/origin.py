"""The rule that routers together must not overload the origin; judged only if its rate is configured."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

ORIGIN = "origin"
WINDOW = 1.0  # seconds
READING_DELAY = 10.0  # seconds after its arrival within which a held-up origin must have read a request


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
        self.recent: list[float] = []  # arrival times, in order
        self.over = False  # whether the rate was exceeded at the last request
        self.margin = 0.0  # the highest share of the limit that was reached, at most 1

    def judge(self, event: seen.Observation) -> None:
        """Judge an observation; observations must come in the order of their times.

        Requests count from their arrival: a held-up origin reads many at once.
        """
        if not self.rate or not isinstance(event, seen.AttemptReceived) or event.box != ORIGIN:
            return
        arrived = event.began
        position = bisect_right(self.recent, arrived)
        self.recent.insert(position, arrived)
        # Windows that end with a later arrival, read before this one, hold this one too.
        window_ends = self.recent[position : bisect_right(self.recent, arrived + WINDOW)]
        count = max(self._count_until(end) for end in window_ends)
        self.margin = max(self.margin, min(1.0, count / self.rate))
        over = count > self.rate
        if over and not self.over:  # each period of overload counts as one breach
            self.report_breach(arrived, f"{count} in a second, of {self.rate:g} that it bears")
        self.over = over
        del self.recent[: bisect_right(self.recent, event.at - READING_DELAY)]

    def _count_until(self, end: float) -> int:
        """Return the number of requests that arrived in the window that ends at a time."""
        return bisect_right(self.recent, end) - bisect_right(self.recent, end - WINDOW)
