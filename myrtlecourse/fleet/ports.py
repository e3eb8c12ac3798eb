"""Listening sockets of a stand-in, one for each router, and what can go wrong with a connection.

A router is told addresses of its own: what comes in at one is from that router, whose distance it has.
"""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from myrtlecourse.fleet.reserved_ports import ReservedPort, reserve

BACKLOG = 1024
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27  # of Linux (socket(7)); not named in the socket module
DROP_ALL = ctypes.create_string_buffer(
    struct.pack("HBBI", 0x06, 0, 0, 0)
)  # BPF: return 0 bytes of each packet
PROGRAM = struct.pack("HL", 1, ctypes.addressof(DROP_ALL))


def cut_off(target: socket.socket, cut: bool) -> None:
    """Drop all that comes to a socket before TCP sees it, as a network does that is cut; or do so no more.

    Nothing is acknowledged: the sender's kernel sends it again, and goes on doing so. Connections that are
    being made don't come up.
    """
    if cut:
        target.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, PROGRAM)
        return
    with suppress(FileNotFoundError):  # mended before: two cuts may overlap
        target.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def raw(transport: asyncio.Transport) -> socket.socket:
    """A transport's socket, for its options."""
    return cast(socket.socket, transport.get_extra_info("socket"))


class Wire:
    """One direction of a connection: gives what is put in after the delay, in order, its end last."""

    def __init__(self, delay: float, give: Callable[[bytes, float], None], end: Callable[[], None]) -> None:
        self.delay = delay
        self.give = give
        self.end = end
        self.under_way: deque[tuple[float, bytes | None, float]] = deque()
        self.held = False
        self.loop = asyncio.get_running_loop()

    def put(self, data: bytes | None, began: float | None = None) -> None:
        """Send bytes on their way, or with None the end; `began` is when they came, unless that is now."""
        began = time.monotonic() if began is None else began
        if not self.delay and not self.held and not self.under_way:
            self._give(data, began)
            return
        self.under_way.append((self.loop.time() + self.delay, data, began))
        if not self.held and len(self.under_way) == 1:
            self._wait()

    def hold(self, held: bool) -> None:
        """Let nothing out, or let out what has come meanwhile."""
        self.held = held
        if not held and self.under_way:
            self._wait()

    def _give(self, data: bytes | None, began: float) -> None:
        if data is None:
            self.end()
        else:
            self.give(data, began)

    def _wait(self) -> None:
        self.loop.call_at(self.under_way[0][0], self._out)

    def _out(self) -> None:
        while not self.held and self.under_way and self.under_way[0][0] <= self.loop.time() + 0.0005:
            _, data, began = self.under_way.popleft()
            self._give(data, began)
        if not self.held and self.under_way:
            self._wait()


class Served(asyncio.Protocol):
    """A connection that a stand-in has accepted. What is its protocol's is in `took` and `busy`."""

    def __init__(self, port: Port) -> None:
        self.port = port
        self.incoming = Wire(port.delay, self._in, self._end)
        self.outgoing = Wire(port.delay, self._out, self._shut)
        self.idle_since = time.monotonic()
        self.open = True
        self.cut_at: float | None = None  # when the network was last cut, until something has come since

    def took(self, data: bytes, began: float) -> None:
        """Bytes have come; `began` is when they did."""
        raise NotImplementedError

    def busy(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    def ended(self) -> None:
        """The other side has gone, or it was closed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port.add(self)

    def data_received(self, data: bytes) -> None:
        # what was written into a cut was sent then: its kernel has only now brought it through
        self.incoming.put(data, self.cut_at)
        self.cut_at = None

    def _in(self, data: bytes, began: float) -> None:
        if self.open:
            self.took(data, began)

    def write(self, data: bytes) -> None:
        """Answer; the connection is idle from now on, unless something waits behind."""
        self.idle_since = time.monotonic()
        self.outgoing.put(data)

    def _out(self, data: bytes, _: float) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        # in its turn: a process that stood still reads what came before it sees that its client has gone
        self.incoming.put(None)

    def _end(self) -> None:
        if self.open:
            self.open = False
            self.port.connections.discard(self)
            self.ended()

    def close(self) -> None:
        """Close once what was written is out."""
        self.outgoing.put(None)

    def _shut(self) -> None:
        self.transport.close()

    def drop(self) -> None:
        """Reset, and forget at once, as a process that ends."""
        self.reset()
        self._end()

    def reset(self) -> None:
        """End with a reset, whatever is out."""
        if not self.transport.is_closing():
            raw(self.transport).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def freeze(self, frozen: bool) -> None:
        """The process stands still: it acts on nothing. What comes is kept for later, with its time."""
        self.incoming.hold(frozen)
        self.outgoing.hold(frozen)

    def cut(self, cut: bool) -> None:
        """The network between is cut, or whole again."""
        self.outgoing.hold(cut)
        self.cut_at = time.monotonic() if cut else self.cut_at
        if not self.transport.is_closing():
            cut_off(raw(self.transport), cut)


class Port:
    """Where one router finds a stand-in."""

    def __init__(self, router: str, delay: float, most: int, make: Callable[[Port], Served]) -> None:
        self.router = router
        self.delay = delay  # seconds one way
        self.most = most  # connections
        self.make = make
        self.connections: set[Served] = set()
        self.reserved: ReservedPort | None = None  # from the first time it listens, until it is closed
        self.wanted = False  # to listen
        self.server: asyncio.Server | None = None
        self.changing = asyncio.Lock()
        self.frozen = False
        self.is_cut = False

    @property
    def number(self) -> int:
        """The port, once it has listened; else 0."""
        return 0 if self.reserved is None else self.reserved.number

    async def listen(self) -> None:
        """Take connections; at the same address as before, if there was one."""
        self.wanted = True
        async with self.changing:
            if self.server is None and self.wanted:
                await self._serve()
            if not self.wanted:  # refused meanwhile
                self.refuse()

    async def _serve(self) -> None:
        if self.reserved is None:
            self.reserved = reserve()
        self.listening = listening = socket.create_server(self.reserved.address, backlog=BACKLOG)
        if self.is_cut:
            cut_off(listening, True)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: self.make(self), sock=listening, backlog=BACKLOG)

    def refuse(self) -> None:
        """Refuse new connections."""
        self.wanted = False
        if self.server is not None:
            self.server.close()
            self.server = None

    def close(self) -> None:
        """End it, and give its port back."""
        self.end()
        if self.reserved is not None:
            self.reserved.release()

    def add(self, connection: Served) -> None:
        """A connection has come up."""
        if len(self.connections) >= self.most:
            connection.reset()
            return
        self.connections.add(connection)
        if self.frozen:
            connection.freeze(True)

    def freeze(self, frozen: bool) -> None:
        """Halt or go on."""
        self.frozen = frozen
        for connection in list(self.connections):
            connection.freeze(frozen)

    def cut(self, cut: bool) -> None:
        """Cut the network, or mend it."""
        self.is_cut = cut
        if self.server is not None:
            cut_off(self.listening, cut)
        for connection in list(self.connections):
            connection.cut(cut)

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    def drop_idle(self, before: float) -> None:
        """Close what has been idle since before then."""
        for connection in list(self.connections):
            if not connection.busy() and connection.idle_since <= before:
                connection.close()

    def end(self) -> None:
        """As a process that ends: nothing listens, everything is reset."""
        self.refuse()
        for connection in list(self.connections):
            connection.drop()
        self.frozen = False
