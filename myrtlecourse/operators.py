"""The operators' file: enables and configures the optional subsystems, in TOML with a strict schema.

`$MYRTLECOURSE_FILE` holds its path. A field that is unknown, of the wrong type or out of its bounds is an
error that names the field. A subsystem whose table is absent is not enabled.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.config import ConfigError
from myrtlecourse.duties import messages as duty_messages
from myrtlecourse.election.messages import ElectionError, Settings
from myrtlecourse.spread import messages as spread

Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Endpoint = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
# the preference for a tier of zones; with a smaller one, too few requests would show the state of the tier
Weight = Annotated[float, Meta(ge=0.02, le=1.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
# fields of the table `spread` that are passed on to its settings under the same names
SPREAD_FIELDS = [f.name for f in fields(spread.Settings) if f.name not in ("name", "control", "sites")]


class Peer(Struct, forbid_unknown_fields=True, frozen=True):
    """A router or other member, and its address for datagrams of the others."""

    name: Name
    at: Endpoint


class Address(Struct, forbid_unknown_fields=True, frozen=True):
    """This router's part in the election of the holder of the service address."""

    # with `peers` the address has an election of its own; otherwise it is the first duty of `[duties]`
    name: Name | None = None
    # includes this router; the most preferred first
    peers: Annotated[tuple[Peer, ...], Meta(max_length=15)] = ()
    key_file: str | None = None
    # the candidates if the address is a duty, the most preferred first; empty: all routers
    preferred: Annotated[tuple[Name, ...], Meta(max_length=255)] = ()
    # further keys that are accepted but never used to seal, for the change to a new key voter by voter
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    # None: votes are lost at a restart, and for one lease after its start a router grants none
    votes_file: str | None = None
    # the settings of the election, explained in `election.messages.Settings`
    heartbeat: Seconds = 0.5
    lease: Seconds = 2.0
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.02
    settle: Annotated[float, Meta(ge=0.0, le=3600.0)] = 2.0
    unwell: Annotated[float, Meta(ge=0.0, le=3600.0)] = 1.0
    even_voters: bool = False
    list_age: Seconds = 60.0  # seconds; with an older list of servers a router can't hold the address
    # a router whose admission control admits a smaller share of the commands can't hold the address
    least_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.1
    # the address is announced and withdrawn by a switch with a line-based protocol or by a command
    switch: Endpoint | None = None
    command: Annotated[tuple[str, ...], Meta(max_length=64)] = ()
    link_timeout: Seconds = 2.0

    def __post_init__(self) -> None:
        if bool(self.command) == (self.switch is not None):
            raise ValueError("needs either `command` or `switch`")
        if not self.peers:
            if self.name is not None or self.key_file is not None or self.votes_file is not None:
                raise ValueError("name, key_file and votes_file need `peers`")
            return
        if self.name is None or self.key_file is None or self.preferred:
            raise ValueError("`peers` needs `name` and `key_file`, and its order replaces `preferred`")
        if any(not 0 < int(p.at.rpartition(":")[2]) < 65536 for p in self.peers):
            raise ValueError("peers: a port must be between 1 and 65535")
        if len({p.at for p in self.peers}) < len(self.peers):
            raise ValueError("peers: two of them share an address")
        try:
            self.election_settings()
        except ElectionError as e:
            raise ValueError(str(e).replace("voters:", "peers:")) from None

    def election_settings(self) -> Settings:
        """Return the settings of the address's own election. Raises ElectionError."""
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
    """This router's part in excluding and rejoining zones as a fleet.

    If the platform's configuration lists the routers, only `key_file` is needed; otherwise `name`, `zone` and
    `peers` must be given, with the same peers at each router.
    """

    key_file: str
    name: Name | None = None
    zone: Name | None = None
    peers: Annotated[tuple[Peer, ...], Meta(max_length=1000)] = ()  # includes this router
    listen: Endpoint | None = None  # None: this router's address among the peers
    # when a zone is excluded, the load of each remaining zone may rise to at most this multiple
    spill: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0
    # whether the origin may be excluded like a zone: only where refused clients turn to routers elsewhere
    leave_origin: bool = False
    paced: bool = True  # whether the fleet returns to a recovered zone in steps
    # fetches per second that the origin can serve for all routers together; 0: unknown
    origin_rate: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0
    # zones by region, and the preference for servers of the own region and of other regions, relative to that
    # for servers of the own zone, which is 1
    regions: Annotated[dict[Name, Annotated[tuple[Name, ...], Meta(max_length=64)]], Meta(max_length=64)] = {}
    own_region: Weight = 1.0
    elsewhere: Weight = 1.0
    # further keys that are accepted but never used to seal, for the change to a new key router by router
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    # seconds between gossip messages while nothing changes
    interval: Annotated[float, Meta(ge=0.1, le=60.0)] = 1.0
    bytes_a_second: Annotated[float, Meta(ge=256.0, le=1e9)] = 16_384.0  # send budget of the gossip

    def __post_init__(self) -> None:
        zones = [zone for region in self.regions.values() for zone in region]
        if len(set(zones)) < len(zones):
            raise ValueError("regions: a zone is listed twice")
        if not self.peers:
            if self.name is not None or self.zone is not None or self.listen is not None:
                raise ValueError("name, zone and listen need `peers`")
            return
        if self.name is None or self.zone is None:
            raise ValueError("`peers` needs `name` and `zone`")
        names = [p.name for p in self.peers]
        if self.name not in names:
            raise ValueError(f"peers: {self.name} is not among them")
        if len(set(names)) < len(names) or len({p.at for p in self.peers}) < len(names):
            raise ValueError("peers: a name or an address is listed twice")
        if any(not 0 < int(p.at.rpartition(":")[2]) < 65536 for p in self.peers):
            raise ValueError("peers: a port must be between 1 and 65535")


