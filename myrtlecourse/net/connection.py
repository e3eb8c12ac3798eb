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
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import CloseReason, requests_log
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.pool import Pool

ANSWER_TIMEOUT = 0.1  # seconds for the rest of an answer once it has begun: it is sent in one go
STREAM_START_TIMEOUT = (
    0.3  # seconds without a byte of a long answer of which nothing has been passed on: another may do
)
STREAM_STALL_TIMEOUT = 3.0  # the same once its client has the first bytes, and only a cut could end it
READ_SIZE = 64 * 1024  # bytes read at once: what a client that takes none makes a long answer hold
MIN_STREAM_START = 16 * 1024  # bytes of a long answer that must have come before any is passed on
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)

Answer = tuple[Status, bytes]


class MalformedAnswer(Exception):
    """Bytes that are no answer; what they answer may have run."""


def has_unread_input(transport: Transport) -> bool:
    """Whether bytes or an end wait on a socket that the event loop has not looked at yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class AnswerReceiver(Protocol):
    """Whom an attempt is for; takes a long answer piece by piece, in place of its value at the end."""

    def may_start(self) -> bool:
        """Whether the request may still be written, asked where that comes later than the decision."""

    def time_left(self) -> float:
        """Seconds for which its router will wait from now on."""

    def write_time_left(self) -> float:
        """Seconds from now within which its last byte has to be written; a later one never runs."""

    def begin_stream(self, length: int, source: Exchange) -> bool:
        """A value of so many bytes begins; False when it is not wanted any more."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of it."""


class Exchange:
    """One attempt: it ends once, by `done` or by being abandoned."""

    __slots__ = ("command", "connection", "on_finished", "open", "receiver", "time_left")

    def __init__(
        self,
        command: Command,
        time_left: float,
        done: Callable[[Status, bytes], None],
        receiver: AnswerReceiver | None = None,
    ) -> None:
        self.command = command
        self.time_left = time_left
        self.on_finished = done
        self.receiver = receiver
        self.open = True
        self.connection: Connection | None = None

    def check_still_wanted(self) -> bool:
        """Whether it is still wanted, now that there is a connection for it; if not, it is over.

        Guards the rules on what is sent late: its client may have hung up meanwhile, its server begun to
        drain, or the time in which the server drops its repeat have run out.
        """
        if self.open and self.receiver is not None and not self.receiver.may_start():
            self.finish(Status.MOOT)
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
            self.on_finished(status, value)

    def abandon(self) -> None:
        """Stop waiting. Closing tells the server to stop work, and an answer can't meet a later request.

        A dial goes on: the server has paid for it, and the next attempt finds the connection up.
        """
        if not self.open:
            return
        self.open = False
        if self.connection is not None:
            self.connection.drop(CloseReason.ABANDONED)


# all connections read into one place: what came is taken out before the next one reads
read_buffer = memoryview(bytearray(READ_SIZE))


