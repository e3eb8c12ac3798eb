"""Numbers of questions, shared by all elections of one process; no I/O."""

from __future__ import annotations

import math
import random


class Count:
    """Numbers questions: those of one moment share theirs, so that one answer does for several duties.

    It begins anywhere, so that no answer to a question from before a restart counts now.
    """

    def __init__(self, chance: random.Random) -> None:
        self.number = chance.getrandbits(48)
        self.moment = -math.inf

    def at(self, now: float) -> int:
        """The number of what is asked now."""
        if now != self.moment:
            self.number, self.moment = self.number + 1, now
        return self.number
