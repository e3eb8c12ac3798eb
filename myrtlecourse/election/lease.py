"""The words of voters that bear a holder's lease; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.election.messages import Settings


class Lease:
    """What a holder has asked, who has answered, and until when that bears it."""

    def __init__(self) -> None:
        self.asked: dict[int, float] = {}  # when each question of this term was asked
        self.renewed: dict[str, float] = {}  # when the last question was asked that each voter has answered
        self.until = -math.inf

    def won(self, granted: Iterable[str], asked_at: float) -> None:
        """Begin with the votes of an election, all asked for at once."""
        self.renewed = dict.fromkeys(granted, asked_at)
        self.asked.clear()
        self.until = -math.inf

    def ask(self, number: int, now: float, lease: float) -> None:
        """All voters are asked; what is older than a lease renews nothing any more."""
        self.asked[number] = now
        for old in [n for n, at in self.asked.items() if at < now - lease]:
            del self.asked[old]

    def renew(self, voter: str, number: int) -> bool:
        """A voter has given its word; False if the question is not known any more."""
        if number not in self.asked:
            return False
        self.renewed[voter] = max(self.asked[number], self.renewed.get(voter, -math.inf))
        return True

    def count(self, settings: Settings, now: float) -> None:
        """Count it anew, by all words."""
        self.until = max(self.until, self.borne_until(settings, now))

    def borne_until(self, settings: Settings, now: float) -> float:
        """Until when a majority's words bear it: from when the oldest of them was asked for."""
        others = [v for v in settings.voters if v != settings.name]
        asked = sorted((self.renewed.get(v, -math.inf) for v in others), reverse=True)
        needed = settings.majority - settings.votes
        oldest = asked[needed - 1] if needed else now
        return oldest + settings.safe_lease

    def over(self) -> None:
        """It is given up, or is to be counted by other voters."""
        self.until = -math.inf
