"""Numbers of questions, shared by all elections of one process; no I/O."""

from __future__ import annotations

import math
import random


class QuestionNumbers:
    """Numbers questions: those of one moment share theirs, so that one answer does for several duties.

    It begins anywhere, so that no answer to a question from before a restart counts now.
    """

    def __init__(self, rng: random.Random) -> None:
        self.number = rng.getrandbits(48)
        self.last_time = -math.inf

    def number_at(self, now: float) -> int:
        """The number of what is asked now."""
        if now != self.last_time:
            self.number, self.last_time = self.number + 1, now
        return self.number
