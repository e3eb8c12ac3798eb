"""Runs a fleet in a process of its own, and a scenario with load and real routers up to its verdict."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from msgspec.structs import replace
from uvloop import new_event_loop

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor, Rules
from myrtlecourse.fleet.datagram_network import Relays
from myrtlecourse.fleet.duty_logs import holder_of, read_observations, step_command
from myrtlecourse.fleet.faults import Step, hot_keys, steps
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.operators import Operators
from myrtlecourse.fleet.routers import RouterError, Routers
from myrtlecourse.fleet.scenario import Duties, Peers, Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.run import Job, run

LOG = "fleet.jsonl"
DUTIES_LOG = "duties.jsonl"
START_TIME = 60.0  # seconds until the fleet and its routers are ready
END_TIME = 15.0  # seconds until the fleet's process has ended


class SessionError(RuntimeError):
    """A fleet could not be started, or its process died."""


@dataclass
class RunningFleet:
    """A running fleet, with its routers if it has any."""

    fleet: Fleet
    routers: Routers | None
    log: seen.ObservationLog
    operators: Operators | None = None  # only if the scenario has work for them

    def router_addresses(self) -> dict[str, Any]:
        """Return the addresses of the routers, if any."""
        return {"routers": [r.address for r in self.routers.members] if self.routers else []}

    async def close(self) -> list[str]:
        """End routers and fleet, and return what went wrong with the routers' processes."""
        if self.operators is not None:
            self.operators.stop()
        if self.routers is not None:
            await self.routers.end()
        self.fleet.close()
        await asyncio.sleep(0)  # lets closed connections be observed
        self.log.close()
        failures = self.routers.failures() if self.routers is not None else []
        return failures + (self.operators.faults if self.operators is not None else [])

    def apply_step(self, step: Step) -> None:
        """Apply a step that concerns routers."""
        assert self.routers is not None
        if self.operators is not None and step.action in ("offline", "online"):
            for router in self.routers.members:
                self.routers.run_in_background(self.operators.change_service(router, step))
        else:
            self.routers.apply_step(step)


def operators_file(peers: Peers, duties: Duties | None, relays: Relays, folder: Path, name: str) -> Path:
    """Write a router's operators' file: its settings for zone exits with other routers and for duties."""
    key = folder / "peers.key"
    if not key.exists():
        key.write_bytes(os.urandom(32))
    path = folder / f"{name}.toml"
    path.write_text(
        f'[fleet]\nkey_file = "{key}"\nspill = {peers.spill}\n'
        f"leave_origin = {str(peers.leave_origin).lower()}\ninterval = {peers.interval}\n"
        f"paced = {str(peers.paced).lower()}\norigin_rate = {peers.origin_rate}\n"
        f"own_region = {peers.own_region}\nelsewhere = {peers.elsewhere}\n[fleet.regions]\n"
        + "".join(f"{region} = {json.dumps(zones)}\n" for region, zones in peers.regions.items())
        + ("" if duties is None else duties_table(duties, relays, folder, name))
    )
    return path


def duties_table(duties: Duties, relays: Relays, folder: Path, name: str) -> str:
    """Return the `[duties]` table of a router; it reaches each other router through a relay."""
    listen_addresses = relays.listen_addresses
    addresses = {
        other: "{}:{}".format(*relays.send_addresses.get((name, other), listen_addresses[other]))
        for other in listen_addresses
    }
    peers = ", ".join(f'{{name = "{other}", at = "{address}"}}' for other, address in addresses.items())
    lines = [
        "[duties]",
        f'name = "{name}"\nkey_file = "{folder / "peers.key"}"\npeers = [{peers}]',
        f"voters = {json.dumps([f'router-{n}' for n in duties.voters])}",
        *([f'memory_file = "{folder / f"{name}.memory"}"'] if duties.memory else []),
        f"heartbeat = {duties.heartbeat}\nlease = {duties.lease}\nsettle = {duties.settle}",
        f"unwell = {duties.unwell}\nunheard = {duties.unheard}\nbrake = {duties.brake}",
    ]
    for duty in duties.each:
        preferred = json.dumps([f"router-{n}" for n in duty.preferred])
        command = json.dumps(step_command(folder, duty.name, name))
        lines += [
            f'[[duties.duty]]\nname = "{duty.name}"\npreferred = {preferred}\ncommand = {command}',
            f"every = {duty.every}\ngood_for = {duty.good_for}",
        ]
    return "\n".join(lines) + "\n"


