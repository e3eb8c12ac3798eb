"""Tests that a test without the mark `processes` fails when it starts a process, whichever way it does so."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

import pytest

from tests.test_known_red import ROOT, run_pytest

pytestmark = pytest.mark.processes
TESTS = """
import asyncio, importlib, multiprocessing, os, subprocess, sys, threading
import pytest

def by_subprocess():
    subprocess.run(["true"])

def by_asyncio():
    async def child():
        await (await asyncio.create_subprocess_exec("true")).wait()
    asyncio.run(child())

def by_uvloop():
    async def child():
        await (await asyncio.create_subprocess_exec("true")).wait()
    with asyncio.Runner(loop_factory=importlib.import_module("uvloop").new_event_loop) as runner:
        runner.run(child())

def by_multiprocessing():
    child = multiprocessing.get_context("spawn").Process(target=print)
    child.start()
    child.join()

def by_fork():
    if not (child := os.fork()):
        os._exit(0)
    os.waitpid(child, 0)

def by_system():
    os.system("true")

def in_a_thread():
    thread = threading.Thread(target=by_subprocess)
    thread.start()
    thread.join()

def though_it_is_swallowed():
    try:
        by_subprocess()
    except BaseException:
        pass

@pytest.fixture
def child():
    by_subprocess()

def in_a_fixture(request):
    request.getfixturevalue("child")

WAYS = [f for n, f in list(globals().items()) if n.startswith(("by_", "in_a_", "though_"))]

def begin(way, request):
    way(request) if way is in_a_fixture else way()

@pytest.mark.parametrize("way", WAYS)
def test_without(way, request): begin(way, request)

@pytest.mark.processes
@pytest.mark.parametrize("way", WAYS)
def test_with(way, request): begin(way, request)

def test_of_none(): pass
"""


def test_a_test_that_starts_a_process_fails_without_the_mark(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, TESTS, "tests.processes")
    assert code == 1
    ways = re.findall(r"^def ((?:by|in_a|though)_\w+)", TESTS, re.MULTILINE)
    failed = {line.split(" ")[1] for line in output.splitlines() if line.startswith(("FAILED", "ERROR"))}
    assert failed == {f"test_it.py::test_without[{way}]" for way in ways}
    assert "starts a child process without the mark `processes`" in output


PYTHON = """#!/bin/sh
echo "asked: $*"
case "$*" in
*"not processes"*) echo "FAILED test_one - why"; echo "1 failed, 2 passed in 3.00s"; exit %d ;;
*) echo "4 passed in 5.00s"; exit %d ;;
esac
"""


@pytest.mark.parametrize(("others", "processes"), [(0, 0), (1, 0), (0, 1), (5, 0), (0, 5)])
def test_both_passes_run_and_either_fails_the_whole(others: int, processes: int, tmp_path: Path) -> None:
    python = tmp_path / "python"
    python.write_text(PYTHON % (others, processes))
    python.chmod(0o755)
    result = subprocess.run(
        [ROOT / "tests" / "passes.sh", "7", "2"],
        env={"PATH": f"{tmp_path}:/usr/bin:/bin"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode == 0) is (others == processes == 0)
    lines = result.stdout.splitlines()
    runs = [line for line in lines if line.startswith("asked")]
    assert [line.partition("-n ")[2] for line in runs] == [
        "7 --dist worksteal -m not processes",
        "2 --dist worksteal -m processes",
    ]
    assert lines[-5:] == [
        f"== others: exit code {others}",
        "FAILED test_one - why",
        "1 failed, 2 passed in 3.00s",
        f"== processes: exit code {processes}",
        "4 passed in 5.00s",
    ]
