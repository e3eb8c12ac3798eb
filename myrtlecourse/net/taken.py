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


class Reply(Protocol):
    """Where a request's one answer goes: whole, or a long value as it comes."""

    def fill(self, answer: bytes) -> None:
        """The whole answer."""

    def begin(self, length: int, source: Exchange) -> None:
        """A value of so many bytes begins; its source can be paused."""

    def piece(self, data: bytes) -> None:
        """The next bytes of it."""

    def end(self) -> None:
        """It is whole."""

    def cut(self) -> None:
        """It will never be whole, and the client must be able to tell."""

    def there(self) -> bool:
        """Whether its client has not hung up, also while it is not read."""


class Attempt:
    """One send of a request that has had no outcome yet."""

    __slots__ = (
        "begun_at",
        "ends_at",
        "exchange",
        "host",
        "number",
        "sent_at",
        "server",
        "taken",
        "timer",
        "within",
    )

    def __init__(self, host: Host, taken: Taken, sent_at: float, server: str, within: float | None) -> None:
        self.host = host
        self.taken = taken
        self.number = taken.sent
        self.sent_at = sent_at
        self.server = server
        self.within = math.inf if within is None else within  # by then it is written (the host's clock)
        self.ends_at = taken.deadline  # its router waits no longer
        self.begun_at = 0.0  # of a long answer
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None

    def done(self, status: api.Status, value: bytes) -> None:
        self.host.finish(self.taken, self, status, value)

    def may_begin(self) -> bool:
        return self.host.may_begin(self)

    def time_left(self) -> float:
        return self.ends_at - self.host.clock.now()

    def latest(self) -> float:
        return self.within - self.host.clock.now()

    def begin(self, length: int, source: Exchange) -> bool:
        return self.host.begin(self.taken, self, length, source)

    def piece(self, data: bytes) -> None:
        if not self.taken.closed:
            self.taken.reply.piece(data)


class Taken:
    """A request, kept until nothing is owed for it and nothing of it is out."""

    __slots__ = (
        "attempts",
        "closed",
        "command",
        "deadline",
        "expiry",
        "name",
        "overdue",
        "reply",
        "sent",
        "settings",
        "streaming",
    )

    def __init__(
        self, name: str, command: Command, settings: api.Settings, deadline: float, reply: Reply
    ) -> None:
        self.name = name
        self.settings = settings  # that it began under
        self.command = command
        self.deadline = deadline
        self.reply = reply
        self.expiry: Timer | None = None
        self.sent = 0  # attempts, whatever became of them
        self.closed = False  # answered, or its client is gone
        self.overdue = False
        self.streaming: Attempt | None = None  # whose answer is passed on as it comes
        self.attempts: dict[int, Attempt] = {}
