"""How often each key is asked for."""

from __future__ import annotations


class Popularity:
    """Requests of each key, in a memory that halves every ramp.

    Guards against hot keys: own loads are too few to show them.
    """

    def __init__(self, now: float) -> None:
        self.counts: dict[str, int] = {}
        self.total = 0.0
        self.halve_at = now

    def record(self, now: float, key: str, ramp: float, caches: int) -> float:
        """Count a request of a key; answers with the key's share of own requests."""
        if now > self.halve_at:
            self.halve_at = now + ramp
            self.counts = {k: n // 2 for k, n in self.counts.items() if n > 1}
            self.total /= 2
        self.total += 1
        times = self.counts[key] = self.counts.get(key, 0) + 1
        return (times - 1) / max(self.total, caches)  # a key met twice by chance is not hot
