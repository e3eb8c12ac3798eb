"""Plans a run without starting anything: its processes, and their expected memory and sockets."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from myrtlecourse.scale.guard import MB, ResourceLimitError, ResourceLimits
from myrtlecourse.scale.scenario import Scenario

# Memory in MB, rounded up from runs of `scale run`, which docs/scale.md names.
PARENT_MB = 60.0  # the parent process, and also the load generator's main process
STAND_IN_MB = 75.0
ROUTER_SERVER_MB = 0.1  # in the stand-in fleet, for each cache server of each router
LOAD_WORKER_MB = 65.0  # a worker that sends requests
ROUTER_MB = 45.0  # a real router with little load
HOLLOW_PROCESS_MB = 50.0  # a process of hollow members, without its members
MEMBER_MB = 0.1
MEMBER_SERVER_MB = 0.025  # for each cache server in a member's list
MEMBER_PEER_MB = 0.002  # for each other member that a member gossips with
CLIENT_CONNECTIONS = 256  # connections of a load worker (`load/profile.py`)
SPARE_DESCRIPTORS = 32  # file descriptors that any process needs for itself
LOAD_PROCESSES = 3  # the load generator's main process, its worker, and Python's resource tracker


@dataclass(frozen=True)
class ProcessGroup:
    """Processes of one kind."""

    name: str
    processes: int
    members: int
    memory: int  # bytes used by all of these processes together
    sockets: int  # sockets of the process that has the most


@dataclass(frozen=True)
class Plan:
    """All processes of a run."""

    groups: tuple[ProcessGroup, ...]

    @property
    def processes(self) -> int:
        return sum(p.processes for p in self.groups)

    @property
    def memory(self) -> int:
        """The expected memory in bytes."""
        return sum(p.memory for p in self.groups)

    def check_limits(self, limits: ResourceLimits) -> None:
        """Raise ResourceLimitError if the run would exceed a limit."""
        limits.require(self.memory, self.processes, "the run would take")
        max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        for group in self.groups:
            if group.sockets > max_descriptors:
                raise ResourceLimitError(
                    f"sockets: {group.name} would take {group.sockets}, and the limit is {max_descriptors}"
                )


def make_plan(scenario: Scenario) -> Plan:
    """Return what a run of a scenario would start."""
    servers, gossip = sum(kind.boxes for kind in scenario.kinds), scenario.peers is not None
    others = scenario.members - 1 if gossip else 0
    member_mb = MEMBER_MB + MEMBER_SERVER_MB * servers + MEMBER_PEER_MB * others
    routers, hollow, processes = scenario.routers, scenario.hollow, scenario.processes
    router_servers = servers * routers
    # reserved ports, and relays between pairs of routers
    relays = scenario.members + routers * routers if gossip else 0
    return Plan(
        (
            _process_group("this process", 1, 0, PARENT_MB, SPARE_DESCRIPTORS + 2 + processes),
            # one stand-in fleet for the real routers and one for the hollow members
            _process_group(
                "stand-in fleets",
                *(2, 0, 2 * (STAND_IN_MB + ROUTER_SERVER_MB * router_servers)),
                SPARE_DESCRIPTORS + 2 * router_servers + 2 * scenario.members + processes + routers + relays,
            ),
            _process_group(
                "real routers",
                routers,
                routers,
                (ROUTER_MB + member_mb) * routers,
                CLIENT_CONNECTIONS + 2 * servers + SPARE_DESCRIPTORS,
            ),
            _process_group(
                "hollow members",
                *(processes, hollow, HOLLOW_PROCESS_MB * processes + member_mb * hollow),
                SPARE_DESCRIPTORS + scenario.per_process * (2 if gossip else 1),
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


def _process_group(name: str, processes: int, members: int, memory: float, sockets: int) -> ProcessGroup:
    return ProcessGroup(name, processes, members, int(memory * MB), sockets)
