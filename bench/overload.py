"""A router beyond its capacity: what is served in time, what is refused, and how soon it is well again.

The router's core is shared with processes that keep it busy, so that the generator can ask for four
times as much as is left. Capacity is what clients get that ask again as soon as they are answered.
Then each multiple of it is asked for, open loop, by clients that ask twice more when they are
refused and their time allows it, and after it half of the capacity. Goodput counts requests, not
tries. Wants six cores: one measured and shared, one for the stand-in fleet, four for the generator.
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
from bench.router_rate import CACHES, MEASURED, rate
from myrtlecourse.load.profile import Clients, Piece, Profile, RequestClass
from myrtlecourse.load.record import OutcomeStats
from myrtlecourse.load.run import Job, run

MULTIPLES = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0)
AFTER = 0.5  # of the capacity, once an overload is over
WELL = 0.95  # of a second's requests served in time
SETTLE = 1  # seconds at the begin of an overload that are not counted
BURN = "while True: pass"
AIM, DEADLINE = 0.5, 1.0  # seconds


@contextlib.contextmanager
def busy(neighbours: int) -> Iterator[None]:
    """So many processes that want all of the measured core."""
    with contextlib.ExitStack() as stack:
        for _ in range(neighbours):
            stack.enter_context(rig.process([sys.executable, "-c", BURN], MEASURED))
        yield


def profile(per_second: float, capacity: float, seconds: float) -> Profile:
    """An overload and what comes after."""
    return Profile(
        (Piece(seconds, per_second), Piece(seconds, AFTER * capacity)),
        classes=(RequestClass("read", deadline=DEADLINE, aim=AIM),),
        clients=Clients(retries=2, connections=5000),
    )


def measure(multiple: float, capacity: float, port: int, seconds: int, workers: int) -> dict[str, Any]:
    """One multiple of the capacity."""
    asked = profile(multiple * capacity, capacity, seconds)
    _, record = run(Job(asked, (("127.0.0.1", port),), workers), lambda *_: None)
    during = OutcomeStats()
    for second in range(SETTLE, seconds):
        during.merge(record.seconds[second])
    counts, scheduled = during.counts, max(1, during.counts["scheduled"])
    well = (
        after
        for after in range(seconds)
        if record.seconds[seconds + after].counts["in_time"]
        >= WELL * record.seconds[seconds + after].counts["scheduled"]
    )
    return {
        "multiple": multiple,
        "asked": scheduled / (seconds - SETTLE),
        "goodput": counts["in_time"] / (seconds - SETTLE),
        "refused": counts["refused"] / scheduled,
        "failed": counts["failed"] / scheduled,
        "p99_ms": during.quantiles()["p99"],
        "well_again_after_s": next(well, None),
        "generator_was_the_limit": record.generator_limited(),
    }


def picture(rows: list[dict[str, Any]], capacity: float, file: str) -> None:
    """Goodput and refusals by load, as PNG or SVG."""
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
        "--router", default=f"{python} -B deploy/start.py", help="command (default: as deployed)"
    )
    parser.add_argument("--neighbours", type=int, default=3, help="busy processes on its core (default 3)")
    parser.add_argument("--seconds", type=int, default=4, help="of each overload, and after it (default 4)")
    parser.add_argument("--workers", type=int, default=3, help="of the generator (default 3)")
    parser.add_argument("--json", metavar="FILE", help="write the figures there")
    parser.add_argument("--picture", metavar="FILE", help="draw them there (.png or .svg)")
    options = parser.parse_args()
    rows = []
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(rig.fleet(rig.boxes(), CACHES))
        command = shlex.split(options.router)
        port, child = stack.enter_context(rig.router(command, fleet.configuration, MEASURED))
        stack.enter_context(busy(options.neighbours))
        capacity, _ = rate(port, 64, 3.0, child.pid)
        print(f"capacity {capacity:,.0f} requests/s")
        print("multiple    asked  goodput  of capacity  refused  failed  p99 ms  well after")
        for multiple in MULTIPLES:
            row = measure(multiple, capacity, port, options.seconds, options.workers)
            rows.append(row)
            after = row["well_again_after_s"]
            part = row["goodput"] / capacity
            print(
                f"{multiple:8.2f} {row['asked']:8.0f} {row['goodput']:8.0f} {part:12.2f} "
                f"{row['refused']:8.2f} {row['failed']:7.2f} {row['p99_ms']:7.0f}  "
                + ("not seen" if after is None else f"{after} s")
                + ("  (the generator was the limit)" if row["generator_was_the_limit"] else ""),
                flush=True,
            )
    if options.json:
        Path(options.json).write_text(json.dumps({"capacity": capacity, "rows": rows}, indent=1) + "\n")
    if options.picture:
        picture(rows, capacity, options.picture)


if __name__ == "__main__":
    main()
