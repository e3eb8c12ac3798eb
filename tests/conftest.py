"""The tests of sockets run on Python's event loop and on the one in C, where it is installed."""

from __future__ import annotations

import asyncio
import importlib.util

import pytest

from tests import loopback

LOOPS = ["asyncio", "uvloop"] if importlib.util.find_spec("uvloop") else ["asyncio"]


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if metafunc.module.__name__.startswith("tests.test_net_"):
        metafunc.fixturenames.append("event_loop_of")
        metafunc.parametrize("event_loop_of", LOOPS, indirect=True)


@pytest.fixture
def event_loop_of(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes `loopback.run` use the loop that the test is run for."""
    if request.param == "uvloop":
        import uvloop  # noqa: PLC0415

        monkeypatch.setattr(loopback, "new_event_loop", uvloop.new_event_loop)
    else:
        monkeypatch.setattr(loopback, "new_event_loop", asyncio.new_event_loop)
