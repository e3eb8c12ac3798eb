"""How fast changes and purges reach all members of a large fleet, and the holder knows it, in virtual time.

It runs the cores of `myrtlecourse/spread/` under a steady load with one fault, and two simple alternatives on
the same network: the holder sends to each member directly, or the records of the existing gossip carry the
purges. A run takes one core and writes its results to a file of its own. `--merge` combines the files, and
`--chart` draws them.
"""

from __future__ import annotations

import argparse
import gc
import json
import math
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
from numpy.typing import NDArray

from bench.spread_plain import (
    CONTROL,
    PARTS,
    REGIONS,
    ROUTERS,
    SITES,
    Figures,
    measure_gossip,
    measure_unicast,
    percentiles,
)
from myrtlecourse.peers.gossip import MAX_MEMBERS
from myrtlecourse.sim.spread import Member, SpreadSimulation
from myrtlecourse.sim.topology import lay_out_sites
from myrtlecourse.spread import messages as msg

PURGE_RATE, CHANGE_RATE = 100.0, 0.72  # per second
DRAIN_SECONDS = 4.0  # seconds without load at the end
# applies a fault to a run whose members have these tiers, and returns the members that it affects
Fault = Callable[["SpreadRun", NDArray[Any]], list[Member]]


def scaled_sites(scale: float) -> tuple[msg.Site, ...]:
    """Return the sites of a share of the fleet, whose regions have their full size as far as possible."""
    sites = max(4, round(SITES * scale))
    return lay_out_sites(max(2, round(REGIONS * scale)), sites, round(ROUTERS * scale), round(PARTS * scale))


