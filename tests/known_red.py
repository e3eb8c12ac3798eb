"""Tests that may be red, as KNOWN-RED.txt lists them: run, passed over and printed; all others pass."""

from __future__ import annotations

import re
from dataclasses import dataclass, fields
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
ISSUE = re.compile(r"#?[0-9]+")
RED = pytest.StashKey[list["Red"]]()


@dataclass(frozen=True)
class Red:
    """One line: a test, how to play it, what was seen, and the issue that is to mend it."""

    test: str
    command: str  # and the seed, where it takes one
    seen: str
    issue: str

    def tells(self) -> str:
        """What CI prints of a test that it passes over."""
        return f"{self.test}: {self.seen} (issue {self.issue}); by `{self.command}`"

    def means(self, node: str) -> bool:
        """Whether a test that was collected is this one, with any parameters unless the line names them."""
        return node == self.test or node.startswith(self.test + "[")


def read(root: Path) -> list[Red]:
    """The tests that may be red; none without a file.

    Raises:
        ValueError: a line can't be used.
    """
    file = root / NAME
    if not file.exists():
        return []
    found = []
    for number, line in enumerate(file.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(fields(Red)) or not all(parts) or not ISSUE.fullmatch(parts[-1]):
            raise ValueError(f"{NAME}:{number}: not test, command, what was seen and issue: {line[:80]}")
        path, _, name = parts[0].partition("::")
        function = name.split("::")[-1].split("[")[0]
        there = root / path
        if not function or not there.is_file() or f"def {function}(" not in there.read_text():
            raise ValueError(f"{NAME}:{number}: no such test: {parts[0]}")
        found.append(Red(*parts))
    return found


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[RED] = read(config.rootpath)
    except ValueError as e:
        raise pytest.UsageError(str(e)) from e


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        for red in config.stash[RED]:
            if red.means(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=red.tells(), strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what was passed over, and what need not be any more."""
    stats = terminalreporter.stats
    for red in terminalreporter.config.stash[RED]:
        failed = [r for r in stats.get("xfailed", []) if red.means(r.nodeid)]
        passed = [r for r in stats.get("xpassed", []) if red.means(r.nodeid)]
        if failed:
            terminalreporter.write_line(f"known red: {red.tells()}")
        elif passed:
            terminalreporter.write_line(f"known red, to be taken off: {red.test} passes (issue {red.issue})")
