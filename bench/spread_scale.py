"""How fast changes and purges reach all of a large fleet, and are known to have; in virtual time.

The program's own cores (`myrtlecourse/spread/`) under a steady load and one trouble, beside two plain ways
over the same network: the holder tells each member itself, and the records of the present gossip carry
purges. A run takes one core and writes its figures to a file of its own; `--merge` makes one of them all, and
`--chart` draws it.
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

from bench.spread_plain import CONTROL, PARTS, REGIONS, ROUTERS, SITES, Figures, percentiles, rumours, unicast
from myrtlecourse.peers.gossip import MOST_MEMBERS
from myrtlecourse.sim.spread import Member, SpreadSimulation
from myrtlecourse.sim.topology import lay_out_sites
from myrtlecourse.spread import messages as said

PURGES, CHANGES = 100.0, 0.72  # a second
DRAIN = 4.0  # seconds without load at the end
Trouble = Callable[["Play", NDArray[Any]], list[Member]]  # told the tiers; answers with whom it befalls


def sized(scale: float) -> tuple[said.Site, ...]:
    """A share of the fleet, its regions of full size as far as that goes."""
    sites = max(4, round(SITES * scale))
    return lay_out_sites(max(2, round(REGIONS * scale)), sites, round(ROUTERS * scale), round(PARTS * scale))


class Play:
    """One world of a size, under load."""

    def __init__(
        self, scale: float, seed: int, loss: float, load: float, pause: float, large_last: bool = False
    ) -> None:
        """`scale`: a share of the fleet's regions, sites and members; `load`: seconds of entries that follow;
        `large_last`: beside them one more, as large as in the whole fleet."""
        entries = int(1.1 * (PURGES + CHANGES) * load) + 200
        layout = sized(scale)
        control = max(3, round(CONTROL * min(1.0, 2 * scale)))
        if large_last:
            whole = [s for s in sized(1.0) if s.region == "r00"]
            layout += tuple(said.Site(f"z{s.name}", "z", s.routers, s.parts) for s in whole)
        self.world = SpreadSimulation(layout, control, seed, entries, pause=pause)
        self.world.network.loss = loss
        self.began = time.perf_counter()
        self.world.start(2.0)
        self.world.run(3.0)
        self.joined = self.world.run_until_consistent(60.0)
        gc.collect()
        gc.freeze()

    def tiers(self) -> NDArray[Any]:
        """Each member's tier, by the layout that all agree on."""
        found = [
            m.node.status(m.clock())["tier"] if m.node is not None else -1 for m in self.world.member_list
        ]
        return np.array(found)

    def times(self, since: float, until: float, those: NDArray[Any], prefix: str = "") -> Figures:
        """Of entries proposed in a time: when they came to those members, and were known to be done.

        `last` is by entry when it came to the last member.
        """
        judge = self.world.judge
        figures: Figures = {}
        within = (judge.proposed_at >= since) & (judge.proposed_at < until)
        kinds = np.array([isinstance(e, said.Change) for e in judge.log])
        for name, kind in (("purge", False), ("change", True)):
            numbers = np.flatnonzero(within[: len(kinds)] & (kinds == kind))
            if not len(numbers):
                continue
            came = judge.applied_at[np.ix_(np.flatnonzero(those), numbers)] - judge.proposed_at[numbers]
            figures |= percentiles(f"{prefix}{name}.member", came.ravel())
            figures |= percentiles(f"{prefix}{name}.last", came.max(axis=0))
            figures |= percentiles(
                f"{prefix}{name}.done_known", (judge.watermark_at - judge.proposed_at)[numbers]
            )
            figures[f"{prefix}{name}.never"] = (float(np.isnan(came).sum()), "entries at members")
            figures |= percentiles(
                f"{prefix}{name}.acknowledged", (judge.acknowledged_at - judge.proposed_at)[numbers]
            )
        return figures

    def hops(self, since: float, until: float, tiers: NDArray[Any]) -> Figures:
        """When entries had come to the last member of each tier."""
        figures: Figures = {}
        for tier in range(4):
            if (those := tiers == tier).any():
                found = self.times(since, until, those)
                figures |= {f"tier{tier}.{n}": v for n, v in found.items() if n.startswith("purge.last")}
        return figures

    def traffic(self, since: float, until: float, tiers: NDArray[Any]) -> Figures:
        """Bytes and datagrams that members send a second, by tier; `most` of one member, in any second."""
        first, last = int(since), min(int(until), len(self.world.second_totals) - 1)
        figures: Figures = {}
        for what, at in (("bytes", 0), ("datagrams", 1)):
            sums = np.array([second[at] for second in self.world.second_totals[first : last + 1]])
            each = np.diff(sums, axis=0)
            for name, those in (
                ("holder", np.arange(len(tiers)) == self.world.members[self.world.holder].index),
                *((f"tier{t}", tiers == t) for t in range(4)),
            ):
                if those.any():
                    figures[f"{name}.{what}.mean"] = (float(each[:, those].mean()), f"{what}/s")
                    figures[f"{name}.{what}.most"] = (float(each[:, those].max()), f"{what}/s")
        return figures

    def until_back(self, those: list[Member], within: float) -> Figures:
        """Seconds until half and until all of those members vouch and have all there is."""
        world, began, figures = self.world, self.world.time, {}
        for name, share in (("half", 0.5), ("all", 1.0)):
            while world.time < began + within:
                last = len(world.judge.log) - 1
                # under load the newest are always on their way
                there = [
                    world.judge.applied_until[m.index] >= last - 5 * PURGES and m.has_lease() for m in those
                ]
                if sum(there) >= share * len(those):
                    figures[f"back.{name}"] = (world.time - began, "s")
                    break
                world.run(0.1)
            else:
                figures[f"back.{name}"] = (math.inf, "s")
        return figures


