"""Reads the resource usage of processes from proc(5), and measures the machine's speed with a fixed loop."""

from __future__ import annotations

import os
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

CPU_TICK = 1.0 / os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CALIBRATION_LOOPS = 200_000  # iterations of one calibration
CALIBRATION_REPEATS = 5


@dataclass(frozen=True, slots=True)
class ProcessStat:
    """One process: processor time in seconds, and resident memory in bytes."""

    parent: int
    cpu_s: float
    children_cpu_s: float  # of children that have ended and been waited for
    resident: int


def read_processes() -> dict[int, ProcessStat]:
    """Return all processes of the machine, by process id."""
    found = {}
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue  # the process has ended in the meantime
        found[int(folder.name)] = ProcessStat(
            parent=int(fields[1]),
            cpu_s=(int(fields[11]) + int(fields[12])) * CPU_TICK,
            children_cpu_s=(int(fields[13]) + int(fields[14])) * CPU_TICK,
            resident=int(fields[21]) * PAGE_BYTES,
        )
    return found


def process_tree(root: int, table: dict[int, ProcessStat]) -> set[int]:
    """Return the ids of a process and of all its descendants."""
    children: dict[int, list[int]] = {}
    for pid, process in table.items():
        children.setdefault(process.parent, []).append(pid)
    members, pending = set(), [root]
    while pending:
        pid = pending.pop()
        if pid in table and pid not in members:
            members.add(pid)
            pending += children.get(pid, [])
    return members


def cpu_seconds_of(pids: Iterable[int], table: dict[int, ProcessStat]) -> float:
    """Return the processor seconds of some processes, including their children that have ended."""
    return sum(table[pid].cpu_s + table[pid].children_cpu_s for pid in pids)


def machine_memory() -> int:
    """Return the machine's memory in bytes."""
    text = Path("/proc/meminfo").read_text()
    return int(text.split("MemTotal:")[1].split()[0]) * 1024


def machine_cpu_seconds() -> float:
    """Return the processor seconds that all processes have used on all cores.

    These are user, nice, system and interrupt time.
    """
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()
    return sum(int(fields[i]) for i in (1, 2, 3, 6, 7)) * CPU_TICK


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """Processor seconds used up to a time: by the whole machine, and by this process and its descendants."""

    time: float
    machine_s: float
    own_s: float

    @classmethod
    def now(cls) -> CpuUsage:
        table = read_processes()
        return cls(
            time.monotonic(), machine_cpu_seconds(), cpu_seconds_of(process_tree(os.getpid(), table), table)
        )


def others_share(before: CpuUsage, after: CpuUsage) -> float:
    """Return the share of the machine that processes outside this run used between two measurements."""
    capacity = (after.time - before.time) * (os.cpu_count() or 1)
    others = (after.machine_s - before.machine_s) - (after.own_s - before.own_s)
    return max(0.0, others / capacity) if capacity > 0 else 0.0


def calibrate() -> float:
    """Return the processor seconds of a fixed loop on this machine: the median of a few repeats."""

    def time_loop() -> float:
        began, number = time.process_time(), 1
        for _ in range(CALIBRATION_LOOPS):
            number = (number * 1_103_515_245 + 12_345) & 0x7FFF_FFFF
        return time.process_time() - began

    return statistics.median(time_loop() for _ in range(CALIBRATION_REPEATS))
