"""A request that was taken, its attempts, and where its one answer goes."""

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
    """Where a request's one answer goes: whole, or a long value as it comes."""

    def send(self, answer: bytes) -> None:
        """The whole answer."""

    def begin_stream(self, length: int, source: Exchange) -> None:
        """A value of so many bytes begins; its source can be paused."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of it."""

    def end_stream(self) -> None:
        """It is whole."""

    def abort_stream(self) -> None:
        """It will never be whole, and the client must be able to tell."""

    def client_connected(self) -> bool:
        """Whether its client has not hung up, also while it is not read."""


class Attempt:
    """One send of a request that has had no outcome yet."""

    __slots__ = (
        "stream_started_at",
        "deadline",
        "exchange",
        "host",
        "number",
        "sent_at",
        "server",
        "request",
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
        self.write_deadline = (
            math.inf if write_deadline is None else write_deadline
        )  # by then it is written (the host's clock)
        self.deadline = request.deadline  # its router waits no longer
        self.stream_started_at = 0.0  # of a long answer
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
    """A request, kept until nothing is owed for it and nothing of it is out."""

    __slots__ = (
        "open_attempts",
        "closed",
        "command",
        "deadline",
        "deadline_timer",
        "request_id",
        "deadline_passed",
        "answer_sink",
        "attempts_started",
        "settings",
        "streaming",
    )

    def __init__(
        self, name: str, command: Command, settings: api.Settings, deadline: float, reply: AnswerSink
    ) -> None:
        self.request_id = name
        self.settings = settings  # that it began under
        self.command = command
        self.deadline = deadline
        self.answer_sink = reply
        self.deadline_timer: Timer | None = None
        self.attempts_started = 0  # attempts, whatever became of them
        self.closed = False  # answered, or its client is gone
        self.deadline_passed = False
        self.streaming: Attempt | None = None  # whose answer is passed on as it comes
        self.open_attempts: dict[int, Attempt] = {}
