"""What the load generator itself can be trusted with: a known stall, its rate, its memory.

stall   A stand-in freezes for 2 s: what the generator reports, what the stall says it must be, and what a
        closed loop (16 clients that each wait for their answer) reports of the same stall.
rate    Requests a second at which 95% of the starts are under 2 ms late, for 1, 2 and 4 workers.
memory  What a replay holds while it reads a trace of so many lines.

Wants six cores.
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
FREEZE, BEFORE, LASTS, RATE = 2.0, 0.5, 3.0, 100.0  # seconds; requests a second
SHARES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999, "max": 1.0}
CLOSED = 16
STEPS = (2000, 4000, 6000, 8000, 10_000, 12_000, 16_000, 20_000, 24_000)


def reads(rate: float, seconds: float) -> Profile:
    """Reads at an even rate."""
    return Profile(
        (Piece(seconds, rate),),
        arrivals="even",
        classes=(RequestClass("read", deadline=10.0),),
        clients=Clients(connections=2000),
    )


def expected() -> dict[str, float]:
    """Milliseconds: what was due while the target was frozen waited for its end, all else for nothing."""
    held = FREEZE / LASTS
    found = {name: FREEZE * max(0.0, 1 - (1 - share) / held) * 1000 for name, share in SHARES.items()}
    return {"mean": FREEZE / 2 * held * 1000} | found


async def open_loop(port: int) -> dict[str, float]:
    """What the generator reports."""
    profile = reads(RATE, LASTS)
    generator = Generator(profile, plan_requests(profile), [("127.0.0.1", port)])
    await generator.run()
    return generator.record.all.quantiles()


async def closed_loop(port: int) -> dict[str, float]:
    """What clients report that ask again only when they are answered, and count from when they ask."""
    loop = asyncio.get_running_loop()
    pool, part, until = ClientPool(("127.0.0.1", port), CLOSED), OutcomeStats(), loop.time() + LASTS

    async def client() -> None:
        while loop.time() < until:
            sent, answered = loop.time(), loop.create_future()
            command = encode_command([b"C.GET", b"k", b"i", b"c=read,t=a,d=9000"])
            pool.submit("i", command, lambda *_, a=answered: a.set_result(None))
            await answered
            part.add(max(1, round((loop.time() - sent) * 1e6)))
            await asyncio.sleep(CLOSED / RATE)

    await asyncio.gather(*(client() for _ in range(CLOSED)))
    pool.close()
    return part.quantiles()


def stall() -> dict[str, Any]:
    """The three, beside one another."""
    rows = {"expected": expected()}
    for name, play in (("reported", open_loop), ("closed loop", closed_loop)):
        freeze = {"what": "freeze", "at": BEFORE, "box": "box-0", "seconds": FREEZE}
        with rig.fleet(rig.boxes(count=1, faults=[freeze]), TARGET_CORES) as fleet:
            fleet.begin()
            rows[name] = asyncio.run(play(fleet.box()))
    print(f"{'ms':>12}" + "".join(f"{c:>10}" for c in rows["expected"]))
    for name, row in rows.items():
        print(f"{name:>12}" + "".join(f"{row[c]:10.1f}" for c in rows["expected"]))
    return rows


def rate(workers: int) -> dict[str, Any]:
    """The highest of the steps that is sent in time, and what the one after it looked like."""
    best = 0.0
    late = 0.0
    for step in STEPS:
        with rig.fleet(rig.boxes(count=1), TARGET_CORES) as fleet:
            job = Job(reads(step, 3.0), (("127.0.0.1", fleet.box()),), workers)
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
    """Peak memory (MB) before and after a replay reads so many lines."""
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
    parser.add_argument("what", nargs="*", choices=["stall", "rate", "memory"], help="(default: all)")
    parser.add_argument("--lines", type=int, default=1_000_000, help="of the trace (default 1,000,000)")
    parser.add_argument("--json", metavar="FILE", help="write the figures there too")
    options = parser.parse_args()
    wanted = options.what or ["memory", "stall", "rate"]
    figures: dict[str, Any] = {}
    if "memory" in wanted:  # first, while the process is small
        figures["memory"] = memory(options.lines)
    if "stall" in wanted:
        figures["stall"] = stall()
    if "rate" in wanted:
        figures["rate"] = [rate(workers) for workers in (1, 2, 4)]
    if options.json:
        Path(options.json).write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
