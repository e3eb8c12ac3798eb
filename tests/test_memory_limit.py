"""A router process stays within its memory while hundreds of clients, or servers, make it hold what it can.

The memory is the whole resident memory, as the strictest platform counts it.
"""

from __future__ import annotations

import asyncio
import gc
import resource
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from myrtlecourse.fleet import abusive_clients as abusive
from myrtlecourse.fleet.routers import highest_memory
from myrtlecourse.net.http import MAX_HEAD
from tests.loopback import Link, command, format_address, run
from tests.router_process import DESCRIPTORS, RouterProcess, Servers, started

MEMORY_MB = 64  # of the report's processes
CLIENTS = 550  # more than the router may accept with its descriptors
CACHE_SERVERS = 11
SECONDS = 5.0  # for which the clients come again and again
LONG_VALUE = 4_000_000  # bytes
SHORT_VALUE = 60_000  # bytes, which are gathered before any of it is passed on
LATE_END = 100  # bytes that a server holds back of a value
LONG_DEADLINE_MS = 60_000
MEGABYTE = 1024 * 1024
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
pytestmark = pytest.mark.processes

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


async def serve_cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer as a cache server: long values, values whose end does not come, and misses."""
    link = Link(reader, writer)
    with suppress(AssertionError, ConnectionError):
        while True:
            verb, key, *_ = await link.resp()
            if verb == b"C.GET" and key.startswith(b"long"):
                link.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (LONG_VALUE, bytes(LONG_VALUE)))
            elif verb == b"C.GET" and key.startswith(b"unfinished"):
                link.write(b"*3\r\n$%d\r\n%b" % (SHORT_VALUE, bytes(SHORT_VALUE - LATE_END)))
            else:
                link.write(MISS)
            await writer.drain()
    writer.close()


async def serve_origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer as an origin that reads writes slowly, and answers reads with a head of very many fields."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        head = await reader.readuntil(b"\r\n\r\n")
        while head.startswith(b"GET /sound"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound")
            head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET"):
            fields = b"".join(b"%x:\r\n" % number for number in range(MAX_HEAD // 6))[: MAX_HEAD - 100]
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n" + fields.rpartition(b"\r\n")[0]
            writer.write(head + b"\r\n\r\n")
            await reader.read()
        while await reader.read(4096):
            await asyncio.sleep(0.2)
    writer.close()


@asynccontextmanager
async def scripted(handler: Handler) -> AsyncIterator[str]:
    """Run a scripted server and yield its address."""
    connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(handler(reader, writer))
        connections[task] = writer
        task.add_done_callback(connections.pop)

    server = await asyncio.start_server(accept, "127.0.0.1", 0, backlog=1024, limit=4096)
    try:
        yield format_address(server.sockets[0].getsockname())
    finally:
        server.close()
        for task, writer in list(connections.items()):
            task.cancel()
            writer.transport.abort()
        await asyncio.sleep(0)  # lets the aborted connections end


@asynccontextmanager
async def router_in_front_of_servers(
    folder: Path, memory_mb: int, may_cancel: bool
) -> AsyncIterator[RouterProcess]:
    servers = Servers()
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(servers.discovery)
        servers.origin.address = await stack.enter_async_context(scripted(serve_origin))
        addresses = [await stack.enter_async_context(scripted(serve_cache)) for _ in range(CACHE_SERVERS)]
        servers.cache.address = addresses[0]
        configuration = servers.configuration()
        cache, origin = configuration["known"]["endpoints"]
        caches = [{**cache, "name": f"cache-{n}", "address": address} for n, address in enumerate(addresses)]
        configuration["known"]["endpoints"] = [*caches, origin]
        settings = configuration["settings"]
        configuration["settings"] = settings | {"limits": settings["limits"] | {"mayCancel": may_cancel}}
        configuration["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS}
        yield await stack.enter_async_context(started(configuration, folder, log=""))


async def read_sound(address: abusive.Address) -> None:
    """Read what the origin answers: it would be asked for little if it answered nothing in time."""
    with await abusive.connect(address) as client:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, abusive.encode_read(b"sound" + abusive.new_id()))
        await loop.sock_recv(client, abusive.ANSWERS_READ)


async def leave_after_request(address: abusive.Address) -> None:
    """Send a whole write, which might be waited for long, and leave at once."""
    await read_sound(address)
    with await abusive.connect(address) as client:
        write = abusive.encode_write(abusive.LARGE_VALUE_SIZE, b"once", LONG_DEADLINE_MS)
        await asyncio.get_running_loop().sock_sendall(client, write)
        await asyncio.sleep(abusive.RETURN_PAUSE)


async def read_from(address: abusive.Address, key: str) -> None:
    """Read what the scripted servers give for a kind of key, slowly."""
    await read_sound(address)
    await abusive.read_slowly(address, abusive.encode_read(key.encode() + abusive.new_id()))


UNCANCELLED = "leave_after_request_that_goes_on"  # as the settings allow no attempt to be cancelled
CLIENT_KINDS: dict[str, abusive.Client] = {
    "stop_within_request": abusive.stop_within_request,
    "leave_within_request": abusive.leave_within_request,
    "leave_after_request": leave_after_request,
    UNCANCELLED: leave_after_request,
    "short_fields": abusive.send_short_fields,
    "read_slowly": partial(read_from, key="long"),
    "unfinished_values": partial(read_from, key="unfinished"),
    "heads_of_the_origin": partial(read_from, key="missing"),
}


@pytest.fixture(autouse=True)
def many_descriptors() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 4 * CLIENTS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4 * CLIENTS), hard))


# Guards against a process killed at its memory limit under hundreds of clients at once (incident 78).
@pytest.mark.parametrize("kind", [*CLIENT_KINDS, "all"])
def test_a_router_stays_within_its_memory(kind: str, tmp_path: Path) -> None:
    highest = []
    kinds = [kind] if kind in CLIENT_KINDS else list(CLIENT_KINDS)

    async def scenario() -> None:
        async with router_in_front_of_servers(tmp_path, MEMORY_MB, kind != UNCANCELLED) as router:
            highest.append(highest_memory(router.process.pid))
            count = CLIENTS // len(kinds)
            await asyncio.gather(
                *(
                    abusive.run_clients(CLIENT_KINDS[each], router.address, count, SECONDS, again=True)
                    for each in kinds
                )
            )
            client = Link(*await asyncio.open_connection(*router.address))
            client.write(command("PING"))
            assert await client.resp() == b"PONG"
            client.close()
            highest.append(highest_memory(router.process.pid))

    run(scenario, timeout=60.0)
    gc.collect()  # connections that were cut off end here, not while a failure is being reported
    print(kind, [round(each / MEGABYTE, 1) for each in highest])
    assert highest[-1] < MEMORY_MB * MEGABYTE
