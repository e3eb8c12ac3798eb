"""Tests runs at scale with real processes: a complete run, and aborted ones that must leave no process."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from myrtlecourse.scale.machine import process_tree, read_processes
from myrtlecourse.scale.run_results import read_results

pytestmark = pytest.mark.processes
TIMEOUT = 60.0  # seconds until a test that waits for an event fails
LONG = """
seconds = 600
hollow = 4
per_process = 4
routers = 1
rate = 5
peers = {interval = 1.0}
"""
WHOLE = """
seconds = 2.5
hollow = 6
per_process = 2
routers = 1
rate = 20
peers = {interval = 0.5}
discovery = {notice = 0.0, added = 0.0}
faults = [
  {what = "crash", at = 0.3, box = "std-0", seconds = 60},
  {what = "restart", at = 0.6, share = 0.5},
  {what = "discovery_away", at = 1.0, seconds = 0.5},
  {what = "kill", at = 2.0, process = 2},
]
"""
COMMAND = "from myrtlecourse.scale.commands import scale; scale()"  # without the program's other commands
# the limit allows the start of the run, and is lowered once the run is under way
EXCEED_LIMIT = """
import sys
from pathlib import Path
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.scale.guard import ResourceLimitError, ResourceLimits, usage_of
from myrtlecourse.scale.run import Run
from myrtlecourse.scale.scenario import read_scenario

class Tightened(ResourceLimits):
    def check_usage(self):
        memory, count = super().check_usage()
        if run.status.phase == "running":
            run.limits = ResourceLimits(memory // 2)
            print("running", file=sys.stderr, flush=True)
        return memory, count

run = Run(read_scenario(Path(sys.argv[1])), Path(sys.argv[2]), COMMAND, Tightened(2**40), lambda status: None)
try:
    run.execute()
except ResourceLimitError as e:
    print(e, file=sys.stderr)
    sys.exit(1)
"""


class RunProcess:
    """A run in a subprocess, with its descendants."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *arguments], stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
        )
        self.lines: list[str] = []
        self.timer = threading.Timer(TIMEOUT, self.process.kill)
        self.timer.start()
        self.descendants: dict[int, str] = {}

    def read_until(self, text: str) -> None:
        """Read lines up to one that contains a text."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())
            if text in line:
                break
        else:
            pytest.fail(f"no line with {text!r}: {self.lines}")
        self.descendants = {
            pid: start_time_of(pid)
            for pid in process_tree(self.process.pid, read_processes()) - {self.process.pid}
        }

    def end(self) -> tuple[int, list[str]]:
        """Return the exit code, and the lines written since."""
        assert self.process.stderr is not None
        lines = self.process.stderr.read().splitlines()
        return self.process.wait(TIMEOUT), lines

    def surviving(self) -> list[int]:
        """Return those of its processes that still exist."""
        return [pid for pid, since in self.descendants.items() if since and start_time_of(pid) == since]


def start_time_of(pid: int) -> str:
    """Return a process's start time, which tells it from a later process with its id; empty if none."""
    with suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return fields[19]
    return ""


@pytest.fixture
def started(tmp_path: Path) -> Iterator[RunProcess]:
    scenario = tmp_path / "long.toml"
    scenario.write_text(LONG)
    run = RunProcess("-c", COMMAND, "run", str(scenario), "--folder", str(tmp_path / "seen"))
    yield run
    close(run)


def close(run: RunProcess) -> None:
    """End everything that a failed run has left behind."""
    run.timer.cancel()
    run.process.kill()
    run.process.wait()
    for pid in run.surviving():
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    assert run.process.stderr is not None
    run.process.stderr.close()


def process_of_role(run: RunProcess, role: str) -> int:
    """Return a process of the run by its role.

    The fleet's process has the router as its child. Of the processes without children, the last one that was
    started has hollow members.
    """
    table = read_processes()
    own = [pid for pid in run.descendants if pid in table and table[pid].parent == run.process.pid]
    children = {pid: [p for p in run.descendants if p in table and table[p].parent == pid] for pid in own}
    routers = {p for p in run.descendants if b"-m\0myrtlecourse" in Path(f"/proc/{p}/cmdline").read_bytes()}
    match role:
        case "fleet":
            return next(pid for pid in own if routers & set(children[pid]))
        case _:
            return max((pid for pid in own if not children[pid]), key=lambda pid: int(run.descendants[pid]))