class Duty(Struct, forbid_unknown_fields=True, frozen=True):
    """One duty. With `every`, its holder runs `COMMAND step NUMBER TOKEN` for each numbered step; without it,
    `COMMAND take TOKEN` when it acquires the duty and `COMMAND leave TOKEN` when it has lost it."""

    name: Name
    # required, as a duty can be handed over only once its command has confirmed that the work has ended
    command: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)]
    # the candidates, the most preferred first; empty: all, in an order that depends on the duty's name
    preferred: Annotated[tuple[Name, ...], Meta(max_length=255)] = ()
    good_for: Seconds = 2.0  # seconds for which an order is obeyed
    every: Seconds | None = None  # seconds between steps
    timeout: Seconds = 10.0  # seconds for which the command may run


class Duties(Struct, forbid_unknown_fields=True, frozen=True):
    """This router's part in the duties, each of which one router holds at a time."""

    key_file: str
    name: Name
    peers: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=255)]  # includes this router
    voters: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=7)]
    duty: Annotated[tuple[Duty, ...], Meta(max_length=15)] = ()
    listen: Endpoint | None = None  # None: this router's address among the peers
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    memory_file: str | None = None  # None: promises are lost at a restart
    # the settings of the elections, explained in `duties.messages.Settings`
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
            raise ValueError("peers: a port must be between 1 and 65535")

    def settings(self, first: tuple[duty_messages.Duty, ...]) -> duty_messages.Settings:
        """Return the settings of the duties `first` and those of this table. Raises DutiesError."""
        duties = first + tuple(
            duty_messages.Duty(
                d.name, d.preferred, d.good_for, (0, 0, 0) if d.every else (), d.every is not None
            )
            for d in self.duty
        )
        members = tuple(p.name for p in self.peers)
        return duty_messages.Settings(
            *(self.name, members, self.voters, duties, self.heartbeat, self.lease, self.drift),
            *(self.settle, self.unwell, self.unheard, self.brake),
        )


class SpreadSite(Struct, forbid_unknown_fields=True, frozen=True):
    """The members of the spread at one site."""

    name: Name
    region: Name
    routers: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=1000)]  # may forward entries
    # the members on cache servers, which forward nothing
    parts: Annotated[tuple[Peer, ...], Meta(max_length=1000)] = ()


