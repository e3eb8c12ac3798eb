"""The costs of the spread subsystem on real sockets, by role: processor time, bytes, memory and latency.

300 members of one region run on loopback: one of each role in a process of its own, all others in two
processes. The writer proposes purges at a steady rate. The latency is computed from the lines of the writer's
file, including `done`. Processor time is that of each process, so other load on the machine matters little;
it does affect the latency.
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
JOIN_SECONDS = 5.0  # seconds until all members have a parent
ROLES = {REGION_RELAY: "relay", SITE_RELAY: "head", LEAF: "leaf"}


class MemberProcess:
    """A process that runs some of the members."""

    def __init__(self, role: str, job: Job, folder: Path) -> None:
        self.role = role
        path = folder / f"{role}.json"
        job_fields = {"spread": job.spread, "members": job.members, "folder": job.folder}
        path.write_text(json.dumps(job_fields))
        command = [sys.executable, "-m", "myrtlecourse.fleet.hollow_spread", str(path)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def read_line(self) -> str:
        """Return the next line of the process's output."""
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def command(self, *arguments: str) -> Any:
        """Send a command and return its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(" ".join(arguments) + "\n")
        self.process.stdin.flush()
        return json.loads(self.read_line())

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def sites() -> tuple[Site, ...]:
    """Return the sites of the region."""
    return tuple(
        Site(
            f"site-{n}",
            "region",
            tuple(f"router-{n}-{each}" for each in range(ROUTERS)),
            tuple(f"part-{n}-{each}" for each in range(PARTS)),
        )
        for n in range(SITES)
    )


def process_members() -> dict[str, list[str]]:
    """Return the members of each process: one per measured role, and two processes for all others."""
    settings = Settings("control-0", CONTROLS, sites())
    tree = Tree(settings)
    members: dict[str, list[str]] = {"writer": ["control-0"], "control": ["control-1"]}
    others = ["control-2"]
    for name, tier in tree.layout.tiers.items():
        if tier == CONTROL:
            continue
        role = "part" if name.startswith("part-") else ROLES[tier]
        if role not in members:
            members[role] = [name]
        else:
            others.append(name)
    return members | {"others-0": others[::2], "others-1": others[1::2]}


def completion_delays(path: Path) -> list[float]:
    """Return the seconds from each entry's commit until it is done everywhere, as the writer's file says."""
    committed_at: dict[int, float] = {}
    delays: list[float] = []
    completed = 0
    for line in path.read_text().splitlines():
        at, *fields = line.split()
        if fields[0] == "done":
            delays += [
                float(at) - committed_at.pop(n)
                for n in range(completed + 1, int(fields[1]) + 1)
                if n in committed_at
            ]
            completed = int(fields[1])
        elif fields[0].isdigit():
            committed_at[int(fields[0])] = float(at)
    return delays


def measure(rate: float, seconds: float) -> dict[str, float]:
    """Run the members once, and return the figures."""
    members = process_members()
    names = [name for group in members.values() for name in group]
    addresses = {name: "{}:{}".format(*free_address()) for name in names}

    def peers(group: tuple[str, ...]) -> list[dict[str, str]]:
        return [{"name": name, "at": addresses[name]} for name in group]

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
            role: MemberProcess(role, Job(table, {name: addresses[name] for name in group}, scratch), folder)
            for role, group in members.items()
        }
        try:
            for process in running.values():
                assert process.read_line() == "ready\n"
            writer = running["writer"]
            writer.command("take", "control-0", "1")
            time.sleep(JOIN_SECONDS)
            before = {role: p.command("figures") for role, p in running.items()}
            sent = writer.command("send", "control-0", str(rate), str(seconds))
            after = {role: p.command("figures") for role, p in running.items()}
            deadline = time.monotonic() + 60.0
            while (writer.command("status", "control-0")["done"] or [0])[0] < sent["last"]:
                assert time.monotonic() < deadline, "never done everywhere"
                time.sleep(0.1)
            completed = writer.command("status", "control-0")["done"]
        finally:
            for process in running.values():
                process.end()
        delays = completion_delays(folder / "control-0.applied")
    figures: dict[str, float] = {"counted": completed[1], "not counted": completed[2]}
    figures["purges a second"] = (sent["last"] - len(sent["refused"])) / sent["took"]
    figures["done everywhere p50"], figures["done everywhere p99"] = np.quantile(delays, [0.5, 0.99])
    figures["done everywhere max"] = max(delays)
    for role in members:
        if role.startswith("others"):
            continue
        measured_seconds = after[role]["at"] - before[role]["at"]
        for name, key in (("core", "cpu_s"), ("bytes", "bytes_sent"), ("datagrams", "sent")):
            figures[f"{role}: {name}"] = (after[role][key] - before[role][key]) / measured_seconds
        figures[f"{role}: memory"] = after[role]["resident_mb"]
    return figures


def unit_of(name: str) -> str:
    """Return the unit of a figure."""
    if ": " in name:
        units = {"core": "of a core", "bytes": "bytes/s", "datagrams": "1/s", "memory": "MB"}
        return units[name.partition(": ")[2]]
    return "s" if name.startswith("done") else "1/s" if name.startswith("purges") else "members"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=100.0, help="purges per second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--out", type=Path, help="file for the results, as JSON")
    options = parser.parse_args()
    runs = []
    for _ in range(options.repeats):
        runs.append(measure(options.rate, options.seconds))
        print(json.dumps(runs[-1]), flush=True)
    command = f"python -m bench.spread_sockets --rate {options.rate:g} --seconds {options.seconds:g}"
    command += f" --repeats {options.repeats}"
    members = SITES * (ROUTERS + PARTS)
    conditions = f"{members} members and {len(CONTROLS)} control machines on loopback, one machine, shared;"
    conditions += (
        f" {options.rate:g} purges/s for {options.seconds:g} s; Python from sources; bytes without heads"
    )
    measures = [
        {
            "name": name,
            "value": statistics.median(run[name] for run in runs),
            "unit": unit_of(name),
            "low": min(run[name] for run in runs),
            "high": max(run[name] for run in runs),
            "repeats": len(runs),
            "conditions": conditions,
            "command": command,
        }
        for name in runs[0]
    ]
    if options.out is not None:
        options.out.parent.mkdir(exist_ok=True)
        options.out.write_text(
            json.dumps({"version": 1, "command": command, "measures": measures}, indent=1) + "\n"
        )
    for each in measures:
        print(f"{each['name']}: {each['value']:.4g} {each['unit']} ({each['low']:.4g} to {each['high']:.4g})")


if __name__ == "__main__":
    main()
