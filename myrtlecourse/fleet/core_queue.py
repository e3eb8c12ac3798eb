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


class CoreSpeed:
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
        self.base = (
            0.0,
            self._warm_integral(0.0),
        )  # work done up to when the factor last changed, and the climb then

    def capacity_share(self, now: float) -> float:
        """The share of the whole capacity that is there, faults aside."""
        age = now - self.started
        return 1.0 if age >= self.warm_up else self.cold + (1 - self.cold) * max(0.0, age) / self.warm_up

    def _warm_integral(self, now: float) -> float:
        """The integral of `share` since the start, or since 0 where it is long ago."""
        if self.started == -math.inf:
            return now
        age = max(0.0, now - self.started)
        if age >= self.warm_up:
            return age - self.warm_up * (1 - self.cold) / 2
        return self.cold * age + (1 - self.cold) * age * age / (2 * self.warm_up)

    def _time_of_integral(self, integral: float) -> float:
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

    def work_done(self, now: float) -> float:
        """Work of one core up to now."""
        work, warm = self.base
        return work + self.factor * self.speed * (self._warm_integral(now) - warm)

    def time_of_work(self, work: float) -> float:
        """When one core will have done so much, if the factor stays; infinite while it is halted."""
        done, warm = self.base
        if work <= done:
            return self._time_of_integral(warm)
        if not self.factor:
            return math.inf
        return self._time_of_integral(warm + (work - done) / (self.factor * self.speed))

    def set_factor(self, now: float, factor: float) -> None:
        """From now on the cores are so many times as fast."""
        self.base = (self.work_done(now), self._warm_integral(now))
        self.factor = factor


@dataclass(slots=True, eq=False)
class WorkItem:
    """One piece of work: a request that was taken."""

    work: float  # seconds of a core of speed 1
    deadline: float  # when its client stops waiting
    request: object
    finished: bool = False  # it has been cancelled or has ended


class CoreQueue:
    """So many cores with a queue before them."""

    def __init__(self, cores: int, max_waiting: int, core_speed: CoreSpeed) -> None:
        self.cores = cores
        self.max_waiting = max_waiting
        self.core_speed = core_speed
        self.waiting: deque[WorkItem] = deque()
        self.running: list[tuple[float, int, WorkItem]] = []  # by the work done at which each ends
        self.sequence = 0
        self.cancelled_waiting = 0  # of those that wait

    @property
    def size(self) -> int:
        """Pieces that run or wait."""
        return len(self.running) + len(self.waiting) - self.cancelled_waiting

    def add(self, now: float, item: WorkItem) -> bool:
        """Take a piece, unless the queue is full."""
        if len(self.running) < self.cores:
            self._run(self.core_speed.work_done(now), item)
            return True
        if len(self.waiting) - self.cancelled_waiting >= self.max_waiting:
            return False
        self.waiting.append(item)
        return True

    def _run(self, done: float, item: WorkItem) -> None:
        self.sequence += 1
        heapq.heappush(self.running, (done + item.work, self.sequence, item))

    def cancel(self, now: float, item: WorkItem) -> None:
        """Stop working on a piece, or forget that it waits."""
        if item.finished:
            return
        item.finished = True
        for i, (_, _, other) in enumerate(self.running):
            if other is item:
                self.running[i] = self.running[-1]
                self.running.pop()
                heapq.heapify(self.running)
                self._fill(self.core_speed.work_done(now))
                return
        self.cancelled_waiting += 1

    def _fill(self, done: float) -> None:
        """Give free cores what waits."""
        while self.waiting and len(self.running) < self.cores:
            item = self.waiting.popleft()
            if item.finished:
                self.cancelled_waiting -= 1
            else:
                self._run(done, item)

    def next_end(self) -> float:
        """When the next piece ends; infinite when none will."""
        return self.core_speed.time_of_work(self.running[0][0]) if self.running else math.inf

    def next_finished(self, now: float) -> WorkItem | None:
        """The next piece that has ended by now, in order; None when no more has.

        A core begins its next piece when it ended the last one, not when the caller came to ask.
        """
        # a billionth of grace: a timer set for that very time may come a rounding early
        if not self.running or self.running[0][0] > self.core_speed.work_done(now) + 1e-9:
            return None
        done, _, item = heapq.heappop(self.running)
        item.finished = True
        self._fill(done)
        return item

    def clear(self) -> None:
        """Forget everything, as a process does that ends."""
        self.waiting.clear()
        self.running.clear()
        self.cancelled_waiting = 0
