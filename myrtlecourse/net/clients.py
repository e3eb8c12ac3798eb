"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections import deque
from typing import TYPE_CHECKING, cast

from myrtlecourse.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, read_command
from myrtlecourse.net.connection import Exchange, has_unread_input
from myrtlecourse.net.hangup import has_hung_up
from myrtlecourse.net.host import FAILED_ANSWER, Host, busy_answer
from myrtlecourse.net.request_log import CloseReason, requests_log
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError, split_command
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.listener import Listener

MAX_COMMAND = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes held for a command that is not whole
UNRESERVED_COMMAND = 64 * 1024 + MAX_KEY + MAX_INFO + 4096  # bytes of a command that needs no room reserved
RESERVATION_TIMEOUT = 1.0  # seconds for which a long value may wait for room
MAX_PARTS = 16
MAX_PIPELINED = 32  # commands of one connection that wait for their answers
MAX_FAST_PATH = 4096  # bytes of what is read the short way
LINGER_TIME = 0.5  # seconds for which a closed connection is still read, so that its last answer arrives
MAX_DISCARDED = 256 * 1024  # bytes read in that time at the most: a bad client would send on at full speed
ERROR_PAUSE = 0.1  # seconds for which a connection is not read after an error
RECENT_READ = 0.05  # seconds after which a hang-up may lie in the socket though it is read: turns can be long
# offsets in tcp_info (Linux) of numbers of 32 bits
RTO_OFFSET = 8  # microseconds after which it sends again
LAST_DATA_OFFSET = 52  # milliseconds since data came
FIELD_SIZE = 4  # bytes
log = logging.getLogger(__name__)


def data_age(client: socket.socket) -> float | None:
    """Seconds since the last bytes came in on a connection, as its kernel tells (tcp_info, Linux).

    None when it does not tell: no connection is without a time-out, so that 0 is a field that was not filled.
    """
    try:
        info = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + FIELD_SIZE)
    except OSError:
        return None  # it has just ended
    if not any(info[RTO_OFFSET : RTO_OFFSET + FIELD_SIZE]):
        return None
    return int.from_bytes(info[LAST_DATA_OFFSET:], sys.byteorder) / 1000


