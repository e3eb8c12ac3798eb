"""How a fleet returns to a zone that is back: by the fleet's pace, by today's ways and by fixed ramps.

A zone is lost for some seconds and comes back with what it kept (`warm`, it was silent) or empty and slow
(`cold`, its processes ended); `again` dies once more in the middle of its return, `stalled`, `killed` and
`split` hit routers then. Each case is played on one seed by each way, in virtual time: routers that share
nothing (`alone`), that leave and return at once (`at once`), by the fleet's pace without knowing what the
origin bears (`pace`) and knowing it (`rate`), by a pace that one router leads as its duty (`duty`), and, with
`--ramps`, by fixed ramps of so many seconds. Prints the share of requests in time in the ten seconds after
the return and in its worst second, the most work that came to the zone in half a second over what its boxes
can do then, the most fetches in a second over what the origin bears, how many it turned away, and when the
zone got its usual share of all again.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from bench.led_return import Led
from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.box import Box, Request
from myrtlecourse.fleet.layout import ORIGIN
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from myrtlecourse.zones import pace
from myrtlecourse.zones.verdict import WHOLE

ZONES = ("north", "south", "west")
LOST = "south"
AT, LASTS, SECONDS = 24.0, 8.0, 56.0
BACK = AT + LASTS
AIM = 0.6
SLOTS, FETCH = 5, 0.05  # of the origin
BEARS = SLOTS / FETCH  # fetches a second
CASES = ("cold", "warm", "again", "stalled", "killed", "split")
WAYS = ("alone", "at once", "pace", "rate", "duty")
HALF = 0.5  # seconds


def faults(case: str, routers: int) -> list[dict[str, Any]]:
    """What happens."""
    gone = {"what": "silence" if case == "warm" else "crash", "zone": LOST, "at": AT, "seconds": LASTS}
    middle = BACK + 3.0
    match case:
        case "again":
            return [gone, {"what": "crash", "zone": LOST, "at": middle, "seconds": 3.0}]
        case "stalled":
            return [gone, *({"what": "stall", "router": n, "at": middle, "seconds": 5.0} for n in (0, 1))]
        case "killed":
            some = range(0, routers, 3)
            return [gone, *({"what": "restart", "router": n, "at": middle, "kill": True} for n in some)]
        case "split":
            half = list(range(0, routers, 2))
            return [gone, {"what": "split", "routers": half, "at": middle - 2.0, "seconds": 8.0}]
    return [gone]


def scenario(routers: int, case: str, way: str) -> Scenario:
    """The fleet, and what happens to it."""
    plain: dict[str, Any] = {
        "seconds": SECONDS,
        "routers": routers,
        "zones": ZONES,
        "delay": 0.002,
        "kinds": [{"name": "std", "boxes": 12, "cores": 4, "queue": 200, "cold": 0.3, "warm_up": 5}],
        "origin": {"slots": SLOTS, "time": FETCH, "queue": 20},
        "discovery": {"notice": 60.0, "silent_notice": 60.0, "added": 1.0},
        "classes": [
            {"name": "read", "work": 0.04, "aim": AIM, "deadline": 2.0, "worth": 3},
            {"name": "book", "work": 0.04, "aim": AIM, "deadline": 2.0, "effect": "guarded", "worth": 9},
        ],
        "faults": faults(case, routers),
    }
    if way != "alone":
        plain["peers"] = {"loss": 0.01, "spread": 0.002, "paced": way != "at once"}
        if way in ("rate", "duty"):
            plain["peers"]["origin_rate"] = BEARS
    return msgspec.convert(plain, Scenario)


def profile(rate: float) -> Profile:
    """Reads of more keys than are asked for in a second, and a few bookings."""
    plain = {
        "pieces": [{"seconds": SECONDS - 1.0, "rate": rate}],
        "classes": [
            {"name": "read", "share": 97, "aim": AIM, "deadline": 2.0},
            {"name": "book", "share": 3, "aim": AIM, "deadline": 2.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 1500, "zipf": 0.8},
        "clients": {"retries": 1, "backoff": 0.3},
    }
    return msgspec.convert(plain, Profile)


class Sums:
    """What clients, boxes and the origin saw."""

    def __init__(self, world: FleetSimulation) -> None:
        self.world = world
        self.began = world.core.now
        self.asked: dict[str, float] = {}
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.work: deque[tuple[float, float]] = deque()  # that came to the zone lately, and
        self.sum = 0.0
        self.most_work = 0.0  # over what it can do
        self.fetches: deque[float] = deque()
        self.most_fetches = 0
        self.turned_away = 0
        self.sent: dict[int, Counter[str]] = defaultdict(Counter)  # by second: which zone
        self.zone = [n.model for n in world.nodes.values() if world.layout.zones.get(n.name) == LOST]
        for node in world.nodes.values():
            if node.model in self.zone:
                self._watch_box(node.model)
            elif node.name == ORIGIN:
                self._watch_origin(node.model)

    def at(self) -> float:
        """Seconds since the begin."""
        return self.world.core.now - self.began

    def _watch_box(self, box: Any) -> None:
        arrive: Callable[[float, Request], Any] = box.arrive

        def watched(now: float, request: Request) -> Any:
            work = box.draw.work(request)
            self.work.append((now, work))
            self.sum += work
            while self.work[0][0] < now - HALF:
                self.sum -= self.work.popleft()[1]
            if self.at() > BACK:
                able = sum(
                    b.kind.cores * b.kind.speed * b.station.pace.share(now) * HALF
                    for b in self.zone
                    if isinstance(b, Box)
                )
                self.most_work = max(self.most_work, self.sum / able)
            return arrive(now, request)

        box.arrive = watched

    def _watch_origin(self, store: Any) -> None:
        arrive: Callable[[float, Request], Any] = store.arrive

        def watched(now: float, request: Request) -> Any:
            self.fetches.append(now)
            while self.fetches[0] < now - 1.0:
                self.fetches.popleft()
            taken = arrive(now, request)
            self.seconds[int(self.at())]["fetches"] += 1
            if self.at() > BACK:
                self.most_fetches = max(self.most_fetches, len(self.fetches))
                self.turned_away += taken is None
            return taken

        store.arrive = watched

    def take(self, what: seen.Observation) -> None:
        """One observation, in the order of their times."""
        match what:
            case seen.RequestSent():
                first = what.id.rpartition("-")[0]
                if first not in self.asked:
                    self.asked[first] = what.at - self.began
                    self.seconds[int(what.at - self.began)]["asked"] += 1
            case seen.RequestAnswered():
                at = self.asked.get(what.id.rpartition("-")[0])
                if at is not None and what.how == "served" and what.at - self.began - at <= AIM:
                    self.seconds[int(at)]["in_time"] += 1
            case seen.AttemptReceived() if what.box in self.world.layout.zones:
                self.sent[int(what.at - self.began)][self.world.layout.zones[what.box]] += 1

    def share(self, first: float, last: float) -> float:
        """In time, of what was asked in some seconds."""
        each = [self.seconds[s] for s in range(int(first), int(last))]
        return sum(c["in_time"] for c in each) / max(1, sum(c["asked"] for c in each))

    def of_zone(self, second: int) -> float:
        """The share of all sends that went to the zone."""
        sent = self.sent[second]
        return sent[LOST] / max(1, sent.total())


def ramp(seconds: float) -> Callable[[int, float, pace.View, float], int]:
    """A fixed one in place of the fleet's pace: all is back after so many seconds, whatever is seen."""

    def step(share: int, age: float, view: pace.View, origin_rate: float) -> int:
        return min(WHOLE, share + math.floor(WHOLE * age / seconds)) if age >= seconds / 16 else share

    return step


