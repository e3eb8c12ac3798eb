"""Everything the decision module is told and everything it may answer.

A host turns its own messages into these events, hands them to `policy.Router.handle`, and carries out
the actions it gets back, in order. Times are seconds on one clock that only advances.

Events and actions are not changed once made. Those of each request write out their constructor: a frozen
dataclass sets each field by a detour, which compiled took 2.9 us for five fields in place of 0.2.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class SettingsError(ValueError):
    """Settings that cannot be used; the message names the field."""


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"  # servers of one group drop a repeat of its key for a while
    UNSAFE = "unsafe"


class DedupGroup(Enum):
    """The servers that know each other's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def includes_both(self, one: ServerEntry, other: ServerEntry) -> bool:
        """Whether two servers drop each other's repeats."""
        if self is DedupGroup.ZONE:
            return one.zone == other.zone
        return self is DedupGroup.ALL or one.cell == other.cell


class State(Enum):
    """A listed server's state."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list already held."""

    DELTA = "delta"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    MISS = "miss"


class Reachability(Enum):
    """What the end of an attempt proves of the way to its server."""

    ANSWERED = "heard"  # something came back
    REFUSED = "refused"  # no connection, or it broke
    SILENT = "silent"  # nothing came, where an answer is long due


class Reason(Enum):
    """Why an attempt begins, or a request ends without an answer of a server's; for logs alone."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"  # beside one that is more likely lost than late
    STORED = "stored"  # by the fetch that it followed
    ORIGIN = "origin"  # a place there is free
    NO_SERVER = "no-server"  # that may take it
    NO_TIME = "no-time"  # left for an attempt
    CROWDED = "crowded"  # it would wait too long
    NO_REPEAT = "no-repeat"  # is permitted
    NO_PLACE = "no-place"  # at the origin in time
    COLD = "cold"  # servers bear no more of it yet
    ZONE_LEFT = "zone-left"  # whose requests the others don't bear
    UNKNOWN = ""


NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS)  # proven by the outcome itself


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and what its clients expect."""

    name: str
    aim: float
    effect: Effect = Effect.SAFE
    group: DedupGroup = DedupGroup.ALL
    repeat_window: float = 0.0
    value: float = 1.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told once, at its start. Only fields that decisions or a host use are kept."""

    classes: dict[str, RequestClass]
    tick: float = 0.005
    cache_aside: bool = False  # a miss is ours to fetch from the origin
    origin_kind: str | None = None
    live_weights: bool = False  # a weight falls with its server's load
    subscribe: bool = False  # changes of the list come only after asking
    hedging: bool = False
    may_cancel: bool = False
    max_attempts: int = 1
    router_count: int = 1  # routers in all
    zone: str = ""  # of this router
    peers: bool = False  # routers may talk to one another
    connection_idle: float = 60.0  # after this a host closes an idle connection by itself
    dial_timeout: float = 0.25  # a connection that is not up by then has failed
    max_retry_after: float = 0.0  # longest time to come back that clients honour
    connection_cost: float = 0.0  # of 100 open connections at every server
    handshake_cost: float = 0.0  # of a new connection for every request
    longest_deadline: float = 3.0  # of all classes: for which a client waits, in all its tries
    drain_grace: float = 2.0  # after which nothing new may go to a server that is told to drain, or gone
    cold_share: float = 0.3
    ramp_time: float = 10.0
    fall_multiple: float = 2.0
    fall_window: float = 1.0


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of the list of servers."""

    server: str
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 0.0
    listed_start: float = 0.0  # time of the latest start, Unix time by its writer's clock; 0 is long ago
    # the same on the host's clock, if that differs
    local_start: float | None = field(default=None, compare=False)

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.state is State.READY

    @property
    def start_time(self) -> float:
        """When it started last, on the host's clock; 0 is long ago."""
        return self.listed_start if self.local_start is None else self.local_start


