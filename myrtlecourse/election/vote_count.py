"""The votes for one question of a candidate, either a trial question or a request for votes; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.election.messages import Grant, Settings


@dataclass(slots=True)
class VoteCount:
    """The question that a candidate asked last, and the answers to it."""

    term: int = -1
    number: int = 0
    pre_vote: bool = False
    asked_at: float = 0.0
    is_retry: bool = False  # asked once more because the previous term was too low for a majority
    granted: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    highest_denier_term: int = -1  # highest term reported by a voter that denied

    def count_grant(self, sender: str, grant: Grant, settings: Settings) -> bool:
        """Counts a grant of this question and returns whether a majority has granted it."""
        if (grant.number, grant.trial) != (self.number, self.pre_vote) or sender not in settings.voters:
            return False
        self.granted.add(sender)
        return len(self.granted) >= settings.majority

    def count_denial(self, sender: str, term: int, settings: Settings) -> bool:
        """Counts a denial and returns whether a majority can no longer be reached.

        A single voter in a higher term proves nothing: a holder elected in that term would have the promise
        of at least one voter of every majority.
        """
        if sender not in settings.voters:
            return False
        self.denied.add(sender)
        self.highest_denier_term = max(term, self.highest_denier_term)
        return len(self.denied) > len(settings.voters) - settings.majority

    @property
    def term_too_low(self) -> bool:
        """Whether a majority may have denied only because the term was too low."""
        return self.highest_denier_term >= self.term and not self.is_retry
