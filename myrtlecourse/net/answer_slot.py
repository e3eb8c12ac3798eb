"""A command's place in the order of the answers on its client's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from myrtlecourse.net.connection import Exchange
from myrtlecourse.net.host import FAILED_ANSWER
from myrtlecourse.net.request_log import CloseReason

if TYPE_CHECKING:
    from myrtlecourse.net.clients import ClientConnection

# Seconds after a client's command was read, within which it is assumed not to have hung up. After that, the
# kernel is asked, because a lagging event loop notices the end of a connection late.
RECENT_READ = 0.05


class AnswerSlot:
    """A command's place in the order of the answers on its connection."""

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
        self.arrived_at = connection.listener.loop.time() - connection.command_age
        self.request_id: str | None = None
        self.answer: bytes | None = None
        self.source: Exchange | None = None  # the source of a streamed answer
        self.chunks: list[bytes] = []  # chunks of a streamed answer that waits for the answers before it
        self.counted_in_windows = False  # whether `StreamWindows` counts its stream
        self.reserved_bytes = 0  # memory reserved for its command

    def send(self, answer: bytes) -> None:
        """Answer the command."""
        self.connection.complete(self, answer)

    def begin_stream(self, length: int, source: Exchange) -> None:
        """Begin a streamed answer."""
        self.source = source
        self.counted_in_windows = True
        windows = self.connection.listener.windows
        windows.streams += 1
        self.connection.transport.set_write_buffer_limits(high=windows.size())
        self.write_chunk(b"$%d\r\n" % length)

    def write_chunk(self, data: bytes) -> None:
        """Forward a chunk of the streamed answer; pause its source if the chunk can't be sent yet."""
        self.chunks.append(data)
        connection = self.connection
        if connection.slots and connection.slots[0] is self:
            connection.flush(self)
        if not connection.writable or self.chunks:
            self.pause_source()

    def pause_source(self) -> None:
        """Stop reading the streamed answer until its client has read what there is."""
        if self.source is not None and not self.connection.transport.is_closing():
            self.source.pause()
            self.connection.listener.mark_stalled(self)

    def resume_source(self) -> None:
        if self.source is not None:
            self.connection.listener.stalled_answers.pop(self, None)
            self.source.resume()

    def end_stream(self) -> None:
        """Complete the streamed answer."""
        self.release()
        self.connection.complete(self, b"\r\n")

    def abort_stream(self) -> None:
        """End an incomplete streamed answer by closing the connection, as its length has been announced.

        If it is still behind other answers, nothing of it has been sent: an error takes its place, and the
        other answers are not affected.
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
        """Return whether the client is still connected; asked just before an attempt begins."""
        connection = self.connection
        return connection.check_connected(connection.listener.loop.time() - self.arrived_at < RECENT_READ)

    def release(self) -> None:
        """Release what the slot holds, as its answer is complete or given up. May be called again."""
        listener = self.connection.listener
        self.source = None
        listener.stalled_answers.pop(self, None)
        if self.counted_in_windows:
            self.counted_in_windows = False
            listener.windows.streams -= 1
        if self.reserved_bytes:
            reserved, self.reserved_bytes = self.reserved_bytes, 0
            listener.upload_memory.release(reserved)
