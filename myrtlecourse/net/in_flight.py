"""Requests in flight, their attempts on the network, and the destination of each request's single answer.

The decision module keeps records of its own of requests and attempts (`policy.state`); the two sides identify
them by the request's id and the attempt's number.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from myrtlecourse import interface as api
from myrtlecourse.net.command import Command
from myrtlecourse.net.delivery import MIN_RATE
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.timers import Timer

if TYPE_CHECKING:
    from myrtlecourse.net.host import Host


class AnswerSink(Protocol):
    """The destination of a request's answer, which is either sent whole or streamed in chunks."""

    def send(self, answer: bytes) -> None:
        """Send a whole answer."""

    def begin_stream(self, length: int, source: Exchange) -> None:
        """Begin a streamed value of `length` bytes; `source` is the attempt's exchange with the server, which
        can be paused and resumed."""

    def write_chunk(self, data: bytes) -> None:
        """Send the next bytes of the streamed value."""

    def end_stream(self) -> None:
        """End the streamed value, all of which has been sent."""

    def abort_stream(self) -> None:
        """End the streamed value before it is complete, by an error in its place if nothing of it has been
        sent; otherwise the closed connection shows the client that it is incomplete."""

    def may_continue_late(self) -> bool:
        """Return whether a streamed answer that has begun may go on past its request's deadline."""

    def waits_behind_others(self) -> bool:
        """Return whether a streamed answer waits for its turn, so that its client has nothing of it."""

    def has_room_for(self, size: int) -> bool:
        """Return whether an answer of `size` bytes may be held until the client takes it."""

    def client_connected(self) -> bool:
        """Return whether the client is still connected; works even while its connection is not read."""


class Attempt:
    """An attempt on the network, from the decision to send it until its outcome is known.

    It receives the answer from its `Exchange` as that one's `AnswerReceiver`.
    """

    __slots__ = (
        "deadline",
        "exchange",
        "host",
        "number",
        "process",
        "received_bytes",
        "request",
        "send_deadline",
        "sent_at",
        "server",
        "stream_started_at",
        "timeout_timer",
    )

    def __init__(
        self, host: Host, request: RequestInFlight, sent_at: float, server: str, send_deadline: float | None
    ) -> None:
        self.host = host
        self.request = request
        self.number = request.attempts_started
        self.sent_at = sent_at
        self.server = server
        self.process: tuple[str, float] | None = None  # the server's process when the attempt began
        # The time on the router's clock (`net.clock`) by which the last byte of the request must be sent:
        # from then on servers may no longer recognise it as a repeat of an earlier attempt.
        self.send_deadline = math.inf if send_deadline is None else send_deadline
        self.deadline = request.deadline  # until when the router waits for the answer
        self.stream_started_at = 0.0  # when a streamed answer began; 0 if none has
        self.received_bytes = 0  # of a streamed answer, since its progress was last judged
        self.exchange: Exchange | None = None
        self.timeout_timer: Timer | None = None

    def finish(self, status: api.Status, value: bytes) -> None:
        """Record the outcome; the value of a streamed answer is empty."""
        self.host.finish_attempt(self.request, self, status, value)

    def may_start(self) -> bool:
        """Return whether the request may still be sent, as the attempt may have waited for a connection."""
        return self.host.may_start(self)

    def time_left(self) -> float:
        """Return the seconds for which the router will wait for the answer."""
        return self.deadline - self.host.clock.now()

    def send_time_left(self) -> float:
        """Return the seconds within which the last byte of the request must be sent."""
        return self.send_deadline - self.host.clock.now()

    def on_answer_stalled(self, replaceable: bool) -> None:
        """Tell the decision module, which may start another attempt."""
        log = self.host.request_log
        if log.enabled:
            log.event(self.request.request_id, "stalled", no=self.number, replaceable=replaceable)
        self.host.post(api.AnswerStalled(self.request.request_id, self.number, replaceable))

    def begin_stream(self, length: int, source: Exchange) -> bool:
        """Begin to stream a value of `length` bytes to the client; return False if it is no longer wanted."""
        return self.host.begin_stream(self.request, self, length, source)

    def write_chunk(self, data: bytes) -> None:
        """Forward a chunk of the streamed value, unless the request is closed."""
        self.received_bytes += len(data)
        if not self.request.closed:
            self.request.answer_sink.write_chunk(data)

    def begin_progress_interval(self) -> None:
        """Begin an interval over which `made_progress` judges the streamed answer."""
        self.received_bytes = 0
        if self.exchange is not None:
            self.exchange.begin_pause_record()

    def made_progress(self, seconds: float) -> bool:
        """Return whether enough of the streamed answer came in an interval, or its client held it up.

        How long a client may do so is limited where its reading is judged (`net.listener`).
        """
        held_up = self.exchange is not None and self.exchange.was_paused
        return held_up or self.received_bytes >= MIN_RATE * seconds


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
        "effect",
        "open_attempts",
        "request_id",
        "settings",
        "streaming_attempt",
    )

    def __init__(
        self,
        request_id: str,
        command: Command,
        settings: api.Settings,
        deadline: float,
        answer_sink: AnswerSink,
        effect: api.Effect = api.Effect.SAFE,
    ) -> None:
        self.effect = effect
        self.request_id = request_id
        self.settings = settings  # the settings in force when the request began
        self.command = command
        self.deadline = deadline
        self.answer_sink = answer_sink
        self.deadline_timer: Timer | None = None
        self.attempts_started = 0  # number of attempts, including those that have ended; also numbers them
        # whether the whole answer has been handed to `answer_sink` or the client has disconnected; attempts
        # may still be open then
        self.closed = False
        self.deadline_passed = False  # from then on no attempt is started
        self.streaming_attempt: Attempt | None = None  # the attempt whose answer is streamed to the client
        self.open_attempts: dict[int, Attempt] = {}