class AnswerSlot:
    """A command's place in the order of answers."""

    __slots__ = (
        "answer",
        "arrived_at",
        "connection",
        "counted_in_windows",
        "chunks",
        "request_id",
        "reserved_bytes",
        "source",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.arrived_at = connection.listener.loop.time() - connection.socket_wait
        self.request_id: str | None = None
        self.answer: bytes | None = None
        self.source: Exchange | None = None  # of a long answer
        self.chunks: list[bytes] = []  # of it, that wait for the answers before it
        self.counted_in_windows = False  # whether it is counted among those that share the budget
        self.reserved_bytes = 0  # bytes of room that its command takes

    def send(self, answer: bytes) -> None:
        """Give the command its answer."""
        self.connection.complete(self, answer)

    def begin_stream(self, length: int, source: Exchange) -> None:
        """A long answer begins."""
        self.source = source
        self.counted_in_windows = True
        windows = self.connection.listener.windows
        windows.streams += 1
        self.connection.transport.set_write_buffer_limits(high=windows.size())
        self.write_chunk(b"$%d\r\n" % length)

    def write_chunk(self, data: bytes) -> None:
        """Pass on a piece of it, or hold it, and stop its source, until that can be done."""
        self.chunks.append(data)
        connection = self.connection
        if connection.slots and connection.slots[0] is self:
            connection.flush(self)
        if not connection.writable or self.chunks:
            self.pause_source()

    def pause_source(self) -> None:
        """Read no more of it until its client takes what there is."""
        if self.source is not None and not self.connection.transport.is_closing():
            self.source.pause()
            self.connection.listener.mark_stalled(self)

    def resume_source(self) -> None:
        if self.source is not None:
            self.connection.listener.stalled_answers.pop(self, None)
            self.source.resume()

    def end_stream(self) -> None:
        """The long answer is whole."""
        self.release()
        self.connection.complete(self, b"\r\n")

    def abort_stream(self) -> None:
        """It will not be whole: only a close tells, as the client counts what it was promised.

        Of one that waits behind others nothing has been passed on: an error tells, and the others stand.
        """
        self.release()
        connection = self.connection
        if connection.slots and connection.slots[0] is not self:
            self.chunks.clear()
            connection.complete(self, FAILED_ANSWER)
            return
        connection.close(CloseReason.INCOMPLETE_ANSWER)
        connection.cancel_requests()

    def client_connected(self) -> bool:
        """Whether the client still waits; asked just before an attempt begins."""
        connection = self.connection
        return connection.check_connected(connection.listener.loop.time() - self.arrived_at < RECENT_READ)

    def release(self) -> None:
        """Nothing more comes for it; gives back what it held. May be called again."""
        listener = self.connection.listener
        self.source = None
        listener.stalled_answers.pop(self, None)
        if self.counted_in_windows:
            self.counted_in_windows = False
            listener.windows.streams -= 1
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            listener.upload_memory.release(reserved)


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, host: Host, listener: Listener, client: socket.socket) -> None:
        self.host = host
        self.socket = client
        self.descriptor = client.fileno()
        self.listener = listener
        self.reader = Reader(MAX_PARTS, MAX_VALUE, MAX_COMMAND)
        self.slots: deque[AnswerSlot] = deque()
        self.command_count = 0  # whole ones that have come
        self.socket_wait = 0.0  # seconds for which the last bytes lay in the socket
        self.reading = True
        self.writable = True
        self.paused_after_error = False  # after an error
        self.ending = False  # no command is taken any more
        self.half_closed = False  # its sending side is shut down; what comes is read and discarded
        self.discarded_bytes = 0  # bytes
        self.client_left = False  # the client has hung up, or the connection is over
        self.reserved_bytes = 0  # bytes of room for a long value that comes in
        self.awaiting_reservation = False  # it waits for that room
        self.last_data_at = 0.0  # when the last bytes did (the loop's clock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.listener.connections[self] = None
        self.listener.update_state(self)

    def data_received(self, data: bytes) -> None:
        if self.half_closed:
            # never executed: nobody could be answered, and its client asks again elsewhere
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED:
                self.abort(CloseReason.UNEXPECTED_BYTES)
            return
        turns = self.host.loop_lag
        turns.note_input()
        self.last_data_at = self.listener.loop.time()
        # the first may have lain in the backlog, and any while the loop was held up
        if not self.command_count or turns.may_have_stalled():
            age = data_age(self.socket)
            self.socket_wait = turns.max_wait() if age is None else age
        else:
            self.socket_wait = turns.estimated_wait()
        self.listener.idle.pop(self, None)
        # a closing one takes nothing more: nobody would hear that its client is gone
        takes = self._may_process() and not self.transport.is_closing()
        if takes and not self.reader.buffer and len(data) < MAX_FAST_PATH:
            parts = split_command(data)
            if parts is not None:
                self.command_count += 1
                try:
                    self._process_command(parts)
                except Exception:
                    self._abort_on_fault()
                self._update_reading()
                self.listener.update_state(self)
                return
        self.reader.feed(data)
        self._process_buffer()

    def _process_buffer(self) -> None:
        try:
            # guards the cache servers: what a client left behind in the buffer nobody waits for
            if self.check_connected():
                self._process_whole_commands()
        except Exception:
            self._abort_on_fault()

    def _abort_on_fault(self) -> None:
        """Guards the router: a fault here ends this connection alone, and its requests are settled."""
        log.exception("connection of a client")
        self.abort(CloseReason.INTERNAL_ERROR)

    def _process_whole_commands(self) -> None:
        # a closing connection takes nothing more: nobody would hear that its client is gone
        while self._may_process() and not self.transport.is_closing():
            try:
                parts = self.reader.next_message()
            except RespError as e:
                self.end_with(f"-ERR {e}")
                return
            if parts is INCOMPLETE:
                self._reserve(self.reader.announced_size)
                break
            self.command_count += 1
            self._process_command(parts)
        self._update_reading()
        self.listener.update_state(self)

    def _reserve(self, announced: int) -> None:
        """Guards memory: a long value is read once there is room for it and for its copy going out."""
        if (
            announced <= UNRESERVED_COMMAND
            or self.reserved_bytes
            or self.awaiting_reservation
            or self.transport.is_closing()
        ):
            return
        size = 2 * announced
        if self.listener.upload_memory.reserve(self, size):
            self.reserved_bytes = size
            return
        self.awaiting_reservation = True
        asyncio.get_running_loop().call_later(RESERVATION_TIMEOUT, self._refuse_unreserved)

    def on_reserved(self) -> None:
        """There is room for the long value."""
        self.awaiting_reservation = False
        self.reserved_bytes = 2 * self.reader.announced_size
        self.last_data_at = asyncio.get_running_loop().time()  # it could not go on before
        self._update_reading()

    def _refuse_unreserved(self) -> None:
        """No room in time: what has not come whole is not taken, so that a refusal is harmless."""
        if self.awaiting_reservation and not self.transport.is_closing():
            self._release_reservation()
            self.end_with(busy_answer(self.host.settings.max_retry_after).decode().rstrip())

    def _release_reservation(self) -> None:
        if self.awaiting_reservation:
            self.awaiting_reservation = False
            self.listener.upload_memory.stop_waiting(self)
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            self.listener.upload_memory.release(reserved)

    def _process_command(self, parts: Message | list[bytes]) -> None:
        refusal = None
        if isinstance(parts, list) and 4 <= len(parts) <= 5 and isinstance(info := parts[3], bytes):
            refusal = self.host.refuse_early(info, self.socket_wait)
            # guards a full core: what a refusal costs is lost to the others, and most are asked for again
            if refusal is not None and not self.slots and self.reading and not self.ending:
                self._release_reservation()
                self.transport.write(refusal)
                if self.listener.closes_when_idle(self):
                    self.close(CloseReason.ENDING)
                return
        slot = AnswerSlot(self)
        slot.reserved_bytes, self.reserved_bytes = self.reserved_bytes, 0
        self.slots.append(slot)
        if refusal is not None:
            slot.send(refusal)
            return
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            slot.send(b"+PONG\r\n" if self.host.accepts_clients() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
            slot.request_id = command.request_id.decode()
            self.host.accept(command, slot, self.socket_wait)
        except CommandError as e:
            slot.request_id = None
            # guards the other clients: one that sends errors at full speed would take the core for itself
            self.paused_after_error = True
            self.listener.paused_after_error[self] = None
            asyncio.get_running_loop().call_later(ERROR_PAUSE, self._end_error_pause)
            slot.send(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _end_error_pause(self) -> None:
        self.paused_after_error = False
        self.listener.paused_after_error.pop(self, None)
        self._process_buffer()

    def complete(self, slot: AnswerSlot, answer: bytes) -> None:
        """Pass on what is at the head of the order of answers."""
        slot.answer = answer
        while self.slots:
            head = self.slots[0]
            if head.chunks:
                self.flush(head)
            if head.answer is None:
                break
            self.slots.popleft()
            head.release()
            if head.answer:
                self.transport.write(head.answer)
        if not self.slots:
            self.listener.update_state(self)
        elif self.writable:
            self.slots[0].resume_source()
        if not self.slots and (self.ending or self.listener.closes_when_idle(self)):
            self.close(CloseReason.AFTER_ERROR if self.ending else CloseReason.ENDING)
        elif not self.reading and not self.ending:
            self.listener.loop.call_soon(self._process_buffer)

    def flush(self, slot: AnswerSlot) -> None:
        """Pass on what has come of the long answer that is at the head."""
        pieces, slot.chunks = slot.chunks, []
        for piece in pieces:
            self.transport.write(piece)

    def end_with(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.ending = True
        # guards memory: what comes while earlier answers are owed would be kept for nobody
        self._update_reading()
        self.reader.buffer.clear()
        self._release_reservation()
        slot = AnswerSlot(self)
        self.slots.append(slot)
        self.complete(slot, error.encode("ascii", "replace") + b"\r\n")

    def abort(self, why: CloseReason) -> None:
        """Close at once."""
        requests_log.connection_closed("client", self.descriptor, why, len(self.slots))
        self.transport.abort()

    def close(self, why: CloseReason) -> None:
        """Lingering close: shut down the sending side, read and discard for a while, then close.

        Guards the last answer: a close over bytes that came unread resets the connection, and what the client
        has not taken yet is gone. May be called again.
        """
        if self.half_closed or self.client_left or self.transport.is_closing():
            return
        requests_log.connection_closed("client", self.descriptor, why, len(self.slots))
        self.ending = self.half_closed = True
        self.reader.buffer.clear()
        self._release_reservation()
        self.listener.linger(self)
        try:
            self.transport.write_eof()
        except OSError:  # its client has just reset it
            self.transport.abort()
            return
        self._update_reading()
        # guards the descriptors: a client that takes no answers, or rests, would keep its connection for good
        self.listener.loop.call_later(LINGER_TIME, self.transport.abort)

    def eof_received(self) -> None:
        """The client has hung up: nothing more begins for it. What is written goes out, for a while."""
        self.cancel_requests()
        if not self.half_closed:
            self.listener.loop.call_later(LINGER_TIME, self.transport.abort)

    def check_connected(self, fresh: bool = True) -> bool:
        """Whether the client has not hung up; the kernel is asked while unread, and once time has passed.

        The event loop tells of an end at its next look only.
        """
        if not self.client_left and not (fresh and self.reading) and has_hung_up(self.descriptor):
            self.on_hang_up()
        return not self.client_left

    def on_hang_up(self) -> None:
        """The client has hung up, behind what lies unread."""
        self.cancel_requests()
        self.abort(CloseReason.CLIENT_LEFT)

    def cancel_requests(self) -> None:
        """No answer reaches the client any more: its requests end, and nothing more is sent for them."""
        self.client_left = True
        self._release_reservation()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.release()
            if slot.answer is None and slot.request_id is not None:
                self.host.client_gone(slot.request_id)

    def _may_process(self) -> bool:
        held_up = self.ending or self.paused_after_error or self.awaiting_reservation or not self.writable
        return not held_up and len(self.slots) < MAX_PIPELINED

    def _update_reading(self) -> None:
        """Bounds what a client can make the router hold: no reading while too much is unanswered."""
        wanted = self.half_closed or self._may_process()
        if wanted != self.reading and not self.transport.is_closing():
            self.reading = wanted
            if wanted:
                self.listener.hang_up_monitor.remove(self)
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()
                self.listener.hang_up_monitor.add(self)

    def pause_writing(self) -> None:
        self.writable = False
        self._update_reading()
        if self.slots:
            self.slots[0].pause_source()

    def resume_writing(self) -> None:
        self.writable = True
        if self.slots:
            self.slots[0].resume_source()
        self._process_buffer()

    def has_unread_input(self) -> bool:
        """Whether a command may wait in the socket."""
        return has_unread_input(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.hang_up_monitor.remove(self)
        self.listener.remove(self)
        self.cancel_requests()
