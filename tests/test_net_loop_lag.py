"""The time that input has lain unread is known after a stall of the event loop, also without tcp_info."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from myrtlecourse.net import clients
from myrtlecourse.net.loop_lag import RECOVERY_TIME, LoopLag
from myrtlecourse.net.tcp_info import data_age
from tests.loopback import HIT, Router, read, run, until

BLOCKED = 0.25  # seconds for which the event loop is blocked
DEADLINE = 2.0


async def deadline_sent_after_a_stall(router: Router) -> float:
    """Return the time left, in seconds, that a server gets with a read that arrives as a stall begins."""
    client, cache = await router.open_request()
    cache.write(HIT)
    assert await client.resp() == b"value"
    loop = asyncio.get_running_loop()
    await asyncio.sleep(0.15)  # the listener's check has run, and the next one is due
    raw = client.writer.get_extra_info("socket")
    descriptor = socket.socket(fileno=socket.dup(raw.fileno()))

    def block() -> None:
        descriptor.send(read("r2", info=f"c=read,t=x,d={DEADLINE * 1000:.0f}"))
        time.sleep(BLOCKED)

    with descriptor:
        loop.call_soon(block)
        message = await cache.resp()
    cache.write(HIT)
    assert await client.resp() == b"value"
    return int(message[3].partition(b"d=")[2].partition(b",")[0]) / 1000


@pytest.mark.parametrize("kernel_tells", [True, False])
def test_a_stop_of_the_loop_is_taken_off_the_deadline(
    kernel_tells: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Stalls in iterations without client input must count too, or servers get too long deadlines."""
    if not kernel_tells:
        monkeypatch.setattr(clients, "data_age", lambda _: None)

    async def scenario() -> None:
        async with Router() as router:
            time_left = await deadline_sent_after_a_stall(router)
            # without tcp_info, the part of a stall before the next check is due can't be known
            assert time_left <= DEADLINE - BLOCKED + (0.01 if kernel_tells else 0.15)
            assert time_left > DEADLINE - 2 * BLOCKED

    run(scenario)


def test_a_kernel_that_fills_nothing_in_tells_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
        with client, accepted:
            client.send(b"x")
            age = data_age(accepted)
            assert age is not None and 0 <= age < 5.0

    class Empty:
        def getsockopt(self, *_: int) -> bytes:
            return b"\x01" + bytes(55)

    assert data_age(Empty()) is None  # type: ignore[arg-type]


def test_a_process_that_stood_still_is_noticed_at_the_look_that_is_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    loop_lag = LoopLag()
    assert not loop_lag.may_have_stalled()
    loop_lag.expect_heartbeat(0.1)
    now[0] += 0.1
    assert not loop_lag.may_have_stalled()
    now[0] += 0.4
    assert loop_lag.may_have_stalled() and loop_lag.max_wait() == pytest.approx(0.4)
    assert loop_lag.heartbeat() == pytest.approx(0.4)
    assert loop_lag.longest == pytest.approx(0.4)
    # timers fire first when the process goes on: what arrived meanwhile is still to be read
    assert loop_lag.may_have_stalled() and loop_lag.max_wait() == pytest.approx(0.4)
    now[0] += 2 * RECOVERY_TIME
    assert not loop_lag.may_have_stalled() and loop_lag.max_wait() == 0.0


# Guards against attempts for clients that left while the router stood still.
@pytest.mark.parametrize("kernel_tells", [True, False])
def test_input_that_is_read_after_the_overdue_heartbeat_counts_the_stop(
    kernel_tells: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not kernel_tells:
        monkeypatch.setattr(clients, "data_age", lambda _: None)

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(HIT)
            assert await client.resp() == b"value"
            (connection,) = router.listener.connections
            loop_lag = router.host.loop_lag
            connection.transport.pause_reading()
            client.write(read("r2", info=f"c=read,t=x,d={DEADLINE * 1000:.0f}"))
            await until(connection.has_unread_input)
            loop_lag.expect_heartbeat(0.0)
            time.sleep(BLOCKED)
            loop_lag.heartbeat()
            connection.transport.resume_reading()
            link = await router.cache()
            time_left = int((await link.resp())[3].partition(b"d=")[2].partition(b",")[0]) / 1000
            assert time_left <= DEADLINE - BLOCKED + 0.01
            assert time_left > DEADLINE - 2 * BLOCKED

    run(scenario)
