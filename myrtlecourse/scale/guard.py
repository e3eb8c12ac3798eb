"""Limits the memory and processes of a run, and ends all of its processes at its end, whatever the cause."""

from __future__ import annotations

import ctypes
import os
import signal
import time
from contextlib import suppress
from dataclasses import dataclass

from myrtlecourse.scale.machine import ProcessStat, machine_memory, process_tree, read_processes

MAX_PROCESSES = 200
MEMORY_SHARE = 0.5  # of the machine's memory
PR_SET_CHILD_SUBREAPER = 36  # option of prctl(2)
SIGKILL_DELAY = 4.0  # seconds between SIGTERM and SIGKILL: slightly more than a router's longest deadline
END_TIMEOUT = 20.0  # seconds within which all processes must have ended
MB = 1024 * 1024


class ResourceLimitError(RuntimeError):
    """Raised when a run exceeds a limit; the message names the resource and the limit."""


@dataclass(frozen=True)
class ResourceLimits:
    """The limits of one run."""

    memory: int  # bytes of all processes; pages that they share are counted for each
    processes: int = MAX_PROCESSES

    @classmethod
    def of_machine(cls, memory: int | None = None) -> ResourceLimits:
        """Return limits of half of this machine's memory, or of `memory` bytes if that is less."""
        highest = int(machine_memory() * MEMORY_SHARE)
        return cls(highest if memory is None else min(highest, memory))

    def require(self, memory: int, count: int, subject: str) -> None:
        """Raise ResourceLimitError if either value exceeds its limit."""
        if memory > self.memory:
            raise ResourceLimitError(
                f"memory: {subject} {memory / MB:,.0f} MB, and the limit is {self.memory / MB:,.0f} MB"
            )
        if count > self.processes:
            raise ResourceLimitError(f"processes: {subject} {count}, and the limit is {self.processes}")

    def check_usage(self) -> tuple[int, int]:
        """Return the bytes and processes used by this process and its descendants.

        Raises ResourceLimitError.
        """
        table = read_processes()
        memory, count = usage_of(process_tree(os.getpid(), table), table)
        self.require(memory, count, "the run has taken")
        return memory, count


def usage_of(pids: set[int], table: dict[int, ProcessStat]) -> tuple[int, int]:
    """Return the resident bytes and the number of some processes."""
    return sum(table[pid].resident for pid in pids), len(pids)


def adopt_orphans() -> None:
    """Become the parent of descendants whose own parent dies.

    Without this, real routers whose parent was killed would keep running and could not be found.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")


def end_descendants() -> None:
    """End all descendants of this process, and wait until they are gone. Raises ResourceLimitError.

    They get SIGTERM first: Python's resource tracker exits by itself once the process that it serves has
    ended.
    """
    began_at = time.monotonic()
    while remaining := process_tree(os.getpid(), read_processes()) - {os.getpid()}:
        elapsed = time.monotonic() - began_at
        if elapsed > END_TIMEOUT:
            raise ResourceLimitError(f"processes {sorted(remaining)} were killed and have not ended")
        for pid in remaining:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGTERM if elapsed < SIGKILL_DELAY else signal.SIGKILL)
            # waiting fails while the process has another parent; it becomes a child when that parent ends
            with suppress(ChildProcessError):
                os.waitpid(pid, os.WNOHANG)
        time.sleep(0.05)
