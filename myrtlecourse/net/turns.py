"""How long what has come waits for this process: the length of the event loop's turns.

What arrives while a turn runs is not looked at before the next one, and then waits behind what came with it.
Without this figure a full core looks like slow servers.
"""

from __future__ import annotations

import asyncio
import math
import time

LONG_TURN = 0.005  # seconds; after a longer one it is looked up how long commands have lain in their sockets


class Turns:
    """Clocks the turns in which something comes; a quiet loop costs nothing."""

    def __init__(self) -> None:
        self.began = 0.0  # of the turn that runs
        self.before = 0.0  # seconds that the one before took
        self.longest = 0.0
        self.running = False
        self.due = math.inf  # when the loop should be heard of again
        self.loop: asyncio.AbstractEventLoop | None = None

    def note(self) -> None:
        """Something has come; to be called first."""
        if not self.running:
            self.running = True
            self.began = time.monotonic()
            if self.loop is None:
                self.loop = asyncio.get_running_loop()
            self.loop.call_soon(self._end)

    def _end(self) -> None:
        self.running = False
        self.before = time.monotonic() - self.began
        self.longest = max(self.longest, self.before)

    def expect(self, seconds: float) -> None:
        """The loop is to be heard of again after so long: `beat` comes then, unless something holds it up."""
        self.due = time.monotonic() + seconds

    def beat(self) -> float:
        """The loop is heard of, as expected; answers with how late that is (seconds)."""
        late = max(0.0, time.monotonic() - self.due)
        self.due = math.inf
        self.longest = max(self.longest, late)
        return late

    def held_up(self) -> bool:
        """Whether something may have lain unread: the turn before was long, or the process stood still."""
        return self.before > LONG_TURN or time.monotonic() - self.due > LONG_TURN

    def most_waited(self) -> float:
        """Seconds for which what is in hand has waited at most, as far as this clock knows of stops.

        Guards deadlines where nothing tells more: counted too short, servers are told of time that is over.
        """
        now = time.monotonic()
        turns = now - self.began + self.before if self.running else self.before
        return max(0.0, turns, now - self.due)

    def waited(self) -> float:
        """Seconds for which what is in hand has likely waited: half the turn before, and this one so far."""
        if not self.running:
            return 0.0
        return time.monotonic() - self.began + self.before / 2
