"""Routers that talk to one another in virtual time: the same gossip and zones as on sockets, on the
same clock."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from myrtlecourse.fleet.scenario import Peers
from myrtlecourse.fleet.ways import Ways
from myrtlecourse.peers.gossip import PACE
from myrtlecourse.peers.records import EPOCH
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.sim.core import Core
from myrtlecourse.zones.agent import Agent, Part
from myrtlecourse.zones.setup import tiers_of

if TYPE_CHECKING:
    from myrtlecourse.sim.routers import SimRouter

KEY = b"of the simulator, where nobody listens"


class PeerNetwork:
    """Where the routers of a fleet hear of one another."""

    def __init__(self, core: Core, ways: Ways, routers: list[SimRouter], told: Peers) -> None:
        self.core = core
        self.ways = ways
        self.routers = {r.name: r for r in routers}
        self.told = told
        self.chance = core.stream("peers")
        self.datagrams = 0
        self.bytes = 0
        # when, whose, which zones are left, and whether the origin is
        self.orders: list[tuple[float, str, frozenset[str], bool]] = []
        # when, whose, and how much of which zones that come back
        self.return_shares: list[tuple[float, str, Mapping[str, float]]] = []

    def wall(self) -> float:
        """The one clock of all machines."""
        return EPOCH + self.core.now

    def join(self, router: SimRouter) -> Agent:
        """A router's process has started."""
        names = tuple(self.routers)
        told = self.told
        part = Part(
            *(router.name, names, router.zone, KEY, told.spill, told.leave_origin, told.interval),
            tiers=tiers_of(told.regions, told.own_region, told.elsewhere),
            paced=told.paced,
            origin_rate=told.origin_rate,
        )
        agent = Agent(part, self.core.now, self.wall(), self.chance.getrandbits(32))
        self.core.call_after(PACE * self.chance.random(), self._tick, router, agent, router.incarnation)
        return agent

    def _tick(self, router: SimRouter, agent: Agent, life: int) -> None:
        if not router.up or router.incarnation != life:
            return
        self.core.call_after(PACE, self._tick, router, agent, life)
        if router.stalled:
            return
        done = agent.tick(self.core.now, self.wall())
        for datagram in done.datagrams:
            self.datagrams += 1
            self.bytes += len(datagram.data)
            for pause in self.ways.fate((router.name, datagram.to)):
                self.core.call_after(pause, self._arrive, self.routers[datagram.to], datagram.data)
        if done.left is not None:
            self.orders.append((self.core.now, router.name, done.left.zones, done.left.origin_unreachable))
            self.return_shares.append((self.core.now, router.name, done.left.return_shares))
        for event in done.events:
            router.post(event)

    def _arrive(self, router: SimRouter, data: bytes) -> None:
        if router.defer_if_stalled(self._arrive, router, data) or not router.up or router.agent is None:
            return
        try:
            router.agent.receive(data, self.core.now, self.wall())
        except Dropped:
            return  # which it counts itself
