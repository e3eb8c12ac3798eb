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
    is_cache: bool = True  # or the origin
    started_at: float = 0.0  # 0: long ago
    banned: bool = False  # by operators, until they give it back
    in_flight: int = 0  # own attempts whose answers may still come, or begin to
    size: float = 1.0  # its weight, steady
    reported_load: float = 0.0  # requests held for each unit of size, by all routers, seconds ago
    ring_points: int = 0  # that it has on the ring
    ring_number: int = -1  # there, while it has any
    limit: float = tuning.INITIAL_LIMIT  # of own attempts in flight
    limit_cut_at: float = -math.inf
    latency_ratio: float = 0.0  # smoothed share of the target that answers take, as one says little
    last_used_at: float = 0.0  # last end of an attempt
    consecutive_failures: int = 0  # in a row
    exclusion_time: float = 0.0
    excluded_until: float = -math.inf
    zone_left: bool = False  # with its zone, by the fleet
    ring_share: float = 1.0  # of its points that count, while its zone comes back
    evidence: Evidence = field(default_factory=Evidence)

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.entry.ready and not self.banned


@dataclass(slots=True, eq=False, init=False)
class Attempt:
    """One send of a request."""

    server: Server
    target_latency: float  # slower than this means too many are out
    sent_at: float
    is_open: bool
    may_have_run: bool  # until an outcome proves the contrary
    holds_slot: bool  # until its answer comes or begins, or is more likely lost than late
    response_begun: bool  # its answer, a long one
    reported_overdue: bool  # which has been told to who watches

    def __init__(self, server: Server, target_latency: float, sent_at: float) -> None:
        self.server = server
        self.target_latency = target_latency
        self.sent_at = sent_at
        self.is_open = True
        self.may_have_run = True
        self.holds_slot = True
        self.response_begun = False
        self.reported_overdue = False

    def release_slot(self) -> None:
        """Leave its place to others."""
        self.server.in_flight -= self.holds_slot
        self.holds_slot = False


@dataclass(slots=True, eq=False, init=False)
class PendingRequest:
    """A request that is owed its final answer."""

    request: api.Request
    request_class: api.RequestClass
    settings: api.Settings  # that it began under, whatever holds by now
    deadline: float  # no use in waiting for longer
    to_origin: bool
    attempts: list[Attempt]
    queued: bool  # for a place at the origin, or for any server at all
    streaming: bool
    missed_servers: list[Server]  # that lacked its key: a fetch stores it there
    moved: bool  # away from a zone that is left

    def __init__(
        self,
        request: api.Request,
        request_class: api.RequestClass,
        settings: api.Settings,
        deadline: float,
        to_origin: bool,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.settings = settings
        self.deadline = deadline
        self.to_origin = to_origin
        self.attempts = []
        self.queued = False
        self.streaming = False
        self.missed_servers = []
        self.moved = False

    def open_attempts(self) -> int:
        return sum(a.is_open for a in self.attempts)
