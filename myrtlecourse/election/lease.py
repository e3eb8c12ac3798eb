"""A holder's lease, computed from the promises of the voters; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.election.messages import Settings


class Lease:
    """The renewals that a holder has requested, the voters that have answered, and when its lease ends.

    Each promise supports the lease for a time that is counted from when it was requested. The lease ends when
    the voters that still support it are no longer a majority.
    """

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # id of a request of this term -> when it was sent
        self.supported_from: dict[str, float] = {}  # voter -> when the request was sent that it answered last
        self.until = -math.inf  # when the lease ends

    def start(self, granted: Iterable[str], asked_at: float) -> None:
        """Start a lease with the votes of an election, all of which were requested at the same time."""
        self.supported_from = dict.fromkeys(granted, asked_at)
        self.requested_at.clear()
        self.until = -math.inf

    def record_request(self, number: int, now: float, lease: float) -> None:
        """Record that a renewal was requested from all voters, and forget requests that are older than a
        lease, as their answers could not extend it any more."""
        self.requested_at[number] = now
        for outdated in [n for n, at in self.requested_at.items() if at < now - lease]:
            del self.requested_at[outdated]

    def renew(self, voter: str, number: int) -> bool:
        """Record a voter's renewal; return False if the request that it answers is unknown or forgotten."""
        if number not in self.requested_at:
            return False
        self.supported_from[voter] = max(self.requested_at[number], self.supported_from.get(voter, -math.inf))
        return True

    def update(self, settings: Settings, now: float) -> None:
        """Extend the lease as far as the promises received so far allow."""
        self.until = max(self.until, self.supported_until(settings, now))

    def supported_until(self, settings: Settings, now: float) -> float:
        """Return when the lease ends that a majority of these voters supports.

        It is counted from the oldest of the requests that the members of this majority answered last.
        """
        others = [v for v in settings.voters if v != settings.name]
        requested_at = sorted((self.supported_from.get(v, -math.inf) for v in others), reverse=True)
        needed = settings.majority - settings.is_voter
        oldest = requested_at[needed - 1] if needed else now
        return oldest + settings.safe_lease

    def end(self) -> None:
        """End the lease, as the holder steps down or the lease has to be computed again for other voters."""
        self.until = -math.inf
