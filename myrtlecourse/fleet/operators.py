"""Operators of a stand-in fleet: call routers, poll whether each is ready, and measure the answer times."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import numpy as np

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.routers import CALL_TIME, READY_TIME, Router, RouterError

READY_INTERVAL = 0.1  # seconds between two readiness calls to a router
RETRY_PAUSE = 0.05  # seconds before a call is repeated that did not succeed
MAX_SAMPLES = 1_000_000  # answer times that are kept


def process_usage(pid: int) -> tuple[float, int]:
    """Return the resident memory of a process in MB and its number of open descriptors (Linux, proc(5))."""
    folder = Path(f"/proc/{pid}")
    pages = (folder / "status").read_text().split("VmRSS:")[1].split()[0]
    return int(pages) / 1024, sum(1 for _ in (folder / "fd").iterdir())


class Operators:
    """The operators of a fleet's routers."""

    def __init__(self, routers: list[Router]) -> None:
        self.routers = routers
        self.answer_times: list[float] = []  # seconds
        self.unanswered = 0
        self.memory = 0.0  # the highest memory (MB) of all processes of one router together
        self.descriptors = 0  # the highest number of descriptors of one router's processes
        self.faults: list[str] = []
        self.tasks = [asyncio.ensure_future(self._poll(router)) for router in routers]

    async def _poll(self, router: Router) -> None:
        while True:
            await asyncio.sleep(READY_INTERVAL)
            began = time.monotonic()
            try:
                await router.call("GET", "ready")
            except (RouterError, OSError, ValueError, IndexError, TimeoutError):
                if router.ops is not None and router.should_run:
                    self.unanswered += 1
            else:
                if len(self.answer_times) < MAX_SAMPLES:
                    self.answer_times.append(time.monotonic() - began)
            with suppress(OSError, IndexError):
                usage = [process_usage(pid) for pid in router.pids()]
                self.memory = max(self.memory, sum(memory for memory, _ in usage))
                self.descriptors = max(self.descriptors, sum(count for _, count in usage))

    async def change_service(self, router: Router, step: Step) -> None:
        """Ban a server or lift the ban at a router; repeat a failed call, as a process may be ending."""
        until = time.monotonic() + READY_TIME
        while time.monotonic() < until:
            with suppress(RouterError, OSError, ValueError, IndexError, TimeoutError):
                if await router.call("PUT", f"cache-servers/{step.target}/{step.action}") == 200:
                    back = step.action == "online"
                    router.observe(seen.BanAcknowledged(time.monotonic(), router.name, step.target, back))
                    return
            await asyncio.sleep(RETRY_PAUSE)
        self.faults.append(f"{router.name} did not confirm {step.action} of {step.target}")

    def stop(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()

    def figures(self) -> dict[str, Any]:
        """Return the measurements for JSON: times in milliseconds, memory in MB."""
        times = np.array(self.answer_times or [0.0]) * 1000
        p50, p99 = np.quantile(times, [0.5, 0.99])
        return {
            "calls": len(self.answer_times),
            "unanswered": self.unanswered,
            "owed_ms": CALL_TIME * 1000,
            "answer_ms": {"p50": float(p50), "p99": float(p99), "max": float(times.max())},
            "upgrades": sum(len(r.ready_delays) for r in self.routers),
            "yes_s": sorted(took for r in self.routers for took in r.ready_delays),
            "memory_mb": self.memory,
            "descriptors": self.descriptors,
        }
