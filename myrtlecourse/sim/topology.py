"""Sites in regions, and what becomes of a datagram between two places."""

from __future__ import annotations

import random
from dataclasses import dataclass

from myrtlecourse.spread.messages import Site


def lay_out_sites(regions: int, sites: int, routers: int, parts: int) -> tuple[Site, ...]:
    """So many sites, dealt out to the regions in turn, and to each its share of all routers and parts."""
    each = []
    for s in range(sites):
        region = f"r{s % regions:02d}"
        name = f"{region}-s{s:03d}"
        counts = [(s + 1) * n // sites - s * n // sites for n in (routers, parts)]
        each.append(
            Site(
                name,
                region,
                tuple(f"{name}-n{i:03d}" for i in range(max(1, counts[0]))),
                tuple(f"{name}-p{i:03d}" for i in range(counts[1])),
            )
        )
    return tuple(each)


@dataclass(slots=True, frozen=True)
class Place:
    """Where a machine stands, as numbers of the network."""

    region: int
    site: int


class Network:
    """What becomes of a datagram on its way: where both ends are says how long it takes."""

    def __init__(self, regions: int, sites: int, chance: random.Random) -> None:
        """The places: seconds one way, drawn once."""
        self.random = chance.random
        self.inside = [chance.uniform(0.0002, 0.001) for _ in range(sites)]
        self.access = [chance.uniform(0.002, 0.010) for _ in range(sites)]
        self.between = [[0.0] * regions for _ in range(regions)]
        for a in range(regions):
            for b in range(a):
                self.between[a][b] = self.between[b][a] = chance.uniform(0.010, 0.120)
        self.loss = 0.0
        self.twice = 0.0  # chance that one comes once more
        self.late = 0.0  # chance that one takes up to 0.3 s longer, and so is passed by others
        self.outbound_cut: set[int] = set()  # regions out of which nothing comes
        self.inbound_cut: set[int] = set()  # into which nothing comes

    def draw_delays(self, a: Place, b: Place) -> tuple[float, ...]:
        """When a datagram comes, in seconds from now: no time if it is lost, two if it comes twice."""
        if a.region != b.region and (a.region in self.outbound_cut or b.region in self.inbound_cut):
            return ()
        if self.loss and self.random() < self.loss:
            return ()
        if a.site == b.site:
            plain = self.inside[a.site]
        elif a.region == b.region:
            plain = self.access[a.site] + self.access[b.site]
        else:
            plain = self.access[a.site] + self.between[a.region][b.region] + self.access[b.site]
        pause = plain * (1.0 + 0.1 * self.random())
        if self.late and self.random() < self.late:
            pause += 0.3 * self.random()
        if self.twice and self.random() < self.twice:
            return pause, pause + 0.05 * self.random()
        return (pause,)
