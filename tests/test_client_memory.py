"""Hundreds of clients that make a router process hold what they send or do not read, at the least memory."""

from __future__ import annotations

import asyncio
import itertools
import os
import resource
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest

from myrtlecourse.net.command import MAX_INFO
from tests.loopback import Link, command, read, run
from tests.router_process import DESCRIPTORS, LEAST_MEMORY_MB, RouterProcess, Servers, started

CLIENTS = 550  # more than the router may accept with its descriptors
COMMANDS = 32  # that a client sends behind one another
VALUE = b"x" * 60_000
STAY = 4.0  # seconds
SLOW_PIECE = 3000  # bytes that a client that writes slowly sends at once
SLOW_PAUSE = 0.15  # seconds between two of them
RETURN_TIME = 10.0  # seconds in which memory goes back once the clients have left
RETURN_SHARE = 1.25  # of the memory at the start, to which it goes back
MEGABYTE = 1024 * 1024
HIT = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(VALUE), VALUE)
pytestmark = pytest.mark.processes


def write(name: str) -> bytes:
    return command("C.SET", "key", name, f"c=pay,t=t,d=1500,k={name}", VALUE)


def many_fields() -> str:
    """Return names and values of the greatest length, in as many fields as possible."""
    letters = "ABEFGHIJLMNOPQRSUVWXYZabefgijlmnopqsuvwxyz0123456789"
    text = "c=read,t=t,d=1500"
    for first, second in itertools.product(letters, letters):
        if len(text) + len(",xx=") > MAX_INFO:
            break
        text += f",{first}{second}="
    return text


class HostileClient:
    """A client's socket, whose receive buffer is small."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    def name(self, count: int = 0) -> str:
        return f"hostile-{self.number}-{count}"


async def stop_within_a_command(client: HostileClient) -> None:
    await client.send(write(client.name())[:-100])


async def write_slowly(client: HostileClient) -> None:
    data = write(client.name())
    for start in range(0, len(data), SLOW_PIECE):
        await client.send(data[start : start + SLOW_PIECE])
        await asyncio.sleep(SLOW_PAUSE)


async def send_many_fields(client: HostileClient) -> None:
    for count in range(COMMANDS):
        await client.send(read(client.name(count), f"key-{client.number}", many_fields()))


async def send_many_writes(client: HostileClient) -> None:
    for count in range(COMMANDS):
        await client.send(write(client.name(count)))


async def read_nothing(client: HostileClient) -> None:
    for count in range(COMMANDS):
        await client.send(read(client.name(count), f"key-{client.number}", "c=read,t=t,d=1500"))
        await asyncio.sleep(SLOW_PAUSE)


async def play(client: HostileClient, address: tuple[str, int], act: Callable[..., Awaitable[None]]) -> None:
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(STAY):
            await asyncio.get_running_loop().sock_connect(client.socket, address)
            await act(client)
            await asyncio.sleep(STAY)
    client.socket.close()


async def serve(servers: Servers, answers: bool) -> None:
    """Answer reads at the cache server unless told not to; the origin reads slowly and never answers."""

    async def answer(link: Link) -> None:
        with suppress(AssertionError, ConnectionError):
            while await link.resp():
                if answers:
                    link.write(HIT)

    async def read_slowly(link: Link) -> None:
        while await link.reader.read(4096):
            await asyncio.sleep(0.2)

    async def take(links: asyncio.Queue[Link], handle: Callable[[Link], Awaitable[None]]) -> None:
        handlers = []
        while True:
            handlers.append(asyncio.ensure_future(handle(await links.get())))

    await asyncio.gather(take(servers.cache.links, answer), take(servers.origin.links, read_slowly))


def private_bytes(router: RouterProcess) -> int:
    """Return the memory that the process has for itself: resident, without pages of files."""
    resident, shared = Path(f"/proc/{router.process.pid}/statm").read_text().split()[1:3]
    return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")


async def watch(router: RouterProcess, highest: list[int]) -> None:
    while True:
        highest.append(private_bytes(router))
        await asyncio.sleep(0.01)


async def memory_returns(router: RouterProcess, before: int) -> None:
    """Wait until the memory has gone back."""
    until = time.monotonic() + RETURN_TIME
    while private_bytes(router) > RETURN_SHARE * before:
        assert time.monotonic() < until, f"{private_bytes(router)} bytes, {before} before"
        await asyncio.sleep(0.1)


@pytest.fixture
def many_descriptors() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 4 * CLIENTS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4 * CLIENTS), hard))


# Guards against a process killed at its memory limit, as bounds of one connection add up (incident 73).
@pytest.mark.usefixtures("many_descriptors")
@pytest.mark.parametrize(
    "act", [stop_within_a_command, write_slowly, send_many_fields, send_many_writes, read_nothing]
)
def test_hundreds_of_clients_do_not_take_a_router_over_its_memory(
    act: Callable[..., Awaitable[None]], tmp_path: Path
) -> None:
    highest: list[int] = []

    async def scenario() -> None:
        servers = Servers()
        async with servers.cache, servers.origin, servers.discovery:
            serving = asyncio.create_task(serve(servers, answers=act is read_nothing))
            limits = {"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": DESCRIPTORS}
            async with started(servers.configuration() | {"limits": limits}, tmp_path, log="") as router:
                before = private_bytes(router)
                watching = asyncio.create_task(watch(router, highest))
                await asyncio.gather(*(play(HostileClient(n), router.address, act) for n in range(CLIENTS)))
                watching.cancel()
                client = Link(*await asyncio.open_connection(*router.address))
                client.write(command("PING"))
                assert await client.resp() == b"PONG"
                await memory_returns(router, before)
            serving.cancel()

    run(scenario, timeout=60.0)
    print(act.__name__, [round(b / MEGABYTE, 1) for b in (highest[0], max(highest))])
    assert max(highest) < LEAST_MEMORY_MB * MEGABYTE
