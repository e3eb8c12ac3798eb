"""Whether the schedule search finds faulty decision modules: several wrong ones, and the real one.

For each module that is wrong on purpose it reports the time and the number of schedules until a rule is
broken, and the size of the schedule after it was minimized. For the real module it reports the schedules
tried, and how close they came to breaking a rule. Takes one core.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from itertools import chain
from pathlib import Path
from typing import Any

import msgspec

from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.policy import Router
from myrtlecourse.sim.counterexamples import write_counterexample
from myrtlecourse.sim.search import Search, shrink
from tests.wrong_modules import WRONG

SCENARIO: dict[str, Any] = {
    "seconds": 8.0,
    "routers": 2,
    "cell": 2,
    "kinds": [{"name": "b", "boxes": 4, "cores": 2, "ttl": 5.0, "warm_up": 4.0}],
    "discovery": {"notice": 0.5, "silent_notice": 2.0, "added": 0.3},
    "classes": [
        {"name": "read", "work": 0.02, "aim": 0.5, "deadline": 1.0},
        {"name": "book", "work": 0.02, "deadline": 2.0, "effect": "guarded", "group": "cell", "window": 0.5},
        {"name": "once", "work": 0.02, "deadline": 2.0, "effect": "single_shot"},
    ],
}
PROFILE: dict[str, Any] = {
    "pieces": [{"seconds": 8, "rate": 80}],
    "classes": [
        {"name": "read", "share": 8, "deadline": 1.0},
        {"name": "book", "write": True, "keyed": True, "group": "cell", "deadline": 2.0},
        {"name": "once", "write": True, "deadline": 2.0},
    ],
    "clients": {"retries": 2},
    "keys": {"count": 300},
}


def make_searches(make: type[Router], seed: int) -> list[Search]:
    """Return a search on a fleet whose servers execute writes, and one on a fleet limited by its origin."""
    profile = msgspec.convert(PROFILE, Profile)
    cache_aside = SCENARIO | {"origin": {"slots": 3, "time": 0.05, "queue": 5}}
    return [Search(msgspec.convert(s, Scenario), profile, seed, make) for s in (SCENARIO, cache_aside)]


def run_search(make: type[Router], seconds: float, seed: int, folder: Path | None) -> dict[str, Any]:
    """Search for a schedule that makes one module break a rule, alternating between both fleets."""
    searches = make_searches(make, seed)
    began = time.monotonic()
    row: dict[str, Any] = {"module": make.__name__, "found": None}
    for trial in chain.from_iterable(zip(*(s.trials() for s in searches), strict=False)):
        elapsed = time.monotonic() - began
        if trial.breaches:
            shrunk = shrink(trial, make)
            row |= {"found": shrunk.breaches, "seconds": elapsed, "faults": len(trial.scenario.faults)}
            row |= {"shrunk_to": len(shrunk.scenario.faults), "shrinking": time.monotonic() - began - elapsed}
            if folder is not None:
                write_counterexample(folder / f"{make.__name__}.json", shrunk)
            break
        if elapsed > seconds:
            row |= {"seconds": elapsed}
            break
    row["tried"] = sum(s.trial_count for s in searches)
    best = [t for s in searches for t in s.pool]
    row["margins"] = {k: max(t.margins.get(k, 0.0) for t in best) for t in best for k in t.margins}
    return row


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60.0, help="time for each wrong module (default 60)")
    parser.add_argument("--real", type=float, default=60.0, help="seconds for the real module (default 60)")
    parser.add_argument(
        "--only", nargs="*", metavar="MODULE", help="wrong modules to search with (default: all)"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--finds", type=Path, metavar="FOLDER", help="folder for the schedules found")
    parser.add_argument("--json", type=Path, metavar="FILE", help="file for the results, as JSON")
    options = parser.parse_args()
    rows = []
    for make in (*(w for w in WRONG if not options.only or w.__name__ in options.only), Router):
        seconds = options.real if make is Router else options.seconds
        row = run_search(make, seconds, options.seed, options.finds)
        rows.append(row)
        margins = ", ".join(f"{k} {v:.2f}" for k, v in sorted(row["margins"].items()))
        found = (
            f"found {row['found']}, {row['faults']} faults shrunk to {row['shrunk_to']}"
            if row["found"]
            else (f"nothing; closest {margins}")
        )
        print(
            f"{row['module']:>16}: {row['tried']:4} schedules, {row['seconds']:6.1f} s: {found}", flush=True
        )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    missed = [r for r in rows[:-1] if not r["found"]]
    return int(bool(missed or rows[-1]["found"]))


if __name__ == "__main__":
    sys.exit(main())
