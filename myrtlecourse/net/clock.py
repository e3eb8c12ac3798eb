"""The router's clock: Unix time read once at the start, which then advances with the monotonic clock.

Durations are measured on the monotonic clock. The wall clock may be stepped while the router runs; it is only
used for comparison with timestamps written by other machines.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

# seconds; a smaller change of the wall clock against the monotonic clock is slewing, not a step
MIN_STEP = 0.05
MAX_OFFSETS = 16  # number of offsets that are kept


class Clock:
    """Unix time as read at the start, advancing steadily since then."""

    def __init__(
        self, wall_time: Callable[[], float] = time.time, monotonic_time: Callable[[], float] = time.monotonic
    ) -> None:
        self.wall_time = wall_time
        self.monotonic_time = monotonic_time
        self.offset = wall_time() - monotonic_time()
        # the offsets of the wall clock from the monotonic clock: at the start, and after each step in order
        self.offsets: deque[float] = deque([self.offset], MAX_OFFSETS)

    def now(self) -> float:
        """Return the time in seconds, which never goes back."""
        return self.offset + self.monotonic_time()

    def detect_step(self) -> float:
        """Record a step of the wall clock, if there was one; return its size in seconds, else 0."""
        offset = self.wall_time() - self.monotonic_time()
        step = offset - self.offsets[-1]
        if abs(step) < MIN_STEP:
            return 0.0
        self.offsets.append(offset)
        return step

    @property
    def stepped(self) -> bool:
        """Whether the wall clock has been stepped since the start."""
        return len(self.offsets) > 1

    def start_on_this_clock(self, since: float) -> float:
        """Return on this clock the time that another machine gave as `since`, the start of a server.

        `since` is Unix time in seconds; 0 means long ago and stays 0. Whether it was read before or after a
        step of the wall clock is not known, so the latest possible time is returned, but not one in the
        future: with too early a time, a server that has just started would be taken for warm.
        """
        if since <= 0:
            return 0.0
        now = self.now()
        return max(min(now, since - offset + self.offset) for offset in self.offsets)
