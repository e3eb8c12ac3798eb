"""Events that outsiders can cause at any rate are logged a few times per second."""

from __future__ import annotations

import logging
import time

import pytest

from myrtlecourse.net import rate_limited_log


def test_lines_are_bounded_by_kind_and_the_rest_counted(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    rate_limited = rate_limited_log.RateLimitedLog(logging.getLogger("bounded"))
    with caplog.at_level(logging.INFO):
        for i in range(rate_limited_log.LINES_PER_PERIOD + 7):
            rate_limited.log(logging.INFO, "spoilt %d", i)
        rate_limited.log(logging.INFO, "another")
        assert caplog.messages == [f"spoilt {i}" for i in range(rate_limited_log.LINES_PER_PERIOD)] + [
            "another"
        ]
        now[0] += rate_limited_log.PERIOD
        rate_limited.log(logging.INFO, "spoilt %d", 99)
    assert caplog.messages[-2:] == ["7 more left out like: spoilt %d", "spoilt 99"]
