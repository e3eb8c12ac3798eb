"""The operators' file: what goes beyond the platform, in TOML, read by one strict schema.

It is named by `$MYRTLECOURSE_FILE`. A field that is unknown, of the wrong type or out of its bounds is an
error that names it; without the file, or a table of it, what it is about is absent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.config import ConfigError
from myrtlecourse.duties import messages as said
from myrtlecourse.election.messages import ElectionError, Settings
from myrtlecourse.spread import messages as spread

Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Endpoint = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
Weight = Annotated[float, Meta(ge=0.02, le=1.0)]  # less would leave a tier of which nobody knows anything
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
FIGURES = [f.name for f in fields(spread.Settings) if f.name not in ("name", "control", "sites")]


class Peer(Struct, forbid_unknown_fields=True, frozen=True):
    """A voter, and where it hears the others."""

    name: Name
    at: Endpoint


class Address(Struct, forbid_unknown_fields=True, frozen=True):
    """This instance's part of the service address."""

    # with an election of its own; without them it is a duty of `[duties]`, the first
    name: Name | None = None
    peers: Annotated[tuple[Peer, ...], Meta(max_length=15)] = ()  # itself too; most preferred first
    key_file: str | None = None
    preferred: Annotated[tuple[Name, ...], Meta(max_length=255)] = ()  # who may hold it, as a duty; none: all
    # taken as well, and never sealed with: so that a new key can go from voter to voter
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    votes_file: str | None = None  # none: an instance waits out a lease after each start, and forgets
    heartbeat: Seconds = 0.5
    lease: Seconds = 2.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.02
    settle: Annotated[float, Meta(ge=0.0, le=3600.0)] = 2.0
    unwell: Annotated[float, Meta(ge=0.0, le=3600.0)] = 1.0
    even_voters: bool = False
    list_age: Seconds = 60.0  # since discovery last answered, after which this router is no holder
    least_share: Annotated[float, Meta(ge=0.0, le=1.0)] = (
        0.1  # of commands let in by a full core, below which
    )
    switch: Endpoint | None = None  # a switch that takes lines, or
    command: Annotated[tuple[str, ...], Meta(max_length=64)] = ()  # what announces and withdraws
    link_timeout: Seconds = 2.0

    def __post_init__(self) -> None:
        if bool(self.command) == (self.switch is not None):
            raise ValueError("wants `command` or `switch`, one of them")
        if not self.peers:
            if self.name is not None or self.key_file is not None or self.votes_file is not None:
                raise ValueError("name, key_file and votes_file go with `peers`")
            return
        if self.name is None or self.key_file is None or self.preferred:
            raise ValueError("wants `name` and `key_file` with `peers`, and their order is the preference")
        if any(not 0 < int(p.at.rpartition(":")[2]) < 65536 for p in self.peers):
            raise ValueError("peers: a port lies between 1 and 65535")
        if len({p.at for p in self.peers}) < len(self.peers):
            raise ValueError("peers: two of them share an address")
        try:
            self.election()
        except ElectionError as e:
            raise ValueError(str(e).replace("voters:", "peers:")) from None

    def election(self) -> Settings:
        """The settings of its election. Raises ElectionError."""
        voters = tuple(p.name for p in self.peers)
        return Settings(
            self.name or "",
            voters,
            self.heartbeat,
            self.lease,
            self.drift,
            self.settle,
            self.unwell,
            self.even_voters,
        )


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """This router's part in leaving zones with the others.

    Where the platform tells routers of one another, `key_file` is all that is needed; elsewhere `name`,
    `zone` and `peers` are given here, the same peers at every router.
    """

    key_file: str
    name: Name | None = None
    zone: Name | None = None
    peers: Annotated[tuple[Peer, ...], Meta(max_length=1000)] = ()  # itself too
    listen: Endpoint | None = None  # where not at its own address among the peers
    spill: Annotated[float, Meta(ge=1.0, le=100.0)] = (
        3.0  # times what survivors of a zone got, that they get at most
    )
    leave_origin: bool = False  # where clients that are refused come to routers of other zones
    paced: bool = True  # zones that are back are returned to by steps, as the fleet
    # fetches a second that the origin bears of all routers together; 0: nobody knows
    origin_rate: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0
    # zones, by the region's name; how gladly servers of the own region and of all others are asked beside
    # those of the own zone, which count 1
    regions: Annotated[dict[Name, Annotated[tuple[Name, ...], Meta(max_length=64)]], Meta(max_length=64)] = {}
    own_region: Weight = 1.0
    elsewhere: Weight = 1.0
    # taken as well, and never sealed with: so that a new key can go from router to router
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    interval: Annotated[float, Meta(ge=0.1, le=60.0)] = 1.0  # seconds between words when all is calm
    bytes_a_second: Annotated[float, Meta(ge=256.0, le=1e9)] = 16_384.0

    def __post_init__(self) -> None:
        zones = [zone for each in self.regions.values() for zone in each]
        if len(set(zones)) < len(zones):
            raise ValueError("regions: a zone stands twice")
        if not self.peers:
            if self.name is not None or self.zone is not None or self.listen is not None:
                raise ValueError("name, zone and listen go with `peers`")
            return
        if self.name is None or self.zone is None:
            raise ValueError("wants `name` and `zone` with `peers`")
        names = [p.name for p in self.peers]
        if self.name not in names:
            raise ValueError(f"peers: {self.name} is not among them")
        if len(set(names)) < len(names) or len({p.at for p in self.peers}) < len(names):
            raise ValueError("peers: a name or an address stands twice")
        if any(not 0 < int(p.at.rpartition(":")[2]) < 65536 for p in self.peers):
            raise ValueError("peers: a port lies between 1 and 65535")


