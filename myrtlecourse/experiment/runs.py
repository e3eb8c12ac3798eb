"""Runs a plan, each point with each seed, in several processes; runs with a stored result are skipped."""

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

from myrtlecourse.experiment.plan import MODULES, Plan, Value, resolve_point, source_digest
from myrtlecourse.experiment.store import Store
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation, Result

RUNS_PER_WORKER = 2  # submitted to the pool at a time


@dataclass(frozen=True)
class Run:
    """One point with one seed."""

    digest: str
    point: str  # the values of the point, as JSON
    seed: int
    scenario: bytes  # JSON, as runs are sent to other processes
    profile: bytes
    constants: dict[str, Any]


def list_runs(plan: Plan, file: Path) -> list[Run]:
    """Return all runs of a plan, point by point, each with a digest of the sources and its inputs."""
    sources = source_digest()
    runs = []
    for values in plan.points():
        point = tuple(zip((f.path for f in plan.factors), values, strict=True))
        scenario, profile, constants = resolve_point(plan, file, point)
        inputs = msgspec.json.encode(scenario), msgspec.json.encode(profile)
        name = point_name(values)
        for seed in range(1, plan.seeds + 1):
            content = b"\0".join([sources.encode(), *inputs, msgspec.json.encode(constants), b"%d" % seed])
            runs.append(Run(hashlib.sha256(content).hexdigest(), name, seed, *inputs, constants))
    return runs


def point_name(values: tuple[Value, ...]) -> str:
    """Return the name of a point: its values as JSON."""
    return msgspec.json.encode(values).decode()


def measure(result: Result) -> dict[str, float]:
    """Return the measures of a run that are compared."""
    counts = result.record.all.counts
    requests = max(1, counts["scheduled"])
    return {
        "goodput": counts["in_time"] / requests,
        "refused": counts["refused"] / requests,
        "failed": counts["failed"] / requests,
        "p50_ms": result.record.all.quantiles()["p50"],
        "p99_ms": result.record.all.quantiles()["p99"],
        "attempts": result.attempts / requests,
        "fetches": result.fetches / requests,
        "breaches": float(sum(result.verdict["breaches"].values())),
    }


def execute_run(run: Run) -> dict[str, float]:
    """Execute a run, with the constants of the decision module that it overrides."""
    previous = []
    for path, value in run.constants.items():
        module, _, name = path.partition(".")
        module_object = importlib.import_module(f"myrtlecourse.{MODULES[module]}")
        previous.append((module_object, name, getattr(module_object, name)))
        setattr(module_object, name, value)
    try:
        scenario = msgspec.json.decode(run.scenario, type=Scenario)
        return measure(
            FleetSimulation(scenario, msgspec.json.decode(run.profile, type=Profile), run.seed).run()
        )
    finally:
        for module_object, name, value in previous:
            setattr(module_object, name, value)


def run_all(
    runs: list[Run],
    store: Store,
    workers: int,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> int:
    """Execute the runs that have no stored result; return their number."""
    known = store.known_digests()
    missing = list({r.digest: r for r in runs if r.digest not in known}.values())
    total, done = len(missing), 0
    progress(0, total)
    if workers == 1:
        for run in missing:
            store.add(run.digest, run.point, run.seed, execute_run(run))
            done += 1
            progress(done, total)
        return total
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context) as pool:
        submitted: dict[Future[dict[str, float]], Run] = {}
        remaining = iter(missing)
        while True:
            # only a few runs per worker: submitting a million at once would fill the memory
            while (
                len(submitted) < RUNS_PER_WORKER * workers and (next_run := next(remaining, None)) is not None
            ):
                submitted[pool.submit(execute_run, next_run)] = next_run
            if not submitted:
                return total
            for future in wait(submitted, return_when=FIRST_COMPLETED).done:
                run = submitted.pop(future)
                store.add(run.digest, run.point, run.seed, future.result())
                done += 1
                progress(done, total)
