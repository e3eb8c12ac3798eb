"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections import deque
from typing import TYPE_CHECKING, cast

from myrtlecourse.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, read_command
from myrtlecourse.net.connection import Exchange, readable
from myrtlecourse.net.hangup import has_hung_up
from myrtlecourse.net.host import FAILED, Host, busy
from myrtlecourse.net.request_log import Close, requests_log
from myrtlecourse.net.resp import NOT_YET, Message, Reader, RespError, split_command
from myrtlecourse.net.transport import Transport

if TYPE_CHECKING:
    from myrtlecourse.net.listener import Listener

MAX_COMMAND = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes held for a command that is not whole
SHORT_COMMAND = 64 * 1024 + MAX_KEY + MAX_INFO + 4096  # bytes of a command that needs no room reserved
STARVED_TIME = 1.0  # seconds for which a long value may wait for room
MAX_PARTS = 16
MAX_PIPELINED = 32  # commands of one connection that wait for their answers
MAX_SHORT = 4096  # bytes of what is read the short way
LINGER = 0.5  # seconds for which a closed connection is still read, so that its last answer arrives
DISCARDED = 256 * 1024  # bytes read in that time at the most: a bad client would send on at full speed
ERROR_PAUSE = 0.1  # seconds for which a connection is not read after an error
FRESH = 0.05  # seconds after which a hang-up may lie in the socket though it is read: turns can be long
# offsets in tcp_info (Linux) of numbers of 32 bits
RETRANSMISSION_TIMEOUT = 8  # microseconds after which it sends again
LAST_DATA_RECEIVED = 52  # milliseconds since data came
NUMBER = 4  # bytes
log = logging.getLogger(__name__)


def data_age(client: socket.socket) -> float | None:
    """Seconds since the last bytes came in on a connection, as its kernel tells (tcp_info, Linux).

    None when it does not tell: no connection is without a time-out, so that 0 is a field that was not filled.
    """
    try:
        info = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + NUMBER)
    except OSError:
        return None  # it has just ended
    if not any(info[RETRANSMISSION_TIMEOUT : RETRANSMISSION_TIMEOUT + NUMBER]):
        return None
    return int.from_bytes(info[LAST_DATA_RECEIVED:], sys.byteorder) / 1000


