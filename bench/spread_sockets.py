"""What the spread costs on real sockets, by role: processor time, bytes and memory, and how soon all have it.

300 members of one region on loopback: one of each role in a process of its own, all others in two. Purges are
proposed at the writer's own steady rate; `done` and what it is measured from are lines of the writer's file.
Processor time is the process's own, so that what else the machine does counts little; times do feel it.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np

from myrtlecourse.fleet.hollow_spread import Job
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.spread.messages import Settings, Site
from myrtlecourse.spread.tree import CONTROL, LEAF, REGION_RELAY, SITE_RELAY, Tree

SITES, ROUTERS, PARTS = 10, 20, 9
CONTROLS = ("control-0", "control-1", "control-2")
FOLDER = "/dev/shm" if Path("/dev/shm").is_dir() else None
SETTLE = 5.0  # seconds until all have a parent
ROLES = {REGION_RELAY: "relay", SITE_RELAY: "head", LEAF: "leaf"}


class Process:
    """One process of members."""

    def __init__(self, role: str, job: Job, folder: Path) -> None:
        self.role = role
        path = folder / f"{role}.json"
        told = {"spread": job.spread, "members": job.members, "folder": job.folder}
        path.write_text(json.dumps(told))
        command = [sys.executable, "-m", "myrtlecourse.fleet.hollow_spread", str(path)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def answer(self) -> str:
        """The next line that it says."""
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def order(self, *words: str) -> Any:
        """One order, and its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(" ".join(words) + "\n")
        self.process.stdin.flush()
        return json.loads(self.answer())

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def sites() -> tuple[Site, ...]:
    """The region."""
    return tuple(
        Site(
            f"site-{n}",
            "region",
            tuple(f"router-{n}-{each}" for each in range(ROUTERS)),
            tuple(f"part-{n}-{each}" for each in range(PARTS)),
        )
        for n in range(SITES)
    )


def roles() -> dict[str, list[str]]:
    """Who is measured as what, and two processes of all others."""
    settings = Settings("control-0", CONTROLS, sites())
    tree = Tree(settings)
    found: dict[str, list[str]] = {"writer": ["control-0"], "control": ["control-1"]}
    rest = ["control-2"]
    for name, tier in tree.layout.tiers.items():
        if tier == CONTROL:
            continue
        role = "part" if name.startswith("part-") else ROLES[tier]
        if role not in found:
            found[role] = [name]
        else:
            rest.append(name)
    return found | {"others-0": rest[::2], "others-1": rest[1::2]}


def delays(path: Path) -> list[float]:
    """Seconds from when each entry lasts to when it is done everywhere, of the writer's file."""
    lasts: dict[int, float] = {}
    found: list[float] = []
    done = 0
    for line in path.read_text().splitlines():
        at, *words = line.split()
        if words[0] == "done":
            found += [float(at) - lasts.pop(n) for n in range(done + 1, int(words[1]) + 1) if n in lasts]
            done = int(words[1])
        elif words[0].isdigit():
            lasts[int(words[0])] = float(at)
    return found


def once(rate: float, seconds: float) -> dict[str, float]:
    """One run's figures."""
    each = roles()
    names = [name for some in each.values() for name in some]
    at = {name: "{}:{}".format(*free_address()) for name in names}

    def peers(some: tuple[str, ...]) -> list[dict[str, str]]:
        return [{"name": name, "at": at[name]} for name in some]

    with tempfile.TemporaryDirectory(dir=FOLDER) as scratch:
        folder = Path(scratch)
        (folder / "key").write_bytes(b"a key that all of them have")
        table = {
            "key_file": str(folder / "key"),
            "control": peers(CONTROLS),
            "site": [
                {"name": s.name, "region": s.region, "routers": peers(s.routers), "parts": peers(s.parts)}
                for s in sites()
            ],
        }
        running = {
            role: Process(role, Job(table, {name: at[name] for name in some}, scratch), folder)
            for role, some in each.items()
        }
        try:
            for process in running.values():
                assert process.answer() == "ready\n"
            writer = running["writer"]
            writer.order("take", "control-0", "1")
            time.sleep(SETTLE)
            before = {role: p.order("figures") for role, p in running.items()}
            told = writer.order("send", "control-0", str(rate), str(seconds))
            after = {role: p.order("figures") for role, p in running.items()}
            until = time.monotonic() + 60.0
            while (writer.order("status", "control-0")["done"] or [0])[0] < told["last"]:
                assert time.monotonic() < until, "never done everywhere"
                time.sleep(0.1)
            done = writer.order("status", "control-0")["done"]
        finally:
            for process in running.values():
                process.end()
        waited = delays(folder / "control-0.applied")
    found: dict[str, float] = {"counted": done[1], "not counted": done[2]}
    found["purges a second"] = (told["last"] - len(told["refused"])) / told["took"]
    found["done everywhere p50"], found["done everywhere p99"] = np.quantile(waited, [0.5, 0.99])
    found["done everywhere max"] = max(waited)
    for role in each:
        if role.startswith("others"):
            continue
        took = after[role]["at"] - before[role]["at"]
        for name, key in (("core", "cpu_s"), ("bytes", "bytes_sent"), ("datagrams", "sent")):
            found[f"{role}: {name}"] = (after[role][key] - before[role][key]) / took
        found[f"{role}: memory"] = after[role]["resident_mb"]
    return found


def unit(name: str) -> str:
    """What a figure is in."""
    if ": " in name:
        units = {"core": "of a core", "bytes": "bytes/s", "datagrams": "1/s", "memory": "MB"}
        return units[name.partition(": ")[2]]
    return "s" if name.startswith("done") else "1/s" if name.startswith("purges") else "members"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=100.0, help="purges a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--out", type=Path, help="where to write the figures as JSON")
    told = parser.parse_args()
    runs = []
    for _ in range(told.repeats):
        runs.append(once(told.rate, told.seconds))
        print(json.dumps(runs[-1]), flush=True)
    command = f"python -m bench.spread_sockets --rate {told.rate:g} --seconds {told.seconds:g}"
    command += f" --repeats {told.repeats}"
    members = SITES * (ROUTERS + PARTS)
    conditions = f"{members} members and {len(CONTROLS)} control machines on loopback, one machine, shared;"
    conditions += f" {told.rate:g} purges/s for {told.seconds:g} s; Python from sources; bytes without heads"
    measures = [
        {
            "name": name,
            "value": statistics.median(run[name] for run in runs),
            "unit": unit(name),
            "low": min(run[name] for run in runs),
            "high": max(run[name] for run in runs),
            "repeats": len(runs),
            "conditions": conditions,
            "command": command,
        }
        for name in runs[0]
    ]
    if told.out is not None:
        told.out.parent.mkdir(exist_ok=True)
        told.out.write_text(
            json.dumps({"version": 1, "command": command, "measures": measures}, indent=1) + "\n"
        )
    for each in measures:
        print(f"{each['name']}: {each['value']:.4g} {each['unit']} ({each['low']:.4g} to {each['high']:.4g})")


if __name__ == "__main__":
    main()
