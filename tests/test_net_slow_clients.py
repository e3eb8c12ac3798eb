"""Clients that read slowly get their answers whole, through every way in which a connection ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

import pytest

from myrtlecourse.net import clients, listener
from myrtlecourse.net.request_log import CloseReason
from tests.loopback import TIMEOUT, Link, Router, command, needs_sources, read, run, until
from tests.test_net_lingering import close_when_idle, evict, start_drain, stop
from tests.test_net_passing import serve

VALUE = bytes(range(250)) * 240  # 60,000 bytes, which the router writes at once
ANSWER = b"$%d\r\n" % len(VALUE) + VALUE + b"\r\n"
READ_PAUSE = 0.005  # seconds between two reads of a slow client


def reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


class SlowClient:
    """A client that reads a little at a time, with a small buffer in its system."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)

    async def ask(self, router: Router, request_id: str = "r1") -> None:
        """Connect and send a request."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, router.listener.socket.getsockname())
        await loop.sock_sendall(self.socket, read(request_id, f"key of {request_id}", "c=read,t=x,d=9000"))

    async def open_request(self, router: Router) -> Link:
        """Connect and send a request; return the cache server's end of its attempt."""
        await self.ask(router)
        cache = await router.cache()
        await cache.resp()
        return cache

    async def read_slowly(self, size: int = 4096, pause: float = READ_PAUSE) -> bytes:
        """Read up to the end of the connection."""
        got = b""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, size):
            got += data
            await asyncio.sleep(pause)
        return got

    async def read_count(self, count: int, size: int, pause: float) -> bytes:
        """Read `count` bytes, or up to the end."""
        got = b""
        while len(got) < count and (data := await asyncio.get_running_loop().sock_recv(self.socket, size)):
            got += data
            await asyncio.sleep(pause)
        return got


def hold_little_in_the_kernel(router: Router) -> None:
    """Let much of an answer stay in the router's own buffers."""
    router.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


async def owe_the_tail(router: Router, client: SlowClient) -> clients.ClientConnection:
    """Answer a request; return its connection once all is written, of which its client has read nothing."""
    cache = await client.open_request(router)
    (connection,) = router.listener.connections
    cache.write(reply(VALUE))
    await until(lambda: not connection.slots)
    assert connection.transport.get_write_buffer_size()
    return connection


async def serve_value(link: Link) -> None:
    """Answer each request of a connection with the value."""
    while True:
        await link.resp()
        link.write(reply(VALUE))


async def stop_with_an_inherited_socket(router: Router) -> None:
    """As at an upgrade: the next process accepts on the same socket."""
    router.listener.inherited = True
    await stop(router)


# Guards against the loss of a long answer's tail that its client is still reading as its connection ends.
@needs_sources
@pytest.mark.parametrize("path", [evict, close_when_idle, start_drain, stop, stop_with_an_inherited_socket])
def test_the_tail_that_a_client_still_reads_outlasts_the_end_of_its_connection(
    path: Callable[[Router], Coroutine[None, None, None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "LINGER_TIME", 0.02)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT", 0.01)
    monkeypatch.setattr(listener, "SINGLE_COMMAND_IDLE_TIMEOUT", 0.01)

    async def scenario() -> None:
        async with Router(clients=1 if path is evict else 4) as router:
            hold_little_in_the_kernel(router)
            client = SlowClient()
            connection = await owe_the_tail(router, client)
            await path(router)
            await until(lambda: connection.half_closed)
            assert await client.read_slowly() == ANSWER
            client.socket.close()
            await until(lambda: connection not in router.listener.connections)

    run(scenario)


# Guards against the loss of a long answer whose cache server is taken offline while it is passed on.
def test_a_ban_of_its_cache_server_costs_no_part_of_a_long_answer() -> None:
    async def scenario() -> None:
        async with Router() as router:
            hold_little_in_the_kernel(router)
            client = SlowClient()
            cache = await client.open_request(router)
            message = reply(VALUE * 2)
            cache.write(message[:60_000])
            start = await client.read_count(20_000, 4096, 0.0)
            for server in ("a", "b"):
                router.host.take_offline(server)
            cache.write(message[60_000:])
            want = b"$%d\r\n" % (2 * len(VALUE)) + VALUE * 2 + b"\r\n"
            assert start + await client.read_count(len(want) - len(start), 4096, READ_PAUSE) == want

    run(scenario)


# Guards against the end of an answer that its client reads slowly: the kernel seldom tells of room.
@needs_sources
def test_a_client_that_reads_slowly_without_a_pause_gets_its_whole_value(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.5)
    value = VALUE * 25

    async def scenario() -> None:
        async with Router() as router:
            # the kernel tells of room when a third of this is free, less often than the reading is judged
            router.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 512 * 1024)
            client = SlowClient()
            cache = await client.open_request(router)
            cache.write(reply(value))
            length = len(value) + len(b"$1500000\r\n\r\n")
            got = await client.read_count(length, 8192, 0.01)
            assert got == b"$%d\r\n" % len(value) + value + b"\r\n"

    run(scenario, timeout=3 * TIMEOUT)  # it takes some seconds on a machine with nothing else to do


# Guards against clients that take a byte now and then, and would hold memory and descriptors for days.
@needs_sources
def test_a_client_that_takes_a_byte_now_and_then_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.3)

    async def scenario() -> None:
        async with Router() as router:
            hold_little_in_the_kernel(router)
            client = SlowClient()
            cache = await client.open_request(router)
            cache.write(reply(VALUE * 6))
            await until(lambda: bool(router.listener.stalled_answers))
            reading = asyncio.create_task(client.read_slowly(1, 0.05))
            await until(lambda: not router.listener.connections)
            assert await cache.ended() and router.listener.windows.streams == 0
            reading.cancel()

    run(scenario)


