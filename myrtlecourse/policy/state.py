"""What the module holds of a server, of an attempt and of a request."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse import interface as api
from myrtlecourse.evidence import Evidence
from myrtlecourse.policy import tuning


@dataclass(slots=True, eq=False)
class Server:
    """A listed server as this router sees it."""

    entry: api.ServerEntry
    cache: bool = True  # or the origin
    started: float = 0.0  # 0: long ago
    banned: bool = False  # by operators, until they give it back
    load: int = 0  # own attempts whose answers may still come, or begin to
    size: float = 1.0  # its weight, steady
    reported: float = 0.0  # requests held for each unit of size, by all routers, seconds ago
    points: int = 0  # that it has on the ring
    number: int = -1  # there, while it has any
    limit: float = tuning.LIMIT_START  # of own attempts in flight
    cut_at: float = -math.inf
    slowness: float = 0.0  # smoothed share of the target that answers take, as one says little
    used_at: float = 0.0  # last end of an attempt
    failures: int = 0  # in a row
    pause: float = 0.0
    out_until: float = -math.inf
    left: bool = False  # with its zone, by the fleet
    share: float = 1.0  # of its points that count, while its zone comes back
    evidence: Evidence = field(default_factory=Evidence)

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.entry.ready and not self.banned


@dataclass(slots=True, eq=False, init=False)
class Attempt:
    """One send of a request."""

    server: Server
    target: float  # slower than this means too many are out
    sent_at: float
    open: bool
    may_have_run: bool  # until an outcome proves the contrary
    placed: bool  # until its answer comes or begins, or is more likely lost than late
    begun: bool  # its answer, a long one
    overdue: bool  # which has been told to who watches

    def __init__(self, server: Server, target: float, sent_at: float) -> None:
        self.server = server
        self.target = target
        self.sent_at = sent_at
        self.open = True
        self.may_have_run = True
        self.placed = True
        self.begun = False
        self.overdue = False

    def free(self) -> None:
        """Leave its place to others."""
        self.server.load -= self.placed
        self.placed = False


@dataclass(slots=True, eq=False, init=False)
class Held:
    """A request that is owed its final answer."""

    request: api.Request
    request_class: api.RequestClass
    settings: api.Settings  # that it began under, whatever holds by now
    until: float  # no use in waiting for longer
    to_origin: bool
    attempts: list[Attempt]
    waiting: bool  # for a place at the origin, or for any server at all
    streaming: bool
    missed: list[Server]  # that lacked its key: a fetch stores it there
    moved: bool  # away from a zone that is left

    def __init__(
        self,
        request: api.Request,
        request_class: api.RequestClass,
        settings: api.Settings,
        until: float,
        to_origin: bool,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.settings = settings
        self.until = until
        self.to_origin = to_origin
        self.attempts = []
        self.waiting = False
        self.streaming = False
        self.missed = []
        self.moved = False

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)
