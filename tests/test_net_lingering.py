"""Closing clients' connections in the very moment in which bytes arrive: the last answer stands, and what
comes after the shutdown is read and never executed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

import pytest

from myrtlecourse.net import clients, host, listener
from myrtlecourse.net.clients import ClientConnection
from myrtlecourse.net.connection import has_unread_input
from myrtlecourse.net.request_log import CloseReason
from myrtlecourse.net.transport import Transport
from tests.loopback import HIT, TIMEOUT, Router, book, command, needs_sources, read, run, until

LONG_ANSWER_START = b"*3\r\n$200000\r\n" + b"v" * 150_000  # and no more of it
VALUE = b"$5\r\nvalue\r\n"


class RawClient:
    """A client that takes nothing from its socket but when it is told to."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.socket = socket.socket()
        self.socket.setblocking(False)

    async def connect(self) -> RawClient:
        await asyncio.get_running_loop().sock_connect(self.socket, self.router.listener.socket.getsockname())
        return self

    def send(self, data: bytes) -> None:
        """Into the router's socket, before anything else is done."""
        assert self.socket.send(data) == len(data)

    async def read_to_end(self) -> bytes:
        """All that comes up to the end, which must be one in good order."""
        got = b""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            got += data
        return got

    async def exchange(self) -> ClientConnection:
        """Ask once; the answer has been written, and lies untaken in the socket."""
        self.send(read("r1"))
        cache = await self.router.cache()
        await cache.resp()
        (connection,) = self.router.listener.connections
        cache.write(HIT)
        while connection.slots:
            await asyncio.sleep(0.001)
        return connection


async def evict(router: Router) -> None:
    await router.client()


async def close_when_idle(router: Router) -> None:
    router.listener.budget = 1
    await until(lambda: bool(router.listener.lingering))


async def start_drain(router: Router) -> None:
    router.listener.start_drain(0.0)


async def stop(router: Router) -> None:
    asyncio.get_running_loop().create_task(router.listener.stop(0.0, 5.0))


