"""A server answers a request twice, the second time late, when its connection carries another request.

A real router process stands between clients and scripted servers. As real servers do, these take the requests
of a connection in order, some milliseconds after the last byte, and turn away a request whose client has its
answer already.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import MISS, Link, Peer, command, http, run
from tests.router_process import Servers, started

TAKE_TIME = 0.005  # seconds from a request's last byte until its server takes it
REFUSAL_TIME = 0.008  # seconds until a server turns away a request that is over
WORK_TIME = 0.13  # seconds of the origin's work for a request
READ_TIME = 0.05  # seconds of a cache server's work for a request
SECOND_ANSWER_DELAY = 0.003  # seconds after the first answer
READ_INTERVAL = 0.02  # seconds between reads
DEADLINE_MS = 2000
SETTLING_TIME = 0.5  # seconds after the last answer in which repeats that are still waiting are sent
REQUESTS = 6
BUSY_ORIGIN = http("503 Service Unavailable", b"", "Not-Started: 1")
pytestmark = pytest.mark.processes


@dataclass
class ReceivedAttempt:
    """An attempt as a server received it."""

    server: str
    received_at: float
    refused_at: float | None = None


@dataclass
class SentRequest:
    """A request as observed by its client and by the servers."""

    sent_at: float
    answered_at: float | None = None
    answer: Any = None
    attempts: list[ReceivedAttempt] = field(default_factory=list)

    def wrongly_repeated(self) -> bool:
        """Return whether an attempt was sent after another that had not been turned away."""
        return any(
            earlier.refused_at is None or earlier.refused_at > later.received_at
            for earlier, later in zip(self.attempts, self.attempts[1:], strict=False)
        )


class Fleet(Servers):
    """A cache server and an origin, of which one answers one request twice, and what clients observed."""

    def __init__(self, twice: tuple[str, str]) -> None:
        super().__init__()
        self.twice = twice  # the server and the request that it answers twice
        self.requests: dict[str, SentRequest] = {}
        self.first_answer_written = asyncio.Event()  # of the two
        self.tasks: set[asyncio.Task[None]] = set()
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    async def answer(self, server: str, link: Link, name: str, reply: bytes) -> None:
        link.write(reply)
        if self.twice == (server, name):
            self.first_answer_written.set()
            await asyncio.sleep(SECOND_ANSWER_DELAY)
            link.write(reply)

    async def serve_origin(self, link: Link) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers, _ = await link.http()
                name = headers["request-id"]
                attempt = self.receive("origin", name)
                await asyncio.sleep(TAKE_TIME)
                if self.requests[name].answered_at is not None:
                    await asyncio.sleep(REFUSAL_TIME)
                    attempt.refused_at = self.now()
                    link.write(BUSY_ORIGIN)
                    continue
                await asyncio.sleep(WORK_TIME)
                await self.answer("origin", link, name, http("200 OK", f"value of {name}".encode()))

    async def serve_cache(self, link: Link) -> None:
        """Miss the key of the first request only."""
        with suppress(AssertionError, ConnectionError):
            while True:
                name = (await link.resp())[2].decode()
                attempt = self.receive("cache", name)
                await asyncio.sleep(TAKE_TIME)
                if name == self.twice[1]:
                    attempt.refused_at = self.now()  # a miss has no effect
                    await self.answer("cache", link, name, MISS)
                    continue
                await asyncio.sleep(READ_TIME)
                value = f"value of {name}".encode()
                link.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))

    def receive(self, server: str, name: str) -> ReceivedAttempt:
        attempt = ReceivedAttempt(server, self.now())
        self.requests[name].attempts.append(attempt)
        return attempt

    async def serve(self, peer: Peer, serve: Callable[[Link], Awaitable[None]]) -> None:
        while True:
            self.run_in_background(serve(await peer.link()))

    def run_in_background(self, work: Any) -> None:
        self.tasks.add(asyncio.ensure_future(work))

    async def ask(self, link: Link, name: str, *parts: str) -> None:
        request = self.requests[name] = SentRequest(self.now())
        link.write(command(parts[0], f"key-{name}", name, f"c=once,t=x,d={DEADLINE_MS}", *parts[1:]))
        request.answer = await link.resp()
        request.answered_at = self.now()

    def breaches(self) -> list[str]:
        """Return a line for each request that broke a rule, with its times."""
        lines = []
        for name, request in self.requests.items():
            print(name, request)
            served = isinstance(request.answer, bytes)
            if served and request.answer != f"value of {name}".encode():
                lines.append(f"lost: {name} was served {request.answer!r}: {request}")
            if request.wrongly_repeated():
                lines.append(f"duplicates: {name} was sent again: {request}")
        return lines


def play(fleet: Fleet, folder: Path, clients: Callable[[tuple[str, int]], Awaitable[None]]) -> list[str]:
    """Play the clients' requests against a router and return the breaches of rules."""

    async def scenario() -> None:
        async with fleet.cache, fleet.origin, fleet.discovery:
            fleet.run_in_background(fleet.serve(fleet.cache, fleet.serve_cache))
            fleet.run_in_background(fleet.serve(fleet.origin, fleet.serve_origin))
            async with started(fleet.configuration(), folder) as router:
                await clients(router.address)
            for task in fleet.tasks:
                task.cancel()

    run(scenario, timeout=30.0)
    return fleet.breaches()


def test_a_second_answer_of_the_origin_is_no_answer_to_the_next_write(tmp_path: Path) -> None:
    """Incident 62: clients were served the answers of other requests, and unsafe writes were run twice."""
    fleet = Fleet(("origin", "w0"))

    async def write_in_turn(address: tuple[str, int]) -> None:
        link = Link(*await asyncio.open_connection(*address))
        for number in range(REQUESTS):
            await fleet.ask(link, f"w{number}", "C.SET", "slot")
        await asyncio.sleep(SETTLING_TIME)

    assert play(fleet, tmp_path, write_in_turn) == []


def test_a_second_miss_of_a_cache_server_is_no_answer_to_the_next_read(tmp_path: Path) -> None:
    """Incident 62: an unsafe read was sent to the origin while a cache server answered it."""
    fleet = Fleet(("cache", "r0"))

    async def read_at_the_first_miss(address: tuple[str, int]) -> None:
        links = [Link(*await asyncio.open_connection(*address)) for _ in range(REQUESTS)]
        asking = [asyncio.create_task(fleet.ask(links[0], "r0", "C.GET"))]
        await fleet.first_answer_written.wait()
        for number in range(1, REQUESTS):
            asking.append(asyncio.create_task(fleet.ask(links[number], f"r{number}", "C.GET")))
            await asyncio.sleep(READ_INTERVAL)
        await asyncio.gather(*asking)

    assert play(fleet, tmp_path, read_at_the_first_miss) == []
