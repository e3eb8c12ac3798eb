"""Commands that a client sends at once: a long answer among them costs the others nothing."""

from __future__ import annotations

import asyncio
import socket

import pytest

from myrtlecourse.net import answer_slot, listener
from myrtlecourse.net.clients import ClientConnection
from tests.loopback import HIT, Link, Router, book, http, needs_sources, read, run, until

VALUE = b"v" * 300_000
HEAD = b"*3\r\n$%d\r\n" % len(VALUE)
ANSWER = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"
LONG = HEAD + VALUE + TAIL
FAILED = "ERR failed"


async def caches_of(router: Router, count: int) -> dict[bytes, Link]:
    """Receive the reads that were sent on; return the connection that carries each, by its request."""
    links: dict[bytes, Link] = {}
    while len(links) < count:
        for peer in router.caches.values():
            while not peer.links.empty():
                link = peer.links.get_nowait()
                links[(await link.resp())[2]] = link
        await asyncio.sleep(0.001)
    return links


# Guards against requests that are never answered because the long answer before them breaks off.
@pytest.mark.parametrize("how", ["reset", "closed", "malformed"])
def test_requests_behind_a_long_answer_that_breaks_off_are_answered(how: str) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "long") + read("r2", "short") + book("w1"))
            links = await caches_of(router, 2)
            links[b"r1"].write(LONG[:200_000])
            links[b"r2"].write(HIT)
            origin = await router.origin.link()
            await origin.http()
            origin.write(http("200 OK", b"receipt"))
            await until(lambda: set(router.host.requests) == {"r1"})
            if how == "reset":
                links[b"r1"].reset()
            elif how == "closed":
                links[b"r1"].close()
            else:
                links[b"r1"].write(VALUE)
            assert str(await client.resp()) == FAILED
            assert await client.resp() == b"value"
            assert await client.resp() == b"receipt"
            assert not router.host.requests

    run(scenario)


def test_a_long_answer_with_requests_behind_it_arrives_whole() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "long") + read("r2", "short"))
            links = await caches_of(router, 2)
            links[b"r2"].write(HIT)
            links[b"r1"].write(LONG)
            assert await client.resp() == VALUE
            assert await client.resp() == b"value"
            assert not router.host.requests and router.listener.windows.streams == 0

    run(scenario)


async def begin_long_answer(router: Router, sent: bytes) -> tuple[Link, Link, ClientConnection]:
    """Begin a long answer to the only request; return the ends of the client and of the cache."""
    client, cache = await router.open_request("r1")
    cache.write(sent)
    await until(lambda: any(r.streaming_attempt for r in router.host.requests.values()))
    (connection,) = router.listener.connections
    return client, cache, connection


# Guards against requests that are read behind a long answer, and lost when it breaks off.
def test_a_request_sent_while_a_long_answer_goes_out_is_read_after_it() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache, connection = await begin_long_answer(router, LONG[:200_000])
            client.write(read("r2"))
            await until(connection.has_unread_input)
            assert set(router.host.requests) == {"r1"}
            cache.write(LONG[200_000:])
            links = [cache, await router.cache()]
            links[1].write(HIT)
            assert await client.resp() == VALUE
            assert await client.resp() == b"value"

    run(scenario)


def test_a_request_sent_while_a_long_answer_goes_out_is_not_taken_if_it_breaks_off() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache, connection = await begin_long_answer(router, LONG[:200_000])
            client.write(read("r2"))
            await until(connection.has_unread_input)
            cache.reset()
            await until(lambda: not router.host.requests)
            assert len(await client.reader.read()) < len(ANSWER)
            await until(lambda: not router.listener.connections)
            assert all(peer.links.empty() for peer in router.caches.values())

    run(scenario)


def test_long_answers_with_requests_behind_them_take_turns_in_memory() -> None:
    async def scenario() -> None:
        async with Router() as router:
            gathered = router.listener.windows.gathered
            gathered.budget = len(VALUE)
            clients = [await router.client() for _ in range(3)]
            links: dict[bytes, Link] = {}
            for number, client in enumerate(clients):
                client.write(read(f"a{number}", f"k{number}") + read(f"b{number}", f"k{number}"))
                links |= await caches_of(router, 2)
                links[b"a%d" % number].write(LONG[:200_000])
                links[b"b%d" % number].write(HIT)
            await until(lambda: len(gathered.waiting) == 2)
            assert gathered.reserved == len(VALUE)
            for number, client in enumerate(clients):
                links[b"a%d" % number].write(LONG[200_000:])
                assert await client.resp() == VALUE
                assert await client.resp() == b"value"
            assert gathered.reserved == 0

    run(scenario)


