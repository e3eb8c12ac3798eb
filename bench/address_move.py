"""The service address under load: its holder is killed repeatedly, and the effect on clients is counted.

Three real routers, the switch and cache servers of the stand-in fleet run on loopback. Clients see them as
one router, and the auditor judges them as one: when a holder is killed, its clients may retry the requests
that it was handling, and no others. Needs four cores for about two minutes. The times depend on this machine,
and the bound on the settings.
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
IN_FLIGHT_SECONDS = 0.05  # seconds after a kill in which an answer of the killed router may still arrive
BIN_SECONDS = 0.1  # seconds of a step in the picture
PAUSE_SECONDS = 1.0  # seconds between a move and the next kill
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
    """Return a load of reads, and of bookings with an idempotency key; clients retry as browsers do."""
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


class Service:
    """Three routers behind one address."""

    def __init__(self, fleet: Fleet, folder: Path, observe: Any) -> None:
        self.fleet = fleet
        self.folder = folder
        self.names = fleet.routers
        self.switch = AddressSwitch({n: free_address() for n in self.names})
        self.routers = {n: Router(n, COMMAND, folder, observe) for n in self.names}
        (folder / "key").write_bytes(os.urandom(32))

    async def start(self) -> None:
        """Start the switch and the routers."""
        await self.switch.start()
        await self.switch.relays.open({n: free_address() for n in self.names})
        for name in self.names:
            await self.start_router(name)

    def write_operators_file(self, name: str) -> Path:
        """Write a router's operators' file, and return its path."""
        switch = self.switch
        addresses = {
            n: switch.relays.send_addresses.get((name, n), switch.voter_addresses[n]) for n in self.names
        }
        peers = ", ".join(f'{{name = "{n}", at = "{host}:{port}"}}' for n, (host, port) in addresses.items())
        host, port = switch.control_address
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[address]\nname = "{name}"\npeers = [{peers}]\nkey_file = "{self.folder / "key"}"\n'
            f'votes_file = "{self.folder / name}.votes"\nswitch = "{host}:{port}"\n'
            f"heartbeat = {HEARTBEAT}\nlease = {LEASE}\nsettle = {SETTLE}\n"
        )
        return path

    async def start_router(self, name: str) -> None:
        """Start or restart a router."""
        router = self.routers[name]
        router.address = self.switch.routers[name]
        router.configure(self.fleet.configuration(self.names.index(name)))
        self.set_operators_file(name)
        await router.start()

    def set_operators_file(self, name: str) -> None:
        """Have the process that is started next read this router's operators' file."""
        os.environ["MYRTLECOURSE_FILE"] = str(self.write_operators_file(name))

    async def wait_for_holder(self, other_than: str = "") -> str:
        """Wait until a router holds the address, and return its name."""
        while (name := self.switch.holder) in ("", other_than):
            await asyncio.sleep(0.001)
        return name


async def first_served_after(observations: list[seen.Observation], moment: float) -> float:
    """Return when a client was first served by an answer that was not already in flight at `moment`."""
    checked = 0
    while True:
        for observation in observations[checked:]:
            if (
                isinstance(observation, seen.RequestAnswered)
                and observation.how == "served"
                and observation.at > moment + IN_FLIGHT_SECONDS
            ):
                return observation.at
        checked = len(observations)
        await asyncio.sleep(0.005)


def draw(
    path: Path, observations: list[seen.Observation], killed: float, moved: float, names: tuple[str, str]
) -> None:
    """Draw one move: how clients' tries ended, and who held the address, in seconds from the kill."""
    from matplotlib.figure import Figure  # noqa: PLC0415  (slow to import)

    figure = Figure(figsize=(9, 4), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=(3, 1))
    slots = np.arange(-1.0, 3.0, BIN_SECONDS)
    outcomes = [
        (e.how, e.at - killed)
        for e in observations
        if isinstance(e, seen.RequestAnswered | seen.RequestUnanswered)
    ]
    for how in ("served", "refused", "failed", "ended", "late"):
        counts, _ = np.histogram([at for h, at in outcomes if h == how], [*slots, 3.0])
        if counts.any():
            upper.step(slots, counts, where="post", label=how)
    upper.set(
        ylabel=f"tries ended, each {BIN_SECONDS:g} s", title="the holder of the service address is killed"
    )
    upper.legend()
    lower.barh(0, 1.0, left=-1.0, label=names[0])
    lower.barh(1, 3.0 - moved + killed, left=moved - killed, label=names[1])
    lower.axvline(0.0, color="black", lw=0.8)
    lower.set(yticks=(0, 1), yticklabels=names, xlabel="seconds from the kill", xlim=(-1.0, 3.0))
    figure.savefig(path, dpi=90)


