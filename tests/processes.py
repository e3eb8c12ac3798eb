"""Enforces the mark `processes` of tests that start processes, which run in a pass of their own.

Real processes delay one another on a busy machine, and their tests bound how soon routers act, so that they
would fail without a fault if too many ran side by side. A test without the mark fails when it starts a child
process.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Generator
from multiprocessing import util
from typing import Any

import pytest

MARK = "processes"
START_EVENTS = {"subprocess.Popen", "os.posix_spawn", "os.fork", "os.forkpty", "os.system"}  # audit events
MESSAGE = f"starts a child process without the mark `{MARK}`"


class ProcessGuard:
    """Whether the running test may start processes, and whether it did so without the mark."""

    def __init__(self) -> None:
        self.allowed = True
        self.violated = False

    def check_start(self) -> None:
        """Called before a child process starts.

        Raises:
            pytest.fail.Exception: the running test may not start one.
        """
        if not self.allowed:
            self.violated = True  # the exception raised here may be lost in a task
            pytest.fail(MESSAGE)


GUARD = ProcessGuard()


def audit(event: str, _: tuple[Any, ...]) -> None:
    if event in START_EVENTS:
        GUARD.check_start()


def pytest_configure(config: pytest.Config) -> None:
    """Installs the guard for child processes, whichever way they are started, until this process ends."""
    config.addinivalue_line("markers", f"{MARK}: starts processes; run in a pass of its own")
    sys.addaudithook(audit)
    os.register_at_fork(before=GUARD.check_start)  # uvloop forks without an audit event
    original_spawn = util.spawnv_passfds

    def guarded_spawn(path: bytes, args: Any, passfds: Any) -> Any:
        """Checks the start of a process by `multiprocessing`, which raises no audit event."""
        GUARD.check_start()
        return original_spawn(path, args, passfds)

    util.spawnv_passfds = guarded_spawn


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, object, object]:
    GUARD.allowed = item.get_closest_marker(MARK) is not None
    try:
        return (yield)
    finally:
        GUARD.allowed = True


@pytest.hookimpl(wrapper=True)
def pytest_runtest_setup() -> Generator[None, object, object]:
    """Fails a phase of a test that started a process, also if the exception raised there was lost.

    Used for each of the three phases.
    """
    GUARD.violated = False
    result = yield
    if GUARD.violated:
        pytest.fail(MESSAGE)
    return result


pytest_runtest_call = pytest_runtest_teardown = pytest_runtest_setup
