"""A command's place in the order of the answers on its client's connection.

A long answer is passed on as it comes, and can't be taken back: if it breaks off, only the end of the
connection tells its client. So it is passed on only while no other request of its connection has been read.
With requests behind it, it is gathered whole first, and an error can still take its place.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, auto
from typing import TYPE_CHECKING

from myrtlecourse.net.client_memory import COMMAND_COST, COPIES, SMALL_ANSWER, CommandMemory
from myrtlecourse.net.command import Command
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.host import FAILED_ANSWER
from myrtlecourse.net.request_log import CloseReason

if TYPE_CHECKING:
    from myrtlecourse.net.clients import ClientConnection

# Seconds after a client's command was read, within which it is assumed not to have hung up. After that, the
# kernel is asked, because a lagging event loop notices the end of a connection late.
RECENT_READ = 0.05
MEMORY_TIMEOUT = 1.0  # seconds for which a long answer that has to be gathered may wait for memory


class StreamState(Enum):
    """How far a streamed answer has got."""

    NONE = auto()  # no streamed answer has begun
    BEHIND = auto()  # it waits for the answers before it
    AWAITING_MEMORY = auto()  # it has to be gathered, for which there is no memory yet
    GATHERING = auto()
    PASSING = auto()  # its client receives it as it comes


class AnswerSlot:
    """A command's place in the order of the answers on its connection."""

    __slots__ = (
        "answer",
        "arrived_at",
        "chunks",
        "connection",
        "counted_in_windows",
        "gathered_bytes",
        "held_command",
        "request_id",
        "reserved_bytes",
        "sent_any",
        "source",
        "stream_length",
        "stream_state",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.arrived_at = connection.listener.loop.time() - connection.command_age
        self.request_id: str | None = None
        self.answer: bytes | None = None  # the answer, or the end of a streamed one
        self.source: Exchange | None = None  # the source of a streamed answer until it has ended
        self.stream_state = StreamState.NONE
        self.stream_length = 0
        self.chunks: deque[bytes] = deque()  # chunks of a streamed answer that have not been sent
        self.sent_any = False  # whether the client has been sent a part of the streamed answer
        self.counted_in_windows = False  # whether `StreamWindows` counts its stream
        self.gathered_bytes = 0  # memory reserved for gathering the streamed answer
        self.reserved_bytes = 0  # memory reserved for its command, until that is accepted
        self.held_command = 0  # the memory that the slot takes, as `ClientMemory` counts it

    def hold_command(self, command: Command) -> bool:
        """Count the memory of the slot and its command; return False if there is none."""
        memory = self.connection.listener.memory
        copies = 0 if self.reserved_bytes else COPIES * command.size()
        if not memory.commands.fits(COMMAND_COST + copies):
            return False
        self.held_command = COMMAND_COST
        memory.commands.held += COMMAND_COST
        command.memory = CommandMemory(memory, copies, self.reserved_bytes)
        self.reserved_bytes = 0
        return True

    def has_room_for(self, size: int) -> bool:
        """Return whether an answer of `size` bytes may be held until the client takes it."""
        return size <= SMALL_ANSWER or self.connection.listener.memory.answers.fits(size)

    def send(self, answer: bytes) -> None:
        """Answer the command."""
        self.connection.complete(self, answer)

    def is_first(self) -> bool:
        """Return whether all answers before this one have been sent."""
        slots = self.connection.slots
        return bool(slots) and slots[0] is self

    # A streamed answer

    def begin_stream(self, length: int, source: Exchange) -> None:
        """Begin a streamed answer."""
        self.source = source
        self.stream_length = length
        self.counted_in_windows = True
        connection = self.connection
        windows = connection.listener.windows
        windows.streams += 1
        connection.transport.set_write_buffer_limits(high=windows.size())
        self.stream_state = StreamState.BEHIND
        self.write_chunk(b"$%d\r\n" % length)
        connection.update_reading()

    def write_chunk(self, data: bytes) -> None:
        """Forward a chunk of the streamed answer; pause its source if the chunk can't be sent yet."""
        self.chunks.append(data)
        if self.is_first():
            self.advance()
        self.pause_source()

    def _must_pause(self) -> bool:
        if self.stream_state is StreamState.PASSING:
            return bool(self.chunks) or not self.connection.writable
        return self.stream_state is not StreamState.GATHERING

    def advance(self) -> bool:
        """Send what may be sent of the answer, which is next in order; return whether all of it is sent."""
        if self.stream_state is StreamState.BEHIND and self.source is not None:
            self._begin_sending()
        if self.answer is None and self.stream_state is not StreamState.PASSING:
            return False
        self._send_chunks()
        if self.chunks or self.answer is None:
            return False
        if self.answer:
            self.connection.transport.write(self.answer)
        return True

    def _begin_sending(self) -> None:
        """Decide whether the streamed answer is passed on as it comes or gathered first."""
        listener = self.connection.listener
        listener.stalled_answers.pop(self, None)
        if not self.connection.has_read_behind(self):
            self.stream_state = StreamState.PASSING
            return
        if listener.windows.gathered.reserve(self, self.stream_length):
            self.gathered_bytes = self.stream_length
            self.stream_state = StreamState.GATHERING
            return
        self.stream_state = StreamState.AWAITING_MEMORY
        listener.loop.call_later(MEMORY_TIMEOUT, self._give_up_awaiting_memory)

    def on_reserved(self) -> None:
        """Gather the streamed answer, for which memory has been reserved."""
        self.gathered_bytes = self.stream_length
        self.stream_state = StreamState.GATHERING
        self.resume_source()

    def _give_up_awaiting_memory(self) -> None:
        if self.stream_state is StreamState.AWAITING_MEMORY and self.source is not None:
            self.source.reject()

    def _send_chunks(self) -> None:
        listener = self.connection.listener
        while self.chunks and self.connection.writable:
            listener.stalled_answers.pop(self, None)
            self.sent_any = True
            self.connection.transport.write(self.chunks.popleft())
        if self.chunks:
            listener.mark_stalled(self)

    def may_continue_late(self) -> bool:
        """Return whether the streamed answer may go on past its deadline.

        One that is being gathered may not: its client has nothing of it, and others wait behind it.
        """
        return self.stream_state not in (StreamState.AWAITING_MEMORY, StreamState.GATHERING)

    def waits_behind_others(self) -> bool:
        """Return whether the streamed answer waits for its turn, or for memory: nothing of it is sent yet."""
        return self.stream_state in (StreamState.BEHIND, StreamState.AWAITING_MEMORY)

    def holds_back_commands(self) -> bool:
        """Return whether further commands are to be left unread, as the end of the connection may be all that
        tells of this answer's."""
        return self.source is not None and self.may_continue_late()

    def pause_source(self) -> None:
        """Stop reading the streamed answer, if its client has to read first what there is."""
        if self.source is not None and self._must_pause() and not self.connection.transport.is_closing():
            self.source.pause()
            self.connection.listener.mark_stalled(self)

    def resume_source(self) -> None:
        """Continue reading the streamed answer, if it may be."""
        if self.source is not None and not self._must_pause():
            self.connection.listener.stalled_answers.pop(self, None)
            self.source.resume()

    def end_stream(self) -> None:
        """Complete the streamed answer."""
        self._release_source()
        self.connection.complete(self, b"\r\n")

    def abort_stream(self) -> None:
        """End an incomplete streamed answer.

        If nothing of it has been sent, an error takes its place, and the other answers are not affected.
        Otherwise the connection is closed, as its length has been announced.
        """
        self._release_source()
        connection = self.connection
        if not self.sent_any:
            self.chunks.clear()
            connection.complete(self, FAILED_ANSWER)
            return
        connection.close(CloseReason.INCOMPLETE_ANSWER)
        connection.cancel_requests()

    def client_connected(self) -> bool:
        """Return whether the client is still connected; asked just before an attempt begins."""
        connection = self.connection
        recently_read = connection.listener.loop.time() - self.arrived_at < RECENT_READ
        return connection.check_connected(recently_read) and not connection.may_have_left(
            connection.unread_age()
        )

    def _release_source(self) -> None:
        """Release what the source of a streamed answer holds. May be called again."""
        listener = self.connection.listener
        self.source = None
        listener.stalled_answers.pop(self, None)
        if self.counted_in_windows:
            self.counted_in_windows = False
            listener.windows.streams -= 1
            if not self.connection.transport.is_closing():
                self.connection.transport.set_write_buffer_limits(high=SMALL_ANSWER)
        if self.stream_state is StreamState.AWAITING_MEMORY:
            self.stream_state = StreamState.BEHIND
            listener.windows.gathered.stop_waiting(self)

    def release(self) -> None:
        """Release what the slot holds, as its answer is sent or given up. May be called again."""
        self._release_source()
        listener = self.connection.listener
        listener.memory.commands.held -= self.held_command
        self.held_command = 0
        if self.gathered_bytes:
            gathered, self.gathered_bytes = self.gathered_bytes, 0
            listener.windows.gathered.release(gathered)
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            listener.upload_memory.release(reserved)
