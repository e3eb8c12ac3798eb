"""Request counts per key."""

from __future__ import annotations


class Popularity:
    """Counts requests per key; all counts are halved once per warm-up time.

    The counts detect hot keys: the requests of one router alone load a server too little to show them there.
    """

    def __init__(self, now: float) -> None:
        self.counts: dict[str, int] = {}
        self.total = 0.0
        self.halve_at = now

    def record(self, now: float, key: str, ramp_time: float, caches: int) -> float:
        """Count a request of a key and return the key's share of this router's requests."""
        if now > self.halve_at:
            self.halve_at = now + ramp_time
            self.counts = {k: n // 2 for k, n in self.counts.items() if n > 1}
            self.total /= 2
        self.total += 1
        count = self.counts[key] = self.counts.get(key, 0) + 1
        return (count - 1) / max(self.total, caches)  # a key seen twice by chance is not hot
