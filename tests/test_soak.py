"""Soak cases: reproducible and within bounds; routers keep the rules, and wrong routers are caught."""

from __future__ import annotations

import shlex
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlecourse.fleet import scenario as fleet
from myrtlecourse.fleet.faults import steps
from myrtlecourse.soak.cases import MARGIN, MAX_FAULTS, SystemFaults, draw_case
from myrtlecourse.soak.preload import compile_library, with_library
from myrtlecourse.soak.runner import run_case
from tests import soak_wrong

SEEDS = (2, 3, 4, 11, 13, 17, 19, 23)  # run by each test run; `myrtlecourse soak` runs others
SECONDS = 9.0
SOCKET_CALLS = """
import errno, socket, sys, time
server = None
while server is None:
    try:
        server = socket.create_server(("127.0.0.1", 0))
    except OSError:
        pass  # socket() may fail here too
server.settimeout(5.0)
failed = set()
for _ in range(300):
    client = None
    try:
        client = socket.socket()
        client.settimeout(5.0)
        client.connect(server.getsockname())
        while True:
            try:
                accepted, _ = server.accept()
                break
            except OSError as e:
                failed.add("accept")
        accepted.close()
    except OSError as e:
        failed.add("connect or socket")
    if client is not None:
        client.close()
print(sorted(failed), round(time.time() - float(sys.argv[1])))
"""


@settings(max_examples=60)
@given(st.integers(0, 10**9), st.floats(6.0, 60.0))
def test_a_day_is_the_same_each_time_and_within_bounds(seed: int, seconds: float) -> None:
    case = draw_case(seed, seconds)
    assert case == draw_case(seed, seconds)
    again = msgspec.convert(msgspec.to_builtins(case.scenario), fleet.Scenario)
    assert again == case.scenario  # the case passes the checks of the schema
    assert 3 <= len(case.scenario.faults) <= MAX_FAULTS
    assert all(step.at >= MARGIN for step in steps(case.scenario))
    assert case.profile.seconds < seconds
    assert str(len(case.scenario.cache_servers())) in case.summary()


def test_all_troubles_are_drawn() -> None:
    found: Counter[str] = Counter()
    for seed in range(200):
        found.update(type(f).__name__ for f in draw_case(seed, 14.0).scenario.faults)
    required = {"Crowd", "Reload", "Restart", "Stall", "Replace", "DiscoveryAway", "SecondAnswers"}
    assert required <= found.keys()
    assert min(found.values()) > 20


def test_clients_that_leave_or_press_and_repeated_stops_are_drawn() -> None:
    faults = [fault for seed in range(200) for fault in draw_case(seed, 14.0).scenario.faults]
    assert sum(isinstance(f, fleet.Crowd) and f.leaving > 0 for f in faults) > 20
    assert sum(isinstance(f, fleet.Crowd) and f.writing > 0 for f in faults) > 20
    assert sum(isinstance(f, fleet.Crowd) and f.flooding > 0 for f in faults) > 20
    assert sum(isinstance(f, fleet.Stall) and f.times > 1 for f in faults) > 20
    for kind in ("stopping", "interrupting", "fields", "reading"):
        assert sum(isinstance(f, fleet.Crowd) and getattr(f, kind) > 0 for f in faults) > 20


# Guards against days whose clients repeat a write in a group of servers that does not know its key.
def test_clients_repeat_keyed_writes_only_as_their_class_permits() -> None:
    for seed in range(50):
        case = draw_case(seed, 14.0)
        groups = {c.name: c.group for c in case.scenario.classes}
        assert all(c.group == groups[c.name] for c in case.profile.classes)


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return compile_library(tmp_path_factory.mktemp("library"))


@pytest.mark.processes
def test_the_library_fails_calls_and_steps_the_clock(library: Path) -> None:
    faults = SystemFaults(per_million=100_000, steps=((0.0, 3600.0),))
    python = shlex.join([sys.executable, "-c", SOCKET_CALLS])
    command = with_library(python, library, faults, 5).replace("SOAK_AFTER=1.0", "SOAK_AFTER=0")
    now = float(subprocess.run(["date", "+%s"], capture_output=True, check=True).stdout)
    out = subprocess.run(
        [*shlex.split(command), str(now)], capture_output=True, text=True, timeout=60, check=True
    ).stdout
    assert "'accept'" in out and "'connect or socket'" in out
    assert 3595 <= int(out.split()[-1]) <= 3605


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_routers_keep_the_rules_on_random_days(seed: int, library: Path, tmp_path: Path) -> None:
    result = run_case(draw_case(seed, SECONDS), tmp_path / "day", library)
    assert result.kept, result.summary_line()
    assert result.counts["served"] >= 0.5 * result.counts["scheduled"] > 0


@pytest.mark.processes
@pytest.mark.parametrize(
    ("variant", "breach"),
    [
        ("ends_at_once", "lost"),
        ("misses_deadlines", "told_too_long"),
        ("forgets_drains", "sent_to_drained"),
        ("reuses_connections_at_once", "crossed"),
        ("reuses_connections_at_once", "foreign"),
    ],
)
def test_a_wrong_router_is_caught(variant: str, breach: str, library: Path, tmp_path: Path) -> None:
    assert variant in {w.__name__ for w in soak_wrong.VARIANTS}
    case = draw_case(1, SECONDS)
    faults: tuple[fleet.Fault, ...] = (
        fleet.Freeze(2.0, "std-0", 3.0),
        fleet.Replace(2.0, box="std-1", drain=4.0),
        *(fleet.Restart(3.0 + n, n % case.scenario.routers) for n in range(4)),
    )
    if variant == "reuses_connections_at_once":
        faults += (fleet.SecondAnswers(1.5, 6.0, share=1.0, latest=0.1),)
    case = replace(case, scenario=msgspec.structs.replace(case.scenario, faults=faults))
    command = shlex.join([sys.executable, "-m", "tests.soak_wrong", variant])
    result = run_case(case, tmp_path / "day", None, command)
    assert breach in result.breaches, result.summary_line()


@pytest.mark.processes
def test_a_router_that_closes_connections_that_owe_answers_is_caught_by_its_own_log(tmp_path: Path) -> None:
    command = shlex.join([sys.executable, "-m", "tests.soak_wrong", "closes_connections_that_owe"])
    result = run_case(draw_case(1, SECONDS), tmp_path / "day", None, command)
    assert result.breaches.get("lost"), result.summary_line()
    assert any("closed a client's connection that was owed 1 answers" in fault for fault in result.faults)
