"""Lists of thousands of cache servers change under load without delaying any request.

A router process, limited to a share of a core by stop and continue signals, has silent cache servers, so that
each request ends at its deadline or not at all. Discovery sends several changes of hundreds of servers.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import pytest

from myrtlecourse.net.pool import parse_address
from tests.loopback import Link, Peer, http, read, run
from tests.test_main import GOOD
from tests.test_net_discovery import ENTRY
from tests.test_wirehost import CONF

LISTED = 3200  # cache servers, sixteen times as many as usual
ADDRESSES = 8  # at which the cache servers listen
CHANGED = 400  # servers that each change replaces
CHANGES = 6
PAUSE = 0.7  # seconds between changes
DEADLINE = 0.6  # seconds that a client waits
EVERY = 0.02  # seconds between requests
SHARE = 0.3  # of a core for the router
CYCLE = 0.02  # seconds, in each of which the router gets its share
LOST = 0.5  # seconds after its deadline at which an unanswered request counts as lost
SLACK = 0.15  # seconds by which the time left that a server gets may exceed the client's
PATIENCE = 60.0
pytestmark = pytest.mark.processes


@dataclass
class SentRequest:
    """A request as observed by its client and the servers."""

    sent_at: float
    answered_at: float | None = None
    server_deadlines: list[float] = field(default_factory=list)  # the deadlines that servers were given


class LargeFleet:
    """Silent cache servers under thousands of names, discovery, and the record of the clients' requests."""

    def __init__(self) -> None:
        self.peers = [Peer() for _ in range(ADDRESSES)]
        self.discovery = Peer()
        self.requests: dict[str, SentRequest] = {}
        self.index = 1
        self.changes: list[bytes] = []  # sent by discovery, the latest last
        self.changed = asyncio.Event()
        self.names = [f"s-{n:04}" for n in range(LISTED)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle_links: list[Link] = []  # clients' connections without an open request

    def start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

    def entry(self, name: str, status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
        address = self.peers[int(name.rpartition("-")[2]) % ADDRESSES].address
        fields = {"name": name, "address": address, "type": "std", "status": status, "since_ms": since_ms}
        return {**ENTRY, **fields, "weight": 1.0 + 0.1 * (int(name[-4:]) % 7)}

    def full_list(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": [self.entry(n) for n in self.names]}

    def replace(self, number: int) -> None:
        """Change the list: some servers leave, and as many new ones join."""
        ends = [self.names.pop(0) for _ in range(CHANGED)]
        joins = [f"n{number}-{n:04}" for n in range(CHANGED)]
        self.names += joins
        self.index += 1
        lines = [self.entry(n, "terminated") for n in ends] + [self.entry(n) for n in joins]
        change = {"index": self.index, "snapshot": False, "endpoints": lines}
        self.changes.append(http("200 OK", orjson.dumps(change)))
        self.changed.set()

    async def serve_discovery(self) -> None:
        while True:
            self.start(self._answer_discovery(await self.discovery.link()))

    async def _answer_discovery(self, link: Link) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            target = (await link.http())[0]
            if "after=" not in target:
                link.write(http("200 OK", orjson.dumps(self.full_list())))
                return
            known = int(target.partition("after=")[2].partition("&")[0])
            while known >= self.index:
                self.changed.clear()
                await self.changed.wait()
            link.write(self.changes[known - 1])

    async def serve_silently(self, peer: Peer) -> None:
        while True:
            self.start(self._record_deadlines(await peer.link()))

    async def _record_deadlines(self, link: Link) -> None:
        """Record the deadline of each request, and never answer."""
        with suppress(AssertionError, ConnectionError):
            while True:
                parts = await link.resp()
                time_left = int(parts[3].partition(b"d=")[2].partition(b",")[0]) / 1000
                self.requests[parts[2].decode()].server_deadlines.append(time.monotonic() + time_left)

    async def ask(self, address: tuple[str, int], name: str) -> None:
        """Send a request, on a connection that has carried others if there is one."""
        link = self.idle_links.pop() if self.idle_links else Link(*await asyncio.open_connection(*address))
        request = self.requests[name] = SentRequest(time.monotonic())
        link.write(read(name, f"key-{name}", f"c=read,t=x,d={DEADLINE * 1000:.0f}"))
        with suppress(TimeoutError, AssertionError, ConnectionError):
            async with asyncio.timeout(DEADLINE + 4 * LOST):
                await link.resp()
                request.answered_at = time.monotonic()
                self.idle_links.append(link)
                return
        link.close()


async def throttle_process(pid: int) -> None:
    """Stop and continue a process so that it runs for its share of each cycle."""
    with suppress(ProcessLookupError):
        while True:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(CYCLE * (1 - SHARE))
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(CYCLE * SHARE)


@asynccontextmanager
async def started(fleet: LargeFleet, folder: Path) -> AsyncIterator[tuple[int, tuple[str, int]]]:
    """Start a router with the full list; yields its process id and its address."""
    path, log = folder / "config.json", folder / "router.log"
    rules = {**CONF["rules"], "stopSendingWithin": 2.0}
    settings = {**CONF, "rules": rules, "siblings": 200}
    config = {
        **GOOD,
        "listen": "127.0.0.1:0",
        "discovery": fleet.discovery.address,
        "settings": settings,
        "known": fleet.full_list(),
    }
    path.write_bytes(orjson.dumps(config))
    with log.open("wb") as out:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "myrtlecourse",
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stdout=out,
            stderr=out,
        )
    try:
        while b"listening on " not in (text := log.read_bytes()):
            assert process.returncode is None, text.decode()[-2000:]
            await asyncio.sleep(0.02)
        yield process.pid, parse_address(text.split(b"listening on ")[1].split()[0].decode())
    finally:
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGCONT)
            process.kill()
        await process.wait()


async def play(fleet: LargeFleet, folder: Path) -> None:
    """Send requests at a steady rate while the list changes; return when all have ended."""
    async with started(fleet, folder) as (pid, address):
        await asyncio.sleep(PAUSE)
        throttle = asyncio.create_task(throttle_process(pid))
        began, asking, count = time.monotonic(), set(), 0
        for number in range(CHANGES):
            while time.monotonic() < began + (number + 1) * PAUSE:
                asking.add(asyncio.create_task(fleet.ask(address, f"r{count:06}")))
                count += 1
                await asyncio.sleep(EVERY)
            fleet.replace(number)
        for _ in range(round(2 * PAUSE / EVERY)):
            asking.add(asyncio.create_task(fleet.ask(address, f"r{count:06}")))
            count += 1
            await asyncio.sleep(EVERY)
        await asyncio.gather(*asking)
        throttle.cancel()


def test_changes_of_a_large_list_lose_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        fleet = LargeFleet()
        async with fleet.discovery:
            for peer in fleet.peers:
                await peer.__aenter__()
                fleet.start(fleet.serve_silently(peer))
            fleet.start(fleet.serve_discovery())
            await play(fleet, tmp_path)
            for task in fleet.tasks:
                task.cancel()
            for peer in fleet.peers:
                await peer.__aexit__(None, None, None)
        late = {
            name: (request.answered_at or time.monotonic()) - request.sent_at - DEADLINE
            for name, request in fleet.requests.items()
        }
        overshoots = [
            deadline - request.sent_at - DEADLINE
            for request in fleet.requests.values()
            for deadline in request.server_deadlines
        ]
        summary = f"latest answer {max(late.values()):.3f} s late, deadline {max(overshoots):.3f} s too long"
        print(f"{len(late)} requests, {len(overshoots)} attempts: {summary}")
        assert len(overshoots) >= len(late) / 2, "most requests reach a server"
        assert max(late.values()) < LOST and max(overshoots) < SLACK, summary

    run(scenario, timeout=PATIENCE)
