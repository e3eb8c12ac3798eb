"""The vote count of one round: the answers to a candidate's request for votes or pre-votes; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.election.messages import Grant, Settings


@dataclass(slots=True)
class VoteCount:
    """The request that a candidate sent last to all voters, and the answers to it."""

    term: int = -1
    request_id: int = 0
    pre_vote: bool = False  # whether the request asks for pre-votes
    asked_at: float = 0.0
    is_retry: bool = False  # whether it repeats a request whose term was too low for a majority
    granted: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    highest_denier_term: int = -1  # highest term reported by a voter that denied

    def count_grant(self, sender: str, grant: Grant, settings: Settings) -> bool:
        """Count a voter's grant of this request, and return whether a majority has granted it."""
        if (grant.number, grant.trial) != (self.request_id, self.pre_vote) or sender not in settings.voters:
            return False
        self.granted.add(sender)
        return len(self.granted) >= settings.majority

    def count_denial(self, sender: str, term: int, settings: Settings) -> bool:
        """Count a voter's denial, and return whether a majority can no longer grant the request.

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
        """Whether the voters may have denied this request only because its term was too low."""
        return self.highest_denier_term >= self.term and not self.is_retry
