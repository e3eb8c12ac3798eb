"""Invitations, by which voters tell each candidate without a vote of a vacancy at its turn; no I/O."""

from __future__ import annotations

import math

from myrtlecourse.election.messages import SINGLE_TURNS, Settings, turn_for_rank


class Invitations:
    """The invitations that one voter has sent in the current vacancy."""

    def __init__(self) -> None:
        self.started_turns = 0  # turns that have started in this vacancy
        self.next_at = math.inf  # when the next turn starts; infinity while some instance holds the duty

    def candidates_due(self, now: float, vacant: bool, settings: Settings) -> list[str]:
        """Return the candidates to invite now; start over once every candidate has had its turn.

        Turns that passed while this process was stopped are skipped: at two turns in each heartbeat, catching
        up after an hour would block the event loop.
        """
        if not vacant or not settings.preferred:
            self.reset()
            return []
        if now < self.next_at < math.inf:
            return []
        # one turn more, so that the last candidate has time to campaign
        turn = self.started_turns % (settings.turn_count + 1)
        self.started_turns += 1
        interval = settings.heartbeat / 2
        on_schedule = self.next_at + interval
        self.next_at = on_schedule if now < on_schedule < math.inf else now + interval
        # the first few are invited again, because earlier invitations may have been lost
        return [
            name
            for rank, name in enumerate(settings.candidates)
            if name not in settings.voters and (turn_for_rank(rank) == turn or rank < min(SINGLE_TURNS, turn))
        ]

    def reset(self) -> None:
        """End the vacancy; the next one starts with the most preferred candidate."""
        self.started_turns, self.next_at = 0, math.inf
