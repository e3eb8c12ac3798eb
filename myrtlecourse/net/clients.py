"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from myrtlecourse.net.answer_slot import AnswerSlot
from myrtlecourse.net.client_closes import record_close, record_unexpected_end
from myrtlecourse.net.client_memory import COMMAND_COST, SMALL_ANSWER
from myrtlecourse.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, Command, CommandError, read_command
from myrtlecourse.net.command_turns import FIRST_COMMANDS, TURN_COMMANDS
from myrtlecourse.net.connection import has_unread_input
from myrtlecourse.net.delivery import DeliveryProgress, untaken_bytes
from myrtlecourse.net.hangup import has_hung_up
from myrtlecourse.net.host import Host, busy_answer
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import CloseReason
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError, split_command
from myrtlecourse.net.tcp_info import data_age, unread_bytes
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.listener import Listener

MAX_COMMAND = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes buffered for an incomplete command
# Seconds for which a long value may wait for memory. All of it may be in the socket already, so that its time
# runs; a final answer may be so much late.
RESERVATION_TIMEOUT = 0.5
MAX_PARTS = 16  # parts of a command
VALUE_PART = 4  # the position of a write's value, the only part that may be long
MAX_PIPELINED = 32  # unanswered commands per connection
MAX_FAST_PATH = 4096  # bytes that are parsed on the fast path
READ_SIZE = 64 * 1024  # bytes that are read at once of a long value
MIN_READ = 512  # bytes that are read at once at least
# seconds for which a half-closed connection is still read at least, and between checks of whether its client
# has taken its last answers
LINGER_TIME = 0.5
MAX_DISCARDED = 256 * 1024  # bytes read in that time, as a faulty client could go on sending at full speed
# Bytes that lie unread from which on the end of the connection may not have come: the peer's system keeps it
# back behind what this one has no room for.
UNSEEN_END_BACKLOG = 16 * 1024
UNSEEN_END_AGE = 0.08  # seconds for which they lie there; a client may have left so long ago
ERROR_PAUSE = 0.1  # seconds for which a connection is not read after an error
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)