class SpreadRun:
    """A simulated fleet of some size, under load."""

    def __init__(
        self, scale: float, seed: int, loss: float, load: float, pause: float, large_last: bool = False
    ) -> None:
        """Start the fleet.

        `scale` is a share of the fleet's regions, sites and members, and `load` the seconds of load that will
        follow. `large_last` adds a region as large as one of the whole fleet.
        """
        entries = int(1.1 * (PURGE_RATE + CHANGE_RATE) * load) + 200
        layout = scaled_sites(scale)
        control = max(3, round(CONTROL * min(1.0, 2 * scale)))
        if large_last:
            whole = [s for s in scaled_sites(1.0) if s.region == "r00"]
            layout += tuple(msg.Site(f"z{s.name}", "z", s.routers, s.parts) for s in whole)
        self.world = SpreadSimulation(layout, control, seed, entries, pause=pause)
        self.world.network.loss = loss
        self.began_at = time.perf_counter()
        self.world.start(2.0)
        self.world.run(3.0)
        self.joined = self.world.run_until_consistent(60.0)
        gc.collect()
        gc.freeze()

    def tiers(self) -> NDArray[Any]:
        """Return each member's tier in the layout."""
        found = [
            m.node.status(m.clock())["tier"] if m.node is not None else -1 for m in self.world.member_list
        ]
        return np.array(found)

    def latencies(self, since: float, until: float, selected: NDArray[Any], prefix: str = "") -> Figures:
        """Return how long entries proposed in a period took to reach the members, and to be known to be done.

        `last` is the time until an entry reached the last of these members.
        """
        judge = self.world.judge
        figures: Figures = {}
        within = (judge.proposed_at >= since) & (judge.proposed_at < until)
        kinds = np.array([isinstance(e, msg.Change) for e in judge.log])
        for name, kind in (("purge", False), ("change", True)):
            numbers = np.flatnonzero(within[: len(kinds)] & (kinds == kind))
            if not len(numbers):
                continue
            delays = judge.applied_at[np.ix_(np.flatnonzero(selected), numbers)] - judge.proposed_at[numbers]
            figures |= percentiles(f"{prefix}{name}.member", delays.ravel())
            figures |= percentiles(f"{prefix}{name}.last", delays.max(axis=0))
            figures |= percentiles(
                f"{prefix}{name}.done_known", (judge.watermark_at - judge.proposed_at)[numbers]
            )
            figures[f"{prefix}{name}.never"] = (float(np.isnan(delays).sum()), "entries at members")
            figures |= percentiles(
                f"{prefix}{name}.acknowledged", (judge.acknowledged_at - judge.proposed_at)[numbers]
            )
        return figures

    def tier_latencies(self, since: float, until: float, tiers: NDArray[Any]) -> Figures:
        """Return how long entries took to reach the last member of each tier."""
        figures: Figures = {}
        for tier in range(4):
            if (selected := tiers == tier).any():
                tier_figures = self.latencies(since, until, selected)
                figures |= {
                    f"tier{tier}.{n}": v for n, v in tier_figures.items() if n.startswith("purge.last")
                }
        return figures

    def traffic(self, since: float, until: float, tiers: NDArray[Any]) -> Figures:
        """Return the bytes and datagrams sent per second by tier.

        `most` is the maximum of one member in one second.
        """
        first, last = int(since), min(int(until), len(self.world.second_totals) - 1)
        figures: Figures = {}
        for what, at in (("bytes", 0), ("datagrams", 1)):
            sums = np.array([second[at] for second in self.world.second_totals[first : last + 1]])
            rates = np.diff(sums, axis=0)
            for name, selected in (
                ("holder", np.arange(len(tiers)) == self.world.members[self.world.holder].index),
                *((f"tier{t}", tiers == t) for t in range(4)),
            ):
                if selected.any():
                    figures[f"{name}.{what}.mean"] = (float(rates[:, selected].mean()), f"{what}/s")
                    figures[f"{name}.{what}.most"] = (float(rates[:, selected].max()), f"{what}/s")
        return figures

    def recovery_times(self, members: list[Member], within: float) -> Figures:
        """Return the seconds until half, and until all, of some members are up to date with a valid lease."""
        world, began, figures = self.world, self.world.time, {}
        for name, share in (("half", 0.5), ("all", 1.0)):
            while world.time < began + within:
                last = len(world.judge.log) - 1
                # under load the latest entries are always still in transit
                recovered = [
                    world.judge.applied_until[m.index] >= last - 5 * PURGE_RATE and m.has_lease()
                    for m in members
                ]
                if sum(recovered) >= share * len(members):
                    figures[f"back.{name}"] = (world.time - began, "s")
                    break
                world.run(0.1)
            else:
                figures[f"back.{name}"] = (math.inf, "s")
        return figures


def steady(run: SpreadRun, seconds: float) -> Figures:
    """Measure without any fault but packet loss."""
    world = run.world
    began = world.time
    world.schedule_load(PURGE_RATE, CHANGE_RATE, seconds)
    world.run(seconds + DRAIN_SECONDS)
    tiers = run.tiers()
    since, until = began + 1.0, began + seconds
    figures = run.latencies(since, until, tiers >= 0) | run.tier_latencies(since, until, tiers)
    return figures | run.traffic(since, until, tiers) | final_checks(run)


def final_checks(run: SpreadRun) -> Figures:
    """Check that all members agree at the end, and return the totals of the run."""
    world = run.world
    agreed_after = world.run_until_consistent(60.0)
    if agreed_after is not None:
        world.check_consistency()
    took = time.perf_counter() - run.began_at
    return {
        "joined": (math.inf if run.joined is None else 3.0 + run.joined, "s"),
        "all_same_after": (math.inf if agreed_after is None else agreed_after, "s"),
        "members": (float(len(world.member_list)), "members"),
        "entries": (float(len(world.judge.log) - 1), "entries"),
        "refused": (float(world.refused), "entries"),
        "events": (float(world.core.events_run), "events"),
        "run": (took, "s of one core"),
    }


