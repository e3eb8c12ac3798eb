"""What members stand before: the stand-in fleet with its discovery, and with the real routers.

Hollow members have a stand-in of their own, in another process and without routers, to which the same
happens at the same times: with a thousand of them to be told of a change, boxes in the same loop would read
late what real routers sent, and the auditor would blame those.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from uvloop import new_event_loop

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.discovery_server import DiscoveryConnection, DiscoveryServer
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.ports import Port
from myrtlecourse.fleet.routers import Routers
from myrtlecourse.fleet.session import LOG, RunningFleet, operators_file
from myrtlecourse.scale.child import told_to_end
from myrtlecourse.scale.scenario import Scenario

HOLLOW = "hollow"  # begins the names that discovery knows hollow members by, a process each
ROUTER = "router"


def role_of(name: str) -> str:
    """Whether it is discovery's name for real routers or for hollow members."""
    return HOLLOW if name.startswith(HOLLOW) else ROUTER


@dataclass(frozen=True)
class Change:
    """Discovery's list has changed."""

    at: float  # the machine's monotonic clock
    server: str
    status: str
    since_ms: int


@dataclass(frozen=True)
class Ready:
    """Where everything is, once it stands."""

    routers: tuple[tuple[str, int], ...]
    pids: tuple[int, ...]  # of the real routers
    configuration: dict[str, Any]  # that hollow members share, without discovery's address
    discovery: tuple[str, ...]  # for each process of hollow members, where they have their stand-in here
    heard_at: tuple[str, ...]
    operators: Path | None


@dataclass(frozen=True)
class Ended:
    """What was seen from when it was told to begin."""

    faults: list[str]
    changes: list[Change]
    calls: dict[str, int]  # of the list, by role
    bytes_in: dict[str, int]  # of calls, as discovery read and wrote them, without TCP's own
    bytes_out: dict[str, int]


class SharedAddresses(dict[tuple[str, str], str]):
    """Of servers, by who is told: hollow members get the first router's, as they send nothing there."""

    def __missing__(self, key: tuple[str, str]) -> str:
        return self["router-0", key[1]]


class CountedConnection(DiscoveryConnection):
    """A call whose bytes are counted."""

    def __init__(self, port: Port, server: DiscoveryServer, ground: Ground) -> None:
        super().__init__(port, server)
        self.ground = ground

    def on_data(self, data: bytes, began: float) -> None:
        self.ground.bytes_in[role_of(self.port.router)] += len(data)
        super().on_data(data, began)

    def write(self, data: bytes) -> None:
        self.ground.bytes_out[role_of(self.port.router)] += len(data)
        super().write(data)


class Ground(Fleet):
    """The stand-in fleet, whose discovery hollow members ask too."""

    def __init__(self, scenario: Scenario, log: seen.ObservationLog, of_hollow: bool) -> None:
        super().__init__(scenario.fleet(), log.add)
        self.scale = scenario
        self.of_hollow = of_hollow
        self.log = log
        self.heard: tuple[str, ...] = ()  # where each member hears the others
        self.changes: list[Change] = []
        self.calls: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.discovery.addresses = SharedAddresses()
        self.discovery.observe = self._observed

    async def listen(self) -> None:
        await super().listen()
        server = self.discovery
        make = partial(CountedConnection, server=server, ground=self)
        for port in server.ports.values():
            port.make_connection = make
        for number, group in enumerate(self.scale.groups() if self.of_hollow else ()):
            # twice: a call's connection may still be open while the next one comes
            port = server.ports[f"{HOLLOW}-{number}"] = Port(f"{HOLLOW}-{number}", 0.0, 2 * len(group), make)
            await port.listen()
        if self.scale.peers is not None:
            names = [str(n) for n in range(self.scale.routers, self.scale.members)]
            places = [self.relays.listen_addresses[r] for r in self.routers]
            places += self.relays.reserve_addresses(names).values()
            self.heard = tuple(f"{host}:{port}" for host, port in places)

    def configuration(self, number: int) -> dict[str, Any]:
        told = super().configuration(number)
        told["settings"]["siblings"] = self.scale.members
        if self.heard:
            told["peers"] = told["peers"] + list(self.heard[len(self.routers) :])
        return told

    def ready(self, routers: Routers, operators: Path | None) -> Ready:
        """Where everything is."""
        shared = self.configuration(0)
        ports = [p for name, p in self.discovery.ports.items() if role_of(name) == HOLLOW]
        return Ready(
            routers=tuple(r.address for r in routers.members),
            pids=tuple(pid for r in routers.members for pid in r.pids()),
            configuration={k: v for k, v in shared.items() if k not in ("name", "discovery")},
            discovery=tuple(f"127.0.0.1:{port.number}" for port in ports),
            heard_at=self.heard,
            operators=operators,
        )

    def _observed(self, what: seen.Observation) -> None:
        """The auditor judges real routers alone."""
        if isinstance(what, seen.DiscoveryCall):
            self.calls[role_of(what.router)] += what.how == "begun"
        if isinstance(what, seen.ListChanged):
            since_ms = round((what.since + self.discovery.epoch) * 1000) if what.since else 0
            self.changes.append(Change(what.at, what.box, what.status, since_ms))
        if not (isinstance(what, seen.DiscoveryCall | seen.ListEntrySent) and role_of(what.router) == HOLLOW):
            self.log.add(what)

    def begin(self) -> None:
        # what it took to start is no part of what it costs to run
        for counted in (self.calls, self.bytes_in, self.bytes_out):
            counted.clear()
        self.changes.clear()
        super().begin()

    def ended(self, faults: list[str]) -> Ended:
        """What was seen."""
        return Ended(faults, self.changes, dict(self.calls), dict(self.bytes_in), dict(self.bytes_out))


async def live(scenario: Scenario, folder: Path, command: str | None, words: Any) -> None:
    """Stand up, begin when told, end when told; without a command it is the stand-in of hollow members."""
    log = seen.ObservationLog(folder / LOG)
    ground = Ground(scenario, log, command is None)
    await ground.listen()
    routers = Routers(ground.routers if command is not None else [], command or "", folder, log.add)
    standing = RunningFleet(ground, routers, log)
    try:
        file = None
        if ground.scenario.peers is not None:
            file = partial(operators_file, ground.scenario.peers, None, ground.duty_relays, folder)
        await routers.start(ground.configuration, file)
        words.send(("ready", ground.ready(routers, file(HOLLOW) if file is not None else None)))
        await told_to_end(words, ground.begin)
    finally:
        # guards the machine: routers that were started must end with whoever started them
        faults = await standing.close()
    words.send(("ended", ground.ended(faults)))


def work(scenario: Scenario, folder: Path, command: str | None, words: Any) -> None:
    """The process of a stand-in, and its routers if it has any."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(live(scenario, folder, command, words))