def steady(play: Play, seconds: float) -> Figures:
    """Nothing goes wrong but the loss."""
    world = play.world
    began = world.time
    world.schedule_load(PURGES, CHANGES, seconds)
    world.run(seconds + DRAIN)
    tiers = play.tiers()
    since, until = began + 1.0, began + seconds
    figures = play.times(since, until, tiers >= 0) | play.hops(since, until, tiers)
    return figures | play.traffic(since, until, tiers) | checked(play)


def checked(play: Play) -> Figures:
    """What the judge has to say at the end, and what the run cost."""
    world = play.world
    settled = world.run_until_consistent(60.0)
    if settled is not None:
        world.check_consistency()
    took = time.perf_counter() - play.began
    return {
        "joined": (math.inf if play.joined is None else 3.0 + play.joined, "s"),
        "all_same_after": (math.inf if settled is None else settled, "s"),
        "members": (float(len(world.member_list)), "members"),
        "entries": (float(len(world.judge.log) - 1), "entries"),
        "refused": (float(world.refused), "entries"),
        "events": (float(world.core.events_run), "events"),
        "run": (took, "s of one core"),
    }


def troubled(play: Play, calm: float, after: float, trouble: Trouble, within: float) -> Figures:
    """A load, a trouble in the midst of it, and what those felt that it did not befall."""
    world = play.world
    world.schedule_load(PURGES, CHANGES, calm + after)
    world.run(calm)
    tiers, at = play.tiers(), world.time
    hit = trouble(play, tiers)
    spared = np.ones(len(world.member_list), bool)
    spared[[m.index for m in hit]] = False
    figures: Figures = {"hit": (float(len(hit)), "members")}
    if (back := [m for m in hit if m.node is not None]) and len(back) == len(hit):
        figures |= play.until_back(back, within)
    world.run(max(0.0, at + after + DRAIN - world.time))
    figures |= play.times(at - calm + 1.0, at - 3.0, spared, "before.")
    figures |= play.times(at - 1.0, at + after, spared, "from.")
    return figures | play.traffic(at, at + after, tiers) | checked(play)


