"""The UDP socket for gossip with other routers, and the clock that drives the agent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from myrtlecourse import interface as api
from myrtlecourse.net.clock import Clock
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.gossip import TICK_INTERVAL
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.zones.agent import Agent, AgentSettings

LISTEN_RETRY = 0.2  # seconds between attempts to listen while the previous process still does
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)
Endpoint = tuple[str, int]


class GossipSocket(asyncio.DatagramProtocol):
    """One router's socket and agent."""

    def __init__(
        self,
        agent: Agent,
        bind: Endpoint,
        peers: dict[str, Endpoint],
        clock: Callable[[], float],
        post: Callable[[api.Event], None],
    ) -> None:
        """`clock` is the decision module's clock, and `post` passes an event to that module."""
        self.agent = agent
        self.bind = bind
        self.peers = peers
        self.clock = clock
        # A wall clock without steps: after one, all datagrams would look late here or at the peers.
        self.wall_clock = Clock()
        self.post = post
        self.transport: asyncio.DatagramTransport | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.last_left: list[str] = []
        self.last_returning: dict[str, float] = {}

    async def start(self, shared: bool) -> None:
        """Listen and start to send.

        Where another process of this router may still listen (`shared`, during an upgrade), this one goes on
        without receiving until that one ends.

        Raises:
            OSError: the address can't be used.
        """
        if shared:
            self.tasks.append(asyncio.create_task(self._listen_later()))
        else:
            await self._listen()
        self.tasks.append(asyncio.create_task(self._run()))

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.bind)
        log.info("gossip: receiving datagrams on %s:%d", *self.transport.get_extra_info("sockname")[:2])

    async def _listen_later(self) -> None:
        while self.transport is None:
            with suppress(OSError):
                await self._listen()
                return
            await asyncio.sleep(LISTEN_RETRY)

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL)

    def _tick(self) -> None:
        result = self.agent.tick(self.clock(), self.wall_clock.now())
        for change in result.changes:
            log.info("zone %s: %s", change.zone, change.text)
        if result.zones_left is not None:
            left = sorted(result.zones_left.zones) + (
                ["the origin"] if result.zones_left.origin_unreachable else []
            )
            if left != self.last_left:
                log.info("zones left: %s", ", ".join(left) or "none")
            self.last_left = left
            returning = {
                zone: round(share, 3) for zone, share in sorted(result.zones_left.return_shares.items())
            }
            if returning != self.last_returning:
                log.info(
                    "zones coming back: %s", " ".join(f"{z}={s}" for z, s in returning.items()) or "none"
                )
            self.last_returning = returning
        for event in result.events:
            self.post(event)
        if self.transport is not None:
            for datagram in result.datagrams:
                self.transport.sendto(datagram.data, self.peers[datagram.to])

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            self.agent.receive(data, self.clock(), self.wall_clock.now())
        except Dropped as e:
            bounded.log(logging.WARNING, "dropped a datagram from %s:%s: %s", addr[0], addr[1], e)

    def error_received(self, exc: Exception) -> None:
        bounded.log(logging.INFO, "another router can't be reached: %s", exc)

    def reconfigure(self, settings: AgentSettings, peers: dict[str, Endpoint]) -> None:
        """Apply new settings and addresses of peers.

        Raises:
            ValueError: they can't be used, or this router's own address differs; nothing has changed then.
        """
        if settings.name in self.peers and peers[settings.name] != self.peers[settings.name]:
            raise ValueError("a router's own address can't change while it runs")
        self.agent.reconfigure(settings)
        self.peers = peers

    def close(self) -> None:
        """Stop sending and free the address for the next process."""
        for task in self.tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
