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


class StepAction(Enum):
    """What is to be done."""

    SET_STATE = "place"  # order this state
    RUN = "run"  # begin the step, if the duty is still held at that moment
    UNFINISHED = "left"  # tell staff: a step before was claimed and is not known to have ended


@dataclass(slots=True, frozen=True)
class StepTask:
    """One thing to do."""

    action: StepAction
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
        self.claim_order: int | None = None  # the order that has to last first
        self.running = False
        self.next_step_at = math.inf  # on the own clock

    def on_acquired(self, now: float, wall: float, token: int, value: Value) -> list[StepTask]:
        """The duty is this process's; `wall` is the Unix time."""
        self.token = token
        self.claimed, self.ended, self.claimed_at = value if len(value) == 3 else (0, 0, 0)
        self.claim_order, self.running = None, False
        # guards the pace: a new holder goes on when the one before would have, and at the latest a step later
        since = min(max(0.0, wall - self.claimed_at), self.every)
        self.next_step_at = now + (self.every - since)
        return [StepTask(StepAction.UNFINISHED, self.claimed)] if self.claimed > self.ended else []

    def on_lost(self) -> None:
        """It is not any more."""
        self.token, self.next_step_at, self.claim_order = 0, math.inf, None

    def tick(self, now: float, wall: float, last_order: int) -> list[StepTask]:
        """What is due; `last` is the number of the order before."""
        if not self.token or now < self.next_step_at or self.running or self.claim_order is not None:
            return []
        self.claimed, self.claimed_at = self.claimed + 1, int(wall)
        self.claim_order = last_order + 1
        self.next_step_at = now + self.every
        return [StepTask(StepAction.SET_STATE, self.claimed, self._value())]

    def on_committed(self, token: int, number: int) -> list[StepTask]:
        """An order will last."""
        if token != self.token or self.claim_order is None or number < self.claim_order:
            return []
        self.claim_order, self.running = None, True
        return [StepTask(StepAction.RUN, self.claimed)]

    def on_finished(self, token: int) -> list[StepTask]:
        """The step has ended, whatever came of it."""
        if token != self.token or not self.running:
            return []
        self.running, self.ended = False, self.claimed
        return [StepTask(StepAction.SET_STATE, self.ended, self._value())]

    def _value(self) -> Value:
        return self.claimed, self.ended, self.claimed_at
