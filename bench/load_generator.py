"""How accurate the load generator itself is: a known stall, its maximum rate and its memory.

stall   A stand-in freezes for 2 s. Compares the latencies that the generator reports with those that follow
        from the stall, and with those of a closed loop (16 clients that each wait for their answer).
rate    Requests per second at which 95% of the requests start less than 2 ms late, for 1, 2 and 4 workers.
memory  The memory of a replay while it reads a long trace.

Needs six cores.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import tempfile
import time
from pathlib import Path
from typing import Any

from bench import rig
from myrtlecourse.load.client import ClientPool
from myrtlecourse.load.generator import Generator
from myrtlecourse.load.profile import Clients, Piece, Profile, RequestClass
from myrtlecourse.load.record import LATE_START, MAX_LATE_SHARE, OutcomeStats
from myrtlecourse.load.requests import plan_requests
from myrtlecourse.load.run import Job, run
from myrtlecourse.load.trace import Replay, replay_requests
from myrtlecourse.net.resp import encode_command

TARGET_CORES = {1}
FREEZE_SECONDS, FREEZE_AT, RUN_SECONDS, RATE = 2.0, 0.5, 3.0, 100.0  # seconds, requests per second
SHARES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999, "max": 1.0}
CLOSED_LOOP_CLIENTS = 16
RATE_STEPS = (2000, 4000, 6000, 8000, 10_000, 12_000, 16_000, 20_000, 24_000)


def reads(rate: float, seconds: float) -> Profile:
    """Return a load of reads at an even rate."""
    return Profile(
        (Piece(seconds, rate),),
        arrivals="even",
        classes=(RequestClass("read", deadline=10.0),),
        clients=Clients(connections=2000),
    )


def expected() -> dict[str, float]:
    """Return the expected latencies in ms: only requests due during the stall wait, until its end."""
    frozen_share = FREEZE_SECONDS / RUN_SECONDS
    found = {
        name: FREEZE_SECONDS * max(0.0, 1 - (1 - share) / frozen_share) * 1000
        for name, share in SHARES.items()
    }
    return {"mean": FREEZE_SECONDS / 2 * frozen_share * 1000} | found


async def open_loop(port: int) -> dict[str, float]:
    """Return the latencies that the load generator reports."""
    profile = reads(RATE, RUN_SECONDS)
    generator = Generator(profile, plan_requests(profile), [("127.0.0.1", port)])
    await generator.run()
    return generator.record.all.quantiles()


async def closed_loop(port: int) -> dict[str, float]:
    """Return the latencies of clients that wait for each answer, and measure from their own send."""
    loop = asyncio.get_running_loop()
    pool, stats, end = (
        ClientPool(("127.0.0.1", port), CLOSED_LOOP_CLIENTS),
        OutcomeStats(),
        loop.time() + RUN_SECONDS,
    )

    async def client() -> None:
        while loop.time() < end:
            sent, answered = loop.time(), loop.create_future()
            command = encode_command([b"C.GET", b"k", b"i", b"c=read,t=a,d=9000"])
            pool.submit("i", command, lambda *_, a=answered: a.set_result(None))
            await answered
            stats.add(max(1, round((loop.time() - sent) * 1e6)))
            await asyncio.sleep(CLOSED_LOOP_CLIENTS / RATE)

    await asyncio.gather(*(client() for _ in range(CLOSED_LOOP_CLIENTS)))
    pool.close()
    return stats.quantiles()


def stall() -> dict[str, Any]:
    """Print and return the expected latencies, those of the generator and those of the closed loop."""
    rows = {"expected": expected()}
    for name, measure in (("reported", open_loop), ("closed loop", closed_loop)):
        freeze = {"what": "freeze", "at": FREEZE_AT, "box": "box-0", "seconds": FREEZE_SECONDS}
        with rig.run_fleet(rig.server_scenario(count=1, faults=[freeze]), TARGET_CORES) as fleet:
            fleet.begin()
            rows[name] = asyncio.run(measure(fleet.server_port()))
    print(f"{'ms':>12}" + "".join(f"{c:>10}" for c in rows["expected"]))
    for name, row in rows.items():
        print(f"{name:>12}" + "".join(f"{row[c]:10.1f}" for c in rows["expected"]))
    return rows


def rate(workers: int) -> dict[str, Any]:
    """Return the highest rate that is sent in time, and the share of late requests at the next step."""
    best = 0.0
    late = 0.0
    for step in RATE_STEPS:
        with rig.run_fleet(rig.server_scenario(count=1), TARGET_CORES) as fleet:
            job = Job(reads(step, 3.0), (("127.0.0.1", fleet.server_port()),), workers)
            _, record = run(job, lambda *_: None)
        late = record.starts.counts["late"] / max(1, record.starts.counts["sent"])
        if late > MAX_LATE_SHARE:
            break
        best = step
    print(
        f"{workers} workers: {best:,.0f}/s in time; at the next step {late:.0%} "
        f"over {LATE_START * 1000:g} ms late"
    )
    return {"workers": workers, "rate": best, "late_at_next_step": late}


def memory(count: int) -> dict[str, Any]:
    """Return the peak memory in MB before and after a replay reads a trace."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "trace.jsonl")
        with file.open("w") as out:
            for i in range(count):
                out.write(f'{{"at":{i / 10_000},"class":"read","tenant":"a","key":"key-{i % 9973}"}}\n')
        list(zip(range(1000), replay_requests(Replay(file)), strict=False))
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        began = time.perf_counter()
        read = sum(1 for _ in replay_requests(Replay(file)))
        took = time.perf_counter() - began
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"{read:,} lines in {took:.1f} s: {before:.1f} MB before, {after:.1f} MB at the most")
    return {"lines": read, "seconds": took, "before_mb": before, "peak_mb": after}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what", nargs="*", choices=["stall", "rate", "memory"], help="what to measure (default: all)"
    )
    parser.add_argument("--lines", type=int, default=1_000_000, help="lines of the trace (default 1,000,000)")
    parser.add_argument("--json", metavar="FILE", help="file for the results, as JSON")
    options = parser.parse_args()
    wanted = options.what or ["memory", "stall", "rate"]
    figures: dict[str, Any] = {}
    if "memory" in wanted:  # first, while the process is still small
        figures["memory"] = memory(options.lines)
    if "stall" in wanted:
        figures["stall"] = stall()
    if "rate" in wanted:
        figures["rate"] = [rate(workers) for workers in (1, 2, 4)]
    if options.json:
        Path(options.json).write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
