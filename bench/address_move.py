"""The service address under load: its holder is killed again and again, and what clients see counted.

Three real routers, the switch and boxes of the stand-in fleet, all on loopback. To clients they are one
router, and so the auditor judges them: what a killed holder had in hand is its clients' to ask again, and
nothing else is. Wants four cores for about two minutes; times are this machine's, the bound the settings'.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from msgspec.structs import replace

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor
from myrtlecourse.fleet.address_switch import AddressSwitch
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.fleet.routers import COMMAND, Router
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.generator import Generator
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.requests import plan_requests
from myrtlecourse.operators import read_operators

HEARTBEAT, LEASE, SETTLE = 0.2, 0.8, 0.4
SERVICE = "service"  # the one router that clients see
ON_ITS_WAY = 0.05  # seconds for which an answer may still come of a router that has been killed
PICTURED = 0.1  # seconds of a step in the picture
CALM = 1.0  # seconds between a move and the next kill
SCENARIO: dict[str, Any] = {
    "routers": 3,
    "kinds": [{"name": "std", "boxes": 6, "cores": 4, "connections": 1000}],
    "origin": {"slots": 16, "time": 0.01},
    "classes": [
        {"name": "read", "work": 0.004, "aim": 0.5, "deadline": 1.5},
        {"name": "book", "work": 0.004, "deadline": 2.0, "effect": "guarded", "group": "all", "window": 15.0},
    ],
}


def profile(seconds: float, rate: float) -> Profile:
    """Reads, and bookings that carry a key; clients ask again as parents' browsers do."""
    return msgspec.convert(
        {
            "pieces": [{"seconds": seconds, "rate": rate}],
            "classes": [
                {"name": "read", "share": 90, "deadline": 1.5},
                {"name": "book", "share": 10, "deadline": 2.0, "write": True, "keyed": True},
            ],
            "keys": {"count": 500},
            "clients": {"retries": 2, "backoff": 0.1, "connections": 200},
        },
        Profile,
    )


class Place:
    """Three routers behind one address."""

    def __init__(self, fleet: Fleet, folder: Path, observe: Any) -> None:
        self.fleet = fleet
        self.folder = folder
        self.names = fleet.routers
        self.switch = AddressSwitch({n: free_address() for n in self.names})
        self.routers = {n: Router(n, COMMAND, folder, observe) for n in self.names}
        (folder / "key").write_bytes(os.urandom(32))

    async def start(self) -> None:
        """Bring all up."""
        await self.switch.start()
        await self.switch.relays.open({n: free_address() for n in self.names})
        for name in self.names:
            await self.start_one(name)

    def file(self, name: str) -> Path:
        """A router's operators' file."""
        switch = self.switch
        at = {n: switch.relays.send_addresses.get((name, n), switch.voter_addresses[n]) for n in self.names}
        peers = ", ".join(f'{{name = "{n}", at = "{host}:{port}"}}' for n, (host, port) in at.items())
        host, port = switch.control_address
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[address]\nname = "{name}"\npeers = [{peers}]\nkey_file = "{self.folder / "key"}"\n'
            f'votes_file = "{self.folder / name}.votes"\nswitch = "{host}:{port}"\n'
            f"heartbeat = {HEARTBEAT}\nlease = {LEASE}\nsettle = {SETTLE}\n"
        )
        return path

    async def start_one(self, name: str) -> None:
        """Start a router, or start it again."""
        router = self.routers[name]
        router.address = self.switch.routers[name]
        router.configure(self.fleet.configuration(self.names.index(name)))
        os.environ["MYRTLECOURSE_FILE"] = str(self.file(name))
        await router.start()

    async def holder(self, other_than: str = "") -> str:
        """Whoever has the address, once somebody has."""
        while (name := self.switch.holder) in ("", other_than):
            await asyncio.sleep(0.001)
        return name


async def served_after(told: list[seen.Observation], when: float) -> float:
    """When the first client was served whose answer can't have been on its way before."""
    looked = 0
    while True:
        for each in told[looked:]:
            if (
                isinstance(each, seen.RequestAnswered)
                and each.how == "served"
                and each.at > when + ON_ITS_WAY
            ):
                return each.at
        looked = len(told)
        await asyncio.sleep(0.005)


