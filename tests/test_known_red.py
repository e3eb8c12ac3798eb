"""Tests of the plugin for KNOWN-RED.txt, by runs of pytest on a small project."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes
ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest
def test_well(): pass
def test_red(): assert False
def test_other_red(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_some(n): assert n == 1
"""
FIELDS = "pytest test_it.py, seed 3 | it is slow"
ALL_RED = [f"test_it.py::test_{name} | {FIELDS} | 7" for name in ("red", "other_red", "some")]


def run_pytest(folder: Path, tests: str, plugin: str) -> tuple[int, str]:
    """Returns the exit code and output of a run of these tests with a plugin."""
    (folder / "test_it.py").write_text(tests)
    (folder / "conftest.py").write_text(f'pytest_plugins = ["{plugin}"]\n')
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            "--rootdir",
            str(folder),
            str(folder),
        ],
        cwd=folder,
        env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def run(folder: Path, *lines: str) -> tuple[int, str]:
    """Returns the exit code and output of a run with these lines in KNOWN-RED.txt."""
    (folder / "KNOWN-RED.txt").write_text("# a comment\n\n" + "\n".join(lines) + "\n")
    return run_pytest(folder, TESTS, "tests.known_red")


def test_just_the_listed_ones_are_passed_over_and_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, *ALL_RED)
    assert code == 0
    known = "known red: test_it.py::test_red: it is slow (issue 7); by `pytest test_it.py, seed 3`"
    assert known in output and "taken off" not in output


def test_more_than_three_may_be_listed(tmp_path: Path) -> None:
    code, output = run(tmp_path, *ALL_RED, f"test_it.py::test_well | {FIELDS} | 7")
    assert code == 0 and output.count("known red: ") == len(ALL_RED)


def test_any_other_red_test_fails(tmp_path: Path) -> None:
    assert run(tmp_path)[0] == 1
    code, output = run(tmp_path, *ALL_RED[:2])
    assert code == 1 and "test_some[2]" in output


def test_one_that_passes_is_printed_as_to_be_taken_off(tmp_path: Path) -> None:
    code, output = run(tmp_path, f"test_it.py::test_well | {FIELDS} | #8", *ALL_RED[1:])
    assert code == 1  # because of the failure that is not listed
    assert "known red, to be taken off: test_it.py::test_well passes (issue #8)" in output


@pytest.mark.parametrize(
    "lines",
    [
        ["test_it.py::test_red | slow | 7"],  # an earlier form of the file
        [f"test_it.py::test_red | {FIELDS}"],
        [f"test_it.py::test_red | {FIELDS} | 7 | more"],
        ["test_it.py::test_red | | slow | 7"],
        ["test_it.py::test_red | pytest | | 7"],
        [f"| {FIELDS} | 7"],
        [f"test_it.py::test_red | {FIELDS} | soon"],
        [f"test_it.py | {FIELDS} | 7"],
        [f"test_it.py::test_none | {FIELDS} | 7"],
        [f"test_none.py::test_red | {FIELDS} | 7"],
        ["test_it.py::test_red slow 7"],
    ],
)
def test_a_line_that_says_too_little_or_something_else_fails(lines: list[str], tmp_path: Path) -> None:
    code, output = run(tmp_path, *lines)
    assert code not in (0, 1, 5) and "KNOWN-RED.txt" in output