class Connection(asyncio.BufferedProtocol):
    """A connection to one address."""

    def __init__(self, pool: Pool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.exchange: Exchange | None = None
        self.written = False  # whether the request's last byte is
        self.server_process: object = None  # that it was made to: another may come to its address
        self.first_exchange: Exchange | None = None
        self.connected = False
        self.answer_timer: asyncio.TimerHandle | None = None  # of an answer begun
        self.idle_since = 0.0
        self.stream_length = 0  # of a long value that has begun; its decoder sets it and fills `pieces`
        self.chunks: list[bytes] = []
        self.streaming = False  # whether the client has had the first of them
        self.progressed = False  # whether any of it has come since the expiry was looked at
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
        self.connected = True
        self.pool.connections.add(self)
        self.pool.dial_ended(self.address)
        self.input_poll = select.poll()
        self.input_poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        # here, and not once the dial returns: one cancelled in between would leave a connection that nobody
        # knows, and with enough of those the budget is gone
        exchange, self.first_exchange = self.first_exchange, None
        if exchange is None or not exchange.check_still_wanted():
            self.pool.release(self)
        elif not self.start_exchange(exchange):
            exchange.finish(Status.CONNECT_FAILED)

    def start_exchange(self, exchange: Exchange) -> bool:
        """Write a request, unless bytes lie there that nobody asked for: then nothing of it is sent.

        The look comes last before the write. What came since the event loop's own would be taken for this
        request's answer, and a close that came since would lose the request.
        """
        try:
            data = self.encode(exchange.command, exchange.time_left)
        except Exception:
            # guards the router: what can't be sent costs its connection, and the attempt ends at once
            log.exception("request to %s", self.address)
            self.drop(CloseReason.INTERNAL_ERROR)
            exchange.finish(Status.CONNECT_FAILED)
            return True
        if self.transport.is_closing() or self.input_poll.poll(0):
            self.drop(CloseReason.PEER_CLOSED)
            return False
        exchange.connection = self
        self.exchange = exchange
        self.written = False
        self.transport.write(data)
        # guards against a second effect: `write` returns also when bytes are kept back or the write failed
        self.written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if not self.written and exchange.receiver is not None:
            self._limit_write_time(exchange, exchange.receiver.write_time_left())
        return True

    def _limit_write_time(self, exchange: Exchange, latest: float) -> None:
        """Guards against a second effect: a repeat whose last byte comes too late is not dropped any more."""
        if latest < math.inf:
            asyncio.get_running_loop().call_later(max(0.0, latest), self._drop_late_write, exchange)

    def _drop_late_write(self, exchange: Exchange) -> None:
        receiver = exchange.receiver
        if (
            self.exchange is exchange
            and not self.written
            and receiver is not None
            and not receiver.may_start()
        ):
            self.drop(CloseReason.NOT_WRITTEN)

    def resume_writing(self) -> None:
        self.written = True

    def get_buffer(self, sizehint: int) -> memoryview:
        # guards memory: what is read of a long answer is held until its client takes it
        return read_buffer[: self.pool.windows.size()] if self.stream_length else read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(read_buffer[:nbytes]))

    def pause(self) -> None:
        """Leave the rest of a long answer where it is; the server's own connection slows it down."""
        if not self.paused and not self.transport.is_closing():
            self.paused = True
            self.cancel_answer_timer()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
            if self.exchange is not None:
                self._arm_answer_timer(self.exchange)

    def _forward_chunks(self, exchange: Exchange) -> bool:
        """Hand on what has come of a long value; False when that is the end of it.

        Nothing before a good part is there: a length that lies would cost the client's connection, and what
        has not begun can still be asked of another server.
        """
        receiver = exchange.receiver
        if not self.streaming:
            if sum(map(len, self.chunks)) < MIN_STREAM_START:
                return True
            if receiver is None:
                raise MalformedAnswer(f"value of {self.stream_length} bytes")
            self.streaming = receiver.begin_stream(self.stream_length, exchange)
            if not self.streaming:
                exchange.abandon()
        pieces, self.chunks = self.chunks, []
        for piece in pieces:
            if receiver is not None and exchange.open:
                receiver.write_chunk(piece)
        return exchange.open

    def _arm_answer_timer(self, exchange: Exchange) -> None:
        """Guards the request: an answer said to be longer than it is never ends."""
        self.progressed = True
        if self.answer_timer is None and not self.paused:
            pause = (
                STREAM_STALL_TIMEOUT
                if self.streaming
                else STREAM_START_TIMEOUT
                if self.stream_length
                else ANSWER_TIMEOUT
            )
            self.answer_timer = asyncio.get_running_loop().call_later(
                pause, self._on_answer_timeout, exchange
            )

    def _on_answer_timeout(self, exchange: Exchange) -> None:
        self.answer_timer = None
        if self.stream_length and self.progressed:
            self._arm_answer_timer(exchange)
            self.progressed = False
        else:
            self._reject_answer(exchange, MalformedAnswer("begun and not ended"))

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:  # bytes that nobody asked for: the next answer could not be told from them
            self.drop(CloseReason.UNEXPECTED_BYTES)
            return
        try:
            answer = self.decode(data)
            if self.stream_length and not self._forward_chunks(exchange):
                return
        except Exception as e:
            # guards the router: whatever a server sends costs its connection and no more
            self._reject_answer(exchange, e)
            return
        if answer is None:
            self._arm_answer_timer(exchange)
        else:
            self.resume()
            self.cancel_answer_timer()
            self.exchange = None
            self.stream_length = 0
            self.streaming = False
            if self.written and self.reusable() and not self.transport.is_closing():
                self.pool.release(self)
            else:
                self.drop(CloseReason.UNUSABLE_ANSWER)
            exchange.finish(*answer)

    def _reject_answer(self, exchange: Exchange, fault: Exception) -> None:
        """An answer that can't be used: the request may have run, and what follows belongs to nobody."""
        level = logging.WARNING if isinstance(fault, MalformedAnswer) else logging.ERROR
        rate_limited_log.log(level, "answer of %s: %.200r", self.address, fault)
        self.exchange = None
        self.drop(CloseReason.UNUSABLE_ANSWER)
        exchange.finish(Status.ERROR)

    def cancel_answer_timer(self) -> None:
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None

    def eof_received(self) -> None:
        """The server closes in good order, which ends an answer that gives no length; a reset does not."""
        exchange = self.exchange
        if exchange is None or not self.written:
            return
        try:
            answer = self.decode_end()
        except Exception as e:
            self._reject_answer(exchange, e)
            return
        if answer is not None:
            self.exchange = None
            self.drop(CloseReason.PEER_CLOSED)
            exchange.finish(*answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.remove(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            requests_log.connection_closed("server", self.address, CloseReason.PEER_CLOSED, 1)
            exchange.finish(Status.RESET if self.written else Status.CONNECT_FAILED)

    def drop(self, why: CloseReason) -> None:
        """Close at once, without sending what is still held back."""
        requests_log.connection_closed("server", self.address, why, int(self.exchange is not None))
        self.pool.remove(self)
        self.transport.abort()
