"""Event loop lag: how long input waits in its socket because this process is busy.

Input that arrives during one iteration of the event loop is read in the next one at the earliest, and then
waits behind other input that arrived with it. The duration of the iterations therefore gives the waiting
time. Without this figure, a saturated core looks like slow servers.
"""

from __future__ import annotations

import asyncio
import math
import time

# seconds; after a longer iteration the kernel is asked how long commands lay in their sockets
LONG_ITERATION = 0.005
RECOVERY_TIME = 0.1  # seconds after a stall in which input that arrived during it may still be read


class LoopLag:
    """Measures the iterations of the event loop in which input arrives; an idle loop has no overhead."""

    def __init__(self) -> None:
        self.iteration_started_at = 0.0
        self.previous_duration = 0.0  # seconds
        self.longest = 0.0  # seconds
        self.in_iteration = False
        self.heartbeat_due_at = math.inf
        self.last_stall = 0.0  # seconds
        self.stall_ended_at = -math.inf
        self.loop: asyncio.AbstractEventLoop | None = None

    def note_input(self) -> None:
        """Record that input has arrived; to be called before the input is processed."""
        if not self.in_iteration:
            self.in_iteration = True
            self.iteration_started_at = time.monotonic()
            if self.loop is None:
                self.loop = asyncio.get_running_loop()
            self.loop.call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self.in_iteration = False
        self.previous_duration = time.monotonic() - self.iteration_started_at
        self.longest = max(self.longest, self.previous_duration)

    def expect_heartbeat(self, seconds: float) -> None:
        """Announce that `heartbeat` is called in so many seconds, unless the event loop is blocked."""
        self.heartbeat_due_at = time.monotonic() + seconds

    def heartbeat(self) -> float:
        """Record an announced heartbeat and return by how many seconds it is late."""
        now = time.monotonic()
        late = max(0.0, now - self.heartbeat_due_at)
        self.heartbeat_due_at = math.inf
        self.longest = max(self.longest, late)
        if late > LONG_ITERATION:
            self.last_stall = late
            self.stall_ended_at = now
        return late

    def may_have_stalled(self) -> bool:
        """Return whether input may have lain unread: the loop was busy for long, or the process stopped.

        After a stop timers may fire before the input that arrived meanwhile is read.
        """
        now = time.monotonic()
        return (
            self.previous_duration > LONG_ITERATION
            or now - self.heartbeat_due_at > LONG_ITERATION
            or self._is_recovering(now)
        )

    def _is_recovering(self, now: float) -> bool:
        return now - self.stall_ended_at < RECOVERY_TIME

    def max_wait(self) -> float:
        """Return the longest time in seconds that the current input may have waited, as far as is known.

        Protects deadlines where nothing more precise is known: an underestimate would tell servers of time
        that has already passed.
        """
        now = time.monotonic()
        iterations = (
            now - self.iteration_started_at + self.previous_duration
            if self.in_iteration
            else self.previous_duration
        )
        stall = now - self.stall_ended_at + self.last_stall if self._is_recovering(now) else 0.0
        return max(stall, iterations, now - self.heartbeat_due_at)

    def estimated_wait(self) -> float:
        """Return the likely time in seconds that the current input has waited.

        That is half of the previous iteration and all of the current one so far.
        """
        if not self.in_iteration:
            return 0.0
        return time.monotonic() - self.iteration_started_at + self.previous_duration / 2
