"""What it costs callers when the holder of the service address gives it up on purpose.

Three real routers, the switch and cache servers of the stand-in fleet run on loopback. Clients open a
connection for each request and repeat once what was closed on without an answer, as the protocol has it. The
holder is told to end, to move the address, to leave service, or is upgraded, again and again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from bench.address_move import LEASE, SCENARIO, SETTLE, Service
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.scenario import Scenario

CLIENTS = 8
CLIENT_PAUSE = 0.02  # seconds between the requests of one client
ANSWER_TIMEOUT = 2.5  # seconds; the class's deadline and a second
TRIES = 2
PAUSE = 3 * LEASE + SETTLE  # seconds between plays, in which all voters give their word again
Order = Callable[[Service, str], Awaitable[None]]


async def end(service: Service, holder: str) -> None:
    """Tell the holder to end, and start it again."""
    await service.routers[holder].end(kill=False)
    await service.start_router(holder)


async def move(service: Service, holder: str) -> None:
    """Tell the holder to hand the address over."""
    await service.routers[holder].call("PUT", "address/move")


async def take_out_of_service(service: Service, holder: str) -> None:
    """Tell the holder to leave service, and to come back once another router has the address."""
    await service.routers[holder].call("PUT", "out-of-service")
    await service.wait_for_holder(holder)
    await service.routers[holder].call("PUT", "in-service")


async def upgrade(service: Service, holder: str) -> None:
    """Start a second process of the holder, and tell the first one to end once the second says yes."""
    service.set_operators_file(holder)
    await service.routers[holder].upgrade()


ORDERS: dict[str, Order] = {
    "SIGTERM": end,
    "move": move,
    "out of service": take_out_of_service,
    "upgrade": upgrade,
}


class HandoverService(Service):
    """Three routers behind one address, which operators call and which are upgraded if they inherit."""

    inherit = False

    async def start_router(self, name: str) -> None:
        """Start or restart a router."""
        router = self.routers[name]
        router.address = self.switch.routers[name]
        if self.inherit:
            router.open_listening_socket()
        configuration = self.fleet.configuration(self.names.index(name))
        router.configure({**configuration, "ops": "127.0.0.1:0"})
        self.set_operators_file(name)
        await router.start()


async def ask(address: tuple[str, int], number: int) -> str:
    """Send one request on new connections, and return what became of it."""
    info = "c=read,t=t,d=1500"
    parts = (b"C.GET", b"key-%d" % (number % 500), b"%016x" % number, info.encode())
    request = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)
    for _ in range(TRIES):
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return "nobody has the address"
        try:
            writer.write(request)
            line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT)
        except (OSError, TimeoutError):
            line = b""
        finally:
            writer.close()
        if line:
            return "served" if line[:1] in b"$*" else line.decode("latin-1").split()[0]
    return "closed on twice"


async def run_client(address: tuple[str, int], client: int, outcomes: Counter[str]) -> None:
    """Send requests until cancelled."""
    number = client
    while True:
        outcomes[await ask(address, number)] += 1
        number += CLIENTS
        await asyncio.sleep(CLIENT_PAUSE)


def vacancies(history: list[tuple[float, str, str]]) -> list[float]:
    """Return the seconds between each withdrawal and the next announcement."""
    ends = [(at, event) for at, event, _ in history]
    pairs = zip(ends, ends[1:], strict=False)
    return [b[0] - a[0] for a, b in pairs if (a[1], b[1]) == ("withdraw", "announce")]


async def measure(how: str, plays: int, folder: Path) -> dict[str, Any]:
    """Have the holder give the address up `plays` times, and return the figures."""
    fleet = Fleet(msgspec.convert(SCENARIO, Scenario), lambda _: None)
    await fleet.listen()
    service = HandoverService(fleet, folder, lambda _: None)
    service.inherit = how == "upgrade"
    await service.start()
    await service.wait_for_holder()
    outcomes: Counter[str] = Counter()
    clients = [asyncio.create_task(run_client(service.switch.address, n, outcomes)) for n in range(CLIENTS)]
    moved = []
    for _ in range(plays):
        await asyncio.sleep(PAUSE)
        holder = await service.wait_for_holder()
        began = time.monotonic()
        order = asyncio.create_task(ORDERS[how](service, holder))
        await service.wait_for_holder(holder)
        moved.append(time.monotonic() - began)
        await order
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    without = vacancies(service.switch.history)
    await asyncio.gather(*(router.end(kill=False) for router in service.routers.values()))
    service.switch.close()
    fleet.close()
    return {
        "plays": plays,
        "asked": outcomes.total(),
        **outcomes,
        "moved_after_s": quantiles(moved),
        "without_a_holder_s": quantiles(without),
    }


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median and the largest of some values, rounded."""
    return {"p50": round(float(np.median(values)), 3), "max": round(max(values), 3)} if values else {}


def main() -> int:
    """Run the benchmark; the exit code is 1 if a request was closed on twice."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--how", choices=[*ORDERS], action="append", help="which to play; all unless given")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    options = parser.parse_args()
    results = {}
    for how in options.how or ORDERS:
        with tempfile.TemporaryDirectory(prefix="myrtlecourse-") as folder:
            results[how] = asyncio.run(measure(how, options.plays, Path(folder)))
        print(how, json.dumps(results[how], indent=2), flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=2) + "\n")
    return int(any(r.get("closed on twice", 0) for r in results.values()))


if __name__ == "__main__":
    sys.exit(main())
