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
from myrtlecourse.scale.child_process import BEGIN, END, Child
from myrtlecourse.scale.guard import MB, Guard, adopt_orphans, end_all
from myrtlecourse.scale.machine import LOOPS, Process, Use, calibrate, machine_memory, others_share, processes
from myrtlecourse.scale.run_results import (
    SCHEMA,
    Calibration,
    InForceTimes,
    Machine,
    Results,
    Role,
    in_force_times,
)
from myrtlecourse.scale.scenario import Place, Scenario

LOOK = 0.25  # seconds between looks at bounds, kills and signals
START_TIME = 60.0  # seconds for all of a kind to be ready, and
START_MEMBER = 0.2  # more for each hollow member
END_TIME = 30.0  # seconds for all of a kind to end
LATE = 60.0  # seconds after the scenario's in which the load must have ended
SHARED = 0.1  # of the machine, used by others, from which on it is said so
TERMINATED = (signal.SIGINT, signal.SIGTERM)


class ScaleError(RuntimeError):
    """A run that did not come to its end."""


def send_load(job: load.Job, words: Any) -> None:
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
class Now:
    """How a run stands, for whoever looks on."""

    doing: str = "starting"
    at: float = 0.0  # seconds since all began
    counts: dict[str, int] = field(default_factory=dict)  # of requests
    memory: int = 0  # bytes of all processes
    processes: int = 0


