"""Kept connections that carry one attempt at a time, and what became of each attempt."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import time
from abc import abstractmethod
from collections.abc import Callable
from typing import cast

from brackenwalk.interface import Status
from brackenwalk.net.command import Command
from brackenwalk.net.logs import BoundedLog
from brackenwalk.net.transport import Transport

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
ANSWER_TIME = 0.1  # seconds for the rest of an answer once it has begun: it is sent in one go
log = logging.getLogger(__name__)
bounded = BoundedLog(log)

Answer = tuple[Status, bytes]


class MalformedAnswer(Exception):
    """Bytes that are no answer; what they answer may have run."""


def address_of(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def readable(transport: Transport) -> bool:
    """Whether bytes or an end wait on a socket that the event loop has not looked at yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Exchange:
    """One attempt: it ends once, by `done` or by being abandoned."""

    __slots__ = ("command", "connection", "done", "open", "time_left")

    def __init__(self, command: Command, time_left: float, done: Callable[[Status, bytes], None]) -> None:
        self.command = command
        self.time_left = time_left
        self.done = done
        self.open = True
        self.connection: Connection | None = None

    def finish(self, status: Status, value: bytes = b"") -> None:
        if self.open:
            self.open = False
            self.done(status, value)

    def abandon(self) -> None:
        """Stop waiting. Closing tells the server to stop work, and an answer can't meet a later request.

        A dial goes on: the server has paid for it, and the next attempt finds the connection up.
        """
        if not self.open:
            return
        self.open = False
        if self.connection is not None:
            self.connection.drop()


