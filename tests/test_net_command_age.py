"""A command ages from when its last byte could be read, wherever it waits until it is processed."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

import pytest

from myrtlecourse.net.clients import MAX_PIPELINED
from tests.loopback import HIT, Link, Peer, Router, command, read, run, until

DEADLINE_MS = 5000
INFO = f"c=read,t=x,d={DEADLINE_MS}"
WAIT = 0.5  # seconds for which the last command waits
SLACK_MS = 150  # milliseconds by which the deadline passed on may exceed what the client has left


class Caches:
    """Answers the reads that reach the caches, from a time on; records what they were told."""

    def __init__(self, router: Router) -> None:
        self.told: dict[bytes, int] = {}  # by request: the milliseconds that the router will wait
        self.released = asyncio.Event()
        self.tasks = [asyncio.create_task(self._accept(peer)) for peer in router.caches.values()]

    async def _accept(self, peer: Peer) -> None:
        async with asyncio.TaskGroup() as connections:
            while True:
                connections.create_task(self._serve(await peer.link()))

    async def _serve(self, link: Link) -> None:
        with suppress(AssertionError, ConnectionError):
            while True:
                _, _, request, info = await link.resp()
                fields = dict(pair.split("=") for pair in info.decode().split(","))
                self.told.setdefault(request, int(fields["d"]))
                await self.released.wait()
                link.write(HIT)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


# Guards against deadlines passed on that include the time for which a command waited unprocessed.
@pytest.mark.parametrize("place", ["buffer", "socket"])
def test_a_command_beyond_the_pipeline_limit_ages_while_it_waits(place: str) -> None:
    async def scenario() -> None:
        async with Router() as router:
            caches = Caches(router)
            client = await router.client()
            last = read("last", "other", INFO)
            full = read("first", "k", INFO) + command("PING") * (MAX_PIPELINED - 1)
            sent_at = time.monotonic()
            client.write(full + last if place == "buffer" else full)
            await until(lambda: any(not c.reading for c in router.listener.connections))
            if place == "socket":
                client.write(last)
            await asyncio.sleep(WAIT)
            caches.released.set()
            await until(lambda: b"last" in caches.told)
            waited_ms = (time.monotonic() - sent_at) * 1000
            assert caches.told[b"last"] <= DEADLINE_MS - WAIT * 1000 + SLACK_MS
            assert caches.told[b"last"] >= DEADLINE_MS - waited_ms - SLACK_MS
            assert [await client.resp() for _ in range(MAX_PIPELINED + 1)][-1] == b"value"
            caches.stop()

    run(scenario)


# Guards against commands that count as new, though they lay in the socket behind those that were read before.
def test_commands_that_lay_unread_behind_others_are_as_old_as_those() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            await until(lambda: bool(router.listener.connections))
            (connection,) = router.listener.connections
            sent_at = time.monotonic()
            client.write(command("PING") * 2000)  # 28,000 bytes: more than is read at once
            await until(lambda: connection.command_count > 0)
            assert connection.unread_since is not None and connection.unread_since <= time.monotonic()
            await asyncio.sleep(0)
            await until(lambda: connection.command_count == 2000)
            # the last of them were read later, and count from when the first came
            assert connection.command_age >= connection.last_data_at - sent_at - SLACK_MS / 1000
            assert connection.unread_since is None

    run(scenario)