class Run:
    """One run, from its first process to its last."""

    def __init__(
        self, scenario: Scenario, folder: Path, command: str, guard: Guard, look_on: Callable[[Now], None]
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.command = command
        self.guard = guard
        self.look_on = look_on
        self.now = Now()
        self.children: list[Child] = []
        self.signal: int | None = None
        self.looked_at = 0.0
        self.most_memory = self.most_processes = 0
        self.killed: list[str] = []
        self.counts: dict[str, hollow.Counts] = {}  # by process of hollow members
        self.in_force: list[hollow.InForce] = []
        self.said: dict[tuple[str, str], Any] = {}  # by process and word

    # Processes

    def start(self, name: str, role: Callable[..., None], *arguments: Any) -> Child:
        """Start a process."""
        child = Child(name, self.folder / "processes.log", role, *arguments)
        self.children.append(child)
        return child

    def look(self) -> None:
        """Keep the bounds, and end when asked to. Raises GuardError and ScaleError."""
        if self.signal is not None:
            raise ScaleError(f"ended by {signal.Signals(self.signal).name} while {self.now.doing}")
        if time.monotonic() - self.looked_at < LOOK:
            return
        self.looked_at = time.monotonic()
        self.now.memory, self.now.processes = self.guard.check()
        self.most_memory = max(self.most_memory, self.now.memory)
        self.most_processes = max(self.most_processes, self.now.processes)
        self.look_on(self.now)

    def hear(self) -> None:
        """Wait a little for words of any process, and take them. Raises ScaleError when one died."""
        self.look()
        open_words = {c.words: c for c in self.children if not c.words.closed}
        for words in multiprocessing.connection.wait(list(open_words), LOOK):
            child = open_words[words]  # type: ignore[index]
            try:
                what, value = child.words.recv()
            except (EOFError, ConnectionResetError):
                child.words.close()
                continue
            self.take(child, what, value)
        for child in self.children:
            if child.died():
                code = child.process.returncode
                raise ScaleError(f"{child.name} died (exit {code}) while {self.now.doing}")

    def take(self, child: Child, what: str, value: Any) -> None:
        """A process's word."""
        match what:
            case "fault":
                raise ScaleError(f"{child.name}: {value}")
            case "counts":
                self.in_force += value.in_force
                self.counts[child.name] = value
            case "progress":
                self.now.at, self.now.counts = value
            case _:
                child.ended = child.ended or what == "ended"
                self.said[child.name, what] = value

    def wait_for(self, children: list[Child], what: str, within: float) -> list[Any]:
        """Until each of these has said a word. Raises ScaleError when one has not in time."""
        until = time.monotonic() + within
        while silent := [c.name for c in children if (c.name, what) not in self.said]:
            if time.monotonic() > until:
                raise ScaleError(f"{silent[0]} was not {what} within {within:g} s")
            self.hear()
        return [self.said[c.name, what] for c in children]

    # The run

    def play(self) -> Results:
        """All of it. Raises ScaleError, GuardError and ObservationError; no process is left behind."""
        adopt_orphans()
        former = {each: signal.signal(each, self._told_to_end) for each in TERMINATED}
        try:
            before = calibrate()
            played = self._play()
            after = calibrate()
        finally:
            end_all()
            for each, handler in former.items():
                signal.signal(each, handler)
        calibration = Calibration(LOOPS, before, after, (before + after) / 2)
        return self._results(played, calibration)

    def _told_to_end(self, number: int, _: Any) -> None:
        self.signal = number

    def _play(self) -> Played:
        scenario = self.scenario
        stand_in = self.start("the fleet", stand_in_fleet.work, scenario, self.folder, self.command)
        apart = self.folder / "hollow"  # what is seen there is not judged
        apart.mkdir(exist_ok=True)
        alone = msgspec.structs.replace(scenario, peers=None)
        lists = self.start("the stand-in of hollow members", stand_in_fleet.work, alone, apart, None)
        there, listed = self.wait_for([stand_in, lists], "ready", START_TIME)
        members = [
            self.start(
                f"hollow process {number}",
                hollow.work,
                self._job(number, group, there, listed.discovery[number]),
            )
            for number, group in enumerate(scenario.groups())
        ]
        self.wait_for(members, "ready", START_TIME + START_MEMBER * scenario.hollow)
        job = load.Job(scenario.load(), there.routers, 1, scenario.seconds, observations=self.folder)
        sender = self.start("the load generator", send_load, job)
        self.wait_for([sender], "ready", START_TIME)
        sender.tell(BEGIN)
        self.wait_for([sender], "began", START_TIME)
        for child in (stand_in, lists, *members):
            child.tell(BEGIN)
        use, table, began = Use.now(), processes(), time.monotonic()
        self.now.doing = "running"
        self._run_on(members, sender, began)
        use_after, table_after = Use.now(), processes()
        self.now.doing = "ending"
        living = [child for child in members if not child.ended]
        for child in living:
            child.tell(END)
        memory = self.wait_for(living, "ended", END_TIME)
        for child in (stand_in, lists):
            child.tell(END)
        seen: list[stand_in_fleet.Ended] = self.wait_for([stand_in, lists], "ended", END_TIME)
        self.wait_for([sender], "ended", END_TIME)
        return Played(
            began=began,
            use=use,
            use_after=use_after,
            table=table,
            table_after=table_after,
            there=there,
            seen=seen[0],
            listed=seen[1],
            stand_ins=(stand_in.process.pid, lists.process.pid),
            memory=memory,
            load=self.said[sender.name, "ended"],
        )

    def _job(
        self, number: int, group: tuple[Place, ...], there: stand_in_fleet.Ready, discovery: str
    ) -> hollow.Job:
        return hollow.Job(
            there.configuration | {"discovery": discovery},
            there.heard_at,
            there.operators,
            group,
            tuple(self.scenario.restarts()),
            self.folder / f"hollow-{number}.log",
        )

    def _run_on(self, members: list[Child], sender: Child, began: float) -> None:
        """Until the load has ended, with processes killed in their time."""
        kills = self.scenario.kills()
        while (sender.name, "ended") not in self.said:
            passed = time.monotonic() - began
            while kills and kills[0][0] <= passed:
                child = members[kills.pop(0)[1]]
                if not child.ended:
                    child.kill()
                    self.killed.append(child.name)
            if passed > self.scenario.seconds + LATE:
                raise ScaleError(f"the load generator has not ended {LATE:g} s after its time")
            self.hear()

    # Results

    def _results(self, played: Played, calibration: Calibration) -> Results:
        took, record = played.load
        figures = record.figures(took)
        share = others_share(played.use, played.use_after)
        cost = partial(_role, calibration.unit_s)
        return Results(
            schema=SCHEMA,
            command=[],
            scenario=msgspec.to_builtins(self.scenario),
            seconds=played.use_after.at - played.use.at,
            machine=Machine(os.cpu_count() or 1, machine_memory() / MB, calibration, share, share > SHARED),
            roles={"hollow": self._hollow(played, cost), "router": self._routers(played, cost)},
            busiest_hollow_process=max(
                (c.cpu / (c.at - played.began) for c in self.counts.values()), default=0.0
            ),
            stand_in_cpu_s=_spent(played, played.stand_ins),
            most_memory_mb=self.most_memory / MB,
            most_processes=self.most_processes,
            killed=self.killed,
            verdict=audit(self.folder, self.scenario.fleet().rules),
            router_faults=played.seen.faults + played.listed.faults,
            load={name: figures[name] for name in LOAD_FIGURES},
        )

    def _hollow(self, played: Played, cost: Callable[..., Role]) -> Role:
        groups = dict(
            zip(
                (f"hollow process {n}" for n in range(self.scenario.processes)),
                self.scenario.groups(),
                strict=True,
            )
        )
        seconds = sum((c.at - played.began) * len(groups[name]) for name, c in self.counts.items())
        there = {p.number for name, group in groups.items() if name not in self.killed for p in group}
        each = self.counts.values()
        return cost(
            played.listed,
            "hollow",
            members=self.scenario.hollow,
            count=self.scenario.processes,
            seconds=seconds,
            cpu=sum(c.cpu for c in each),
            memory=sum(played.memory) / len(played.memory) if played.memory else 0.0,
            datagrams=(
                sum(c.datagrams_in for c in each),
                sum(c.datagrams_out for c in each),
                sum(c.datagram_bytes_in for c in each),
                sum(c.datagram_bytes_out for c in each),
            ),
            in_force=in_force_times(played.listed.changes, self.in_force, there),
        )

    def _routers(self, played: Played, cost: Callable[..., Role]) -> Role:
        pids = [pid for pid in played.there.pids if pid in played.table_after]
        return cost(
            played.seen,
            "router",
            members=self.scenario.routers,
            count=self.scenario.routers,
            seconds=(played.use_after.at - played.use.at) * self.scenario.routers,
            cpu=_spent(played, tuple(pids)),
            memory=sum(played.table_after[pid].memory for pid in pids) / MB / max(1, len(pids)),
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
class Played:
    """What a run's processes told, and what they took."""

    began: float
    use: Use
    use_after: Use
    table: dict[int, Process]
    table_after: dict[int, Process]
    there: stand_in_fleet.Ready
    seen: stand_in_fleet.Ended  # by the stand-in of the real routers
    listed: stand_in_fleet.Ended  # by the one of hollow members
    stand_ins: tuple[int, ...]  # their processes
    memory: list[float]  # MB of a member, by process
    load: tuple[float, Record]


def _spent(played: Played, pids: tuple[int, ...]) -> float:
    """Seconds of processor of processes that were there at both ends."""
    return sum(played.table_after[pid].own - played.table[pid].own for pid in pids)


def _role(
    unit: float,
    seen: stand_in_fleet.Ended,
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
