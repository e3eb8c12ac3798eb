"""Many routers and their combined effect, in virtual time: a zone is lost, or most routers restart.

Each case is played with two and with forty routers in front of sixty cache servers, on the same seeds: once
by the decision module as it is, and once without its rules for many routers and for refused connections (the
overdue time of a server that has not been heard from stays). It takes one core for some minutes; `--json`
writes the results. As no time is measured, the machine may be busy.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import fmean
from typing import Any

import msgspec

from myrtlecourse import interface as api
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.policy import Router, tuning
from myrtlecourse.sim.fleet_simulation import FleetSimulation

SERVERS = 60
RATE = 700  # requests per second of all clients together
FAULT_AT = 5.0


class CountingRouter(Router):
    """The decision module, with counters for the outcomes of its attempts."""

    outcomes: Counter[str] = Counter()  # of all routers in a case

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome):
            self.outcomes[event.status.value] += 1
        return super().handle(now, event)


def scenario(routers: int, case: str) -> Scenario:
    """Return the scenario of a case: the fleet and its faults."""
    if case == "zone lost":
        # servers alternate between the zones, so this is one zone; the servers return with empty caches
        faults: list[dict[str, Any]] = [
            {"what": "crash", "at": FAULT_AT, "box": f"std-{i}", "seconds": 7.0} for i in range(1, SERVERS, 2)
        ]
    else:
        faults = [
            {"what": "restart", "at": FAULT_AT + 0.02 * i, "router": i, "kill": True}
            for i in range(routers * 3 // 4)
        ]
    fields = {
        "seconds": 16.0,
        "routers": routers,
        "zones": ["north", "south"],
        "delay": 0.003,
        "kinds": [
            {"name": "std", "boxes": SERVERS, "cores": 3, "queue": 200, "cold": 0.35, "warm_up": 7, "ttl": 20}
        ],
        "origin": {"slots": 16, "time": 0.06, "queue": 20},
        "discovery": {"notice": 3.0, "lines_a_second": 2000},
        "classes": [
            {"name": "read", "work": 0.1, "aim": 1.2, "deadline": 2.5, "worth": 3},
            {
                "name": "book",
                "work": 0.15,
                "aim": 0.8,
                "deadline": 3.0,
                "effect": "guarded",
                "window": 15,
                "worth": 9,
            },
        ],
        "faults": faults,
    }
    return msgspec.convert(fields, Scenario)


def profile() -> Profile:
    """Return a load of reads and a few bookings."""
    fields = {
        "pieces": [{"seconds": 16, "rate": RATE}],
        "classes": [
            {"name": "read", "share": 93, "aim": 1.2, "deadline": 2.5},
            {"name": "book", "share": 7, "aim": 0.8, "deadline": 3.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 3000, "zipf": 0.9},
        "clients": {"retries": 2, "backoff": 0.2},
    }
    return msgspec.convert(fields, Profile)


@contextmanager
def decision_module(large: bool) -> Iterator[None]:
    """Use the decision module as it is (`large`), or without its rules for large fleets."""
    few, cheap = tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES
    if not large:
        tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES = 10_000, (api.Status.FULL,)  # type: ignore[assignment]
    try:
        yield
    finally:
        tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES = few, cheap


def measure(routers: int, case: str, large: bool, seed: int) -> dict[str, float]:
    """Play one case and return its figures."""
    CountingRouter.outcomes.clear()
    with decision_module(large):
        result = FleetSimulation(scenario(routers, case), profile(), seed, CountingRouter).run()
    figures = result.figures()
    return {
        "in_time": figures["goodput"] / RATE,
        "refused": figures["refused"],
        "refused_dials": CountingRouter.outcomes["connect_failed"],
        "turned_away": CountingRouter.outcomes["full"],
        "breaches": sum(result.verdict["breaches"].values()),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=2, help="seeds to play for each case (2)")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    options = parser.parse_args()
    table = []
    print(f"{'day':12} {'routers':>7} {'module':>7} {'in time':>8} {'refused':>8} {'dials':>6} {'full':>6}")
    for case in ("zone lost", "mass restart"):
        for routers in (2, 40):
            for large in (False, True):
                results = [measure(routers, case, large, seed) for seed in range(1, options.seeds + 1)]
                mean = {name: fmean(p[name] for p in results) for name in results[0]}
                table.append(
                    {"day": case, "routers": routers, "large": large, "seeds": results, "mean": mean}
                )
                print(
                    f"{case:12} {routers:7} {'now' if large else 'before':>7} {mean['in_time']:8.3f} "
                    f"{mean['refused']:8.0f} {mean['refused_dials']:6.0f} {mean['turned_away']:6.0f}",
                    flush=True,
                )
    if options.json is not None:
        options.json.write_text(json.dumps(table, indent=1))
    return 1 if any(row["mean"]["breaches"] for row in table) else 0


if __name__ == "__main__":
    sys.exit(main())
