"""The one socket to other routers: datagrams in and out, and the clock that drives what is said."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from myrtlecourse import interface as api
from myrtlecourse.net.clock import Clock
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.gossip import PACE
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.zones.agent import Agent, Part

AGAIN = 0.2  # seconds until listening is tried again, where the process before this one still does
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)
Endpoint = tuple[str, int]


class Speaker(asyncio.DatagramProtocol):
    """One router's end."""

    def __init__(
        self,
        agent: Agent,
        bind: Endpoint,
        peers: dict[str, Endpoint],
        clock: Callable[[], float],
        post: Callable[[api.Event], None],
    ) -> None:
        """`clock` is the decision module's, and `post` hands it an order."""
        self.agent = agent
        self.bind = bind
        self.peers = peers
        self.clock = clock
        # guards peers' words: after a step of the wall clock all would look late, here or there
        self.unix = Clock()
        self.post = post
        self.transport: asyncio.DatagramTransport | None = None
        self.running: list[asyncio.Task[None]] = []
        self.left: list[str] = []
        self.back: dict[str, float] = {}

    async def start(self, shared: bool) -> None:
        """Listen, and begin. Where another process of this router may still listen (`shared`, at an upgrade)
        it goes on without hearing until that one ends. Raises OSError."""
        if shared:
            self.running.append(asyncio.create_task(self._listen_later()))
        else:
            await self._listen()
        self.running.append(asyncio.create_task(self._run()))

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.bind)
        log.info("other routers are heard on %s:%d", *self.transport.get_extra_info("sockname")[:2])

    async def _listen_later(self) -> None:
        while self.transport is None:
            with suppress(OSError):
                await self._listen()
                return
            await asyncio.sleep(AGAIN)

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(PACE)

    def _tick(self) -> None:
        done = self.agent.tick(self.clock(), self.unix.now())
        for change in done.changes:
            log.info("zone %s: %s", change.zone, change.text)
        if done.left is not None:
            left = sorted(done.left.zones) + (["the origin"] if done.left.origin_unreachable else [])
            if left != self.left:
                log.info("zones left: %s", ", ".join(left) or "none")
            self.left = left
            back = {zone: round(share, 3) for zone, share in sorted(done.left.return_shares.items())}
            if back != self.back:
                log.info("zones coming back: %s", " ".join(f"{z}={s}" for z, s in back.items()) or "none")
            self.back = back
        for event in done.events:
            self.post(event)
        if self.transport is not None:
            for datagram in done.datagrams:
                self.transport.sendto(datagram.data, self.peers[datagram.to])

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            self.agent.receive(data, self.clock(), self.unix.now())
        except Dropped as e:
            bounded.log(logging.WARNING, "a datagram of %s:%s was dropped: %s", addr[0], addr[1], e)

    def error_received(self, exc: Exception) -> None:
        bounded.log(logging.INFO, "another router was not reached: %s", exc)

    def change(self, part: Part, peers: dict[str, Endpoint]) -> None:
        """Take another part, as operators have it now. Raises ValueError; then nothing is taken."""
        if part.name in self.peers and peers[part.name] != self.peers[part.name]:
            raise ValueError("a router can't be heard elsewhere while it runs")
        self.agent.change(part)
        self.peers = peers

    def close(self) -> None:
        """Say no more, and leave the address to the process that follows."""
        for task in self.running:
            task.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
