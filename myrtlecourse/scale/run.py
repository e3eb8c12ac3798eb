"""Starts, monitors and ends the processes of a run, and assembles its results."""

from __future__ import annotations

import multiprocessing.connection
import os
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from myrtlecourse.fleet.session import audit
from myrtlecourse.load import run as load
from myrtlecourse.load.record import Record
from myrtlecourse.scale import hollow, stand_in_fleet
from myrtlecourse.scale.child_process import BEGIN, END, ChildProcess
from myrtlecourse.scale.guard import MB, ResourceLimits, adopt_orphans, end_descendants
from myrtlecourse.scale.machine import (
    CALIBRATION_LOOPS,
    CpuUsage,
    ProcessStat,
    calibrate,
    machine_memory,
    others_share,
    read_processes,
)
from myrtlecourse.scale.run_results import (
    SCHEMA,
    Calibration,
    InForceTimes,
    Machine,
    Results,
    Role,
    in_force_times,
)
from myrtlecourse.scale.scenario import MemberPlace, Scenario

CHECK_INTERVAL = 0.25  # seconds between checks of limits, planned kills and signals
START_TIMEOUT = 60.0  # seconds within which all processes of a kind must be ready
MEMBER_START_TIMEOUT = 0.2  # further seconds for each hollow member
END_TIMEOUT = 30.0  # seconds within which all processes of a kind must end
LOAD_END_TIMEOUT = 60.0  # seconds after the end of the scenario within which the load must have ended
# share of the machine used by other processes above which the results are marked as shared
MAX_OTHERS_SHARE = 0.1
TERMINATING_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class ScaleError(RuntimeError):
    """Raised when a run does not complete."""


def run_load(job: load.Job, connection: Any) -> None:
    """Run the load generator's process: it begins on a message, and ends early when its parent is gone."""
    connection.send(("ready", None))
    connection.recv()

    def watch_parent() -> None:
        try:
            connection.recv()
        except (EOFError, OSError):
            os.kill(os.getpid(), signal.SIGINT)  # `load.run` then ends its workers

    threading.Thread(target=watch_parent, daemon=True).start()
    result = load.run(
        job,
        lambda at, counts: connection.send(("progress", (at, counts))),
        lambda: connection.send(("began", None)),
    )
    connection.send(("ended", result))


@dataclass
class RunStatus:
    """The state of a run, as reported to an observer."""

    phase: str = "starting"
    elapsed: float = 0.0  # seconds since the load began
    counts: dict[str, int] = field(default_factory=dict)  # requests by outcome
    memory: int = 0  # bytes used by all processes
    processes: int = 0