class Duty(Struct, forbid_unknown_fields=True, frozen=True):
    """One duty: with `every` in numbered steps, `COMMAND step NUMBER TOKEN`; else it is held, and `COMMAND
    take TOKEN` and `leave TOKEN` tell so."""

    name: Name
    # without one nobody would say that what is done for it has ended, and it could not be handed on
    command: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)]
    preferred: Annotated[tuple[Name, ...], Meta(max_length=255)] = ()  # who may hold it; none: all, spread
    good_for: Seconds = 2.0  # for which an order is obeyed
    every: Seconds | None = None
    timeout: Seconds = 10.0  # of the command


class Duties(Struct, forbid_unknown_fields=True, frozen=True):
    """This router's part in duties that one router holds at a time."""

    key_file: str
    name: Name
    peers: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=255)]  # itself too
    voters: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=7)]
    duty: Annotated[tuple[Duty, ...], Meta(max_length=15)] = ()
    listen: Endpoint | None = None  # where not at its own address among the peers
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    memory_file: str | None = None  # none: a process that starts anew remembers nothing
    heartbeat: Seconds = 0.5
    lease: Seconds = 2.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.02
    settle: Annotated[float, Meta(ge=0.0, le=3600.0)] = 2.0
    unwell: Annotated[float, Meta(ge=0.0, le=3600.0)] = 1.0
    unheard: Seconds = 4.0
    brake: Seconds = 8.0

    def __post_init__(self) -> None:
        if len({p.at for p in self.peers}) < len(self.peers):
            raise ValueError("peers: two of them share an address")
        if any(not 0 < int(p.at.rpartition(":")[2]) < 65536 for p in self.peers):
            raise ValueError("peers: a port lies between 1 and 65535")

    def settings(self, first: tuple[said.Duty, ...]) -> said.Settings:
        """The settings of its duties, with others that come first. Raises DutiesError."""
        each = first + tuple(
            said.Duty(d.name, d.preferred, d.good_for, (0, 0, 0) if d.every else (), d.every is not None)
            for d in self.duty
        )
        members = tuple(p.name for p in self.peers)
        return said.Settings(
            *(self.name, members, self.voters, each, self.heartbeat, self.lease, self.drift),
            *(self.settle, self.unwell, self.unheard, self.brake),
        )


class SpreadSite(Struct, forbid_unknown_fields=True, frozen=True):
    """A site's members of the spread, and where each hears the others."""

    name: Name
    region: Name
    routers: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=1000)]  # may pass entries on
    parts: Annotated[tuple[Peer, ...], Meta(max_length=1000)] = ()  # cache servers' parts, which don't