@needs_sources
def test_a_long_answer_without_memory_fails_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(answer_slot, "MEMORY_TIMEOUT", 0.1)
        async with Router() as router:
            gathered = router.listener.windows.gathered
            gathered.budget = gathered.reserved = len(VALUE)  # others hold it
            client = await router.client()
            client.write(read("r1", "long") + read("r2", "short"))
            links = await caches_of(router, 2)
            links[b"r1"].write(LONG[:200_000])
            links[b"r2"].write(HIT)
            assert str(await client.resp()) == FAILED
            assert await client.resp() == b"value"
            assert await links[b"r1"].ended()
            assert not gathered.waiting and gathered.reserved == len(VALUE)
            assert not router.host.requests and router.listener.windows.streams == 0

    run(scenario)


def test_a_long_answer_that_is_gathered_ends_at_its_deadline() -> None:
    """Its client has nothing of it, and the requests behind it wait."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "long", "c=read,t=x,d=500") + read("r2", "short"))
            links = await caches_of(router, 2)
            links[b"r1"].write(LONG[:200_000])
            links[b"r2"].write(HIT)
            assert str(await client.resp()) == FAILED
            assert await client.resp() == b"value"
            assert router.listener.windows.gathered.reserved == 0

    run(scenario)


def test_a_client_that_leaves_frees_the_memory_of_a_long_answer() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "long") + read("r2", "short"))
            links = await caches_of(router, 2)
            links[b"r1"].write(LONG[:200_000])
            await until(lambda: router.listener.windows.gathered.reserved > 0)
            client.reset()
            assert await links[b"r1"].ended()
            assert router.listener.windows.gathered.reserved == 0 and router.listener.windows.streams == 0

    run(scenario)


def slow_client(router: Router) -> socket.socket:
    """Create the socket of a client whose kernel, like the router's, holds little of a long answer."""
    router.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    client.setblocking(False)
    return client


@needs_sources
@pytest.mark.parametrize("behind", [False, True], ids=["passed on", "gathered"])
def test_a_client_that_takes_nothing_of_a_long_answer_is_ended_in_time(
    behind: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise it would hold memory, and the connection of its server, for ever."""

    async def scenario() -> None:
        monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.2)
        async with Router() as router:
            with slow_client(router) as client:
                loop = asyncio.get_running_loop()
                await loop.sock_connect(client, router.listener.socket.getsockname())
                await loop.sock_sendall(client, read("r1", "long") + (read("r2", "short") if behind else b""))
                links = await caches_of(router, 1 + behind)
                links[b"r1"].write(LONG if behind else LONG[:-100])
                await until(lambda: bool(router.listener.stalled_answers))
                await until(lambda: not router.listener.connections)
                if not behind:
                    assert await links[b"r1"].ended()
                windows = router.listener.windows
                assert windows.streams == 0 and windows.gathered.reserved == 0

    run(scenario)


def test_a_client_that_takes_a_gathered_answer_slowly_gets_it_whole() -> None:
    async def scenario() -> None:
        async with Router() as router:
            with slow_client(router) as client:
                loop = asyncio.get_running_loop()
                await loop.sock_connect(client, router.listener.socket.getsockname())
                await loop.sock_sendall(client, read("r1", "long") + read("r2", "short"))
                links = await caches_of(router, 2)
                links[b"r2"].write(HIT)
                links[b"r1"].write(LONG)
                await until(lambda: bool(router.listener.stalled_answers))
                (connection,) = router.listener.connections
                assert connection.transport.get_write_buffer_size() <= 2 * router.listener.windows.size()
                got = b""
                while len(got) < len(ANSWER) + len(b"$5\r\nvalue\r\n"):
                    got += await loop.sock_recv(client, 16_384)
                assert got == ANSWER + b"$5\r\nvalue\r\n"
                assert router.listener.windows.gathered.reserved == 0

    run(scenario)


# Guards against a connection with open requests that ends because a long answer waits behind others.
@needs_sources
def test_a_long_answer_that_waits_behind_others_ends_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(listener, "DELIVERY_INTERVAL", 0.2)
        async with Router() as router:
            client = await router.client()
            client.write(read("r1", "short") + read("r2", "long"))
            links = await caches_of(router, 2)
            links[b"r2"].write(LONG)
            await until(lambda: bool(router.listener.stalled_answers))
            await asyncio.sleep(1.0)  # several times the limit
            links[b"r1"].write(HIT)
            assert await client.resp() == b"value"
            assert await client.resp() == VALUE

    run(scenario)
