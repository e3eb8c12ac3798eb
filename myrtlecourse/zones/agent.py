"""Combines one router's gossip with its part in excluding zones; no I/O and no clock.

Its host, on sockets or in virtual time, calls `tick` every `gossip.TICK_INTERVAL` seconds, passes on the
datagrams that arrive, and reports how attempts ended.
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
    """The settings of one router's agent."""

    name: str
    members: tuple[str, ...]  # names of all routers, its own included
    zone: str
    key: bytes
    spill: float = 3.0
    leave_origin: bool = False
    interval: float = 1.0  # seconds between datagrams when nothing changes
    budget: float = 16_384.0  # bytes sent a second
    accepted_keys: tuple[bytes, ...] = ()  # keys accepted besides, during a key rotation
    tiers: Tiers = Tiers()
    paced: bool = True  # the return to a zone goes in steps
    origin_rate: float = 0.0  # fetches a second the origin can take from all routers; 0: unknown


@dataclass(slots=True, frozen=True)
class TickResult:
    """What the host has to carry out after a tick."""

    datagrams: list[Datagram]
    events: list[api.Event]  # for the decision module
    zone_exit: api.ZoneExit | None  # the `ZoneExit` among the events, if it changed
    changes: list[StateChange]  # for the log


class Agent:
    """One router's member of the gossip group, with its part in excluding zones."""

    def __init__(self, settings: AgentSettings, now: float, wall: float, seed: int) -> None:
        """Start an agent; `wall` is the Unix time in seconds.

        Raises:
            ValueError: the members or a key can't be used.
        """
        self.settings = settings
        self.gossip = Gossip(
            settings.name,
            settings.members,
            settings.zone,
            settings.key,
            now,
            wall,
            seed,
            settings.interval,
            settings.budget,
            settings.accepted_keys,
        )
        self.zones = ZoneCoordinator(
            *(settings.name, settings.zone, now, settings.spill, settings.leave_origin, settings.tiers),
            *(settings.paced, settings.origin_rate),
        )
        self.last_order = self.zones.current_order
        self.zone_weights: dict[str, float] = {}
        self.stalls = 0

    def reconfigure(self, settings: AgentSettings) -> None:
        """Apply new settings, keys or members; keep what is known of members that stay.

        Raises:
            ValueError: the settings are another router's, or can't be used; nothing has changed then.
        """
        if (settings.name, settings.zone) != (self.settings.name, self.settings.zone):
            raise ValueError("name and zone can't change while a router runs")
        self.gossip.reconfigure(
            settings.members, settings.key, settings.accepted_keys, settings.interval, settings.budget
        )
        zones = self.zones
        zones.spill, zones.leave_origin, zones.tiers = settings.spill, settings.leave_origin, settings.tiers
        zones.paced, zones.returns.origin_rate = settings.paced, settings.origin_rate
        self.settings = settings

    def servers_listed(self, zones: Mapping[str, int]) -> None:
        """Set how many cache servers the list names in each zone (`api.ReachabilityObserver`)."""
        self.zones.set_zone_sizes(zones)

    def _compute_weights(self) -> dict[str, float]:
        """Return the weight of each zone whose weight is not 1."""
        tiers, home = self.settings.tiers, self.settings.zone
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
        """Count an attempt that has ended (`api.ReachabilityObserver`)."""
        if self.zones.attempt_ended(now, ORIGIN if origin else zone, reach, pressed, missed):
            self.gossip.spread_urgently(now)

    def receive(self, data: bytes, now: float, wall: float) -> None:
        """Process a datagram.

        Raises:
            Dropped: the datagram is not accepted.
        """
        for record in self.gossip.receive(data, now, wall):
            if self.zones.receive_record(now, record):
                self.gossip.spread_urgently(now)

    def tick(self, now: float, wall: float) -> TickResult:
        """Do what is due; to be called every `gossip.TICK_INTERVAL` seconds without exception."""
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
        zone_exit = zones.current_order if zones.current_order != self.last_order else None
        self.last_order = zones.current_order
        if zone_exit is not None:
            events.append(zone_exit)
        if (weights := self._compute_weights()) != self.zone_weights:
            self.zone_weights = weights
            events.append(api.ZonePreferences(weights))
        changes, zones.changes = zones.changes, []
        return TickResult(datagrams, events, zone_exit, changes)

    def order_zone(self, now: float, zone: str, mode: ZoneMode, seconds: float) -> None:
        """Carry out an operator's order for the whole fleet, for `seconds`.

        Raises:
            ZonesError: no zone has that name.
        """
        self.zones.order_zone(now, zone, mode, seconds)
        self.gossip.spread_urgently(now)

    def status(self, now: float) -> dict[str, Any]:
        """Return members and zones as this router sees them, JSON-serialisable; times are in seconds."""
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
        zone_rows = []
        for name, (health, evidence, state, since) in zones.summaries(now).items():
            ordered = zones.registers.get((ALL_ROUTERS, ident(name, 2)))
            zone_rows.append(
                {
                    "zone": "the origin" if name == ORIGIN else name,
                    "looks": health.value,
                    "weight": self.zone_weights.get(name, 1.0),
                    "heard": evidence.answered,
                    "refused": evidence.refused,
                    "silent": evidence.silent,
                    "seen_by": evidence.witnesses,
                    "order": state.mode.name.lower(),
                    "epoch": state.epoch,
                    "since_s": round(since, 1) if since < math.inf else None,
                    "by": names.get(state.ordered_by, ""),
                    "left_s": round(ordered.order_ends - now, 1)
                    if ordered and ordered.order_ends < math.inf
                    else None,
                    "left": zones.current_order.origin_unreachable
                    if name == ORIGIN
                    else name in zones.current_order.zones,
                    "alone": ident(name, 2) in zones.isolated_from,
                    "share": round(zones.current_order.return_shares[name], 3)
                    if name in zones.current_order.return_shares
                    else None,
                    "waits": zones.returns.blocked_by.get(ident(name, 2), ""),
                }
            )
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "believes": gossip.peers_heard,
            "members": members,
            "zones": zone_rows,
            "stalls": gossip.stalls,
            "sent": gossip.datagrams_sent,
            "bytes_sent": gossip.bytes_sent,
            "dropped": dict(gossip.dropped),
        }
