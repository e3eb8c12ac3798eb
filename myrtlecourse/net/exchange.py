"""One request to a server and its answer, from the wait for a connection to the outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.request_log import CloseReason

if TYPE_CHECKING:
    from myrtlecourse.net.connection import Connection


class AnswerReceiver(Protocol):
    """The owner of an attempt, which receives a long answer in chunks instead of as a whole value."""

    def may_start(self) -> bool:
        """Return whether the request may still be sent; asked when it had to wait for a connection."""

    def time_left(self) -> float:
        """Return the seconds for which the router will wait for the answer."""

    def send_time_left(self) -> float:
        """Return the seconds within which the last byte of the request must be sent."""

    def on_answer_stalled(self, replaceable: bool) -> None:
        """Handle that an answer has begun, of which nothing more has come for a while.

        Args:
            replaceable: whether another server's answer may take its place; a long one may be on its way.
        """

    def begin_stream(self, length: int, source: Exchange) -> bool:
        """Begin a streamed value of `length` bytes; return False if it is no longer wanted."""

    def write_chunk(self, data: bytes) -> None:
        """Receive the next bytes of the streamed value."""


class Exchange:
    """One request to a server and its answer; ends once, by calling `on_finished` or by being abandoned.

    It waits for a connection, is written, and receives the answer. Its owner is the `AnswerReceiver`.
    """

    __slots__ = ("command", "connection", "on_finished", "open", "receiver", "time_left", "was_paused")

    def __init__(
        self,
        command: Command,
        time_left: float,
        on_finished: Callable[[Status, bytes], None],
        receiver: AnswerReceiver | None = None,
    ) -> None:
        self.command = command
        self.time_left = time_left
        self.on_finished = on_finished
        self.receiver = receiver
        self.open = True
        self.was_paused = False  # whether its client held it up since `begin_pause_record`
        self.connection: Connection | None = None

    def check_still_wanted(self) -> bool:
        """Return whether the attempt is still wanted, now that it has a connection; finish it if not.

        Meanwhile its client may have hung up, its server may have begun to drain, or the period in which the
        server recognises a repeated request may have ended.
        """
        if self.open and self.receiver is not None and not self.receiver.may_start():
            self.finish(Status.NOT_SENT)
        if self.open and self.receiver is not None:
            self.time_left = self.receiver.time_left()
        return self.open

    def forward_held(self) -> bool:
        """Begin to forward a long answer that has begun; return False if none has."""
        connection = self.connection
        if not self.open or connection is None or not connection.stream_length:
            return False
        connection.forward_held(self)
        return True

    def pause(self) -> None:
        """Stop reading the answer, which its client does not read at present."""
        if self.open and self.connection is not None:
            self.was_paused = True
            self.connection.pause()

    def begin_pause_record(self) -> None:
        """Record from now on whether the client holds up the answer."""
        self.was_paused = self.connection is not None and self.connection.paused

    def resume(self) -> None:
        """Continue reading the answer."""
        if self.open and self.connection is not None:
            self.connection.resume()

    def finish(self, status: Status, value: bytes = b"") -> None:
        if self.open:
            self.open = False
            self.on_finished(status, value)

    def reject(self) -> None:
        """Give up a long answer for which there is no memory; says nothing of its server."""
        if self.open:
            self.abandon()
            self.on_finished(Status.CANCELLED, b"")

    def abandon(self) -> None:
        """Stop waiting and close the connection.

        Closing tells the server to stop its work, and ensures that the answer is not read as that of a later
        request. A dial continues: the server has already spent the work on it, and the next attempt can use
        the connection.
        """
        if not self.open:
            return
        self.open = False
        if self.connection is not None:
            self.connection.drop(CloseReason.ABANDONED)
