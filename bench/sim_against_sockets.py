"""The same scenarios in the simulator and on sockets, and the difference between the two.

On sockets, two real routers, a stand-in fleet and the load generator play them in real time. Needs four cores
that nothing else uses: a stand-in that runs late makes the sockets look worse than the models.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import run_with_load
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.sim.fleet_simulation import FleetSimulation

MAX_DIFFERENCE = 0.03  # difference in goodput that still counts as equal
BASE: dict[str, Any] = {
    "routers": 2,
    "zones": ["dublin", "cork"],
    "delay": 0.004,
    "kinds": [
        {"name": "gen-a", "boxes": 5, "cores": 3, "queue": 400, "ttl": 30},
        {"name": "gen-b", "boxes": 3, "cores": 4, "speed": 0.8, "queue": 400, "ttl": 30},
    ],
    "origin": {"slots": 8, "time": 0.05, "queue": 60},
    "classes": [
        {"name": "read", "work": 0.02, "aim": 0.5, "deadline": 1.5, "size": 2000, "worth": 3},
        {"name": "book", "work": 0.03, "aim": 0.8, "deadline": 2.5, "effect": "guarded", "worth": 9},
    ],
}
LOAD: dict[str, Any] = {
    "classes": [
        {"name": "read", "share": 93, "deadline": 1.5, "aim": 0.5},
        {"name": "book", "share": 7, "deadline": 2.5, "aim": 0.8, "write": True, "keyed": True},
    ],
    "keys": {"count": 4000, "zipf": 1.0},
    "clients": {"retries": 2, "leave": 0.005, "connections": 300},
}
CRASHES = [{"what": "crash", "at": 3, "box": f"gen-a-{i}", "seconds": 4} for i in range(2)]
SCENARIOS: dict[str, tuple[float, list[dict[str, Any]]]] = {  # the factor of the load, and the faults
    "calm": (1.0, []),
    "crash": (1.0, [CRASHES[0] | {"seconds": 60}]),
    "rolling deploy": (
        1.0,
        [{"what": "replace", "at": 2, "share": 0.75, "at_once": 2, "drain": 2, "seconds": 0.5}],
    ),
    "cold return": (1.0, CRASHES),
    "hot key": (1.0, [{"what": "hot_key", "at": 3, "seconds": 6, "share": 0.3, "keys": 2}]),
    "silence": (1.0, [{"what": "silence", "at": 3, "box": "gen-a-2", "seconds": 5}]),
    "discovery away": (1.0, [{"what": "discovery_away", "at": 2, "seconds": 6}, CRASHES[0]]),
    "slow origin": (1.0, [{"what": "slow", "at": 3, "box": "origin", "seconds": 5, "factor": 0.3}]),
    "twice the load": (2.0, []),
    "four times the load": (4.0, []),
}


def goodput(record: Record) -> float:
    """Return the share of the requests that were served in time."""
    return record.all.counts["in_time"] / max(1, record.all.counts["scheduled"])


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("days", nargs="*", help=f"scenarios to play: {', '.join(SCENARIOS)} (default: all)")
    parser.add_argument("--seconds", type=float, default=12.0, help="duration of each scenario (default 12)")
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second (default 200)")
    parser.add_argument("--json", metavar="FILE", help="file for the results, as JSON")
    options = parser.parse_args()
    rows = []
    print("goodput: simulated  on sockets  difference   p99, ms      refused     attempts  breaches")
    for name in options.days or SCENARIOS:
        load, faults = SCENARIOS[name]
        scenario = msgspec.convert(BASE | {"seconds": options.seconds, "faults": faults}, Scenario)
        piece = {"seconds": options.seconds, "rate": options.rate * load}
        profile = msgspec.convert(LOAD | {"pieces": [piece]}, Profile)
        simulated = FleetSimulation(scenario, profile).run()
        with tempfile.TemporaryDirectory() as folder:
            on_sockets = run_with_load(scenario, profile, Path(folder), COMMAND, 1, lambda *_: None)
        attempts_of = simulated.attempts, on_sockets.verdict["seen"]["sent"]
        row = {
            "day": name,
            "simulated": goodput(simulated.record),
            "sockets": goodput(on_sockets.record),
            "p99_ms": [r.all.quantiles()["p99"] for r in (simulated.record, on_sockets.record)],
            "refused": [r.all.counts["refused"] for r in (simulated.record, on_sockets.record)],
            "attempts": list(attempts_of),
            "breaches": [sum(v["breaches"].values()) for v in (simulated.verdict, on_sockets.verdict)],
            "generator_was_the_limit": on_sockets.record.generator_limited(),
        }
        rows.append(row)
        difference = row["simulated"] - row["sockets"]
        p99, refused, attempts, breaches = (row[k] for k in ("p99_ms", "refused", "attempts", "breaches"))
        print(
            f"{row['simulated']:18.3f} {row['sockets']:11.3f} {difference:+11.3f} "
            f"{p99[0]:6.0f} {p99[1]:5.0f} {refused[0]:6} {refused[1]:5} "
            f"{attempts[0]:6} {attempts[1]:5} {breaches[0]:4} {breaches[1]:3}  {name}"
            + ("" if abs(difference) <= MAX_DIFFERENCE else "  ABOVE THE MAXIMUM")
            + ("  (limited by the load generator)" if row["generator_was_the_limit"] else ""),
            flush=True,
        )
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1) + "\n")
    return int(any(abs(r["simulated"] - r["sockets"]) > MAX_DIFFERENCE for r in rows))


if __name__ == "__main__":
    sys.exit(main())
