"""Timers grouped in slots fire in time and never early, and an error in one does not stop others."""

from __future__ import annotations

import asyncio
from typing import Any

from myrtlecourse.net.timers import SLOT_LENGTH, Timers
from tests.loopback import run


def test_they_fire_in_order_and_never_early() -> None:
    async def scenario() -> None:
        timers, loop = Timers(), asyncio.get_running_loop()
        fired: asyncio.Queue[tuple[float, float]] = asyncio.Queue()
        for delay in (0.03, 0.01, 0.0, 0.02):
            due = loop.time() + delay
            timers.call_later(delay, lambda d: fired.put_nowait((d, loop.time())), due)
        order = [await fired.get() for _ in range(4)]
        assert order == sorted(order)
        # the clock of an event loop may lag by a millisecond
        assert all(at >= due - 0.001 for due, at in order)
        assert not timers.slots and not timers.slot_heap and timers.loop_timer is None

    run(scenario)


def test_a_cancelled_one_does_not_fire_and_holds_nothing() -> None:
    async def scenario() -> None:
        timers = Timers()
        fired: asyncio.Queue[str] = asyncio.Queue()
        timer = timers.call_later(0.0, fired.put_nowait, "cancelled")
        timers.call_later(SLOT_LENGTH, fired.put_nowait, "kept")
        timer.cancel()
        assert timer.argument is None
        assert await fired.get() == "kept" and fired.empty()

    run(scenario)


def test_a_fault_in_one_leaves_the_others_of_its_slot() -> None:
    """Otherwise requests would pass their deadlines unanswered."""

    async def scenario() -> None:
        faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, fault: faults.append(fault))
        timers = Timers()
        fired: asyncio.Queue[str] = asyncio.Queue()

        def fail(_: object) -> None:
            raise ValueError("at fault")

        timers.call_later(0.0, fail, None)
        timers.call_later(0.0, fired.put_nowait, "other")
        assert await fired.get() == "other"
        assert [str(f["exception"]) for f in faults] == ["at fault"]

    run(scenario)


def test_one_set_by_another_fires_too() -> None:
    async def scenario() -> None:
        timers = Timers()
        done: asyncio.Queue[str] = asyncio.Queue()

        def first(_: object) -> None:
            timers.call_later(0.0, done.put_nowait, "second")

        timers.call_later(0.0, first, None)
        assert await done.get() == "second"

    run(scenario)
