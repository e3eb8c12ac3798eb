"""Runs soak cases, several in parallel, and reports for each whether the rules were kept."""

from __future__ import annotations

import json
import multiprocessing
import re
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from myrtlecourse.audit.observations import ObservationError
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.fleet.session import SessionError, run_with_load
from myrtlecourse.load.run import RunError
from myrtlecourse.soak.cases import SoakCase, draw_case
from myrtlecourse.soak.preload import with_library

LOGGED_FAULT = re.compile(r"^(?:Traceback|\S+ \S+ ERROR .*)", re.MULTILINE)
# errors that the faults of a case cause, and that the router is expected to log
EXPECTED_ERROR = re.compile(r" ERROR (?:configuration not taken|orders in )")


@dataclass(frozen=True)
class Result:
    """The result of one case."""

    seed: int
    tells: str  # the summary of the case
    kept: bool
    took: float  # seconds
    breaches: dict[str, int] = field(default_factory=dict)
    named: list[dict[str, Any]] = field(default_factory=list)  # the first breaches in detail
    faults: list[str] = field(default_factory=list)  # errors in the logs of processes, or of the run itself
    counts: dict[str, int] = field(default_factory=dict)  # number of requests by outcome

    def summary_line(self) -> str:
        """Return the result as one line of text."""
        counts = self.counts
        served = f"{counts.get('served', 0)} of {counts.get('scheduled', 0)} served"
        found = [f"{what} {count}" for what, count in self.breaches.items()] + self.faults
        verdict = "kept" if self.kept else "BROKEN: " + "; ".join(found)[:300]
        return f"seed {self.seed:>6}  {served:<24} {verdict}  ({self.tells})"


def logged_faults(folder: Path) -> list[str]:
    """Return the errors in the routers' logs that no fault of the case explains."""
    found = []
    for log in sorted(folder.glob("router-*.log")):
        for line in LOGGED_FAULT.findall(log.read_text(errors="replace")):
            if not EXPECTED_ERROR.search(line):
                found.append(f"{log.name}: {line[:200]}")
    return found


def run_case(case: SoakCase, folder: Path, library: Path | None, command: str = COMMAND) -> Result:
    """Run one case in a new folder, which keeps its logs; `command` starts a router."""
    folder.mkdir(parents=True)
    started_at = time.monotonic()
    if library is not None:
        command = with_library(command, library, case.system, case.seed)
    try:
        outcome = run_with_load(case.scenario, case.profile, folder, command, 1, lambda at, counts: None)
    except (SessionError, RunError, ObservationError) as e:
        return Result(case.seed, case.summary(), False, time.monotonic() - started_at, faults=[str(e)[-300:]])
    verdict = outcome.verdict
    breaches = {what: count for what, count in verdict["breaches"].items() if count}
    faults = outcome.faults + logged_faults(folder)
    counts = dict(outcome.record.all.counts)
    kept = not breaches and not faults
    took = time.monotonic() - started_at
    return Result(case.seed, case.summary(), kept, took, breaches, verdict["named"][:20], faults, counts)


def run_seeds(
    seeds: Iterable[int], seconds: float, folder: Path, library: Path | None, parallel: int
) -> Iterator[Result]:
    """Run the cases of seeds, `parallel` at a time, and yield their results in the order of the seeds."""
    # Each case needs a process of its own, as it handles signals and starts processes.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(parallel, context) as pool:
        futures = [
            pool.submit(run_case, draw_case(seed, seconds), folder / f"seed-{seed}", library)
            for seed in seeds
        ]
        for future in futures:
            yield future.result()


def write_results(results: list[Result], path: Path) -> None:
    """Write the results as JSON."""
    rows = [{name: getattr(r, name) for name in Result.__dataclass_fields__} for r in results]
    path.write_text(json.dumps(rows, indent=1) + "\n")
