"""Entries a second that three control machines write down, each with a real log on this machine's disk.

One process plays all three: words go from head to head at once, each store is a real write and sync in a
thread of its own. What it tells is the disk's part and the processor's, not the network's.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

from myrtlecourse.spread import messages as said
from myrtlecourse.spread import replica_events as at
from myrtlecourse.spread.log_file import LogFile
from myrtlecourse.spread.messages import Purge, Settings, Site
from myrtlecourse.spread.replica import Replica

NAMES = ("control-1", "control-2", "control-3")


class Run:
    """Three of them."""

    def __init__(self, folder: Path) -> None:
        self.files = {name: LogFile(folder / name) for name in NAMES}
        sites = (Site("s", "r", ("router",)),)
        now = time.monotonic()
        self.heads = {n: Replica(Settings(n, NAMES, sites), f.state, now) for n, f in self.files.items()}
        self.pool = ThreadPoolExecutor(3)
        self.stores: list[tuple[str, int, Future[None]]] = []
        self.wakes = dict.fromkeys(NAMES, now)
        self.done: dict[int, float] = {}
        self.syncs = self.words = 0

    def post(self, name: str, event: at.ReplicaEvent) -> None:
        todo = [(name, event)]
        while todo:
            name, event = todo.pop(0)
            for action in self.heads[name].handle(time.monotonic(), event):
                match action:
                    case said.Send(to, words):
                        self.words += 1
                        todo.append((to, said.Received(name, words)))
                    case at.Store(number, records):
                        self.syncs += 1
                        written = self.pool.submit(self.files[name].append, records)
                        self.stores.append((name, number, written))
                    case at.Acknowledge(ticket, _):
                        self.done[ticket] = time.monotonic()
                    case at.Refuse(ticket, why):
                        raise SystemExit(f"{ticket}: {why}")
                    case said.SetTimer(when):
                        self.wakes[name] = when

    def turn(self) -> None:
        """What is due by now."""
        now = time.monotonic()
        for store in [s for s in self.stores if s[2].done()]:
            self.stores.remove(store)
            store[2].result()
            self.post(store[0], at.Stored(store[1]))
        for name, when in self.wakes.items():
            if when <= now:
                self.post(name, said.TimerFired())
        time.sleep(0.0005)


def measure(folder: Path, rate: float, seconds: float) -> dict[str, Any]:
    """Propose so many entries a second for so long."""
    run = Run(folder)
    run.post(NAMES[0], at.LeadershipGained(1))
    while run.heads[NAMES[0]].leader is None or not run.heads[NAMES[0]].leader.is_open:
        run.turn()
    begin, used, asked = time.monotonic(), time.process_time(), list[float]()
    while time.monotonic() < begin + seconds or len(run.done) < len(asked):
        now = time.monotonic()
        while len(asked) < min(now - begin, seconds) * rate:
            asked.append(now)
            run.post(NAMES[0], at.Propose(len(asked), Purge(len(asked).to_bytes(8, "big"))))
        run.turn()
    took, used = time.monotonic() - begin, time.process_time() - used
    waits = sorted(run.done[ticket] - at_ for ticket, at_ in enumerate(asked, 1))
    run.pool.shutdown()
    return {
        "asked_per_s": rate,
        "entries": len(asked),
        "per_s": round(len(asked) / took, 1),
        "processor_us_per_entry": round(used / len(asked) * 1e6, 1),
        "wait_ms_p50_p99_max": [round(waits[int(q * (len(waits) - 1))] * 1000, 1) for q in (0.5, 0.99, 1.0)],
        "syncs_per_s": round(run.syncs / took, 1),
        "datagrams_per_s": round(run.words / took, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path(), help="on the disk that is meant")
    parser.add_argument("--rates", type=float, nargs="+", default=[100.0, 1000.0])
    parser.add_argument("--seconds", type=float, default=10.0)
    told = parser.parse_args()
    for rate in told.rates:
        with tempfile.TemporaryDirectory(dir=told.folder) as folder:
            print(json.dumps(measure(Path(folder), rate, told.seconds)), flush=True)


if __name__ == "__main__":
    main()
