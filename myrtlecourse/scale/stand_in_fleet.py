"""The stand-in fleet of a run at scale: cache servers and discovery, and the real routers.

Hollow members have a stand-in fleet of their own, in another process and without routers, with the same
faults at the same times. If cache servers shared an event loop with the notification of a thousand hollow
members, they would read late what real routers sent, and the auditor would blame the routers.
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
from myrtlecourse.scale.child_process import wait_for_end
from myrtlecourse.scale.scenario import Scenario

# prefix of the names of hollow members in discovery; all members of a process share one name
HOLLOW_PREFIX = "hollow"
ROUTER_ROLE = "router"


def role_of(name: str) -> str:
    """Return whether a name in discovery belongs to a real router or to hollow members."""
    return HOLLOW_PREFIX if name.startswith(HOLLOW_PREFIX) else ROUTER_ROLE


@dataclass(frozen=True)
class ListChange:
    """A change of discovery's list."""

    at: float  # the machine's monotonic clock
    server: str
    status: str
    since_ms: int


@dataclass(frozen=True)
class StandInReady:
    """The addresses of everything, sent once the fleet is ready."""

    routers: tuple[tuple[str, int], ...]
    pids: tuple[int, ...]  # of the real routers
    configuration: dict[str, Any]  # shared by the hollow members, without discovery's address
    # discovery's address for each process of hollow members; empty in the real routers' fleet
    discovery: tuple[str, ...]
    gossip_addresses: tuple[str, ...]
    operators: Path | None


@dataclass(frozen=True)
class StandInTotals:
    """What was observed since the run began."""

    faults: list[str]
    changes: list[ListChange]
    calls: dict[str, int]  # calls of the list, by role
    bytes_in: dict[str, int]  # of calls, as discovery read and wrote them, without TCP headers
    bytes_out: dict[str, int]


class SharedAddresses(dict[tuple[str, str], str]):
    """Addresses of servers by router.

    Hollow members get those of the first router, as they send nothing there.
    """

    def __missing__(self, key: tuple[str, str]) -> str:
        return self["router-0", key[1]]


class CountedConnection(DiscoveryConnection):
    """A discovery connection whose bytes are counted."""

    def __init__(self, port: Port, server: DiscoveryServer, fleet: ScaleFleet) -> None:
        super().__init__(port, server)
        self.fleet = fleet

    def on_data(self, data: bytes, began: float) -> None:
        self.fleet.bytes_in[role_of(self.port.router)] += len(data)
        super().on_data(data, began)

    def write(self, data: bytes) -> None:
        self.fleet.bytes_out[role_of(self.port.router)] += len(data)
        super().write(data)


class ScaleFleet(Fleet):
    """A stand-in fleet whose discovery also serves hollow members."""

    def __init__(self, scenario: Scenario, log: seen.ObservationLog, for_hollow: bool) -> None:
        super().__init__(scenario.fleet_scenario(), log.add)
        self.scale_scenario = scenario
        self.for_hollow = for_hollow
        self.log = log
        self.gossip_addresses: tuple[str, ...] = ()  # at which each member receives gossip
        self.changes: list[ListChange] = []
        self.calls: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.discovery.addresses = SharedAddresses()
        self.discovery.observe = self._observe

    async def listen(self) -> None:
        await super().listen()
        server = self.discovery
        make_connection = partial(CountedConnection, server=server, fleet=self)
        for port in server.ports.values():
            port.make_connection = make_connection
        for number, group in enumerate(self.scale_scenario.members_by_process() if self.for_hollow else ()):
            # twice as many connections as members: a call may begin before the previous connection is closed
            port = server.ports[f"{HOLLOW_PREFIX}-{number}"] = Port(
                f"{HOLLOW_PREFIX}-{number}", 0.0, 2 * len(group), make_connection
            )
            await port.listen()
        if self.scale_scenario.peers is not None:
            names = [str(n) for n in range(self.scale_scenario.routers, self.scale_scenario.members)]
            addresses = [self.relays.listen_addresses[r] for r in self.routers]
            addresses += self.relays.reserve_addresses(names).values()
            self.gossip_addresses = tuple(f"{host}:{port}" for host, port in addresses)

    def configuration(self, number: int) -> dict[str, Any]:
        configuration = super().configuration(number)
        configuration["settings"]["siblings"] = self.scale_scenario.members
        if self.gossip_addresses:
            configuration["peers"] = configuration["peers"] + list(self.gossip_addresses[len(self.routers) :])
        return configuration

    def ready_message(self, routers: Routers, operators: Path | None) -> StandInReady:
        """Return the message that reports the fleet as ready."""
        shared = self.configuration(0)
        ports = [p for name, p in self.discovery.ports.items() if role_of(name) == HOLLOW_PREFIX]
        return StandInReady(
            routers=tuple(r.address for r in routers.members),
            pids=tuple(pid for r in routers.members for pid in r.pids()),
            configuration={k: v for k, v in shared.items() if k not in ("name", "discovery")},
            discovery=tuple(f"127.0.0.1:{port.number}" for port in ports),
            gossip_addresses=self.gossip_addresses,
            operators=operators,
        )

    def _observe(self, observation: seen.Observation) -> None:
        """Log an observation; those of hollow members are only counted.

        The auditor judges real routers alone.
        """
        if isinstance(observation, seen.DiscoveryCall):
            self.calls[role_of(observation.router)] += observation.how == "begun"
        if isinstance(observation, seen.ListChanged):
            since_ms = round((observation.since + self.discovery.epoch) * 1000) if observation.since else 0
            self.changes.append(ListChange(observation.at, observation.box, observation.status, since_ms))
        if not (
            isinstance(observation, seen.DiscoveryCall | seen.ListEntrySent)
            and role_of(observation.router) == HOLLOW_PREFIX
        ):
            self.log.add(observation)

    def begin(self) -> None:
        # the cost of the start is excluded
        for counted in (self.calls, self.bytes_in, self.bytes_out):
            counted.clear()
        self.changes.clear()
        super().begin()

    def totals(self, faults: list[str]) -> StandInTotals:
        """Return what was observed since the run began."""
        return StandInTotals(
            faults, self.changes, dict(self.calls), dict(self.bytes_in), dict(self.bytes_out)
        )


async def serve(scenario: Scenario, folder: Path, command: str | None, connection: Any) -> None:
    """Run a stand-in fleet until the parent ends the run.

    With a router command it is the fleet of the real routers, which it starts; without one, that of the
    hollow members.
    """
    log = seen.ObservationLog(folder / LOG)
    fleet = ScaleFleet(scenario, log, command is None)
    await fleet.listen()
    routers = Routers(fleet.routers if command is not None else [], command or "", folder, log.add)
    running_fleet = RunningFleet(fleet, routers, log)
    try:
        write_operators_file = None
        if fleet.scenario.peers is not None:
            write_operators_file = partial(
                operators_file, fleet.scenario.peers, None, fleet.duty_relays, folder
            )
        await routers.start(fleet.configuration, write_operators_file)
        connection.send(
            (
                "ready",
                fleet.ready_message(
                    routers, write_operators_file(HOLLOW_PREFIX) if write_operators_file is not None else None
                ),
            )
        )
        await wait_for_end(connection, fleet.begin)
    finally:
        # the routers must end together with the process that has started them
        faults = await running_fleet.close()
    connection.send(("ended", fleet.totals(faults)))


def run_process(scenario: Scenario, folder: Path, command: str | None, connection: Any) -> None:
    """Run the process of a stand-in fleet, with its routers if it has any."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(serve(scenario, folder, command, connection))
