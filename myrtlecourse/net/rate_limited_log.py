"""Rate-limited logging: a few lines of each kind per second, followed by the number of lines left out."""

from __future__ import annotations

import logging
import time

LINES_PER_PERIOD = 5  # lines of each kind
PERIOD = 1.0  # seconds


class RateLimitedLog:
    """A logger for events that outsiders can cause at any rate; writing a line costs as much as a refusal."""

    def __init__(self, logger: logging.Logger) -> None:
        self.logger = logger
        self.counts: dict[str, int] = {}  # lines in this period, by kind
        self.period_end = 0.0

    def log(self, level: int, kind: str, *arguments: object) -> None:
        """Log `kind % arguments`, unless the lines of that kind in this period are used up."""
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