@needs_sources
@pytest.mark.parametrize("path", [evict, close_when_idle, start_drain, stop])
def test_a_command_that_crosses_a_close_is_not_executed_and_the_answer_before_it_stands(
    path: Callable[[Router], Coroutine[None, None, None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close reset the connection over the unread command, and its client lost more than the command."""
    monkeypatch.setattr(listener, "IDLE_TIMEOUT", 0.01)
    monkeypatch.setattr(listener, "SINGLE_COMMAND_IDLE_TIMEOUT", 0.01)

    async def scenario() -> None:
        async with Router(clients=1 if path is evict else 4) as router:
            client = await RawClient(router).connect()
            connection = await client.exchange()
            crossed: list[bool] = []

            def look(transport: Transport) -> bool:
                """The look before the close, which the command comes just after."""
                there = has_unread_input(transport)
                if transport is connection.transport and not there and not crossed:
                    crossed.append(True)
                    client.send(read("crossing"))
                return there

            monkeypatch.setattr(clients, "has_unread_input", look)
            await path(router)
            assert await client.read_to_end() == VALUE and crossed
            client.socket.close()
            await until(lambda: connection not in router.listener.connections)
            assert router.host.recent_ids == {"r1"} and not router.host.requests

    run(scenario)


def test_a_client_that_rests_after_the_shutdown_is_closed_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "LINGER_TIME", 0.05)

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            connection = await client.exchange()
            connection.close(CloseReason.ENDING)
            assert await client.read_to_end() == VALUE
            assert connection in router.listener.lingering
            await until(lambda: not router.listener.connections)

    run(scenario)


def test_a_client_that_sends_on_at_full_speed_is_read_no_further_than_a_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "LINGER_TIME", 600.0)
    monkeypatch.setattr(clients, "MAX_DISCARDED", 1000)

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            connection = await client.exchange()
            connection.close(CloseReason.ENDING)
            client.send(b"x" * 600)
            await until(lambda: connection.discarded_bytes == 600)
            client.send(b"x" * 600)
            await until(lambda: not router.listener.connections)

    run(scenario)


def test_an_error_reaches_a_client_that_goes_on_sending() -> None:
    """The reset over what it had sent behind took the word that it is owed."""

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            client.send(b"*1\r\n$-7\r\n")
            await until(lambda: any(c.half_closed for c in router.listener.connections))
            client.send(read("behind"))
            got = await client.read_to_end()
            assert got.startswith(b"-ERR") and got.count(b"\r\n") == 1
            assert not router.host.recent_ids and not router.host.requests

    run(scenario)


def test_a_long_answer_that_is_cut_leaves_the_answers_before_it_whole() -> None:
    """It ended by a reset, and what its client had not taken yet went with it."""

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            client.send(command("PING") + read("r1"))
            cache = await router.cache()
            await cache.resp()
            cache.write(LONG_ANSWER_START)
            await until(lambda: any(t.streaming for t in router.host.requests.values()))
            cache.reset()
            await until(lambda: not router.host.requests)
            got = await client.read_to_end()
            assert got.startswith(b"+PONG\r\n$200000\r\n") and len(got) < 200_000

    run(scenario)


def test_a_long_answer_that_ends_behind_another_costs_neither(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing of it had been passed on, so that an error can tell."""
    monkeypatch.setattr(host, "MAX_STREAM_OVERRUN", 0.01)

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            client.send(read("r1", "k1") + read("r2", "k2", "c=read,t=x,d=800"))
            links = {}
            for _ in range(2):
                link = await router.cache()
                links[(await link.resp())[2]] = link
            links[b"r2"].write(LONG_ANSWER_START)
            await until(lambda: set(router.host.requests) == {"r1"})
            links[b"r1"].write(HIT)
            want = VALUE + b"-ERR failed\r\n"
            got = b""
            while len(got) < len(want):
                got += await asyncio.get_running_loop().sock_recv(client.socket, 65536)
            assert got == want

    run(scenario)


def test_many_closes_at_once_hold_no_more_descriptors_than_are_spare(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that rest after the shutdown would keep all others out for as long."""
    monkeypatch.setattr(clients, "LINGER_TIME", 600.0)
    monkeypatch.setattr(listener, "FIRST_COMMAND_GRACE", 0.0)

    async def scenario() -> None:
        async with Router(clients=4) as router:
            crowd = [await RawClient(router).connect() for _ in range(5 * listener.LINGERING_ALLOWANCE)]
            last = await router.client()
            last.write(command("PING"))
            assert await last.resp() == b"PONG"
            held = router.listener
            assert len(held.lingering) == listener.LINGERING_ALLOWANCE
            assert len(held.connections) <= held.budget + listener.LINGERING_ALLOWANCE
            assert crowd

    run(scenario)


def test_small_writes_leave_at_once() -> None:
    """What the system holds back goes with a close over unread bytes."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(book("r1"))
            await router.origin.link()
            (connection,) = router.listener.connections
            (upstream,) = router.origins.connections
            for each in (connection, upstream):
                end = each.transport.get_extra_info("socket")
                assert end.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario)


def test_what_was_written_goes_out_before_the_shutdown() -> None:
    """Also what the kernel did not take at once."""

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            connection = await client.exchange()
            much = b"x" * 8_000_000
            connection.transport.write(much)
            assert connection.transport.get_write_buffer_size()
            connection.close(CloseReason.ENDING)
            assert await client.read_to_end() == VALUE + much

    run(scenario)


def test_a_router_that_ends_takes_nothing_that_it_could_not_answer_in_time() -> None:
    """A client went on asking on its connection; killed, the router left its last request unanswered."""

    async def scenario() -> None:
        async with Router() as router:
            longest = 3 * TIMEOUT  # a router that waits for it fails the test
            client, cache = await router.open_request("r1", "c=read,t=x,d=20000")
            stopping = asyncio.create_task(router.listener.stop(0.0, longest))
            await until(lambda: router.listener.stopping)
            late = "c=read,t=x,d=60000"
            client.write(
                read("short", info="c=read,t=x,d=20000") + read("l1", info=late) + read("l2", info=late)
            )
            other = await router.cache()
            assert (await other.resp())[2] == b"short"
            other.write(HIT)
            cache.write(HIT)
            assert [str(await client.resp()) for _ in range(4)] == ["b'value'", "b'value'", "BUSY", "BUSY"]
            assert await client.reader.read() == b""
            client.close()
            await stopping
            assert router.host.recent_ids == {"r1", "short"}

    run(scenario)
