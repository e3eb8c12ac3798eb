"""The parts of a scenario's fleet and the changes of the list that follow a fault; no I/O.

The stand-in fleet on sockets and the simulator both use it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from myrtlecourse.fleet.faults import Step, zone_of
from myrtlecourse.fleet.registry import Entry
from myrtlecourse.fleet.scenario import RequestClass, Scenario
from myrtlecourse.fleet.server_models import CacheServerModel, RandomDraws, WriteReceipts

ORIGIN = "origin"


class Layout:
    """Names, zones and cells, the list at the start, and the settings of the routers."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.kinds = scenario.cache_servers()
        self.routers = [f"router-{i}" for i in range(scenario.routers)]
        self.zones = {name: zone_of(scenario, i) for i, name in enumerate(self.kinds)}
        self.cells = {name: i // scenario.cell for i, name in enumerate(self.kinds)}
        self.draws = RandomDraws(scenario.seed)
        self.receipts: dict[str, WriteReceipts] = {}
        self.entries = {e.name: e for e in self._entries()}

    def _entries(self) -> list[Entry]:
        entries = []
        for name, kind in self.kinds.items():
            weight = kind.cores * kind.speed if kind.weight is None else kind.weight
            entries.append(Entry(name, self.zones[name], kind.name, self.cells[name], weight))
        if self.scenario.origin is not None:
            entries.append(Entry(ORIGIN, self.scenario.zones[0], ORIGIN, -1, 1.0))
        return entries

    def group(self, name: str, kind: RequestClass) -> str:
        """Return the name of the group of servers that recognise each other's repeats of a class."""
        return {"all": "all", "zone": f"zone {self.zones[name]}"}.get(kind.group, f"cell {self.cells[name]}")

    def server_model(self, name: str) -> CacheServerModel:
        """Return the model of a cache server as it is at the start."""

        def receipts(kind: RequestClass) -> WriteReceipts:
            return self.receipts.setdefault(self.group(name, kind), WriteReceipts())

        scenario, cache_aside = self.scenario, self.scenario.origin is not None
        return CacheServerModel(name, self.kinds[name], scenario.rules, self.draws, receipts, cache_aside)

    def delays_from(self, zone: str) -> dict[str, float]:
        """Return the one-way delay from each router to a zone, in seconds."""
        return {
            router: 0.0 if zone_of(self.scenario, i) == zone else self.scenario.delay
            for i, router in enumerate(self.routers)
        }

    def list_change(
        self, step: Step, now: float, started_at: float, listed: bool
    ) -> tuple[float, Entry] | None:
        """Return when and how a step changes the list, or None; `listed` says if the server is listed now."""
        if step.target == ORIGIN:
            return None  # the origin stays in the list
        discovery, entry = self.scenario.discovery, replace(self.entries[step.target], since=started_at)
        match step.action:
            case "drain":
                return now, replace(entry, status="terminating")
            case "end":
                return now, replace(entry, status="terminated")
            case "crash" if step.duration > discovery.notice:
                return now + discovery.notice, replace(entry, status="terminated")
            case "cut" if step.duration > discovery.silent_notice:
                return now + discovery.silent_notice, replace(entry, status="terminated")
            case "join" if not listed:
                return now + discovery.added, entry
        return None

    def list_addition(self, name: str, started_at: float) -> tuple[float, Entry]:
        """Return when a server that has started is listed, and its entry."""
        return started_at + self.scenario.discovery.added, replace(self.entries[name], since=started_at)

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of a router, in the form of the configuration file."""
        scenario = self.scenario
        kinds = [k.name for k in scenario.kinds] + ([ORIGIN] if scenario.origin else [])
        classes = [
            {
                "name": c.name,
                "aim": c.aim,
                "giveUp": c.deadline,
                "effect": c.effect,
                "group": c.group,
                "value": c.worth,
                "repeatWindow": c.window,
            }
            for c in scenario.classes
        ]
        rules = scenario.rules
        peer_limits = {"peers": True} if scenario.peers is not None else {}
        return {
            "classes": classes,
            "familyInfo": {"mode": "aside", "originKind": len(kinds) - 1} if scenario.origin else {},
            "limits": {
                "connIdle": min(k.idle for k in scenario.kinds),
                "dialTimeout": 0.25,
                "maxRetryAfter": 2.0,
                "mayCancel": True,
                "mostTries": 6,
                "secondCopies": True,
            }
            | peer_limits,
            "me": number,
            "siblings": scenario.routers,
            "membershipMode": "subscribe",
            "skus": kinds,
            "weights": "nominal",
            "zone": zone_of(scenario, number),
            "areas": list(scenario.zones),
            "rules": {
                "answerSlack": max(0.0, rules.answer_slack - 0.05),
                "coldFrom": min(k.cold for k in scenario.kinds),
                "rampTime": max(k.warm_up for k in scenario.kinds),
                "fallMultiple": rules.fall_multiple,
                "overloadFor": rules.fall_window,
                "stopSendingWithin": rules.drain_grace,
                "mustAskIn": rules.must_ask,
            },
        }
