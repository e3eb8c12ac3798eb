"""How long a connection to a server stays unused after an answer; no I/O and no clock.

Answers carry no request id. A second copy of an answer that arrives while its connection carries the next
request would be taken for the answer to that one, and each later answer for that of the request before it. On
a connection that carries nothing it is recognised, and ends the connection.
"""

from __future__ import annotations

import math

MIN_REUSE_DELAY = 0.012  # seconds; a second answer that a server sends by mistake is usually there by then
MAX_REUSE_DELAY = (
    0.5  # seconds; bytes that come even later belong to no answer, such as a word before a close
)
OBSERVED_FACTOR = 2.0  # the next second answer may come later than the one observed
OBSERVATION_MEMORY = 60.0  # seconds


class ReuseDelay:
    """The delay for all servers that speak one protocol, extended while second answers come later."""

    def __init__(self, usual: float = MIN_REUSE_DELAY) -> None:
        """Create a delay of `usual` seconds, or of the minimum where connections are scarce."""
        self.usual = usual
        self.extended = MIN_REUSE_DELAY
        self.extended_until = -math.inf

    def seconds(self, now: float, scarce: bool = False) -> float:
        """Return how long a connection stays unused after an answer."""
        least = MIN_REUSE_DELAY if scarce else self.usual
        return max(least, self.extended) if now < self.extended_until else least

    def observe_unexpected_bytes(self, now: float, since_answer: float) -> None:
        """Learn from bytes that arrived on an unused connection, `since_answer` seconds after an answer."""
        if since_answer > MAX_REUSE_DELAY:
            return
        needed = min(MAX_REUSE_DELAY, OBSERVED_FACTOR * since_answer)
        if needed >= self.seconds(now, scarce=True):
            self.extended = needed
            self.extended_until = now + OBSERVATION_MEMORY
