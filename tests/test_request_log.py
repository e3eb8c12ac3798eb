"""The request log: a request can be followed by its id from arrival to answer, with reasons."""

from __future__ import annotations

import asyncio
import logging
import re

import pytest

from myrtlecourse.net.request_log import CloseReason, requests_log
from tests.loopback import HIT, MISS, Router, http, read, run, until


@pytest.fixture
def lines(caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch) -> pytest.LogCaptureFixture:
    monkeypatch.setattr(requests_log, "enabled", True)
    caplog.set_level(logging.INFO, "myrtlecourse.requests")
    return caplog


def events_of(lines: pytest.LogCaptureFixture, request: str) -> list[str]:
    """Return the logged events of a request in order, each with its reason or status."""
    events = []
    for record in lines.records:
        line = record.getMessage()
        if line.startswith(f"id={request} "):
            event = re.search(r"event=(\S+)", line)
            reason = re.search(r"(?:reason|status)=(\S+)", line)
            assert event is not None
            events.append(event[1] + (f" {reason[1]}" if reason is not None else ""))
    return events


def test_a_miss_is_followed_from_its_arrival_to_its_answer(lines: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(MISS)
            origin = await router.origin.link()
            await origin.http()
            origin.write(http("200 OK", b"value"))
            assert await client.resp() == b"value"

    run(scenario)
    assert events_of(lines, "r1") == [
        "taken",
        "sent first",
        "written",
        "ended miss",
        "sent origin",
        "written",
        "answered",
        "ended ok",
    ]


def test_refusals_and_closes_tell_why(lines: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request(info="c=read,t=x,d=150")
            await client.resp()
            client.write(read("r2", info="c=read,t=x,d=0"))
            await client.resp()
            gone, other = await router.open_request("r3")
            gone.reset()
            await until(lambda: "r3" not in router.host.requests)
            other.write(HIT)
            await asyncio.sleep(0)

    run(scenario)
    assert "ended timeout" in events_of(lines, "r1")
    assert events_of(lines, "r2")[-1] == "answered no-time"
    assert "client-gone" in events_of(lines, "r3")
    closes = [r.getMessage() for r in lines.records if "event=closed" in r.getMessage()]
    assert any(CloseReason.ABANDONED.value in line and "peer=server" in line for line in closes)


def test_bytes_on_an_idle_connection_tell_how_long_after_its_last_answer(
    lines: pytest.LogCaptureFixture,
) -> None:
    """The log of the wrong answers did not tell which connection had carried what, and when."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(HIT)
            await client.resp()
            cache.write(HIT)
            assert await cache.ended()

    run(scenario)
    written = [r.getMessage() for r in lines.records if "event=written" in r.getMessage()]
    closes = [r.getMessage() for r in lines.records if "peer=server" in r.getMessage()]
    number = re.search(r"connection=(\d+) use=1 idle=0\.\d+", written[0])
    assert number is not None
    reason = re.escape(repr(CloseReason.UNEXPECTED_BYTES.value))
    assert re.search(rf"why={reason} owed=0 connection={number[1]} use=1 idle=0\.\d+", closes[0])


def test_it_is_off_unless_it_is_turned_on(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "myrtlecourse.requests")

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request()
            cache.write(HIT)
            assert await client.resp() == b"value"

    run(scenario)
    assert not [r for r in caplog.records if r.name == "myrtlecourse.requests"]
