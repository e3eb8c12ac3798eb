"""Fails a test in which the router closed a client's connection that was owed something.

A test that provokes such a close has the mark `owing_close`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from myrtlecourse.net.client_closes import log

MARK = "owing_close"


class Records(logging.Handler):
    """Keeps what is logged."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", f"{MARK}: provokes a close that owes something")


@pytest.fixture(autouse=True)
def closes_that_owe(request: pytest.FixtureRequest) -> Iterator[list[str]]:
    """The messages of the closes in a test that were owed something; there must be none without the mark."""
    records = Records()
    log.addHandler(records)
    yield records.messages
    log.removeHandler(records)
    if request.node.get_closest_marker(MARK) is None:
        assert not records.messages, records.messages
