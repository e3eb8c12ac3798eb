"""What processes take of this machine, as Linux tells it (proc(5)), and a fixed loop to measure it by."""

from __future__ import annotations

import os
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

CPU_TICK = 1.0 / os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CALIBRATION_LOOPS = 200_000  # of one calibration
CALIBRATION_REPEATS = 5


@dataclass(frozen=True, slots=True)
class ProcessStat:
    """One process: times in seconds of processor, memory in resident bytes."""

    parent: int
    cpu_s: float
    children_cpu_s: float  # that it has waited for
    resident: int


def read_processes() -> dict[int, ProcessStat]:
    """All processes, by their ids."""
    found = {}
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            words = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue  # it has ended meanwhile
        found[int(folder.name)] = ProcessStat(
            parent=int(words[1]),
            cpu_s=(int(words[11]) + int(words[12])) * CPU_TICK,
            children_cpu_s=(int(words[13]) + int(words[14])) * CPU_TICK,
            resident=int(words[21]) * PAGE_BYTES,
        )
    return found


def process_tree(root: int, table: dict[int, ProcessStat]) -> set[int]:
    """A process and all that descend from it."""
    children: dict[int, list[int]] = {}
    for pid, process in table.items():
        children.setdefault(process.parent, []).append(pid)
    found, left = set(), [root]
    while left:
        pid = left.pop()
        if pid in table and pid not in found:
            found.add(pid)
            left += children.get(pid, [])
    return found


def cpu_seconds_of(pids: Iterable[int], table: dict[int, ProcessStat]) -> float:
    """Seconds of processor that these have used, with children that ended and were waited for."""
    return sum(table[pid].cpu_s + table[pid].children_cpu_s for pid in pids)


def machine_memory() -> int:
    """Bytes of the whole machine."""
    text = Path("/proc/meminfo").read_text()
    return int(text.split("MemTotal:")[1].split()[0]) * 1024


def machine_cpu_seconds() -> float:
    """Seconds of processor that the whole machine has used, in all cores, by anybody (user, nice, system,
    interrupts)."""
    words = Path("/proc/stat").read_text().split("\n", 1)[0].split()
    return sum(int(words[i]) for i in (1, 2, 3, 6, 7)) * CPU_TICK


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """What was used up to a time: by the whole machine, and by this process with all that descend from it."""

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
    """The share of the machine that processes of others used between two times."""
    room = (after.time - before.time) * (os.cpu_count() or 1)
    others = (after.machine_s - before.machine_s) - (after.own_s - before.own_s)
    return max(0.0, others / room) if room > 0 else 0.0


def calibrate() -> float:
    """Seconds of processor that a fixed loop takes here: the median of a few times."""

    def once() -> float:
        began, number = time.process_time(), 1
        for _ in range(CALIBRATION_LOOPS):
            number = (number * 1_103_515_245 + 12_345) & 0x7FFF_FFFF
        return time.process_time() - began

    return statistics.median(once() for _ in range(CALIBRATION_REPEATS))
