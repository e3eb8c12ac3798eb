"""One connection that carries one attempt at a time, and what became of each attempt."""

from __future__ import annotations

import asyncio
import logging
import math
import select
from abc import abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.logs import BoundedLog
from myrtlecourse.net.request_log import Close, requests_log
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.pool import Pool

ANSWER_TIME = 0.1  # seconds for the rest of an answer once it has begun: it is sent in one go
FIRST_TIME = (
    0.3  # seconds without a byte of a long answer of which nothing has been passed on: another may do
)
PASSING_TIME = 3.0  # the same once its client has the first bytes, and only a cut could end it
CHUNK = 64 * 1024  # bytes read at once: what a client that takes none makes a long answer hold
HELD_BACK = 16 * 1024  # bytes of a long answer that must have come before any is passed on
log = logging.getLogger(__name__)
bounded = BoundedLog(log)

Answer = tuple[Status, bytes]


class MalformedAnswer(Exception):
    """Bytes that are no answer; what they answer may have run."""


def readable(transport: Transport) -> bool:
    """Whether bytes or an end wait on a socket that the event loop has not looked at yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Receiver(Protocol):
    """Whom an attempt is for; takes a long answer piece by piece, in place of its value at the end."""

    def may_begin(self) -> bool:
        """Whether the request may still be written, asked where that comes later than the decision."""

    def time_left(self) -> float:
        """Seconds for which its router will wait from now on."""

    def latest(self) -> float:
        """Seconds from now within which its last byte has to be written; a later one never runs."""

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

    def may_begin(self) -> bool:
        """Whether it is still wanted, now that there is a connection for it; if not, it is over.

        Guards the rules on what is sent late: its client may have hung up meanwhile, its server begun to
        drain, or the time in which the server drops its repeat have run out.
        """
        if self.open and self.receiver is not None and not self.receiver.may_begin():
            self.finish(Status.NOT_SENT)
        if self.open and self.receiver is not None:
            self.time_left = self.receiver.time_left()
        return self.open

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
            self.connection.drop(Close.ABANDONED)


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

    def decode_end(self) -> Answer | None:
        """Take the end of what the server sends; None unless it is the end of a whole answer."""
        return None

    @abstractmethod
    def reusable(self) -> bool:
        """Whether nothing is left over after an answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        # so that `resume_writing` comes just when the last byte has gone to the kernel
        self.transport.set_write_buffer_limits(high=0)
        self.made = True
        self.pool.connections.add(self)
        self.pool.dialled(self.address)
        self.poll = select.poll()
        self.poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        # here, and not once the dial returns: one cancelled in between would leave a connection that nobody
        # knows, and with enough of those the budget is gone
        exchange, self.dialled_for = self.dialled_for, None
        if exchange is None or not exchange.may_begin():
            self.pool.keep(self)
        elif not self.begin(exchange):
            exchange.finish(Status.CONNECT_FAILED)

    def begin(self, exchange: Exchange) -> bool:
        """Write a request, unless bytes lie there that nobody asked for: then nothing of it is sent.

        The look comes last before the write. What came since the event loop's own would be taken for this
        request's answer, and a close that came since would lose the request.
        """
        try:
            data = self.encode(exchange.command, exchange.time_left)
        except Exception:
            # guards the router: what can't be sent costs its connection, and the attempt ends at once
            log.exception("request to %s", self.address)
            self.drop(Close.FAULT)
            exchange.finish(Status.CONNECT_FAILED)
            return True
        if self.transport.is_closing() or self.poll.poll(0):
            self.drop(Close.PEER_CLOSED)
            return False
        exchange.connection = self
        self.exchange = exchange
        self.written = False
        self.transport.write(data)
        # guards against a second effect: `write` returns also when bytes are kept back or the write failed
        self.written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if not self.written and exchange.receiver is not None:
            self._write_in_time(exchange, exchange.receiver.latest())
        return True

    def _write_in_time(self, exchange: Exchange, latest: float) -> None:
        """Guards against a second effect: a repeat whose last byte comes too late is not dropped any more."""
        if latest < math.inf:
            asyncio.get_running_loop().call_later(max(0.0, latest), self._cut_off, exchange)

    def _cut_off(self, exchange: Exchange) -> None:
        receiver = exchange.receiver
        if (
            self.exchange is exchange
            and not self.written
            and receiver is not None
            and not receiver.may_begin()
        ):
            self.drop(Close.NOT_WRITTEN)

    def resume_writing(self) -> None:
        self.written = True

    def get_buffer(self, sizehint: int) -> memoryview:
        # guards memory: what is read of a long answer is held until its client takes it
        return arrivals[: self.pool.windows.size()] if self.length else arrivals

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
            pause = PASSING_TIME if self.passing else FIRST_TIME if self.length else ANSWER_TIME
            self.expiry = asyncio.get_running_loop().call_later(pause, self._expire, exchange)

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
            self.drop(Close.UNWANTED_BYTES)
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
                self.drop(Close.SPOILT)
            exchange.finish(*answer)

    def _spoilt(self, exchange: Exchange, fault: Exception) -> None:
        """An answer that can't be used: the request may have run, and what follows belongs to nobody."""
        level = logging.WARNING if isinstance(fault, MalformedAnswer) else logging.ERROR
        bounded.log(level, "answer of %s: %.200r", self.address, fault)
        self.exchange = None
        self.drop(Close.SPOILT)
        exchange.finish(Status.ERROR)

    def stop_expiry(self) -> None:
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None

    def eof_received(self) -> None:
        """The server closes in good order, which ends an answer that gives no length; a reset does not."""
        exchange = self.exchange
        if exchange is None or not self.written:
            return
        try:
            answer = self.decode_end()
        except Exception as e:
            self._spoilt(exchange, e)
            return
        if answer is not None:
            self.exchange = None
            self.drop(Close.PEER_CLOSED)
            exchange.finish(*answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            requests_log.closed("server", self.address, Close.PEER_CLOSED, 1)
            exchange.finish(Status.RESET if self.written else Status.CONNECT_FAILED)

    def drop(self, why: Close) -> None:
        """Close at once, without sending what is still held back."""
        requests_log.closed("server", self.address, why, int(self.exchange is not None))
        self.pool.forget(self)
        self.transport.abort()
