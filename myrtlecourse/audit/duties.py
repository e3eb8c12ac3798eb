"""Whether duties were one router's at a time: rules on what routers obeyed, held and did.

Only a router knows what it obeys, so that this is told by routers themselves, with the times on the machine's
one monotonic clock; what was done is told by the commands that did it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

ROUNDING = 1e-4  # seconds: times are written in microseconds, and read by two calls of the clock

Breach = Callable[[str, float, str, str, str], None]  # what, when, router, duty, detail


class DutyRules:
    """Judges observations as they come."""

    def __init__(self, gap: float, breach: Breach) -> None:
        """`gap` seconds are the longest that a duty may have no holder, once it had one; 0: not judged."""
        self.gap = gap
        self.breach = breach
        self.obeyed: dict[tuple[str, str], int] = {}  # by duty and router: the token
        self.highest: dict[str, int] = {}
        self.done: dict[tuple[str, int], int] = {}  # by duty and step: the token
        self.holders: dict[str, dict[str, int]] = {}
        self.nobody: dict[str, float] = {}  # by duty: since when
        self.margins: dict[str, float] = {}

    def judge(self, what: seen.Observation) -> None:
        """One observation, in the order of their times."""
        match what:
            case seen.FollowsHolder():
                self._obeys(what)
            case seen.FollowsNobody():
                self.obeyed.pop((what.duty, what.router), None)
            case seen.HoldsDuty():
                self._holds(what)
            case seen.StepDone():
                before = self.done.get((what.duty, what.step))
                if before is not None:
                    detail = f"step {what.step} under {what.token}, and before under {before}"
                    self.breach("done_twice", what.at, what.router, what.duty, detail)
                self.done[what.duty, what.step] = what.token
            case seen.RouterDown():
                for duty, router in [key for key in self.obeyed if key[1] == what.router]:
                    del self.obeyed[duty, router]
                for duty, each in self.holders.items():
                    if each.pop(what.router, None) is not None and not each:
                        self.nobody[duty] = what.at

    def _obeys(self, what: seen.FollowsHolder) -> None:
        others = {t for (d, r), t in self.obeyed.items() if d == what.duty and r != what.router}
        for token in others - {what.token}:
            detail = f"{what.router} obeys {what.token} while others obey {token}"
            self.breach("two_obeyed", what.at, what.router, what.duty, detail)
        highest = self.highest.get(what.duty, 0)
        if what.token < highest:
            self.breach("stale_obeyed", what.at, what.router, what.duty, f"{what.token} after {highest}")
        self.highest[what.duty] = max(highest, what.token)
        self.obeyed[what.duty, what.router] = what.token

    def _holds(self, what: seen.HoldsDuty) -> None:
        each = self.holders.setdefault(what.duty, {})
        if what.token:
            since = self.nobody.pop(what.duty, math.inf)
            gap = what.at - since
            if self.gap and gap > 0:
                self.margins["nobody_too_long"] = max(
                    self.margins.get("nobody_too_long", 0.0), min(1.0, gap / self.gap)
                )
                if gap > self.gap:
                    detail = f"nobody held it for {gap:.2f} s"
                    self.breach("nobody_too_long", what.at, what.router, what.duty, detail)
            each[what.router] = what.token
        elif each.pop(what.router, None) is not None and not each:
            self.nobody[what.duty] = what.at
