"""The state of servers, attempts and open requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from myrtlecourse import interface as api
from myrtlecourse.evidence import Evidence
from myrtlecourse.policy import tuning


@dataclass(slots=True, eq=False)
class Server:
    """A listed server and what this router knows of it. Times are in seconds on the router's clock."""

    entry: api.ServerEntry
    is_cache: bool = True  # False for an origin server
    started_at: float = 0.0  # time of its latest start; 0: long ago
    banned: bool = False  # whether operators have banned it
    in_flight: int = 0  # number of this router's attempts that hold a slot
    size: float = 1.0  # its weight, or where weights fall with load, the largest weight of its kind
    reported_load: float = 0.0  # requests in flight per unit of size, of all routers, some seconds ago
    ring_points: int = 0  # its virtual nodes on the ring
    ring_number: int = -1  # its number on the ring, while it has points
    limit: float = tuning.INITIAL_LIMIT  # upper bound of `in_flight`, adapted by `limits.py`
    limit_cut_at: float = -math.inf
    latency_ratio: float = 0.0  # smoothed latency of answers as a share of the target
    last_used_at: float = 0.0  # end of the latest attempt
    consecutive_failures: int = 0
    exclusion_time: float = 0.0  # length of its latest exclusion
    excluded_until: float = -math.inf  # time before which it gets no new requests
    zone_excluded: bool = False  # whether the fleet has excluded its zone
    ring_share: float = 1.0  # share of its points that counts: below 1 while its zone returns gradually
    evidence: Evidence = field(default_factory=Evidence)

    @property
    def ready(self) -> bool:
        """Whether the server may get new requests."""
        return self.entry.ready and not self.banned


@dataclass(slots=True, eq=False, init=False)
class Attempt:
    """One attempt of a request."""

    server: Server
    target_latency: float  # if answers take longer on average, too many attempts are in flight
    sent_at: float
    open: bool
    may_have_run: bool  # False once an outcome proves that the server did not execute it
    holds_slot: bool  # True until its answer starts, it ends, or its answer is more likely lost than late
    response_begun: bool  # whether a long answer has started
    overdue: bool  # whether it was reported as overdue to the reachability observer

    def __init__(self, server: Server, target_latency: float, sent_at: float) -> None:
        self.server = server
        self.target_latency = target_latency
        self.sent_at = sent_at
        self.open = True
        self.may_have_run = True
        self.holds_slot = True
        self.response_begun = False
        self.overdue = False

    def release_slot(self) -> None:
        """Release this attempt's slot at its server for other attempts."""
        self.server.in_flight -= self.holds_slot
        self.holds_slot = False


@dataclass(slots=True, eq=False, init=False)
class PendingRequest:
    """A request that has not got its final answer yet."""

    request: api.Request
    request_class: api.RequestClass
    settings: api.Settings  # the settings at its arrival
    deadline: float  # time after which an answer is useless
    to_origin: bool
    attempts: list[Attempt]
    queued: bool  # whether it waits for capacity of the origin, or for any server
    streaming: bool  # whether the client has received the first bytes of an answer
    missed_servers: list[Server]  # servers that did not have its key: a fetch stores the key there
    displaced: bool  # whether a zone exit sends it to another server than its key's own one

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
        self.displaced = False

    def open_attempts(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(a.open for a in self.attempts)