def draw(
    path: Path, told: list[seen.Observation], killed: float, moved: float, names: tuple[str, str]
) -> None:
    """One move second by second: how clients' tries ended, and who had the address, seconds from the kill."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    figure = Figure(figsize=(9, 4), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=(3, 1))
    slots = np.arange(-1.0, 3.0, PICTURED)
    ends = [
        (e.how, e.at - killed) for e in told if isinstance(e, seen.RequestAnswered | seen.RequestUnanswered)
    ]
    for how in ("served", "refused", "failed", "ended", "late"):
        counts, _ = np.histogram([at for h, at in ends if h == how], [*slots, 3.0])
        if counts.any():
            upper.step(slots, counts, where="post", label=how)
    upper.set(ylabel=f"tries ended, each {PICTURED:g} s", title="the holder of the service address is killed")
    upper.legend()
    lower.barh(0, 1.0, left=-1.0, label=names[0])
    lower.barh(1, 3.0 - moved + killed, left=moved - killed, label=names[1])
    lower.axvline(0.0, color="black", lw=0.8)
    lower.set(yticks=(0, 1), yticklabels=names, xlabel="seconds from the kill", xlim=(-1.0, 3.0))
    figure.savefig(path, dpi=90)


async def play(kills: int, rate: float, folder: Path, picture: Path | None) -> dict[str, Any]:
    """Kill the holder so many times; answers with the figures."""
    told: list[seen.Observation] = []

    def observe(what: seen.Observation) -> None:
        if isinstance(what, seen.RouterUp | seen.RouterDown):
            return  # one of three: to clients the service goes on, and this bench says when it did not
        if isinstance(
            what,
            seen.RequestSent
            | seen.AttemptReceived
            | seen.ListEntrySent
            | seen.DiscoveryCall
            | seen.UnexpectedBytes,
        ):
            what = replace(what, router=SERVICE)
        told.append(what)

    fleet = Fleet(msgspec.convert(SCENARIO, Scenario), observe)
    await fleet.listen()
    place = Place(fleet, folder, observe)
    await place.start()
    await place.holder()
    bound = read_operators(folder / f"{place.names[0]}.toml").address
    assert bound is not None
    seconds = kills * (CALM + 3.0 * LEASE + 2.0) + 30.0
    plan = profile(seconds, rate)
    generator = Generator(plan, plan_requests(plan), [place.switch.address], observe=observe)
    told.append(seen.RouterUp(time.monotonic(), SERVICE))
    load = asyncio.create_task(generator.run())
    moves, outages = [], []
    drawn: tuple[float, float, tuple[str, str]] | None = None
    for _ in range(kills):
        await asyncio.sleep(CALM)
        first = await place.holder()
        began = time.monotonic()
        await place.routers[first].end(kill=True)
        place.switch.drop_router(first)
        told.append(seen.RouterDown(began, SERVICE, True))
        second = await place.holder(first)
        moves.append(time.monotonic() - began)
        outages.append(await served_after(told, began) - began)
        told.append(seen.RouterUp(time.monotonic(), SERVICE))
        await place.start_one(first)
        await asyncio.sleep(LEASE + SETTLE)
        drawn = drawn or (began, began + moves[0], (first, second))
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    await asyncio.gather(*(router.end(kill=False) for router in place.routers.values()))
    place.switch.close()
    fleet.close()
    if picture is not None and drawn is not None:
        draw(picture, told, *drawn)
    return figures(told, moves, outages, bound.election().longest_vacancy)


def figures(
    told: list[seen.Observation], moves: list[float], outages: list[float], bound: float
) -> dict[str, Any]:
    """What it came to."""
    auditor = Auditor(msgspec.convert(SCENARIO, Scenario).rules)
    ends: Counter[str] = Counter()
    for each in sorted(told, key=lambda o: o.at):
        auditor.judge(each)
        if isinstance(each, seen.RequestAnswered | seen.RequestUnanswered):
            ends[each.how] += 1
    verdict = auditor.verdict()

    def quantiles(values: list[float]) -> dict[str, float]:
        p50, p99 = np.quantile(values, [0.5, 0.99])
        return {"p50": float(p50), "p99": float(p99), "max": max(values)}

    return {
        "kills": len(moves),
        "move_s": quantiles(moves),
        "bound_s": bound,
        "no_answer_s": quantiles(outages),
        "tries": dict(ends),
        "breaches": {kind: count for kind, count in verdict["breaches"].items() if count},
        "named": verdict["named"][:10],
    }


def main() -> int:
    """Play it, and print what was measured; exit code 1 when a rule was broken or the bound was not kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second")
    parser.add_argument("--json", type=Path, help="write the figures there")
    parser.add_argument("--picture", type=Path, help="draw the first move, second by second")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="myrtlecourse-") as folder:
        found = asyncio.run(play(options.kills, options.rate, Path(folder), options.picture))
    print(json.dumps(found, indent=2))
    if options.json is not None:
        options.json.write_text(json.dumps(found, indent=2) + "\n")
    return 1 if found["breaches"] or found["move_s"]["max"] > found["bound_s"] else 0


if __name__ == "__main__":
    sys.exit(main())