async def measure(kills: int, rate: float, folder: Path, picture: Path | None) -> dict[str, Any]:
    """Kill the holder `kills` times, and return the figures."""
    observations: list[seen.Observation] = []

    def observe(observation: seen.Observation) -> None:
        if isinstance(observation, seen.RouterUp | seen.RouterDown):
            # one of three routers went up or down; clients see only the service, whose ups and downs this
            # benchmark records itself
            return
        if isinstance(
            observation,
            seen.RequestSent
            | seen.AttemptReceived
            | seen.ListEntrySent
            | seen.DiscoveryCall
            | seen.UnexpectedBytes,
        ):
            observation = replace(observation, router=SERVICE)
        observations.append(observation)

    fleet = Fleet(msgspec.convert(SCENARIO, Scenario), observe)
    await fleet.listen()
    service = Service(fleet, folder, observe)
    await service.start()
    await service.wait_for_holder()
    bound = read_operators(folder / f"{service.names[0]}.toml").address
    assert bound is not None
    seconds = kills * (PAUSE_SECONDS + 3.0 * LEASE + 2.0) + 30.0
    plan = profile(seconds, rate)
    generator = Generator(plan, plan_requests(plan), [service.switch.address], observe=observe)
    observations.append(seen.RouterUp(time.monotonic(), SERVICE))
    load = asyncio.create_task(generator.run())
    moves, outages = [], []
    drawn: tuple[float, float, tuple[str, str]] | None = None
    for _ in range(kills):
        await asyncio.sleep(PAUSE_SECONDS)
        first = await service.wait_for_holder()
        began = time.monotonic()
        await service.routers[first].end(kill=True)
        service.switch.drop_router(first)
        observations.append(seen.RouterDown(began, SERVICE, True))
        second = await service.wait_for_holder(first)
        moves.append(time.monotonic() - began)
        outages.append(await first_served_after(observations, began) - began)
        observations.append(seen.RouterUp(time.monotonic(), SERVICE))
        await service.start_router(first)
        await asyncio.sleep(LEASE + SETTLE)
        drawn = drawn or (began, began + moves[0], (first, second))
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    await asyncio.gather(*(router.end(kill=False) for router in service.routers.values()))
    service.switch.close()
    fleet.close()
    if picture is not None and drawn is not None:
        draw(picture, observations, *drawn)
    return summarize(observations, moves, outages, bound.election_settings().longest_vacancy)


def summarize(
    observations: list[seen.Observation], moves: list[float], outages: list[float], bound: float
) -> dict[str, Any]:
    """Return the figures of the run."""
    auditor = Auditor(msgspec.convert(SCENARIO, Scenario).rules)
    outcomes: Counter[str] = Counter()
    for observation in sorted(observations, key=lambda o: o.at):
        auditor.judge(observation)
        if isinstance(observation, seen.RequestAnswered | seen.RequestUnanswered):
            outcomes[observation.how] += 1
    verdict = auditor.verdict()

    def quantiles(values: list[float]) -> dict[str, float]:
        p50, p99 = np.quantile(values, [0.5, 0.99])
        return {"p50": float(p50), "p99": float(p99), "max": max(values)}

    return {
        "kills": len(moves),
        "move_s": quantiles(moves),
        "bound_s": bound,
        "no_answer_s": quantiles(outages),
        "tries": dict(outcomes),
        "breaches": {kind: count for kind, count in verdict["breaches"].items() if count},
        "named": verdict["named"][:10],
    }


def main() -> int:
    """Run the benchmark; the exit code is 1 if a rule was broken or the bound was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--rate", type=float, default=150.0, help="requests per second")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    parser.add_argument("--picture", type=Path, help="file for a chart of the first move")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="myrtlecourse-") as folder:
        results = asyncio.run(measure(options.kills, options.rate, Path(folder), options.picture))
    print(json.dumps(results, indent=2))
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=2) + "\n")
    return 1 if results["breaches"] or results["move_s"]["max"] > results["bound_s"] else 0


if __name__ == "__main__":
    sys.exit(main())
