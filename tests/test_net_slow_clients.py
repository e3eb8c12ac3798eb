"""Clients that read slowly get their answers whole, through every way in which a connection ends."""

from __future__ import annotations

import asyncio
import socket

import pytest

from myrtlecourse.net import listener
from tests.loopback import Link, Router, command, needs_sources, read, run, until

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


# Guards against the end of an answer that its client reads slowly: the kernel seldom tells of room.
@needs_sources
def test_a_client_that_reads_slowly_without_a_pause_gets_its_whole_value(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.2)
    value = VALUE * 14

    async def scenario() -> None:
        async with Router() as router:
            # the kernel tells of room when a third of this is free, four times less often than it is judged
            router.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 256 * 1024)
            client = SlowClient()
            cache = await client.open_request(router)
            cache.write(reply(value))
            length = len(value) + len(b"$840000\r\n\r\n")
            got = await client.read_count(length, 8192, 0.02)
            assert got == b"$%d\r\n" % len(value) + value + b"\r\n"

    run(scenario)


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
