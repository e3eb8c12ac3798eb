"""Measures the machine's speed and whether other processes use it, so that measurements can be compared.

The calibration loop is a fixed piece of interpreted code. A cost in units of this loop varies less between
machines, and over time on one machine, than a cost in seconds does.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

LOOP_ROUNDS = 20_000  # iterations of the loop, about 2 ms
REPEATS = 15
MAX_OTHERS_SHARE = 0.1  # share of the machine used by others above which a measurement counts as shared


def run_loop() -> int:
    """Run the fixed work: integer, dictionary and list operations, typical for a router's code."""
    table: dict[int, int] = {}
    for i in range(LOOP_ROUNDS):
        table[i & 255] = table.get(i & 255, 0) + (i ^ 0x5BD1)
    return sum(sorted(table.values()))


def calibrate() -> float:
    """Return the processor seconds of the loop: the minimum of its repeats, as disturbances only add time."""
    times = []
    for _ in range(REPEATS):
        before = time.thread_time()
        run_loop()
        times.append(time.thread_time() - before)
    return min(times)


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """Processor seconds used up to a time."""

    time: float  # seconds on a monotonic clock
    machine_s: float  # seconds of the whole machine
    own_s: float  # seconds of this process and its children that have ended


def busy_seconds(stat: str, ticks: int) -> float:
    """Return the seconds that all cores together have been busy, from the first line of /proc/stat.

    Idle time and waiting for I/O are not counted; the time of guests is already included in that of their
    hosts (proc(5)). Raises ValueError if the text does not begin with that line.
    """
    fields = stat.partition("\n")[0].split()
    if len(fields) < 9 or fields[0] != "cpu":
        raise ValueError("/proc/stat does not begin with the line of all cores")
    user, nice, system, _idle, _wait, irq, soft, steal = map(int, fields[1:9])
    return (user + nice + system + irq + soft + steal) / ticks


def cpu_usage() -> CpuUsage:
    """Return the processor time used up to now."""
    times = os.times()
    stat = Path("/proc/stat").read_text()
    own_s = times.user + times.system + times.children_user + times.children_system
    return CpuUsage(time.monotonic(), busy_seconds(stat, os.sysconf("SC_CLK_TCK")), own_s)


def others_share(before: CpuUsage, after: CpuUsage, cores: int) -> float:
    """Return the share of the machine (0 to 1) that other processes used between two measurements."""
    capacity = (after.time - before.time) * cores
    if capacity <= 0:
        return 0.0
    return min(1.0, max(0.0, (after.machine_s - before.machine_s) - (after.own_s - before.own_s)) / capacity)


def is_shared(others_share: float) -> bool:
    """Return whether a measurement has to be marked as shared, given the share that others used."""
    return others_share > MAX_OTHERS_SHARE
