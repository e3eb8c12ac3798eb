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


class Group(Enum):
    """The servers that know each other's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def joins(self, one: ServerEntry, other: ServerEntry) -> bool:
        """Whether two servers drop each other's repeats."""
        if self is Group.ZONE:
            return one.zone == other.zone
        return self is Group.ALL or one.cell == other.cell


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
    MOOT = "moot"
    MISS = "miss"


class Reach(Enum):
    """What the end of an attempt proves of the way to its server."""

    HEARD = "heard"  # something came back
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


NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS)  # proven by the outcome itself


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and what its clients expect."""

    name: str
    aim: float
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window: float = 0.0
    worth: float = 1.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told once, at its start. Only fields that decisions or a host use are kept."""

    classes: dict[str, RequestClass]
    tick: float = 0.005
    aside: bool = False  # a miss is ours to fetch from the origin
    origin_kind: str | None = None
    live_weights: bool = False  # a weight falls with its server's load
    subscribe: bool = False  # changes of the list come only after asking
    second_copies: bool = False
    may_cancel: bool = False
    max_attempts: int = 1
    siblings: int = 1  # routers in all
    zone: str = ""  # of this router
    peers: bool = False  # routers may talk to one another
    connection_idle: float = 60.0  # after this a host closes an idle connection by itself
    dial_timeout: float = 0.25  # a connection that is not up by then has failed
    max_retry_after: float = 0.0  # longest time to come back that clients honour
    connection_price: float = 0.0  # of 100 open connections at every server
    handshake_price: float = 0.0  # of a new connection for every request
    longest_deadline: float = 3.0  # of all classes: for which a client waits, in all its tries
    drain_grace: float = 2.0  # after which nothing new may go to a server that is told to drain, or gone
    cold_share: float = 0.3
    ramp: float = 10.0
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
    since: float = 0.0  # time of the latest start, Unix time by its writer's clock; 0 is long ago
    # the same on the host's clock, if that differs
    started: float | None = field(default=None, compare=False)

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.state is State.READY

    @property
    def start(self) -> float:
        """When it started last, on the host's clock; 0 is long ago."""
        return self.since if self.started is None else self.started


@dataclass(slots=True, frozen=True)
class ServerList:
    """News of the list of servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ListMoved:
    """The list is told by another discovery from now on; the watch on the one before has ended."""


@dataclass(slots=True, frozen=True)
class Offline:
    """Operators took a cache server out: nothing new goes to it, whatever the list says, until it is back."""

    server: str


@dataclass(slots=True, frozen=True)
class Online:
    """Operators gave a cache server back. It was restarted meanwhile: nothing learned of it holds."""

    server: str
    since: (
        float  # when it was given back, on the host's clock (s); a process that learns of it later needs it
    )


@dataclass(slots=True, frozen=True)
class Serving:
    """Whether new requests are wanted; while they are not, each is refused before anything is sent for it."""

    wanted: bool


@dataclass(slots=True, frozen=True)
class Retuned:
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
    waited: float  # before it was taken, of the time its client waits

    def __init__(
        self,
        request: str,
        request_class: str,
        time_left: float,
        key: str | None = None,
        hint: float | None = None,
        write: bool = False,
        waited: float = 0.0,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.time_left = time_left
        self.key = key
        self.hint = hint
        self.write = write
        self.waited = waited


@dataclass(slots=True, frozen=True)
class Streaming:
    """The answer of an attempt has begun to flow to the client."""

    request: str
    attempt: int
    waited: float = 0.0  # seconds that its first bytes lay unread, as the own process was busy


@dataclass(slots=True, unsafe_hash=True, init=False)
class Outcome:
    """The end of an attempt; `closed` when the request itself has ended."""

    request: str
    attempt: int
    status: Status
    closed: bool
    latency: float

    def __init__(
        self, request: str, attempt: int, status: Status, closed: bool = False, latency: float = 0.0
    ) -> None:
        self.request = request
        self.attempt = attempt
        self.status = status
        self.closed = closed
        self.latency = latency


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    """A timer set earlier is due."""

    token: str

    def __init__(self, token: str) -> None:
        self.token = token


class Door(Protocol):
    """Says at a command's arrival, before anything is spent on it, whether the router can bear it."""

    def pause(
        self, now: float, request_class: str, tenant: str, again: bool, keyed: bool, waited: float
    ) -> float | None:
        """None to let it in, else the seconds after which its client may come back.

        `again` marks what its client repeats, `keyed` what carries an idempotency key, and `waited` is the
        time in seconds for which it lay unread.
        """

    def retuned(self, settings: Settings) -> None:
        """New settings; what is known of the load stays."""


