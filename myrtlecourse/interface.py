"""The types between the decision module and its host: settings, events in, actions out.

A host converts its own messages to these events, passes them to `policy.Router.handle`, and carries out the
actions that it returns, in order. Times are seconds on one monotonic clock.

Events and actions are immutable by convention. Those created for each request write out their constructor: a
frozen dataclass sets each field through `object.__setattr__`, which in compiled code took 2.9 us for five
fields instead of 0.2.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class SettingsError(ValueError):
    """Raised for invalid settings; the message names the field."""


class Effect(Enum):
    """Whether requests of a class may be executed more than once."""

    SAFE = "safe"  # idempotent
    KEYED = "keyed"  # servers of one group drop repeats of its idempotency key for a limited time
    UNSAFE = "unsafe"  # must not be executed twice


class DedupGroup(Enum):
    """The set of servers that drop repeats of each other's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def includes_both(self, one: ServerEntry, other: ServerEntry) -> bool:
        """Return whether two servers drop repeats of each other's keyed requests."""
        if self is DedupGroup.ZONE:
            return one.zone == other.zone
        return self is DedupGroup.ALL or one.cell == other.cell


class State(Enum):
    """The state of a server in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list that the router has."""

    DELTA = "delta"  # changed entries only
    FULL = "full"
    SAVED = "saved"  # a full list from storage, which may be out of date
    FAILED = "failed"  # the list could not be fetched


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the server refused the attempt, as its queue is full
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the host did not send the attempt
    MISS = "miss"  # the server does not have the key


class Reachability(Enum):
    """What the end of an attempt proves about the connection to its server."""

    ANSWERED = "heard"
    REFUSED = "refused"  # the connection failed or broke
    SILENT = "silent"  # no answer, long after one was due


class Reason(Enum):
    """Why an attempt starts, or why a request ends without a server's answer. Only for logs."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"  # the previous attempt is more likely lost than late
    STORED = "stored"  # the fetch that the request waited for has stored its key
    ORIGIN = "origin"  # the origin has capacity for another fetch
    NO_SERVER = "no-server"  # no server may get the request
    NO_TIME = "no-time"  # the deadline is too close for an attempt
    CROWDED = "crowded"  # the request would wait too long at its server
    NO_REPEAT = "no-repeat"  # the class does not permit another attempt
    NO_PLACE = "no-place"  # the origin has no capacity in time
    COLD = "cold"  # all servers are cold and can take no more requests yet
    NO_MEMORY = "no-memory"  # there is no memory for the value until its client reads it
    ZONE_LEFT = "zone-left"  # the fleet has excluded the server's zone; other servers can take no more
    UNKNOWN = ""


# statuses that prove that the server has not executed the request
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and what its clients expect. Times are in seconds."""

    name: str
    aim: float  # target latency: the time from the request to its answer that its clients expect
    effect: Effect = Effect.SAFE
    group: DedupGroup = DedupGroup.ALL
    repeat_window: float = 0.0  # time for which servers drop repeats of a keyed request
    value: float = 1.0  # priority under overload: requests of the least value are refused first


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a router, reduced to what decisions or a host use. Times are in seconds."""

    classes: dict[str, RequestClass]
    tick: float = 0.005  # resolution of timers
    cache_aside: bool = False  # routers, not cache servers, fetch misses from the origin
    origin_kind: str | None = None  # the kind of the list's entries that are origins
    live_weights: bool = False  # listed weights fall with the load of their server
    subscribe: bool = False  # the list and its changes have to be requested with `Subscribe`
    hedging: bool = False  # a request may have several attempts in flight at once
    may_cancel: bool = False  # attempts may be cancelled
    max_attempts: int = 1  # maximum per request
    router_count: int = 1  # routers of the fleet, this one included
    zone: str = ""  # zone of this router
    peers: bool = False  # routers may exchange messages with each other
    connection_idle: float = 60.0  # idle time after which a host closes a connection
    dial_timeout: float = 0.25  # time after which a connection attempt has failed
    max_retry_after: float = 0.0  # longest retry delay that clients obey
    connection_cost: float = 0.0  # cost of 100 open connections at each server
    handshake_cost: float = 0.0  # cost of a new connection for each request
    longest_deadline: float = 3.0  # longest time that clients of any class wait, retries included
    drain_grace: float = 2.0  # time after which a draining or removed server may get no new requests
    cold_share: float = 0.3  # share of its normal traffic that a server can take right after its start
    ramp_time: float = 10.0  # seconds of warm-up after a start, in which that share rises to 1
    fall_multiple: float = 2.0  # a server collapses at this multiple of the traffic that it can serve
    fall_window: float = 1.0  # seconds over which that traffic is counted


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the list of servers."""

    server: str
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 0.0
    listed_start: float = 0.0  # Unix time of its latest start by the clock of the list's writer; 0: long ago
    # the same time on the clock of the router's host (the program that runs it), if that is another clock
    local_start: float | None = field(default=None, compare=False)

    @property
    def ready(self) -> bool:
        """Whether the server may get new requests."""
        return self.state is State.READY

    @property
    def start_time(self) -> float:
        """The time of its latest start on the clock that the host passes to the router; 0: long ago."""
        return self.listed_start if self.local_start is None else self.local_start


