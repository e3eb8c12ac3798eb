"""Dials that complete while the event loop is held up, so that their time is over when that is noticed."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

import pytest

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.servers import CacheConnection
from tests.loopback import HIT, TIMEOUT, Link, Peer, age_idle_connections, run, until

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)
DIAL_TIMEOUT = 0.1  # seconds
AMPLE_TIME = 60.0  # seconds
OTHER_SOCKETS = 8  # pairs that take the numbers of descriptors that have become free
ITERATIONS = 4  # of the event loop, within which a dial on loopback begins and completes


async def answer_reads(peer: Peer) -> None:
    """Answer every read on every connection to a peer."""

    async def serve(link: Link) -> None:
        with suppress(AssertionError, ConnectionError):
            while True:
                await link.resp()
                link.write(HIT)

    async with asyncio.TaskGroup() as connections:
        while True:
            connections.create_task(serve(await peer.link()))


# Guards against connections that the event loop has closed although the pool keeps or uses them.
@pytest.mark.parametrize("iterations", range(ITERATIONS))
@pytest.mark.parametrize("wanted", [True, False], ids=["wanted", "given up"])
def test_a_dial_that_completes_as_its_time_ends_leaves_no_closed_connection(
    wanted: bool, iterations: int
) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            serving = asyncio.create_task(answer_reads(peer))
            pool = Pool(CacheConnection, 8, DIAL_TIMEOUT, 60.0)
            results: asyncio.Queue[Status] = asyncio.Queue()

            def start() -> Exchange:
                return pool.start_attempt(peer.address, GET, 5.0, lambda s, _: results.put_nowait(s))

            first = start()
            if not wanted:
                first.abandon()
            for _ in range(iterations):
                await asyncio.sleep(0)
            time.sleep(2 * DIAL_TIMEOUT)
            async with asyncio.timeout(TIMEOUT):
                if wanted:  # it came up in time or it did not; it was not broken off
                    assert await results.get() in (Status.OK, Status.CONNECT_FAILED)
                await until(lambda: not pool.dials)
                age_idle_connections(pool)
                pool.set_timeouts(AMPLE_TIME, AMPLE_TIME)  # a busy machine may take longer for the next dial
                others = [socket.socketpair() for _ in range(OTHER_SOCKETS)]
                start()
                assert await results.get() is Status.OK
                for pair in others:
                    pair[0].close()
                    pair[1].close()
            pool.close()
            serving.cancel()

    run(scenario)


@pytest.mark.parametrize("iterations", range(ITERATIONS))
def test_a_dial_that_is_cancelled_as_it_completes_leaves_no_connection(iterations: int) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            pool = Pool(CacheConnection, 8, DIAL_TIMEOUT, 60.0)
            pool.start_attempt(peer.address, GET, 5.0, lambda *_: None)
            for _ in range(iterations):
                await asyncio.sleep(0)
            pool.close()
            await asyncio.sleep(DIAL_TIMEOUT)
            assert not pool.connections and not pool.dials and not pool.dial_counts

    run(scenario)
