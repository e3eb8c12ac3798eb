"""Settings for all tests.

The tests of sockets run on asyncio's event loop and on uvloop's, if that is installed. The examples of
property tests are the same in each run and have no deadline, as many tests run side by side. Temporary files
are kept in memory if possible: votes are synced to the disk before each message, and on a busy disk elections
of tenths of a second timed out.
"""

from __future__ import annotations

import asyncio
import importlib.util
import os
import tempfile

import hypothesis
import pytest
from hypothesis.internal.conjecture import providers

from tests import loopback

pytest_plugins = ["tests.client_closes", "tests.compiled_form", "tests.known_red", "tests.processes"]

MEMORY_FOLDER = "/dev/shm"
if os.access(MEMORY_FOLDER, os.W_OK):
    tempfile.tempdir = MEMORY_FOLDER  # not by $TMPDIR, which routers of different tests would then share
hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")
# without the constants of loaded modules, which depend on the tests that ran before in the same worker
providers._get_local_constants = lambda: providers._local_constants

EVENT_LOOPS = ["asyncio", "uvloop"] if importlib.util.find_spec("uvloop") else ["asyncio"]


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if metafunc.module.__name__.startswith("tests.test_net_"):
        metafunc.parametrize("event_loop_of", EVENT_LOOPS, indirect=True)


@pytest.fixture(autouse=True)
def event_loop_of(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes `loopback.run` use the event loop of the test's parameter, if it has one."""
    if getattr(request, "param", "") == "uvloop":
        import uvloop  # noqa: PLC0415

        monkeypatch.setattr(loopback, "new_event_loop", uvloop.new_event_loop)
    else:
        monkeypatch.setattr(loopback, "new_event_loop", asyncio.new_event_loop)
