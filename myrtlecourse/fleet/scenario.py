"""What fleet to stand in for, and what happens to it: the scenario file, read by one strict schema.

A scenario is TOML. A field that is unknown, of the wrong type or out of its bounds is an error that names it.
The same scenario, with its seed, gives the same boxes and the same faults. Times are in seconds, sizes in
bytes, work in seconds of a core of speed 1.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.load.profile import Name, Share

Time = Annotated[float, Meta(ge=0.0, le=86_400.0)]
Positive = Annotated[float, Meta(gt=0.0, le=86_400.0)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
Effect = Literal["free", "guarded", "single_shot"]


class ScenarioError(ValueError):
    """A scenario that can't be used; the message names the file and the field."""


class ServerKind(Struct, forbid_unknown_fields=True, frozen=True):
    """A kind of cache box and how many there are of it."""

    name: Name
    boxes: Count = 1
    cores: Annotated[int, Meta(ge=1, le=1024)] = 4
    speed: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0  # of a core
    queue: Annotated[int, Meta(ge=0, le=1_000_000)] = 500  # requests that wait; what comes on top is `-BUSY`
    memory: Annotated[int, Meta(ge=0)] = 64 * 1024 * 1024
    ttl: Positive = 86_400.0  # of a kept value
    miss: Share = 0.05  # of a request's work that it takes to find that the key is not there
    handshake: Time = 0.001  # work of a new connection
    errors: Share = 0.0  # of requests that end in `-ERR failed`
    connections: Count = 2000  # that it holds; one on top is closed
    idle: Positive = 5.0  # after which an idle connection is closed
    weight: Annotated[float, Meta(gt=0.0, le=1e6)] | None = None  # as listed; not given: its size
    cold: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.4  # share of its capacity just after a start
    warm_up: Time = 5.0
    drops_expired: bool = True  # what waited past its deadline is turned away and not worked on


class Origin(Struct, forbid_unknown_fields=True, frozen=True):
    """Where misses and writes go: a slow store behind HTTP/1.1."""

    slots: Count = 8  # requests that it works on at a time
    time: Positive = 0.05  # that one takes
    queue: Annotated[int, Meta(ge=0, le=1_000_000)] = 100  # that wait; what comes on top is 503, not started
    connections: Count = 1000
    idle: Positive = 5.0
    errors: Share = 0.0


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """How late the list is, and what a call costs the one service behind all routers."""

    notice: Time = 2.0  # from the end of a process until the list says so
    silent_notice: Time = 8.0  # the same of a machine that is cut off
    added: Time = 1.0  # from a start until it is listed
    lines_a_second: Positive = 2000.0  # of answers; calls are worked through in turn


class RequestClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests, as the routers' settings tell it, and the work that one is."""

    name: Name
    work: Time = 0.005
    size: Annotated[int, Meta(ge=1, le=16 * 1024 * 1024)] = 256  # of a value read
    spread: Annotated[float, Meta(ge=0.0, le=5.0)] = 0.5  # standard deviation of its logarithm
    aim: Positive = 0.5
    deadline: Positive = 1.0
    effect: Effect = "free"
    group: Literal["all", "zone", "cell"] = "all"
    window: Positive = 15.0  # for which a repeat of a key is dropped
    worth: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0


class Peers(Struct, forbid_unknown_fields=True, frozen=True):
    """Routers talk to one another, over a network that loses, delays and copies datagrams."""

    loss: Share = 0.0
    copies: Share = 0.0  # that come once more
    delay: Time = 0.0005
    spread: Time = 0.0  # more than that at most: datagrams pass one another
    spill: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0  # of the routers' `[fleet]`
    leave_origin: bool = False
    paced: bool = True
    origin_rate: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0
    interval: Positive = 1.0
    regions: dict[str, tuple[str, ...]] = {}  # zones, by the region's name
    own_region: Share = 1.0
    elsewhere: Share = 1.0


class DutySpec(Struct, forbid_unknown_fields=True, frozen=True):
    """A duty in numbered steps, whose command writes down that it was run."""

    name: Name
    preferred: tuple[int, ...] = ()  # routers, counted from 0
    every: Positive = 0.3
    good_for: Positive = 0.5


class Duties(Struct, forbid_unknown_fields=True, frozen=True):
    """Duties that one router holds at a time, over the network of `peers`."""

    voters: Annotated[tuple[int, ...], Meta(min_length=1, max_length=7)]  # routers, counted from 0
    each: Annotated[tuple[DutySpec, ...], Meta(min_length=1, max_length=16)]
    memory: bool = True  # each router has a file of its own
    heartbeat: Positive = 0.1
    lease: Positive = 0.5
    settle: Time = 0.3
    unwell: Time = 0.3
    unheard: Positive = 1.5
    brake: Positive = 2.0


class Freeze(Struct, forbid_unknown_fields=True, frozen=True, tag="freeze", tag_field="what"):
    """The process stands still, and goes on where it stood."""

    at: Time
    box: str
    seconds: Positive


