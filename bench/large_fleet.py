"""Many routers and what they do together: a zone that dies, and a restart of most routers, in virtual time.

Each day is played with two and with forty routers before sixty boxes, by the decision module as it is and
with its rules for many routers and for refused dials taken out (the overdue time of a server not heard before
stays in), on the same seeds. One core, some minutes; `--json` keeps the
figures. No timing is measured, so that the machine may be busy.
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

BOXES = 60
RATE = 700  # requests a second, of all clients together
FAULT_AT = 5.0


class Counted(Router):
    """The decision module, and how its attempts ended."""

    ends: Counter[str] = Counter()  # of all routers of a day

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome):
            self.ends[event.status.value] += 1
        return super().handle(now, event)


def scenario(routers: int, day: str) -> Scenario:
    """The fleet, and what happens to it."""
    if day == "zone lost":
        # boxes stand in the zones in turns; the dead ones come back cold
        faults: list[dict[str, Any]] = [
            {"what": "crash", "at": FAULT_AT, "box": f"std-{i}", "seconds": 7.0} for i in range(1, BOXES, 2)
        ]
    else:
        faults = [
            {"what": "restart", "at": FAULT_AT + 0.02 * i, "router": i, "kill": True}
            for i in range(routers * 3 // 4)
        ]
    plain = {
        "seconds": 16.0,
        "routers": routers,
        "zones": ["north", "south"],
        "delay": 0.003,
        "kinds": [
            {"name": "std", "boxes": BOXES, "cores": 3, "queue": 200, "cold": 0.35, "warm_up": 7, "ttl": 20}
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
    return msgspec.convert(plain, Scenario)


def profile() -> Profile:
    """Reads and a few bookings."""
    plain = {
        "pieces": [{"seconds": 16, "rate": RATE}],
        "classes": [
            {"name": "read", "share": 93, "aim": 1.2, "deadline": 2.5},
            {"name": "book", "share": 7, "aim": 0.8, "deadline": 3.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 3000, "zipf": 0.9},
        "clients": {"retries": 2, "backoff": 0.2},
    }
    return msgspec.convert(plain, Profile)


@contextmanager
def module(large: bool) -> Iterator[None]:
    """The decision module as it is, or as if each fleet were a small one."""
    few, cheap = tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES
    if not large:
        tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES = 10_000, (api.Status.FULL,)  # type: ignore[assignment]
    try:
        yield
    finally:
        tuning.FEW_ROUTERS, tuning.CHEAP_FAILURES = few, cheap


def play(routers: int, day: str, large: bool, seed: int) -> dict[str, float]:
    """One day's figures."""
    Counted.ends.clear()
    with module(large):
        result = FleetSimulation(scenario(routers, day), profile(), seed, Counted).run()
    figures = result.figures()
    return {
        "in_time": figures["goodput"] / RATE,
        "refused": figures["refused"],
        "refused_dials": Counted.ends["connect_failed"],
        "turned_away": Counted.ends["full"],
        "breaches": sum(result.verdict["breaches"].values()),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=2, help="days of each sort (2)")
    parser.add_argument("--json", type=Path, help="write the figures there")
    options = parser.parse_args()
    table = []
    print(f"{'day':12} {'routers':>7} {'module':>7} {'in time':>8} {'refused':>8} {'dials':>6} {'full':>6}")
    for day in ("zone lost", "mass restart"):
        for routers in (2, 40):
            for large in (False, True):
                played = [play(routers, day, large, seed) for seed in range(1, options.seeds + 1)]
                mean = {name: fmean(p[name] for p in played) for name in played[0]}
                table.append({"day": day, "routers": routers, "large": large, "seeds": played, "mean": mean})
                print(
                    f"{day:12} {routers:7} {'now' if large else 'before':>7} {mean['in_time']:8.3f} "
                    f"{mean['refused']:8.0f} {mean['refused_dials']:6.0f} {mean['turned_away']:6.0f}",
                    flush=True,
                )
    if options.json is not None:
        options.json.write_text(json.dumps(table, indent=1))
    return 1 if any(row["mean"]["breaches"] for row in table) else 0


if __name__ == "__main__":
    sys.exit(main())
