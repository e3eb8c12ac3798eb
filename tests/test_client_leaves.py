"""Clients that leave while much of what they sent is unread, in front of a real router process."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import datetime
from pathlib import Path

import pytest

from tests.loopback import HIT, Link, read, run
from tests.router_process import Servers, started

CLIENTS = 60
COMMANDS = 2000  # of one client, many times as many bytes as the router has room for
WRITE_TIME = 0.1  # seconds after which a client leaves, whether or not it has written all
SETTLING_TIME = 2.0  # seconds after which all that was still unread has been processed
MAX_LATE = 0.1  # seconds after the close from which on no attempt may begin (STANDING)
WRITTEN = re.compile(r"^(\S+ \S+) INFO id=(\S+) event=written", re.MULTILINE)
pytestmark = pytest.mark.processes


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


async def ask_and_leave(
    address: tuple[str, int], number: int, leave: Callable[[socket.socket], None], left_at: dict[str, float]
) -> socket.socket:
    loop, client = asyncio.get_running_loop(), socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, address)
    names = [f"r-{number}-{count}" for count in range(COMMANDS)]
    commands = [read(name, f"key-{name}", "c=read,t=t,d=1900") for name in names]
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(WRITE_TIME):
            await loop.sock_sendall(client, b"".join(commands))
    leave(client)
    left_at.update(dict.fromkeys(names, time.time()))
    return client


async def serve(servers: Servers) -> None:
    async def answer(link: Link) -> None:
        with suppress(AssertionError, ConnectionError):
            while await link.resp():
                link.write(HIT)

    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(answer(await servers.cache.link()))


def late_attempts(log: str, left_at: dict[str, float]) -> list[float]:
    """Return by how many seconds attempts began after their clients had left, of those that were too late."""
    delays = [
        datetime.strptime(at, "%Y-%m-%d %H:%M:%S,%f").timestamp() - left_at[name]
        for at, name in WRITTEN.findall(log)
    ]
    assert delays
    return [delay for delay in delays if delay > MAX_LATE]


# Guards against attempts for clients that left with much unread, behind which their end was (incident 73).
@pytest.mark.parametrize("leave", [close, half_close])
def test_no_attempt_begins_for_a_client_that_left_behind_what_is_unread(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    left_at: dict[str, float] = {}
    late: list[float] = []

    async def scenario() -> None:
        servers = Servers()
        async with servers.cache, servers.origin, servers.discovery:
            serving = asyncio.create_task(serve(servers))
            async with started(servers.configuration(), tmp_path) as router:
                asking = (ask_and_leave(router.address, n, leave, left_at) for n in range(CLIENTS))
                clients = await asyncio.gather(*asking)
                await asyncio.sleep(SETTLING_TIME)
                late.extend(late_attempts(router.log.read_text(), left_at))
                for client in clients:
                    client.close()
            serving.cancel()

    run(scenario, timeout=60.0)
    assert not late
