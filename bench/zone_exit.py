"""How a fleet leaves a failed zone, compared between routers that exchange gossip and routers that don't.

Each case is played twice on the same seed, in virtual time or (`--real`) with real processes in front of the
stand-in fleet on loopback: a zone that refuses connections, one that is silent, a cut between zones, a
flapping zone, and a single router that can't reach a zone. It prints how long half, 95% and all of the
routers took to leave, the share of requests answered in time after the first two seconds of the fault,
attempts at unreachable servers, changes of direction, and the bytes of gossip. `--picture` draws the number
of routers that still send, in steps of 0.1 s. Virtual time takes one core and some minutes for 200 routers;
real processes need a core for every twelve.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
import tempfile
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.routers import COMMAND, zone_exits
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import run_with_load
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation

ZONES = ("north", "south", "west")
LOST_ZONE = "south"
# start and duration of the fault, and duration of the run
FAULT_AT, FAULT_SECONDS, RUN_SECONDS = 8.0, 8.0, 22.0
REACTION_SECONDS = 2.0  # seconds within which a fleet should have excluded the zone
AIM = 0.6  # seconds within which a read should be answered
SERVERS = 12


def faults(case: str) -> list[dict[str, Any]]:
    """Return the faults of a case."""
    lasting = {"at": FAULT_AT, "seconds": FAULT_SECONDS}
    match case:
        case "refused":
            return [{"what": "crash", "zone": LOST_ZONE, **lasting}]
        case "silent":
            return [{"what": "silence", "zone": LOST_ZONE, **lasting}]
        case "cut":  # the network is cut between the origin's zone and the others
            others = [z for z in ZONES if z != ZONES[0]]
            return [
                *({"what": "unreached", "zone": z, "box": "origin", **lasting} for z in others),
                *({"what": "unreached", "zone": z, "boxes": ZONES[0], **lasting} for z in others),
                *({"what": "unreached", "zone": ZONES[0], "boxes": z, **lasting} for z in others),
            ]
        case "flapping":
            return [
                {"what": "silence", "zone": LOST_ZONE, "at": FAULT_AT + 4.0 * i, "seconds": 2.0}
                for i in range(3)
            ]
        case "alone":
            return [{"what": "unreached", "routers": [0], "boxes": LOST_ZONE, **lasting}]
    raise ValueError(case)


CASES = ("refused", "silent", "cut", "flapping", "alone")


def scenario(routers: int, case: str, peers: bool) -> Scenario:
    """Return the scenario of a case: the fleet and its faults."""
    fields: dict[str, Any] = {
        "seconds": RUN_SECONDS,
        "routers": routers,
        "zones": ZONES,
        "delay": 0.002,
        "kinds": [{"name": "std", "boxes": SERVERS, "cores": 4, "queue": 200, "cold": 0.4, "warm_up": 4}],
        "origin": {"slots": 24, "time": 0.03, "queue": 40},
        "discovery": {"notice": 6.0, "silent_notice": 30.0},
        "classes": [
            {"name": "read", "work": 0.04, "aim": AIM, "deadline": 2.0, "worth": 3},
            {"name": "book", "work": 0.04, "aim": AIM, "deadline": 2.0, "effect": "guarded", "worth": 9},
        ],
        "faults": faults(case),
    }
    if peers:
        fields["peers"] = {"loss": 0.01, "spread": 0.002, "leave_origin": True}
    return msgspec.convert(fields, Scenario)


def profile(rate: float) -> Profile:
    """Return a load of reads, whose keys the caches hold after some seconds, and a few bookings."""
    fields = {
        "pieces": [{"seconds": RUN_SECONDS - 1.0, "rate": rate}],
        "classes": [
            {"name": "read", "share": 95, "aim": AIM, "deadline": 2.0},
            {"name": "book", "share": 5, "aim": AIM, "deadline": 2.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 400, "zipf": 0.9},
        "clients": {"retries": 1, "backoff": 0.3},
    }
    return msgspec.convert(fields, Profile)


class ClientStats:
    """What clients and servers observed, by the second in which a request was first sent."""

    def __init__(self) -> None:
        self.began: float | None = None
        self.asked_at: dict[str, float] = {}
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.latencies: dict[int, list[float]] = defaultdict(list)
        self.dials: list[tuple[float, str]] = []
        self.zones: dict[str, str] = {}
        self.fault_at = math.inf  # start of the fault, on the clock of the observations

    def record(self, observation: seen.Observation) -> None:
        """Record one observation; they must come in the order of their times."""
        match observation:
            case seen.ServerZone():
                self.zones[observation.box] = observation.zone
            case seen.ScenarioStep():
                self.fault_at = min(self.fault_at, observation.at)
            case seen.RequestSent():
                self.began = observation.at if self.began is None else self.began
                # Retries count for the second of the first attempt, because a client that is refused retries
                # sooner than one that times out.
                first = observation.id.rpartition("-")[0]
                if first not in self.asked_at:
                    self.asked_at[first] = observation.at - self.began
                    self.seconds[int(observation.at - self.began)]["asked"] += 1
            case seen.RequestAnswered() if self.began is not None:
                at = self.asked_at.get(observation.id.rpartition("-")[0])
                if at is None:
                    return
                took = observation.at - self.began - at
                outcome = "in_time" if observation.how == "served" and took <= AIM else observation.how
                self.seconds[int(at)][outcome] += 1
                if observation.how == "served":
                    self.latencies[int(at)].append(took)
            case seen.UnreachableDial() if self.began is not None:
                self.dials.append((observation.at - self.began, observation.router))

    def in_time_share(self, first: float, last: float) -> float:
        """Return the share of the requests sent from second `first` to `last` that were answered in time."""
        each = [self.seconds[s] for s in range(int(first), int(last))]
        return sum(c["in_time"] for c in each) / max(1, sum(c["asked"] for c in each))

    def figures(self) -> dict[str, Any]:
        """Return the figures for the JSON output."""
        late = [
            t
            for s in range(int(FAULT_AT + REACTION_SECONDS), int(FAULT_AT + FAULT_SECONDS))
            for t in self.latencies[s]
        ]
        return {
            "before": self.in_time_share(FAULT_AT - 3, FAULT_AT),
            "first_2_s": self.in_time_share(FAULT_AT, FAULT_AT + REACTION_SECONDS),
            "in_time": self.in_time_share(FAULT_AT + REACTION_SECONDS, FAULT_AT + FAULT_SECONDS),
            "p99_s": float(np.quantile(late, 0.99)) if late else 0.0,
            "by_second": [self.in_time_share(s, s + 1) for s in range(int(RUN_SECONDS) - 1)],
        }


def most_reversals(orders: list[tuple[float, str, frozenset[str], bool]]) -> int:
    """Return how many changes of its excluded zones the router with the most changes made."""
    changes: Counter[str] = Counter()
    previous: dict[str, tuple[frozenset[str], bool]] = {}
    for _, router, zones, origin in orders:
        if previous.get(router, (frozenset(), False)) != (zones, origin):
            changes[router] += 1
        previous[router] = zones, origin
    return max(changes.values(), default=0)


def exit_times(excluded_after: dict[str, float], routers: int) -> dict[str, Any]:
    """Return the seconds until some shares of the routers had excluded the zone; None if they never did."""
    times = sorted(excluded_after.values())

    def until(share: float) -> float | None:
        needed = int(np.ceil(share * routers))
        return times[needed - 1] if len(times) >= needed else None

    return {"left": len(times), "p50_s": until(0.5), "p95_s": until(0.95), "all_s": until(1.0)}


def play_virtual(routers: int, case: str, peers: bool, rate: float, seed: int) -> dict[str, Any]:
    """Play a case in virtual time."""
    world, stats = FleetSimulation(scenario(routers, case, peers), profile(rate), seed), ClientStats()
    for name, zone in world.layout.zones.items():
        stats.zones[name] = zone
    judge = world.auditor.judge

    def observe(what: seen.Observation) -> None:
        stats.record(what)
        judge(what)

    for node in world.nodes.values():
        node.observe = observe
    world.clients.observe = observe
    began = world.core.now
    stats.began = began
    result = world.run()
    figures: dict[str, Any] = stats.figures() | {"breaches": sum(result.verdict["breaches"].values())}
    during_fault = [(at, router) for at, router in stats.dials if FAULT_AT <= at < FAULT_AT + FAULT_SECONDS]
    figures["dials"] = len(during_fault)
    figures["dials_after_2_s"] = sum(at >= FAULT_AT + REACTION_SECONDS for at, _ in during_fault)
    figures["still_sending"] = [
        len({router for at, router in during_fault if s <= at - FAULT_AT < s + 0.1})
        for s in np.arange(0, 4, 0.1)
    ]
    peer_network = world.routers[0].peer_network
    if peer_network is not None:
        excluded_after: dict[str, float] = {}
        for at, router, zones, origin in peer_network.zone_exits:
            if (zones or origin) and at - began >= FAULT_AT:
                excluded_after.setdefault(router, at - began - FAULT_AT)
        figures |= exit_times(excluded_after, routers)
        figures["turns"] = most_reversals(peer_network.zone_exits)
        figures["bytes_a_second"] = peer_network.bytes / routers / RUN_SECONDS
    return figures


def play_real(routers: int, case: str, peers: bool, rate: float, folder: Path) -> dict[str, Any]:
    """Play a case with real processes."""
    outcome = run_with_load(
        scenario(routers, case, peers), profile(rate), folder, COMMAND, 2, lambda at, counts: None
    )
    stats = ClientStats()
    for each in seen.merge_logs(sorted(folder.glob("*.jsonl"))):
        stats.record(each)
    figures: dict[str, Any] = stats.figures() | {"breaches": sum(outcome.verdict["breaches"].values())}
    figures["faults"] = outcome.faults
    if peers:
        figures |= exit_times(exits_by_log(folder, stats), routers)
    return figures


def exits_by_log(folder: Path, stats: ClientStats) -> dict[str, float]:
    """Return the seconds from the fault until each router logged that it had excluded a zone."""
    exits: dict[str, float] = {}
    for log in sorted(folder.glob("router-*.log")):
        for at, zones in zone_exits(log):
            if zones and at >= stats.fault_at:
                exits.setdefault(log.stem, at - stats.fault_at)
    return exits


def table_line(figures: dict[str, Any]) -> str:
    """Return a line of the table."""

    def seconds(name: str) -> str:
        value = figures.get(name)
        return f"{value:6.2f}" if value is not None else "     -"

    return (
        f"{figures['before']:6.3f} {figures['first_2_s']:6.3f} {figures['in_time']:6.3f} "
        f"{figures['p99_s']:6.2f} {figures.get('dials', 0):6} {figures.get('dials_after_2_s', 0):6} "
        f"{seconds('p50_s')} {seconds('p95_s')} {seconds('all_s')} {figures.get('turns', 0):5} "
        f"{figures.get('bytes_a_second', 0):7.0f} {figures['breaches']:4}"
    )


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw how many routers still connect to the lost zone, for the largest fleet in virtual time."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    largest = max(row["routers"] for row in rows)
    cases = [c for c in ("refused", "silent") if any(row["case"] == c for row in rows)]
    figure = Figure(figsize=(9, 3.2 * len(cases)), layout="constrained")
    for axes, case in zip(figure.subplots(len(cases), 1, squeeze=False)[:, 0], cases, strict=True):
        for row in rows:
            if row["case"] == case and row["routers"] == largest and "still_sending" in row:
                name = "with peers" if row["peers"] else "without"
                axes.step(np.arange(0, 4, 0.1), row["still_sending"], where="post", label=name)
        axes.set(
            title=f"{largest} routers, a zone {case}", ylabel="routers trying it", xlabel="seconds since"
        )
        axes.legend()
        axes.grid(alpha=0.3)
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[6, 24, 60])
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    parser.add_argument("--rate", type=float, default=430.0, help="requests per second of all clients (430)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--real", action="store_true", help="run real processes in real time")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    parser.add_argument(
        "--picture", type=Path, help="file for a chart of the routers that still send, in steps of 0.1 s"
    )
    options = parser.parse_args()
    rows = []
    header = "before  first after2    p99  dials  after    50%    95%    all turns  B/s/r  bad"
    print(f"{'case':9} {'routers':>7} {'peers':>5} {header}")
    for case in options.cases:
        for routers in options.routers:
            for peers in (False, True):
                if options.real:
                    with tempfile.TemporaryDirectory() as folder:
                        figures = play_real(routers, case, peers, options.rate, Path(folder))
                else:
                    figures = play_virtual(routers, case, peers, options.rate, options.seed)
                rows.append({"case": case, "routers": routers, "peers": peers, **figures})
                print(f"{case:9} {routers:7} {'yes' if peers else 'no':>5} {table_line(figures)}", flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1))
    if options.picture is not None:
        draw(rows, options.picture)
    return 1 if any(row["breaches"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