async def start_fleet(scenario: Scenario, folder: Path, command: str | None) -> RunningFleet:
    """Start a fleet and, with a command, its routers.

    Writes observations, configurations and logs into the folder. Raises RouterError.
    """
    log = seen.ObservationLog(folder / LOG)
    fleet = Fleet(scenario, log.add)
    await fleet.listen()
    running = RunningFleet(fleet, None, log)
    if command is None:
        for number, name in enumerate(fleet.routers):
            (folder / f"{name}.json").write_text(json.dumps(fleet.configuration(number)))
        return running
    running.routers = Routers(fleet.routers, command, folder, log.add)
    fleet.apply_to_routers = running.apply_step
    fleet.holder_of = partial(holder_of, folder)
    try:
        file = None
        if scenario.peers is not None:
            file = partial(operators_file, scenario.peers, scenario.duties, fleet.duty_relays, folder)
        await running.routers.start(fleet.configuration, file)
    except RouterError:
        await running.close()
        raise
    if scenario.has_operator_work():
        running.operators = Operators(running.routers.members)
    return running


def fleet_process(scenario: Scenario, folder: Path, command: str, pipe: Any) -> None:
    """Run the fleet's process: start the fleet, then begin and end on messages from the parent."""
    # The parent handles SIGINT and sends a message, so that the run still ends with a verdict.
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def run_fleet() -> None:
        running = await start_fleet(scenario, folder, command)
        pipe.send(("ready", running.router_addresses()))
        loop, end = asyncio.get_running_loop(), asyncio.Event()

        def on_message() -> None:
            try:
                message = pipe.recv()
            except EOFError:  # the parent has exited
                message = "end"
            if message == "begin":
                running.fleet.begin()
            else:
                loop.remove_reader(pipe.fileno())
                end.set()

        loop.add_reader(pipe.fileno(), on_message)
        await end.wait()
        faults = await running.close()
        service = running.operators.figures() if running.operators is not None else None
        pipe.send(("ended", (faults, service)))

    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_fleet())
    except Exception as e:
        pipe.send(("fault", str(e) or type(e).__name__))


def receive(pipe: Any, child: Any, wanted: str, within: float) -> Any:
    """Return the next message of the fleet's process. Raises SessionError if it is late or unexpected."""
    if not pipe.poll(within):
        raise SessionError(f"the fleet was not {wanted} within {within:g} s")
    try:
        kind, value = pipe.recv()
    except EOFError:
        child.join(1.0)
        raise SessionError(f"the fleet's process died (exit {child.exitcode})") from None
    if kind != wanted:
        raise SessionError(str(value))
    return value


@dataclass(frozen=True)
class Outcome:
    """The result of a run."""

    seconds: float
    record: Record
    verdict: dict[str, Any]
    faults: list[str]  # what went wrong with the routers' processes
    steps: list[Step]
    service: dict[str, Any] | None = None  # the operators' measurements


def run_with_load(
    scenario: Scenario,
    profile: Profile,
    folder: Path,
    command: str,
    workers: int,
    progress: Callable[[float, dict[str, int]], None],
) -> Outcome:
    """Run a scenario with real routers under load, and audit it.

    Raises SessionError and the exceptions of a load run.
    """
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    child = context.Process(target=fleet_process, args=(scenario, folder, command, child_pipe), daemon=False)
    child.start()
    child_pipe.close()
    try:
        router_addresses = receive(pipe, child, "ready", START_TIME)
        profile = replace(profile, hot=profile.hot + hot_keys(scenario))
        addresses = tuple((host, port) for host, port in router_addresses["routers"])
        job = Job(profile, addresses, workers, scenario.seconds, observations=folder)
        took, record = run(job, progress, lambda: pipe.send("begin"))
        pipe.send("end")
        faults, service = receive(pipe, child, "ended", END_TIME)
    finally:
        pipe.close()
        child.join(END_TIME)
        if child.is_alive():
            child.terminate()
            child.join()
    return Outcome(took, record, audit(folder, scenario.rules), faults, steps(scenario), service)


def audit(folder: Path, rules: Rules) -> dict[str, Any]:
    """Audit the observations in a folder. Raises ObservationError."""
    if observations := read_observations(folder):
        log = seen.ObservationLog(folder / DUTIES_LOG)
        for observation in observations:
            log.add(observation)
        log.close()
    paths = sorted(folder.glob("*.jsonl"))
    if not paths:
        raise seen.ObservationError(f"{folder}: no observations (*.jsonl) in it")
    auditor = Auditor(rules)
    for observation in seen.merge_logs(paths):
        auditor.judge(observation)
    return auditor.verdict()


async def run_without_load(
    scenario: Scenario, folder: Path, command: str | None, on_started: Callable[[RunningFleet], None]
) -> list[str]:
    """Run a fleet without load until the scenario is over or a signal arrives.

    The scenario's time starts with a router's first call to discovery.
    """
    running = await start_fleet(scenario, folder, command)
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, over.set)
    began = False
    add = running.fleet.discovery.observe

    def watch(observation: seen.Observation) -> None:
        nonlocal began
        if not began and isinstance(observation, seen.DiscoveryCall):
            began = True
            running.fleet.begin()
            loop.call_later(scenario.seconds, over.set)
        add(observation)

    running.fleet.discovery.observe = watch
    on_started(running)
    await over.wait()
    return await running.close()
