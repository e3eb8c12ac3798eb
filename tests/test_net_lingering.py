"""A client connection is closed while bytes arrive: the last answer is delivered, and input after the
shutdown is read but never executed."""

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

LONG_ANSWER_START = b"*3\r\n$200000\r\n" + b"v" * 150_000  # the rest is not sent
VALUE = b"$5\r\nvalue\r\n"


class RawClient:
    """A client that reads from its socket only when the test calls for it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.socket = socket.socket()
        self.socket.setblocking(False)

    async def connect(self) -> RawClient:
        await asyncio.get_running_loop().sock_connect(self.socket, self.router.listener.socket.getsockname())
        return self

    def send(self, data: bytes) -> None:
        """Send to the router's socket at once."""
        assert self.socket.send(data) == len(data)

    async def read_to_end(self) -> bytes:
        """Read up to the end, which must be an orderly close."""
        got = b""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            got += data
        return got

    async def exchange(self) -> ClientConnection:
        """Send a request; return the connection once its answer lies unread in the client's socket."""
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
    """A close with unread input resets the connection, and the client loses answers sent before it."""
    monkeypatch.setattr(listener, "IDLE_TIMEOUT", 0.01)
    monkeypatch.setattr(listener, "SINGLE_COMMAND_IDLE_TIMEOUT", 0.01)

    async def scenario() -> None:
        async with Router(clients=1 if path is evict else 4) as router:
            client = await RawClient(router).connect()
            connection = await client.exchange()
            crossed: list[bool] = []

            def poll(transport: Transport) -> bool:
                """Poll before the close, and let the command arrive just afterwards."""
                unread = has_unread_input(transport)
                if transport is connection.transport and not unread and not crossed:
                    crossed.append(True)
                    client.send(read("crossing"))
                return unread

            monkeypatch.setattr(clients, "has_unread_input", poll)
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
    """A reset because of input after the malformed command would lose the error reply."""

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
    """If the connection ended with a reset, the client would lose the answers that it had not read yet."""

    async def scenario() -> None:
        async with Router() as router:
            client = await RawClient(router).connect()
            client.send(command("PING") + read("r1"))
            cache = await router.cache()
            await cache.resp()
            cache.write(LONG_ANSWER_START)
            await until(lambda: any(t.streaming_attempt for t in router.host.requests.values()))
            cache.reset()
            await until(lambda: not router.host.requests)
            got = await client.read_to_end()
            assert got.startswith(b"+PONG\r\n$200000\r\n") and len(got) < 200_000

    run(scenario)


def test_a_long_answer_that_ends_behind_another_costs_neither(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing of it has been forwarded, so that an error can be sent instead."""
    monkeypatch.setattr(host, "STREAM_CHECK_INTERVAL", 0.01)

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
    """Half-closed connections whose clients stay idle would otherwise keep new clients out."""
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
    """Bytes that the kernel holds back (Nagle's algorithm) are lost when a close with unread input resets."""

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
    """This includes bytes that the kernel did not accept at once."""

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
    """A client keeps sending requests on an open connection; the last would be unanswered at the kill."""

    async def scenario() -> None:
        async with Router() as router:
            time_limit = 3 * TIMEOUT  # a router that waits for this long fails the test
            client, cache = await router.open_request("r1", "c=read,t=x,d=20000")
            stopping = asyncio.create_task(router.listener.stop(0.0, time_limit))
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
