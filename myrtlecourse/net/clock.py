"""The router's clock: Unix time read once at the start, which then only advances.

Spans are measured on the monotonic clock. The wall clock may be stepped while the router runs; it is compared
only with times that others wrote.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

MIN_STEP = (
    0.05  # seconds between wall and monotonic clock from which on the wall clock was stepped, not slewed
)
MAX_OFFSETS = 16  # remembered


class Clock:
    """Unix time as of the start, going on evenly."""

    def __init__(
        self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self.wall_time = wall
        self.monotonic_time = steady
        self.offset = wall() - steady()
        # of the wall clock against the monotonic one, before and after each step; the latest last
        self.offsets: deque[float] = deque([self.offset], MAX_OFFSETS)

    def now(self) -> float:
        """Seconds; never goes back."""
        return self.offset + self.monotonic_time()

    def detect_step(self) -> float:
        """Notice a step of the wall clock; answers with its seconds, 0 if there was none."""
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
        """When something started on this clock that another machine says started at `since` (Unix time, s).

        The latest that this may mean, and now if it lies ahead: whether `since` was read before a step or
        after it is not known, and what started later than believed would be taken for warm. 0 is long ago.
        """
        if since <= 0:
            return 0.0
        now = self.now()
        return max(min(now, since - offset + self.offset) for offset in self.offsets)