class Spread(Struct, forbid_unknown_fields=True, frozen=True):
    """This process's part in the distribution of changes and purges to all members of a fleet."""

    key_file: str
    name: Name
    control: Annotated[tuple[Peer, ...], Meta(min_length=1, max_length=spread.MAX_CONTROL_NODES)]
    # sites of the own region; of all regions at a control node
    site: Annotated[tuple[SpreadSite, ...], Meta(max_length=5000)] = ()
    listen: Endpoint | None = None  # None: this process's address among the members above
    also_key_files: Annotated[tuple[str, ...], Meta(max_length=2)] = ()
    duty: Name | None = None  # its holder writes the log; required at control nodes, like `folder`
    folder: str | None = None  # the folder of the log
    applied_file: str | None = None  # receives a line for each applied entry, for other programs
    # size of `applied_file` in bytes at which a new file is started
    applied_bytes: Annotated[int, Meta(ge=4096, le=2**40)] = 64 * 2**20
    # settings of the spread; `spread.Settings` explains them and has their defaults and bounds
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
        is_control_node = any(p.name == self.name for p in self.control)
        for field in ("duty", "folder"):
            if (getattr(self, field) is not None) is not is_control_node:
                raise ValueError(
                    f"{field}: {'required at a' if is_control_node else 'only for a'} control node"
                )
        addresses = [p.at for p in self.members()]
        if len(set(addresses)) < len(addresses):
            raise ValueError("control, site: two members share an address")
        if any(not 0 < int(at.rpartition(":")[2]) < 65536 for at in addresses):
            raise ValueError("control, site: a port must be between 1 and 65535")
        self.settings()

    def members(self) -> Iterator[Peer]:
        """Yield all members."""
        yield from self.control
        for site in self.site:
            yield from site.routers
            yield from site.parts

    def settings(self) -> spread.Settings:
        """Return the settings of the spread. Raises SpreadError."""
        return spread.Settings(
            self.name,
            tuple(p.name for p in self.control),
            tuple(
                spread.Site(
                    s.name, s.region, tuple(p.name for p in s.routers), tuple(p.name for p in s.parts)
                )
                for s in self.site
            ),
            **{name: value for name in SPREAD_FIELDS if (value := getattr(self, name)) is not None},
        )


class OperatorsFile(Struct, forbid_unknown_fields=True, frozen=True):
    """All tables of the operators' file."""

    address: Address | None = None
    fleet: Fleet | None = None
    duties: Duties | None = None
    spread: Spread | None = None

    def __post_init__(self) -> None:
        if self.address is not None and not self.address.peers and self.duties is None:
            raise ValueError("address: needs `peers`, or the table `duties`")
        if self.spread is not None and self.spread.duty is not None:
            self._check_spread(self.spread, self.spread.duty)
        if self.duties is not None:
            self.duty_settings()

    def _check_spread(self, table: Spread, duty: str) -> None:
        """Check the duty whose holder writes the spread's log.

        Other members know the writer by its name in the spread, so both names must be equal. Only control
        nodes may vote, as others don't know this duty. Raises ValueError.
        """
        if self.duties is None:
            raise ValueError("spread.duty: needs the table `duties`")
        if duty == duty_messages.ADDRESS or duty in {d.name for d in self.duties.duty}:
            raise ValueError(f"spread.duty: {duty} is the name of another duty")
        if self.duties.name != table.name:
            raise ValueError(f"spread.name: {self.duties.name} in `[duties]`, {table.name} in `[spread]`")
        control = {p.name for p in table.control}
        if not control <= {p.name for p in self.duties.peers}:
            raise ValueError("spread.control: not all are in `duties.peers`")
        if not set(self.duties.voters) <= control:
            raise ValueError("spread.control: not all of `duties.voters` are listed")

    def duty_settings(self) -> duty_messages.Settings:
        """Return the settings of all duties: the address comes first, unless it has an election of its own,
        then the writer of the spread's log, then those of the table. Raises DutiesError."""
        first: tuple[duty_messages.Duty, ...] = ()
        if self.address is not None and not self.address.peers:
            first = (
                duty_messages.Duty(
                    duty_messages.ADDRESS, self.address.preferred, orders=False, good_for=3600.0
                ),
            )
        if self.spread is not None and self.spread.duty is not None:
            control = tuple(p.name for p in self.spread.control)
            first += (duty_messages.Duty(self.spread.duty, control, orders=False, good_for=3600.0),)
        assert self.duties is not None
        return self.duties.settings(first)


def read_operators(path: Path) -> OperatorsFile:
    """Return the checked operators' file.

    Raises:
        ConfigError: the file can't be used; the message names the file and the field.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=OperatorsFile)
    except OSError as e:
        raise ConfigError(f"{path}: {e.strerror}") from e
    except (msgspec.DecodeError, ValueError) as e:
        raise ConfigError(f"{path}: {e}") from e
