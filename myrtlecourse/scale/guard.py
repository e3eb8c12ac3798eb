"""Bounds what a run takes of the machine, and leaves no process behind when it ends, however it does."""

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
PR_SET_CHILD_SUBREAPER = 36  # PR_SET_CHILD_SUBREAPER of prctl(2)
SIGKILL_DELAY = 4.0  # seconds from SIGTERM to SIGKILL: a router's longest deadline and a little more
END_TIMEOUT = 20.0  # seconds until all must be gone
MB = 1024 * 1024


class ResourceLimitError(RuntimeError):
    """A run that takes more than it may; the message names what and the bound."""


@dataclass(frozen=True)
class ResourceLimits:
    """The bounds of one run."""

    memory: int  # bytes, of all its processes; pages that they share count for each
    processes: int = MAX_PROCESSES

    @classmethod
    def of_machine(cls, memory: int | None = None) -> ResourceLimits:
        """Half of this machine's memory, or less where less is asked for."""
        most = int(machine_memory() * MEMORY_SHARE)
        return cls(most if memory is None else min(most, memory))

    def require(self, memory: int, count: int, what: str) -> None:
        """Raises GuardError where either is over its bound."""
        if memory > self.memory:
            raise ResourceLimitError(
                f"memory: {what} {memory / MB:,.0f} MB, and the bound is {self.memory / MB:,.0f} MB"
            )
        if count > self.processes:
            raise ResourceLimitError(f"processes: {what} {count}, and the bound is {self.processes}")

    def check_usage(self) -> tuple[int, int]:
        """What this process and its descendants take: bytes and processes. Raises GuardError."""
        table = read_processes()
        memory, count = usage_of(process_tree(os.getpid(), table), table)
        self.require(memory, count, "the run has taken")
        return memory, count


def usage_of(pids: set[int], table: dict[int, ProcessStat]) -> tuple[int, int]:
    """Bytes and processes of a tree."""
    return sum(table[pid].resident for pid in pids), len(pids)


def adopt_orphans() -> None:
    """Become the parent of descendants whose own parent dies.

    Guards the machine: real routers whose starter was killed would else be out of sight, and run on.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")


def end_descendants() -> None:
    """End all that descend from this process, and wait until they are gone. Raises GuardError.

    They are asked first: Python's cleaner of a process's semaphores ends by itself once that one is gone.
    """
    began = time.monotonic()
    while left := process_tree(os.getpid(), read_processes()) - {os.getpid()}:
        passed = time.monotonic() - began
        if passed > END_TIMEOUT:
            raise ResourceLimitError(f"processes {sorted(left)} were killed and have not ended")
        for pid in left:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGTERM if passed < SIGKILL_DELAY else signal.SIGKILL)
            with suppress(ChildProcessError):  # another's; this process's once that one is gone
                os.waitpid(pid, os.WNOHANG)
        time.sleep(0.05)