class Crash(Struct, forbid_unknown_fields=True, frozen=True, tag="crash", tag_field="what"):
    """The process ends: connections are reset, new ones refused. It comes back cold and empty."""

    at: Time
    seconds: Positive
    box: str | None = None  # one box, or
    zone: str | None = None  # all boxes of a zone


class Replace(Struct, forbid_unknown_fields=True, frozen=True, tag="replace", tag_field="what"):
    """A rolling replacement: a box drains, ends, and a cold successor starts under its own name."""

    at: Time
    box: str | None = None  # one box, or
    share: Share = 1.0  # so many of all, drawn by the seed
    at_once: Count = 1
    drain: Positive = 4.0  # from when it is listed as terminating to its end
    seconds: Positive = 1.0  # from then until its successor runs


class Reset(Struct, forbid_unknown_fields=True, frozen=True, tag="reset", tag_field="what"):
    """All connections to a box are reset; it goes on."""

    at: Time
    box: str


class Refuse(Struct, forbid_unknown_fields=True, frozen=True, tag="refuse", tag_field="what"):
    """New connections are refused; those that are open go on."""

    at: Time
    box: str
    seconds: Positive


class Silence(Struct, forbid_unknown_fields=True, frozen=True, tag="silence", tag_field="what"):
    """The machine is cut off: open connections stay open and silent, new ones never come up."""

    at: Time
    seconds: Positive
    box: str | None = None  # one box, or `origin`, or
    zone: str | None = None  # all boxes of a zone


class Spoilt(Struct, forbid_unknown_fields=True, frozen=True, tag="spoilt", tag_field="what"):
    """A share of the answers is no answer: cut short, out of proportion, or another's."""

    at: Time
    box: str
    seconds: Positive
    share: Share = 0.2


class Slow(Struct, forbid_unknown_fields=True, frozen=True, tag="slow", tag_field="what"):
    """Its cores work `factor` times as fast; the process and the list know nothing of it."""

    at: Time
    box: str  # or `origin`
    seconds: Positive
    factor: Annotated[float, Meta(gt=0.0, le=100.0)] = 0.25


class IdleDrop(Struct, forbid_unknown_fields=True, frozen=True, tag="idle_drop", tag_field="what"):
    """A box closes all its idle connections at once, which crosses what is being sent."""

    at: Time
    box: str


class DiscoveryAway(Struct, forbid_unknown_fields=True, frozen=True, tag="discovery_away", tag_field="what"):
    """Watches end and calls are refused."""

    at: Time
    seconds: Positive


class HotKey(Struct, forbid_unknown_fields=True, frozen=True, tag="hot_key", tag_field="what"):
    """A few keys draw a share of all reads: what the load sent beside the fleet asks for."""

    at: Time
    seconds: Positive
    share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    keys: Count = 1


class Restart(Struct, forbid_unknown_fields=True, frozen=True, tag="restart", tag_field="what"):
    """A router is ended and started anew, with the list that it was first given. Killed, or asked to end."""

    at: Time
    router: Annotated[int, Meta(ge=0)] | None = None  # by number, or
    holder: str | None = None  # who holds this duty by then
    kill: bool = False
    signals: Annotated[int, Meta(ge=0, le=1000)] = (
        0  # SIGHUP and SIGTERM by turns, before and after the first
    )


class Stall(Struct, forbid_unknown_fields=True, frozen=True, tag="stall", tag_field="what"):
    """A router's process stands still (SIGSTOP) and goes on where it stood; its clients and servers wait."""

    at: Time
    seconds: Positive
    router: Annotated[int, Meta(ge=0)] | None = None  # by number, or
    holder: str | None = None  # who holds this duty by then


class Reload(Struct, forbid_unknown_fields=True, frozen=True, tag="reload", tag_field="what"):
    """A router is told to read its configuration anew (SIGHUP), several times in quick succession."""

    at: Time
    router: Annotated[int, Meta(ge=0)]
    times: Annotated[int, Meta(ge=1, le=1000)] = 1
    pause: Time = 0.02  # between two


class Crowd(Struct, forbid_unknown_fields=True, frozen=True, tag="crowd", tag_field="what"):
    """Clients come to a router all at once, say nothing or stop within a command, and stay for a while."""

    at: Time
    seconds: Positive
    router: Annotated[int, Meta(ge=0)]
    clients: Annotated[int, Meta(ge=1, le=5000)] = 200
    begun: Share = 0.5  # of them that send half a command


class Split(Struct, forbid_unknown_fields=True, frozen=True, tag="split", tag_field="what"):
    """Datagrams between some routers and the others are lost; all servers stay within reach."""

    at: Time
    seconds: Positive
    routers: tuple[int, ...] = ()  # by number, or
    zone: str | None = None  # all routers of a zone
    holder: str | None = None  # and who holds this duty by then
    one_way: bool = False  # they hear, and are not heard


