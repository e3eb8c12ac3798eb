"""One question of a candidate to all voters, on trial or for their votes, and the answers; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.election.messages import Grant, Settings


@dataclass(slots=True)
class Ballot:
    """The question that was asked last."""

    term: int = -1
    number: int = 0
    trial: bool = False
    asked_at: float = 0.0
    is_retry: bool = False  # as the term before was too low for a majority
    granted: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    highest_denier_term: int = -1  # the highest term of those that denied

    def count_grant(self, sender: str, grant: Grant, settings: Settings) -> bool:
        """Count a yes to this question; whether a majority has said so."""
        if (grant.number, grant.trial) != (self.number, self.trial) or sender not in settings.voters:
            return False
        self.granted.add(sender)
        return len(self.granted) >= settings.majority

    def count_denial(self, sender: str, term: int, settings: Settings) -> bool:
        """Count a no; whether no majority is left that could say yes.

        One voter ahead of a majority says nothing: whoever held in its term had the word of one of them.
        """
        if sender not in settings.voters:
            return False
        self.denied.add(sender)
        self.highest_denier_term = max(term, self.highest_denier_term)
        return len(self.denied) > len(settings.voters) - settings.majority

    @property
    def term_too_low(self) -> bool:
        """Whether its term may be all that was wrong with it."""
        return self.highest_denier_term >= self.term and not self.is_retry
