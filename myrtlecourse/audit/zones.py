"""Rules that routers exclude an unreachable zone together, and never exclude a reachable one.

The rules use the steps of the scenario and what cache servers received, not what routers report of
themselves. Each rule is judged only if its limit is configured.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

DOWN_STEPS = ("crash", "cut", "end", "freeze", "refuse")  # steps of a scenario that make a server unreachable
UP_STEPS = ("start", "join", "thaw", "accept", "bounce")  # steps that make it reachable again
SEND_WINDOW = 4.0  # seconds over which a router's latest attempts are examined
HEALTHY_AFTER = 20.0  # seconds since the zone's last fault: routers rightly avoid a flapping zone for longer
EXIT_TIME = 5.0  # seconds that the fleet may take to exclude an unreachable zone
BASELINE_WINDOW = 3.0  # seconds before the fault over which the usual load of the other zones is measured
# Arrivals are random, so that a second may exceed the allowed load by a factor and a number of requests.
ARRIVAL_FACTOR = 1.3
ARRIVAL_SLACK = 20

ReportBreach = Callable[[str, float, str, str, str], None]  # rule, time, router, zone, detail


class ZoneRules:
    """Judges observations against the rules on unreachable zones, one by one."""

    def __init__(
        self, min_sends: float, max_dials: float, max_spill: float, report_breach: ReportBreach
    ) -> None:
        """Create the rules; 0 for `max_dials` or `max_spill` turns that rule off.

        Args:
            min_sends: attempts of one router after which it would by chance have reached each zone.
            max_dials: attempts a second that the whole fleet may make at an unreachable zone.
            max_spill: factor by which the load of the surviving zones may grow.
            report_breach: called for each breach.
        """
        self.min_sends = min_sends
        self.max_dials = max_dials
        self.max_spill = max_spill
        self.report_breach = report_breach
        self.zones: dict[str, str] = {}  # the zone of each cache server
        self.down_by: dict[str, set[str]] = {}  # by cache server: the steps that make it unreachable for all
        # by router and cache server: the number of partitions between them
        self.partitions: Counter[tuple[str, str]] = Counter()
        self.last_fault: dict[str, float] = {}  # by zone: when it became unreachable, or the last step on it
        self.sent: dict[str, deque[tuple[float, str]]] = {}  # attempts by router: time and zone
        self.sent_by_all: deque[tuple[float, str]] = deque()  # attempts of all routers
        self.late_dials: deque[float] = deque()  # dials at unreachable zones after EXIT_TIME
        # by unreachable zone: attempts a second to the other zones before the fault
        self.usual_rate: dict[str, float] = {}
        self.reported: set[tuple[str, str, str, int]] = set()
        self.margins: dict[str, float] = {}

    def judge(self, event: seen.Observation) -> None:
        """Judge an observation; observations must come in the order of their times."""
        match event:
            case seen.ServerZone():
                self.zones[event.box] = event.zone
            case seen.ScenarioStep() if event.box in self.zones:
                self._scenario_step(event)
            case seen.AttemptReceived() if event.box in self.zones:
                self._attempt_received(event)
            case seen.UnreachableDial() if event.box in self.zones:
                self._unreachable_dial(event)
            case seen.RouterUp() | seen.RouterStalled():
                self.sent.pop(event.router, None)

    def _scenario_step(self, event: seen.ScenarioStep) -> None:
        zone = self.zones[event.box]
        was_unreachable = self._unreachable(zone)
        for router in event.routers:
            self.partitions[router, event.box] += {"part": 1, "mend": -1}.get(event.what, 0)
        if event.what in DOWN_STEPS:
            self.down_by.setdefault(event.box, set()).add(event.what)
        elif event.what in UP_STEPS:
            self.down_by.pop(event.box, None)
        if self._unreachable(zone) and not was_unreachable:
            others = sum(at > event.at - BASELINE_WINDOW and z != zone for at, z in self.sent_by_all)
            self.usual_rate[zone] = others / BASELINE_WINDOW
        elif was_unreachable and not self._unreachable(zone):
            self.usual_rate.pop(zone, None)
        if not (was_unreachable and self._unreachable(zone)):
            self.last_fault[zone] = event.at

    def _unreachable(self, zone: str) -> bool:
        """Return whether no router can reach any cache server of the zone."""
        return all(self.down_by.get(server) for server, z in self.zones.items() if z == zone)

    def _attempt_received(self, event: seen.AttemptReceived) -> None:
        zone = self.zones[event.box]
        recent = self.sent.setdefault(event.router, deque())
        recent.append((event.at, zone))
        self.sent_by_all.append((event.at, zone))
        while recent[0][0] < event.at - SEND_WINDOW:
            recent.popleft()
        while self.sent_by_all[0][0] < event.at - BASELINE_WINDOW:
            self.sent_by_all.popleft()
        self._judge_alone(event, recent)
        if self.max_spill:
            self._judge_spill(event.at)

    def _judge_alone(self, event: seen.AttemptReceived, recent: deque[tuple[float, str]]) -> None:
        """Judge whether a router sends nothing to a zone that all routers can reach."""
        if len(recent) < self.min_sends or recent[-1][0] - recent[0][0] < 0.9 * SEND_WINDOW:
            return
        reached = {zone for _, zone in recent}
        for zone in set(self.zones.values()) - reached:
            healthy = event.at - self.last_fault.get(zone, -math.inf) > HEALTHY_AFTER
            partitioned = any(
                self.partitions[event.router, server] for server, z in self.zones.items() if z == zone
            )
            if healthy and not partitioned and not self._unreachable(zone):
                detail = (
                    f"none of its last {len(recent)} attempts went to {zone}, which all routers can reach"
                )
                self._report_once("left_alone", event.at, event.router, zone, detail)

    def _judge_spill(self, now: float) -> None:
        """Judge the load on the surviving zones in the last second while a zone is unreachable."""
        for zone, usual_rate in self.usual_rate.items():
            if now < self.last_fault[zone] + EXIT_TIME:
                continue
            sent = sum(at > now - 1.0 and z != zone for at, z in self.sent_by_all)
            allowed = self.max_spill * usual_rate * ARRIVAL_FACTOR + ARRIVAL_SLACK
            self.margins["spilled"] = max(self.margins.get("spilled", 0.0), min(1.0, sent / allowed))
            if sent > allowed:
                detail = (
                    f"{sent} attempts in a second at other zones, {usual_rate:.0f} before {zone} was lost"
                )
                self._report_once("spilled", now, "", zone, detail)

    def _unreachable_dial(self, event: seen.UnreachableDial) -> None:
        zone = self.zones[event.box]
        if not self.max_dials or not self._unreachable(zone) or event.at < self.last_fault[zone] + EXIT_TIME:
            return
        self.late_dials.append(event.at)
        while self.late_dials[0] < event.at - 1.0:
            self.late_dials.popleft()
        self.margins["stayed"] = max(
            self.margins.get("stayed", 0.0), min(1.0, len(self.late_dials) / self.max_dials)
        )
        if len(self.late_dials) > self.max_dials:
            detail = f"{len(self.late_dials)} attempts in a second at {zone}, unreachable for long"
            self._report_once("stayed", event.at, event.router, zone, detail)

    def _report_once(self, rule: str, at: float, router: str, zone: str, detail: str) -> None:
        """Report one breach for each fault of a zone, not one for each attempt."""
        key = rule, router if rule == "left_alone" else "", zone, int(self.last_fault.get(zone, 0.0))
        if key not in self.reported:
            self.reported.add(key)
            self.report_breach(rule, at, router, zone, detail)
