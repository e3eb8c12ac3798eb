"""The log of election messages: off by default, and one line for each message once it is on."""

from __future__ import annotations

import logging

import pytest

from myrtlecourse.duties.message_log import ELECTIONS, MessageLog
from myrtlecourse.election.messages import Ask, Deny
from myrtlecourse.net.request_log import VARIABLE


@pytest.mark.parametrize(("value", "lines"), [("", 0), ("requests", 0), (ELECTIONS, 2)])
def test_a_line_a_message_where_it_is_on(
    value: str, lines: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setenv(VARIABLE, value)
    log = MessageLog()
    with caplog.at_level(logging.INFO):
        log.received("router-1", ((7, Ask(3, 1, True)),))
        log.sent("router-1", ((7, Deny(4)),))
    assert len(caplog.messages) == lines
    if lines:
        assert "duty=7 from=router-1 Ask(term=3, number=1, trial=True)" in caplog.messages[0]
        assert "duty=7 to=router-1 Deny(term=4)" in caplog.messages[1]
