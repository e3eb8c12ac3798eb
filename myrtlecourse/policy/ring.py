"""The ring: positions of weighted virtual nodes, and the servers whose they are."""

from __future__ import annotations

import hashlib
import math
import struct
from bisect import bisect_left
from collections.abc import Iterable, Mapping

from myrtlecourse.policy import tuning
from myrtlecourse.policy.state import Server


def ring_hash(text: str) -> tuple[int, ...]:
    """Positions on the ring: a key takes the first, a server all of them."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(server: str, count: int) -> tuple[int, ...]:
    """The first virtual nodes of a server; more weight adds to them and moves none."""
    return tuple(p for j in range(math.ceil(count / 8)) for p in ring_hash(f"{server}-vnode-{j}"))[:count]


class Ring:
    """Points follow the size of a server alone, so that others coming or going move none of them."""

    def __init__(self) -> None:
        self.owners: dict[int, tuple[Server, float]] = {}  # and the rank of each point among the owner's
        self.positions: list[int] = []  # sorted
        self.sizes: dict[str, float] = {}  # the largest weight seen of a kind
        self.total_size = 0.0
        self.mean_reported = 0.0

    def place(self, server: Server, count: int) -> tuple[int, ...]:
        """Give a server its points, each with a rank among them; answers with those that are new."""
        if count == len(server.points):
            return ()
        for p in server.points:
            del self.owners[p]
        server.points = virtual_nodes(server.entry.server, count)
        self.owners.update({p: (server, (j + 0.5) / count) for j, p in enumerate(server.points)})
        return server.points

    def build(
        self, servers: Iterable[Server], caches: list[Server], live_weights: bool, zones: Mapping[str, float]
    ) -> None:
        """Give each ready cache server its points; where weights are `live`, by its kind's largest.

        Of those in `zones` only such a share counts.
        """
        for s in caches:
            s.size = s.entry.weight
            if live_weights:
                # live weights fall with load and come late: on the ring they moved keys with every list
                kind = s.entry.kind
                s.size = self.sizes[kind] = max(self.sizes.get(kind, 0.0), s.size)
                s.reported = s.size / s.entry.weight - 1 if s.entry.weight else 0.0
        if zones:
            for s in caches:
                s.size = (s.size or 1.0) * zones.get(s.entry.zone, 1.0)
        largest = max((s.size for s in caches), default=0.0) or 1.0  # and what a missing weight counts as
        unit = 2.0 ** math.ceil(math.log2(largest))  # rarely changes with the fleet
        fresh: set[int] = set()
        for s in servers:
            s.size = s.size or largest
            count = math.ceil(tuning.POINTS * s.size / unit) if s.cache and s.ready else 0
            fresh.update(self.place(s, count))
        if fresh or len(self.owners) < len(self.positions):
            kept = [p for p in self.positions if p in self.owners and p not in fresh]
            self.positions = sorted([*kept, *fresh])
        self.total_size = sum(s.size for s in caches)
        self.mean_reported = sum(s.reported for s in caches) / max(1, len(caches))

    def start(self, key: str) -> int:
        """Where a key's walk begins, as an index of `positions`."""
        return bisect_left(self.positions, ring_hash(key)[0])
