"""Tests of the observations of a router's process."""

from __future__ import annotations

import asyncio
import re
import shlex
import socket
import sys
import time
from pathlib import Path

import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.ports import set_packet_drop
from myrtlecourse.fleet.routers import Router, Routers

pytestmark = pytest.mark.processes
ROUTER = """
import time
print("began", time.monotonic(), flush=True)
print("listening on 127.0.0.1:9", flush=True)
time.sleep(60)
"""


def test_a_start_is_observed_before_its_process_can_do_anything(tmp_path: Path) -> None:
    """If the start is observed late, the new process is judged by what the previous one was told."""
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


def test_a_killed_router_is_gone_once_its_process_has_ended(tmp_path: Path) -> None:
    """Requests that arrive between the signal and the end of the process must not count as lost."""
    told: list[seen.Observation] = []
    gone: list[float] = []

    async def start() -> None:
        router = Router("router-0", shlex.join([sys.executable, "-c", ROUTER]), tmp_path, told.append)
        router.config.write_text("{}")
        await router.start()
        assert router.process is not None
        wait = router.process.wait

        async def waited() -> int:
            code = await wait()
            gone.append(time.monotonic())
            return code

        router.process.wait = waited  # type: ignore[method-assign]
        await router.end(kill=True)

    asyncio.run(start())
    up, down, ended = told
    assert isinstance(up, seen.RouterUp) and isinstance(down, seen.RouterDown) and down.killed
    assert isinstance(ended, seen.RouterExited) and down.at < gone[0] <= ended.at


ENDS = """
import signal, sys, time
signal.signal(signal.SIGHUP, lambda *_: None)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(int(sys.argv[1])))
print("listening on 127.0.0.1:9", flush=True)
time.sleep(60)
"""


@pytest.mark.parametrize("code", [0, 3])
def test_a_router_that_is_told_to_end_and_does_so_with_another_code_than_0_counts_as_crashed(
    code: int, tmp_path: Path
) -> None:
    async def start() -> int:
        command = shlex.join([sys.executable, "-c", ENDS, str(code)])
        router = Router("router-0", command, tmp_path, lambda _: None)
        router.config.write_text("{}")
        await router.start()
        await router.end(kill=False)
        return router.crashes

    assert asyncio.run(start()) == (code != 0)


def test_a_router_that_is_told_to_end_while_it_stands_still_goes_on_when_it_was_to(tmp_path: Path) -> None:
    """Otherwise it stays stopped until it is killed, and its requests count as lost."""

    async def play() -> tuple[float, int]:
        routers = Routers(
            ["router-0"], shlex.join([sys.executable, "-c", ENDS, "0"]), tmp_path, lambda _: None
        )
        (router,) = routers.members
        router.config.write_text("{}")
        router.end_time = 20.0
        await router.start()
        began = time.monotonic()
        for what in ("stall", "restart", "go_on"):
            routers.apply_step(Step(0.0, what, "router-0"))
        await asyncio.wait(routers.tasks)
        await routers.end()
        return time.monotonic() - began, router.crashes

    took, crashes = asyncio.run(play())
    assert took < 15.0 and not crashes


def test_a_cut_that_is_mended_twice_is_mended() -> None:
    with socket.socket() as one:
        set_packet_drop(one, True)
        set_packet_drop(one, False)
        set_packet_drop(one, False)
