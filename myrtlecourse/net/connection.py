"""A connection to a server, which carries one attempt at a time, and the outcome of each attempt."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import select
import time
from abc import abstractmethod
from typing import TYPE_CHECKING, ClassVar, cast

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import CloseReason, requests_log
from myrtlecourse.net.reuse_delay import MIN_REUSE_DELAY
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.pool import Pool

# Seconds without data after which an answer that has begun counts as stalled, so that the decision module may
# start another attempt. The deadline of its request ends it: its server may just be slow to give it.
ANSWER_TIMEOUT = 0.1
STREAM_START_TIMEOUT = 0.3  # the same for a long answer, of which nothing is being forwarded yet
# seconds without data after which a long answer is given up that is being forwarded to the client
STREAM_STALL_TIMEOUT = 3.0
MAX_HOLD_TIME = 1.5  # seconds for which bytes of a long answer are held back at most
READ_SIZE = 64 * 1024  # bytes read at once, which are kept while a client does not read its long answer
MIN_STREAM_START = 16 * 1024  # bytes of a long answer that must have arrived before any is forwarded
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)
# what a server can only answer to a whole request; sooner, it is the answer to another one
NEEDS_WHOLE_REQUEST = (Status.OK, Status.MISS)
connection_numbers = itertools.count(1)  # tell the connections of this process apart in the request log

Answer = tuple[Status, bytes]


class MalformedAnswer(Exception):
    """Bytes that are no valid answer; the request may have been executed."""


def has_unread_input(transport: Transport) -> bool:
    """Return whether a socket holds bytes, or the end of the connection, that have not been read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


# The buffer is shared by all connections: what one has read is copied out before the next one reads.
read_buffer = memoryview(bytearray(READ_SIZE))


