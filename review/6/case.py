"""A router gets a new configuration with shorter deadlines, and is then told to end: are the requests
answered that it took under the old ones?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from harness import (
    TROUBLE,
    CacheServer,
    Case,
    Discovery,
    Origin,
    Router,
    command,
    hit,
    main,
    read_message,
    settings,
)

BOOKINGS = 4
WAIT = 2400  # milliseconds that a client waits: 80% of the class's 3 s, as the brief has it
WRITE_TIME = 2.0  # seconds that the slow origin takes for a booking: within the client's wait
ALLOWED = 0.5  # seconds; STANDING: "Up to half a second after its time it only earns nothing"


def classes(short: bool) -> dict[str, dict[str, object]]:
    return {
        "timetable-read": {
            "aim": 0.6 if short else 1.2,
            "effect": "free",
            "giveUp": 1.0 if short else 2.5,
            "group": "all",
            "repeatWindow": 5.0,
            "value": 3.0,
        },
        "slot-booking": {
            "aim": 0.8 if short else 2.4,
            "effect": "guarded",
            "giveUp": 1.0 if short else 3.0,
            "group": "all",
            "repeatWindow": 15.0,
            "value": 9.0,
        },
    }


async def book(case: Case, router: Router, number: int) -> str:
    """Send one booking and return what became of it."""
    record = case.record
    request = f"{random.getrandbits(64):016x}"
    reader, writer = await asyncio.open_connection(*router.address)
    writer.write(
        command(
            "C.SET", f"pupil-{number}", request, f"c=slot-booking,t=shannonside,d={WAIT},k=k{request}", "slot"
        )
    )
    await writer.drain()
    record(f"client sends C.SET id={request} d={WAIT}")
    try:
        answer = await asyncio.wait_for(read_message(reader), WAIT / 1000 + ALLOWED)
        result = answer if isinstance(answer, str) else "served"
    except TimeoutError:
        result = "no answer"
    except (OSError, asyncio.IncompleteReadError):
        result = "no answer: the router closed the connection"
    record(f"client gets id={request}: {result}")
    writer.close()
    return result


async def play(case: Case) -> str:
    record = case.record
    discovery = Discovery()
    for number in range(3):
        cache = CacheServer(f"cache-{number}", record, lambda *_: (0.02, hit()))
        await cache.start()
        discovery.add(f"s-{number}", cache.address)
    origin = Origin(record, lambda method, *_: (WRITE_TIME if method == "PUT" else 0.2, b"receipt"))
    await origin.start()
    discovery.add("o-1", origin.address, kind="origin")
    await discovery.start()
    configuration = {
        "discovery": discovery.address,
        "known": discovery.list(),
        "settings": settings(**classes(short=False)),
    }
    router = case.router("n1", configuration)
    await router.start()
    await router.until_pong()
    bookings = [asyncio.create_task(book(case, router, number)) for number in range(BOOKINGS)]
    await asyncio.sleep(0.05)
    if TROUBLE:
        router.configuration["settings"] = settings(**classes(short=True))
        router.write()
        router.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.15)
    router.send_signal(signal.SIGTERM)
    assert router.process is not None
    ended = asyncio.create_task(router.process.wait())
    ended.add_done_callback(lambda task: record(f"the router has ended with {task.result()}"))
    results = await asyncio.gather(*bookings)
    async with asyncio.timeout(5.0):
        await ended
    lost = sum(result.startswith("no answer") for result in results)
    return (
        f"{lost} of {len(results)} bookings that the router had taken and sent on were never answered"
        if lost
        else ""
    )


if __name__ == "__main__":
    main(play, __file__)