@dataclass(slots=True, frozen=True)
class ServerList:
    """The list of servers, or changes to it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class DiscoveryChanged:
    """The list comes from another discovery service from now on; the former subscription has ended."""


@dataclass(slots=True, frozen=True)
class ServerBanned:
    """Operators have banned a cache server: whatever the list says, it gets no requests until `BanLifted`."""

    server: str


@dataclass(slots=True, frozen=True)
class BanLifted:
    """Operators have lifted a ban. The server was restarted meanwhile: what was learned of it is void."""

    server: str
    returned_at: float  # when the ban was lifted, on the router's clock (s); the event may arrive later


@dataclass(slots=True, frozen=True)
class Serving:
    """Whether the router accepts new requests; while it does not, each is refused before anything is sent."""

    accepting: bool


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings for requests from now on; open requests keep those that they began with."""

    settings: Settings


@dataclass(slots=True, unsafe_hash=True, init=False)
class Request:
    """A client's request. It gets exactly one final answer within `time_left` seconds."""

    request: str
    request_class: str
    time_left: float
    key: str | None
    hint: float | None  # the client's estimate of the work (s)
    write: bool
    read_delay: float  # seconds from its arrival until the host read it

    def __init__(
        self,
        request: str,
        request_class: str,
        time_left: float,
        key: str | None = None,
        hint: float | None = None,
        write: bool = False,
        read_delay: float = 0.0,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.time_left = time_left
        self.key = key
        self.hint = hint
        self.write = write
        self.read_delay = read_delay


@dataclass(slots=True, frozen=True)
class Streaming:
    """The first bytes of an attempt's answer have been passed on to the client."""

    request: str
    attempt: int
    read_delay: float = 0.0  # seconds for which these bytes lay unread, as the host's process was busy


@dataclass(slots=True, frozen=True)
class AnswerStalled:
    """The answer of an attempt has begun, and its server has given no more of it for a while.

    `replaceable`: a whole answer from elsewhere would do as well; a long one may be on its way to the client.
    """

    request: str
    attempt: int
    replaceable: bool


@dataclass(slots=True, unsafe_hash=True, init=False)
class Outcome:
    """The end of an attempt; `latency` is in seconds. `request_ended`: the request has ended, too."""

    request: str
    attempt: int
    status: Status
    request_ended: bool
    latency: float

    def __init__(
        self, request: str, attempt: int, status: Status, request_ended: bool = False, latency: float = 0.0
    ) -> None:
        self.request = request
        self.attempt = attempt
        self.status = status
        self.request_ended = request_ended
        self.latency = latency


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has disconnected; the request needs no answer any more."""

    request: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    """A timer set with `SetTimer` has fired."""

    timer: str

    def __init__(self, timer: str) -> None:
        self.timer = timer


class AdmissionControl(Protocol):
    """Decides at a command's arrival whether the router has capacity for it, before any work is done."""

    def retry_delay(
        self,
        now: float,
        request_class: str,
        tenant: str,
        is_retry: bool,
        has_idempotency_key: bool,
        read_delay: float,
    ) -> float | None:
        """Return None to admit a command, else the seconds after which its client may retry.

        `is_retry` marks a command that its client repeats, `has_idempotency_key` one that carries an
        idempotency key; `read_delay` is the time in seconds for which it lay unread in the socket's buffer.
        """

    def settings_changed(self, settings: Settings) -> None:
        """Apply new settings; the load measured so far stays."""


class ReachabilityObserver(Protocol):
    """Receives what the end of each attempt proves about the reachability of zones and the origin."""

    def attempt_ended(
        self,
        now: float,
        zone: str,
        origin: bool,
        reachability: Reachability,
        overloaded: bool = False,
        key_missed: bool = False,
    ) -> None:
        """Record that an attempt at a server of a zone, or at the origin, has ended or is long overdue.

        Called once for each attempt. `overloaded`: the server rejected it as overloaded, or answered later
        than this router's target; `key_missed`: the server did not have the key.
        """

    def servers_listed(self, zones: Mapping[str, int]) -> None:
        """Set the number of listed cache servers of each zone. The host calls it."""


@dataclass(slots=True, frozen=True)
class ZoneExit:
    """All zones that the fleet has excluded; an empty exit ends the former one.

    Cache servers of `zones` get no new requests, except for a probe every `trial_interval` seconds at zones
    that are not in `forced_zones` (those that operators have excluded). Servers that have started since the
    exit are not affected, unless the return is paced (`paced_return`). Displaced requests, whose own server
    is in an excluded zone, move to another server as long as the remaining servers get no more than
    `spill_limit` times their normal traffic; the rest is refused at once, the requests of the least value
    first. `origin_unreachable`: this router can't reach the origin. `return_shares`: for each zone that is
    returning, the share of its servers' ring points that counts so far; all routers choose the same points.
    """

    zones: frozenset[str] = frozenset()
    origin_unreachable: bool = False
    forced_zones: frozenset[str] = frozenset()
    spill_limit: float = 3.0
    trial_interval: float = 0.5
    return_shares: Mapping[str, float] = field(default_factory=dict, hash=False)
    paced_return: bool = False


@dataclass(slots=True, frozen=True)
class ZonePreferences:
    """The preference for each zone's cache servers: a factor on their size, by which they get ring points.

    The factor of a zone that is not named is 1.
    """

    weights: Mapping[str, float]  # positive factors by zone


Event = (
    ServerList
    | DiscoveryChanged
    | ServerBanned
    | BanLifted
    | Serving
    | SettingsChanged
    | ZoneExit
    | ZonePreferences
    | Request
    | Streaming
    | AnswerStalled
    | Outcome
    | ClientGone
    | TimerFired
)


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order sent.

    `write_by` is the send deadline: the time by which the last byte has to be sent, as servers drop repeats
    only for a limited time. A host that can't meet it does not send the attempt and reports
    `Status.NOT_SENT`.
    """

    request: str
    server: str
    timeout: float | None  # seconds; None: until the client gives up
    write_by: float | None  # seconds on the router's clock; None: no limit
    reason: Reason = field(compare=False)

    def __init__(
        self,
        request: str,
        server: str,
        timeout: float | None = None,
        write_by: float | None = None,
        reason: Reason = Reason.UNKNOWN,
    ) -> None:
        self.request = request
        self.server = server
        self.timeout = timeout
        self.write_by = write_by
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Refuse:
    """Final answer: the request has not been executed and may safely be retried."""

    request: str
    retry_after: float  # seconds that the client should wait before a retry; 0: no advice
    reason: Reason = field(compare=False)

    def __init__(self, request: str, retry_after: float = 0.0, reason: Reason = Reason.UNKNOWN) -> None:
        self.request = request
        self.retry_after = retry_after
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Fail:
    """Final answer: the request failed, and may or may not have been executed."""

    request: str
    reason: Reason = field(compare=False)

    def __init__(self, request: str, reason: Reason = Reason.UNKNOWN) -> None:
        self.request = request
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Cancel:
    """Stop waiting for an attempt. The server may or may not stop working on it."""

    request: str
    attempt: int

    def __init__(self, request: str, attempt: int) -> None:
        self.request = request
        self.attempt = attempt


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    """Request a `TimerFired` after a delay (seconds)."""

    delay: float
    timer: str

    def __init__(self, delay: float, timer: str) -> None:
        self.delay = delay
        self.timer = timer


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Request the list and, from now on, its changes."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = Send | Refuse | Fail | Cancel | CloseIdle | SetTimer | Subscribe | Log
