"""How candidates without a vote learn of a vacancy: voters invite them, each in its turn; no I/O."""

from __future__ import annotations

import math

from myrtlecourse.election.messages import SINGLE_TURNS, Settings, turn_for_rank


class Invitations:
    """One voter's, since nobody holds."""

    def __init__(self) -> None:
        self.turn_count = 0  # that have been, in this vacancy
        self.next_at = math.inf  # when the next turn is; never while somebody holds

    def candidates_due(self, now: float, vacant: bool, settings: Settings) -> list[str]:
        """Whom to invite now; from the first again once all have had their turn.

        Turns that passed while this process stood still are not made up for: two for each heartbeat of an
        hour would stop the event loop.
        """
        if not vacant or not settings.preferred:
            self.reset()
            return []
        if now < self.next_at < math.inf:
            return []
        turn = self.turn_count % (settings.turn_count + 1)  # one more, for what the last one needs
        self.turn_count += 1
        interval = settings.heartbeat / 2
        on_schedule = self.next_at + interval
        self.next_at = on_schedule if now < on_schedule < math.inf else now + interval
        # the first few again: what was said to them before may be lost
        return [
            name
            for rank, name in enumerate(settings.candidates)
            if name not in settings.voters and (turn_for_rank(rank) == turn or rank < min(SINGLE_TURNS, turn))
        ]

    def reset(self) -> None:
        """Somebody holds: the next vacancy begins with the most preferred."""
        self.turn_count, self.next_at = 0, math.inf
