"""How long what has come waits for this process: the length of the event loop's turns.

What arrives while a turn runs is not looked at before the next one, and then waits behind what came with it.
Without this figure a full core looks like slow servers.
"""

from __future__ import annotations

import asyncio
import math
import time

LONG_ITERATION = (
    0.005  # seconds; after a longer one it is looked up how long commands have lain in their sockets
)


class LoopLag:
    """Clocks the turns in which something comes; a quiet loop costs nothing."""

    def __init__(self) -> None:
        self.iteration_started_at = 0.0  # of the turn that runs
        self.previous_duration = 0.0  # seconds that the one before took
        self.longest = 0.0
        self.in_iteration = False
        self.heartbeat_due_at = math.inf  # when the loop should be heard of again
        self.loop: asyncio.AbstractEventLoop | None = None

    def note_input(self) -> None:
        """Something has come; to be called first."""
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
        """The loop is to be heard of again after so long: `beat` comes then, unless something holds it up."""
        self.heartbeat_due_at = time.monotonic() + seconds

    def heartbeat(self) -> float:
        """The loop is heard of, as expected; answers with how late that is (seconds)."""
        late = max(0.0, time.monotonic() - self.heartbeat_due_at)
        self.heartbeat_due_at = math.inf
        self.longest = max(self.longest, late)
        return late

    def may_have_stalled(self) -> bool:
        """Whether something may have lain unread: the turn before was long, or the process stood still."""
        return (
            self.previous_duration > LONG_ITERATION
            or time.monotonic() - self.heartbeat_due_at > LONG_ITERATION
        )

    def max_wait(self) -> float:
        """Seconds for which what is in hand has waited at most, as far as this clock knows of stops.

        Guards deadlines where nothing tells more: counted too short, servers are told of time that is over.
        """
        now = time.monotonic()
        turns = (
            now - self.iteration_started_at + self.previous_duration
            if self.in_iteration
            else self.previous_duration
        )
        return max(0.0, turns, now - self.heartbeat_due_at)

    def estimated_wait(self) -> float:
        """Seconds for which what is in hand has likely waited: half the turn before, and this one so far."""
        if not self.in_iteration:
            return 0.0
        return time.monotonic() - self.iteration_started_at + self.previous_duration / 2