class Watch(Protocol):
    """Hears what attempts prove of zones, by the decision module's one account."""

    def ended(
        self, now: float, zone: str, origin: bool, reach: Reach, pressed: bool = False, missed: bool = False
    ) -> None:
        """An attempt at a server of a zone, or at the origin, has ended or is long overdue; told once.

        `pressed`: it was turned away as crowded, or slower than this router wants; `missed`: the key was not
        there.
        """

    def listed(self, zones: Mapping[str, int]) -> None:
        """How many cache servers the list names in each zone; told by the host."""


@dataclass(slots=True, frozen=True)
class ZonesLeft:
    """What the fleet has left, all of it; an empty one is the end of that.

    Nothing new goes to cache servers of `zones`, but for a trial every `trial_every` seconds at zones that
    are not `forced` out by operators; servers that have started since are not meant, unless the return is
    `paced`. Requests that lose their server so may go elsewhere as long as the survivors get no more than
    `spill` times what they got; what is over is refused at once, the least worth first. `origin`: it can't be
    reached from here either. `shares`: zones that come back, and the share of their servers' points, the
    same ones at every router, that counts until then.
    """

    zones: frozenset[str] = frozenset()
    origin: bool = False
    forced: frozenset[str] = frozenset()
    spill: float = 3.0
    trial_every: float = 0.5
    shares: Mapping[str, float] = field(default_factory=dict, hash=False)
    paced: bool = False


@dataclass(slots=True, frozen=True)
class Preferred:
    """How gladly each zone's cache servers are asked: the share of its size that counts for placing keys.

    A zone that is not named counts whole.
    """

    weights: Mapping[str, float]  # over 0


Event = (
    ServerList
    | ListMoved
    | Offline
    | Online
    | Serving
    | Retuned
    | ZonesLeft
    | Preferred
    | Request
    | Streaming
    | Outcome
    | ClientGone
    | TimerFired
)


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent.

    `within`: the time by which its last byte has to be written, as servers drop a repeat only so long; a host
    that comes to it later does not begin it, and says that it was moot.
    """

    request: str
    server: str
    timeout: float | None  # None: until the client gives up
    within: float | None  # None: whenever there is a connection
    reason: Reason = field(compare=False)

    def __init__(
        self,
        request: str,
        server: str,
        timeout: float | None = None,
        within: float | None = None,
        reason: Reason = Reason.UNKNOWN,
    ) -> None:
        self.request = request
        self.server = server
        self.timeout = timeout
        self.within = within
        self.reason = reason


@dataclass(slots=True, unsafe_hash=True, init=False)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: str
    come_back: float  # how long the client should wait before that; 0 is no advice
    reason: Reason = field(compare=False)

    def __init__(self, request: str, come_back: float = 0.0, reason: Reason = Reason.UNKNOWN) -> None:
        self.request = request
        self.come_back = come_back
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
class Close:
    """Close idle connections to a server."""

    server: str


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay: float
    token: str

    def __init__(self, delay: float, token: str) -> None:
        self.delay = delay
        self.token = token


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the list and its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """One line for staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | Close | SetTimer | Subscribe | Log
