"""Carries out a plan: points times seeds, in several processes, what is known left out."""

from __future__ import annotations

import hashlib
import importlib
import multiprocessing
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from myrtlecourse.experiment.plan import MODULES, Plan, Value, settled, sources
from myrtlecourse.experiment.store import Store
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation, Result

AHEAD = 2  # runs given out for each worker


@dataclass(frozen=True)
class Run:
    """One point on one seed."""

    digest: str
    point: str  # its values, as JSON
    seed: int
    scenario: bytes  # JSON: what goes to another process
    profile: bytes
    constants: dict[str, Any]


def runs(plan: Plan, file: Path) -> list[Run]:
    """All runs of a plan, point by point; each under the digest of sources and inputs."""
    code = sources()
    found = []
    for values in plan.points():
        point = tuple(zip((f.path for f in plan.factors), values, strict=True))
        scenario, profile, constants = settled(plan, file, point)
        inputs = msgspec.json.encode(scenario), msgspec.json.encode(profile)
        name = spelled(values)
        for seed in range(1, plan.seeds + 1):
            whole = b"\0".join([code.encode(), *inputs, msgspec.json.encode(constants), b"%d" % seed])
            found.append(Run(hashlib.sha256(whole).hexdigest(), name, seed, *inputs, constants))
    return found


def spelled(values: tuple[Value, ...]) -> str:
    """A point by its values."""
    return msgspec.json.encode(values).decode()


def measures(result: Result) -> dict[str, float]:
    """What is compared of a run."""
    counts = result.record.all.counts
    asked = max(1, counts["scheduled"])
    return {
        "goodput": counts["in_time"] / asked,
        "refused": counts["refused"] / asked,
        "failed": counts["failed"] / asked,
        "p50_ms": result.record.all.quantiles()["p50"],
        "p99_ms": result.record.all.quantiles()["p99"],
        "attempts": result.attempts / asked,
        "fetches": result.fetches / asked,
        "breaches": float(sum(result.verdict["breaches"].values())),
    }


def carry_out(run: Run) -> dict[str, float]:
    """Play one run, with the decision module's constants as it wants them."""
    before = []
    for path, value in run.constants.items():
        module, _, name = path.partition(".")
        there = importlib.import_module(f"myrtlecourse.{MODULES[module]}")
        before.append((there, name, getattr(there, name)))
        setattr(there, name, value)
    try:
        scenario = msgspec.json.decode(run.scenario, type=Scenario)
        return measures(
            FleetSimulation(scenario, msgspec.json.decode(run.profile, type=Profile), run.seed).run()
        )
    finally:
        for there, name, value in before:
            setattr(there, name, value)


def run_all(
    todo: list[Run], store: Store, workers: int, progress: Callable[[int, int], None] = lambda done, of: None
) -> int:
    """Carry out what the store does not know; answers with how many that were."""
    known = store.known()
    left = list({r.digest: r for r in todo if r.digest not in known}.values())
    total, done = len(left), 0
    progress(0, total)
    if workers == 1:
        for run in left:
            store.add(run.digest, run.point, run.seed, carry_out(run))
            done += 1
            progress(done, total)
        return total
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context) as pool:
        out: dict[Future[dict[str, float]], Run] = {}
        waiting = iter(left)
        while True:
            # only a few ahead: a million runs given out at once would fill the memory
            while len(out) < AHEAD * workers and (given := next(waiting, None)) is not None:
                out[pool.submit(carry_out, given)] = given
            if not out:
                return total
            for future in wait(out, return_when=FIRST_COMPLETED).done:
                run = out.pop(future)
                store.add(run.digest, run.point, run.seed, future.result())
                done += 1
                progress(done, total)
