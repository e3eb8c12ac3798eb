"""Entries per second that three control nodes commit, each with a real log on this machine's disk.

One process runs all three. Messages are delivered at once; each write is a real write and sync in a thread of
its own. The result covers the disk and the processor, and not the network.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

from myrtlecourse.spread import messages as msg
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.log_file import LogFile
from myrtlecourse.spread.messages import Purge, Settings, Site
from myrtlecourse.spread.replica import Replica

NAMES = ("control-1", "control-2", "control-3")


class ControlNodes:
    """The three control nodes with their logs."""

    def __init__(self, folder: Path) -> None:
        self.files = {name: LogFile(folder / name) for name in NAMES}
        sites = (Site("s", "r", ("router",)),)
        now = time.monotonic()
        self.replicas = {n: Replica(Settings(n, NAMES, sites), f.state, now) for n, f in self.files.items()}
        self.pool = ThreadPoolExecutor(3)
        self.stores: list[tuple[str, int, Future[None]]] = []
        self.wake_up_at = dict.fromkeys(NAMES, now)
        self.acknowledged_at: dict[int, float] = {}
        self.syncs = self.message_count = 0

    def post(self, name: str, event: events.ReplicaEvent) -> None:
        pending = [(name, event)]
        while pending:
            name, event = pending.pop(0)
            for action in self.replicas[name].handle(time.monotonic(), event):
                match action:
                    case msg.Send(to, messages):
                        self.message_count += 1
                        pending.append((to, msg.Received(name, messages)))
                    case events.Store(number, records):
                        self.syncs += 1
                        written = self.pool.submit(self.files[name].append, records)
                        self.stores.append((name, number, written))
                    case events.Acknowledge(ticket, _):
                        self.acknowledged_at[ticket] = time.monotonic()
                    case events.Refuse(ticket, reason):
                        raise SystemExit(f"{ticket}: {reason}")
                    case msg.SetTimer(when):
                        self.wake_up_at[name] = when

    def step(self) -> None:
        """Handle the writes that have finished and the timers that are due."""
        now = time.monotonic()
        for write in [s for s in self.stores if s[2].done()]:
            self.stores.remove(write)
            write[2].result()
            self.post(write[0], events.Stored(write[1]))
        for name, when in self.wake_up_at.items():
            if when <= now:
                self.post(name, msg.TimerFired())
        time.sleep(0.0005)


def measure(folder: Path, rate: float, seconds: float) -> dict[str, Any]:
    """Propose entries at a rate for some seconds, and return the figures."""
    nodes = ControlNodes(folder)
    nodes.post(NAMES[0], events.LeadershipGained(1))
    while nodes.replicas[NAMES[0]].leader is None or not nodes.replicas[NAMES[0]].leader.is_open:
        nodes.step()
    began, processor_time, proposed_at = time.monotonic(), time.process_time(), list[float]()
    while time.monotonic() < began + seconds or len(nodes.acknowledged_at) < len(proposed_at):
        now = time.monotonic()
        while len(proposed_at) < min(now - began, seconds) * rate:
            proposed_at.append(now)
            nodes.post(NAMES[0], events.Propose(len(proposed_at), Purge(len(proposed_at).to_bytes(8, "big"))))
        nodes.step()
    took, processor_time = time.monotonic() - began, time.process_time() - processor_time
    latencies = sorted(
        nodes.acknowledged_at[ticket] - proposed for ticket, proposed in enumerate(proposed_at, 1)
    )
    nodes.pool.shutdown()
    return {
        "asked_per_s": rate,
        "entries": len(proposed_at),
        "per_s": round(len(proposed_at) / took, 1),
        "processor_us_per_entry": round(processor_time / len(proposed_at) * 1e6, 1),
        "wait_ms_p50_p99_max": [
            round(latencies[int(q * (len(latencies) - 1))] * 1000, 1) for q in (0.5, 0.99, 1.0)
        ],
        "syncs_per_s": round(nodes.syncs / took, 1),
        "datagrams_per_s": round(nodes.message_count / took, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path(), help="folder on the disk to measure")
    parser.add_argument("--rates", type=float, nargs="+", default=[100.0, 1000.0])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for rate in options.rates:
        with tempfile.TemporaryDirectory(dir=options.folder) as folder:
            print(json.dumps(measure(Path(folder), rate, options.seconds)), flush=True)


if __name__ == "__main__":
    main()
