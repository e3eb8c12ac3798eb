"""How a fleet leaves a zone that fails, with routers that talk to one another and without, side by side.

Each case is played twice on the same seed, in virtual time or (`--real`) by processes of the program over
the stand-in fleet on loopback: a zone that refuses, one that is silent, a cut between zones, a flapping
zone, and one router that alone can't reach a zone. Prints how long it took until half, 95% and all routers
had left, the share of requests answered in time after the first two seconds of the fault, attempts at what
is out of reach, changes of direction, and what the routers said to one another. `--picture` draws routers
still sending, by tenths of a second. Virtual time needs one core and minutes for 200 routers; real
processes want a core for each twelve.
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
from myrtlecourse.fleet.routers import COMMAND, zones_left
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import play
from myrtlecourse.load.profile import Profile
from myrtlecourse.sim.fleet_simulation import FleetSimulation

ZONES = ("north", "south", "west")
LOST = "south"
AT, LASTS, SECONDS = 8.0, 8.0, 22.0  # the fault, and the run
SETTLED = 2.0  # seconds after which a fleet should have left
AIM = 0.6  # seconds in which a read is wanted
BOXES = 12


def faults(case: str) -> list[dict[str, Any]]:
    """What happens."""
    lasting = {"at": AT, "seconds": LASTS}
    match case:
        case "refused":
            return [{"what": "crash", "zone": LOST, **lasting}]
        case "silent":
            return [{"what": "silence", "zone": LOST, **lasting}]
        case "cut":  # the origin's zone from the others
            others = [z for z in ZONES if z != ZONES[0]]
            return [
                *({"what": "unreached", "zone": z, "box": "origin", **lasting} for z in others),
                *({"what": "unreached", "zone": z, "boxes": ZONES[0], **lasting} for z in others),
                *({"what": "unreached", "zone": ZONES[0], "boxes": z, **lasting} for z in others),
            ]
        case "flapping":
            return [{"what": "silence", "zone": LOST, "at": AT + 4.0 * i, "seconds": 2.0} for i in range(3)]
        case "alone":
            return [{"what": "unreached", "routers": [0], "boxes": LOST, **lasting}]
    raise ValueError(case)


CASES = ("refused", "silent", "cut", "flapping", "alone")


def scenario(routers: int, case: str, peers: bool) -> Scenario:
    """The fleet, and what happens to it."""
    plain: dict[str, Any] = {
        "seconds": SECONDS,
        "routers": routers,
        "zones": ZONES,
        "delay": 0.002,
        "kinds": [{"name": "std", "boxes": BOXES, "cores": 4, "queue": 200, "cold": 0.4, "warm_up": 4}],
        "origin": {"slots": 24, "time": 0.03, "queue": 40},
        "discovery": {"notice": 6.0, "silent_notice": 30.0},
        "classes": [
            {"name": "read", "work": 0.04, "aim": AIM, "deadline": 2.0, "worth": 3},
            {"name": "book", "work": 0.04, "aim": AIM, "deadline": 2.0, "effect": "guarded", "worth": 9},
        ],
        "faults": faults(case),
    }
    if peers:
        plain["peers"] = {"loss": 0.01, "spread": 0.002, "leave_origin": True}
    return msgspec.convert(plain, Scenario)


def profile(rate: float) -> Profile:
    """Reads of keys that the caches hold after some seconds, and a few bookings."""
    plain = {
        "pieces": [{"seconds": SECONDS - 1.0, "rate": rate}],
        "classes": [
            {"name": "read", "share": 95, "aim": AIM, "deadline": 2.0},
            {"name": "book", "share": 5, "aim": AIM, "deadline": 2.0, "write": True, "keyed": True},
        ],
        "keys": {"count": 400, "zipf": 0.9},
        "clients": {"retries": 1, "backoff": 0.3},
    }
    return msgspec.convert(plain, Profile)


class Sums:
    """What clients and boxes saw, by the second in which a request was asked."""

    def __init__(self) -> None:
        self.began: float | None = None
        self.asked: dict[str, float] = {}
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.took: dict[int, list[float]] = defaultdict(list)
        self.dials: list[tuple[float, str]] = []
        self.zones: dict[str, str] = {}
        self.fault_at = math.inf  # on the observations' clock

    def take(self, what: seen.Observation) -> None:
        """One observation, in the order of their times."""
        match what:
            case seen.ServerZone():
                self.zones[what.box] = what.zone
            case seen.ScenarioStep():
                self.fault_at = min(self.fault_at, what.at)
            case seen.RequestSent():
                self.began = what.at if self.began is None else self.began
                # a client's repeats belong to its first try: who is refused at once comes again sooner
                first = what.id.rpartition("-")[0]
                if first not in self.asked:
                    self.asked[first] = what.at - self.began
                    self.seconds[int(what.at - self.began)]["asked"] += 1
            case seen.RequestAnswered() if self.began is not None:
                at = self.asked.get(what.id.rpartition("-")[0])
                if at is None:
                    return
                took = what.at - self.began - at
                how = "in_time" if what.how == "served" and took <= AIM else what.how
                self.seconds[int(at)][how] += 1
                if what.how == "served":
                    self.took[int(at)].append(took)
            case seen.UnreachableDial() if self.began is not None:
                self.dials.append((what.at - self.began, what.router))

    def share(self, first: float, last: float) -> float:
        """In time, of what was asked in some seconds."""
        each = [self.seconds[s] for s in range(int(first), int(last))]
        return sum(c["in_time"] for c in each) / max(1, sum(c["asked"] for c in each))

    def figures(self) -> dict[str, Any]:
        """JSON-able."""
        late = [t for s in range(int(AT + SETTLED), int(AT + LASTS)) for t in self.took[s]]
        return {
            "before": self.share(AT - 3, AT),
            "first_2_s": self.share(AT, AT + SETTLED),
            "in_time": self.share(AT + SETTLED, AT + LASTS),
            "p99_s": float(np.quantile(late, 0.99)) if late else 0.0,
            "by_second": [self.share(s, s + 1) for s in range(int(SECONDS) - 1)],
        }


def turns(orders: list[tuple[float, str, frozenset[str], bool]]) -> int:
    """The most changes of direction that any router made."""
    changes: Counter[str] = Counter()
    before: dict[str, tuple[frozenset[str], bool]] = {}
    for _, who, zones, origin in orders:
        if before.get(who, (frozenset(), False)) != (zones, origin):
            changes[who] += 1
        before[who] = zones, origin
    return max(changes.values(), default=0)


def times(left: dict[str, float], routers: int) -> dict[str, Any]:
    """Seconds until so many routers had left; none where they never did."""
    each = sorted(left.values())

    def until(share: float) -> float | None:
        needed = int(np.ceil(share * routers))
        return each[needed - 1] if len(each) >= needed else None

    return {"left": len(each), "p50_s": until(0.5), "p95_s": until(0.95), "all_s": until(1.0)}


def virtual(routers: int, case: str, peers: bool, rate: float, seed: int) -> dict[str, Any]:
    """Play a case in virtual time."""
    world, sums = FleetSimulation(scenario(routers, case, peers), profile(rate), seed), Sums()
    for name, zone in world.layout.zones.items():
        sums.zones[name] = zone
    take = world.auditor.judge

    def observe(what: seen.Observation) -> None:
        sums.take(what)
        take(what)

    for node in world.nodes.values():
        node.observe = observe
    world.clients.observe = observe
    began = world.core.now
    sums.began = began
    result = world.run()
    figures: dict[str, Any] = sums.figures() | {"breaches": sum(result.verdict["breaches"].values())}
    during = [(at, who) for at, who in sums.dials if AT <= at < AT + LASTS]
    figures["dials"] = len(during)
    figures["dials_after_2_s"] = sum(at >= AT + SETTLED for at, _ in during)
    figures["still_sending"] = [
        len({who for at, who in during if s <= at - AT < s + 0.1}) for s in np.arange(0, 4, 0.1)
    ]
    meeting = world.routers[0].peer_network
    if meeting is not None:
        left: dict[str, float] = {}
        for at, who, zones, origin in meeting.orders:
            if (zones or origin) and at - began >= AT:
                left.setdefault(who, at - began - AT)
        figures |= times(left, routers)
        figures["turns"] = turns(meeting.orders)
        figures["bytes_a_second"] = meeting.bytes / routers / SECONDS
    return figures


def real(routers: int, case: str, peers: bool, rate: float, folder: Path) -> dict[str, Any]:
    """Play a case with processes of the program."""
    outcome = play(scenario(routers, case, peers), profile(rate), folder, COMMAND, 2, lambda at, counts: None)
    sums = Sums()
    for each in seen.merge_logs(sorted(folder.glob("*.jsonl"))):
        sums.take(each)
    figures: dict[str, Any] = sums.figures() | {"breaches": sum(outcome.verdict["breaches"].values())}
    figures["faults"] = outcome.faults
    if peers:
        figures |= times(left_by_log(folder, sums), routers)
    return figures


def left_by_log(folder: Path, sums: Sums) -> dict[str, float]:
    """Seconds from the fault until each router said that it leaves something."""
    found: dict[str, float] = {}
    for log in sorted(folder.glob("router-*.log")):
        for at, zones in zones_left(log):
            if zones and at >= sums.fault_at:
                found.setdefault(log.stem, at - sums.fault_at)
    return found


def shown(figures: dict[str, Any]) -> str:
    """One line of the table."""

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
    """Routers that still try the lost zone, by tenths of a second, for the largest fleet of virtual time."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    most = max(row["routers"] for row in rows)
    cases = [c for c in ("refused", "silent") if any(row["case"] == c for row in rows)]
    figure = Figure(figsize=(9, 3.2 * len(cases)), layout="constrained")
    for axes, case in zip(figure.subplots(len(cases), 1, squeeze=False)[:, 0], cases, strict=True):
        for row in rows:
            if row["case"] == case and row["routers"] == most and "still_sending" in row:
                name = "with peers" if row["peers"] else "without"
                axes.step(np.arange(0, 4, 0.1), row["still_sending"], where="post", label=name)
        axes.set(title=f"{most} routers, a zone {case}", ylabel="routers trying it", xlabel="seconds since")
        axes.legend()
        axes.grid(alpha=0.3)
    figure.savefig(path, dpi=90)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[6, 24, 60])
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    parser.add_argument("--rate", type=float, default=430.0, help="requests a second of all clients (430)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--real", action="store_true", help="processes of the program, in real time")
    parser.add_argument("--json", type=Path, help="write the figures there")
    parser.add_argument("--picture", type=Path, help="draw routers still sending, by tenths of a second")
    options = parser.parse_args()
    rows = []
    head = "before  first after2    p99  dials  after    50%    95%    all turns  B/s/r  bad"
    print(f"{'case':9} {'routers':>7} {'peers':>5} {head}")
    for case in options.cases:
        for routers in options.routers:
            for peers in (False, True):
                if options.real:
                    with tempfile.TemporaryDirectory() as folder:
                        figures = real(routers, case, peers, options.rate, Path(folder))
                else:
                    figures = virtual(routers, case, peers, options.rate, options.seed)
                rows.append({"case": case, "routers": routers, "peers": peers, **figures})
                print(f"{case:9} {routers:7} {'yes' if peers else 'no':>5} {shown(figures)}", flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1))
    if options.picture is not None:
        draw(rows, options.picture)
    return 1 if any(row["breaches"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
