"""An offer of a duty, whose holder has stepped down in favour of one candidate; no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Offer:
    """The offer that this instance received last.

    The instance campaigns again and again until some instance holds the duty or the offer ends. After that,
    other candidates may campaign as well.
    """

    until: float = -math.inf  # when other candidates may campaign too
    campaign_at: float = -math.inf  # when to campaign next; a campaign that failed is repeated

    def start(self, now: float, handover_time: float) -> None:
        """Start an offer that lasts for `handover_time` seconds."""
        self.until, self.campaign_at = now + handover_time, now

    def end(self) -> None:
        """End the offer, because some instance holds the duty."""
        self.until = -math.inf

    def is_open(self, now: float) -> bool:
        """Whether the offer has not ended."""
        return now < self.until

    def record_attempt(self, now: float, pause: float) -> None:
        """Record a campaign; if it fails, the next one may start after `pause` seconds."""
        self.campaign_at = now + pause

    def next_at(self, now: float, allowed_at: float) -> float:
        """Return when to campaign next or, if that is earlier, when the offer ends.

        No campaign may start before `allowed_at`.
        """
        return max(now, min(self.until, max(self.campaign_at, allowed_at)))
