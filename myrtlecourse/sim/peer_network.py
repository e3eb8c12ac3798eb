"""The network between routers in virtual time, with the same gossip and zone agents as on sockets."""

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
    """Runs the zone agents of all routers and carries their datagrams."""

    def __init__(self, core: Core, links: DatagramNetwork, routers: list[SimRouter], settings: Peers) -> None:
        self.core = core
        self.links = links
        self.routers = {r.name: r for r in routers}
        self.settings = settings
        self.rng = core.stream("peers")
        self.datagrams = 0
        self.bytes = 0
        # time, router, the zones that it excludes, and whether it regards the origin as unreachable
        self.zone_exits: list[tuple[float, str, frozenset[str], bool]] = []
        # time, router, and the share of traffic that each returning zone gets
        self.return_shares: list[tuple[float, str, Mapping[str, float]]] = []

    def wall_clock(self) -> float:
        """Return the time of the wall clock (s), which all routers share."""
        return EPOCH + self.core.now

    def join(self, router: SimRouter) -> Agent:
        """Return the agent of a router's new process and schedules its ticks."""
        names = tuple(self.routers)
        settings = self.settings
        agent_settings = AgentSettings(
            *(router.name, names, router.zone, KEY, settings.spill, settings.leave_origin, settings.interval),
            tiers=make_tiers(settings.regions, settings.own_region, settings.elsewhere),
            paced=settings.paced,
            origin_rate=settings.origin_rate,
        )
        agent = Agent(agent_settings, self.core.now, self.wall_clock(), self.rng.getrandbits(32))
        self.core.call_after(TICK_INTERVAL * self.rng.random(), self._tick, router, agent, router.incarnation)
        return agent

    def _tick(self, router: SimRouter, agent: Agent, incarnation: int) -> None:
        if not router.up or router.incarnation != incarnation:
            return
        self.core.call_after(TICK_INTERVAL, self._tick, router, agent, incarnation)
        if router.stalled:
            return
        result = agent.tick(self.core.now, self.wall_clock())
        for datagram in result.datagrams:
            self.datagrams += 1
            self.bytes += len(datagram.data)
            for delay in self.links.delivery_delays((router.name, datagram.to)):
                self.core.call_after(delay, self._arrive, self.routers[datagram.to], datagram.data)
        if result.zone_exit is not None:
            self.zone_exits.append(
                (self.core.now, router.name, result.zone_exit.zones, result.zone_exit.origin_unreachable)
            )
            self.return_shares.append((self.core.now, router.name, result.zone_exit.return_shares))
        for event in result.events:
            router.post(event)

    def _arrive(self, router: SimRouter, data: bytes) -> None:
        if router.defer_if_stalled(self._arrive, router, data) or not router.up or router.agent is None:
            return
        try:
            router.agent.receive(data, self.core.now, self.wall_clock())
        except Dropped:
            return  # the agent counts dropped datagrams itself
