"""Timers in slots of a few milliseconds, all on one timer of the event loop.

A request needs three, and nearly all are cancelled: each on a timer of the loop's own cost more than its
answer.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import Any

SLOT_LENGTH = 0.002  # seconds; a timer fires at the end of its slot, never before it is due


class Timer:
    """Something to be done later, until it is cancelled."""

    __slots__ = ("callback", "argument")

    def __init__(self, callback: Callable[[Any], None], what: object) -> None:
        self.callback: Callable[[Any], None] | None = callback
        self.argument = what

    def cancel(self) -> None:
        """Forget it, and what it holds: its slot may be far off."""
        self.callback = None
        self.argument = None


class Timers:
    """The timers of one event loop."""

    def __init__(self) -> None:
        self.slots: dict[int, list[Timer]] = {}
        self.slot_heap: list[int] = []  # a heap of the slots' numbers
        self.loop_timer: asyncio.TimerHandle | None = None
        self.armed_slot = 0
        # asked for once: asyncio looks up the process's number each time, which took 4% of a full core
        self.loop: asyncio.AbstractEventLoop | None = None

    def call_later(self, delay: float, callback: Callable[[Any], None], what: object) -> Timer:
        """Call back with `what` once `delay` seconds have passed."""
        loop = self.loop
        if loop is None:
            loop = self.loop = asyncio.get_running_loop()
        number = math.ceil((loop.time() + delay) / SLOT_LENGTH)
        timer = Timer(callback, what)
        slot = self.slots.get(number)
        if slot is not None:
            slot.append(timer)
            return timer
        self.slots[number] = [timer]
        heapq.heappush(self.slot_heap, number)
        if self.loop_timer is None or number < self.armed_slot:
            self._arm(loop)
        return timer

    def _arm(self, loop: asyncio.AbstractEventLoop) -> None:
        if self.loop_timer is not None:
            self.loop_timer.cancel()
        self.armed_slot = self.slot_heap[0]
        self.loop_timer = loop.call_at(self.armed_slot * SLOT_LENGTH, self._fire)

    def _fire(self) -> None:
        assert self.loop is not None  # it was armed
        loop = self.loop
        self.loop_timer = None
        now = loop.time()
        try:
            while self.slot_heap and self.slot_heap[0] * SLOT_LENGTH <= now:
                self._fire_slot(loop, self.slots.pop(heapq.heappop(self.slot_heap)))
        finally:
            if self.slot_heap:
                self._arm(loop)

    def _fire_slot(self, loop: asyncio.AbstractEventLoop, slot: list[Timer]) -> None:
        for timer in slot:
            callback, what = timer.callback, timer.argument
            if callback is None:
                continue
            timer.cancel()
            try:
                callback(what)
            except Exception as e:
                # guards the others of its slot: requests would pass their deadlines unanswered
                loop.call_exception_handler({"message": "in a timer", "exception": e})
