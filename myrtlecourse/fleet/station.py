"""Cores that work through a queue, at a speed that changes; no I/O, no clock: times come in as seconds.

Each core does one piece of work after another, in the order in which they came (an M/G/c queue, first come
first served). The speed of the cores is a function of time: cold after a start, slowed or halted by faults.
What is counted is therefore not time but work done by a core since the beginning, its integral. A piece ends
when that has grown by the work it is, whatever the speed does meanwhile.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass


class Pace:
    """The work that one core has done since the beginning, and when it will have done so much.

    From `started` on the speed climbs evenly from `cold` of the whole to all of it within `warm_up` seconds.
    `factor` slows it beside that; 0 halts it.
    """

    def __init__(
        self, speed: float, started: float = -math.inf, cold: float = 1.0, warm_up: float = 0.0
    ) -> None:
        self.speed = speed
        self.started = started
        self.cold = cold
        self.warm_up = warm_up
        self.factor = 1.0
        self.base = (0.0, self._warm(0.0))  # work done up to when the factor last changed, and the climb then

    def share(self, now: float) -> float:
        """The share of the whole capacity that is there, faults aside."""
        age = now - self.started
        return 1.0 if age >= self.warm_up else self.cold + (1 - self.cold) * max(0.0, age) / self.warm_up

    def _warm(self, now: float) -> float:
        """The integral of `share` since the start, or since 0 where it is long ago."""
        if self.started == -math.inf:
            return now
        age = max(0.0, now - self.started)
        if age >= self.warm_up:
            return age - self.warm_up * (1 - self.cold) / 2
        return self.cold * age + (1 - self.cold) * age * age / (2 * self.warm_up)

    def _warmed(self, integral: float) -> float:
        """When the integral is so much: the inverse."""
        if self.started == -math.inf:
            return integral
        whole = self.warm_up * (1 + self.cold) / 2
        if integral >= whole:
            return self.started + self.warm_up + (integral - whole)
        # the form of the root that neither takes the difference of two near numbers nor divides by the slope,
        # which may be nothing, or without end
        rise = 2 * (1 - self.cold) * (integral / self.warm_up)
        return self.started + 2 * integral / (self.cold + math.sqrt(self.cold**2 + rise))

    def done(self, now: float) -> float:
        """Work of one core up to now."""
        work, warm = self.base
        return work + self.factor * self.speed * (self._warm(now) - warm)

    def when(self, work: float) -> float:
        """When one core will have done so much, if the factor stays; infinite while it is halted."""
        done, warm = self.base
        if work <= done:
            return self._warmed(warm)
        if not self.factor:
            return math.inf
        return self._warmed(warm + (work - done) / (self.factor * self.speed))

    def change(self, now: float, factor: float) -> None:
        """From now on the cores are so many times as fast."""
        self.base = (self.done(now), self._warm(now))
        self.factor = factor


@dataclass(slots=True, eq=False)
class Piece:
    """One piece of work: a request that was taken."""

    work: float  # seconds of a core of speed 1
    until: float  # when its client stops waiting
    request: object
    over: bool = False  # it has been cancelled or has ended


class Station:
    """So many cores with a queue before them."""

    def __init__(self, cores: int, queue: int, pace: Pace) -> None:
        self.cores = cores
        self.queue = queue
        self.pace = pace
        self.waiting: deque[Piece] = deque()
        self.running: list[tuple[float, int, Piece]] = []  # by the work done at which each ends
        self.numbers = 0
        self.cancelled = 0  # of those that wait

    @property
    def held(self) -> int:
        """Pieces that run or wait."""
        return len(self.running) + len(self.waiting) - self.cancelled

    def take(self, now: float, piece: Piece) -> bool:
        """Take a piece, unless the queue is full."""
        if len(self.running) < self.cores:
            self._run(self.pace.done(now), piece)
            return True
        if len(self.waiting) - self.cancelled >= self.queue:
            return False
        self.waiting.append(piece)
        return True

    def _run(self, done: float, piece: Piece) -> None:
        self.numbers += 1
        heapq.heappush(self.running, (done + piece.work, self.numbers, piece))

    def cancel(self, now: float, piece: Piece) -> None:
        """Stop working on a piece, or forget that it waits."""
        if piece.over:
            return
        piece.over = True
        for i, (_, _, other) in enumerate(self.running):
            if other is piece:
                self.running[i] = self.running[-1]
                self.running.pop()
                heapq.heapify(self.running)
                self._fill(self.pace.done(now))
                return
        self.cancelled += 1

    def _fill(self, done: float) -> None:
        """Give free cores what waits."""
        while self.waiting and len(self.running) < self.cores:
            piece = self.waiting.popleft()
            if piece.over:
                self.cancelled -= 1
            else:
                self._run(done, piece)

    def due(self) -> float:
        """When the next piece ends; infinite when none will."""
        return self.pace.when(self.running[0][0]) if self.running else math.inf

    def ended(self, now: float) -> Piece | None:
        """The next piece that has ended by now, in order; None when no more has.

        A core begins its next piece when it ended the last one, not when the caller came to ask.
        """
        # a billionth of grace: a timer set for that very time may come a rounding early
        if not self.running or self.running[0][0] > self.pace.done(now) + 1e-9:
            return None
        done, _, piece = heapq.heappop(self.running)
        piece.over = True
        self._fill(done)
        return piece

    def clear(self) -> None:
        """Forget everything, as a process does that ends."""
        self.waiting.clear()
        self.running.clear()
        self.cancelled = 0
