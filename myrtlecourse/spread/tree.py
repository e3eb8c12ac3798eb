"""Who may be whose parent: four tiers that each member works out alone, from the members' names.

The first by rendezvous hashing (Thaler and Ravishankar, 1998) pass on: a region's relays, a site's heads. So
all agree without an election, and one that goes or comes moves no others.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread.messages import KEY, Settings, Site

CONTROL, RELAY, HEADS, LEAF = range(4)  # tiers; a member passes on to those of the next
LEAST = 2  # relays of a region and heads of a site, where there are so many routers: one may die
NEWS = 20  # bytes that a `News` takes beside its keys
BEAT = 26  # bytes that a `Beat` takes
REPORT = 48  # bytes that a `Report` takes
# bytes of a name that may pass on, with room for each entry; whoever reads, as all must lay out the same tree
LONGEST_NAME = 46
SHARED = 64  # layouts that members of one process (a simulation's) share


@dataclass(slots=True, frozen=True)
class Layout:
    """The tiers of all members in view."""

    tiers: dict[str, int]
    sites: dict[str, Site]  # by member
    relays: dict[str, tuple[str, ...]]  # by region
    heads: dict[str, tuple[str, ...]]  # by site


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """The names in the order that rendezvous hashing gives them for a key."""
    seed = hashlib.blake2b(key.encode(), digest_size=16).digest()

    def weight(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8, key=seed).digest()

    return sorted(names, key=weight, reverse=True)


def child_cost(settings: Settings, longest: int) -> float:
    """Bytes a second that one child costs its parent, whose name has so many bytes.

    News: a datagram each `pause` (more when the keys of a pause don't fit one) with seal, head, name and what
    a `News` takes, and KEY bytes an entry. Answers: a `Beat` each `report`, in datagrams of news. With the
    defaults and a name of 46 bytes: 10 * (16 + 36 + 46 + 20) + 8 * 100 + 5 * 26 = 2,110.
    """
    frame = SEAL_SIZE + HEADER_SIZE + longest + NEWS
    datagrams = max(1 / settings.pause, settings.rate * KEY / (MAX_DATAGRAM - frame - BEAT))
    return datagrams * frame + settings.rate * KEY + BEAT / settings.report


def most_children(settings: Settings, budget: float, longest: int) -> int:
    """Children that a budget bears: what the node's own reports leave, by `child_cost`; one at least."""
    reports = (SEAL_SIZE + HEADER_SIZE + longest + REPORT) / settings.report
    return max(1, int((budget - reports) / child_cost(settings, longest)))


def _passing(members: int, routers: int, half: float) -> int:
    """How many of so many members pass on, when each shall have `half` children at most in the mean."""
    return min(routers, max(LEAST, math.ceil(members / (1 + half))))


@lru_cache(maxsize=SHARED)
def _layout(control: tuple[str, ...], sites: tuple[Site, ...], half: float) -> Layout:
    tiers: dict[str, int] = dict.fromkeys(control, CONTROL)
    of, relays, heads = {}, {}, {}
    regions: dict[str, list[Site]] = {}
    for site in sites:
        regions.setdefault(site.region, []).append(site)
    for region, inside in regions.items():
        routers = [r for s in inside for r in s.routers]
        under = sum(_passing(len(s.routers) + len(s.parts), len(s.routers), half) for s in inside)
        count = min(len(routers), max(LEAST, math.ceil(under / half)))
        relays[region] = tuple(ranked(f"relays of {region}", routers)[:count])
        tiers.update(dict.fromkeys(relays[region], RELAY))
        for site in inside:
            rest = [r for r in site.routers if r not in tiers]
            members = len(rest) + len(site.parts)
            most = _passing(members, len(rest), half)
            heads[site.name] = tuple(ranked(f"heads of {site.name}", rest)[:most])
            # a site whose routers are all relays has its other members right below them
            below = LEAF if heads[site.name] else HEADS
            for name in (*site.routers, *site.parts):
                of[name] = site
                tiers.setdefault(name, HEADS if name in heads[site.name] else below)
    return Layout(tiers, of, relays, heads)


class Tree:
    """One member's view of it. Members of one process that see the same share the layout."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.bounds = [
            most_children(settings, b, LONGEST_NAME) for b in (settings.control_half, settings.budget)
        ]
        self.layout = _layout(settings.control, settings.sites, self.half)

    @property
    def half(self) -> float:
        """Children of a relay or head in the mean: half of the bound, so that it can bear a dead one's."""
        return max(1.0, self.bounds[1] / 2)

    def tier(self, name: str) -> int:
        """0: a control machine; 1: a region's relay; 2: a site's head; 3: another. Raises KeyError when it is
        not in view."""
        return self.layout.tiers[name]

    def passes_on(self, name: str) -> bool:
        """Whether it may have children."""
        layout, tier = self.layout, self.tier(name)
        return tier <= RELAY or (tier == HEADS and name in layout.heads[layout.sites[name].name])

    def _parents(self, name: str) -> tuple[str, ...]:
        layout, tier = self.layout, self.tier(name)
        if tier == CONTROL:
            return ()
        if tier == RELAY:
            return self.settings.control
        site = layout.sites[name]
        return layout.relays[site.region] if tier == HEADS else layout.heads[site.name]

    def candidates(self, name: str) -> tuple[str, ...]:
        """Members one tier up that may be its parent, in an order of its own. None for a control machine:
        `Root` names its parent. Raises KeyError when it is not in view."""
        return tuple(ranked(f"parent of {name}", self._parents(name)))

    def bears(self, parent: str, child: str) -> bool:
        """Whether one may be the other's parent."""
        tiers = self.layout.tiers
        if child not in tiers or parent == child:
            return False
        if tiers[child] == CONTROL:
            return tiers[parent] == CONTROL
        return parent in self._parents(child)

    def children_bound(self, name: str) -> int:
        """Children that it may have: the other control machines at the root's, and what its budget bears by
        `child_cost`: with the defaults (27,000 - 730) / 2,110 = 12, of a control machine 118.
        None for one that does not pass on."""
        if not self.passes_on(name):
            return 0
        return self.bounds[0] if self.tier(name) == CONTROL else self.bounds[1]
