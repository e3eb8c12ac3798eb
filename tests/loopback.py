"""Scripted peers on loopback: a test receives what the router sends and decides what is answered."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import hiredis
import pytest

from myrtlecourse import interface as api
from myrtlecourse import policy
from myrtlecourse.net.host import Host
from myrtlecourse.net.listener import Listener
from myrtlecourse.net.members import Member
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.reuse_delay import MAX_REUSE_DELAY
from myrtlecourse.net.servers import CacheConnection

new_event_loop = asyncio.new_event_loop  # the event loop that tests run on
needs_sources = pytest.mark.skipif(
    not str(policy.__file__).endswith(".py"), reason="replaces a method, which compiled classes don't allow"
)
TIMEOUT = 10.0  # seconds after which a test that waits for an event fails
HIT = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
READ = api.RequestClass("read", aim=1.0)
BOOK = api.RequestClass("book", 1.0, api.Effect.KEYED, api.DedupGroup.ALL, repeat_window=15.0, value=3.0)
SETTINGS = api.Settings(
    classes={"read": READ, "book": BOOK},
    cache_aside=True,
    origin_kind="origin",
    may_cancel=True,
    hedging=True,
    max_attempts=4,
    max_retry_after=2.0,
)


def run(
    scenario: Callable[[], Awaitable[None]],
    make_loop: Callable[[], asyncio.AbstractEventLoop] | None = None,
    timeout: float = TIMEOUT,
) -> None:
    """Run a test; it fails on a timeout, or if a callback raises an exception."""
    errors: list[dict[str, Any]] = []

    async def with_timeout() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, error: errors.append(error))
        async with asyncio.timeout(timeout):
            await scenario()

    with asyncio.Runner(loop_factory=make_loop or new_event_loop) as runner:
        runner.run(with_timeout())
    assert not errors, errors


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true, polling it between iterations of the event loop."""
    while not condition():
        await asyncio.sleep(0.001)


def age_idle_connections(pool: Pool) -> None:
    """Make the idle connections of a pool reusable, as if their last answers were long ago."""
    for connection in pool.idle:
        connection.idle_since -= MAX_REUSE_DELAY


def format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def http(status: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def command(*parts: str | bytes) -> bytes:
    return bytes(hiredis.pack_command(parts))  # type: ignore[arg-type]


def read(request: str, key: str = "k", info: str = "c=read,t=x,d=2000") -> bytes:
    return command("C.GET", key, request, info)


def book(request: str, key: str = "k", value: bytes = b"slot") -> bytes:
    return command("C.SET", key, request, "c=book,t=x,d=2000,k=5c0f", value)


class Link:
    """The test's end of a connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def resp(self) -> Any:
        """Receive the next RESP message."""
        while (message := self.parser.gets()) is Ellipsis:
            data = await self.reader.read(65536)
            assert data, "the connection ended"
            self.parser.feed(data)
        return message

    async def http(self) -> tuple[str, dict[str, str], bytes]:
        """Receive the next HTTP request; return its first line, headers and body."""
        first, *rest = (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in rest)}
        return first, headers, await self.reader.readexactly(int(headers.get("content-length", 0)))

    async def ended(self) -> bool:
        """Wait for the other side to close; return False if it sends bytes before that."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Close with a reset."""
        peer = self.writer.get_extra_info("socket")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Peer:
    """A server whose connections are handed to the test."""

    def __init__(self) -> None:
        self.links: asyncio.Queue[Link] = asyncio.Queue()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = format_address(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.put_nowait(Link(reader, writer))

    async def link(self) -> Link:
        """Return the next connection made to the server."""
        return await self.links.get()


class DelayedDials:
    """Delays a router's connections to caches just before they are made, until they are released."""

    def __init__(self, router: Router) -> None:
        self.names = {peer.address: name for name, peer in router.caches.items()}

    async def __aenter__(self) -> Self:
        self.loop: Any = asyncio.get_running_loop()
        self.create_connection: Any = self.loop.create_connection
        self.held: asyncio.Queue[str] = asyncio.Queue()
        self.released = asyncio.Event()
        self._replace_create_connection(self._hold)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.released.set()
        self._replace_create_connection(self.create_connection)

    def _replace_create_connection(self, make: Any) -> None:
        self.loop.create_connection = make

    async def _hold(self, factory: Callable[[], Any], host: str, port: int, **more: Any) -> Any:
        name = self.names.get(format_address((host, port)))
        if name is not None and not self.released.is_set():
            self.held.put_nowait(name)
            await self.released.wait()
        return await self.create_connection(factory, host, port, **more)

    async def next_dial(self) -> str:
        """Wait for the next dial and return the name of its cache."""
        return await self.held.get()

    def release(self) -> None:
        """Release the held dials, and delay no further ones."""
        self.released.set()


def member(name: str, address: str, kind: str = "std", **fields: Any) -> Member:
    return Member(api.ServerEntry(name, kind=kind, weight=1.0, **fields), address)


class Router:
    """A host with its listener between two caches and an origin."""

    def __init__(
        self,
        settings: api.Settings = SETTINGS,
        listed: bool = True,
        clients: int = 16,
        admission: api.AdmissionControl | None = None,
        connections: int = 16,
    ) -> None:
        self.listed = listed
        self.subscribed = 0
        self.caches = {"a": Peer(), "b": Peer()}
        self.origin = Peer()
        self.servers = Pool(CacheConnection, connections, 1.0, 60.0)
        self.origins = Pool(OriginConnection, connections, 1.0, 60.0)
        self.host = Host(settings, 1, self.servers, self.origins, self._subscribe, admission)
        self.listener = Listener(self.host, clients)

    def _subscribe(self) -> None:
        self.subscribed += 1

    async def __aenter__(self) -> Self:
        for peer in (*self.caches.values(), self.origin):
            await peer.__aenter__()
        if self.listed:
            self.list("a", "b")
        self.listener.start(("127.0.0.1", 0))
        return self

    def list(self, *names: str) -> None:
        members = [member(n, self.caches[n].address) for n in names]
        origin = member("o", self.origin.address, "origin")
        self.host.submit_list(api.ListKind.FULL, [*members, origin])

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stop()
        for peer in (*self.caches.values(), self.origin):
            await peer.__aexit__(kind, error, trace)

    async def stop(self) -> None:
        """Stop the router; may be called more than once."""
        for connection in list(self.listener.connections):
            connection.transport.abort()
        await self.listener.stop(0.0, 1.0)
        self.servers.close()
        self.origins.close()

    async def client(self) -> Link:
        """Connect a new client."""
        return Link(*await asyncio.open_connection(*self.listener.socket.getsockname()))

    async def cache(self) -> Link:
        """Return the next connection to either cache."""
        waits = [asyncio.create_task(p.link()) for p in self.caches.values()]
        done, others = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for other in others:
            other.cancel()
        return done.pop().result()

    async def open_request(self, request: str = "r1", info: str = "c=read,t=x,d=2000") -> tuple[Link, Link]:
        """Send a read; return the client's end and the end of the cache that has received it."""
        client = await self.client()
        client.write(read(request, info=info))
        cache = await self.cache()
        assert (await cache.resp())[2] == request.encode()
        return client, cache