class Slot:
    """A command's place in the order of answers."""

    __slots__ = ("answer", "came_at", "connection", "flows", "pieces", "request", "reserved", "source")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.came_at = connection.listener.loop.time() - connection.waited
        self.request: str | None = None
        self.answer: bytes | None = None
        self.source: Exchange | None = None  # of a long answer
        self.pieces: list[bytes] = []  # of it, that wait for the answers before it
        self.flows = False  # whether it is counted among those that share the budget
        self.reserved = 0  # bytes of room that its command takes

    def fill(self, answer: bytes) -> None:
        """Give the command its answer."""
        self.connection.answered(self, answer)

    def begin(self, length: int, source: Exchange) -> None:
        """A long answer begins."""
        self.source = source
        self.flows = True
        windows = self.connection.listener.windows
        windows.flows += 1
        self.connection.transport.set_write_buffer_limits(high=windows.size())
        self.piece(b"$%d\r\n" % length)

    def piece(self, data: bytes) -> None:
        """Pass on a piece of it, or hold it, and stop its source, until that can be done."""
        self.pieces.append(data)
        connection = self.connection
        if connection.slots and connection.slots[0] is self:
            connection.flush(self)
        if not connection.writable or self.pieces:
            self.hold()

    def hold(self) -> None:
        """Read no more of it until its client takes what there is."""
        if self.source is not None and not self.connection.transport.is_closing():
            self.source.pause()
            self.connection.listener.hold(self)

    def go_on(self) -> None:
        if self.source is not None:
            self.connection.listener.holding.pop(self, None)
            self.source.resume()

    def end(self) -> None:
        """The long answer is whole."""
        self.over()
        self.connection.answered(self, b"\r\n")

    def cut(self) -> None:
        """It will not be whole: only a close tells, as the client counts what it was promised.

        Of one that waits behind others nothing has been passed on: an error tells, and the others stand.
        """
        self.over()
        connection = self.connection
        if connection.slots and connection.slots[0] is not self:
            self.pieces.clear()
            connection.answered(self, FAILED)
            return
        connection.close(Close.CUT_ANSWER)
        connection.settle()

    def there(self) -> bool:
        """Whether the client still waits; asked just before an attempt begins."""
        connection = self.connection
        return connection.there(connection.listener.loop.time() - self.came_at < FRESH)

    def over(self) -> None:
        """Nothing more comes for it; gives back what it held. May be called again."""
        listener = self.connection.listener
        self.source = None
        listener.holding.pop(self, None)
        if self.flows:
            self.flows = False
            listener.windows.flows -= 1
        if self.reserved:
            reserved, self.reserved = self.reserved, 0
            listener.room.release(reserved)


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, host: Host, listener: Listener, client: socket.socket) -> None:
        self.host = host
        self.socket = client
        self.descriptor = client.fileno()
        self.listener = listener
        self.reader = Reader(MAX_PARTS, MAX_VALUE, MAX_COMMAND)
        self.slots: deque[Slot] = deque()
        self.commands = 0  # whole ones that have come
        self.waited = 0.0  # seconds for which the last bytes lay in the socket
        self.reading = True
        self.writable = True
        self.paused = False  # after an error
        self.ending = False  # no command is taken any more
        self.half_closed = False  # its sending side is shut down; what comes is read and discarded
        self.discarded = 0  # bytes
        self.gone = False  # the client has hung up, or the connection is over
        self.reserved = 0  # bytes of room for a long value that comes in
        self.starved = False  # it waits for that room
        self.came_at = 0.0  # when the last bytes did (the loop's clock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.listener.connections[self] = None
        self.listener.note(self)

    def data_received(self, data: bytes) -> None:
        if self.half_closed:
            # never executed: nobody could be answered, and its client asks again elsewhere
            self.discarded += len(data)
            if self.discarded > DISCARDED:
                self.abort(Close.UNWANTED_BYTES)
            return
        turns = self.host.turns
        turns.note()
        self.came_at = self.listener.loop.time()
        # the first may have lain in the backlog, and any while the loop was held up
        if not self.commands or turns.held_up():
            age = data_age(self.socket)
            self.waited = turns.most_waited() if age is None else age
        else:
            self.waited = turns.waited()
        self.listener.idle.pop(self, None)
        # a closing one takes nothing more: nobody would hear that its client is gone
        takes = self._wanted() and not self.transport.is_closing()
        if takes and not self.reader.buffer and len(data) < MAX_SHORT:
            parts = split_command(data)
            if parts is not None:
                self.commands += 1
                try:
                    self._take(parts)
                except Exception:
                    self._fault()
                self._read_or_not()
                self.listener.note(self)
                return
        self.reader.feed(data)
        self._take_commands()

    def _take_commands(self) -> None:
        try:
            # guards the cache servers: what a client left behind in the buffer nobody waits for
            if self.there():
                self._take_whole_ones()
        except Exception:
            self._fault()

    def _fault(self) -> None:
        """Guards the router: a fault here ends this connection alone, and its requests are settled."""
        log.exception("connection of a client")
        self.abort(Close.FAULT)

    def _take_whole_ones(self) -> None:
        # a closing connection takes nothing more: nobody would hear that its client is gone
        while self._wanted() and not self.transport.is_closing():
            try:
                parts = self.reader.next()
            except RespError as e:
                self.end_with(f"-ERR {e}")
                return
            if parts is NOT_YET:
                self._reserve(self.reader.announced)
                break
            self.commands += 1
            self._take(parts)
        self._read_or_not()
        self.listener.note(self)

    def _reserve(self, announced: int) -> None:
        """Guards memory: a long value is read once there is room for it and for its copy going out."""
        if announced <= SHORT_COMMAND or self.reserved or self.starved or self.transport.is_closing():
            return
        size = 2 * announced
        if self.listener.room.reserve(self, size):
            self.reserved = size
            return
        self.starved = True
        asyncio.get_running_loop().call_later(STARVED_TIME, self._starve)

    def admitted(self) -> None:
        """There is room for the long value."""
        self.starved = False
        self.reserved = 2 * self.reader.announced
        self.came_at = asyncio.get_running_loop().time()  # it could not go on before
        self._read_or_not()

    def _starve(self) -> None:
        """No room in time: what has not come whole is not taken, so that a refusal is harmless."""
        if self.starved and not self.transport.is_closing():
            self._reserve_no_more()
            self.end_with(busy(self.host.settings.max_retry_after).decode().rstrip())

    def _reserve_no_more(self) -> None:
        if self.starved:
            self.starved = False
            self.listener.room.give_up(self)
        if self.reserved:
            reserved, self.reserved = self.reserved, 0
            self.listener.room.release(reserved)

    def _take(self, parts: Message | list[bytes]) -> None:
        refusal = None
        if isinstance(parts, list) and 4 <= len(parts) <= 5 and isinstance(info := parts[3], bytes):
            refusal = self.host.turn_away(info, self.waited)
            # guards a full core: what a refusal costs is lost to the others, and most are asked for again
            if refusal is not None and not self.slots and self.reading and not self.ending:
                self._reserve_no_more()
                self.transport.write(refusal)
                if self.listener.leaves(self):
                    self.close(Close.ENDING)
                return
        slot = Slot(self)
        slot.reserved, self.reserved = self.reserved, 0
        self.slots.append(slot)
        if refusal is not None:
            slot.fill(refusal)
            return
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            slot.fill(b"+PONG\r\n" if self.host.ready() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
            slot.request = command.request.decode()
            self.host.take(command, slot, self.waited)
        except CommandError as e:
            slot.request = None
            # guards the other clients: one that sends errors at full speed would take the core for itself
            self.paused = True
            self.listener.erring[self] = None
            asyncio.get_running_loop().call_later(ERROR_PAUSE, self._go_on)
            slot.fill(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _go_on(self) -> None:
        self.paused = False
        self.listener.erring.pop(self, None)
        self._take_commands()

    def answered(self, slot: Slot, answer: bytes) -> None:
        """Pass on what is at the head of the order of answers."""
        slot.answer = answer
        while self.slots:
            head = self.slots[0]
            if head.pieces:
                self.flush(head)
            if head.answer is None:
                break
            self.slots.popleft()
            head.over()
            if head.answer:
                self.transport.write(head.answer)
        if not self.slots:
            self.listener.note(self)
        elif self.writable:
            self.slots[0].go_on()
        if not self.slots and (self.ending or self.listener.leaves(self)):
            self.close(Close.AFTER_ERROR if self.ending else Close.ENDING)
        elif not self.reading and not self.ending:
            self.listener.loop.call_soon(self._take_commands)

    def flush(self, slot: Slot) -> None:
        """Pass on what has come of the long answer that is at the head."""
        pieces, slot.pieces = slot.pieces, []
        for piece in pieces:
            self.transport.write(piece)

    def end_with(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.ending = True
        # guards memory: what comes while earlier answers are owed would be kept for nobody
        self._read_or_not()
        self.reader.buffer.clear()
        self._reserve_no_more()
        slot = Slot(self)
        self.slots.append(slot)
        self.answered(slot, error.encode("ascii", "replace") + b"\r\n")

    def abort(self, why: Close) -> None:
        """Close at once."""
        requests_log.closed("client", self.descriptor, why, len(self.slots))
        self.transport.abort()

    def close(self, why: Close) -> None:
        """Lingering close: shut down the sending side, read and discard for a while, then close.

        Guards the last answer: a close over bytes that came unread resets the connection, and what the client
        has not taken yet is gone. May be called again.
        """
        if self.half_closed or self.gone or self.transport.is_closing():
            return
        requests_log.closed("client", self.descriptor, why, len(self.slots))
        self.ending = self.half_closed = True
        self.reader.buffer.clear()
        self._reserve_no_more()
        self.listener.linger(self)
        try:
            self.transport.write_eof()
        except OSError:  # its client has just reset it
            self.transport.abort()
            return
        self._read_or_not()
        # guards the descriptors: a client that takes no answers, or rests, would keep its connection for good
        self.listener.loop.call_later(LINGER, self.transport.abort)

    def eof_received(self) -> None:
        """The client has hung up: nothing more begins for it. What is written goes out, for a while."""
        self.settle()
        if not self.half_closed:
            self.listener.loop.call_later(LINGER, self.transport.abort)

    def there(self, fresh: bool = True) -> bool:
        """Whether the client has not hung up; the kernel is asked while unread, and once time has passed.

        The event loop tells of an end at its next look only.
        """
        if not self.gone and not (fresh and self.reading) and has_hung_up(self.descriptor):
            self.hung_up()
        return not self.gone

    def hung_up(self) -> None:
        """The client has hung up, behind what lies unread."""
        self.settle()
        self.abort(Close.CLIENT_LEFT)

    def settle(self) -> None:
        """No answer reaches the client any more: its requests end, and nothing more is sent for them."""
        self.gone = True
        self._reserve_no_more()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.over()
            if slot.answer is None and slot.request is not None:
                self.host.client_gone(slot.request)

    def _wanted(self) -> bool:
        held_up = self.ending or self.paused or self.starved or not self.writable
        return not held_up and len(self.slots) < MAX_PIPELINED

    def _read_or_not(self) -> None:
        """Bounds what a client can make the router hold: no reading while too much is unanswered."""
        wanted = self.half_closed or self._wanted()
        if wanted != self.reading and not self.transport.is_closing():
            self.reading = wanted
            if wanted:
                self.listener.hang_ups.remove(self)
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()
                self.listener.hang_ups.add(self)

    def pause_writing(self) -> None:
        self.writable = False
        self._read_or_not()
        if self.slots:
            self.slots[0].hold()

    def resume_writing(self) -> None:
        self.writable = True
        if self.slots:
            self.slots[0].go_on()
        self._take_commands()

    def unread(self) -> bool:
        """Whether a command may wait in the socket."""
        return readable(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.hang_ups.remove(self)
        self.listener.forget(self)
        self.settle()
