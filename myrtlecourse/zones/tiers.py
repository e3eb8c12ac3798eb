"""Which zones a router asks most gladly: its own, those of its region, all others; no I/O.

Weights are shares of a server's size on the ring, so that the next tier takes over by the ring's own walk
when a nearer one is left. What may move then is bounded over the fleet, though routers of different zones
lose different parts of their load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_SPILL = 100.0  # times; more is no bound


@dataclass(slots=True, frozen=True)
class Tiers:
    """How gladly each tier is asked; the own zone counts 1."""

    regions: Mapping[str, frozenset[str]] = field(default_factory=dict)  # zones, by the region's name
    own_region: float = 1.0
    elsewhere: float = 1.0

    @property
    def is_uniform(self) -> bool:
        """Whether all zones are alike."""
        return self.own_region == self.elsewhere == 1.0

    def weight(self, home: str, zone: str) -> float:
        """How gladly routers of one zone ask the servers of another."""
        if zone == home:
            return 1.0
        near = any(home in zones and zone in zones for zones in self.regions.values())
        return self.own_region if near else self.elsewhere

    def lost_share(self, home: str, sizes: Mapping[str, float], left: frozenset[str]) -> float:
        """The share of their load that routers of a zone lose with those that are left."""
        each = {zone: size * self.weight(home, zone) for zone, size in sizes.items()}
        total = sum(each.values())
        return sum(each[zone] for zone in left if zone in each) / total if total else 0.0

    def spill_bound(
        self,
        bound: float,
        home: str,
        sizes: Mapping[str, float],
        left: frozenset[str],
        routers: Mapping[str, int],
    ) -> float:
        """Times what survivors got from this router, that they may get from it.

        All routers together keep the `bound`: what survivors may get beyond what they had is dealt out in
        proportion to what each router's zone loses. `routers` tells how many there are by zone; each is taken
        to carry the same load.
        """
        mine = self.lost_share(home, sizes, left)
        if self.is_uniform or not 0.0 < mine < 1.0:
            return bound
        moves = sum(count * self.lost_share(zone, sizes, left) for zone, count in routers.items())
        stays = sum(count * (1.0 - self.lost_share(zone, sizes, left)) for zone, count in routers.items())
        if not moves:
            return bound
        allowed = (bound - 1.0) * stays / moves  # for each that moves
        return min(MAX_SPILL, 1.0 + allowed * mine / (1.0 - mine))
