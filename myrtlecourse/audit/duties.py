"""Rules on duties: one holder at a time, rising fencing tokens, and no step done twice.

Only a router knows which holder it follows, so these observations come from the routers themselves, timed by
the machine's monotonic clock, which all processes share. The steps done are reported by the commands that did
them.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

ROUNDING = 1e-4  # seconds: times are written in microseconds, and read by two calls of the clock

ReportBreach = Callable[[str, float, str, str, str], None]  # rule, time, router, duty, detail


class DutyRules:
    """Judges observations against the rules on duties, one by one."""

    def __init__(self, max_gap: float, report_breach: ReportBreach) -> None:
        """Create the rules.

        Args:
            max_gap: seconds that a duty may be without a holder, once it had one; 0 turns that rule off.
            report_breach: called for each breach.
        """
        self.max_gap = max_gap
        self.report_breach = report_breach
        self.followed: dict[tuple[str, str], int] = {}  # the token that a router follows, by duty and router
        self.highest: dict[str, int] = {}  # the highest token that was followed, by duty
        self.done: dict[tuple[str, int], int] = {}  # the token under which a step was done, by duty and step
        self.holders: dict[str, dict[str, int]] = {}  # by duty: each router that holds it, and its token
        self.without_holder_since: dict[str, float] = {}  # since when a duty has no holder
        self.margins: dict[str, float] = {}

    def judge(self, event: seen.Observation) -> None:
        """Judge an observation; observations must come in the order of their times."""
        match event:
            case seen.FollowsHolder():
                self._follows_holder(event)
            case seen.FollowsNobody():
                self.followed.pop((event.duty, event.router), None)
            case seen.HoldsDuty():
                self._holds_duty(event)
            case seen.StepDone():
                before = self.done.get((event.duty, event.step))
                if before is not None:
                    detail = f"step {event.step} done under token {event.token}, and before under {before}"
                    self.report_breach("done_twice", event.at, event.router, event.duty, detail)
                self.done[event.duty, event.step] = event.token
            case seen.RouterDown():
                for duty, router in [key for key in self.followed if key[1] == event.router]:
                    del self.followed[duty, router]
                for duty, tokens in self.holders.items():
                    if tokens.pop(event.router, None) is not None and not tokens:
                        self.without_holder_since[duty] = event.at

    def _follows_holder(self, event: seen.FollowsHolder) -> None:
        others = {t for (d, r), t in self.followed.items() if d == event.duty and r != event.router}
        for token in others - {event.token}:
            detail = f"{event.router} follows token {event.token} while others follow {token}"
            self.report_breach("two_obeyed", event.at, event.router, event.duty, detail)
        highest = self.highest.get(event.duty, 0)
        if event.token < highest:
            self.report_breach(
                "stale_obeyed", event.at, event.router, event.duty, f"{event.token} after token {highest}"
            )
        self.highest[event.duty] = max(highest, event.token)
        self.followed[event.duty, event.router] = event.token

    def _holds_duty(self, event: seen.HoldsDuty) -> None:
        tokens = self.holders.setdefault(event.duty, {})
        if event.token:
            since = self.without_holder_since.pop(event.duty, math.inf)
            gap = event.at - since
            if self.max_gap and gap > 0:
                self.margins["nobody_too_long"] = max(
                    self.margins.get("nobody_too_long", 0.0), min(1.0, gap / self.max_gap)
                )
                if gap > self.max_gap:
                    detail = f"nobody held it for {gap:.2f} s"
                    self.report_breach("nobody_too_long", event.at, event.router, event.duty, detail)
            tokens[event.router] = event.token
        elif tokens.pop(event.router, None) is not None and not tokens:
            self.without_holder_since[event.duty] = event.at