class Connection(asyncio.Protocol):
    """A connection to one address."""

    def __init__(self, pool: Pool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.exchange: Exchange | None = None
        self.written = False  # whether the request's last byte is
        self.process: object = None  # that it was made to: another may come to its address
        self.dialled_for: Exchange | None = None
        self.made = False
        self.expiry: asyncio.TimerHandle | None = None  # of an answer begun
        self.idle_since = 0.0

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """A request's bytes."""

    @abstractmethod
    def decode(self, data: bytes) -> Answer | None:
        """Take bytes of the answer; None until it is whole."""

    @abstractmethod
    def reusable(self) -> bool:
        """Whether nothing is left over after an answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        # so that `resume_writing` comes just when the last byte has gone to the kernel
        self.transport.set_write_buffer_limits(high=0)
        self.made = True
        self.pool.dialling -= 1
        self.pool.connections.add(self)
        self.poll = select.poll()
        self.poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        # here, and not once the dial returns: one cancelled in between would leave a connection that nobody
        # knows, and with enough of those the budget is gone
        exchange, self.dialled_for = self.dialled_for, None
        if exchange is not None and exchange.open:
            self.begin(exchange)
        else:
            self.pool.keep(self)

    def begin(self, exchange: Exchange) -> None:
        exchange.connection = self
        self.exchange = exchange
        self.written = False
        try:
            data = self.encode(exchange.command, exchange.time_left)
        except Exception:
            # guards the router: what can't be sent costs its connection, and the attempt ends at once
            log.exception("request to %s", self.address)
            self.drop()
            return
        self.transport.write(data)
        # guards against a second effect: `write` returns also when bytes are kept back or the write failed
        self.written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self.written = True

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:  # bytes that nobody asked for: the next answer could not be told from them
            self.drop()
            return
        try:
            answer = self.decode(data)
        except Exception as e:
            # guards the router: whatever a server sends costs its connection and no more
            self._spoilt(exchange, e)
            return
        if answer is None:
            if self.expiry is None:
                loop = asyncio.get_running_loop()
                stalled = MalformedAnswer("begun and not ended")
                # guards the request: an answer said to be longer than it is never ends
                self.expiry = loop.call_later(ANSWER_TIME, self._spoilt, exchange, stalled)
        else:
            self.stop_expiry()
            self.exchange = None
            if self.written and self.reusable() and not self.transport.is_closing():
                self.pool.keep(self)
            else:
                self.drop()
            exchange.finish(*answer)

    def _spoilt(self, exchange: Exchange, fault: Exception) -> None:
        """An answer that can't be used: the request may have run, and what follows belongs to nobody."""
        level = logging.WARNING if isinstance(fault, MalformedAnswer) else logging.ERROR
        bounded.log(level, "answer of %s: %.200r", self.address, fault)
        self.exchange = None
        self.drop()
        exchange.finish(Status.ERROR)

    def stop_expiry(self) -> None:
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(Status.RESET if self.written else Status.CONNECT_FAILED)

    def drop(self) -> None:
        """Close at once, without sending what is still held back."""
        self.pool.forget(self)
        self.transport.abort()


class Pool:
    """The connections to servers that speak one protocol."""

    def __init__(
        self, make: Callable[[Pool, str], Connection], budget: int, dial_timeout: float, idle: float
    ) -> None:
        self.make = make
        self.budget = budget  # of descriptors
        self.dial_timeout = dial_timeout
        self.idle_time = max(0.0, idle - IDLE_MARGIN)
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.dialling = 0  # of those, the ones whose connection is not up
        self.idle: dict[Connection, None] = {}  # of all addresses, longest first
        self.idle_at: dict[str, dict[Connection, None]] = {}  # of each
        self.sweep: asyncio.TimerHandle | None = None  # of connections idle for too long

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Callable[[Status, bytes], None],
        process: object = None,
    ) -> Exchange:
        """Start an attempt on the process that is at an address now."""
        exchange = Exchange(command, time_left, done)
        kept = self._take(address, process)
        if kept is not None:
            kept.begin(exchange)
        elif self._has_room():
            dial = asyncio.create_task(self._dial(address, process, exchange))
            self.dialling += 1
            self.dials.add(dial)
            dial.add_done_callback(self.dials.discard)
        else:
            # guards against running out of descriptors, which would stop new clients as well
            exchange.finish(Status.MOOT)  # not the server's fault
        return exchange

    async def _dial(self, address: str, process: object, exchange: Exchange) -> None:
        connection = self.make(self, address)
        connection.process = process
        connection.dialled_for = exchange
        try:
            async with asyncio.timeout(self.dial_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address_of(address))
        except OSError as e:  # a time-out is one
            # once it is made the request may be on its way, and the connection's end tells what became of it
            if not connection.made:
                full = e.errno in (errno.EMFILE, errno.ENFILE)
                exchange.finish(Status.MOOT if full else Status.CONNECT_FAILED)
        finally:
            if not connection.made:
                self.dialling -= 1

    def _take(self, address: str, process: object) -> Connection | None:
        """The kept connection idle for longest, if one still stands.

        Guards against what follows a good answer after a while: on the one used last it would more likely
        come behind the next request, and be taken for its answer.
        """
        while (connection := next(iter(self.idle_at.get(address, ())), None)) is not None:
            self._leave_idle(connection)
            usable = connection.process == process and not connection.transport.is_closing()
            # guards against resets: a close that came in since the loop last looked would lose the request
            if usable and not connection.poll.poll(0):
                return connection
            connection.drop()
        return None

    def _has_room(self) -> bool:
        if len(self.connections) + self.dialling < self.budget:
            return True
        for connection in self.idle:
            connection.drop()
            return True
        return False

    def keep(self, connection: Connection) -> None:
        """Hold a connection for the next attempt until the server would close it."""
        connection.idle_since = time.monotonic()
        self.idle[connection] = None
        at = self.idle_at.get(connection.address)
        if at is None:
            at = self.idle_at[connection.address] = {}
        at[connection] = None
        if self.sweep is None:
            self.sweep = asyncio.get_running_loop().call_later(self.idle_time, self._sweep)

    def _sweep(self) -> None:
        """Close what has been idle for too long: one timer for all, as nearly all are used again."""
        self.sweep = None
        now = time.monotonic()
        for connection in list(self.idle):
            left = connection.idle_since + self.idle_time - now
            if left > 0:
                self.sweep = asyncio.get_running_loop().call_later(left, self._sweep)
                return
            connection.drop()

    def _leave_idle(self, connection: Connection) -> None:
        if connection in self.idle:
            del self.idle[connection]
            at = self.idle_at[connection.address]
            del at[connection]
            if not at:
                del self.idle_at[connection.address]

    def forget(self, connection: Connection) -> None:
        """Note that a connection is closed."""
        connection.stop_expiry()
        self.connections.discard(connection)
        self._leave_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to one address."""
        for connection in list(self.idle_at.get(address, ())):
            connection.drop()

    def close(self) -> None:
        """Close everything."""
        if self.sweep is not None:
            self.sweep.cancel()
        for connection in list(self.connections):
            connection.drop()
        for dial in self.dials:
            dial.cancel()