@dataclass(slots=True, frozen=True)
class ServerList:
    """News of the list of servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class DiscoveryChanged:
    """The list is told by another discovery from now on; the watch on the one before has ended."""


@dataclass(slots=True, frozen=True)
class ServerBanned:
    """Operators took a cache server out: nothing new goes to it, whatever the list says, until it is back."""

    server: str


@dataclass(slots=True, frozen=True)
class BanLifted:
    """Operators gave a cache server back. It was restarted meanwhile: nothing learned of it holds."""

    server: str
    returned_at: (
        float  # when it was given back, on the host's clock (s); a process that learns of it later needs it
    )


@dataclass(slots=True, frozen=True)
class Serving:
    """Whether new requests are wanted; while they are not, each is refused before anything is sent for it."""

    accepting: bool


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings for all that comes from now on; open requests end under those that they began with."""

    settings: Settings


@dataclass(slots=True, unsafe_hash=True, init=False)
class Request:
    """A client's request; it is owed exactly one final answer within `time_left`."""

    request: str
    request_class: str
    time_left: float
    key: str | None
    hint: float | None
    write: bool
    read_delay: float  # before it was taken, of the time its client waits

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
    """The answer of an attempt has begun to flow to the client."""

    request: str
    attempt: int
    read_delay: float = 0.0  # seconds that its first bytes lay unread, as the own process was busy


@dataclass(slots=True, unsafe_hash=True, init=False)
class Outcome:
    """The end of an attempt; `request_ended` when the request itself has ended."""

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
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    """A timer set earlier is due."""

    timer: str

    def __init__(self, timer: str) -> None:
        self.timer = timer


class AdmissionControl(Protocol):
    """Says at a command's arrival, before anything is spent on it, whether the router can bear it."""

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
        """New settings; what is known of the load stays."""


class ReachabilityObserver(Protocol):
    """Hears what attempts prove of zones, by the decision module's one account."""

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
        """How many cache servers the list names in each zone; told by the host."""


@dataclass(slots=True, frozen=True)
class ZoneExit:
    """The zones that the fleet has left, all of them; an empty exit ends the former one.

    Cache servers of `zones` get no new requests, except for a trial every `trial_interval` seconds at zones
    that are not in `forced_zones` (those that operators have taken out). Servers that have started since
    the exit are not affected, unless the return is paced (`paced_return`). Requests that lose their server
    move to another one as long as the surviving servers get no more than `spill_limit` times their normal
    traffic; the rest is refused at once, the requests of the least value first. `origin_unreachable`: this
    router can't reach the origin either. `return_shares`: for each zone that is coming back, the share of
    its servers' ring points that counts so far; all routers choose the same points.
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
    """How gladly each zone's cache servers are asked: the share of its size that counts for placing keys.

    A zone that is not named counts whole.
    """

    weights: Mapping[str, float]  # over 0


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
    | Outcome
    | ClientGone
    | TimerFired
)


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent.

    `write_by`: the time by which the last byte has to be written, as servers drop repeats only for a limited
    time. A host that gets to it later does not send it and reports `Status.NOT_SENT`.
    """

    request: str
    server: str
    timeout: float | None  # None: until the client gives up
    write_by: float | None  # None: whenever there is a connection
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
    """Final answer: not done, and trying again is harmless."""

    request: str
    retry_after: float  # how long the client should wait before that; 0 is no advice
    reason: Reason = field(compare=False)

    def __init__(self, request: str, retry_after: float = 0.0, reason: Reason = Reason.UNKNOWN) -> None:
        self.request = request
        self.retry_after = retry_after
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Fail:
    """Final answer that promises nothing."""

    request: str
    reason: Reason = field(compare=False)

    def __init__(self, request: str, reason: Reason = Reason.UNKNOWN) -> None:
        self.request = request
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Cancel:
    """Stop waiting for an attempt; whether the server stops work is its own matter."""

    request: str
    attempt: int

    def __init__(self, request: str, attempt: int) -> None:
        self.request = request
        self.attempt = attempt


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay: float
    timer: str

    def __init__(self, delay: float, timer: str) -> None:
        self.delay = delay
        self.timer = timer


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the list and its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """One line for staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | CloseIdle | SetTimer | Subscribe | Log
