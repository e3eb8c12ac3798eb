"""How long a duty has no holder when its holder is killed, stopped or cut off, again and again.

With processes of the program over the stand-in fleet on loopback, under load, or (`--virtual`) with up to 255
of them in virtual time: the time from the fault until another acts, beside the bound that the settings give;
and what the words cost a second with 1, 4 and 16 duties at one holder, with orders and without. Real
processes want a core for each four; each fault takes five seconds, and nothing else should run.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from myrtlecourse.audit import observations as seen
from myrtlecourse.duties import messages as said
from myrtlecourse.duties.codec import DutyCodec, split
from myrtlecourse.fleet.duty_logs import observed
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import play
from myrtlecourse.load.profile import Profile
from myrtlecourse.peers.wire import Wire
from myrtlecourse.sim.duties import DutySimulation

SPACE = 5.0  # seconds from one fault to the next
LASTS = 2.5  # seconds of a stop or a cut: five leases
BEGIN = 5.0
FIGURES = {"heartbeat": 0.1, "lease": 0.5, "settle": 0.3, "unwell": 0.3, "unheard": 1.5, "brake": 2.0}
GOOD_FOR = 0.5
# where routers remember, as in the tests: a disk that takes as long as a heartbeat is measured by itself
FOLDER = "/dev/shm" if Path("/dev/shm").is_dir() else None
HOWS = ("kill", "stall", "cut")


def fault(how: str, at: float) -> dict[str, Any]:
    """One fault to whoever holds the duty by then."""
    match how:
        case "kill":
            return {"what": "restart", "at": at, "holder": "purge", "kill": True}
        case "stall":
            return {"what": "stall", "at": at, "holder": "purge", "seconds": LASTS}
    return {"what": "split", "at": at, "holder": "purge", "seconds": LASTS}


def bound(members: int) -> float:
    """The longest time without a holder by the settings, when nothing is lost."""
    names = tuple(f"router-{n}" for n in range(members))
    duty = said.Duty("purge", good_for=GOOD_FOR)
    return said.Settings(names[0], names, names[:3], (duty,), **FIGURES).longest_vacancy(duty)


def scenario(members: int, how: str, times: int, rate: float) -> tuple[Scenario, Profile]:
    """The fleet, its faults and its load."""
    seconds = BEGIN + SPACE * times + 1.0
    plain: dict[str, Any] = {
        "seconds": seconds,
        "routers": members,
        "kinds": [{"name": "std", "boxes": 6, "cores": 4, "connections": 1000}],
        "classes": [{"name": "read", "work": 0.002, "aim": 0.5, "deadline": 1.5}],
        "peers": {},
        "duties": {"voters": [0, 1, 2], "each": [{"name": "purge", "good_for": GOOD_FOR}], **FIGURES},
        "faults": [fault(how, BEGIN + SPACE * i) for i in range(times)],
    }
    load = {
        "pieces": [{"seconds": seconds - 0.5, "rate": rate}],
        "classes": [{"name": "read", "aim": 0.5, "deadline": 1.5}],
        "keys": {"count": 200},
    }
    return msgspec.convert(plain, Scenario), msgspec.convert(load, Profile)


def real(members: int, how: str, times: int, rate: float) -> dict[str, Any]:
    """With processes; answers with the times without a holder and what the auditor found."""
    with tempfile.TemporaryDirectory(dir=FOLDER) as name:
        folder = Path(name)
        told = scenario(members, how, times, rate)
        outcome = play(*told, folder, COMMAND, 1, lambda at, counts: None)
        began = next(
            o.at for o in seen.merge_logs(sorted(folder.glob("*.jsonl"))) if isinstance(o, seen.RequestSent)
        )
        took = [o for o in observed(folder) if isinstance(o, seen.HoldsDuty) and o.token]
        steps = sum(isinstance(o, seen.StepDone) for o in observed(folder))
    gaps, holder = [], ""
    for i in range(times):
        at = began + BEGIN + SPACE * i
        holder = next((o.router for o in reversed(took) if o.at < at), "")
        after = [o.at - at for o in took if at <= o.at < at + SPACE and (how == "kill" or o.router != holder)]
        gaps.append(after[0] if after else SPACE)
    return {"gaps": gaps, "steps": steps, "breaches": breaches(outcome.verdict), "faults": outcome.faults}


def breaches(verdict: dict[str, Any]) -> dict[str, int]:
    """The kinds that there were."""
    return {what: count for what, count in verdict["breaches"].items() if count}


def draw(path: Path, rate: float) -> None:
    """One stop of a holder, second by second: whom each router obeys, as its own log has it."""
    from matplotlib import pyplot as plt  # noqa: PLC0415  (an extra)

    members, times = 7, 1
    with tempfile.TemporaryDirectory(dir=FOLDER) as name:
        told = scenario(members, "stall", times, rate)
        folder = Path(name)
        play(*told, folder, COMMAND, 1, lambda at, counts: None)
        each = [*seen.merge_logs(sorted(folder.glob("*.jsonl")))]
    began = next(o.at for o in each if isinstance(o, seen.RequestSent)) + BEGIN
    tokens = sorted({o.token for o in each if isinstance(o, seen.FollowsHolder)})
    figure, axes = plt.subplots(figsize=(9, 3.2))
    since: dict[str, tuple[float, int]] = {}
    until = began + SPACE
    for what in [*each, *(seen.FollowsNobody(until, f"router-{n}", "purge") for n in range(members))]:
        if isinstance(what, seen.FollowsHolder | seen.FollowsNobody):
            at, token = since.pop(what.router, (0.0, 0))
            if token and what.at > began - 1.0:
                row, colour = int(what.router.rpartition("-")[2]), f"C{tokens.index(token)}"
                axes.barh(row, what.at - at, left=at - began, height=0.6, color=colour)
            if isinstance(what, seen.FollowsHolder):
                since[what.router] = what.at, what.token
        elif isinstance(what, seen.StepDone) and began - 1.0 < what.at < until:
            axes.plot(what.at - began, int(what.router.rpartition("-")[2]), "k|", markersize=12)
    axes.axvspan(0.0, LASTS, color="0.9", zorder=0)
    axes.set(xlim=(-1.0, SPACE), xlabel="seconds from the holder's stop (grey)", ylabel="router")
    axes.set_title("Whom routers obey (colour: token), and the steps done (|)")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def virtual(members: int, how: str, times: int, seed: int) -> dict[str, Any]:
    """In virtual time, with clocks that drift; raises when a rule is broken."""
    names = tuple(f"router-{n}" for n in range(members))
    there = DutySimulation(names, seed, (said.Duty("purge", good_for=GOOD_FOR),), names[:3], **FIGURES)
    there.check_interval = max(1, members // 5)
    there.start()
    there.run_until_held(30.0)
    gaps = []
    for _ in range(times):
        there.run(2.0)
        first = there.processes[there.holder("purge")]
        ways = {(first.name, n) for n in names} | {(n, first.name) for n in names}
        if how == "kill":
            first.kill()
        elif how == "stall":
            first.stop()
        else:
            there.network.cut |= ways
        began = there.core.now
        while there.holder("purge") in ("", first.name) and there.core.now < began + 30.0:
            there.run(0.01)
        gaps.append(there.core.now - began)
        if how == "kill":
            first.start()
        elif how == "stall":
            first.resume()
        else:
            there.network.cut.clear()
    return {"gaps": gaps, "steps": len(there.steps_done), "breaches": {}, "faults": []}


class Costs(DutySimulation):
    """Counts the datagrams that the words make, and their bytes."""

    def send(self, sender: str, to: str, items: tuple[said.Item, ...]) -> None:
        wire = Wire(sender, self.names, b"k" * 16, 2**61, DutyCodec())
        wire.senders[to].start, wire.number = 2**61, 2**20
        for part in split(items, wire.room):
            self.sizes.append((sender, len(wire.pack(to, part))))
        super().send(sender, to, items)

    sizes: list[tuple[str, int]]


def costs(members: int) -> Iterator[dict[str, Any]]:
    """Datagrams and bytes a second, of all and of the holder, by the number of duties."""
    names = tuple(f"router-{n}" for n in range(members))
    for orders in (False, True):
        for count in (1, 4, 16):
            each = tuple(said.Duty(f"d{i}", names[3:5], GOOD_FOR, orders=orders) for i in range(count))
            there = Costs(names, 1, each, names[:3], **FIGURES)
            there.sizes = []
            there.check_interval = 1000
            there.start()
            there.run_until_held(30.0)
            there.run(3.0)
            there.sizes.clear()
            there.run(5.0)
            own = [size for sender, size in there.sizes if sender == there.holder("d0")]
            yield {
                "members": members,
                "orders": orders,
                "duties": count,
                "datagrams": len(there.sizes) / 5.0,
                "bytes": sum(size for _, size in there.sizes) / 5.0,
                "holder_datagrams": len(own) / 5.0,
                "holder_bytes": sum(own) / 5.0,
            }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[5, 24])
    parser.add_argument("--times", type=int, default=50, help="of each fault (50)")
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second (300)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument(
        "--costs", action="store_true", help="what words cost, in virtual time, and no faults"
    )
    parser.add_argument("--picture", type=Path, help="draw one stop of a holder there, and no more")
    parser.add_argument("--json", type=Path, help="write the figures there")
    options = parser.parse_args()
    table: list[dict[str, Any]] = []
    if options.picture is not None:
        draw(options.picture, options.rate)
    elif options.costs:
        print("routers orders duties  datagr/s   bytes/s    holder   bytes/s")
        for members in options.routers:
            for row in costs(members):
                table.append(row)
                first = f"{members:7} {'yes' if row['orders'] else 'no':>6} {row['duties']:6}"
                rest = [row[n] for n in ("datagrams", "bytes", "holder_datagrams", "holder_bytes")]
                print(first, " ".join(f"{n:9.0f}" for n in rest), flush=True)
    else:
        print("routers fault  times    p50    p99    max  bound steps breaches")
        for members in options.routers:
            for how in HOWS:
                if options.virtual:
                    row = virtual(members, how, options.times, options.seed)
                else:
                    row = real(members, how, options.times, options.rate)
                p50, p99 = np.quantile(row["gaps"], [0.5, 0.99])
                table.append({"routers": members, "fault": how, **row})
                print(
                    f"{members:7} {how:6} {len(row['gaps']):5} {p50:6.2f} {p99:6.2f} {max(row['gaps']):6.2f} "
                    f"{bound(members):6.2f} {row['steps']:5} {row['breaches'] or '-'} {row['faults'] or ''}",
                    flush=True,
                )
    if options.json is not None:
        options.json.write_text(json.dumps(table, indent=1))
    return 1 if any(row.get("breaches") for row in table) else 0


if __name__ == "__main__":
    sys.exit(main())
