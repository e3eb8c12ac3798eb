"""Numbers of questions, shared by all elections of one process; no I/O."""

from __future__ import annotations

import math
import random


class RequestIds:
    """Numbers the questions of this process.

    Questions asked at the same moment share a number, so that one answer can serve several duties. Numbering
    starts at a random value, so that an answer to a question from before a restart is not accepted.
    """

    def __init__(self, rng: random.Random) -> None:
        self.number = rng.getrandbits(48)
        self.last_time = -math.inf

    def id_at(self, now: float) -> int:
        """Returns the number of the questions that are asked at this time."""
        if now != self.last_time:
            self.number, self.last_time = self.number + 1, now
        return self.number
