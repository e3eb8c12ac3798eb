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
from myrtlecourse.zones.core import ORIGIN, StateChange, ZoneCoordinator
from myrtlecourse.zones.exit_rule import ALL_ROUTERS, ZoneMode
from myrtlecourse.zones.tiers import Tiers


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """What an installation gives one router to take part with."""

    name: str
    members: tuple[str, ...]  # the router's own name among them
    zone: str
    key: bytes
    spill: float = 3.0
    leave_origin: bool = False
    interval: float = 1.0  # seconds between words when all is calm
    budget: float = 16_384.0  # bytes a second
    accepted_keys: tuple[bytes, ...] = ()  # keys that are taken, while the others go from one to the next
    tiers: Tiers = Tiers()
    paced: bool = True  # zones that are back are returned to by steps
    origin_rate: float = 0.0  # fetches a second that the origin bears of all routers; 0: nobody knows


@dataclass(slots=True, frozen=True)
class TickResult:
    """What a tick came to, to be carried out."""

    datagrams: list[Datagram]
    events: list[api.Event]  # for the decision module
    zones_left: api.ZonesLeft | None  # among them, if it is another than before
    changes: list[StateChange]  # for the log


class Agent:
    """One router's part in the fleet."""

    def __init__(self, part: AgentSettings, now: float, wall: float, seed: int) -> None:
        """`wall` is the Unix time in seconds. Raises ValueError for a part that can't be used."""
        self.settings = part
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
            part.accepted_keys,
        )
        self.zones = ZoneCoordinator(
            *(part.name, part.zone, now, part.spill, part.leave_origin, part.tiers),
            *(part.paced, part.origin_rate),
        )
        self.last_order = self.zones.current_order
        self.zone_weights: dict[str, float] = {}
        self.stalls = 0

    def reconfigure(self, part: AgentSettings) -> None:
        """Take other settings, keys or members; what is known of those that stay, stays.

        Raises:
            ValueError: it is another router's part, or can't be used; nothing is taken.
        """
        if (part.name, part.zone) != (self.settings.name, self.settings.zone):
            raise ValueError("name and zone can't be others while a router runs")
        self.gossip.reconfigure(part.members, part.key, part.accepted_keys, part.interval, part.budget)
        zones = self.zones
        zones.spill, zones.leave_origin, zones.tiers = part.spill, part.leave_origin, part.tiers
        zones.paced, zones.returns.origin_rate = part.paced, part.origin_rate
        self.settings = part

    def listed(self, zones: Mapping[str, int]) -> None:
        """How many cache servers a list names in each zone."""
        self.zones.set_zone_sizes(zones)

    def _compute_weights(self) -> dict[str, float]:
        """How gladly each zone is asked, of those that count less than the own one."""
        tiers, home = self.settings.tiers, self.settings.zone
        each = {zone: tiers.weight(home, zone) for zone in self.zones.sizes}
        return {zone: weight for zone, weight in each.items() if weight != 1.0}

    def ended(
        self,
        now: float,
        zone: str,
        origin: bool,
        reach: api.Reach,
        pressed: bool = False,
        missed: bool = False,
    ) -> None:
        """An attempt has ended (`api.Watch`)."""
        if self.zones.attempt_ended(now, ORIGIN if origin else zone, reach, pressed, missed):
            self.gossip.spread_urgently(now)

    def receive(self, data: bytes, now: float, wall: float) -> None:
        """A datagram has come. Raises Dropped."""
        for record in self.gossip.receive(data, now, wall):
            if self.zones.receive_record(now, record):
                self.gossip.spread_urgently(now)

    def tick(self, now: float, wall: float) -> TickResult:
        """What is due: to be called every PACE seconds, whatever else happens."""
        gossip, zones = self.gossip, self.zones
        datagrams = gossip.tick(now, wall, lambda: zones.payload(now))
        if gossip.stalls != self.stalls:
            self.stalls = gossip.stalls
            zones.process_stalled(now)
        members = gossip.member_counts(now)
        changed = zones.tick(now, gossip.records(now), members, gossip.peers_heard and members.total() > 1)
        if changed or zones.returning:
            gossip.spread_urgently(now)
        events: list[api.Event] = []
        left = zones.current_order if zones.current_order != self.last_order else None
        self.last_order = zones.current_order
        if left is not None:
            events.append(left)
        if (preferred := self._compute_weights()) != self.zone_weights:
            self.zone_weights = preferred
            events.append(api.Preferred(preferred))
        changes, zones.changes = zones.changes, []
        return TickResult(datagrams, events, left, changes)

    def order_zone(self, now: float, zone: str, order: ZoneMode, seconds: float) -> None:
        """An operator's word for the whole fleet. Raises ZonesError."""
        self.zones.order_zone(now, zone, order, seconds)
        self.gossip.spread_urgently(now)

    def status(self, now: float) -> dict[str, Any]:
        """Members and zones as seen from here; JSON-able. Times in seconds."""
        gossip, zones = self.gossip, self.zones
        names = {ident(name): name for name in self.settings.members}
        members = [
            {
                "name": m.name,
                "state": gossip.state(m, now).value,
                "zone": zones.names.get(m.record.zone, "") if m.record is not None else "",
                "age_s": round(now - m.record.made_at, 1) if m.record is not None else None,
                "starts_heard": m.processes_heard,
            }
            for m in gossip.members.values()
        ]
        seen = []
        for name, (word, total, standing, since) in zones.summaries(now).items():
            left = zones.registers.get((ALL_ROUTERS, ident(name, 2)))
            seen.append(
                {
                    "zone": "the origin" if name == ORIGIN else name,
                    "looks": word.value,
                    "weight": self.zone_weights.get(name, 1.0),
                    "heard": total.answered,
                    "refused": total.refused,
                    "silent": total.silent,
                    "seen_by": total.witnesses,
                    "order": standing.mode.name.lower(),
                    "epoch": standing.epoch,
                    "since_s": round(since, 1) if since < math.inf else None,
                    "by": names.get(standing.ordered_by, ""),
                    "left_s": round(left.order_ends - now, 1)
                    if left and left.order_ends < math.inf
                    else None,
                    "left": zones.current_order.origin
                    if name == ORIGIN
                    else name in zones.current_order.zones,
                    "alone": ident(name, 2) in zones.isolated_from,
                    "share": round(zones.current_order.shares[name], 3)
                    if name in zones.current_order.shares
                    else None,
                    "waits": zones.returns.blocked_by.get(ident(name, 2), ""),
                }
            )
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "believes": gossip.peers_heard,
            "members": members,
            "zones": seen,
            "stalls": gossip.stalls,
            "sent": gossip.sent,
            "bytes_sent": gossip.bytes_sent,
            "dropped": dict(gossip.dropped),
        }
