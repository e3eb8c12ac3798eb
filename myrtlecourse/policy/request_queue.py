"""The queue of requests that wait for the origin or for any server, and the requests that share a fetch."""

from __future__ import annotations

import heapq
import math

from myrtlecourse.policy.state import PendingRequest


class RequestQueue:
    """A priority queue: by value, so that writes don't wait behind misses; then by the popularity of the key,
    as the fetch of a popular key serves the most other requests; then by age."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, int, PendingRequest]] = []
        # key -> the request that fetches it, and its followers: the requests that wait for that fetch
        self.fetches: dict[str, tuple[PendingRequest, list[PendingRequest]]] = {}
        self.sequence = 0  # number of requests added so far: orders those of equal priority by age
        self.last_sweep_at = -math.inf

    def join_fetch(self, pending: PendingRequest) -> bool:
        """Join another request's fetch of the same key, or start a fetch. Return whether there was one."""
        key = pending.request.key
        if not pending.to_origin or pending.request.write or key is None:
            return False
        first, followers = self.fetches.setdefault(key, (pending, []))
        if first is not pending:
            followers.append(pending)
        return first is not pending

    def push(self, pending: PendingRequest, popularity: int) -> None:
        """Add a request; `popularity` is the request count of its key."""
        self.sequence += 1
        heapq.heappush(self.heap, (-pending.request_class.value, -popularity, self.sequence, pending))

    def pop(self) -> PendingRequest | None:
        """Remove and return the first request that still waits; None if there is none."""
        while self.heap:
            pending = heapq.heappop(self.heap)[-1]
            if pending.queued:
                return pending
        return None

    def remove_all(self) -> list[PendingRequest]:
        """Empty the queue and return all requests that still wait, in their order."""
        heap, self.heap = sorted(self.heap), []
        return [q[-1] for q in heap if q[-1].queued]

    def end_fetch(self, first: PendingRequest) -> list[PendingRequest]:
        """Forget a fetch that is over, or likely lost, and return the requests that waited for it."""
        key = first.request.key
        if key is None or self.fetches.get(key, (None,))[0] is not first:
            return []
        return self.fetches.pop(key)[1]

    def sweep_due(self, now: float, tick: float) -> bool:
        """Return whether to search the whole queue for late requests now: at most once per tick, as it would
        cost too much for each request."""
        if now < self.last_sweep_at + tick:
            return False
        self.last_sweep_at = now
        return True

    def compact(self) -> None:
        """Remove requests that have ended; they would accumulate behind those of higher value."""
        self.heap = [q for q in self.heap if q[-1].queued]
        heapq.heapify(self.heap)
