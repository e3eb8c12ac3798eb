"""The network between routers in virtual time; gossip and the coordination of zones are the real modules."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from myrtlecourse.fleet.datagram_network import DatagramNetwork
from myrtlecourse.fleet.scenario import Peers
from myrtlecourse.peers.gossip import TICK_INTERVAL
from myrtlecourse.peers.records import EPOCH
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.sim.core import Core
from myrtlecourse.zones.agent import Agent, AgentSettings
from myrtlecourse.zones.setup import make_tiers

if TYPE_CHECKING:
    from myrtlecourse.sim.routers import SimRouter

KEY = b"of the simulator, where nobody listens"


class PeerNetwork:
    """Carries the datagrams between the agents of a fleet's routers."""

    def __init__(self, core: Core, ways: DatagramNetwork, routers: list[SimRouter], settings: Peers) -> None:
        self.core = core
        self.ways = ways
        self.routers = {r.name: r for r in routers}
        self.settings = settings
        self.chance = core.stream("peers")
        self.datagrams = 0
        self.bytes = 0
        # orders to leave zones: the time, the router, the zones left, and whether the origin is left
        self.orders: list[tuple[float, str, frozenset[str], bool]] = []
        # the shares of returning zones: the time, the router, and the share by zone
        self.shares: list[tuple[float, str, Mapping[str, float]]] = []

    def wall(self) -> float:
        """Return the wall-clock time, which is the same on all machines."""
        return EPOCH + self.core.now

    def join(self, router: SimRouter) -> Agent:
        """Create the agent of a router's new process, and start its ticks."""
        names = tuple(self.routers)
        settings = self.settings
        agent_settings = AgentSettings(
            *(router.name, names, router.zone, KEY, settings.spill, settings.leave_origin, settings.interval),
            tiers=make_tiers(settings.regions, settings.own_region, settings.elsewhere),
            paced=settings.paced,
            origin_rate=settings.origin_rate,
        )
        agent = Agent(agent_settings, self.core.now, self.wall(), self.chance.getrandbits(32))
        self.core.after(TICK_INTERVAL * self.chance.random(), self._tick, router, agent, router.life)
        return agent

    def _tick(self, router: SimRouter, agent: Agent, life: int) -> None:
        if not router.up or router.life != life:
            return
        self.core.after(TICK_INTERVAL, self._tick, router, agent, life)
        if router.stalled:
            return
        result = agent.tick(self.core.now, self.wall())
        for datagram in result.datagrams:
            self.datagrams += 1
            self.bytes += len(datagram.data)
            for delay in self.ways.delivery_delays((router.name, datagram.to)):
                self.core.after(delay, self._arrive, self.routers[datagram.to], datagram.data)
        if result.zone_exit is not None:
            self.orders.append(
                (self.core.now, router.name, result.zone_exit.zones, result.zone_exit.origin_unreachable)
            )
            self.shares.append((self.core.now, router.name, result.zone_exit.return_shares))
        for event in result.events:
            router.post(event)

    def _arrive(self, router: SimRouter, data: bytes) -> None:
        if router.later(self._arrive, router, data) or not router.up or router.agent is None:
            return
        try:
            router.agent.receive(data, self.core.now, self.wall())
        except Dropped:
            return  # the agent counts dropped datagrams itself
