"""How long a duty has no holder after its holder is killed, stopped or cut off, over many repetitions.

It runs real processes in front of the stand-in fleet on loopback under load, or (`--virtual`) up to 255 of
them in virtual time, and prints the time from the fault until another router acts as the holder, with the
bound that the settings imply. `--costs` prints the cost of the messages per second with 1, 4 and 16 duties of
one holder, with and without orders. Real processes need a core for every four; each fault takes five seconds,
and nothing else should run.
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
from myrtlecourse.duties import messages as msg
from myrtlecourse.duties.codec import DutyCodec, split
from myrtlecourse.fleet.duty_logs import read_observations
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import run_with_load
from myrtlecourse.load.profile import Profile
from myrtlecourse.peers.wire import Wire
from myrtlecourse.sim.duties import DutySimulation

FAULT_INTERVAL = 5.0  # seconds from one fault to the next
FAULT_SECONDS = 2.5  # seconds of a stop or a cut: five leases
FIRST_FAULT_AT = 5.0
DUTY_SETTINGS = {"heartbeat": 0.1, "lease": 0.5, "settle": 0.3, "unwell": 0.3, "unheard": 1.5, "brake": 2.0}
GOOD_FOR = 0.5
# Routers keep their votes in memory, as in the tests; disks whose writes take as long as a heartbeat are
# measured separately.
FOLDER = "/dev/shm" if Path("/dev/shm").is_dir() else None
FAULTS = ("kill", "stall", "cut")


def make_fault(how: str, at: float) -> dict[str, Any]:
    """Return a fault that affects the router which holds the duty when the fault starts."""
    match how:
        case "kill":
            return {"what": "restart", "at": at, "holder": "purge", "kill": True}
        case "stall":
            return {"what": "stall", "at": at, "holder": "purge", "seconds": FAULT_SECONDS}
    return {"what": "split", "at": at, "holder": "purge", "seconds": FAULT_SECONDS}


def longest_vacancy(members: int) -> float:
    """Return the longest time without a holder that the settings allow if no message is lost."""
    names = tuple(f"router-{n}" for n in range(members))
    duty = msg.Duty("purge", good_for=GOOD_FOR)
    return msg.Settings(names[0], names, names[:3], (duty,), **DUTY_SETTINGS).longest_vacancy(duty)


def scenario(members: int, how: str, times: int, rate: float) -> tuple[Scenario, Profile]:
    """Return the fleet with its faults, and its load."""
    seconds = FIRST_FAULT_AT + FAULT_INTERVAL * times + 1.0
    plain: dict[str, Any] = {
        "seconds": seconds,
        "routers": members,
        "kinds": [{"name": "std", "boxes": 6, "cores": 4, "connections": 1000}],
        "classes": [{"name": "read", "work": 0.002, "aim": 0.5, "deadline": 1.5}],
        "peers": {},
        "duties": {"voters": [0, 1, 2], "each": [{"name": "purge", "good_for": GOOD_FOR}], **DUTY_SETTINGS},
        "faults": [make_fault(how, FIRST_FAULT_AT + FAULT_INTERVAL * i) for i in range(times)],
    }
    load = {
        "pieces": [{"seconds": seconds - 0.5, "rate": rate}],
        "classes": [{"name": "read", "aim": 0.5, "deadline": 1.5}],
        "keys": {"count": 200},
    }
    return msgspec.convert(plain, Scenario), msgspec.convert(load, Profile)


def measure_real(members: int, how: str, times: int, rate: float) -> dict[str, Any]:
    """Measure real processes; return the times without a holder and what the auditor found."""
    with tempfile.TemporaryDirectory(dir=FOLDER) as name:
        folder = Path(name)
        run_scenario = scenario(members, how, times, rate)
        outcome = run_with_load(*run_scenario, folder, COMMAND, 1, lambda at, counts: None)
        began = next(
            o.at for o in seen.merge_logs(sorted(folder.glob("*.jsonl"))) if isinstance(o, seen.RequestSent)
        )
        takeovers = [o for o in read_observations(folder) if isinstance(o, seen.HoldsDuty) and o.token]
        steps = sum(isinstance(o, seen.StepDone) for o in read_observations(folder))
    gaps, holder = [], ""
    for i in range(times):
        at = began + FIRST_FAULT_AT + FAULT_INTERVAL * i
        holder = next((o.router for o in reversed(takeovers) if o.at < at), "")
        after = [
            o.at - at
            for o in takeovers
            if at <= o.at < at + FAULT_INTERVAL and (how == "kill" or o.router != holder)
        ]
        gaps.append(after[0] if after else FAULT_INTERVAL)
    return {
        "gaps": gaps,
        "steps": steps,
        "breaches": nonzero_breaches(outcome.verdict),
        "faults": outcome.faults,
    }


def nonzero_breaches(verdict: dict[str, Any]) -> dict[str, int]:
    """Return how many breaches occurred of each kind, without those that did not occur."""
    return {what: count for what, count in verdict["breaches"].items() if count}


def draw(path: Path, rate: float) -> None:
    """Draw one stop of a holder: whom each router follows over time, according to its own log."""
    from matplotlib import pyplot as plt  # noqa: PLC0415  (an extra)

    members, times = 7, 1
    with tempfile.TemporaryDirectory(dir=FOLDER) as name:
        run_scenario = scenario(members, "stall", times, rate)
        folder = Path(name)
        run_with_load(*run_scenario, folder, COMMAND, 1, lambda at, counts: None)
        observations = [*seen.merge_logs(sorted(folder.glob("*.jsonl")))]
    began = next(o.at for o in observations if isinstance(o, seen.RequestSent)) + FIRST_FAULT_AT
    tokens = sorted({o.token for o in observations if isinstance(o, seen.FollowsHolder)})
    figure, axes = plt.subplots(figsize=(9, 3.2))
    since: dict[str, tuple[float, int]] = {}
    until = began + FAULT_INTERVAL
    for observation in [
        *observations,
        *(seen.FollowsNobody(until, f"router-{n}", "purge") for n in range(members)),
    ]:
        if isinstance(observation, seen.FollowsHolder | seen.FollowsNobody):
            at, token = since.pop(observation.router, (0.0, 0))
            if token and observation.at > began - 1.0:
                row, colour = int(observation.router.rpartition("-")[2]), f"C{tokens.index(token)}"
                axes.barh(row, observation.at - at, left=at - began, height=0.6, color=colour)
            if isinstance(observation, seen.FollowsHolder):
                since[observation.router] = observation.at, observation.token
        elif isinstance(observation, seen.StepDone) and began - 1.0 < observation.at < until:
            axes.plot(observation.at - began, int(observation.router.rpartition("-")[2]), "k|", markersize=12)
    axes.axvspan(0.0, FAULT_SECONDS, color="0.9", zorder=0)
    axes.set(xlim=(-1.0, FAULT_INTERVAL), xlabel="seconds from the holder's stop (grey)", ylabel="router")
    axes.set_title("Whom routers obey (colour: token), and the steps done (|)")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def measure_virtual(members: int, how: str, times: int, seed: int) -> dict[str, Any]:
    """Measure in virtual time, with clocks that drift. Raises an error when a rule is broken."""
    names = tuple(f"router-{n}" for n in range(members))
    simulation = DutySimulation(
        names, seed, (msg.Duty("purge", good_for=GOOD_FOR),), names[:3], **DUTY_SETTINGS
    )
    simulation.check_interval = max(1, members // 5)
    simulation.start()
    simulation.run_until_held(30.0)
    gaps = []
    for _ in range(times):
        simulation.run(2.0)
        holder = simulation.processes[simulation.holder("purge")]
        paths = {(holder.name, n) for n in names} | {(n, holder.name) for n in names}
        if how == "kill":
            holder.kill()
        elif how == "stall":
            holder.stop()
        else:
            simulation.network.cut |= paths
        began = simulation.core.now
        while simulation.holder("purge") in ("", holder.name) and simulation.core.now < began + 30.0:
            simulation.run(0.01)
        gaps.append(simulation.core.now - began)
        if how == "kill":
            holder.start()
        elif how == "stall":
            holder.resume()
        else:
            simulation.network.cut.clear()
    return {"gaps": gaps, "steps": len(simulation.steps_done), "breaches": {}, "faults": []}


class CountingSimulation(DutySimulation):
    """Counts the datagrams that the messages take, and their bytes."""

    def send(self, sender: str, to: str, items: tuple[msg.Item, ...]) -> None:
        wire = Wire(sender, self.names, b"k" * 16, 2**61, DutyCodec())
        wire.senders[to].start, wire.sent_number = 2**61, 2**20
        for part in split(items, wire.max_message_size):
            self.datagram_sizes.append((sender, len(wire.pack(to, part))))
        super().send(sender, to, items)

    datagram_sizes: list[tuple[str, int]]


def measure_costs(members: int) -> Iterator[dict[str, Any]]:
    """Yield the datagrams and bytes per second, in total and of the holder, by the number of duties."""
    names = tuple(f"router-{n}" for n in range(members))
    for orders in (False, True):
        for count in (1, 4, 16):
            duties = tuple(msg.Duty(f"d{i}", names[3:5], GOOD_FOR, orders=orders) for i in range(count))
            simulation = CountingSimulation(names, 1, duties, names[:3], **DUTY_SETTINGS)
            simulation.datagram_sizes = []
            simulation.check_interval = 1000
            simulation.start()
            simulation.run_until_held(30.0)
            simulation.run(3.0)
            simulation.datagram_sizes.clear()
            simulation.run(5.0)
            holder_sizes = [
                size for sender, size in simulation.datagram_sizes if sender == simulation.holder("d0")
            ]
            yield {
                "members": members,
                "orders": orders,
                "duties": count,
                "datagrams": len(simulation.datagram_sizes) / 5.0,
                "bytes": sum(size for _, size in simulation.datagram_sizes) / 5.0,
                "holder_datagrams": len(holder_sizes) / 5.0,
                "holder_bytes": sum(holder_sizes) / 5.0,
            }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="+", default=[5, 24])
    parser.add_argument("--times", type=int, default=50, help="repetitions of each fault (50)")
    parser.add_argument("--rate", type=float, default=300.0, help="requests per second (300)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument(
        "--costs", action="store_true", help="measure the cost of messages in virtual time, without faults"
    )
    parser.add_argument("--picture", type=Path, help="only draw one stop of a holder, to this file")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    options = parser.parse_args()
    table: list[dict[str, Any]] = []
    if options.picture is not None:
        draw(options.picture, options.rate)
    elif options.costs:
        print("routers orders duties  datagr/s   bytes/s    holder   bytes/s")
        for members in options.routers:
            for row in measure_costs(members):
                table.append(row)
                first = f"{members:7} {'yes' if row['orders'] else 'no':>6} {row['duties']:6}"
                rest = [row[n] for n in ("datagrams", "bytes", "holder_datagrams", "holder_bytes")]
                print(first, " ".join(f"{n:9.0f}" for n in rest), flush=True)
    else:
        print("routers fault  times    p50    p99    max  bound steps breaches")
        for members in options.routers:
            for how in FAULTS:
                if options.virtual:
                    row = measure_virtual(members, how, options.times, options.seed)
                else:
                    row = measure_real(members, how, options.times, options.rate)
                p50, p99 = np.quantile(row["gaps"], [0.5, 0.99])
                table.append({"routers": members, "fault": how, **row})
                print(
                    f"{members:7} {how:6} {len(row['gaps']):5} {p50:6.2f} {p99:6.2f} {max(row['gaps']):6.2f} "
                    f"{longest_vacancy(members):6.2f} {row['steps']:5} {row['breaches'] or '-'} "
                    f"{row['faults'] or ''}",
                    flush=True,
                )
    if options.json is not None:
        options.json.write_text(json.dumps(table, indent=1))
    return 1 if any(row.get("breaches") for row in table) else 0


if __name__ == "__main__":
    sys.exit(main())
