"""A duty that is done in numbered steps, each by one router and once; events in, actions out, no I/O.

The state holds the last step that was claimed, the last that ended, and when the last was claimed. A step is
begun only after a majority has taken its claim, so that no later holder begins it again: at most once. One
that was claimed and is not known to have ended is told to staff, and not repeated.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.duties.messages import Value


class What(Enum):
    """What is to be done."""

    PLACE = "place"  # order this state
    RUN = "run"  # begin the step, if the duty is still held at that moment
    LEFT = "left"  # tell staff: a step before was claimed and is not known to have ended


@dataclass(slots=True, frozen=True)
class Do:
    """One thing to do."""

    what: What
    step: int
    value: Value = ()


class Steps:
    """A holder's part."""

    def __init__(self, every: float) -> None:
        """A step every so many seconds."""
        self.every = every
        self.token = 0  # 0: not the holder
        self.claimed = self.ended = 0
        self.claimed_at = 0  # Unix time in seconds
        self.claiming: int | None = None  # the order that has to last first
        self.running = False
        self.due = math.inf  # on the own clock

    def took(self, now: float, wall: float, token: int, value: Value) -> list[Do]:
        """The duty is this process's; `wall` is the Unix time."""
        self.token = token
        self.claimed, self.ended, self.claimed_at = value if len(value) == 3 else (0, 0, 0)
        self.claiming, self.running = None, False
        # guards the pace: a new holder goes on when the one before would have, and at the latest a step later
        since = min(max(0.0, wall - self.claimed_at), self.every)
        self.due = now + (self.every - since)
        return [Do(What.LEFT, self.claimed)] if self.claimed > self.ended else []

    def lost(self) -> None:
        """It is not any more."""
        self.token, self.due, self.claiming = 0, math.inf, None

    def tick(self, now: float, wall: float, last: int) -> list[Do]:
        """What is due; `last` is the number of the order before."""
        if not self.token or now < self.due or self.running or self.claiming is not None:
            return []
        self.claimed, self.claimed_at = self.claimed + 1, int(wall)
        self.claiming = last + 1
        self.due = now + self.every
        return [Do(What.PLACE, self.claimed, self._value())]

    def settled(self, token: int, number: int) -> list[Do]:
        """An order will last."""
        if token != self.token or self.claiming is None or number < self.claiming:
            return []
        self.claiming, self.running = None, True
        return [Do(What.RUN, self.claimed)]

    def done(self, token: int) -> list[Do]:
        """The step has ended, whatever came of it."""
        if token != self.token or not self.running:
            return []
        self.running, self.ended = False, self.claimed
        return [Do(What.PLACE, self.ended, self._value())]

    def _value(self) -> Value:
        return self.claimed, self.ended, self.claimed_at
