"""A router under overload: the requests served in time, those refused, and the time until it has recovered.

Processes that keep the router's core busy share it, so that the load generator can offer four times what is
left. The capacity is measured with clients that send the next request as soon as they have an answer. Then
each multiple of the capacity is offered in an open loop, by clients that retry up to twice when they are
refused and have time left; half of the capacity follows. Goodput counts requests instead of tries. Needs six
cores: one that is measured and shared, one for the stand-in fleet, four for the load generator.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import shlex
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from bench import rig
from bench.router_rate import FLEET_CORES, MEASURED_CORES, measure_rate
from myrtlecourse.load.profile import Clients, Piece, Profile, RequestClass
from myrtlecourse.load.record import OutcomeStats
from myrtlecourse.load.run import Job, run

MULTIPLES = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0)
RECOVERY_LOAD = 0.5  # load after an overload, as a share of the capacity
RECOVERED_SHARE = 0.95  # a router has recovered if it serves this share of a second's requests in time
UNCOUNTED_SECONDS = 1  # seconds at the beginning of an overload that are not counted
BUSY_LOOP = "while True: pass"
AIM, DEADLINE = 0.5, 1.0  # seconds


@contextlib.contextmanager
def occupy_core(neighbours: int) -> Iterator[None]:
    """Keep the measured core busy with some other processes."""
    with contextlib.ExitStack() as stack:
        for _ in range(neighbours):
            stack.enter_context(rig.run_process([sys.executable, "-c", BUSY_LOOP], MEASURED_CORES))
        yield


def profile(per_second: float, capacity: float, seconds: float) -> Profile:
    """Return a load of `per_second` requests, followed by RECOVERY_LOAD for as long."""
    return Profile(
        (Piece(seconds, per_second), Piece(seconds, RECOVERY_LOAD * capacity)),
        classes=(RequestClass("read", deadline=DEADLINE, aim=AIM),),
        clients=Clients(retries=2, connections=5000),
    )


def measure(multiple: float, capacity: float, port: int, seconds: int, workers: int) -> dict[str, Any]:
    """Offer a multiple of the capacity, and return the figures."""
    load_profile = profile(multiple * capacity, capacity, seconds)
    _, record = run(Job(load_profile, (("127.0.0.1", port),), workers), lambda *_: None)
    during = OutcomeStats()
    for second in range(UNCOUNTED_SECONDS, seconds):
        during.merge(record.seconds[second])
    counts, scheduled = during.counts, max(1, during.counts["scheduled"])
    recovered = (
        after
        for after in range(seconds)
        if record.seconds[seconds + after].counts["in_time"]
        >= RECOVERED_SHARE * record.seconds[seconds + after].counts["scheduled"]
    )
    return {
        "multiple": multiple,
        "asked": scheduled / (seconds - UNCOUNTED_SECONDS),
        "goodput": counts["in_time"] / (seconds - UNCOUNTED_SECONDS),
        "refused": counts["refused"] / scheduled,
        "failed": counts["failed"] / scheduled,
        "p99_ms": during.quantiles()["p99"],
        "well_again_after_s": next(recovered, None),
        "generator_was_the_limit": record.generator_limited(),
    }


def draw(rows: list[dict[str, Any]], capacity: float, file: str) -> None:
    """Draw goodput and refusals by load, as PNG or SVG."""
    figure = Figure(figsize=(8, 4.5))
    axes = figure.subplots()
    multiples = [r["multiple"] for r in rows]
    axes.plot(
        multiples,
        [r["goodput"] / capacity for r in rows],
        marker="o",
        label="served in time, of the capacity",
    )
    axes.plot(multiples, [r["refused"] for r in rows], marker="s", label="refused, of the requests")
    axes.plot(multiples, [min(1.0, m) for m in multiples], linestyle=":", color="grey", label="all that fits")
    axes.set_xlabel("asked for, in multiples of the capacity")
    axes.set_ylim(0, 1.1)
    axes.legend()
    figure.savefig(file, dpi=120)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    python = shlex.quote(sys.executable)
    parser.add_argument(
        "--router",
        default=f"{python} -B deploy/start.py",
        help="command of the router (default: as deployed)",
    )
    parser.add_argument(
        "--neighbours", type=int, default=3, help="busy processes on the router's core (default 3)"
    )
    parser.add_argument(
        "--seconds",
        type=int,
        default=4,
        help="duration of each overload, and of the time after it (default 4)",
    )
    parser.add_argument(
        "--workers", type=int, default=3, help="worker processes of the load generator (default 3)"
    )
    parser.add_argument("--json", metavar="FILE", help="file for the results, as JSON")
    parser.add_argument("--picture", metavar="FILE", help="file for a chart of the results (.png or .svg)")
    options = parser.parse_args()
    rows = []
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(rig.run_fleet(rig.server_scenario(), FLEET_CORES))
        command = shlex.split(options.router)
        port, child = stack.enter_context(rig.run_router(command, fleet.configuration, MEASURED_CORES))
        stack.enter_context(occupy_core(options.neighbours))
        capacity, _ = measure_rate(port, 64, 3.0, child.pid)
        print(f"capacity {capacity:,.0f} requests/s")
        print("multiple    asked  goodput  of capacity  refused  failed  p99 ms  well after")
        for multiple in MULTIPLES:
            row = measure(multiple, capacity, port, options.seconds, options.workers)
            rows.append(row)
            after = row["well_again_after_s"]
            capacity_share = row["goodput"] / capacity
            print(
                f"{multiple:8.2f} {row['asked']:8.0f} {row['goodput']:8.0f} {capacity_share:12.2f} "
                f"{row['refused']:8.2f} {row['failed']:7.2f} {row['p99_ms']:7.0f}  "
                + ("not seen" if after is None else f"{after} s")
                + ("  (limited by the load generator)" if row["generator_was_the_limit"] else ""),
                flush=True,
            )
    if options.json:
        Path(options.json).write_text(json.dumps({"capacity": capacity, "rows": rows}, indent=1) + "\n")
    if options.picture:
        draw(rows, capacity, options.picture)


if __name__ == "__main__":
    main()
