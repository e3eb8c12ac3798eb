"""Requests in flight, their attempts, and the destination of each request's single answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from myrtlecourse import interface as api
from myrtlecourse.net.command import Command
from myrtlecourse.net.connection import Exchange
from myrtlecourse.net.timers import Timer

if TYPE_CHECKING:
    from myrtlecourse.net.host import Host


class AnswerSink(Protocol):
    """The destination of a request's answer, which is either sent whole or streamed in chunks."""

    def send(self, answer: bytes) -> None:
        """Send a whole answer."""

    def begin_stream(self, length: int, source: Exchange) -> None:
        """Begin a streamed value of `length` bytes; `source` can be paused and resumed."""

    def write_chunk(self, data: bytes) -> None:
        """Send the next bytes of the streamed value."""

    def end_stream(self) -> None:
        """End the streamed value, which is complete."""

    def abort_stream(self) -> None:
        """End the streamed value, which stays incomplete, so that the client can tell."""

    def client_connected(self) -> bool:
        """Return whether the client has not hung up, even while its connection is not read."""


class Attempt:
    """An attempt of a request that has no outcome yet."""

    __slots__ = (
        "deadline",
        "exchange",
        "host",
        "number",
        "request",
        "sent_at",
        "server",
        "stream_started_at",
        "timeout_timer",
        "write_deadline",
    )

    def __init__(
        self, host: Host, request: RequestInFlight, sent_at: float, server: str, write_deadline: float | None
    ) -> None:
        self.host = host
        self.request = request
        self.number = request.attempts_started
        self.sent_at = sent_at
        self.server = server
        # on the host's clock; the request has to be written by then
        self.write_deadline = math.inf if write_deadline is None else write_deadline
        self.deadline = request.deadline  # the router does not wait for an answer after this
        self.stream_started_at = 0.0  # when a streamed answer began; 0 if none has
        self.exchange: Exchange | None = None
        self.timeout_timer: Timer | None = None

    def finish(self, status: api.Status, value: bytes) -> None:
        self.host.finish_attempt(self.request, self, status, value)

    def may_start(self) -> bool:
        return self.host.may_start(self)

    def time_left(self) -> float:
        return self.deadline - self.host.clock.now()

    def write_time_left(self) -> float:
        return self.write_deadline - self.host.clock.now()

    def begin_stream(self, length: int, source: Exchange) -> bool:
        return self.host.begin_stream(self.request, self, length, source)

    def write_chunk(self, data: bytes) -> None:
        if not self.request.closed:
            self.request.answer_sink.write_chunk(data)


class RequestInFlight:
    """A request, kept until it has been answered and all its attempts have ended."""

    __slots__ = (
        "answer_sink",
        "attempts_started",
        "closed",
        "command",
        "deadline",
        "deadline_passed",
        "deadline_timer",
        "open_attempts",
        "request_id",
        "settings",
        "streaming",
    )

    def __init__(
        self,
        request_id: str,
        command: Command,
        settings: api.Settings,
        deadline: float,
        answer_sink: AnswerSink,
    ) -> None:
        self.request_id = request_id
        self.settings = settings  # those in force when the request began
        self.command = command
        self.deadline = deadline
        self.answer_sink = answer_sink
        self.deadline_timer: Timer | None = None
        self.attempts_started = 0  # including those that have ended
        self.closed = False  # answered, or the client has disconnected
        self.deadline_passed = False
        self.streaming: Attempt | None = None  # the attempt whose answer is streamed to the client
        self.open_attempts: dict[int, Attempt] = {}