def measure_fault(run: SpreadRun, calm: float, after: float, fault: Fault, within: float) -> Figures:
    """Measure a load with a fault in its middle, and the latencies at the members that are not affected."""
    world = run.world
    world.schedule_load(PURGE_RATE, CHANGE_RATE, calm + after)
    world.run(calm)
    tiers, fault_at = run.tiers(), world.time
    affected = fault(run, tiers)
    unaffected = np.ones(len(world.member_list), bool)
    unaffected[[m.index for m in affected]] = False
    figures: Figures = {"hit": (float(len(affected)), "members")}
    if (living := [m for m in affected if m.node is not None]) and len(living) == len(affected):
        figures |= run.recovery_times(living, within)
    world.run(max(0.0, fault_at + after + DRAIN_SECONDS - world.time))
    figures |= run.latencies(fault_at - calm + 1.0, fault_at - 3.0, unaffected, "before.")
    figures |= run.latencies(fault_at - 1.0, fault_at + after, unaffected, "from.")
    return figures | run.traffic(fault_at, fault_at + after, tiers) | final_checks(run)


def kill_relays(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
    """Kill 1% of the relays."""
    relays = [m for m in run.world.member_list if tiers[m.index] in (1, 2)]
    affected = run.world.core.stream("troubles").sample(relays, max(1, len(relays) // 100))
    for member in affected:
        member.kill()
    return affected


def restart_tenth(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
    """Kill a tenth of all members at once; they restart about a second later."""
    rng = run.world.core.stream("troubles")
    affected = rng.sample([m for m in run.world.member_list if tiers[m.index]], len(tiers) // 10)
    for member in affected:
        member.kill()
        run.world.core.call_after(rng.uniform(0.5, 1.5), member.start)
    run.world.run(1.5)
    return affected


def kill_rack(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
    """Kill forty members of one region."""
    affected = [m for m in run.world.member_list if m.place.region == len(run.world.sites_by_region) - 1][:40]
    for member in affected:
        member.kill()
    return affected


def move_duty(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
    """Move the duty: the holder releases it, and another control node takes it 0.3 s later."""
    world = run.world
    world.release_holder()
    world.core.call_after(0.3, world.set_holder, world.control[1])
    return []


def kill_holder(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
    """Kill the holder, and restart it later; another takes the duty after the time of an election, 1 s."""
    world = run.world
    holder = world.members[world.holder]
    holder.kill()
    world.core.call_after(1.0, world.set_holder, world.control[1])
    world.core.call_after(5.0, holder.start)
    return [holder]


def make_region_cut(seconds: float) -> Fault:
    """Return a fault that cuts off the last region for some seconds."""

    def cut_region(run: SpreadRun, tiers: NDArray[Any]) -> list[Member]:
        world, region = run.world, len(run.world.sites_by_region) - 1
        for blocked in (world.network.outbound_cut, world.network.inbound_cut):
            blocked.add(region)
            world.core.call_after(seconds, blocked.discard, region)
        world.run(seconds)
        return [m for m in world.member_list if m.place.region == region]

    return cut_region


FAULTS: dict[str, Fault] = {
    "dead_parents": kill_relays,
    "tenth_restarted": restart_tenth,
    "rack_gone": kill_rack,
    "handed_on": move_duty,
    "holder_killed": kill_holder,
}


def measure(options: argparse.Namespace) -> Figures:
    """Run one measurement."""
    scale, seed, loss, seconds, pause = (
        *(options.scale, options.seed, options.loss),
        *(options.seconds, options.pause),
    )
    match options.what:
        case "steady":
            return steady(SpreadRun(scale, seed, loss, seconds, pause), seconds)
        case "region_away":
            after, fault = options.seconds_back, make_region_cut(options.away)
            run = SpreadRun(
                scale, seed, loss, seconds + options.away + after, pause, large_last=options.large
            )
            return measure_fault(run, seconds, options.away + after, fault, after)
        case "unicast":
            return measure_unicast(scale, seed, loss, options.budget, options.rate)
        case "gossip":
            return measure_gossip(min(MAX_MEMBERS, round(MAX_MEMBERS * scale)), seed, loss, options.rate)
        case what:
            return measure_fault(
                SpreadRun(scale, seed, loss, 2 * seconds, pause), seconds, seconds, FAULTS[what], seconds
            )


def merge_files(paths: list[Path]) -> dict[str, Any]:
    """Merge the files of many runs: measures that differ only in their seed become one."""
    found: dict[str, list[dict[str, Any]]] = {}
    for path in paths:
        for each in json.loads(path.read_text())["measures"]:
            conditions = {n: v for n, v in each["conditions"].items() if n != "seed"}
            key = json.dumps([each["name"], conditions], sort_keys=True)
            found.setdefault(key, []).append(each | {"conditions": conditions})
    measures = []
    for each in found.values():
        values = [m["value"] for m in each]
        merged = each[0] | {"low": min(values), "high": max(values), "repeats": len(values)}
        measures.append(
            merged | {"value": float(np.median(values)), "command": "; ".join(m["command"] for m in each)}
        )
    return {"version": 1, "command": "python -m bench.spread_scale --merge", "measures": measures}


TIERS_BY_ROLE = {"control": "tier0", "region_relay": "tier1", "site_relay": "tier2", "router": "tier3"}
CASES = {("steady", 0.0): "plain", ("steady", 0.01): "loss", ("dead_parents", 0.01): "parent"}


def capacity_results(merged: dict[str, Any]) -> dict[str, Any]:
    """Return the measures for the capacity page, in its schema (`scale/capacity_results.py`)."""
    found: dict[str, dict[str, Any]] = {}

    def add(name: str, unit: str, values: tuple[float, float, float], what: str, command: str) -> None:
        low, value, high = values
        figures = {"value": value, "low": low, "high": high, "repeats": 1, "others": 0.0}
        found[name] = {
            **{"name": name, "what": what, "unit": unit, "form": "sources", "command": command},
            **figures,
        }

    runs: dict[str, dict[str, dict[str, Any]]] = {}
    for m in merged["measures"]:
        if (case := CASES.get((m["conditions"]["what"], m["conditions"]["loss"]))) is not None:
            runs.setdefault(case, {})[m["name"]] = m
    for case, measures in runs.items():
        at = f"in virtual time, {next(iter(measures.values()))['conditions']['scale']:g} of the fleet"
        since = "from." if case == "parent" else ""
        for kind in ("purge", "change"):
            last = [measures[f"{since}{kind}.last.{what}"] for what in ("p50", "p99", "most")]
            a, b, c = (m["value"] for m in last)
            what = f"seconds until the last member has a {kind}, 99% of them (median to most), {at}"
            add(f"{kind}.whole.{case}", "s", (a, b, c), what, last[0]["command"])
        for role, tier in TIERS_BY_ROLE.items() if case == "loss" else ():
            for figure, measure, unit in (
                ("bytes", "bytes_out", "B/s"),
                ("datagrams", "messages_out", "1/s"),
            ):
                mean, most = measures[f"{tier}.{figure}.mean"], measures[f"{tier}.{figure}.most"]
                what = f"{figure} out, the mean of its tier (and the worst second of one), {at}"
                values = mean["value"], mean["value"], most["value"]
                add(f"spread.{role}.{measure}", unit, values, what, mean["command"])
    return {"schema": 1, "cores": os.cpu_count(), "measures": list(found.values())}


def draw(merged: dict[str, Any], path: Path) -> None:
    """Draw how long the entries of each run took to reach the last member and to be known to be done."""
    from matplotlib import pyplot as plt  # noqa: PLC0415  (an extra)

    figure, panels = plt.subplots(1, 2, figsize=(11, 4.5), sharey=True)
    values: dict[str, dict[str, float]] = {}
    for m in merged["measures"]:
        c = m["conditions"]
        row = f"{c['what']}, size {c['scale']:g}, {100 * c['loss']:g}% lost"
        row += f", {c['rate']:g}/s" if c.get("rate") is not None else ""
        row += f", pause {c['pause']:g} s" if c.get("pause", 0.1) != 0.1 else ""
        row += " (trial)" if c.get("note") else ""
        values.setdefault(row, {})[m["name"]] = m["value"]
    for axes, kind, goal in zip(panels, ("purge", "change"), (1.7, 4.0), strict=True):
        for y, (_, each) in enumerate(values.items()):
            prefix = "from." if f"from.{kind}.last.most" in each else ""
            for what, marker in (("p50", "|"), ("p99", "o"), ("most", "x")):
                if (at := each.get(f"{prefix}{kind}.last.{what}")) is not None:
                    axes.plot(at, y, marker, color="C0")
                if (at := each.get(f"{prefix}{kind}.done_known.{what}")) is not None:
                    axes.plot(at, y + 0.25, marker, color="C1")
        axes.axvline(goal, color="0.7")
        axes.set(xlim=(0.0, None), xlabel="seconds", title=f"{kind}s")
        axes.set_yticks(range(len(values)), list(values))
    figure.suptitle(
        "At the last member (blue), known to be done (orange): | median, o 99%, x most; grey: the aim"
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    choices = ["steady", *FAULTS, "region_away", "unicast", "gossip"]
    parser.add_argument("--what", choices=choices, default="steady")
    parser.add_argument("--scale", type=float, default=1.0, help="simulated share of the whole fleet (1)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--away", type=float, default=60.0, help="seconds that a region is cut off for (60)")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="seconds of load before a fault, and after it (10)"
    )
    parser.add_argument(
        "--seconds-back", type=float, default=60.0, help="seconds of load after a region is back (60)"
    )
    parser.add_argument(
        "--pause", type=float, default=0.1, help="seconds for which nodes batch entries (0.1)"
    )
    parser.add_argument("--note", help="how this run differs from the repository")
    parser.add_argument("--large", action="store_true", help="give the region that is cut off its full size")
    parser.add_argument(
        "--rate", type=float, help="purges per second of a simple alternative (0: a single one)"
    )
    parser.add_argument(
        "--budget",
        type=float,
        default=1e9,
        help="bytes per second that the holder sends by unicast (no limit)",
    )
    parser.add_argument("--json", type=Path, help="file for the results; with --merge, for the merged ones")
    parser.add_argument(
        "--merge", type=Path, nargs="+", help="merge the files of these runs instead of running"
    )
    parser.add_argument("--capacity", type=Path, help="with --merge: file for the capacity page")
    parser.add_argument("--chart", type=Path, help="with --merge: file for a chart")
    options = parser.parse_args()
    if options.merge:
        results = merge_files(options.merge)
        if options.chart is not None:
            draw(results, options.chart)
        if options.capacity is not None:
            options.capacity.write_text(json.dumps(capacity_results(results), indent=1) + "\n")
    else:
        names = ("what", "scale", "seed", "loss", "rate", "note")
        if options.what == "unicast":
            names = (*names, "budget")
        elif options.what not in ("unicast", "gossip"):
            names = (*names, "seconds", "pause")
        if options.what == "region_away":
            names = (*names, "away", "large", "seconds_back")
        conditions = {name: getattr(options, name) for name in names}
        command = "python -m bench.spread_scale " + " ".join(
            f"--{n.replace('_', '-')}" + (f" {v}" if v is not True else "")
            for n, v in conditions.items()
            if v is not None and v is not False and n != "note"
        )
        measures = []
        for name, (value, unit) in measure(options).items():
            print(f"{name:32} {value:14.3f} {unit}", flush=True)
            each = {"name": name, "value": value, "unit": unit, "low": value, "high": value, "repeats": 1}
            measures.append(each | {"conditions": conditions, "command": command})
        results = {"version": 1, "command": command, "measures": measures}
    if options.json is not None:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
