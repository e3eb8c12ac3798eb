"""Who waits for a place at the origin, or for any server, and who follows whose fetch."""

from __future__ import annotations

import heapq
import math

from myrtlecourse.policy.state import PendingRequest


class RequestQueue:
    """Worth first, or writes wait behind misses; then keys asked for often, as their fetch saves the most
    others; then age."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, int, PendingRequest]] = []
        self.fetches: dict[
            str, tuple[PendingRequest, list[PendingRequest]]
        ] = {}  # of each key: who fetches it, and who follows
        self.sequence = 0
        self.last_sweep_at = -math.inf

    def join_fetch(self, pending: PendingRequest) -> bool:
        """Whether a miss joins another's fetch of its key; if not, it becomes the one that is followed."""
        key = pending.request.key
        if not pending.to_origin or pending.request.write or key is None:
            return False
        first, followers = self.fetches.setdefault(key, (pending, []))
        if first is not pending:
            followers.append(pending)
        return first is not pending

    def push(self, pending: PendingRequest, often: int) -> None:
        """Stand in the line; `often` tells how often its key is asked for."""
        self.sequence += 1
        heapq.heappush(self.heap, (-pending.request_class.value, -often, self.sequence, pending))

    def pop(self) -> PendingRequest | None:
        """The first that still waits."""
        while self.heap:
            pending = heapq.heappop(self.heap)[-1]
            if pending.queued:
                return pending
        return None

    def remove_all(self) -> list[PendingRequest]:
        """All that wait, in their order; the line is empty then."""
        queue, self.heap = sorted(self.heap), []
        return [q[-1] for q in queue if q[-1].queued]

    def end_fetch(self, first: PendingRequest) -> list[PendingRequest]:
        """The fetch that others follow is over, or likely lost: those who followed it."""
        key = first.request.key
        if key is None or self.fetches.get(key, (None,))[0] is not first:
            return []
        return self.fetches.pop(key)[1]

    def sweep_due(self, now: float, tick: float) -> bool:
        """Whether to look the whole line through: not for each that comes, or it costs more than it saves."""
        if now < self.last_sweep_at + tick:
            return False
        self.last_sweep_at = now
        return True

    def compact(self) -> None:
        """Guards against requests long ended piling up behind those of more worth."""
        self.heap = [q for q in self.heap if q[-1].queued]
        heapq.heapify(self.heap)
