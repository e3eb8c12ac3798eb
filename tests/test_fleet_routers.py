"""A router's process as the stand-in fleet observes it."""

from __future__ import annotations

import asyncio
import re
import shlex
import sys
from pathlib import Path

import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.routers import Router

pytestmark = pytest.mark.processes
ROUTER = """
import time
print("began", time.monotonic(), flush=True)
print("listening on 127.0.0.1:9", flush=True)
time.sleep(60)
"""


def test_a_start_is_observed_before_its_process_can_do_anything(tmp_path: Path) -> None:
    """Noted later, what a new process sends at once was judged by what the one before had been told."""
    told: list[seen.Observation] = []

    async def start() -> None:
        router = Router("router-0", shlex.join([sys.executable, "-c", ROUTER]), tmp_path, told.append)
        router.config.write_text("{}")
        await router.start()
        await router.end(kill=True)

    asyncio.run(start())
    (up,) = [each for each in told if isinstance(each, seen.RouterUp)]
    began = re.search(r"began ([0-9.]+)", (tmp_path / "router-0.log").read_text())
    assert began is not None and up.at <= float(began[1])