def play(routers: int, case: str, way: str, rate: float, seed: int) -> dict[str, Any]:
    """Play a case by one way."""
    usual = pace.step
    if way.startswith("ramp"):
        pace.step = ramp(float(way.split()[1]))
    try:
        world = FleetSimulation(scenario(routers, case, way), profile(rate), seed)
        sums = Sums(world)
        take = world.auditor.judge

        def observe(what: seen.Observation) -> None:
            sums.take(what)
            take(what)

        for node in world.nodes.values():
            node.observe = observe
        world.clients.observe = observe
        with Led(world) if way == "duty" else nullcontext():
            result = world.run()
    finally:
        pace.step = usual
    # where a zone dies again, only the last return is told
    last = BACK + (6.0 if case == "again" else 0.0)
    usually = float(np.mean([sums.of_zone(s) for s in range(int(AT) - 4, int(AT))]))
    back = next((s for s in range(int(last), int(SECONDS) - 1) if sums.of_zone(s) >= 0.9 * usually), None)
    figures = {
        "in_time": sums.share(last, last + 10),
        "worst_second": min(sums.share(s, s + 1) for s in range(int(last), int(last) + 10)),
        "work": sums.most_work,
        "fetches": sums.most_fetches / BEARS,
        "turned_away": sums.turned_away,
        "back_s": back - last if back is not None else None,
        "by_second": [sums.share(s, s + 1) for s in range(int(SECONDS) - 1)],
        "fetched": [sums.seconds[s]["fetches"] for s in range(int(SECONDS) - 1)],
        "of_zone": [sums.of_zone(s) for s in range(int(SECONDS) - 1)],
        "breaches": {k: v for k, v in result.verdict["breaches"].items() if v},
    }
    meeting = world.routers[0].peer_network
    if meeting is not None:
        figures["bytes_a_second"] = meeting.bytes / routers / SECONDS
    return figures


