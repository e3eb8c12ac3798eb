"""Who waits for a place at the origin, or for any server, and who follows whose fetch."""

from __future__ import annotations

import heapq
import math

from myrtlecourse.policy.state import Held


class Line:
    """Worth first, or writes wait behind misses; then keys asked for often, as their fetch saves the most
    others; then age."""

    def __init__(self) -> None:
        self.queue: list[tuple[float, int, int, Held]] = []
        self.fetches: dict[str, tuple[Held, list[Held]]] = {}  # of each key: who fetches it, and who follows
        self.queued = 0
        self.swept_at = -math.inf

    def follows(self, held: Held) -> bool:
        """Whether a miss joins another's fetch of its key; if not, it becomes the one that is followed."""
        key = held.request.key
        if not held.to_origin or held.request.write or key is None:
            return False
        first, followers = self.fetches.setdefault(key, (held, []))
        if first is not held:
            followers.append(held)
        return first is not held

    def push(self, held: Held, often: int) -> None:
        """Stand in the line; `often` tells how often its key is asked for."""
        self.queued += 1
        heapq.heappush(self.queue, (-held.request_class.value, -often, self.queued, held))

    def pop(self) -> Held | None:
        """The first that still waits."""
        while self.queue:
            held = heapq.heappop(self.queue)[-1]
            if held.waiting:
                return held
        return None

    def take_all(self) -> list[Held]:
        """All that wait, in their order; the line is empty then."""
        queue, self.queue = sorted(self.queue), []
        return [q[-1] for q in queue if q[-1].waiting]

    def release(self, first: Held) -> list[Held]:
        """The fetch that others follow is over, or likely lost: those who followed it."""
        key = first.request.key
        if key is None or self.fetches.get(key, (None,))[0] is not first:
            return []
        return self.fetches.pop(key)[1]

    def sweep_due(self, now: float, tick: float) -> bool:
        """Whether to look the whole line through: not for each that comes, or it costs more than it saves."""
        if now < self.swept_at + tick:
            return False
        self.swept_at = now
        return True

    def compact(self) -> None:
        """Guards against requests long ended piling up behind those of more worth."""
        self.queue = [q for q in self.queue if q[-1].waiting]
        heapq.heapify(self.queue)