class Connection(asyncio.BufferedProtocol):
    """A connection to the server at one address."""

    # Seconds that an exchange waits for a connection that may be reused soon. The wait counts as silence of
    # the server: with a server that answers in milliseconds, a longer one looks like a lost attempt.
    max_reuse_wait: ClassVar[float] = 0.002
    # seconds for which a connection stays unused after an answer while there are descriptors for others
    usual_reuse_delay: ClassVar[float] = MIN_REUSE_DELAY

    def __init__(self, pool: Pool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.number = next(connection_numbers)
        self.requests_written = 0
        self.exchange: Exchange | None = None
        self.written = False  # whether the last byte of the request has been written
        self.server_process: object = None  # the process connected to; another one may take over the address
        self.first_exchange: Exchange | None = None  # the one for which the connection was dialled
        self.connected = False
        self.dial_given_up = False  # its transport is closed as soon as there is one
        self.answer_timer: asyncio.TimerHandle | None = None  # limits the silence of an answer that has begun
        self.hold_timer: asyncio.TimerHandle | None = None  # limits how long a long answer is held back
        self.idle_since = time.monotonic()  # when it was made, or its last answer was complete
        # length of the long value that is being received, or 0; `decode` sets it and appends to `chunks`
        self.stream_length = 0
        self.chunks: list[bytes] = []
        self.streaming = False  # whether chunks have been forwarded to the client
        self.progressed = False  # whether data has arrived since the answer timer was last checked
        self.reserved_bytes = 0  # memory for an answer that has begun to arrive, and is not passed on yet
        self.awaited_bytes = 0  # the memory that it waits for, unread
        self.paused = False

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """Encode a request."""

    @abstractmethod
    def decode(self, data: bytes) -> Answer | None:
        """Decode bytes of the answer; return None until it is complete.

        A value too long to be buffered sets `stream_length` and is appended to `chunks`; its answer is then
        empty.

        Raises:
            MalformedAnswer: the bytes are no valid answer.
        """

    @abstractmethod
    def incomplete_size(self) -> int:
        """Return the bytes that a short answer will take once it is complete, as far as is known."""

    def decode_end(self) -> Answer | None:
        """Handle that the server has stopped sending; return the answer if that completes it, else None."""
        return None

    @abstractmethod
    def reusable(self) -> bool:
        """Return whether the connection may carry another request: no bytes are left after the answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        if self.dial_given_up:
            self.transport.abort()
            return
        # With a limit of 0, `resume_writing` is called when the last byte has been passed to the kernel.
        self.transport.set_write_buffer_limits(high=0)
        self.connected = True
        self.pool.connections.add(self)
        self.pool.dial_ended(self.address)
        self.input_poll = select.poll()
        self.input_poll.register(
            self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP
        )
        # The exchange starts here, and not after the dial returns: a dial cancelled in between would leave a
        # connection without an owner, and enough of those would exhaust the budget.
        exchange, self.first_exchange = self.first_exchange, None
        if exchange is None or not exchange.check_still_wanted():
            self.pool.release(self)
        elif not self.start_exchange(exchange):
            exchange.finish(Status.CONNECT_FAILED)

    def start_exchange(self, exchange: Exchange) -> bool:
        """Write a request; return False and send nothing if the connection has unexpected input.

        The socket is polled immediately before the write. Bytes that arrived since the event loop last polled
        it would be taken for this request's answer, and a close that arrived since would lose the request.
        """
        try:
            data = self.encode(exchange.command, exchange.time_left)
        except Exception:
            # A request that can't be encoded must only end its own connection and attempt.
            log.exception("could not encode a request to %s", self.address)
            self.drop(CloseReason.INTERNAL_ERROR)
            exchange.finish(Status.CONNECT_FAILED)
            return True
        if self.transport.is_closing():
            self.drop(CloseReason.PEER_CLOSED)
            return False
        if pending := self.input_poll.poll(0):
            if pending[0][1] & PEER_CLOSED_EVENTS:
                self.drop(CloseReason.PEER_CLOSED)
            else:
                self._drop_unexpected_bytes()
            return False
        self.requests_written += 1
        if requests_log.enabled:
            self._log_written(exchange.command)
        exchange.connection = self
        self.exchange = exchange
        self.written = False
        try:
            self.transport.write(data)
        except Exception:
            # It may end this attempt, but not the client's connection in whose callback it was started.
            log.exception("could not write a request to %s", self.address)
            self.exchange = None
            self.drop(CloseReason.INTERNAL_ERROR)
            exchange.finish(Status.RESET)
            return True
        # `write` also returns if bytes were buffered or the write failed. Only a request of which the last
        # byte has been written may have been executed, and must not be sent again as if it had not been.
        self.written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if not self.written and exchange.receiver is not None:
            self._limit_write_time(exchange, exchange.receiver.send_time_left())
        return True

    def _log_written(self, command: Command) -> None:
        requests_log.event(
            command.request_id.decode(),
            "written",
            at=self.address,
            connection=self.number,
            use=self.requests_written,
            idle=time.monotonic() - self.idle_since,
        )

    def _limit_write_time(self, exchange: Exchange, seconds: float) -> None:
        """Limit the time for writing a request: one that ends too late is no longer recognised as a
        repeat."""
        if seconds < math.inf:
            asyncio.get_running_loop().call_later(max(0.0, seconds), self._drop_late_write, exchange)

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
        # The size bounds memory: what has been read of a long answer is kept until its client reads it.
        windows = self.pool.windows
        if self.stream_length:
            return read_buffer[: windows.size()]
        return read_buffer if self.reserved_bytes else read_buffer[: windows.first_read()]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(read_buffer[:nbytes]))

    def pause(self) -> None:
        """Stop reading a long answer; TCP flow control slows the server down."""
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

    def _reserve_memory(self) -> None:
        """Reserve memory for the rest of an answer that is not passed on yet; it is not read until then."""
        size = MIN_STREAM_START if self.stream_length else self.incomplete_size()
        if self.streaming or self.awaited_bytes or self.reserved_bytes >= size:
            return
        self._release_memory()
        if self.pool.windows.incomplete.reserve(self, size):
            self.reserved_bytes = size
            return
        self.awaited_bytes = size
        self.pause()
        rate_limited_log.log(logging.INFO, "an answer of %d bytes waits for memory", size)

    def on_reserved(self) -> None:
        """Continue to read the answer, for which memory has been reserved."""
        self.reserved_bytes, self.awaited_bytes = self.awaited_bytes, 0
        self.resume()

    def _release_memory(self) -> None:
        """Release the memory of an answer that is complete, passed on or given up. May be called again."""
        incomplete = self.pool.windows.incomplete
        if self.awaited_bytes:
            self.awaited_bytes = 0
            incomplete.stop_waiting(self)
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            incomplete.release(reserved)

    def _forward_chunks(self, exchange: Exchange) -> bool:
        """Forward the received chunks of a long value; return False if it is no longer wanted.

        Nothing is forwarded before `MIN_STREAM_START` bytes have arrived: a wrong length would cost the
        client's connection, and until then another server may be asked. Bytes that come slowly are held back
        for a limited time.
        """
        if not self.streaming:
            if sum(map(len, self.chunks)) < MIN_STREAM_START:
                if any(self.chunks) and self.hold_timer is None:
                    loop = asyncio.get_running_loop()
                    self.hold_timer = loop.call_later(MAX_HOLD_TIME, self._end_hold, exchange)
                return True
            self._begin_stream(exchange)
        receiver = exchange.receiver
        chunks, self.chunks = self.chunks, []
        for chunk in chunks:
            if receiver is not None and exchange.open:
                receiver.write_chunk(chunk)
        return exchange.open

    def _begin_stream(self, exchange: Exchange) -> None:
        self._cancel_hold_timer()
        self.cancel_answer_timer()  # a limit of another length holds from now on
        if exchange.receiver is None:
            raise MalformedAnswer(f"value of {self.stream_length} bytes can't be streamed here")
        if self.awaited_bytes:  # the deadline has come before the memory
            self._release_memory()
            self.resume()
        self.streaming = exchange.receiver.begin_stream(self.stream_length, exchange)
        self._release_memory()
        if not self.streaming:
            exchange.abandon()

    def _end_hold(self, exchange: Exchange) -> None:
        self.hold_timer = None
        if self.exchange is exchange and not self.streaming:
            self.forward_held(exchange)

    def forward_held(self, exchange: Exchange) -> None:
        """Begin to forward the long value that is being received, however little of it has arrived."""
        self._begin_stream(exchange)
        if self._forward_chunks(exchange):
            self._arm_answer_timer(exchange)

    def _arm_answer_timer(self, exchange: Exchange) -> None:
        """Limit the silence of an answer: one announced as longer than it is would never end."""
        self.progressed = True
        if self.answer_timer is None and not self.paused:
            timeout = (
                STREAM_STALL_TIMEOUT
                if self.streaming
                else STREAM_START_TIMEOUT
                if self.stream_length
                else ANSWER_TIMEOUT
            )
            self.answer_timer = asyncio.get_running_loop().call_later(
                timeout, self._on_answer_timeout, exchange
            )

    def _on_answer_timeout(self, exchange: Exchange) -> None:
        self.answer_timer = None
        if self.progressed:
            self._arm_answer_timer(exchange)
            self.progressed = False
            return
        receiver = exchange.receiver
        if not self.streaming and receiver is not None:
            receiver.on_answer_stalled(replaceable=not self.stream_length)
        else:
            self._reject_answer(exchange, MalformedAnswer("incomplete when its time limit was reached"))

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            self._drop_unexpected_bytes()
            return
        try:
            answer = self.decode(data)
            if self.stream_length and self._is_partly_written():
                raise MalformedAnswer("it came before the end of its request")
            if self.stream_length and not self._forward_chunks(exchange):
                return
        except Exception as e:
            # Whatever a server sends must only end its own connection.
            self._reject_answer(exchange, e)
            return
        if answer is None:
            self._arm_answer_timer(exchange)
            self._reserve_memory()
        else:
            self._release_memory()
            if answer[0] in NEEDS_WHOLE_REQUEST and self._is_partly_written():
                answer = (Status.CONNECT_FAILED, b"")
            self.resume()
            self.cancel_answer_timer()
            self._cancel_hold_timer()
            self.exchange = None
            self.stream_length = 0
            self.streaming = False
            if self.written and self.reusable() and not self.transport.is_closing():
                self.pool.release(self)
            else:
                self.drop(CloseReason.UNUSABLE_ANSWER)
            exchange.finish(*answer)

    def _is_partly_written(self) -> bool:
        """Return whether bytes of the request have not been written: no server has begun it then."""
        return not self.written and self.transport.get_write_buffer_size() > 0

    def _drop_unexpected_bytes(self) -> None:
        """Close an idle connection on which bytes arrived: they would be taken for the next answer."""
        if self.requests_written:
            now = time.monotonic()
            self.pool.reuse_delay.observe_unexpected_bytes(now, now - self.idle_since)
        self.drop(CloseReason.UNEXPECTED_BYTES)

    def _reject_answer(self, exchange: Exchange, error: Exception) -> None:
        """Finish the exchange with an error after a bad answer, and close the connection.

        The request may have been executed, and bytes that follow could not be attributed to a request.
        """
        level = logging.WARNING if isinstance(error, MalformedAnswer) else logging.ERROR
        rate_limited_log.log(level, "unusable answer from %s: %.200r", self.address, error)
        self.exchange = None
        self.drop(CloseReason.UNUSABLE_ANSWER)
        exchange.finish(Status.ERROR)

    def _cancel_hold_timer(self) -> None:
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def cancel_timers(self) -> None:
        """Cancel the time limits of an answer."""
        self.cancel_answer_timer()
        self._cancel_hold_timer()

    def release_answer(self) -> None:
        """Free what an answer takes, as the connection ends."""
        self.cancel_timers()
        self._release_memory()

    def cancel_answer_timer(self) -> None:
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None

    def eof_received(self) -> None:
        """Handle an orderly close by the server, which ends an answer without a length; a reset does not."""
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
            self._log_closed(CloseReason.PEER_CLOSED, 1)
            exchange.finish(Status.RESET if self.written else Status.CONNECT_FAILED)

    def drop(self, reason: CloseReason) -> None:
        """Close the connection at once, without sending buffered bytes."""
        self._log_closed(reason, int(self.exchange is not None))
        self.pool.remove(self)
        self.transport.abort()

    def _log_closed(self, reason: CloseReason, open_answers: int) -> None:
        if requests_log.enabled:
            requests_log.connection_closed(
                "server",
                self.address,
                reason,
                open_answers,
                connection=self.number,
                use=self.requests_written,
                idle=time.monotonic() - self.idle_since,
            )
