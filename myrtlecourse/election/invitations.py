"""How candidates without a vote learn of a vacancy: voters invite them, each in its turn; no I/O."""

from __future__ import annotations

import math

from myrtlecourse.election.messages import FEW, Settings, turn_of


class Invitations:
    """One voter's, since nobody holds."""

    def __init__(self) -> None:
        self.vacant_at = math.inf  # when nobody held, as this voter knows
        self.turns = 0  # that have been, since then

    def due(self, now: float, vacant: bool, settings: Settings) -> list[str]:
        """Whom to invite now; from the first again once all have had their turn."""
        if not vacant or not settings.preferred:
            self.vacant_at = math.inf
            return []
        if self.vacant_at == math.inf:
            self.vacant_at, self.turns = now, 0
        names: list[str] = []
        while now >= self.next(settings):
            turn = self.turns % (settings.turns + 1)  # one more, for what the last one needs
            self.turns += 1
            # the first few again: what was said to them before may be lost
            names += [
                name
                for place, name in enumerate(settings.candidates)
                if name not in settings.voters and (turn_of(place) == turn or place < min(FEW, turn))
            ]
        return names

    def next(self, settings: Settings) -> float:
        """When the next turn is; never while somebody holds."""
        return self.vacant_at + self.turns * settings.heartbeat / 2
