"""Tiers of preference among zones: a router's own zone, the zones of its region, and all others; no I/O.

Weights are factors on a server's size on the ring, so that the ring's own walk goes on to the next tier when
a nearer one is left. The load that may move then is bounded over the whole fleet, although routers of
different zones lose different shares of their load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_SPILL = 100.0  # factor on a survivor's load, above which there is no real bound


@dataclass(slots=True, frozen=True)
class Tiers:
    """The weight of each tier; the own zone has weight 1."""

    regions: Mapping[str, frozenset[str]] = field(default_factory=dict)  # zones, by region
    own_region: float = 1.0
    elsewhere: float = 1.0

    @property
    def is_uniform(self) -> bool:
        """Whether all zones have the same weight."""
        return self.own_region == self.elsewhere == 1.0

    def weight(self, home: str, zone: str) -> float:
        """Return the weight of a zone's servers for the routers of zone `home`."""
        if zone == home:
            return 1.0
        same_region = any(home in zones and zone in zones for zones in self.regions.values())
        return self.own_region if same_region else self.elsewhere

    def lost_share(self, home: str, sizes: Mapping[str, float], left: frozenset[str]) -> float:
        """Return the share of their load that the routers of zone `home` send to the zones that are left."""
        sizes_for_home = {zone: size * self.weight(home, zone) for zone, size in sizes.items()}
        total = sum(sizes_for_home.values())
        return sum(sizes_for_home[zone] for zone in left if zone in sizes_for_home) / total if total else 0.0

    def spill_bound(
        self,
        bound: float,
        home: str,
        sizes: Mapping[str, float],
        left: frozenset[str],
        routers: Mapping[str, int],
    ) -> float:
        """Return how many times their former load from a router of zone `home` survivors may get from it.

        All routers together keep within `bound`: what survivors may get beyond their former load is divided
        among the routers in proportion to what each router's zone loses. `routers` is the number of routers
        by zone; each is taken to carry the same load.
        """
        own_loss = self.lost_share(home, sizes, left)
        if self.is_uniform or not 0.0 < own_loss < 1.0:
            return bound
        moves = sum(count * self.lost_share(zone, sizes, left) for zone, count in routers.items())
        stays = sum(count * (1.0 - self.lost_share(zone, sizes, left)) for zone, count in routers.items())
        if not moves:
            return bound
        allowed = (bound - 1.0) * stays / moves  # for each unit of load that moves
        return min(MAX_SPILL, 1.0 + allowed * own_loss / (1.0 - own_loss))
