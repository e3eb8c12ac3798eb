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
from myrtlecourse.fleet.ports import Port
from myrtlecourse.fleet.routers import Routers
from myrtlecourse.fleet.session import LOG, Standing, operators_file
from myrtlecourse.fleet.stand_in import Fleet
from myrtlecourse.scale.child_process import wait_for_end
from myrtlecourse.scale.scenario import Scenario

HOLLOW_PREFIX = "hollow"  # begins the names that discovery knows hollow members by, a process each
ROUTER_ROLE = "router"


def role_of(name: str) -> str:
    """Whether it is discovery's name for real routers or for hollow members."""
    return HOLLOW_PREFIX if name.startswith(HOLLOW_PREFIX) else ROUTER_ROLE


@dataclass(frozen=True)
class ListChange:
    """Discovery's list has changed."""

    at: float  # the machine's monotonic clock
    server: str
    status: str
    since_ms: int


@dataclass(frozen=True)
class StandInReady:
    """Where everything is, once it stands."""

    routers: tuple[tuple[str, int], ...]
    pids: tuple[int, ...]  # of the real routers
    configuration: dict[str, Any]  # that hollow members share, without discovery's address
    discovery: tuple[str, ...]  # for each process of hollow members, where they have their stand-in here
    gossip_addresses: tuple[str, ...]
    operators: Path | None


@dataclass(frozen=True)
class StandInTotals:
    """What was seen from when it was told to begin."""

    faults: list[str]
    changes: list[ListChange]
    calls: dict[str, int]  # of the list, by role
    bytes_in: dict[str, int]  # of calls, as discovery read and wrote them, without TCP's own
    bytes_out: dict[str, int]


class SharedAddresses(dict[tuple[str, str], str]):
    """Of servers, by who is told: hollow members get the first router's, as they send nothing there."""

    def __missing__(self, key: tuple[str, str]) -> str:
        return self["router-0", key[1]]


class CountedConnection(DiscoveryConnection):
    """A call whose bytes are counted."""

    def __init__(self, port: Port, server: DiscoveryServer, ground: ScaleFleet) -> None:
        super().__init__(port, server)
        self.fleet = ground

    def took(self, data: bytes, began: float) -> None:
        self.fleet.bytes_in[role_of(self.port.router)] += len(data)
        super().took(data, began)

    def write(self, data: bytes) -> None:
        self.fleet.bytes_out[role_of(self.port.router)] += len(data)
        super().write(data)


class ScaleFleet(Fleet):
    """The stand-in fleet, whose discovery hollow members ask too."""

    def __init__(self, scenario: Scenario, log: seen.ObservationLog, of_hollow: bool) -> None:
        super().__init__(scenario.fleet_scenario(), log.add)
        self.scale_scenario = scenario
        self.for_hollow = of_hollow
        self.log = log
        self.gossip_addresses: tuple[str, ...] = ()  # where each member hears the others
        self.changes: list[ListChange] = []
        self.calls: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.discovery.addresses = SharedAddresses()
        self.discovery.observe = self._observe

    async def listen(self) -> None:
        await super().listen()
        server = self.discovery
        make = partial(CountedConnection, server=server, ground=self)
        for port in server.ports.values():
            port.make = make
        for number, group in enumerate(self.scale_scenario.members_by_process() if self.for_hollow else ()):
            # twice: a call's connection may still be open while the next one comes
            port = server.ports[f"{HOLLOW_PREFIX}-{number}"] = Port(
                f"{HOLLOW_PREFIX}-{number}", 0.0, 2 * len(group), make
            )
            await port.listen()
        if self.scale_scenario.peers is not None:
            names = [str(n) for n in range(self.scale_scenario.routers, self.scale_scenario.members)]
            places = [self.relays.heard_at[r] for r in self.routers]
            places += self.relays.places(names).values()
            self.gossip_addresses = tuple(f"{host}:{port}" for host, port in places)

    def configuration(self, number: int) -> dict[str, Any]:
        told = super().configuration(number)
        told["settings"]["siblings"] = self.scale_scenario.members
        if self.gossip_addresses:
            told["peers"] = told["peers"] + list(self.gossip_addresses[len(self.routers) :])
        return told

    def ready_message(self, routers: Routers, operators: Path | None) -> StandInReady:
        """Where everything is."""
        shared = self.configuration(0)
        ports = [p for name, p in self.discovery.ports.items() if role_of(name) == HOLLOW_PREFIX]
        return StandInReady(
            routers=tuple(r.address for r in routers.each),
            pids=tuple(pid for r in routers.each for pid in r.pids()),
            configuration={k: v for k, v in shared.items() if k not in ("name", "discovery")},
            discovery=tuple(f"127.0.0.1:{port.number}" for port in ports),
            gossip_addresses=self.gossip_addresses,
            operators=operators,
        )

    def _observe(self, what: seen.Observation) -> None:
        """The auditor judges real routers alone."""
        if isinstance(what, seen.DiscoveryCall):
            self.calls[role_of(what.router)] += what.how == "begun"
        if isinstance(what, seen.ListChanged):
            since_ms = round((what.since + self.discovery.epoch) * 1000) if what.since else 0
            self.changes.append(ListChange(what.at, what.box, what.status, since_ms))
        if not (
            isinstance(what, seen.DiscoveryCall | seen.ListEntrySent)
            and role_of(what.router) == HOLLOW_PREFIX
        ):
            self.log.add(what)

    def begin(self) -> None:
        # what it took to start is no part of what it costs to run
        for counted in (self.calls, self.bytes_in, self.bytes_out):
            counted.clear()
        self.changes.clear()
        super().begin()

    def totals(self, faults: list[str]) -> StandInTotals:
        """What was seen."""
        return StandInTotals(
            faults, self.changes, dict(self.calls), dict(self.bytes_in), dict(self.bytes_out)
        )


async def serve(scenario: Scenario, folder: Path, command: str | None, words: Any) -> None:
    """Stand up, begin when told, end when told; without a command it is the stand-in of hollow members."""
    log = seen.ObservationLog(folder / LOG)
    ground = ScaleFleet(scenario, log, command is None)
    await ground.listen()
    routers = Routers(ground.routers if command is not None else [], command or "", folder, log.add)
    standing = Standing(ground, routers, log)
    try:
        file = None
        if ground.scenario.peers is not None:
            file = partial(operators_file, ground.scenario.peers, None, ground.duty_relays, folder)
        await routers.start(ground.configuration, file)
        words.send(
            ("ready", ground.ready_message(routers, file(HOLLOW_PREFIX) if file is not None else None))
        )
        await wait_for_end(words, ground.begin)
    finally:
        # guards the machine: routers that were started must end with whoever started them
        faults = await standing.close()
    words.send(("ended", ground.totals(faults)))


def run_process(scenario: Scenario, folder: Path, command: str | None, words: Any) -> None:
    """The process of a stand-in, and its routers if it has any."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(serve(scenario, folder, command, words))