# Guards against new clients that wait long for the descriptors of clients that take nothing.
@needs_sources
def test_a_client_that_takes_nothing_is_ended_sooner_while_descriptors_are_scarce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 600.0)
    monkeypatch.setattr(listener, "SCARCE_DELIVERY_INTERVAL", 0.3)

    async def scenario() -> None:
        async with Router(clients=2) as router:
            hold_little_in_the_kernel(router)
            client = SlowClient()
            cache = await client.open_request(router)
            cache.write(reply(VALUE * 6))
            await until(lambda: bool(router.listener.stalled_answers))
            await asyncio.sleep(1.0)  # several times the limit for scarce descriptors
            assert router.listener.connections
            second, third = await router.client(), await router.client()
            for other in (second, third):
                other.write(command("PING"))
                assert await other.resp() == b"PONG"
            assert await cache.ended()

    run(scenario)


# Guards against half-closed connections that hold their descriptors because their clients take nothing.
@needs_sources
def test_a_half_closed_connection_whose_client_takes_nothing_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "LINGER_TIME", 0.02)
    monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.3)

    async def scenario() -> None:
        async with Router() as router:
            hold_little_in_the_kernel(router)
            client = SlowClient()
            connection = await owe_the_tail(router, client)
            connection.close(CloseReason.ENDING)
            await until(lambda: not router.listener.connections)
            assert client.socket.fileno() >= 0

    run(scenario)


# Guards against new clients that push out half-closed connections whose clients are still reading.
@needs_sources
def test_new_clients_cut_no_tail_of_half_closed_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "LINGER_TIME", 0.02)
    count = listener.LINGERING_ALLOWANCE + 2

    async def scenario() -> None:
        async with Router(clients=count) as router:
            hold_little_in_the_kernel(router)
            crowd = [SlowClient() for _ in range(count)]
            servers = [asyncio.create_task(serve(peer.links, serve_value)) for peer in router.caches.values()]
            for number, client in enumerate(crowd):
                await client.ask(router, f"r{number}")
            connections = router.listener.connections
            await until(lambda: sum(c.transport.get_write_buffer_size() > 0 for c in connections) == count)
            for connection in connections:
                connection.close(CloseReason.NO_ROOM)
            assert len(router.listener.lingering) == count
            tails = [asyncio.create_task(client.read_slowly()) for client in crowd]
            new = [await router.client() for _ in range(count)]
            for link in new:
                link.write(command("PING"))
            for client, tail in zip(crowd, tails, strict=True):
                assert await tail == ANSWER
                client.socket.close()
            for link in new:
                assert await link.resp() == b"PONG"
            for server in servers:
                server.cancel()

    run(scenario)
