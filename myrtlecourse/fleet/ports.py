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


def set_packet_drop(target: socket.socket, cut: bool) -> None:
    """Drop all that comes to a socket before TCP sees it, as a network does that is cut; or do so no more.

    Nothing is acknowledged: the sender's kernel sends it again, and goes on doing so. Connections that are
    being made don't come up.
    """
    if cut:
        target.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, PROGRAM)
        return
    with suppress(FileNotFoundError):  # mended before: two cuts may overlap
        target.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def socket_of(transport: asyncio.Transport) -> socket.socket:
    """A transport's socket, for its options."""
    return cast(socket.socket, transport.get_extra_info("socket"))


class DelayedStream:
    """One direction of a connection: gives what is put in after the delay, in order, its end last."""

    def __init__(
        self, delay: float, deliver: Callable[[bytes, float], None], on_end: Callable[[], None]
    ) -> None:
        self.delay = delay
        self.deliver = deliver
        self.on_end = on_end
        self.in_transit: deque[tuple[float, bytes | None, float]] = deque()
        self.paused = False
        self.loop = asyncio.get_running_loop()

    def send(self, data: bytes | None, began: float | None = None) -> None:
        """Send bytes on their way, or with None the end; `began` is when they came, unless that is now."""
        began = time.monotonic() if began is None else began
        if not self.delay and not self.paused and not self.in_transit:
            self._deliver(data, began)
            return
        self.in_transit.append((self.loop.time() + self.delay, data, began))
        if not self.paused and len(self.in_transit) == 1:
            self._schedule()

    def set_paused(self, paused: bool) -> None:
        """Let nothing out, or let out what has come meanwhile."""
        self.paused = paused
        if not paused and self.in_transit:
            self._schedule()

    def _deliver(self, data: bytes | None, began: float) -> None:
        if data is None:
            self.on_end()
        else:
            self.deliver(data, began)

    def _schedule(self) -> None:
        self.loop.call_at(self.in_transit[0][0], self._deliver_due)

    def _deliver_due(self) -> None:
        while not self.paused and self.in_transit and self.in_transit[0][0] <= self.loop.time() + 0.0005:
            _, data, began = self.in_transit.popleft()
            self._deliver(data, began)
        if not self.paused and self.in_transit:
            self._schedule()


class ServerConnection(asyncio.Protocol):
    """A connection that a stand-in has accepted. What is its protocol's is in `took` and `busy`."""

    def __init__(self, port: Port) -> None:
        self.port = port
        self.incoming = DelayedStream(port.delay, self._receive, self._on_end)
        self.outgoing = DelayedStream(port.delay, self._write, self._close_transport)
        self.idle_since = time.monotonic()
        self.open = True
        self.cut_at: float | None = None  # when the network was last cut, until something has come since

    def on_data(self, data: bytes, began: float) -> None:
        """Bytes have come; `began` is when they did."""
        raise NotImplementedError

    def is_busy(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    def on_closed(self) -> None:
        """The other side has gone, or it was closed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port.add(self)

    def data_received(self, data: bytes) -> None:
        # what was written into a cut was sent then: its kernel has only now brought it through
        self.incoming.send(data, self.cut_at)
        self.cut_at = None

    def _receive(self, data: bytes, began: float) -> None:
        if self.open:
            self.on_data(data, began)

    def write(self, data: bytes) -> None:
        """Answer; the connection is idle from now on, unless something waits behind."""
        self.idle_since = time.monotonic()
        self.outgoing.send(data)

    def _write(self, data: bytes, _: float) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        # in its turn: a process that stood still reads what came before it sees that its client has gone
        self.incoming.send(None)

    def _on_end(self) -> None:
        if self.open:
            self.open = False
            self.port.connections.discard(self)
            self.on_closed()

    def close(self) -> None:
        """Close once what was written is out."""
        self.outgoing.send(None)

    def _close_transport(self) -> None:
        self.transport.close()

    def drop(self) -> None:
        """Reset, and forget at once, as a process that ends."""
        self.reset()
        self._on_end()

    def reset(self) -> None:
        """End with a reset, whatever is out."""
        if not self.transport.is_closing():
            socket_of(self.transport).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def freeze(self, frozen: bool) -> None:
        """The process stands still: it acts on nothing. What comes is kept for later, with its time."""
        self.incoming.set_paused(frozen)
        self.outgoing.set_paused(frozen)

    def cut(self, cut: bool) -> None:
        """The network between is cut, or whole again."""
        self.outgoing.set_paused(cut)
        self.cut_at = time.monotonic() if cut else self.cut_at
        if not self.transport.is_closing():
            set_packet_drop(socket_of(self.transport), cut)


class Port:
    """Where one router finds a stand-in."""

    def __init__(
        self,
        router: str,
        delay: float,
        max_connections: int,
        make_connection: Callable[[Port], ServerConnection],
    ) -> None:
        self.router = router
        self.delay = delay  # seconds one way
        self.max_connections = max_connections  # connections
        self.make_connection = make_connection
        self.connections: set[ServerConnection] = set()
        self.reserved: ReservedPort | None = None  # from the first time it listens, until it is closed
        self.should_listen = False  # to listen
        self.server: asyncio.Server | None = None
        self.listen_lock = asyncio.Lock()
        self.frozen = False
        self.is_cut = False

    @property
    def number(self) -> int:
        """The port, once it has listened; else 0."""
        return 0 if self.reserved is None else self.reserved.number

    async def listen(self) -> None:
        """Take connections; at the same address as before, if there was one."""
        self.should_listen = True
        async with self.listen_lock:
            if self.server is None and self.should_listen:
                await self._serve()
            if not self.should_listen:  # refused meanwhile
                self.refuse()

    async def _serve(self) -> None:
        if self.reserved is None:
            self.reserved = reserve()
        self.listening_socket = listening_socket = socket.create_server(
            self.reserved.address, backlog=BACKLOG
        )
        if self.is_cut:
            set_packet_drop(listening_socket, True)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: self.make_connection(self), sock=listening_socket, backlog=BACKLOG
        )

    def refuse(self) -> None:
        """Refuse new connections."""
        self.should_listen = False
        if self.server is not None:
            self.server.close()
            self.server = None

    def close(self) -> None:
        """End it, and give its port back."""
        self.stop()
        if self.reserved is not None:
            self.reserved.release()

    def add(self, connection: ServerConnection) -> None:
        """A connection has come up."""
        if len(self.connections) >= self.max_connections:
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
            set_packet_drop(self.listening_socket, cut)
        for connection in list(self.connections):
            connection.cut(cut)

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    def drop_idle(self, before: float) -> None:
        """Close what has been idle since before then."""
        for connection in list(self.connections):
            if not connection.is_busy() and connection.idle_since <= before:
                connection.close()

    def stop(self) -> None:
        """As a process that ends: nothing listens, everything is reset."""
        self.refuse()
        for connection in list(self.connections):
            connection.drop()
        self.frozen = False
