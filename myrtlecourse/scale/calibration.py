"""How fast this machine is now, and whether others used it: figures of two machines can be set side by side.

The calibration loop is a fixed piece of interpreted work. A cost in its units moves less between machines,
and between hours of one machine, than one in seconds.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

LOOP_ROUNDS = 20_000  # of the loop: about 2 ms
REPEATS = 15
MAX_OTHERS_SHARE = 0.1  # share of the machine in other hands, from which a run counts as shared


def run_loop() -> int:
    """The fixed work: integers, a dictionary and a list, as routers' own code has them."""
    table: dict[int, int] = {}
    for i in range(LOOP_ROUNDS):
        table[i & 255] = table.get(i & 255, 0) + (i ^ 0x5BD1)
    return sum(sorted(table.values()))


def calibrate() -> float:
    """Processor seconds that the loop takes: the least of some, as whatever disturbs it only adds."""
    found = []
    for _ in range(REPEATS):
        before = time.thread_time()
        run_loop()
        found.append(time.thread_time() - before)
    return min(found)


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """Processor seconds spent so far, and the clock."""

    time: float  # seconds, of any clock that only runs forward
    machine_s: float  # by the whole machine
    own_s: float  # by this process and its children that have ended


def busy_seconds(stat: str, ticks: int) -> float:
    """What the first line of /proc/stat says that all cores together spent on work, in seconds.

    Idle and waiting for the disk are no work; guests' time is in their hosts' already (proc(5)).
    Raises ValueError for a text without that line.
    """
    fields = stat.partition("\n")[0].split()
    if len(fields) < 9 or fields[0] != "cpu":
        raise ValueError("/proc/stat does not begin with the line of all cores")
    user, nice, system, _idle, _wait, irq, soft, steal = map(int, fields[1:9])
    return (user + nice + system + irq + soft + steal) / ticks


def cpu_usage() -> CpuUsage:
    """The use up to now."""
    own = os.times()
    stat = Path("/proc/stat").read_text()
    mine = own.user + own.system + own.children_user + own.children_system
    return CpuUsage(time.monotonic(), busy_seconds(stat, os.sysconf("SC_CLK_TCK")), mine)


def others_share(before: CpuUsage, after: CpuUsage, cores: int) -> float:
    """The share of the machine (0 to 1) that others used between two moments."""
    capacity = (after.time - before.time) * cores
    if capacity <= 0:
        return 0.0
    return min(1.0, max(0.0, (after.machine_s - before.machine_s) - (after.own_s - before.own_s)) / capacity)


def is_shared(others_share: float) -> bool:
    """Whether a run in which others used that share of the machine has to be marked."""
    return others_share > MAX_OTHERS_SHARE
