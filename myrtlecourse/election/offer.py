"""A duty that its holder has given up for one candidate, which stands for it until others may; no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Offer:
    """What one instance was offered last."""

    until: float = -math.inf  # when others may have it
    campaign_at: float = -math.inf  # when to stand for it, once more if it was in vain

    def start(self, now: float, handover_time: float) -> None:
        """It is offered for so many seconds."""
        self.until, self.campaign_at = now + handover_time, now

    def end(self) -> None:
        """Somebody holds it."""
        self.until = -math.inf

    def is_open(self, now: float) -> bool:
        """Whether it still stands."""
        return now < self.until

    def record_attempt(self, now: float, pause: float) -> None:
        """The instance stands for it; if that is in vain it may again after a pause, in seconds."""
        self.campaign_at = now + pause

    def next_at(self, now: float, allowed_at: float) -> float:
        """When something is due for it, where the instance may not stand before `ready_at`."""
        return max(now, min(self.until, max(self.campaign_at, allowed_at)))
