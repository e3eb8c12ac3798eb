"""What a run would start, and the memory and sockets foretold for it; starts nothing."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from myrtlecourse.scale.guard import MB, ResourceLimitError, ResourceLimits
from myrtlecourse.scale.scenario import Scenario

# MB, measured by runs of `scale run` (docs/scale.md tells which), rounded up
PARENT_MB = 60.0  # whoever starts the rest, and the load generator's process, each
STAND_IN_MB = 75.0
ROUTER_SERVER_MB = 0.1  # of the stand-in, for each router that reaches it
LOAD_WORKER_MB = 65.0  # that sends requests
ROUTER_MB = 45.0  # a real one, with little to do
HOLLOW_PROCESS_MB = 50.0  # without members
MEMBER_MB = 0.1
MEMBER_SERVER_MB = 0.025  # for each cache server in its list
MEMBER_PEER_MB = 0.002  # for each other member that it talks to
CLIENT_CONNECTIONS = 256  # connections of a worker (`load/profile.py`)
SPARE_DESCRIPTORS = 32  # descriptors of any process for itself
LOAD_PROCESSES = 3  # the load generator's: its own, its worker's, and one of Python's that cleans up


@dataclass(frozen=True)
class ProcessGroup:
    """Processes of one kind."""

    name: str
    processes: int
    members: int
    memory: int  # bytes, of all of them
    sockets: int  # of the one that has most


@dataclass(frozen=True)
class Plan:
    """All of a run."""

    groups: tuple[ProcessGroup, ...]

    @property
    def processes(self) -> int:
        return sum(p.processes for p in self.groups)

    @property
    def memory(self) -> int:
        """Bytes foretold."""
        return sum(p.memory for p in self.groups)

    def check_limits(self, guard: ResourceLimits) -> None:
        """Raises GuardError where it would take more than it may."""
        guard.require(self.memory, self.processes, "the run would take")
        room = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        for each in self.groups:
            if each.sockets > room:
                raise ResourceLimitError(
                    f"sockets: {each.name} would take {each.sockets}, and the bound is {room}"
                )


def make_plan(scenario: Scenario) -> Plan:
    """What a run of a scenario would start."""
    servers, talk = sum(kind.boxes for kind in scenario.kinds), scenario.peers is not None
    others = scenario.members - 1 if talk else 0
    member = MEMBER_MB + MEMBER_SERVER_MB * servers + MEMBER_PEER_MB * others
    routers, hollow, processes = scenario.routers, scenario.hollow, scenario.processes
    reached = servers * routers
    ways = scenario.members + routers * routers if talk else 0  # ports kept free, and ways between routers
    return Plan(
        (
            _process_group("this process", 1, 0, PARENT_MB, SPARE_DESCRIPTORS + 2 + processes),
            # one for real routers, one for hollow members
            _process_group(
                "stand-in fleets",
                *(2, 0, 2 * (STAND_IN_MB + ROUTER_SERVER_MB * reached)),
                SPARE_DESCRIPTORS + 2 * reached + 2 * scenario.members + processes + routers + ways,
            ),
            _process_group(
                "real routers",
                routers,
                routers,
                (ROUTER_MB + member) * routers,
                CLIENT_CONNECTIONS + 2 * servers + SPARE_DESCRIPTORS,
            ),
            _process_group(
                "hollow members",
                *(processes, hollow, HOLLOW_PROCESS_MB * processes + member * hollow),
                SPARE_DESCRIPTORS + scenario.per_process * (2 if talk else 1),
            ),
            _process_group(
                "load generator",
                LOAD_PROCESSES,
                0,
                2 * PARENT_MB + LOAD_WORKER_MB,
                CLIENT_CONNECTIONS + SPARE_DESCRIPTORS,
            ),
        )
    )


def _process_group(what: str, processes: int, members: int, memory: float, sockets: int) -> ProcessGroup:
    return ProcessGroup(what, processes, members, int(memory * MB), sockets)
