"""Plays drawn days, some side by side, and says of each whether the rules were kept."""

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
from myrtlecourse.fleet.session import SessionError, play
from myrtlecourse.load.run import RunError
from myrtlecourse.soak.draw import Day, draw
from myrtlecourse.soak.library import loaded

FAULT = re.compile(r"^(?:Traceback|\S+ \S+ ERROR .*)", re.MULTILINE)
# errors that a day's troubles cause, and that the router is to log
EXPECTED = re.compile(r" ERROR (?:configuration not taken|orders in )")


@dataclass(frozen=True)
class Result:
    """What came of one day."""

    seed: int
    tells: str
    kept: bool
    took: float  # seconds
    breaches: dict[str, int] = field(default_factory=dict)
    named: list[dict[str, Any]] = field(default_factory=list)  # the first ones, one by one
    faults: list[str] = field(default_factory=list)  # of processes, or of the play itself
    counts: dict[str, int] = field(default_factory=dict)  # of requests, by what came of them

    def line(self) -> str:
        """The result on one line."""
        counts = self.counts
        served = f"{counts.get('served', 0)} of {counts.get('scheduled', 0)} served"
        found = [f"{what} {count}" for what, count in self.breaches.items()] + self.faults
        verdict = "kept" if self.kept else "BROKEN: " + "; ".join(found)[:300]
        return f"seed {self.seed:>6}  {served:<24} {verdict}  ({self.tells})"


def logged_faults(folder: Path) -> list[str]:
    """Errors in the routers' logs that no trouble explains."""
    found = []
    for log in sorted(folder.glob("router-*.log")):
        for line in FAULT.findall(log.read_text(errors="replace")):
            if not EXPECTED.search(line):
                found.append(f"{log.name}: {line[:200]}")
    return found


def play_day(day: Day, folder: Path, library: Path | None, command: str = COMMAND) -> Result:
    """Play one day in a folder of its own, where its logs stay; `command` starts a router."""
    folder.mkdir(parents=True)
    began = time.monotonic()
    if library is not None:
        command = loaded(command, library, day.system, day.seed)
    try:
        outcome = play(day.scenario, day.profile, folder, command, 1, lambda at, counts: None)
    except (SessionError, RunError, ObservationError) as e:
        return Result(day.seed, day.tells(), False, time.monotonic() - began, faults=[str(e)[-300:]])
    verdict = outcome.verdict
    breaches = {what: count for what, count in verdict["breaches"].items() if count}
    faults = outcome.faults + logged_faults(folder)
    counts = dict(outcome.record.all.counts)
    kept = not breaches and not faults
    took = time.monotonic() - began
    return Result(day.seed, day.tells(), kept, took, breaches, verdict["named"][:20], faults, counts)


def play_seeds(
    seeds: Iterable[int], seconds: float, folder: Path, library: Path | None, side_by_side: int
) -> Iterator[Result]:
    """Play the days of seeds, so many at a time; each is told as soon as it is done."""
    # a play wants a process of its own: it hears of signals, and starts others
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(side_by_side, context) as pool:
        plays = [
            pool.submit(play_day, draw(seed, seconds), folder / f"seed-{seed}", library) for seed in seeds
        ]
        for each in plays:
            yield each.result()


def write(results: list[Result], path: Path) -> None:
    """Keep the results as JSON."""
    rows = [{name: getattr(r, name) for name in Result.__dataclass_fields__} for r in results]
    path.write_text(json.dumps(rows, indent=1) + "\n")