class Unreached(Struct, forbid_unknown_fields=True, frozen=True, tag="unreached", tag_field="what"):
    """The way is cut from some routers to some servers: open connections are silent, new ones don't
    come up."""

    at: Time
    seconds: Positive
    routers: tuple[int, ...] = ()  # by number, or
    zone: str | None = None  # all routers of a zone
    box: str | None = None  # one box, or `origin`, or
    boxes: str | None = None  # all boxes of a zone


class Hand(Struct, forbid_unknown_fields=True, frozen=True, tag="hand", tag_field="what"):
    """Operators take a box out at every router, restart it, and give it back; no list tells of it."""

    at: Time
    box: str
    seconds: Positive = 5.0  # from the calls out to the calls back


class Upgrade(Struct, forbid_unknown_fields=True, frozen=True, tag="upgrade", tag_field="what"):
    """A router is started again beside itself; SIGTERM reaches the old process when the new one is ready."""

    at: Time
    router: Annotated[int, Meta(ge=0)]


Fault = (
    Freeze
    | Crash
    | Replace
    | Reset
    | Refuse
    | Silence
    | Spoilt
    | Slow
    | IdleDrop
    | DiscoveryAway
    | HotKey
    | Restart
    | Hand
    | Upgrade
    | Stall
    | Split
    | Unreached
    | Reload
    | Crowd
)


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole of a fleet and of what happens to it."""

    seconds: Positive = 30.0
    seed: Annotated[int, Meta(ge=0)] = 1
    routers: Annotated[int, Meta(ge=1, le=1000)] = 1
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=16)] = ("a",)
    delay: Time = 0.0  # one way between two zones
    cell: Count = 4  # boxes that remember keyed writes for one another
    kinds: Annotated[tuple[ServerKind, ...], Meta(min_length=1)] = (ServerKind("std", 4),)
    origin: Origin | None = None  # none: boxes get what they lack by themselves, and run writes
    discovery: Discovery = Discovery()
    peers: Peers | None = None  # none: routers share nothing
    duties: Duties | None = None
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (RequestClass("read"),)
    rules: Rules = Rules()
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for what, names in (
            ("kinds", [k.name for k in self.kinds]),
            ("classes", [c.name for c in self.classes]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"a name stands twice in `{what}`")
        if len(set(self.zones)) < len(self.zones):
            raise ValueError("a name stands twice in `zones`")
        if self.duties is not None and self.peers is None:
            raise ValueError("duties: they go over the network of `[peers]`")
        boxes = set(self.cache_servers())
        for i, fault in enumerate(self.faults):
            self._check(f"faults[{i}] ({fault.__struct_config__.tag})", fault, boxes)

    def _check(self, where: str, fault: Fault, names: set[str]) -> None:
        box = getattr(fault, "box", None)
        reaches = isinstance(fault, Slow | Silence | Unreached)
        known = names | ({"origin"} if self.origin and reaches else set())
        if box is not None and box not in known:
            raise ValueError(f"{where}: no box is named {box!r}; there are {', '.join(sorted(known))}")
        if isinstance(fault, Silence | Crash) and (fault.box is None) == (fault.zone is None):
            raise ValueError(f"{where}: wants `box` or `zone`")
        if isinstance(fault, Unreached) and (fault.box is None) == (fault.boxes is None):
            raise ValueError(f"{where}: wants `box` or `boxes`")
        if isinstance(fault, Unreached | Split):
            some = bool(fault.routers) or getattr(fault, "holder", None) is not None
            if some == (fault.zone is not None):
                raise ValueError(f"{where}: wants `routers` or `zone`")
            if any(not 0 <= n < self.routers for n in fault.routers):
                raise ValueError(f"{where}: there are {self.routers} routers, counted from 0")
        if isinstance(fault, Split) and self.peers is None:
            raise ValueError(f"{where}: routers share nothing without `[peers]`")
        for zone in (getattr(fault, "zone", None), getattr(fault, "boxes", None)):
            if zone is not None and zone not in self.zones:
                raise ValueError(f"{where}: no zone is named {zone!r}")
        if isinstance(fault, Restart | Upgrade | Stall | Reload | Crowd):
            self._check_router(where, fault.router, getattr(fault, "holder", None))
        elif isinstance(fault, Split) and fault.holder is not None:
            self._check_router(where, None, fault.holder)

    def _check_router(self, where: str, router: int | None, holder: str | None) -> None:
        if (router is None) == (holder is None):
            raise ValueError(f"{where}: wants `router` or `holder`")
        if router is not None and router >= self.routers:
            raise ValueError(f"{where}: there are {self.routers} routers, counted from 0")
        if holder is not None and holder not in [d.name for d in (self.duties.each if self.duties else ())]:
            raise ValueError(f"{where}: no duty is named {holder!r}")

    def has_operator_work(self) -> bool:
        """Whether routers are called by operators, or started beside themselves."""
        return any(isinstance(fault, Hand | Upgrade) for fault in self.faults)

    def cache_servers(self) -> dict[str, ServerKind]:
        """The boxes at the start, by name."""
        return {f"{kind.name}-{i}": kind for kind in self.kinds for i in range(kind.boxes)}


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise ScenarioError(f"{path}: {e}") from e
