"""A duty done in numbered steps, each by one router and at most once; events in, actions out, no I/O.

The state holds the last step that was claimed, the last that finished, and the time of the last claim. A step
runs only after a majority of the members has accepted its claim, so that no later holder runs it again. A
step that was claimed and is not known to have finished is reported to operators and not repeated.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.duties.messages import Value


class StepAction(Enum):
    """What is to be done."""

    SET_STATE = "place"  # order this state to the members
    RUN = "run"  # run the step, if the duty is still held at that moment
    UNFINISHED = "left"  # report that an earlier step was claimed and is not known to have finished


@dataclass(slots=True, frozen=True)
class StepTask:
    """One action to be carried out."""

    action: StepAction
    step: int
    value: Value = ()


class Steps:
    """A holder's part in the steps."""

    def __init__(self, every: float) -> None:
        """`every` is the time in seconds from one step to the next."""
        self.every = every
        self.token = 0  # 0: this process does not hold the duty
        self.claimed = self.ended = 0  # the last step that was claimed, and the last that finished
        self.claimed_at = 0  # Unix time in seconds
        # number of the order that has to be committed before the step runs
        self.claim_order: int | None = None
        self.running = False
        self.next_step_at = math.inf  # on the monotonic clock

    def on_acquired(self, now: float, wall: float, token: int, value: Value) -> list[StepTask]:
        """Start a holding of the duty with its state `value`; `wall` is the Unix time in seconds."""
        self.token = token
        self.claimed, self.ended, self.claimed_at = value if len(value) == 3 else (0, 0, 0)
        self.claim_order, self.running = None, False
        # A new holder claims the next step when the previous holder would have. If the clocks disagree, the
        # step is at most one interval late.
        since = min(max(0.0, wall - self.claimed_at), self.every)
        self.next_step_at = now + (self.every - since)
        return [StepTask(StepAction.UNFINISHED, self.claimed)] if self.claimed > self.ended else []

    def on_lost(self) -> None:
        """End the holding."""
        self.token, self.next_step_at, self.claim_order = 0, math.inf, None

    def tick(self, now: float, wall: float, last_order: int) -> list[StepTask]:
        """Claim the next step when it is due; `last_order` is the number of the holder's last order."""
        if not self.token or now < self.next_step_at or self.running or self.claim_order is not None:
            return []
        self.claimed, self.claimed_at = self.claimed + 1, int(wall)
        self.claim_order = last_order + 1
        self.next_step_at = now + self.every
        return [StepTask(StepAction.SET_STATE, self.claimed, self._value())]

    def on_committed(self, token: int, number: int) -> list[StepTask]:
        """Run the claimed step once its claim is committed."""
        if token != self.token or self.claim_order is None or number < self.claim_order:
            return []
        self.claim_order, self.running = None, True
        return [StepTask(StepAction.RUN, self.claimed)]

    def on_finished(self, token: int) -> list[StepTask]:
        """Record that the step has ended, whatever its result."""
        if token != self.token or not self.running:
            return []
        self.running, self.ended = False, self.claimed
        return [StepTask(StepAction.SET_STATE, self.ended, self._value())]

    def _value(self) -> Value:
        return self.claimed, self.ended, self.claimed_at
