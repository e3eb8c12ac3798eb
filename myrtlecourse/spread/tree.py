"""The dissemination tree: four tiers, which each member computes on its own from the members' names.

In each region and site the first members in the order of rendezvous hashing (Thaler and Ravishankar, 1998)
are relays. All members thus agree without an election, and one that joins or leaves moves few others.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread.messages import KEY_BYTES, Settings, Site

CONTROL, REGION_RELAY, SITE_RELAY, LEAF = range(4)  # tiers; a member forwards to those of the next tier
MIN_RELAYS = 2  # relays per region and per site, if there are as many routers, so that one may fail
BATCH_BYTES = 20  # bytes of an `EntryBatch` besides its keys
HEARTBEAT_BYTES = 26  # bytes of a `Heartbeat`
REPORT_BYTES = 48  # bytes of a `Report`
# Assumed length in bytes of a relay's name, which leaves room for the longest entry. It is the same for all
# members, because all must compute the same tree.
MAX_NAME_BYTES = 46
MAX_CACHED_LAYOUTS = 64  # layouts that members in one process, such as a simulation's, share


@dataclass(slots=True, frozen=True)
class Layout:
    """The tiers of all known members."""

    tiers: dict[str, int]
    sites: dict[str, Site]  # by member
    region_relays: dict[str, tuple[str, ...]]  # by region
    site_relays: dict[str, tuple[str, ...]]  # by site


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of rendezvous hashing for a key."""
    seed = hashlib.blake2b(key.encode(), digest_size=16).digest()

    def weight(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8, key=seed).digest()

    return sorted(names, key=weight, reverse=True)


def child_cost(settings: Settings, name_bytes: int) -> float:
    """Return the bytes per second that one child costs its parent, whose name has `name_bytes` bytes.

    Entries take a datagram every `pause` (more when the keys of one pause don't fit) with seal, header, name
    and the overhead of an `EntryBatch`, and KEY_BYTES per entry. Answers take a `Heartbeat` every `report`,
    in the same datagrams. With the defaults and a name of 46 bytes: 10 * (16 + 36 + 46 + 20) + 8 * 100 + 5 *
    26 = 2,110.
    """
    frame = SEAL_SIZE + HEADER_SIZE + name_bytes + BATCH_BYTES
    datagrams = max(1 / settings.pause, settings.rate * KEY_BYTES / (MAX_DATAGRAM - frame - HEARTBEAT_BYTES))
    return datagrams * frame + settings.rate * KEY_BYTES + HEARTBEAT_BYTES / settings.report


def affordable_children(settings: Settings, budget: float, name_bytes: int) -> int:
    """Return how many children a budget supports by `child_cost`, after the node's own reports; at least
    one."""
    reports = (SEAL_SIZE + HEADER_SIZE + name_bytes + REPORT_BYTES) / settings.report
    return max(1, int((budget - reports) / child_cost(settings, name_bytes)))


def _relay_count(members: int, routers: int, mean_children: float) -> int:
    """Return how many of the members must be relays when each relay is to have `mean_children` on average."""
    return min(routers, max(MIN_RELAYS, math.ceil(members / (1 + mean_children))))


@lru_cache(maxsize=MAX_CACHED_LAYOUTS)
def _layout(control: tuple[str, ...], sites: tuple[Site, ...], mean_children: float) -> Layout:
    tiers: dict[str, int] = dict.fromkeys(control, CONTROL)
    site_of, region_relays, site_relays = {}, {}, {}
    regions: dict[str, list[Site]] = {}
    for site in sites:
        regions.setdefault(site.region, []).append(site)
    for region, region_sites in regions.items():
        routers = [r for s in region_sites for r in s.routers]
        relays_below = sum(
            _relay_count(len(s.routers) + len(s.parts), len(s.routers), mean_children) for s in region_sites
        )
        count = min(len(routers), max(MIN_RELAYS, math.ceil(relays_below / mean_children)))
        region_relays[region] = tuple(ranked(f"relays of {region}", routers)[:count])
        tiers.update(dict.fromkeys(region_relays[region], REGION_RELAY))
        for site in region_sites:
            others = [r for r in site.routers if r not in tiers]
            members = len(others) + len(site.parts)
            relay_count = _relay_count(members, len(others), mean_children)
            site_relays[site.name] = tuple(ranked(f"heads of {site.name}", others)[:relay_count])
            # In a site whose routers are all relays of the region, the other members are children of these.
            tier_below = LEAF if site_relays[site.name] else SITE_RELAY
            for name in (*site.routers, *site.parts):
                site_of[name] = site
                tiers.setdefault(name, SITE_RELAY if name in site_relays[site.name] else tier_below)
    return Layout(tiers, site_of, region_relays, site_relays)


class Tree:
    """One member's view of the tree. Members of one process with equal settings share the layout."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.child_limits = [
            affordable_children(settings, b, MAX_NAME_BYTES)
            for b in (settings.half_control_budget, settings.budget)
        ]
        self.layout = _layout(settings.control, settings.sites, self.mean_children)

    @property
    def mean_children(self) -> float:
        """The intended mean number of children of a relay: half of the limit, so that it can also take over
        those of a failed relay."""
        return max(1.0, self.child_limits[1] / 2)

    def tier(self, name: str) -> int:
        """Return a member's tier: 0 for a control node, 1 for a region's relay, 2 for a site's relay, 3 for
        others. Raises KeyError for an unknown name."""
        return self.layout.tiers[name]

    def may_have_children(self, name: str) -> bool:
        """Return whether a member may have children."""
        layout, tier = self.layout, self.tier(name)
        return tier <= REGION_RELAY or (
            tier == SITE_RELAY and name in layout.site_relays[layout.sites[name].name]
        )

    def _parents(self, name: str) -> tuple[str, ...]:
        layout, tier = self.layout, self.tier(name)
        if tier == CONTROL:
            return ()
        if tier == REGION_RELAY:
            return self.settings.control
        site = layout.sites[name]
        return layout.region_relays[site.region] if tier == SITE_RELAY else layout.site_relays[site.name]

    def candidates(self, name: str) -> tuple[str, ...]:
        """Return the members one tier up that may be its parent, in its own order of preference. Empty for a
        control node, whose parent is named by `Leadership`. Raises KeyError for an unknown name."""
        return tuple(ranked(f"parent of {name}", self._parents(name)))

    def may_be_parent(self, parent: str, child: str) -> bool:
        """Return whether one member may be the other's parent."""
        tiers = self.layout.tiers
        if child not in tiers or parent == child:
            return False
        if tiers[child] == CONTROL:
            return tiers[parent] == CONTROL
        return parent in self._parents(child)

    def max_children(self, name: str) -> int:
        """Return how many children a member may have: as many as its budget supports by `child_cost`, and 0
        for a member that is no relay. With the defaults (27,000 - 730) / 2,110 = 12, for a control node 118;
        the root's children include the other control nodes."""
        if not self.may_have_children(name):
            return 0
        return self.child_limits[0] if self.tier(name) == CONTROL else self.child_limits[1]
