"""One router's gossip and its part in leaving zones, put together; no I/O and no clock.

Whoever hosts it on sockets or in virtual time calls `tick` every PACE seconds, hands it the datagrams that
come, and lets it hear what attempts prove.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from myrtlecourse import interface as api
from myrtlecourse.peers.gossip import Datagram, Gossip
from myrtlecourse.peers.seal import ident
from myrtlecourse.zones.core import ORIGIN, Change, Zones
from myrtlecourse.zones.tiers import Tiers
from myrtlecourse.zones.verdict import ALL, Order


@dataclass(slots=True, frozen=True)
class Part:
    """What an installation gives one router to take part with."""

    name: str
    members: tuple[str, ...]  # the router's own name among them
    zone: str
    key: bytes
    spill: float = 3.0
    leave_origin: bool = False
    interval: float = 1.0  # seconds between words when all is calm
    budget: float = 16_384.0  # bytes a second
    also: tuple[bytes, ...] = ()  # keys that are taken, while the others go from one to the next
    tiers: Tiers = Tiers()
    paced: bool = True  # zones that are back are returned to by steps
    origin_rate: float = 0.0  # fetches a second that the origin bears of all routers; 0: nobody knows


@dataclass(slots=True, frozen=True)
class Done:
    """What a tick came to, to be carried out."""

    datagrams: list[Datagram]
    events: list[api.Event]  # for the decision module
    left: api.ZoneExit | None  # among them, if it is another than before
    changes: list[Change]  # for the log


class Agent:
    """One router's part in the fleet."""

    def __init__(self, part: Part, now: float, wall: float, seed: int) -> None:
        """`wall` is the Unix time in seconds. Raises ValueError for a part that can't be used."""
        self.part = part
        self.gossip = Gossip(
            part.name,
            part.members,
            part.zone,
            part.key,
            now,
            wall,
            seed,
            part.interval,
            part.budget,
            part.also,
        )
        self.zones = Zones(
            *(part.name, part.zone, now, part.spill, part.leave_origin, part.tiers),
            *(part.paced, part.origin_rate),
        )
        self.given = self.zones.given
        self.preferred: dict[str, float] = {}
        self.stalls = 0

    def change(self, part: Part) -> None:
        """Take other settings, keys or members; what is known of those that stay, stays.

        Raises:
            ValueError: it is another router's part, or can't be used; nothing is taken.
        """
        if (part.name, part.zone) != (self.part.name, self.part.zone):
            raise ValueError("name and zone can't be others while a router runs")
        self.gossip.change(part.members, part.key, part.also, part.interval, part.budget)
        zones = self.zones
        zones.spill, zones.leave_origin, zones.tiers = part.spill, part.leave_origin, part.tiers
        zones.paced, zones.returns.origin_rate = part.paced, part.origin_rate
        self.part = part

    def servers_listed(self, zones: Mapping[str, int]) -> None:
        """How many cache servers a list names in each zone."""
        self.zones.zones(zones)

    def _preferred(self) -> dict[str, float]:
        """How gladly each zone is asked, of those that count less than the own one."""
        tiers, home = self.part.tiers, self.part.zone
        each = {zone: tiers.weight(home, zone) for zone in self.zones.sizes}
        return {zone: weight for zone, weight in each.items() if weight != 1.0}

    def attempt_ended(
        self,
        now: float,
        zone: str,
        origin: bool,
        reach: api.Reachability,
        pressed: bool = False,
        missed: bool = False,
    ) -> None:
        """An attempt has ended (`api.ReachabilityObserver`)."""
        if self.zones.ended(now, ORIGIN if origin else zone, reach, pressed, missed):
            self.gossip.stir(now)

    def receive(self, data: bytes, now: float, wall: float) -> None:
        """A datagram has come. Raises Dropped."""
        for record in self.gossip.receive(data, now, wall):
            if self.zones.hear(now, record):
                self.gossip.stir(now)

    def tick(self, now: float, wall: float) -> Done:
        """What is due: to be called every PACE seconds, whatever else happens."""
        gossip, zones = self.gossip, self.zones
        datagrams = gossip.tick(now, wall, lambda: zones.said(now))
        if gossip.stalls != self.stalls:
            self.stalls = gossip.stalls
            zones.stood_still(now)
        members = gossip.present(now)
        changed = zones.tick(now, gossip.records(now), members, gossip.believes and members.total() > 1)
        if changed or zones.returning:
            gossip.stir(now)
        events: list[api.Event] = []
        left = zones.given if zones.given != self.given else None
        self.given = zones.given
        if left is not None:
            events.append(left)
        if (preferred := self._preferred()) != self.preferred:
            self.preferred = preferred
            events.append(api.ZonePreferences(preferred))
        changes, zones.changes = zones.changes, []
        return Done(datagrams, events, left, changes)

    def order(self, now: float, zone: str, order: Order, seconds: float) -> None:
        """An operator's word for the whole fleet. Raises ZonesError."""
        self.zones.order(now, zone, order, seconds)
        self.gossip.stir(now)

    def status(self, now: float) -> dict[str, Any]:
        """Members and zones as seen from here; JSON-able. Times in seconds."""
        gossip, zones = self.gossip, self.zones
        names = {ident(name): name for name in self.part.members}
        members = [
            {
                "name": m.name,
                "state": gossip.state(m, now).value,
                "zone": zones.names.get(m.record.zone, "") if m.record is not None else "",
                "age_s": round(now - m.record.made_at, 1) if m.record is not None else None,
                "starts_heard": m.starts,
            }
            for m in gossip.members.values()
        ]
        seen = []
        for name, (word, total, standing, since) in zones.look(now).items():
            left = zones.registers.get((ALL, ident(name, 2)))
            seen.append(
                {
                    "zone": "the origin" if name == ORIGIN else name,
                    "looks": word.value,
                    "weight": self.preferred.get(name, 1.0),
                    "heard": total.heard,
                    "refused": total.refused,
                    "silent": total.silent,
                    "seen_by": total.witnesses,
                    "order": standing.order.name.lower(),
                    "epoch": standing.epoch,
                    "since_s": round(since, 1) if since < math.inf else None,
                    "by": names.get(standing.by, ""),
                    "left_s": round(left.until - now, 1) if left and left.until < math.inf else None,
                    "left": zones.given.origin_unreachable if name == ORIGIN else name in zones.given.zones,
                    "alone": ident(name, 2) in zones.alone,
                    "share": round(zones.given.return_shares[name], 3)
                    if name in zones.given.return_shares
                    else None,
                    "waits": zones.returns.waits.get(ident(name, 2), ""),
                }
            )
        return {
            "name": self.part.name,
            "zone": self.part.zone,
            "believes": gossip.believes,
            "members": members,
            "zones": seen,
            "stalls": gossip.stalls,
            "sent": gossip.sent,
            "bytes_sent": gossip.bytes_sent,
            "dropped": dict(gossip.dropped),
        }
