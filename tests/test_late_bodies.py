"""Servers that begin an answer and give the rest of it late or slowly, in front of a real router process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.loopback import MISS, Link, read, run
from tests.router_process import Servers, started

VALUE = bytes(range(250)) * 800  # 200,000 bytes
CACHE_ANSWER = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(VALUE), VALUE)
ORIGIN_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(VALUE), VALUE)
CACHE_HEAD = CACHE_ANSWER.index(VALUE)
ORIGIN_HEAD = ORIGIN_ANSWER.index(VALUE)
LATE = 0.95  # seconds from the head to the first byte of the body; the incident had 0.79 to 0.94
SLOW_PIECE = 2000  # bytes
SLOW_PAUSE = 0.25  # seconds between two pieces
DEADLINE_MS = 2500
MAX_HELD = 2.0  # seconds for which bytes that a server gave may be held back
pytestmark = pytest.mark.processes


def late_body(answer: bytes, head: int) -> Iterator[tuple[bytes, float]]:
    """Yield the head, and the body after a pause; each with the pause that follows."""
    yield answer[:head], LATE
    yield answer[head:], 0.0


def slow_start(answer: bytes, head: int) -> Iterator[tuple[bytes, float]]:
    """Yield the beginning in small pieces, over longer than the deadline, and then the rest."""
    slow = head + int(DEADLINE_MS / 1000 / SLOW_PAUSE * 1.5) * SLOW_PIECE
    for start in range(0, slow, SLOW_PIECE):
        yield answer[start : min(slow, start + SLOW_PIECE)], SLOW_PAUSE
    yield answer[slow:], 0.0


Schedule = Callable[[bytes, int], Iterator[tuple[bytes, float]]]


async def give(link: Link, pieces: Iterator[tuple[bytes, float]]) -> None:
    for piece, pause in pieces:
        link.write(piece)
        await asyncio.sleep(pause)


def play(folder: Path, schedule: Schedule, from_origin: bool) -> tuple[bytes, float, int]:
    """Return what a client got, after how many seconds it began, and the number of attempts."""
    servers = Servers()
    got, began_after, attempts = b"", 0.0, 0

    async def serve_cache() -> None:
        nonlocal attempts
        while True:
            link = await servers.cache.link()
            await link.resp()
            if from_origin:
                link.write(MISS)
            else:
                attempts += 1
                tasks.append(asyncio.create_task(give(link, schedule(CACHE_ANSWER, CACHE_HEAD))))

    async def serve_origin() -> None:
        nonlocal attempts
        while True:
            link = await servers.origin.link()
            await link.http()
            attempts += 1
            tasks.append(asyncio.create_task(give(link, schedule(ORIGIN_ANSWER, ORIGIN_HEAD))))

    tasks: list[asyncio.Task[None]] = []

    async def scenario() -> None:
        nonlocal got, began_after
        async with servers.cache, servers.origin, servers.discovery:
            tasks.extend(asyncio.create_task(serve()) for serve in (serve_cache, serve_origin))
            async with started(servers.configuration(), folder) as router:
                client = Link(*await asyncio.open_connection(*router.address))
                asked_at = asyncio.get_running_loop().time()
                client.write(read("r1", info=f"c=read,t=t,d={DEADLINE_MS}"))
                got = await client.reader.read(65536)
                began_after = asyncio.get_running_loop().time() - asked_at
                wanted = len(b"$%d\r\n" % len(VALUE)) + len(VALUE) + 2
                while len(got) < wanted and (data := await client.reader.read(65536)):
                    got += data
            for task in tasks:
                task.cancel()

    run(scenario, timeout=30.0)
    return got, began_after, attempts


# Guards against the end of a sound long answer whose body comes late or slowly (incident 73).
@pytest.mark.parametrize("from_origin", [False, True], ids=["cache", "origin"])
@pytest.mark.parametrize("schedule", [late_body, slow_start])
def test_a_long_answer_is_passed_on_whole_however_late_its_body_comes(
    schedule: Schedule, from_origin: bool, tmp_path: Path
) -> None:
    got, began_after, _ = play(tmp_path, schedule, from_origin)
    assert got == b"$%d\r\n" % len(VALUE) + VALUE + b"\r\n"
    assert began_after < DEADLINE_MS / 1000
    assert schedule is late_body or began_after < MAX_HELD
