"""The words of voters that bear a holder's lease; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.election.messages import Settings


class Lease:
    """What a holder has asked, who has answered, and until when that bears it."""

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # when each question of this term was asked
        self.supported_from: dict[
            str, float
        ] = {}  # when the last question was asked that each voter has answered
        self.until = -math.inf

    def start(self, granted: Iterable[str], asked_at: float) -> None:
        """Begin with the votes of an election, all asked for at once."""
        self.supported_from = dict.fromkeys(granted, asked_at)
        self.requested_at.clear()
        self.until = -math.inf

    def record_request(self, number: int, now: float, lease: float) -> None:
        """All voters are asked; what is older than a lease renews nothing any more."""
        self.requested_at[number] = now
        for outdated in [n for n, at in self.requested_at.items() if at < now - lease]:
            del self.requested_at[outdated]

    def renew(self, voter: str, number: int) -> bool:
        """A voter has given its word; False if the question is not known any more."""
        if number not in self.requested_at:
            return False
        self.supported_from[voter] = max(self.requested_at[number], self.supported_from.get(voter, -math.inf))
        return True

    def update(self, settings: Settings, now: float) -> None:
        """Count it anew, by all words."""
        self.until = max(self.until, self.supported_until(settings, now))

    def supported_until(self, settings: Settings, now: float) -> float:
        """Until when a majority's words bear it: from when the oldest of them was asked for."""
        others = [v for v in settings.voters if v != settings.name]
        requested_at = sorted((self.supported_from.get(v, -math.inf) for v in others), reverse=True)
        needed = settings.majority - settings.is_voter
        oldest = requested_at[needed - 1] if needed else now
        return oldest + settings.safe_lease

    def end(self) -> None:
        """It is given up, or is to be counted by other voters."""
        self.until = -math.inf
