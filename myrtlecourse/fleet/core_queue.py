"""Model of a server's processor: cores that serve one bounded queue at a speed that varies.

The stand-in fleet and the simulator use it. It does no I/O and uses no clock: times are passed in, in
seconds.

Each core serves one item after another, first come, first served; the caller decides when items arrive. The
speed is the same for all cores and a function of time: low after a start, reduced or zero during faults. The
queue therefore counts not time but the work that a core has done since the beginning, the integral of its
speed. An item ends when that integral has grown by the item's work, however the speed varies meanwhile.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass


class CoreSpeed:
    """The speed of a core as a function of time, and the work that it has done by a given time.

    After `started` the speed rises linearly from the share `cold` to the full speed within `warm_up` seconds.
    `factor` multiplies it; 0 halts the core.
    """

    def __init__(
        self, speed: float, started: float = -math.inf, cold: float = 1.0, warm_up: float = 0.0
    ) -> None:
        self.speed = speed
        self.started = started
        self.cold = cold
        self.warm_up = warm_up
        self.factor = 1.0
        # Work done until the factor was last changed, and the warm-up integral at that time.
        self.at_last_change = (0.0, self._warm_integral(0.0))

    def capacity_share(self, now: float) -> float:
        """Return the share of the full capacity that is available during the warm-up, without `factor`."""
        age = now - self.started
        return 1.0 if age >= self.warm_up else self.cold + (1 - self.cold) * max(0.0, age) / self.warm_up

    def _warm_integral(self, now: float) -> float:
        """Return the integral of `capacity_share` since the start, or since 0 if the start is at -inf."""
        if self.started == -math.inf:
            return now
        age = max(0.0, now - self.started)
        if age >= self.warm_up:
            return age - self.warm_up * (1 - self.cold) / 2
        return self.cold * age + (1 - self.cold) * age * age / (2 * self.warm_up)

    def _time_of_integral(self, integral: float) -> float:
        """Return the time at which the warm-up integral has a value; the inverse of `_warm_integral`."""
        if self.started == -math.inf:
            return integral
        warm_up_total = self.warm_up * (1 + self.cold) / 2
        if integral >= warm_up_total:
            return self.started + self.warm_up + (integral - warm_up_total)
        # This form of the root neither subtracts two nearly equal numbers nor divides by the slope, which may
        # be zero or infinite.
        rise = 2 * (1 - self.cold) * (integral / self.warm_up)
        return self.started + 2 * integral / (self.cold + math.sqrt(self.cold**2 + rise))

    def work_done(self, now: float) -> float:
        """Return the work that one core has done until now."""
        work, warm = self.at_last_change
        return work + self.factor * self.speed * (self._warm_integral(now) - warm)

    def time_of_work(self, work: float) -> float:
        """Return when one core will have done this work if the factor stays; infinite while it is halted."""
        work_before, warm = self.at_last_change
        if work <= work_before:
            return self._time_of_integral(warm)
        if not self.factor:
            return math.inf
        return self._time_of_integral(warm + (work - work_before) / (self.factor * self.speed))

    def set_factor(self, now: float, factor: float) -> None:
        """Multiply the speed of the cores by `factor` from now on."""
        self.at_last_change = (self.work_done(now), self._warm_integral(now))
        self.factor = factor


@dataclass(slots=True, eq=False)
class WorkItem:
    """One item of work: an accepted request."""

    work: float  # seconds of a core of speed 1
    deadline: float  # time at which the client stops waiting
    request: object
    finished: bool = False  # whether it has ended, either because its work is done or by `cancel`


class CoreQueue:
    """A number of cores with a common queue, in which at most `max_waiting` items wait."""

    def __init__(self, cores: int, max_waiting: int, core_speed: CoreSpeed) -> None:
        self.cores = cores
        self.max_waiting = max_waiting
        self.core_speed = core_speed
        self.waiting: deque[WorkItem] = deque()
        # a heap of: the work done by one core at which the item ends, its sequence number, the item
        self.running: list[tuple[float, int, WorkItem]] = []
        self.sequence = 0
        self.cancelled_waiting = 0  # number of cancelled items that are still in `waiting`

    @property
    def size(self) -> int:
        """The number of items that run or wait."""
        return len(self.running) + len(self.waiting) - self.cancelled_waiting

    def add(self, now: float, item: WorkItem) -> bool:
        """Queue an item and return True, or return False if the queue is full."""
        if len(self.running) < self.cores:
            self._run(self.core_speed.work_done(now), item)
            return True
        if len(self.waiting) - self.cancelled_waiting >= self.max_waiting:
            return False
        self.waiting.append(item)
        return True

    def _run(self, work_done: float, item: WorkItem) -> None:
        self.sequence += 1
        heapq.heappush(self.running, (work_done + item.work, self.sequence, item))

    def cancel(self, now: float, item: WorkItem) -> None:
        """Stop working on an item, or remove it from the queue."""
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

    def _fill(self, work_done: float) -> None:
        """Start waiting items on free cores; `work_done` is what one core has done until they start."""
        while self.waiting and len(self.running) < self.cores:
            item = self.waiting.popleft()
            if item.finished:
                self.cancelled_waiting -= 1
            else:
                self._run(work_done, item)

    def next_end(self) -> float:
        """Return when the next item ends; infinite if none will."""
        return self.core_speed.time_of_work(self.running[0][0]) if self.running else math.inf

    def next_finished(self, now: float) -> WorkItem | None:
        """Return the next item that has ended by now, in order, or None.

        A core starts its next item at the time when the last one ended, not at the time of this call.
        """
        # The tolerance is the work of 1e-9 s of a core of speed 1: a timer set for exactly this time may fire
        # early by a rounding error.
        if not self.running or self.running[0][0] > self.core_speed.work_done(now) + 1e-9:
            return None
        work_at_end, _, item = heapq.heappop(self.running)
        item.finished = True
        self._fill(work_at_end)
        return item

    def clear(self) -> None:
        """Remove all items, as the end of a process does."""
        self.waiting.clear()
        self.running.clear()
        self.cancelled_waiting = 0
