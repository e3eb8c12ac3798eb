"""Bounds what is logged: a few lines of each kind a second, and then how many were left out."""

from __future__ import annotations

import logging
import time

LINES_PER_PERIOD = 5  # of a kind in a second
PERIOD = 1.0


class RateLimitedLog:
    """A logger for what outsiders can cause at any rate: each line costs as much as a refusal."""

    def __init__(self, logger: logging.Logger) -> None:
        self.logger = logger
        self.counts: dict[str, int] = {}  # in this second, by kind
        self.period_end = 0.0

    def log(self, level: int, kind: str, *arguments: object) -> None:
        """Log `kind % arguments`, unless that kind has had its lines for this second."""
        now = time.monotonic()
        if now >= self.period_end:
            for each, count in self.counts.items():
                if count > LINES_PER_PERIOD:
                    self.logger.warning("%d more left out like: %s", count - LINES_PER_PERIOD, each)
            self.counts.clear()
            self.period_end = now + PERIOD
        count = self.counts[kind] = self.counts.get(kind, 0) + 1
        if count <= LINES_PER_PERIOD:
            self.logger.log(level, kind, *arguments)