def dead_parents(play: Play, tiers: NDArray[Any]) -> list[Member]:
    """One in a hundred of the relays and heads dies."""
    each = [m for m in play.world.member_list if tiers[m.index] in (1, 2)]
    hit = play.world.core.stream("troubles").sample(each, max(1, len(each) // 100))
    for member in hit:
        member.kill()
    return hit


def tenth_restarted(play: Play, tiers: NDArray[Any]) -> list[Member]:
    """A tenth of all members dies at one moment, and begins anew within a second."""
    chance = play.world.core.stream("troubles")
    hit = chance.sample([m for m in play.world.member_list if tiers[m.index]], len(tiers) // 10)
    for member in hit:
        member.kill()
        play.world.core.call_after(chance.uniform(0.5, 1.5), member.start)
    play.world.run(1.5)
    return hit


def rack_gone(play: Play, tiers: NDArray[Any]) -> list[Member]:
    """Forty of a region's members lose their power."""
    hit = [m for m in play.world.member_list if m.place.region == len(play.world.sites_by_region) - 1][:40]
    for member in hit:
        member.kill()
    return hit


def handed_on(play: Play, tiers: NDArray[Any]) -> list[Member]:
    """The duty is moved: the holder lets go, and 0.3 s later another holds."""
    world = play.world
    world.release_holder()
    world.core.call_after(0.3, world.set_holder, world.control[1])
    return []


def holder_killed(play: Play, tiers: NDArray[Any]) -> list[Member]:
    """The holder dies, another holds after the second that an election takes, and it begins anew."""
    world = play.world
    before = world.members[world.holder]
    before.kill()
    world.core.call_after(1.0, world.set_holder, world.control[1])
    world.core.call_after(5.0, before.start)
    return [before]


def region_away(seconds: float) -> Trouble:
    """The last region is cut off for so long, and then back."""

    def trouble(play: Play, tiers: NDArray[Any]) -> list[Member]:
        world, region = play.world, len(play.world.sites_by_region) - 1
        for cut in (world.network.outbound_cut, world.network.inbound_cut):
            cut.add(region)
            world.core.call_after(seconds, cut.discard, region)
        world.run(seconds)
        return [m for m in world.member_list if m.place.region == region]

    return trouble


TROUBLES: dict[str, Trouble] = {
    "dead_parents": dead_parents,
    "tenth_restarted": tenth_restarted,
    "rack_gone": rack_gone,
    "handed_on": handed_on,
    "holder_killed": holder_killed,
}


def measure(options: argparse.Namespace) -> Figures:
    """One run."""
    scale, seed, loss, seconds, pause = (
        *(options.scale, options.seed, options.loss),
        *(options.seconds, options.pause),
    )
    match options.what:
        case "steady":
            return steady(Play(scale, seed, loss, seconds, pause), seconds)
        case "region_away":
            after, away = options.seconds_back, region_away(options.away)
            play = Play(scale, seed, loss, seconds + options.away + after, pause, large_last=options.large)
            return troubled(play, seconds, options.away + after, away, after)
        case "unicast":
            return unicast(scale, seed, loss, options.budget, options.rate)
        case "gossip":
            return rumours(min(MOST_MEMBERS, round(MOST_MEMBERS * scale)), seed, loss, options.rate)
        case what:
            return troubled(
                Play(scale, seed, loss, 2 * seconds, pause), seconds, seconds, TROUBLES[what], seconds
            )


def merged(paths: list[Path]) -> dict[str, Any]:
    """One file of those of many runs: what differs by its seed alone becomes one measure."""
    found: dict[str, list[dict[str, Any]]] = {}
    for path in paths:
        for each in json.loads(path.read_text())["measures"]:
            conditions = {n: v for n, v in each["conditions"].items() if n != "seed"}
            key = json.dumps([each["name"], conditions], sort_keys=True)
            found.setdefault(key, []).append(each | {"conditions": conditions})
    measures = []
    for each in found.values():
        values = [m["value"] for m in each]
        told = each[0] | {"low": min(values), "high": max(values), "repeats": len(values)}
        measures.append(
            told | {"value": float(np.median(values)), "command": "; ".join(m["command"] for m in each)}
        )
    return {"version": 1, "command": "python -m bench.spread_scale --merge", "measures": measures}


PLACES = {"control": "tier0", "region_relay": "tier1", "site_relay": "tier2", "router": "tier3"}
PLAYED = {("steady", 0.0): "plain", ("steady", 0.01): "loss", ("dead_parents", 0.01): "parent"}


def for_capacity(told: dict[str, Any]) -> dict[str, Any]:
    """The figures that the capacity page names, in its schema (`scale/results.py`)."""
    found: dict[str, dict[str, Any]] = {}

    def add(name: str, unit: str, values: tuple[float, float, float], what: str, command: str) -> None:
        low, value, high = values
        figures = {"value": value, "low": low, "high": high, "repeats": 1, "others": 0.0}
        found[name] = {
            **{"name": name, "what": what, "unit": unit, "form": "sources", "command": command},
            **figures,
        }

    runs: dict[str, dict[str, dict[str, Any]]] = {}
    for m in told["measures"]:
        if (way := PLAYED.get((m["conditions"]["what"], m["conditions"]["loss"]))) is not None:
            runs.setdefault(way, {})[m["name"]] = m
    for way, each in runs.items():
        at = f"in virtual time, {next(iter(each.values()))['conditions']['scale']:g} of the fleet"
        since = "from." if way == "parent" else ""
        for kind in ("purge", "change"):
            last = [each[f"{since}{kind}.last.{what}"] for what in ("p50", "p99", "most")]
            a, b, c = (m["value"] for m in last)
            what = f"seconds until the last member has a {kind}, 99% of them (median to most), {at}"
            add(f"{kind}.whole.{way}", "s", (a, b, c), what, last[0]["command"])
        for place, tier in PLACES.items() if way == "loss" else ():
            for ours, theirs, unit in (("bytes", "bytes_out", "B/s"), ("datagrams", "messages_out", "1/s")):
                mean, most = each[f"{tier}.{ours}.mean"], each[f"{tier}.{ours}.most"]
                what = f"{ours} out, the mean of its tier (and the worst second of one), {at}"
                values = mean["value"], mean["value"], most["value"]
                add(f"spread.{place}.{theirs}", unit, values, what, mean["command"])
    return {"schema": 1, "cores": os.cpu_count(), "measures": list(found.values())}


def draw(told: dict[str, Any], path: Path) -> None:
    """When the last member had what was proposed, by run."""
    from matplotlib import pyplot as plt  # noqa: PLC0415  (an extra)

    figure, both = plt.subplots(1, 2, figsize=(11, 4.5), sharey=True)
    values: dict[str, dict[str, float]] = {}
    for m in told["measures"]:
        c = m["conditions"]
        row = f"{c['what']}, size {c['scale']:g}, {100 * c['loss']:g}% lost"
        row += f", {c['rate']:g}/s" if c.get("rate") is not None else ""
        row += f", pause {c['pause']:g} s" if c.get("pause", 0.1) != 0.1 else ""
        row += " (trial)" if c.get("note") else ""
        values.setdefault(row, {})[m["name"]] = m["value"]
    for axes, kind, goal in zip(both, ("purge", "change"), (1.7, 4.0), strict=True):
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
    whats = ["steady", *TROUBLES, "region_away", "unicast", "gossip"]
    parser.add_argument("--what", choices=whats, default="steady")
    parser.add_argument("--scale", type=float, default=1.0, help="share of the whole fleet (1)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--away", type=float, default=60.0, help="seconds that a region is cut off for (60)")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="of load before a trouble, and after (10)"
    )
    parser.add_argument(
        "--seconds-back", type=float, default=60.0, help="the same after a region is back (60)"
    )
    parser.add_argument("--pause", type=float, default=0.1, help="seconds for which nodes gather (0.1)")
    parser.add_argument("--note", help="what was other in this run than in the repository")
    parser.add_argument("--large", action="store_true", help="the region that is cut off has its full size")
    parser.add_argument("--rate", type=float, help="purges a second of a plain way (0: one alone)")
    parser.add_argument(
        "--budget", type=float, default=1e9, help="bytes a second of the plain holder (no bound)"
    )
    parser.add_argument("--json", type=Path, help="write the figures there; with --merge all of them")
    parser.add_argument("--merge", type=Path, nargs="+", help="files of runs to make one of, without a run")
    parser.add_argument("--capacity", type=Path, help="with --merge: write the capacity page's file there")
    parser.add_argument("--chart", type=Path, help="with --merge: draw there")
    options = parser.parse_args()
    if options.merge:
        told = merged(options.merge)
        if options.chart is not None:
            draw(told, options.chart)
        if options.capacity is not None:
            options.capacity.write_text(json.dumps(for_capacity(told), indent=1) + "\n")
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
        told = {"version": 1, "command": command, "measures": measures}
    if options.json is not None:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_text(json.dumps(told, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
