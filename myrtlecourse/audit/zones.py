"""Whether routers left zones as they should: rules on what was sent while a zone could be reached or could
not.

Told what a scenario did to boxes and what came to them, like the rest of the auditor; a rule is judged only
where its figure is set. What routers say of themselves is not asked.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen

DOWN = ("crash", "cut", "end", "freeze", "refuse")  # what the scenario does to a box, and
UP = ("start", "join", "thaw", "accept", "bounce")  # what ends it
WATCHED = 4.0  # seconds in which a router's sends are looked at
WELL = 20.0  # seconds after a zone's last trouble: a flapping one is rightly left for longer
LEARNT = 5.0  # seconds that a fleet may take to leave a zone
BEFORE = 3.0  # seconds that tell what survivors were sent
CHANCE = 1.3  # times what is allowed in one second, and
SLACK = 20  # requests more: arrivals come by chance

Breach = Callable[[str, float, str, str, str], None]  # what, when, router, box, detail


class ZoneRules:
    """Judges observations as they come."""

    def __init__(self, enough: float, dials: float, spill: float, breach: Breach) -> None:
        """`enough` sends of a router would by chance have met each zone. `dials` a second are what the fleet
        may try at a dark zone, `spill` times what they had is what survivors may be sent; 0 where that is not
        judged."""
        self.enough = enough
        self.dials = dials
        self.spill = spill
        self.breach = breach
        self.zones: dict[str, str] = {}
        self.down: dict[str, set[str]] = {}  # by box: what of the scenario keeps it from all
        self.parted: Counter[tuple[str, str]] = Counter()  # by router and box
        self.trouble: dict[str, float] = {}  # by zone: since when it is dark, or when it last was
        self.sent: dict[str, deque[tuple[float, str]]] = {}  # by router: when, which zone
        self.each: deque[tuple[float, str]] = deque()  # of all routers
        self.tried: deque[float] = deque()  # dials at what is dark, long after it became so
        self.usual: dict[str, float] = {}  # by dark zone: sends a second to the others before
        self.judged: set[tuple[str, str, str, int]] = set()
        self.margins: dict[str, float] = {}

    def judge(self, what: seen.Observation) -> None:
        """One observation, in the order of their times."""
        match what:
            case seen.ServerZone():
                self.zones[what.box] = what.zone
            case seen.ScenarioStep() if what.box in self.zones:
                self._happened(what)
            case seen.AttemptReceived() if what.box in self.zones:
                self._sent(what)
            case seen.UnreachableDial() if what.box in self.zones:
                self._dialled(what)
            case seen.RouterUp() | seen.RouterStalled():
                self.sent.pop(what.router, None)

    def _happened(self, what: seen.ScenarioStep) -> None:
        zone = self.zones[what.box]
        was_dark = self._dark(zone)
        for router in what.routers:
            self.parted[router, what.box] += {"part": 1, "mend": -1}.get(what.what, 0)
        if what.what in DOWN:
            self.down.setdefault(what.box, set()).add(what.what)
        elif what.what in UP:
            self.down.pop(what.box, None)
        if self._dark(zone) and not was_dark:
            others = sum(at > what.at - BEFORE and z != zone for at, z in self.each)
            self.usual[zone] = others / BEFORE
        elif was_dark and not self._dark(zone):
            self.usual.pop(zone, None)
        if not (was_dark and self._dark(zone)):
            self.trouble[zone] = what.at

    def _dark(self, zone: str) -> bool:
        """Whether none of its boxes can be reached by anybody."""
        return all(self.down.get(box) for box, z in self.zones.items() if z == zone)

    def _sent(self, what: seen.AttemptReceived) -> None:
        zone = self.zones[what.box]
        own = self.sent.setdefault(what.router, deque())
        own.append((what.at, zone))
        self.each.append((what.at, zone))
        while own[0][0] < what.at - WATCHED:
            own.popleft()
        while self.each[0][0] < what.at - BEFORE:
            self.each.popleft()
        self._judge_alone(what, own)
        if self.spill:
            self._judge_spill(what.at)

    def _judge_alone(self, what: seen.AttemptReceived, own: deque[tuple[float, str]]) -> None:
        """A router that sends nothing to a zone that it, and all others, can reach."""
        if len(own) < self.enough or own[-1][0] - own[0][0] < 0.9 * WATCHED:
            return
        met = {zone for _, zone in own}
        for zone in set(self.zones.values()) - met:
            well = what.at - self.trouble.get(zone, -math.inf) > WELL
            parted = any(self.parted[what.router, box] for box, z in self.zones.items() if z == zone)
            if well and not parted and not self._dark(zone):
                detail = f"none of its last {len(own)} sends went to {zone}, which all can reach"
                self._once("left_alone", what.at, what.router, zone, detail)

    def _judge_spill(self, now: float) -> None:
        """What goes to the survivors of a dark zone, in the last second."""
        for zone, usual in self.usual.items():
            if now < self.trouble[zone] + LEARNT:
                continue
            sent = sum(at > now - 1.0 and z != zone for at, z in self.each)
            allowed = self.spill * usual * CHANCE + SLACK
            self.margins["spilled"] = max(self.margins.get("spilled", 0.0), min(1.0, sent / allowed))
            if sent > allowed:
                detail = f"{sent} sends in a second to what is left, {usual:.0f} before {zone} was lost"
                self._once("spilled", now, "", zone, detail)

    def _dialled(self, what: seen.UnreachableDial) -> None:
        zone = self.zones[what.box]
        if not self.dials or not self._dark(zone) or what.at < self.trouble[zone] + LEARNT:
            return
        self.tried.append(what.at)
        while self.tried[0] < what.at - 1.0:
            self.tried.popleft()
        self.margins["stayed"] = max(self.margins.get("stayed", 0.0), min(1.0, len(self.tried) / self.dials))
        if len(self.tried) > self.dials:
            detail = f"{len(self.tried)} attempts in a second at {zone}, long dark"
            self._once("stayed", what.at, what.router, zone, detail)

    def _once(self, rule: str, at: float, router: str, zone: str, detail: str) -> None:
        """One breach for each trouble of a zone, not one for each send."""
        key = rule, router if rule == "left_alone" else "", zone, int(self.trouble.get(zone, 0.0))
        if key not in self.judged:
            self.judged.add(key)
            self.breach(rule, at, router, zone, detail)
