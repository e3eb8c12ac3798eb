"""Clients beyond the descriptors that a router has: whom it closes, and that it goes on serving meanwhile."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType

import pytest

from tests.loopback import Router, read, run, until

BLOCKED_TIME = 5.0  # seconds after which the event loop counts as blocked
UNKNOWN_CLASS = "c=unknown,t=x,d=2000"


@contextmanager
def event_loop_watchdog() -> Iterator[None]:
    """Raise an exception in a callback that blocks the event loop, which no timeout of the loop can end."""

    def on_alarm(_number: int, _frame: FrameType | None) -> None:
        raise AssertionError("the event loop was blocked")

    previous = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, BLOCKED_TIME)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)


# Guards against a router that hangs for good: it chose a connection that was already ending to make room.
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "closed"])
def test_a_client_that_left_after_its_error_does_not_block_the_event_loop(resets: bool) -> None:
    async def scenario() -> None:
        async with Router(clients=1) as router:
            refused = await router.client()
            refused.write(read("r1", info=UNKNOWN_CLASS))
            assert str(await refused.resp()) == "ERR class is unknown"
            connection = next(iter(router.listener.paused_after_error))
            if resets:
                refused.reset()
            else:
                refused.close()
            # room is needed in the iteration of the event loop in which the hang-up is noticed
            router.listener.descriptors.total = router.listener.budget = 0
            making_room = asyncio.create_task(router.listener._make_room())
            connection.on_hang_up()
            assert connection in router.listener.connections
            await until(lambda: connection not in router.listener.connections)
            await making_room
            assert not router.listener.connections

    with event_loop_watchdog():
        run(scenario)