class Spread(Struct, forbid_unknown_fields=True, frozen=True):
    """This process's part in what carries changes and purges to every member of a fleet."""

    key_file: str
    name: Name
    control: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=spread.MAX_CONTROL_NODES)]
    # of the own region; at a control machine all
    site: Annotated[tuple[SpreadSite, ...], Meta(max_length=5000)] = ()
    listen: Endpoint | None = None  # where not at its own address above
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    duty: Name | None = None  # whose holder writes the log; with `folder`, at control machines alone
    folder: str | None = None  # of the log
    applied_file: str | None = None  # what is applied here, a line an entry, for other programs to follow
    applied_bytes: Annotated[int, Meta(ge=4096, le=2**40)] = 64 * 2**20  # after which it is begun anew
    # as `spread.Settings` has and bounds them; none: as given there
    budget: float | None = None
    control_budget: float | None = None
    rate: float | None = None
    pause: float | None = None
    report: float | None = None
    lease: float | None = None
    drift: float | None = None
    tail: int | None = None
    control_tail: int | None = None

    def __post_init__(self) -> None:
        controls = any(p.name == self.name for p in self.control)
        for field in ("duty", "folder"):
            if (getattr(self, field) is not None) is not controls:
                raise ValueError(f"{field}: {'wanted at a' if controls else 'only for a'} control machine")
        places = [p.at for p in self.members()]
        if len(set(places)) < len(places):
            raise ValueError("control, site: two members share an address")
        if any(not 0 < int(at.rpartition(":")[2]) < 65536 for at in places):
            raise ValueError("control, site: a port lies between 1 and 65535")
        self.settings()

    def members(self) -> Iterator[Peer]:
        """All of them."""
        yield from self.control
        for site in self.site:
            yield from site.routers
            yield from site.parts

    def settings(self) -> spread.Settings:
        """The settings of its node, and of its head. Raises SpreadError."""
        return spread.Settings(
            self.name,
            tuple(p.name for p in self.control),
            tuple(
                spread.Site(
                    s.name, s.region, tuple(p.name for p in s.routers), tuple(p.name for p in s.parts)
                )
                for s in self.site
            ),
            **{name: told for name in FIGURES if (told := getattr(self, name)) is not None},
        )


class OperatorsFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole of it."""

    address: Address | None = None
    fleet: Fleet | None = None
    duties: Duties | None = None
    spread: Spread | None = None

    def __post_init__(self) -> None:
        if self.address is not None and not self.address.peers and self.duties is None:
            raise ValueError("address: wants `peers`, or `[duties]` to be one of")
        if self.spread is not None and self.spread.duty is not None:
            self._check_spread(self.spread, self.spread.duty)
        if self.duties is not None:
            self.of_duties()

    def _check_spread(self, table: Spread, duty: str) -> None:
        """Guards the log: its writer is told to the others by name, and each that votes must know of it."""
        if self.duties is None:
            raise ValueError("spread.duty: wants `[duties]` to be one of")
        if duty == said.ADDRESS or duty in {d.name for d in self.duties.duty}:
            raise ValueError(f"spread.duty: {duty} is another duty's name")
        if self.duties.name != table.name:
            raise ValueError(f"spread.name: {self.duties.name} in `[duties]`, {table.name} here")
        control = {p.name for p in table.control}
        if not control <= {p.name for p in self.duties.peers}:
            raise ValueError("spread.control: not all are among `duties.peers`")
        if not set(self.duties.voters) <= control:
            raise ValueError("spread.control: not all of `duties.voters` are among them")

    def of_duties(self) -> said.Settings:
        """The settings of all duties. The address comes first where it has no election of its own, then the
        writing of the spread's log. Raises DutiesError."""
        first: tuple[said.Duty, ...] = ()
        if self.address is not None and not self.address.peers:
            first = (said.Duty(said.ADDRESS, self.address.preferred, orders=False, good_for=3600.0),)
        if self.spread is not None and self.spread.duty is not None:
            control = tuple(p.name for p in self.spread.control)
            first += (said.Duty(self.spread.duty, control, orders=False, good_for=3600.0),)
        assert self.duties is not None
        return self.duties.settings(first)


def read_operators(path: Path) -> OperatorsFile:
    """Read an operators' file.

    Raises:
        ConfigError: it can't be used; the message names the file and the place.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=OperatorsFile)
    except OSError as e:
        raise ConfigError(f"{path}: {e.strerror}") from e
    except (msgspec.DecodeError, ValueError) as e:
        raise ConfigError(f"{path}: {e}") from e
