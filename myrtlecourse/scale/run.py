"""A run: its processes are started, watched and ended, and its results put together."""

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

CHECK_INTERVAL = 0.25  # seconds between looks at bounds, kills and signals
START_TIMEOUT = 60.0  # seconds for all of a kind to be ready, and
MEMBER_START_TIMEOUT = 0.2  # more for each hollow member
END_TIMEOUT = 30.0  # seconds for all of a kind to end
LOAD_END_TIMEOUT = 60.0  # seconds after the scenario's in which the load must have ended
MAX_OTHERS_SHARE = 0.1  # of the machine, used by others, from which on it is said so
TERMINATING_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class ScaleError(RuntimeError):
    """A run that did not come to its end."""


def run_load(job: load.Job, words: Any) -> None:
    """The load generator's process: begins when told, ends early when whoever started it is gone."""
    words.send(("ready", None))
    words.recv()

    def watch() -> None:
        try:
            words.recv()
        except (EOFError, OSError):
            os.kill(os.getpid(), signal.SIGINT)  # `load.run` ends its workers then

    threading.Thread(target=watch, daemon=True).start()
    told = load.run(
        job, lambda at, counts: words.send(("progress", (at, counts))), lambda: words.send(("began", None))
    )
    words.send(("ended", told))


@dataclass
class RunStatus:
    """How a run stands, for whoever looks on."""

    phase: str = "starting"
    elapsed: float = 0.0  # seconds since all began
    counts: dict[str, int] = field(default_factory=dict)  # of requests
    memory: int = 0  # bytes of all processes
    processes: int = 0


