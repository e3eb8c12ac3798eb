"""A holder's lease, computed from the promises of the voters; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.election.messages import Settings


class Lease:
    """The renewals that a holder has requested, the voters that have answered, and when its lease ends."""

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # number of a request of this term -> when it was sent
        self.supported_from: dict[str, float] = {}  # voter -> when the request was sent that it answered last
        self.until = -math.inf

    def start(self, granted: Iterable[str], asked_at: float) -> None:
        """Starts a lease with the votes of an election, all of which were requested at the same time."""
        self.supported_from = dict.fromkeys(granted, asked_at)
        self.requested_at.clear()
        self.until = -math.inf

    def record_request(self, number: int, now: float, lease: float) -> None:
        """Records that a renewal was requested from all voters, and forgets requests that are older than a
        lease, as their answers could not extend it any more."""
        self.requested_at[number] = now
        for outdated in [n for n, at in self.requested_at.items() if at < now - lease]:
            del self.requested_at[outdated]

    def renew(self, voter: str, number: int) -> bool:
        """Records a voter's renewal; returns False if the request it answers is unknown or forgotten."""
        if number not in self.requested_at:
            return False
        self.supported_from[voter] = max(self.requested_at[number], self.supported_from.get(voter, -math.inf))
        return True

    def update(self, settings: Settings, now: float) -> None:
        """Extends the lease as far as the promises received so far allow."""
        self.until = max(self.until, self.supported_until(settings, now))

    def supported_until(self, settings: Settings, now: float) -> float:
        """Returns when the lease that a majority supports ends, counted from the oldest request in it."""
        others = [v for v in settings.voters if v != settings.name]
        requested_at = sorted((self.supported_from.get(v, -math.inf) for v in others), reverse=True)
        needed = settings.majority - settings.is_voter
        oldest = requested_at[needed - 1] if needed else now
        return oldest + settings.safe_lease

    def end(self) -> None:
        """Ends the lease, because it is given up or has to be computed anew for other voters."""
        self.until = -math.inf
