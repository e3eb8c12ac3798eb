"""Experiments: plans are checked, runs are not repeated, and differences are paired by seed."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.experiment.analysis import rows
from myrtlecourse.experiment.page import page, write_png
from myrtlecourse.experiment.plan import Factor, Plan, PlanError, read_plan
from myrtlecourse.experiment.runs import execute_run, list_runs, run_all
from myrtlecourse.experiment.statistics import estimate, paired
from myrtlecourse.experiment.store import Store, StoreError
from myrtlecourse.policy import tuning
from tests.loopback import needs_sources

ROOT = Path(__file__).parent.parent
FILES = {
    "s.toml": 'seconds = 1\nkinds = [{name = "b", boxes = 2}]\norigin = {time = 0.02}\n',
    "l.toml": "pieces = [{seconds = 1, rate = 60}]\n",
    "plan.toml": 'scenario = "s.toml"\nprofile = "l.toml"\nseeds = 3\n'
    'factors = [{path = "origin.slots", values = [8, 1]},'
    ' {path = "profile.keys.zipf", values = [0.9, 0.2]}]\n',
}
NAMES = ("boxes", "cores", "queue", "memory")
PARTS = [f'{{path = "kinds.0.{name}", values = {list(range(1, 41))}}}' for name in NAMES]
HUGE = f"[{', '.join(PARTS)}]"


def write(folder: Path, **changed: str) -> Path:
    for name, text in FILES.items():
        (folder / name).write_text(changed.get(name.partition(".")[0], text))
    return folder / "plan.toml"


@pytest.mark.processes
def test_the_same_plan_gives_the_same_results_with_one_process_or_more(tmp_path: Path) -> None:
    file = write(tmp_path)
    plan = read_plan(file)
    all_runs = list_runs(plan, file)
    assert len(all_runs) == 12 and len({r.digest for r in all_runs}) == 12
    tables = []
    for workers in (1, 2):
        store = Store(tmp_path / f"{workers}.sqlite")
        assert run_all(all_runs, store, workers) == 12
        assert run_all(all_runs, store, workers) == 0  # no run is repeated
        tables.append([r.to_json() for r in rows(plan, all_runs, store)])
        store.close()
    assert tables[0] == tables[1]
    base, *others = tables[0]
    assert base["point"] == [8, 0.9] and base["differences"]["goodput"] == [0, 0, 0]
    assert any(o["differences"]["fetches"][0] for o in others)


def test_what_a_result_depends_on_is_in_its_digest(tmp_path: Path) -> None:
    file = write(tmp_path)
    before = {r.digest for r in list_runs(read_plan(file), file)}
    write(tmp_path, s=FILES["s.toml"] + "cell = 3\n")
    assert not before & {r.digest for r in list_runs(read_plan(file), file)}


@needs_sources
def test_a_constant_of_the_decision_module_is_changed_for_the_run_alone(tmp_path: Path) -> None:
    constants = '{path = "policy.ORIGIN_TARGET", values = [0.5, 0.001]}'
    file = write(
        tmp_path, plan=f'scenario = "s.toml"\nprofile = "l.toml"\nseeds = 2\nfactors = [{constants}]\n'
    )
    all_runs = list_runs(read_plan(file), file)
    before = tuning.ORIGIN_TARGET
    figures = [execute_run(r) for r in all_runs]
    assert before == tuning.ORIGIN_TARGET
    assert figures[:2] != figures[2:] and [r.seed for r in all_runs] == [1, 2, 1, 2]


@pytest.mark.parametrize(
    ("factors", "message"),
    [
        ('[{path = "origin.slots", values = [0]}]', "origin.slots = 0"),
        ('[{path = "orgin.slots", values = [1]}]', "orgin"),
        ('[{path = "policy.NO_SUCH", values = [1]}]', "NO_SUCH"),
        pytest.param(
            '[{path = "policy.ORIGIN_TARGET", values = ["much"]}]', "is a number", marks=needs_sources
        ),
        ('[{path = "seed", values = [1]}, {path = "seed", values = [2]}]', "twice"),
        ("[]", "factors"),
        (HUGE, "2,560,000 points"),
    ],
)
def test_a_plan_that_cannot_be_carried_out_is_refused_by_name(
    tmp_path: Path, factors: str, message: str
) -> None:
    file = write(tmp_path, plan=f'scenario = "s.toml"\nprofile = "l.toml"\nfactors = {factors}\n')
    with pytest.raises(PlanError) as error:
        read_plan(file)
    assert message in str(error.value) and "plan.toml" in str(error.value)


def test_a_sample_holds_the_baseline_and_no_point_twice() -> None:
    factors = tuple(Factor(f"p{i}", tuple(range(100))) for i in range(3))
    plan = Plan("s", "l", factors, sample=500)
    points = plan.points()
    assert plan.size == 10**6 and len(set(points)) == len(points) == 500
    assert points[0] == (0, 0, 0) and points == plan.points()


@given(st.lists(st.floats(-100, 100), min_size=2, max_size=30), st.floats(-50, 50))
def test_a_constant_difference_is_told_as_it_is(values: list[float], change: float) -> None:
    one = {i: {"m": v} for i, v in enumerate(values)}
    other = {i: {"m": v + change} for i, v in enumerate(values)} | {99: {"m": 1e9}}
    found = paired(one, other, "m")  # a seed that only one of them has is ignored
    assert found.count == len(values) and found.mean == pytest.approx(change, abs=1e-9)
    assert found.low - 1e-9 <= found.mean <= found.high + 1e-9


def test_the_interval_holds_the_true_mean_about_as_often_as_it_says() -> None:
    rng = np.random.Generator(np.random.PCG64(3))
    covered = 0
    for _ in range(200):
        found = estimate(list(rng.exponential(1.0, 40)))
        covered += found.low <= 1.0 <= found.high
    assert 0.86 <= covered / 200 <= 0.99
    assert estimate([2.0, 2.0]).clear and not estimate([-1.0, 1.0, 0.5]).clear


def test_pictures_and_page_hold_what_was_found(tmp_path: Path) -> None:
    file = write(tmp_path)
    plan = read_plan(file)
    all_runs, store = list_runs(plan, file), Store(tmp_path / "r.sqlite")
    run_all(all_runs, store, 1)
    found = rows(plan, all_runs, store)
    text = page(plan, found, "E")
    assert text.count("<svg") == 1 and "origin.slots" in text and page(plan, found, "E") == text
    write_png(tmp_path / "e.png", plan, found)
    assert (tmp_path / "e.png").read_bytes().startswith(b"\x89PNG")


def test_a_file_that_is_no_store_is_named(tmp_path: Path) -> None:
    (tmp_path / "x.sqlite").write_text("no database, but long enough to be looked at " * 50)
    for name in ("x.sqlite", "none.sqlite"):
        with pytest.raises(StoreError, match=name):
            Store(tmp_path / name, must_exist=True)


@pytest.mark.processes
def test_a_run_that_is_killed_goes_on_where_it_was(tmp_path: Path) -> None:
    file = write(tmp_path, plan=FILES["plan.toml"].replace("seeds = 3", "seeds = 60"))
    command = [sys.executable, "-m", "myrtlecourse", "experiment", str(file), "--workers", "1", "--quiet"]
    child = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    store = tmp_path / "plan.sqlite"
    until = time.monotonic() + 60
    while time.monotonic() < until and child.poll() is None:
        if store.exists() and len(Store(store).known_digests()) >= 20:
            break
        time.sleep(0.02)
    child.send_signal(signal.SIGKILL)
    child.communicate()
    kept = len(Store(store).known_digests())
    figures = tmp_path / "f.json"
    done = subprocess.run(
        [*command, "--json", str(figures)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    assert kept >= 20 and f"{240 - kept:,} runs played, {kept:,} were known" in done.stderr
    assert len(json.loads(figures.read_text())["rows"]) == 4
    again = subprocess.run(
        [*command[:4], "compare", str(store), str(store), "--json"], cwd=ROOT, capture_output=True, check=True
    )
    assert all(r["difference"] == [0, 0, 0] for r in json.loads(again.stdout))