class Run:
    """One run, from its first process to its last."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        command: str,
        limits: ResourceLimits,
        on_status: Callable[[RunStatus], None],
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.command = command
        self.limits = limits
        self.on_status = on_status
        self.status = RunStatus()
        self.children: list[ChildProcess] = []
        self.received_signal: int | None = None
        self.checked_at = 0.0
        self.peak_memory = self.peak_processes = 0
        self.killed: list[str] = []
        self.counts: dict[str, hollow.Counts] = {}  # by process of hollow members
        self.in_force: list[hollow.InForceRecord] = []
        self.messages: dict[tuple[str, str], Any] = {}  # the latest message of each type, by process and type

    # Processes

    def start_child(self, name: str, role: Callable[..., None], *arguments: Any) -> ChildProcess:
        """Start a child process that calls `role` with the arguments."""
        child = ChildProcess(name, self.folder / "processes.log", role, *arguments)
        self.children.append(child)
        return child

    def check(self) -> None:
        """Check the resource limits and received signals. Raises ResourceLimitError and ScaleError."""
        if self.received_signal is not None:
            raise ScaleError(
                f"ended by {signal.Signals(self.received_signal).name} while {self.status.phase}"
            )
        if time.monotonic() - self.checked_at < CHECK_INTERVAL:
            return
        self.checked_at = time.monotonic()
        self.status.memory, self.status.processes = self.limits.check_usage()
        self.peak_memory = max(self.peak_memory, self.status.memory)
        self.peak_processes = max(self.peak_processes, self.status.processes)
        self.on_status(self.status)

    def receive(self) -> None:
        """Wait briefly for messages from any process, and handle them.

        Raises ScaleError when a process has died.
        """
        self.check()
        open_connections = {c.connection: c for c in self.children if not c.connection.closed}
        for connection in multiprocessing.connection.wait(list(open_connections), CHECK_INTERVAL):
            child = open_connections[connection]  # type: ignore[index]
            try:
                message_type, value = child.connection.recv()
            except (EOFError, ConnectionResetError):
                child.connection.close()
                continue
            self.handle_message(child, message_type, value)
        for child in self.children:
            if child.has_died():
                code = child.process.returncode
                raise ScaleError(f"{child.name} died (exit {code}) while {self.status.phase}")

    def handle_message(self, child: ChildProcess, message_type: str, value: Any) -> None:
        """Handle one message from a process."""
        match message_type:
            case "fault":
                raise ScaleError(f"{child.name}: {value}")
            case "counts":
                self.in_force += value.in_force
                self.counts[child.name] = value
            case "progress":
                self.status.elapsed, self.status.counts = value
            case _:
                child.ended = child.ended or message_type == "ended"
                self.messages[child.name, message_type] = value

    def wait_for_message(self, children: list[ChildProcess], message_type: str, timeout: float) -> list[Any]:
        """Wait until each of these processes has sent a message of a type.

        Raises ScaleError on a timeout.
        """
        deadline = time.monotonic() + timeout
        while missing := [c.name for c in children if (c.name, message_type) not in self.messages]:
            if time.monotonic() > deadline:
                raise ScaleError(f"{missing[0]} was not {message_type} within {timeout:g} s")
            self.receive()
        return [self.messages[c.name, message_type] for c in children]

    # Execution of the run

    def execute(self) -> Results:
        """Execute the whole run; no process is left behind.

        Raises ScaleError, ResourceLimitError and ObservationError.
        """
        adopt_orphans()
        previous_handlers = {
            signal_number: signal.signal(signal_number, self._on_signal)
            for signal_number in TERMINATING_SIGNALS
        }
        try:
            before = calibrate()
            data = self._run_processes()
            after = calibrate()
        finally:
            end_descendants()
            for signal_number, handler in previous_handlers.items():
                signal.signal(signal_number, handler)
        calibration = Calibration(CALIBRATION_LOOPS, before, after, (before + after) / 2)
        return self._results(data, calibration)

    def _on_signal(self, number: int, _: Any) -> None:
        self.received_signal = number

    def _run_processes(self) -> RunData:
        scenario = self.scenario
        fleet = self.start_child("the fleet", stand_in_fleet.run_process, scenario, self.folder, self.command)
        # a folder of its own, so that observations from the hollow members' fleet are not audited
        hollow_folder = self.folder / "hollow"
        hollow_folder.mkdir(exist_ok=True)
        without_peers = msgspec.structs.replace(scenario, peers=None)
        hollow_fleet = self.start_child(
            "the stand-in of hollow members", stand_in_fleet.run_process, without_peers, hollow_folder, None
        )
        ready, hollow_ready = self.wait_for_message([fleet, hollow_fleet], "ready", START_TIMEOUT)
        members = [
            self.start_child(
                f"hollow process {number}",
                hollow.run_process,
                self._hollow_job(number, group, ready, hollow_ready.discovery[number]),
            )
            for number, group in enumerate(scenario.members_by_process())
        ]
        self.wait_for_message(members, "ready", START_TIMEOUT + MEMBER_START_TIMEOUT * scenario.hollow)
        job = load.Job(scenario.load_profile(), ready.routers, 1, scenario.seconds, observations=self.folder)
        load_process = self.start_child("the load generator", run_load, job)
        self.wait_for_message([load_process], "ready", START_TIMEOUT)
        load_process.send(BEGIN)
        self.wait_for_message([load_process], "began", START_TIMEOUT)
        for child in (fleet, hollow_fleet, *members):
            child.send(BEGIN)
        usage, table, began = CpuUsage.now(), read_processes(), time.monotonic()
        self.status.phase = "running"
        self._run_until_load_ends(members, load_process, began)
        usage_after, table_after = CpuUsage.now(), read_processes()
        self.status.phase = "ending"
        alive = [child for child in members if not child.ended]
        for child in alive:
            child.send(END)
        memory = self.wait_for_message(alive, "ended", END_TIMEOUT)
        for child in (fleet, hollow_fleet):
            child.send(END)
        totals: list[stand_in_fleet.StandInTotals] = self.wait_for_message(
            [fleet, hollow_fleet], "ended", END_TIMEOUT
        )
        self.wait_for_message([load_process], "ended", END_TIMEOUT)
        return RunData(
            began_at=began,
            usage=usage,
            usage_after=usage_after,
            table=table,
            table_after=table_after,
            ready=ready,
            router_totals=totals[0],
            hollow_totals=totals[1],
            stand_ins=(fleet.process.pid, hollow_fleet.process.pid),
            member_memory=memory,
            load=self.messages[load_process.name, "ended"],
        )

    def _hollow_job(
        self, number: int, group: tuple[MemberPlace, ...], ready: stand_in_fleet.StandInReady, discovery: str
    ) -> hollow.HollowJob:
        return hollow.HollowJob(
            ready.configuration | {"discovery": discovery},
            ready.gossip_addresses,
            ready.operators,
            group,
            tuple(self.scenario.restarts()),
            self.folder / f"hollow-{number}.log",
        )

    def _run_until_load_ends(
        self, members: list[ChildProcess], load_process: ChildProcess, began: float
    ) -> None:
        """Wait until the load has ended, and kill processes at their planned times."""
        kills = self.scenario.kills()
        while (load_process.name, "ended") not in self.messages:
            elapsed = time.monotonic() - began
            while kills and kills[0][0] <= elapsed:
                child = members[kills.pop(0)[1]]
                if not child.ended:
                    child.kill()
                    self.killed.append(child.name)
            if elapsed > self.scenario.seconds + LOAD_END_TIMEOUT:
                raise ScaleError(
                    f"the load generator has not ended {LOAD_END_TIMEOUT:g} s after the end of the scenario"
                )
            self.receive()

    # Results

    def _results(self, data: RunData, calibration: Calibration) -> Results:
        took, record = data.load
        figures = record.figures(took)
        share = others_share(data.usage, data.usage_after)
        make_role = partial(_role_costs, calibration.unit_s)
        return Results(
            schema=SCHEMA,
            command=[],
            scenario=msgspec.to_builtins(self.scenario),
            seconds=data.usage_after.time - data.usage.time,
            machine=Machine(
                os.cpu_count() or 1, machine_memory() / MB, calibration, share, share > MAX_OTHERS_SHARE
            ),
            roles={
                "hollow": self._hollow_role(data, make_role),
                "router": self._router_role(data, make_role),
            },
            busiest_hollow_process=max(
                (c.cpu / (c.at - data.began_at) for c in self.counts.values()), default=0.0
            ),
            stand_in_cpu_s=_cpu_used(data, data.stand_ins),
            most_memory_mb=self.peak_memory / MB,
            most_processes=self.peak_processes,
            killed=self.killed,
            verdict=audit(self.folder, self.scenario.fleet_scenario().rules),
            router_faults=data.router_totals.faults + data.hollow_totals.faults,
            load={name: figures[name] for name in LOAD_FIGURES},
        )

    def _hollow_role(self, data: RunData, make_role: Callable[..., Role]) -> Role:
        groups = dict(
            zip(
                (f"hollow process {n}" for n in range(self.scenario.processes)),
                self.scenario.members_by_process(),
                strict=True,
            )
        )
        seconds = sum((c.at - data.began_at) * len(groups[name]) for name, c in self.counts.items())
        alive = {p.number for name, group in groups.items() if name not in self.killed for p in group}
        counts = self.counts.values()
        return make_role(
            data.hollow_totals,
            "hollow",
            members=self.scenario.hollow,
            count=self.scenario.processes,
            seconds=seconds,
            cpu=sum(c.cpu for c in counts),
            memory=sum(data.member_memory) / len(data.member_memory) if data.member_memory else 0.0,
            datagrams=(
                sum(c.datagrams_in for c in counts),
                sum(c.datagrams_out for c in counts),
                sum(c.datagram_bytes_in for c in counts),
                sum(c.datagram_bytes_out for c in counts),
            ),
            in_force=in_force_times(data.hollow_totals.changes, self.in_force, alive),
        )

    def _router_role(self, data: RunData, make_role: Callable[..., Role]) -> Role:
        pids = [pid for pid in data.ready.pids if pid in data.table_after]
        return make_role(
            data.router_totals,
            "router",
            members=self.scenario.routers,
            count=self.scenario.routers,
            seconds=(data.usage_after.time - data.usage.time) * self.scenario.routers,
            cpu=_cpu_used(data, tuple(pids)),
            memory=sum(data.table_after[pid].resident for pid in pids) / MB / max(1, len(pids)),
        )


LOAD_FIGURES = (
    "scheduled",
    "served",
    "refused",
    "failed",
    "in_time",
    "goodput",
    "latency_ms",
    "generator_was_the_limit",
)


@dataclass(frozen=True)
class RunData:
    """What the processes of a run reported, and the resources that they used."""

    began_at: float
    usage: CpuUsage
    usage_after: CpuUsage
    table: dict[int, ProcessStat]
    table_after: dict[int, ProcessStat]
    ready: stand_in_fleet.StandInReady
    router_totals: stand_in_fleet.StandInTotals  # from the stand-in fleet of the real routers
    hollow_totals: stand_in_fleet.StandInTotals  # from the stand-in fleet of the hollow members
    stand_ins: tuple[int, ...]  # process ids of both stand-in fleets
    member_memory: list[float]  # MB per member, by process
    load: tuple[float, Record]


def _cpu_used(data: RunData, pids: tuple[int, ...]) -> float:
    """Return the processor seconds that processes used which existed at the beginning and at the end."""
    return sum(data.table_after[pid].cpu_s - data.table[pid].cpu_s for pid in pids)


def _role_costs(
    calibration_s: float,
    totals: stand_in_fleet.StandInTotals,
    role: str,
    *,
    members: int,
    count: int,
    seconds: float,
    cpu: float,
    memory: float,
    datagrams: tuple[int, ...] | None = None,
    in_force: InForceTimes | None = None,
) -> Role:
    """Return what one role cost, per member and second."""
    per_second = 1.0 / seconds if seconds > 0 else 0.0
    rates = (
        (None, None, None, None) if datagrams is None else tuple(count * per_second for count in datagrams)
    )
    return Role(
        members=members,
        processes=count,
        member_seconds=seconds,
        cpu_s=cpu,
        cpu_per_member_second=cpu * per_second,
        calibrated_per_member_second=cpu * per_second / calibration_s,
        memory_mb=memory,
        list_calls=totals.calls.get(role, 0),
        # the bytes that the discovery server writes are those that members receive, and the other way round
        list_bytes_in_per_s=totals.bytes_out.get(role, 0) * per_second,
        list_bytes_out_per_s=totals.bytes_in.get(role, 0) * per_second,
        datagrams_in_per_s=rates[0],
        datagrams_out_per_s=rates[1],
        datagram_bytes_in_per_s=rates[2],
        datagram_bytes_out_per_s=rates[3],
        in_force=in_force,
    )
