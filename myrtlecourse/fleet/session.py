"""A fleet's whole life in a process of its own, and a run of load, routers and fleet with its verdict."""

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
from myrtlecourse.fleet.duty_logs import holder_of, observed, step_command
from myrtlecourse.fleet.faults import Step, hot_keys, steps
from myrtlecourse.fleet.operators import Operators
from myrtlecourse.fleet.routers import RouterError, Routers
from myrtlecourse.fleet.scenario import Duties, Peers, Scenario
from myrtlecourse.fleet.stand_in import Fleet
from myrtlecourse.fleet.ways import Relays
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.run import Job, run

LOG = "fleet.jsonl"
DUTIES_LOG = "duties.jsonl"
START_TIME = 60.0  # seconds for the fleet and its routers to be ready
END_TIME = 15.0  # seconds for all to end


class SessionError(RuntimeError):
    """A fleet that could not be brought up, or that died."""


@dataclass
class Standing:
    """A fleet that is up, with its routers if it has any."""

    fleet: Fleet
    routers: Routers | None
    log: seen.ObservationLog
    operators: Operators | None = None  # where the scenario has work for them

    def where(self) -> dict[str, Any]:
        """Where routers are, or the configurations to start them with."""
        return {"routers": [r.address for r in self.routers.each] if self.routers else []}

    async def close(self) -> list[str]:
        """End all; answers with what went wrong with the routers' processes."""
        if self.operators is not None:
            self.operators.end()
        if self.routers is not None:
            await self.routers.end()
        self.fleet.close()
        await asyncio.sleep(0)  # so that connections which end are seen
        self.log.close()
        found = self.routers.found() if self.routers is not None else []
        return found + (self.operators.faults if self.operators is not None else [])

    def do(self, step: Step) -> None:
        """What happens to routers."""
        assert self.routers is not None
        if self.operators is not None and step.do in ("offline", "online"):
            for router in self.routers.each:
                self.routers.soon(self.operators.hand(router, step))
        else:
            self.routers.do(step)


def operators_file(peers: Peers, duties: Duties | None, relays: Relays, folder: Path, name: str) -> Path:
    """A router's operators' file, by which it leaves zones with the others and has its part in duties."""
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
    """Its part in duties; each other router is heard at the end of a way of its own."""
    heard_at = relays.heard_at
    at = {other: "{}:{}".format(*relays.at.get((name, other), heard_at[other])) for other in heard_at}
    peers = ", ".join(f'{{name = "{other}", at = "{place}"}}' for other, place in at.items())
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


async def stand_up(scenario: Scenario, folder: Path, command: str | None) -> Standing:
    """Bring up a fleet and, with a command, its routers.

    Observations, configurations and logs are written into the folder. Raises RouterError.
    """
    log = seen.ObservationLog(folder / LOG)
    fleet = Fleet(scenario, log.add)
    await fleet.listen()
    standing = Standing(fleet, None, log)
    if command is None:
        for number, name in enumerate(fleet.routers):
            (folder / f"{name}.json").write_text(json.dumps(fleet.configuration(number)))
        return standing
    standing.routers = Routers(fleet.routers, command, folder, log.add)
    fleet.of_routers = standing.do
    fleet.holder_of = partial(holder_of, folder)
    try:
        file = None
        if scenario.peers is not None:
            file = partial(operators_file, scenario.peers, scenario.duties, fleet.duty_relays, folder)
        await standing.routers.start(fleet.configuration, file)
    except RouterError:
        await standing.close()
        raise
    if scenario.operated():
        standing.operators = Operators(standing.routers.each)
    return standing


def work(scenario: Scenario, folder: Path, command: str, words: Any) -> None:
    """The fleet's process: stands up, begins when it is told, ends when it is told."""
    # the parent hears of SIGINT and tells: the verdict on what ran is still wanted
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def live() -> None:
        standing = await stand_up(scenario, folder, command)
        words.send(("ready", standing.where()))
        loop, told = asyncio.get_running_loop(), asyncio.Event()

        def hear() -> None:
            try:
                word = words.recv()
            except EOFError:  # the parent is gone
                word = "end"
            if word == "begin":
                standing.fleet.begin()
            else:
                loop.remove_reader(words.fileno())
                told.set()

        loop.add_reader(words.fileno(), hear)
        await told.wait()
        faults = await standing.close()
        service = standing.operators.figures() if standing.operators is not None else None
        words.send(("ended", (faults, service)))

    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(live())
    except Exception as e:
        words.send(("fault", str(e) or type(e).__name__))


def heard(words: Any, child: Any, wanted: str, within: float) -> Any:
    """The next word of the fleet's process."""
    if not words.poll(within):
        raise SessionError(f"the fleet was not {wanted} within {within:g} s")
    try:
        what, value = words.recv()
    except EOFError:
        child.join(1.0)
        raise SessionError(f"the fleet's process died (exit {child.exitcode})") from None
    if what != wanted:
        raise SessionError(str(value))
    return value


@dataclass(frozen=True)
class Outcome:
    """What a run came to."""

    seconds: float
    record: Record
    verdict: dict[str, Any]
    faults: list[str]  # of the routers' processes
    steps: list[Step]
    service: dict[str, Any] | None = None  # what operators measured


def play(
    scenario: Scenario,
    profile: Profile,
    folder: Path,
    command: str,
    workers: int,
    progress: Callable[[float, dict[str, int]], None],
) -> Outcome:
    """Play a scenario with real routers under load, and judge it.

    Raises SessionError, and what a run of load raises.
    """
    context = multiprocessing.get_context("spawn")
    words, theirs = context.Pipe()
    child = context.Process(target=work, args=(scenario, folder, command, theirs), daemon=False)
    child.start()
    theirs.close()
    try:
        where = heard(words, child, "ready", START_TIME)
        profile = replace(profile, hot=profile.hot + hot_keys(scenario))
        addresses = tuple((host, port) for host, port in where["routers"])
        job = Job(profile, addresses, workers, scenario.seconds, observations=folder)
        took, record = run(job, progress, lambda: words.send("begin"))
        words.send("end")
        faults, service = heard(words, child, "ended", END_TIME)
    finally:
        words.close()
        child.join(END_TIME)
        if child.is_alive():
            child.terminate()
            child.join()
    return Outcome(took, record, audit(folder, scenario.rules), faults, steps(scenario), service)


def audit(folder: Path, rules: Rules) -> dict[str, Any]:
    """Judge the observations in a folder. Raises ObservationError."""
    if told := observed(folder):
        log = seen.ObservationLog(folder / DUTIES_LOG)
        for each in told:
            log.add(each)
        log.close()
    paths = sorted(folder.glob("*.jsonl"))
    if not paths:
        raise seen.ObservationError(f"{folder}: no observations (*.jsonl) in it")
    auditor = Auditor(rules)
    for each in seen.merge_logs(paths):
        auditor.judge(each)
    return auditor.verdict()


async def stand(
    scenario: Scenario, folder: Path, command: str | None, told: Callable[[Standing], None]
) -> list[str]:
    """Stand alone until the scenario is over or a signal comes; it begins with the first router's call."""
    standing = await stand_up(scenario, folder, command)
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    for each in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(each, over.set)
    began = False
    add = standing.fleet.discovery.observe

    def watch(what: seen.Observation) -> None:
        nonlocal began
        if not began and isinstance(what, seen.DiscoveryCall):
            began = True
            standing.fleet.begin()
            loop.call_later(scenario.seconds, over.set)
        add(what)

    standing.fleet.discovery.observe = watch
    told(standing)
    await over.wait()
    return await standing.close()
