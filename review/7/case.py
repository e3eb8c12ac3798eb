"""The holder of the service address is restarted as planned: are the requests answered that come on new
connections while it hands the address over?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from address_fleet import AddressFleet
from harness import TROUBLE, Case, command, hit, main, read_message

CLIENTS = 6
# seconds after SIGTERM in which new connections still come; PROTOCOL: "for 0.2 to 0.4 s"
STILL_COMING = 0.4
WAIT = 2.0  # seconds that a client waits for its answer
ALLOWED = 0.5  # seconds; STANDING: "Up to half a second after its time it only earns nothing"
WATCHED = 5.0  # seconds


class Network:
    """Where the network directs what comes for the service address: to the router that announced it last."""

    def __init__(self, fleet: AddressFleet) -> None:
        self.fleet, self.file = fleet, fleet.case.folder / "commands"

    def holder(self) -> str:
        holder = ""
        for line in self.file.read_text().splitlines():
            _, router, word, *_ = line.split()
            if word == "announce":
                holder = router
            elif word == "withdraw" and holder == router:
                holder = ""
        return holder


async def ask(case: Case, network: Network, request: str, key: str) -> str:
    """Send a read on a new connection, and return what became of it."""
    record, holder = case.record, network.holder()
    if not holder:
        return "no connection: nobody has the address"
    try:
        reader, writer = await asyncio.open_connection(*network.fleet.routers[holder].address)
    except OSError:
        return f"no connection to {holder}"
    try:
        writer.write(command("C.GET", key, request, f"c=timetable-read,t=shannonside,d={1000 * WAIT:.0f}"))
        record(f"client sends C.GET id={request} on a new connection to {holder}")
        answer = await asyncio.wait_for(read_message(reader), WAIT + ALLOWED)
        return answer if isinstance(answer, str) else "served"
    except (OSError, asyncio.IncompleteReadError):
        return f"lost: {holder} closed the connection without an answer"
    except TimeoutError:
        return "lost: no answer"
    finally:
        writer.close()


async def client(case: Case, network: Network, results: list[tuple[float, str]]) -> None:
    """A client that comes on a new connection for each request, as those of a front may. One that is closed
    without an answer is sent once more on another, as PROTOCOL has it for a request that was not read."""
    while True:
        request, key = f"{random.getrandbits(64):016x}", f"pupil-{random.randrange(50)}"
        sent = case.record.now()
        result = await ask(case, network, request, key)
        case.record(f"client gets id={request}: {result}")
        if "closed the connection" in result:
            result = await ask(case, network, request, key)
            case.record(f"client gets id={request}, sent once more: {result}")
        results.append((sent, result))
        await asyncio.sleep(0.05)


async def play(case: Case) -> str:
    record = case.record
    case.without_compiler()
    fleet = AddressFleet(
        case, lambda *_: (random.uniform(0.05, 0.3), hit()), lambda *_: (random.uniform(0.1, 0.3), b"receipt")
    )
    await fleet.prepare()
    holder = await fleet.start()
    await asyncio.sleep(1.0)
    results: list[tuple[float, str]] = []
    clients = [asyncio.create_task(client(case, Network(fleet), results)) for _ in range(CLIENTS)]
    await asyncio.sleep(1.0)
    began = record.now()
    if TROUBLE:
        holder.send_signal(signal.SIGTERM)
        assert holder.process is not None
        ended = asyncio.create_task(holder.process.wait())
        ended.add_done_callback(lambda task: record(f"{holder.name} has ended with {task.result()}"))
    await asyncio.sleep(WATCHED)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    fleet.write_down_commands()
    for result, number in Counter(result for _, result in results).items():
        record(f"{number} requests: {result}")
    lost = [at - began for at, result in results if result.startswith("lost") and at - began <= STILL_COMING]
    if not lost:
        return ""
    return (
        f"{len(lost)} requests were closed on without an answer, twice each, sent {min(lost):.2f} to "
        f"{max(lost):.2f} s after SIGTERM"
    )


if __name__ == "__main__":
    main(play, __file__)
