"""Tests of what a router that is told to end still owes, by real routers on loopback."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.loopback import TIMEOUT, Link, command, http, run
from tests.router_process import Servers, started

WAIT_MS = 2400  # milliseconds that the client waits
SLOW_WRITE = 1.6  # seconds after SIGTERM at which the origin answers; within the client's wait
SHORT_DEADLINE = 0.5  # seconds
LONG_DEADLINE = 6.0  # seconds; longer than the platform's pages name


def with_deadline(configuration: dict[str, Any], seconds: float) -> dict[str, Any]:
    """Return the configuration with this deadline in all classes."""
    settings = configuration["settings"]
    classes = [{**c, "aim": seconds, "giveUp": seconds} for c in settings["classes"]]
    return {**configuration, "settings": {**settings, "classes": classes}}


async def write_to(address: tuple[str, int], wait_ms: int) -> Link:
    """Send a keyed write, which may be sent again within its window, on a new connection."""
    client = Link(*await asyncio.open_connection(*address))
    client.write(command("C.SET", "key", "a-write", f"c=pay,t=t,d={wait_ms},k=5c0f", b"slot"))
    return client


async def count_requests(servers: Servers, requests: list[str]) -> None:
    """Record each further request that the origin gets."""
    while True:
        requests.append((await (await servers.origin.link()).http())[0])


# Guards against requests that were taken under longer deadlines and are never answered at the end.
@pytest.mark.processes
def test_what_was_taken_under_longer_deadlines_is_served_before_the_process_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = Servers()
        async with servers.cache, servers.origin, servers.discovery:
            configuration = with_deadline(servers.configuration(), WAIT_MS / 1000)
            async with started(configuration, tmp_path) as router:
                client = await write_to(router.address, WAIT_MS)
                origin = await servers.origin.link()
                await origin.http()
                further: list[str] = []
                counting = asyncio.create_task(count_requests(servers, further))
                shorter = with_deadline(configuration, SHORT_DEADLINE)
                (tmp_path / "config.json").write_bytes(orjson.dumps(shorter))
                router.process.send_signal(signal.SIGHUP)
                while b"new settings" not in router.log.read_bytes():
                    await asyncio.sleep(0.01)
                router.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(SLOW_WRITE)
                origin.write(http("200 OK", b"receipt"))
                async with asyncio.timeout(TIMEOUT):
                    assert await client.resp() == b"receipt"
                    assert await router.process.wait() == 0
                assert not further
                counting.cancel()

    run(scenario)


# Guards against a process that ends with open requests unanswered, and sends them once more as it ends.
@pytest.mark.processes
def test_what_outlasts_the_end_is_answered_and_not_sent_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = Servers()
        async with servers.cache, servers.origin, servers.discovery:
            configuration = with_deadline(servers.configuration(), LONG_DEADLINE)
            async with started(configuration, tmp_path) as router:
                client = await write_to(router.address, int(1000 * LONG_DEADLINE))
                origin = await servers.origin.link()
                await origin.http()  # and never answers
                further: list[str] = []
                counting = asyncio.create_task(count_requests(servers, further))
                router.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(TIMEOUT):
                    assert "ERR" in str(await client.resp())
                    assert await router.process.wait() == 0
                assert not further
                counting.cancel()

    run(scenario)
