"""Kept connections that carry one attempt at a time, and what became of each attempt."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import time
from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol, cast

from brackenwalk.interface import Status
from brackenwalk.net.command import Command
from brackenwalk.net.logs import BoundedLog
from brackenwalk.net.transport import Transport

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
ANSWER_TIME = 0.1  # seconds for the rest of an answer once it has begun: it is sent in one go
CHUNK = 64 * 1024  # bytes read at once: what a client that takes none makes a long answer hold
HELD_BACK = 64 * 1024  # bytes of a long answer that must have come before any is passed on
MAX_PASSED = 1024 * 1024  # bytes of a long answer, unless the configuration tells
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


class Receiver(Protocol):
    """Takes a long answer piece by piece, in place of its value at the end."""

    def begin(self, length: int, source: Exchange) -> bool:
        """A value of so many bytes begins; False when it is not wanted any more."""

    def piece(self, data: bytes) -> None:
        """The next bytes of it."""


class Exchange:
    """One attempt: it ends once, by `done` or by being abandoned."""

    __slots__ = ("command", "connection", "done", "open", "receiver", "time_left")

    def __init__(
        self,
        command: Command,
        time_left: float,
        done: Callable[[Status, bytes], None],
        receiver: Receiver | None = None,
    ) -> None:
        self.command = command
        self.time_left = time_left
        self.done = done
        self.receiver = receiver
        self.open = True
        self.connection: Connection | None = None

    def pause(self) -> None:
        """Read no more of the answer for now: nobody takes it."""
        if self.open and self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self.open and self.connection is not None:
            self.connection.resume()

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


# all connections read into one place: what came is taken out before the next one reads
arrivals = memoryview(bytearray(CHUNK))


class Connection(asyncio.BufferedProtocol):
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
        self.length = 0  # of a long value that has begun; its decoder sets it and fills `pieces`
        self.pieces: list[bytes] = []
        self.passing = False  # whether the client has had the first of them
        self.moved = False  # whether any of it has come since the expiry was looked at
        self.paused = False

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """A request's bytes."""

    @abstractmethod
    def decode(self, data: bytes) -> Answer | None:
        """Take bytes of the answer; None until it is whole.

        A value longer than is gathered sets `length` and comes in `pieces`; its answer is then empty.
        """

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

    def get_buffer(self, sizehint: int) -> memoryview:
        return arrivals

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(arrivals[:nbytes]))

    def pause(self) -> None:
        """Leave the rest of a long answer where it is; the server's own connection slows it down."""
        if not self.paused and not self.transport.is_closing():
            self.paused = True
            self.stop_expiry()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
            if self.exchange is not None:
                self._expect_more(self.exchange)

    def _pass_on(self, exchange: Exchange) -> bool:
        """Hand on what has come of a long value; False when that is the end of it.

        Nothing before a good part is there: a length that lies would cost the client's connection, and what
        has not begun can still be asked of another server.
        """
        receiver = exchange.receiver
        if not self.passing:
            if sum(map(len, self.pieces)) < HELD_BACK:
                return True
            if receiver is None:
                raise MalformedAnswer(f"value of {self.length} bytes")
            self.passing = receiver.begin(self.length, exchange)
            if not self.passing:
                exchange.abandon()
        pieces, self.pieces = self.pieces, []
        for piece in pieces:
            if receiver is not None and exchange.open:
                receiver.piece(piece)
        return exchange.open

    def _expect_more(self, exchange: Exchange) -> None:
        """Guards the request: an answer said to be longer than it is never ends."""
        self.moved = True
        if self.expiry is None and not self.paused:
            self.expiry = asyncio.get_running_loop().call_later(ANSWER_TIME, self._expire, exchange)

    def _expire(self, exchange: Exchange) -> None:
        self.expiry = None
        if self.length and self.moved:
            self._expect_more(exchange)
            self.moved = False
        else:
            self._spoilt(exchange, MalformedAnswer("begun and not ended"))

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:  # bytes that nobody asked for: the next answer could not be told from them
            self.drop()
            return
        try:
            answer = self.decode(data)
            if self.length and not self._pass_on(exchange):
                return
        except Exception as e:
            # guards the router: whatever a server sends costs its connection and no more
            self._spoilt(exchange, e)
            return
        if answer is None:
            self._expect_more(exchange)
        else:
            self.resume()
            self.stop_expiry()
            self.exchange = None
            self.length = 0
            self.passing = False
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
        self,
        make: Callable[[Pool, str], Connection],
        budget: int,
        dial_timeout: float,
        idle: float,
        max_passed: int = MAX_PASSED,
    ) -> None:
        self.make = make
        self.max_passed = max_passed  # bytes of a long answer
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
        receiver: Receiver | None = None,
    ) -> Exchange:
        """Start an attempt on the process that is at an address now.

        A long answer goes to the receiver; without one it is spoilt.
        """
        exchange = Exchange(command, time_left, done, receiver)
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