# The buffer is shared by all connections: what one has read is copied out before the next one reads.
read_buffer = memoryview(bytearray(READ_SIZE))


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection."""

    def __init__(self, host: Host, listener: Listener, client: socket.socket) -> None:
        self.host = host
        self.socket = client
        self.descriptor = client.fileno()
        self.listener = listener
        self.reader = Reader(MAX_PARTS, MAX_VALUE, MAX_COMMAND, long_item=VALUE_PART)
        self.slots: deque[AnswerSlot] = deque()
        self.command_count = 0  # complete commands that have arrived
        self.socket_wait = 0.0  # seconds for which the latest bytes lay in the socket
        self.core_wait = 0.0  # the part of it for which this process was busy
        self.unread_since: float | None = None  # since when input may lie unread, on the event loop's clock
        self.command_age = 0.0  # seconds from when the command in work could have been read until it was
        self.read_limit = READ_SIZE  # bytes that the next read may take
        self.reading = True
        self.writable = True
        self.paused_after_error = False
        self.awaiting_turn = False  # whether commands that were read wait behind other connections
        self.no_more_commands = False  # whether further commands are ignored
        self.half_closed = False  # whether the sending side is shut down; input is read and discarded
        self.discarded_bytes = 0
        self.client_left = False  # whether the client has hung up or the connection has ended
        self.reserved_bytes = 0  # memory for the long value that is being received
        self.reservation_size = 0  # the memory that is reserved or waited for
        self.awaiting_reservation = False
        self.reservation_timer: asyncio.TimerHandle | None = None
        self.held_answers = 0  # bytes of answers that the client has not taken, as `ClientMemory` counts them
        self.last_data_at = 0.0  # on the event loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.transport.set_write_buffer_limits(high=SMALL_ANSWER)
        self.listener.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        # Only what the connection may hold is read: the event loop would pass on all that the kernel has.
        if self.half_closed:
            return read_buffer
        allowed = self.reader.announced_size if self.reserved_bytes else self._input_size()
        self.read_limit = max(MIN_READ, min(READ_SIZE, allowed - len(self.reader.buffer)))
        return read_buffer[: self.read_limit]

    def _input_size(self) -> int:
        return self.listener.memory.input_size(len(self.listener.connections))

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.half_closed:
            # The input is never executed: the client can't be answered and retries elsewhere.
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED:
                self.abort(CloseReason.UNEXPECTED_BYTES)
            return
        if self.client_left:
            return
        self.host.loop_lag.note_input()
        self.last_data_at = self.listener.loop.time()
        self.socket_wait = self._measure_socket_wait()
        if len(data) == self.read_limit and not self.reserved_bytes and unread_bytes(self.descriptor):
            # what is left in the socket came before now, and is as old as what has just been read
            self.unread_since = self.last_data_at - self.socket_wait
        self.listener.idle.pop(self, None)
        # a closing connection accepts nothing: its client's hang-up would go unnoticed
        accepts = self._may_process() and not self.transport.is_closing()
        if accepts and not self.reader.buffer and len(data) < MAX_FAST_PATH:
            parts = split_command(data)
            if parts is not None:
                self.command_count += 1
                self.command_age = self.socket_wait
                try:
                    self._process_command(parts)
                except Exception:
                    self._abort_on_fault()
                self.update_reading()
                self.listener.update_state(self)
                return
        self.reader.feed(data)
        self._process_buffer(FIRST_COMMANDS)

    def take_turn(self) -> None:
        """Process some of the commands that have been read."""
        self.awaiting_turn = False
        if not self.transport.is_closing():
            self._process_buffer()

    def _measure_socket_wait(self) -> float:
        """Return the seconds for which the bytes that have just been read may have lain in the socket."""
        loop_lag = self.host.loop_lag
        # the first bytes may have waited in the backlog, and any while the event loop was blocked
        if not self.command_count or loop_lag.may_have_stalled():
            age = data_age(self.socket)
            wait = loop_lag.max_wait() if age is None else age
        else:
            wait = loop_lag.estimated_wait()
        self.core_wait = wait
        if self.unread_since is not None:  # the connection was not read
            wait = max(wait, self.last_data_at - self.unread_since)
            self.unread_since = None
        return wait

    def on_unread_input(self, since: float) -> None:
        """Remember since when input may lie unread: its commands age meanwhile."""
        if self.unread_since is None:
            self.unread_since = since

    def _process_buffer(self, limit: int = TURN_COMMANDS) -> None:
        """Process up to `limit` commands; further ones wait for a turn."""
        try:
            # Commands that a client left in the buffer before it hung up are not executed: nobody waits for
            # them, and they would only load the cache servers.
            if self.check_connected():
                self._process_whole_commands(limit)
        except Exception:
            self._abort_on_fault()

    def _abort_on_fault(self) -> None:
        """Protect the router from an internal error: only this connection ends, and its requests with it."""
        log.exception("internal error on a client connection, which is closed")
        self.abort(CloseReason.INTERNAL_ERROR)

    def _process_whole_commands(self, limit: int) -> None:
        # commands may also have waited in the buffer
        self.command_age = self.socket_wait + self.listener.loop.time() - self.last_data_at
        # a closing connection accepts nothing: its client's hang-up would go unnoticed
        while self._may_process() and not self.transport.is_closing():
            if not limit and self.reader.buffer:
                self.awaiting_turn = True
                self.listener.turns.add(self)
                break
            limit -= 1
            try:
                parts = self.reader.next_message()
            except RespError as e:
                self.close_with_error(f"-ERR {e}")
                return
            if parts is INCOMPLETE:
                self._reserve_memory(self.reader.announced_size)
                break
            self.command_count += 1
            self._process_command(parts)
        self.update_reading()
        self.listener.update_state(self)

    def _reserve_memory(self, announced_size: int) -> None:
        """Reserve memory for a long command and for its forwarded copy; until then it is not read."""
        needed = max(announced_size, len(self.reader.buffer) + 1)
        if needed <= self._input_size() or self.awaiting_reservation or self.transport.is_closing():
            return
        if self.reserved_bytes:
            if 2 * needed > self.reserved_bytes:
                # only the last part of a valid command is long, and memory was reserved for it
                self.close_with_error("-ERR command is too long")
            return
        self.reservation_size = 2 * needed
        if self.listener.upload_memory.reserve(self, self.reservation_size):
            self.reserved_bytes = self.reservation_size
            return
        self.awaiting_reservation = True
        self.listener.awaiting_memory[self] = None
        self.reservation_timer = self.listener.loop.call_later(RESERVATION_TIMEOUT, self.refuse_unreserved)

    def on_reserved(self) -> None:
        """Continue reading the long value, for which memory has been reserved."""
        self._end_waiting()
        self.reserved_bytes = self.reservation_size
        self.last_data_at = asyncio.get_running_loop().time()  # the client could not send before
        self.update_reading()

    def refuse_unreserved(self) -> None:
        """Refuse a long value for which memory has not become free.

        A command that has not arrived completely has not been accepted, so that repeating it is harmless.
        """
        if self.awaiting_reservation and not self.transport.is_closing():
            size = self.reservation_size // 2
            rate_limited_log.log(logging.INFO, "refused a command of %d bytes: no memory", size)
            self._release_reservation()
            self.close_with_error(busy_answer(self.host.settings.max_retry_after).decode().rstrip())

    def _end_waiting(self) -> None:
        self.awaiting_reservation = False
        self.listener.awaiting_memory.pop(self, None)
        if self.reservation_timer is not None:
            self.reservation_timer.cancel()
            self.reservation_timer = None

    def _release_reservation(self) -> None:
        if self.awaiting_reservation:
            self._end_waiting()
            self.listener.upload_memory.stop_waiting(self)
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            self.listener.upload_memory.release(reserved)

    def _discard_input(self) -> None:
        """Free what has been read of a command, and then the memory that was reserved for it."""
        self.reader.buffer.clear()
        self._release_reservation()

    def _process_command(self, parts: Message | list[bytes]) -> None:
        refusal = None
        if isinstance(parts, list) and 4 <= len(parts) <= 5 and isinstance(info := parts[3], bytes):
            refusal = self.host.refuse_early(info, self.command_age, self.core_wait)
            if refusal is None and self.may_have_left(self.command_age):
                rate_limited_log.log(logging.INFO, "refused commands of a client that may have left unseen")
                refusal = busy_answer(self.host.settings.max_retry_after)
            if refusal is None and not self.listener.serves_clients():
                rate_limited_log.log(logging.INFO, "refused commands: the service address is elsewhere")
                refusal = busy_answer(0.0)
            # This fast path exists because refusals take a saturated core's time from other requests, and
            # most of them are retried.
            if refusal is not None and not self.slots and self.reading and not self.no_more_commands:
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
            if not slot.hold_command(command):
                held = self.listener.memory.commands.held
                rate_limited_log.log(logging.INFO, "refused a command: %d bytes of commands are held", held)
                slot.send(busy_answer(self.host.settings.max_retry_after))
                return
            slot.request_id = command.request_id.decode()
            self._accept(command, slot)
        except CommandError as e:
            slot.request_id = None
            # The connection is not read for a while: a client that sends errors at full speed would take the
            # core from the others.
            self.paused_after_error = True
            self.listener.paused_after_error[self] = None
            asyncio.get_running_loop().call_later(ERROR_PAUSE, self._end_error_pause)
            slot.send(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _accept(self, command: Command, slot: AnswerSlot) -> None:
        """Pass a command to the host, which frees its memory once nothing of it is needed any more."""
        try:
            self.host.accept(command, slot, self.command_age)
        except CommandError:
            command.release_memory()
            raise

    def _end_error_pause(self) -> None:
        self.paused_after_error = False
        self.listener.paused_after_error.pop(self, None)
        self._process_buffer()

    def complete(self, slot: AnswerSlot, answer: bytes) -> None:
        """Set the answer of a slot and send all answers that are next in order."""
        slot.answer = answer
        self._send_answers()
        self._count_held_answers()

    def _count_held_answers(self) -> None:
        """Count the bytes of answers that the client has not taken, or that wait for those before them."""
        held = 0
        if self.slots or not self.writable:
            held = sum(len(slot.answer) for slot in self.slots if slot.answer is not None)
            if not self.writable and not self.transport.is_closing():
                held += self.transport.get_write_buffer_size()
        if held != self.held_answers:
            self.listener.memory.answers.held += held - self.held_answers
            self.held_answers = held

    def _send_answers(self) -> None:
        """Send the answers that are next in order, as far as they are there and the client takes them."""
        while self.slots and self.slots[0].advance():
            self.slots.popleft().release()
        if not self.slots:
            self.listener.update_state(self)
        elif self.writable:
            self.slots[0].resume_source()
        if not self.slots and (self.no_more_commands or self.listener.closes_when_idle(self)):
            self.close(CloseReason.AFTER_ERROR if self.no_more_commands else CloseReason.ENDING)
        elif not self.reading and not self.no_more_commands:
            self.listener.loop.call_soon(self._process_buffer)

    def has_read_behind(self, slot: AnswerSlot) -> bool:
        """Return whether anything that the client sent after the command of a slot has been read."""
        return self.slots[-1] is not slot or bool(self.reader.buffer)

    def close_with_error(self, error: str) -> None:
        """Answer with an error and close, as the beginning of the next command is unknown."""
        self.no_more_commands = True
        # Input that arrives until the earlier answers are sent is of no use, and would take memory.
        self.update_reading()
        self._discard_input()
        slot = AnswerSlot(self)
        self.slots.append(slot)
        self.complete(slot, error.encode("ascii", "replace") + b"\r\n")

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""
        if not self.transport.is_closing():
            untaken = untaken_bytes(self.transport) - int(self.half_closed)
            record_close(self.descriptor, reason, len(self.slots), untaken)
        self.transport.abort()

    def ending(self) -> bool:
        """Return whether the connection ends already, so that `close` would do nothing."""
        return self.half_closed or self.client_left or self.transport.is_closing()

    def make_room(self) -> None:
        """Close for a new client, as there is no descriptor for it."""
        if self.awaiting_reservation:
            self.refuse_unreserved()
        else:
            self.close(CloseReason.NO_ROOM)

    def close(self, reason: CloseReason) -> None:
        """Close with lingering: shut down the sending side, read and discard for a while, then close.

        A close while received bytes are unread resets the connection, and the client loses the answers that
        it has not read yet. May be called again.
        """
        if self.ending():
            return
        record_close(self.descriptor, reason, len(self.slots), 0)
        self.no_more_commands = self.half_closed = True
        self._discard_input()
        self.listener.linger(self)
        try:
            self.transport.write_eof()
        except OSError:  # the client has just reset the connection
            self.abort(CloseReason.CLIENT_LEFT)
            return
        self.update_reading()
        progress = DeliveryProgress(self.transport, self.listener.loop.time())
        self.listener.loop.call_later(LINGER_TIME, self._end_lingering, progress)

    def _end_lingering(self, progress: DeliveryProgress) -> None:
        """Close if the client has taken all that was written, or takes it too slowly."""
        if self.transport.is_closing():
            return
        if not self.owes_bytes():
            self.abort(CloseReason.LINGER_ENDED)
            return
        now = self.listener.loop.time()
        if now - progress.since >= self.listener.delivery_interval():
            if not progress.is_sufficient(now):
                self.abort(CloseReason.ANSWER_NOT_READ)
                return
            progress = DeliveryProgress(self.transport, now)
        self.listener.loop.call_later(LINGER_TIME, self._end_lingering, progress)

    def owes_bytes(self) -> bool:
        """Return whether the client has not yet taken all bytes that were written to it."""
        return untaken_bytes(self.transport) > int(self.half_closed)

    def eof_received(self) -> None:
        """Cancel the requests of a client that has hung up; written bytes are still sent for a while."""
        self.cancel_requests()
        if not self.half_closed:
            self.listener.loop.call_later(LINGER_TIME, self.abort, CloseReason.CLIENT_LEFT)

    def check_connected(self, recently_read: bool = True) -> bool:
        """Return whether the client is still connected; a hang-up that the event loop has not reported yet
        counts.

        The kernel is asked if the connection is not being read, or has not been read recently.
        """
        if not self.client_left and not (recently_read and self.reading) and has_hung_up(self.descriptor):
            self.on_hang_up()
        return not self.client_left

    def may_have_left(self, unread_age: float) -> bool:
        """Return whether the client may have left unseen, as much of its input has been unread for a while.

        Args:
            unread_age: seconds for which the oldest of its input has been unread.
        """
        return unread_age > UNSEEN_END_AGE and unread_bytes(self.descriptor) >= UNSEEN_END_BACKLOG

    def unread_age(self) -> float:
        """Return the seconds for which input may have lain in the socket; 0 if none was seen there."""
        return 0.0 if self.unread_since is None else self.listener.loop.time() - self.unread_since

    def on_hang_up(self) -> None:
        """Handle that the client has hung up, which was found behind unread input."""
        self.cancel_requests()
        self.abort(CloseReason.CLIENT_LEFT)

    def cancel_requests(self) -> None:
        """Cancel the requests of this connection, as no answer can reach the client any more."""
        self.client_left = True
        self._discard_input()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.release()
            if slot.answer is None and slot.request_id is not None:
                self.host.client_gone(slot.request_id)

    def _may_process(self) -> bool:
        blocked = (
            self.no_more_commands
            or self.paused_after_error
            or self.awaiting_turn
            or self.awaiting_reservation
            or not self.writable
        )
        if blocked or len(self.slots) >= MAX_PIPELINED:
            return False
        if not self.slots:
            return True
        return self.listener.memory.commands.fits(COMMAND_COST) and not self.slots[-1].holds_back_commands()

    def update_reading(self) -> None:
        """Start or stop reading; a client whose commands can't be processed now is not read."""
        should_read = self.half_closed or self._may_process()
        if should_read != self.reading and not self.transport.is_closing():
            self.reading = should_read
            if should_read:
                self.listener.hang_up_monitor.remove(self)
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()
                self.listener.hang_up_monitor.add(self)

    def pause_writing(self) -> None:
        self.writable = False
        self.update_reading()
        if self.slots:
            self.slots[0].pause_source()

    def resume_writing(self) -> None:
        self.writable = True
        if self.slots:
            self._send_answers()
        self._count_held_answers()
        self._process_buffer()

    def has_unread_input(self) -> bool:
        """Return whether a command may be waiting in the socket."""
        return has_unread_input(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.hang_up_monitor.remove(self)
        self.listener.remove(self)
        if exc is not None and not isinstance(exc, OSError):
            record_unexpected_end(len(self.slots), exc)
        self.cancel_requests()
        self.listener.memory.answers.held -= self.held_answers
        self.held_answers = 0
