"""Listening sockets of stand-in servers, one for each router, and faults of their connections.

Each router is given addresses of its own: the port of a connection tells which router it comes from, and with
it the delay.
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
from myrtlecourse.net.tcp_info import arrival_time

BACKLOG = 1024
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27  # Linux (socket(7)); the socket module has no names for them
# BPF program that accepts 0 bytes of each packet.
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
DROP_FILTER = struct.pack("HL", 1, ctypes.addressof(DROP_ALL))


def set_packet_drop(target: socket.socket, cut: bool) -> None:
    """Drop all packets that arrive at a socket, as a cut network does, or stop dropping them.

    TCP does not see the packets. Nothing is acknowledged, so the sender's kernel retransmits. Connections
    that are being established do not come up.
    """
    if cut:
        target.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_FILTER)
        return
    with suppress(FileNotFoundError):  # two cuts may overlap, and the first end removes the filter
        target.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def socket_of(transport: asyncio.Transport) -> socket.socket:
    """Return a transport's socket."""
    return cast(socket.socket, transport.get_extra_info("socket"))


class DelayedStream:
    """One direction of a connection: delivers data in order after a delay, and the end of the stream last."""

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
        """Send data, or the end of the stream with None; `began` is the arrival time, by default now."""
        began = time.monotonic() if began is None else began
        if not self.delay and not self.paused and not self.in_transit:
            self._deliver(data, began)
            return
        self.in_transit.append((self.loop.time() + self.delay, data, began))
        if not self.paused and len(self.in_transit) == 1:
            self._schedule()

    def set_paused(self, paused: bool) -> None:
        """Pause delivery, or resume it with what has arrived in the meantime."""
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
    """A connection that a stand-in server has accepted; subclasses implement the protocol."""

    def __init__(self, port: Port) -> None:
        self.port = port
        self.incoming = DelayedStream(port.delay, self._receive, self._on_end)
        self.outgoing = DelayedStream(port.delay, self._write, self._close_transport)
        self.idle_since = time.monotonic()
        self.open = True
        # Time of the latest cut of the network; None once data has arrived after it.
        self.cut_at: float | None = None

    def on_data(self, data: bytes, began: float) -> None:
        """Handle data; `began` is the time at which it arrived."""
        raise NotImplementedError

    def is_busy(self) -> bool:
        """Return whether an answer is owed."""
        raise NotImplementedError

    def on_closed(self) -> None:
        """Handle the end of the connection by either side."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port.add(self)

    def data_received(self, data: bytes) -> None:
        self.incoming.send(data, self._arrival_time())
        self.cut_at = None

    def _arrival_time(self) -> float:
        """Return when the data that is read now arrived.

        The first data after a cut was written during the cut, although the sender's kernel delivers it now.
        """
        if self.cut_at is not None:
            return self.cut_at
        return arrival_time(socket_of(self.transport))

    def _receive(self, data: bytes, began: float) -> None:
        if self.open:
            self.on_data(data, began)

    def write(self, data: bytes) -> None:
        """Write an answer; the connection counts as idle from now on unless more requests are waiting."""
        self.idle_since = time.monotonic()
        self.outgoing.send(data)

    def _write(self, data: bytes, _: float) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        # Queued behind earlier data: a frozen process reads that before it sees the end of the connection.
        self.incoming.send(None)

    def _on_end(self) -> None:
        if self.open:
            self.open = False
            self.port.connections.discard(self)
            self.on_closed()

    def close(self) -> None:
        """Close the connection after all written data has been sent."""
        self.outgoing.send(None)

    def _close_transport(self) -> None:
        self.transport.close()

    def drop(self) -> None:
        """Reset the connection and forget it at once, as the end of a process does."""
        self.reset()
        self._on_end()

    def reset(self) -> None:
        """Reset the connection and discard unsent data."""
        if not self.transport.is_closing():
            socket_of(self.transport).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def freeze(self, frozen: bool) -> None:
        """Freeze the process or resume it; data that arrives in the meantime keeps its arrival time."""
        self.incoming.set_paused(frozen)
        self.outgoing.set_paused(frozen)

    def cut(self, cut: bool) -> None:
        """Cut the network between both sides, or restore it."""
        self.outgoing.set_paused(cut)
        self.cut_at = time.monotonic() if cut else self.cut_at
        if not self.transport.is_closing():
            set_packet_drop(socket_of(self.transport), cut)


class Port:
    """The address at which one router reaches a stand-in server."""

    def __init__(
        self,
        router: str,
        delay: float,
        max_connections: int,
        make_connection: Callable[[Port], ServerConnection],
    ) -> None:
        self.router = router
        self.delay = delay  # seconds, one way
        self.max_connections = max_connections
        self.make_connection = make_connection
        self.connections: set[ServerConnection] = set()
        self.reserved: ReservedPort | None = None  # reserved from the first `listen` until `close`
        self.should_listen = False  # False while connections are refused
        self.server: asyncio.Server | None = None
        self.listen_lock = asyncio.Lock()
        self.frozen = False
        self.is_cut = False

    @property
    def number(self) -> int:
        """The port number, or 0 before the first `listen`."""
        return 0 if self.reserved is None else self.reserved.number

    async def listen(self) -> None:
        """Accept connections, at the same address as before if there was one."""
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
        """Stop listening and release the port."""
        self.stop()
        if self.reserved is not None:
            self.reserved.release()

    def add(self, connection: ServerConnection) -> None:
        """Add a new connection, or reset it if there are too many."""
        if len(self.connections) >= self.max_connections:
            connection.reset()
            return
        self.connections.add(connection)
        if self.frozen:
            connection.freeze(True)

    def freeze(self, frozen: bool) -> None:
        """Freeze all connections or resume them."""
        self.frozen = frozen
        for connection in list(self.connections):
            connection.freeze(frozen)

    def cut(self, cut: bool) -> None:
        """Cut the network of all connections, or restore it."""
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
        """Close connections that have been idle since before the given time."""
        for connection in list(self.connections):
            if not connection.is_busy() and connection.idle_since <= before:
                connection.close()

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        self.refuse()
        for connection in list(self.connections):
            connection.drop()
        self.frozen = False
