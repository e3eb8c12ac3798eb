"""Plugin for known failures: tests in KNOWN-RED.txt run and are reported, but don't fail the run."""

from __future__ import annotations

import re
from dataclasses import dataclass, fields
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
ISSUE = re.compile(r"#?[0-9]+")
KNOWN_FAILURES = pytest.StashKey[list["KnownFailure"]]()


@dataclass(frozen=True)
class KnownFailure:
    """A line of the file: a test, how to reproduce its failure, what was seen, and the issue."""

    test: str
    command: str  # with the seed, if it has one
    seen: str
    issue: str

    def summary(self) -> str:
        """Returns the line printed for the test when it failed."""
        return f"{self.test}: {self.seen} (issue {self.issue}); by `{self.command}`"

    def matches(self, node: str) -> bool:
        """Returns whether a collected test is this one, with any parameters unless the line names them."""
        return node == self.test or node.startswith(self.test + "[")


def read(root: Path) -> list[KnownFailure]:
    """Returns the known failures; none without a file.

    Raises:
        ValueError: a line is invalid.
    """
    file = root / FILE_NAME
    if not file.exists():
        return []
    failures = []
    for number, line in enumerate(file.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(fields(KnownFailure)) or not all(parts) or not ISSUE.fullmatch(parts[-1]):
            raise ValueError(f"{FILE_NAME}:{number}: not test, command, what was seen and issue: {line[:80]}")
        path, _, name = parts[0].partition("::")
        function = name.split("::")[-1].split("[")[0]
        test_file = root / path
        if not function or not test_file.is_file() or f"def {function}(" not in test_file.read_text():
            raise ValueError(f"{FILE_NAME}:{number}: no such test: {parts[0]}")
        failures.append(KnownFailure(*parts))
    return failures


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN_FAILURES] = read(config.rootpath)
    except ValueError as e:
        raise pytest.UsageError(str(e)) from e


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        for failure in config.stash[KNOWN_FAILURES]:
            if failure.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=failure.summary(), strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the known failures that failed, and those that pass and can be removed from the file."""
    stats = terminalreporter.stats
    for failure in terminalreporter.config.stash[KNOWN_FAILURES]:
        failed = [r for r in stats.get("xfailed", []) if failure.matches(r.nodeid)]
        passed = [r for r in stats.get("xpassed", []) if failure.matches(r.nodeid)]
        if failed:
            terminalreporter.write_line(f"known red: {failure.summary()}")
        elif passed:
            terminalreporter.write_line(
                f"known red, to be taken off: {failure.test} passes (issue {failure.issue})"
            )
