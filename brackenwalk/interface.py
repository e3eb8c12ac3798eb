"""Everything the decision module is told and everything it may answer.

A host turns its own messages into these events, hands them to `policy.Router.handle`, and carries out
the actions it gets back, in order. Times are seconds on one clock that only advances.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
    connection_idle: float = 60.0  # after this a host closes an idle connection by itself
    dial_timeout: float = 0.25  # a connection that is not up by then has failed
    max_retry_after: float = 0.0  # longest time to come back that clients honour
    connection_price: float = 0.0  # of 100 open connections at every server
    handshake_price: float = 0.0  # of a new connection for every request
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
    since: float = 0.0  # time of the latest start; 0 is long ago

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.state is State.READY


@dataclass(slots=True, frozen=True)
class ServerList:
    """News of the list of servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ListMoved:
    """The list is told by another discovery from now on; the watch on the one before has ended."""


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; it is owed exactly one final answer within `time_left`."""

    request: str
    request_class: str
    time_left: float
    key: str | None = None
    hint: float | None = None
    write: bool = False


@dataclass(slots=True, frozen=True)
class Streaming:
    """The answer of an attempt has begun to flow to the client."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of an attempt; `closed` when the request itself has ended."""

    request: str
    attempt: int
    status: Status
    closed: bool = False
    latency: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


Event = ServerList | ListMoved | Request | Streaming | Outcome | ClientGone | TimerFired


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order sent."""

    request: str
    server: str
    timeout: float | None = None  # None: until the client gives up


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: str
    come_back: float = 0.0  # how long the client should wait before that; 0 is no advice


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that promises nothing."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt; whether the server stops work is its own matter."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Close:
    """Close idle connections to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay: float
    token: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the list and its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """One line for staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | Close | SetTimer | Subscribe | Log
