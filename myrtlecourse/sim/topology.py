"""Sites in regions, and the delay, loss and duplication of datagrams between two places."""

from __future__ import annotations

import random
from dataclasses import dataclass

from myrtlecourse.spread.messages import Site


def lay_out_sites(regions: int, sites: int, routers: int, parts: int) -> tuple[Site, ...]:
    """Return sites, assigned to regions in turn, each with an equal share of all routers and parts."""
    result = []
    for s in range(sites):
        region = f"r{s % regions:02d}"
        name = f"{region}-s{s:03d}"
        counts = [(s + 1) * n // sites - s * n // sites for n in (routers, parts)]
        result.append(
            Site(
                name,
                region,
                tuple(f"{name}-n{i:03d}" for i in range(max(1, counts[0]))),
                tuple(f"{name}-p{i:03d}" for i in range(counts[1])),
            )
        )
    return tuple(result)


@dataclass(slots=True, frozen=True)
class Place:
    """The location of a process, as numbers of its region and site."""

    region: int
    site: int


class Network:
    """Draws what happens to a datagram; its delay depends on the places of both ends."""

    def __init__(self, regions: int, sites: int, rng: random.Random) -> None:
        """Draw the one-way delays (s) once."""
        self.random = rng.random
        self.site_delay = [rng.uniform(0.0002, 0.001) for _ in range(sites)]  # within a site
        self.access_delay = [rng.uniform(0.002, 0.010) for _ in range(sites)]  # between a site and its region
        self.region_delay = [[0.0] * regions for _ in range(regions)]  # between two regions
        for a in range(regions):
            for b in range(a):
                self.region_delay[a][b] = self.region_delay[b][a] = rng.uniform(0.010, 0.120)
        self.loss = 0.0
        self.duplication = 0.0  # probability that a datagram arrives a second time
        # probability that a datagram is delayed by up to 0.3 s more, so that later ones overtake it
        self.late = 0.0
        self.outbound_cut: set[int] = set()  # regions whose datagrams to other regions are lost
        self.inbound_cut: set[int] = set()  # regions that receive nothing from other regions

    def draw_delays(self, a: Place, b: Place) -> tuple[float, ...]:
        """Return the delays (s) of a datagram's copies: none if it is lost, two if it is duplicated."""
        if a.region != b.region and (a.region in self.outbound_cut or b.region in self.inbound_cut):
            return ()
        if self.loss and self.random() < self.loss:
            return ()
        if a.site == b.site:
            base = self.site_delay[a.site]
        elif a.region == b.region:
            base = self.access_delay[a.site] + self.access_delay[b.site]
        else:
            base = (
                self.access_delay[a.site] + self.region_delay[a.region][b.region] + self.access_delay[b.site]
            )
        delay = base * (1.0 + 0.1 * self.random())
        if self.late and self.random() < self.late:
            delay += 0.3 * self.random()
        if self.duplication and self.random() < self.duplication:
            return delay, delay + 0.05 * self.random()
        return (delay,)