def shown(figures: dict[str, Any]) -> str:
    """One line of the table."""
    back = f"{figures['back_s']:5.0f}" if figures["back_s"] is not None else "    -"
    bad = " ".join(f"{k}={v}" for k, v in figures["breaches"].items()) or "-"
    cost = figures.get("bytes_a_second", 0)
    return (
        f"{figures['in_time']:7.3f} {figures['worst_second']:6.3f} {figures['work']:6.2f} "
        f"{figures['fetches']:7.2f} {figures['turned_away']:6} {back} {cost:6.0f} {bad}"
    )


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    """The zone's share of all sends and the share in time, second by second, for the largest fleet."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    most = max(row["routers"] for row in rows)
    cases = [c for c in ("cold", "warm") if any(row["case"] == c for row in rows)]
    figure = Figure(figsize=(10, 3.2 * len(cases)), layout="constrained")
    for line, case in zip(figure.subplots(len(cases), 2, squeeze=False), cases, strict=True):
        for row in rows:
            if row["case"] == case and row["routers"] == most and not row["way"].startswith("ramp"):
                for axes, what in zip(line, ("of_zone", "by_second"), strict=True):
                    axes.step(range(len(row[what])), row[what], where="post", label=row["way"])
        line[0].set(title=f"{most} routers, {case}: share of sends to the zone", xlim=(AT - 2, BACK + 16))
        line[1].set(title="share of requests in time", xlim=(AT - 2, BACK + 16))
        line[0].legend()
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[6, 24, 60])
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    parser.add_argument("--ways", nargs="+", default=list(WAYS))
    parser.add_argument("--ramps", type=float, nargs="*", default=[], help="seconds of fixed ramps")
    parser.add_argument("--rate", type=float, default=600.0, help="requests a second of all clients (600)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="write the figures there")
    parser.add_argument("--picture", type=Path)
    options = parser.parse_args()
    rows = []
    head = "in time  worst   work fetches turned  back  B/s/r broken"
    print(f"{'case':8} {'routers':>7} {'way':9} {head}")
    for case in options.cases:
        for routers in options.routers:
            for way in (*options.ways, *(f"ramp {seconds:g}" for seconds in options.ramps)):
                if case == "split" and way == "alone":
                    continue  # nothing to split
                figures = play(routers, case, way, options.rate, options.seed)
                rows.append({"case": case, "routers": routers, "way": way, **figures})
                print(f"{case:8} {routers:7} {way:9} {shown(figures)}", flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1))
    if options.picture is not None:
        draw(rows, options.picture)
    return 0


if __name__ == "__main__":
    sys.exit(main())
