"""Timers grouped in slots of a few milliseconds, all driven by one timer of the event loop.

A request needs three timers, and nearly all of them are cancelled. With one event loop timer each, they cost
more than answering the request.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import Any

SLOT_LENGTH = 0.002  # seconds; a timer fires at the end of its slot, never before it is due


class Timer:
    """A callback that is due later, unless it is cancelled."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: Callable[[Any], None], argument: object) -> None:
        self.callback: Callable[[Any], None] | None = callback
        self.argument = argument

    def cancel(self) -> None:
        """Drop the callback and its argument at once, as the slot may be due much later."""
        self.callback = None
        self.argument = None


class Timers:
    """The timers of one event loop."""

    def __init__(self) -> None:
        self.slots: dict[int, list[Timer]] = {}  # the timers of each slot, by its number
        self.slot_heap: list[int] = []  # the slot numbers, as a heap
        self.loop_timer: asyncio.TimerHandle | None = None
        self.armed_slot = 0  # the slot for which `loop_timer` is set
        # The loop is looked up once: each look-up in asyncio asks for the process id, which took 4% of a
        # saturated core.
        self.loop: asyncio.AbstractEventLoop | None = None

    def call_later(self, delay: float, callback: Callable[[Any], None], argument: object) -> Timer:
        """Call `callback(argument)` after `delay` seconds."""
        loop = self.loop
        if loop is None:
            loop = self.loop = asyncio.get_running_loop()
        number = math.ceil((loop.time() + delay) / SLOT_LENGTH)
        timer = Timer(callback, argument)
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
        assert self.loop is not None  # set by `call_later`
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
            callback, argument = timer.callback, timer.argument
            if callback is None:
                continue
            timer.cancel()
            try:
                callback(argument)
            except Exception as e:
                # An error must not stop the other timers of the slot: requests would pass their deadlines
                # unanswered.
                loop.call_exception_handler({"message": "in a timer", "exception": e})