def test_a_whole_run_tells_its_figures(tmp_path: Path) -> None:
    scenario, file = tmp_path / "whole.toml", tmp_path / "results.json"
    scenario.write_text(WHOLE)
    run = RunProcess("-m", "myrtlecourse", "scale", "run", str(scenario), "--json", str(file))
    try:
        run.read_until("running: ")
        code, lines = run.end()
        assert code == 0, lines
        assert not run.surviving()
    finally:
        close(run)
    results = read_results(file.read_bytes())
    assert results.schema == 1 and "scale" in results.command
    assert results.scenario["hollow"] == 6 == json.loads(file.read_text())["scenario"]["hollow"]
    assert results.killed == ["hollow process 2"] and not results.router_faults
    assert results.verdict["kept"] and results.load["served"] > 0
    hollow, router = results.roles["hollow"], results.roles["router"]
    assert hollow.members == 6 and hollow.processes == 3 and router.members == 1
    # a killed process counts up to its last report
    assert 0.0 < hollow.member_seconds < 6 * results.seconds + 1e-6
    assert hollow.cpu_s > 0.0 and hollow.memory_mb > 0.0 and router.memory_mb > 0.0
    assert hollow.list_calls > 6 and router.list_calls > 0
    assert hollow.datagrams_in_per_s and hollow.datagrams_out_per_s and hollow.datagram_bytes_out_per_s
    unit = results.machine.calibration.unit_s
    assert hollow.calibrated_per_member_second == pytest.approx(hollow.cpu_per_member_second / unit)
    times = hollow.in_force
    assert times is not None and times.members == 4 and times.changes >= 1
    assert times.reached == times.changes * times.members  # discovery returned and delivered all changes
    assert results.machine.shared == (results.machine.others_share > 0.1)
    assert results.most_processes >= 8 and results.most_memory_mb > 100


@pytest.mark.parametrize(("role", "name"), [("hollow", "hollow process"), ("fleet", "the fleet")])
def test_a_child_that_dies_ends_the_run_and_all_others(started: RunProcess, role: str, name: str) -> None:
    started.read_until("running: ")
    assert len(started.descendants) >= 6
    os.kill(process_of_role(started, role), signal.SIGKILL)
    code, lines = started.end()
    assert code == 1
    # all other lines show progress
    [error] = [line for line in lines if not line.startswith(("running: ", "ending: "))]
    assert error.startswith(f"myrtlecourse scale: {name}") and "died (exit -9) while running" in error
    assert not started.surviving()


def test_an_interrupted_run_leaves_no_process(started: RunProcess) -> None:
    started.read_until("running: ")
    started.process.send_signal(signal.SIGINT)
    code, lines = started.end()
    assert code == 1
    assert "myrtlecourse scale: ended by SIGINT while running" in lines
    assert not started.surviving()


def test_processes_end_by_themselves_when_the_run_is_killed(started: RunProcess) -> None:
    started.read_until("running: ")
    started.process.kill()
    started.process.wait()
    deadline = time.monotonic() + TIMEOUT
    while started.surviving():
        assert time.monotonic() < deadline, f"still there: {started.surviving()}"
        time.sleep(0.05)


def test_a_run_that_takes_too_much_ends_with_one_error(tmp_path: Path) -> None:
    scenario = tmp_path / "long.toml"
    scenario.write_text(LONG)
    run = RunProcess("-c", EXCEED_LIMIT, str(scenario), str(tmp_path))
    try:
        run.read_until("running")
        code, lines = run.end()
        assert code == 1
        [error] = [line for line in lines if line != "running"]
        assert error.startswith("memory: the run has taken") and "the limit is" in error
        assert not run.surviving()
    finally:
        close(run)
