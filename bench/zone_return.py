"""How a fleet returns to a recovered zone: by its own pace, by simpler strategies and by fixed ramps.

A zone is lost for some seconds. It returns with its caches (`warm`: it was only silent) or empty and slow
(`cold`: its processes ended). In `again` it fails once more in the middle of the return; `stalled`, `killed`
and `split` affect routers at that moment. Each case is played in virtual time on one seed with each strategy:
routers without gossip (`alone`), all at once (`at once`), the fleet's pace without knowing the origin's
capacity (`pace`) and with it (`rate`), a pace that one router leads as its duty (`duty`), and with `--ramps`
fixed ramps of some seconds. It prints the share of requests answered in time in the ten seconds after the
return and in the worst second of these, the maximum work that reached the zone in half a second relative to
its capacity, the maximum of fetches per second relative to the origin's capacity, the number of fetches that
the origin refused, and when the zone had its usual share of the load again.
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

from bench.led_return import ReturnDuty
from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.layout import ORIGIN
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.server_models import CacheServerModel, Request
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from myrtlecourse.zones import pace
from myrtlecourse.zones.exit_rule import FULL_SHARE

ZONES = ("north", "south", "west")
LOST_ZONE = "south"
FAULT_AT, FAULT_SECONDS, RUN_SECONDS = 24.0, 8.0, 56.0
RETURN_AT = FAULT_AT + FAULT_SECONDS
AIM = 0.6
ORIGIN_SLOTS, FETCH_SECONDS = 5, 0.05  # fetches that the origin serves in parallel, and their duration
ORIGIN_RATE = ORIGIN_SLOTS / FETCH_SECONDS  # fetches per second
CASES = ("cold", "warm", "again", "stalled", "killed", "split")
STRATEGIES = ("alone", "at once", "pace", "rate", "duty")
WORK_WINDOW = 0.5  # seconds over which the work that reaches the zone is summed


def faults(case: str, routers: int) -> list[dict[str, Any]]:
    """Return the faults of a case."""
    outage = {
        "what": "silence" if case == "warm" else "crash",
        "zone": LOST_ZONE,
        "at": FAULT_AT,
        "seconds": FAULT_SECONDS,
    }
    middle = RETURN_AT + 3.0
    match case:
        case "again":
            return [outage, {"what": "crash", "zone": LOST_ZONE, "at": middle, "seconds": 3.0}]
        case "stalled":
            return [outage, *({"what": "stall", "router": n, "at": middle, "seconds": 5.0} for n in (0, 1))]
        case "killed":
            some = range(0, routers, 3)
            return [outage, *({"what": "restart", "router": n, "at": middle, "kill": True} for n in some)]
        case "split":
            half = list(range(0, routers, 2))
            return [outage, {"what": "split", "routers": half, "at": middle - 2.0, "seconds": 8.0}]
    return [outage]


def scenario(routers: int, case: str, strategy: str) -> Scenario:
    """Return the scenario of a case: the fleet and its faults."""
    fields: dict[str, Any] = {
        "seconds": RUN_SECONDS,
        "routers": routers,
        "zones": ZONES,
        "delay": 0.002,
        "kinds": [{"name": "std", "boxes": 12, "cores": 4, "queue": 200, "cold": 0.3, "warm_up": 5}],
        "origin": {"slots": ORIGIN_SLOTS, "time": FETCH_SECONDS, "queue": 20},
        "discovery": {"notice": 60.0, "silent_notice": 60.0, "added": 1.0},
        "classes": [
            {"name": "read", "work": 0.04, "aim": AIM, "deadline": 2.0, "worth": 3},
            {"name": "book", "work": 0.04, "aim": AIM, "deadline": 2.0, "effect": "guarded", "worth": 9},
        ],
        "faults": faults(case, routers),
    }
    if strategy != "alone":
        fields["peers"] = {"loss": 0.01, "spread": 0.002, "paced": strategy != "at once"}
        if strategy in ("rate", "duty"):
            fields["peers"]["origin_rate"] = ORIGIN_RATE
    return msgspec.convert(fields, Scenario)


def profile(rate: float) -> Profile:
    """Return a load of reads, on more keys than are requested in a second, and a few bookings."""
    fields = {
        "pieces": [{"seconds": RUN_SECONDS - 1.0, "rate": rate}],
        "classes": [
            {"name": "read", "share": 97, "aim": AIM, "deadline": 2.0},
            {"name": "book", "share": 3, "aim": AIM, "deadline": 2.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 1500, "zipf": 0.8},
        "clients": {"retries": 1, "backoff": 0.3},
    }
    return msgspec.convert(fields, Profile)


class FleetStats:
    """What clients, servers and the origin observed."""

    def __init__(self, world: FleetSimulation) -> None:
        self.world = world
        self.began = world.core.now
        self.asked_at: dict[str, float] = {}
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        # arrival and work of the requests that reached the zone within the last WORK_WINDOW
        self.recent_work: deque[tuple[float, float]] = deque()
        self.recent_work_sum = 0.0
        self.peak_work = 0.0  # maximum of this sum, relative to the zone's capacity
        self.fetches: deque[float] = deque()
        self.peak_fetches = 0
        self.turned_away = 0
        self.sends: dict[int, Counter[str]] = defaultdict(Counter)  # number of attempts by second and zone
        self.zone_servers = [
            n.model for n in world.nodes.values() if world.layout.zones.get(n.name) == LOST_ZONE
        ]
        for node in world.nodes.values():
            if node.model in self.zone_servers:
                self._watch_server(node.model)
            elif node.name == ORIGIN:
                self._watch_origin(node.model)

    def elapsed(self) -> float:
        """Return the seconds since the start of the run."""
        return self.world.core.now - self.began

    def _watch_server(self, server: Any) -> None:
        arrive: Callable[[float, Request], Any] = server.arrive

        def count_work(now: float, request: Request) -> Any:
            work = server.draws.work_of(request)
            self.recent_work.append((now, work))
            self.recent_work_sum += work
            while self.recent_work[0][0] < now - WORK_WINDOW:
                self.recent_work_sum -= self.recent_work.popleft()[1]
            if self.elapsed() > RETURN_AT:
                zone_capacity = sum(
                    b.kind.cores * b.kind.speed * b.core_queue.core_speed.capacity_share(now) * WORK_WINDOW
                    for b in self.zone_servers
                    if isinstance(b, CacheServerModel)
                )
                self.peak_work = max(self.peak_work, self.recent_work_sum / zone_capacity)
            return arrive(now, request)

        server.arrive = count_work

    def _watch_origin(self, origin: Any) -> None:
        arrive: Callable[[float, Request], Any] = origin.arrive

        def count_fetch(now: float, request: Request) -> Any:
            self.fetches.append(now)
            while self.fetches[0] < now - 1.0:
                self.fetches.popleft()
            accepted = arrive(now, request)
            self.seconds[int(self.elapsed())]["fetches"] += 1
            if self.elapsed() > RETURN_AT:
                self.peak_fetches = max(self.peak_fetches, len(self.fetches))
                self.turned_away += accepted is None
            return accepted

        origin.arrive = count_fetch

    def record(self, observation: seen.Observation) -> None:
        """Record one observation; they must come in the order of their times."""
        match observation:
            case seen.RequestSent():
                first = observation.id.rpartition("-")[0]
                if first not in self.asked_at:
                    self.asked_at[first] = observation.at - self.began
                    self.seconds[int(observation.at - self.began)]["asked"] += 1
            case seen.RequestAnswered():
                at = self.asked_at.get(observation.id.rpartition("-")[0])
                if at is not None and observation.how == "served" and observation.at - self.began - at <= AIM:
                    self.seconds[int(at)]["in_time"] += 1
            case seen.AttemptReceived() if observation.box in self.world.layout.zones:
                self.sends[int(observation.at - self.began)][self.world.layout.zones[observation.box]] += 1

    def in_time_share(self, first: float, last: float) -> float:
        """Return the share of the requests sent from second `first` to `last` that were answered in time."""
        each = [self.seconds[s] for s in range(int(first), int(last))]
        return sum(c["in_time"] for c in each) / max(1, sum(c["asked"] for c in each))

    def zone_share(self, second: int) -> float:
        """Return the share of all attempts in one second that went to the zone."""
        sent = self.sends[second]
        return sent[LOST_ZONE] / max(1, sent.total())


def fixed_ramp(seconds: float) -> Callable[[int, float, pace.ReturnView, float], int]:
    """Return a step function for a fixed ramp, which ends after some seconds whatever is observed."""

    def step(share: int, age: float, view: pace.ReturnView, origin_rate: float) -> int:
        return (
            min(FULL_SHARE, share + math.floor(FULL_SHARE * age / seconds)) if age >= seconds / 16 else share
        )

    return step


def play(routers: int, case: str, strategy: str, rate: float, seed: int) -> dict[str, Any]:
    """Play a case with one strategy."""
    original_step = pace.next_share
    if strategy.startswith("ramp"):
        pace.next_share = fixed_ramp(float(strategy.split()[1]))
    try:
        world = FleetSimulation(scenario(routers, case, strategy), profile(rate), seed)
        stats = FleetStats(world)
        judge = world.auditor.judge

        def observe(what: seen.Observation) -> None:
            stats.record(what)
            judge(what)

        for node in world.nodes.values():
            node.observe = observe
        world.clients.observe = observe
        with ReturnDuty(world) if strategy == "duty" else nullcontext():
            result = world.run()
    finally:
        pace.next_share = original_step
    # if the zone fails again, only the return after that is reported
    last_return = RETURN_AT + (6.0 if case == "again" else 0.0)
    usual_share = float(np.mean([stats.zone_share(s) for s in range(int(FAULT_AT) - 4, int(FAULT_AT))]))
    recovered_at = next(
        (
            s
            for s in range(int(last_return), int(RUN_SECONDS) - 1)
            if stats.zone_share(s) >= 0.9 * usual_share
        ),
        None,
    )
    figures = {
        "in_time": stats.in_time_share(last_return, last_return + 10),
        "worst_second": min(
            stats.in_time_share(s, s + 1) for s in range(int(last_return), int(last_return) + 10)
        ),
        "work": stats.peak_work,
        "fetches": stats.peak_fetches / ORIGIN_RATE,
        "turned_away": stats.turned_away,
        "back_s": recovered_at - last_return if recovered_at is not None else None,
        "by_second": [stats.in_time_share(s, s + 1) for s in range(int(RUN_SECONDS) - 1)],
        "fetched": [stats.seconds[s]["fetches"] for s in range(int(RUN_SECONDS) - 1)],
        "of_zone": [stats.zone_share(s) for s in range(int(RUN_SECONDS) - 1)],
        "breaches": {k: v for k, v in result.verdict["breaches"].items() if v},
    }
    peer_network = world.routers[0].peer_network
    if peer_network is not None:
        figures["bytes_a_second"] = peer_network.bytes / routers / RUN_SECONDS
    return figures


def table_line(figures: dict[str, Any]) -> str:
    """Return a line of the table."""
    back = f"{figures['back_s']:5.0f}" if figures["back_s"] is not None else "    -"
    broken = " ".join(f"{k}={v}" for k, v in figures["breaches"].items()) or "-"
    cost = figures.get("bytes_a_second", 0)
    return (
        f"{figures['in_time']:7.3f} {figures['worst_second']:6.3f} {figures['work']:6.2f} "
        f"{figures['fetches']:7.2f} {figures['turned_away']:6} {back} {cost:6.0f} {broken}"
    )


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw the zone's share of all attempts and the share of answers in time, for the largest fleet."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    largest = max(row["routers"] for row in rows)
    cases = [c for c in ("cold", "warm") if any(row["case"] == c for row in rows)]
    figure = Figure(figsize=(10, 3.2 * len(cases)), layout="constrained")
    for line, case in zip(figure.subplots(len(cases), 2, squeeze=False), cases, strict=True):
        for row in rows:
            if row["case"] == case and row["routers"] == largest and not row["way"].startswith("ramp"):
                for axes, what in zip(line, ("of_zone", "by_second"), strict=True):
                    axes.step(range(len(row[what])), row[what], where="post", label=row["way"])
        line[0].set(
            title=f"{largest} routers, {case}: share of sends to the zone",
            xlim=(FAULT_AT - 2, RETURN_AT + 16),
        )
        line[1].set(title="share of requests in time", xlim=(FAULT_AT - 2, RETURN_AT + 16))
        line[0].legend()
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[6, 24, 60])
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    parser.add_argument("--ways", nargs="+", default=list(STRATEGIES))
    parser.add_argument(
        "--ramps", type=float, nargs="*", default=[], help="durations of fixed ramps in seconds"
    )
    parser.add_argument("--rate", type=float, default=600.0, help="requests per second of all clients (600)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    parser.add_argument("--picture", type=Path)
    options = parser.parse_args()
    rows = []
    header = "in time  worst   work fetches turned  back  B/s/r broken"
    print(f"{'case':8} {'routers':>7} {'way':9} {header}")
    for case in options.cases:
        for routers in options.routers:
            for strategy in (*options.ways, *(f"ramp {seconds:g}" for seconds in options.ramps)):
                if case == "split" and strategy == "alone":
                    continue  # there is no gossip to split
                figures = play(routers, case, strategy, options.rate, options.seed)
                rows.append({"case": case, "routers": routers, "way": strategy, **figures})
                print(f"{case:8} {routers:7} {strategy:9} {table_line(figures)}", flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1))
    if options.picture is not None:
        draw(rows, options.picture)
    return 0


if __name__ == "__main__":
    sys.exit(main())