class Run:
    """One run, from its first process to its last."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        command: str,
        guard: ResourceLimits,
        look_on: Callable[[RunStatus], None],
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.command = command
        self.limits = guard
        self.on_status = look_on
        self.status = RunStatus()
        self.children: list[ChildProcess] = []
        self.received_signal: int | None = None
        self.checked_at = 0.0
        self.peak_memory = self.peak_processes = 0
        self.killed: list[str] = []
        self.counts: dict[str, hollow.Counts] = {}  # by process of hollow members
        self.in_force: list[hollow.InForceRecord] = []
        self.messages: dict[tuple[str, str], Any] = {}  # by process and word

    # Processes

    def start_child(self, name: str, role: Callable[..., None], *arguments: Any) -> ChildProcess:
        """Start a process."""
        child = ChildProcess(name, self.folder / "processes.log", role, *arguments)
        self.children.append(child)
        return child

    def check(self) -> None:
        """Keep the bounds, and end when asked to. Raises GuardError and ScaleError."""
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
        """Wait a little for words of any process, and take them. Raises ScaleError when one died."""
        self.check()
        open_words = {c.connection: c for c in self.children if not c.connection.closed}
        for words in multiprocessing.connection.wait(list(open_words), CHECK_INTERVAL):
            child = open_words[words]  # type: ignore[index]
            try:
                what, value = child.connection.recv()
            except (EOFError, ConnectionResetError):
                child.connection.close()
                continue
            self.handle_message(child, what, value)
        for child in self.children:
            if child.has_died():
                code = child.process.returncode
                raise ScaleError(f"{child.name} died (exit {code}) while {self.status.phase}")

    def handle_message(self, child: ChildProcess, what: str, value: Any) -> None:
        """A process's word."""
        match what:
            case "fault":
                raise ScaleError(f"{child.name}: {value}")
            case "counts":
                self.in_force += value.in_force
                self.counts[child.name] = value
            case "progress":
                self.status.elapsed, self.status.counts = value
            case _:
                child.ended = child.ended or what == "ended"
                self.messages[child.name, what] = value

    def wait_for_message(self, children: list[ChildProcess], what: str, within: float) -> list[Any]:
        """Until each of these has said a word. Raises ScaleError when one has not in time."""
        until = time.monotonic() + within
        while silent := [c.name for c in children if (c.name, what) not in self.messages]:
            if time.monotonic() > until:
                raise ScaleError(f"{silent[0]} was not {what} within {within:g} s")
            self.receive()
        return [self.messages[c.name, what] for c in children]

    # The run

    def execute(self) -> Results:
        """All of it. Raises ScaleError, GuardError and ObservationError; no process is left behind."""
        adopt_orphans()
        former = {each: signal.signal(each, self._on_signal) for each in TERMINATING_SIGNALS}
        try:
            before = calibrate()
            played = self._run_processes()
            after = calibrate()
        finally:
            end_descendants()
            for each, handler in former.items():
                signal.signal(each, handler)
        calibration = Calibration(CALIBRATION_LOOPS, before, after, (before + after) / 2)
        return self._results(played, calibration)

    def _on_signal(self, number: int, _: Any) -> None:
        self.received_signal = number

    def _run_processes(self) -> RunData:
        scenario = self.scenario
        stand_in = self.start_child(
            "the fleet", stand_in_fleet.run_process, scenario, self.folder, self.command
        )
        apart = self.folder / "hollow"  # what is seen there is not judged
        apart.mkdir(exist_ok=True)
        alone = msgspec.structs.replace(scenario, peers=None)
        lists = self.start_child(
            "the stand-in of hollow members", stand_in_fleet.run_process, alone, apart, None
        )
        there, listed = self.wait_for_message([stand_in, lists], "ready", START_TIMEOUT)
        members = [
            self.start_child(
                f"hollow process {number}",
                hollow.run_process,
                self._hollow_job(number, group, there, listed.discovery[number]),
            )
            for number, group in enumerate(scenario.members_by_process())
        ]
        self.wait_for_message(members, "ready", START_TIMEOUT + MEMBER_START_TIMEOUT * scenario.hollow)
        job = load.Job(scenario.load_profile(), there.routers, 1, scenario.seconds, observations=self.folder)
        sender = self.start_child("the load generator", run_load, job)
        self.wait_for_message([sender], "ready", START_TIMEOUT)
        sender.send(BEGIN)
        self.wait_for_message([sender], "began", START_TIMEOUT)
        for child in (stand_in, lists, *members):
            child.send(BEGIN)
        use, table, began = CpuUsage.now(), read_processes(), time.monotonic()
        self.status.phase = "running"
        self._run_until_load_ends(members, sender, began)
        use_after, table_after = CpuUsage.now(), read_processes()
        self.status.phase = "ending"
        living = [child for child in members if not child.ended]
        for child in living:
            child.send(END)
        memory = self.wait_for_message(living, "ended", END_TIMEOUT)
        for child in (stand_in, lists):
            child.send(END)
        seen: list[stand_in_fleet.StandInTotals] = self.wait_for_message(
            [stand_in, lists], "ended", END_TIMEOUT
        )
        self.wait_for_message([sender], "ended", END_TIMEOUT)
        return RunData(
            began_at=began,
            usage=use,
            usage_after=use_after,
            table=table,
            table_after=table_after,
            ready=there,
            router_totals=seen[0],
            hollow_totals=seen[1],
            stand_ins=(stand_in.process.pid, lists.process.pid),
            member_memory=memory,
            load=self.messages[sender.name, "ended"],
        )

    def _hollow_job(
        self, number: int, group: tuple[MemberPlace, ...], there: stand_in_fleet.StandInReady, discovery: str
    ) -> hollow.HollowJob:
        return hollow.HollowJob(
            there.configuration | {"discovery": discovery},
            there.gossip_addresses,
            there.operators,
            group,
            tuple(self.scenario.restarts()),
            self.folder / f"hollow-{number}.log",
        )

    def _run_until_load_ends(self, members: list[ChildProcess], sender: ChildProcess, began: float) -> None:
        """Until the load has ended, with processes killed in their time."""
        kills = self.scenario.kills()
        while (sender.name, "ended") not in self.messages:
            passed = time.monotonic() - began
            while kills and kills[0][0] <= passed:
                child = members[kills.pop(0)[1]]
                if not child.ended:
                    child.kill()
                    self.killed.append(child.name)
            if passed > self.scenario.seconds + LOAD_END_TIMEOUT:
                raise ScaleError(f"the load generator has not ended {LOAD_END_TIMEOUT:g} s after its time")
            self.receive()

    # Results

    def _results(self, played: RunData, calibration: Calibration) -> Results:
        took, record = played.load
        figures = record.figures(took)
        share = others_share(played.usage, played.usage_after)
        cost = partial(_role_costs, calibration.unit_s)
        return Results(
            schema=SCHEMA,
            command=[],
            scenario=msgspec.to_builtins(self.scenario),
            seconds=played.usage_after.time - played.usage.time,
            machine=Machine(
                os.cpu_count() or 1, machine_memory() / MB, calibration, share, share > MAX_OTHERS_SHARE
            ),
            roles={"hollow": self._hollow_role(played, cost), "router": self._router_role(played, cost)},
            busiest_hollow_process=max(
                (c.cpu / (c.at - played.began_at) for c in self.counts.values()), default=0.0
            ),
            stand_in_cpu_s=_cpu_used(played, played.stand_ins),
            most_memory_mb=self.peak_memory / MB,
            most_processes=self.peak_processes,
            killed=self.killed,
            verdict=audit(self.folder, self.scenario.fleet_scenario().rules),
            router_faults=played.router_totals.faults + played.hollow_totals.faults,
            load={name: figures[name] for name in LOAD_FIGURES},
        )

    def _hollow_role(self, played: RunData, cost: Callable[..., Role]) -> Role:
        groups = dict(
            zip(
                (f"hollow process {n}" for n in range(self.scenario.processes)),
                self.scenario.members_by_process(),
                strict=True,
            )
        )
        seconds = sum((c.at - played.began_at) * len(groups[name]) for name, c in self.counts.items())
        there = {p.number for name, group in groups.items() if name not in self.killed for p in group}
        each = self.counts.values()
        return cost(
            played.hollow_totals,
            "hollow",
            members=self.scenario.hollow,
            count=self.scenario.processes,
            seconds=seconds,
            cpu=sum(c.cpu for c in each),
            memory=sum(played.member_memory) / len(played.member_memory) if played.member_memory else 0.0,
            datagrams=(
                sum(c.datagrams_in for c in each),
                sum(c.datagrams_out for c in each),
                sum(c.datagram_bytes_in for c in each),
                sum(c.datagram_bytes_out for c in each),
            ),
            in_force=in_force_times(played.hollow_totals.changes, self.in_force, there),
        )

    def _router_role(self, played: RunData, cost: Callable[..., Role]) -> Role:
        pids = [pid for pid in played.ready.pids if pid in played.table_after]
        return cost(
            played.router_totals,
            "router",
            members=self.scenario.routers,
            count=self.scenario.routers,
            seconds=(played.usage_after.time - played.usage.time) * self.scenario.routers,
            cpu=_cpu_used(played, tuple(pids)),
            memory=sum(played.table_after[pid].resident for pid in pids) / MB / max(1, len(pids)),
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
    """What a run's processes told, and what they took."""

    began_at: float
    usage: CpuUsage
    usage_after: CpuUsage
    table: dict[int, ProcessStat]
    table_after: dict[int, ProcessStat]
    ready: stand_in_fleet.StandInReady
    router_totals: stand_in_fleet.StandInTotals  # by the stand-in of the real routers
    hollow_totals: stand_in_fleet.StandInTotals  # by the one of hollow members
    stand_ins: tuple[int, ...]  # their processes
    member_memory: list[float]  # MB of a member, by process
    load: tuple[float, Record]


def _cpu_used(played: RunData, pids: tuple[int, ...]) -> float:
    """Seconds of processor of processes that were there at both ends."""
    return sum(played.table_after[pid].cpu_s - played.table[pid].cpu_s for pid in pids)


def _role_costs(
    unit: float,
    seen: stand_in_fleet.StandInTotals,
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
    """What one role took, by member and second."""
    each = 1.0 / seconds if seconds > 0 else 0.0
    rates = (None, None, None, None) if datagrams is None else tuple(count * each for count in datagrams)
    return Role(
        members=members,
        processes=count,
        member_seconds=seconds,
        cpu_s=cpu,
        cpu_per_member_second=cpu * each,
        calibrated_per_member_second=cpu * each / unit,
        memory_mb=memory,
        list_calls=seen.calls.get(role, 0),
        # what discovery wrote has come in, and what it read has gone out
        list_bytes_in_per_s=seen.bytes_out.get(role, 0) * each,
        list_bytes_out_per_s=seen.bytes_in.get(role, 0) * each,
        datagrams_in_per_s=rates[0],
        datagrams_out_per_s=rates[1],
        datagram_bytes_in_per_s=rates[2],
        datagram_bytes_out_per_s=rates[3],
        in_force=in_force,
    )
