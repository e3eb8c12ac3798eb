"""The speed and memory of the simulator by the number of servers and routers.

Each size runs in a process of its own, so that its memory is measured separately. Takes one core of an idle
machine.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from bench.sim_against_sockets import BASE, LOAD
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation

SIZES = [(10, 2), (100, 2), (1000, 2), (5000, 2), (100, 20), (100, 300)]  # servers and routers
REQUESTS = 5000


def measure(boxes: int, routers: int) -> dict[str, float]:
    """Simulate a fixed number of requests with one size of fleet."""
    kinds = [{"name": "b", "boxes": boxes, "cores": 4, "ttl": 30}]
    origin = {"slots": min(10_000, 8 * boxes), "time": 0.05, "queue": 60 * boxes}
    rate = 30.0 * boxes
    fields = BASE | {"kinds": kinds, "origin": origin, "routers": routers, "seconds": REQUESTS / rate}
    piece = {"seconds": REQUESTS / rate, "rate": rate}
    began = time.perf_counter()
    world = FleetSimulation(
        msgspec.convert(fields, Scenario), msgspec.convert(LOAD | {"pieces": [piece]}, Profile)
    )
    built = time.perf_counter()
    result = world.run()
    took = time.perf_counter() - built
    asked = result.record.all.counts["scheduled"]
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return {
        "boxes": boxes,
        "routers": routers,
        "build_s": built - began,
        "requests_s": asked / took,
        "events_s": result.events / took,
        "memory_mb": memory,
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--one", nargs=2, type=int, metavar=("BOXES", "ROUTERS"), help="measure one size and print it as JSON"
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="file for the results, as JSON")
    options = parser.parse_args()
    if options.one:
        print(json.dumps(measure(*options.one)))
        return
    rows = []
    print("boxes routers  build, s  requests/s  events/s  memory, MB")
    for boxes, routers in SIZES:
        child = [sys.executable, "-m", "bench.sim_speed", "--one", str(boxes), str(routers)]
        row = json.loads(subprocess.run(child, capture_output=True, check=True).stdout)
        rows.append(row)
        print(
            f"{boxes:5} {routers:7} {row['build_s']:9.1f} {row['requests_s']:11.0f} {row['events_s']:9.0f} "
            f"{row['memory_mb']:11.0f}",
            flush=True,
        )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
