"""A router is upgraded while discovery is away: does its new process keep a drain that it was told?"""

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
    CannotRun,
    Case,
    Discovery,
    Origin,
    Router,
    command,
    free_port,
    hit,
    main,
    read_message,
    settings,
)

GRACE = 2.0 + 0.05  # seconds: rules.stopSendingWithin, and the 50 ms that sockets add (PROTOCOL)
OUTAGE = 8.0  # seconds; STANDING: "discovery is down for 8 s"
READY_TIME = 6.0  # seconds; DAYS: "when the new process says yes, within 6 s"
CLIENTS = 8
DRAINED = "s-2"


async def client(case: Case, router: Router, number: int) -> None:
    """A client that asks for a value every 0.1 s, on a connection that it keeps as long as it stands."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*router.address)
            while True:
                key, request = f"pupil-{random.randrange(200)}", f"{random.getrandbits(64):016x}"
                writer.write(command("C.GET", key, request, "c=timetable-read,t=shannonside,d=2000"))
                answer = await read_message(reader)
                text = answer if isinstance(answer, str) else "a value"
                case.record(f"client {number} asked for {key} id={request}, gets {text}")
                await asyncio.sleep(0.1)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.02)


class Servers:
    """Discovery, four cache servers and the origin; one of the cache servers drains at some time."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.discovery = Discovery()
        self.draining = False
        self.sent_to_drained: list[float] = []  # when a command came to the server that drains

    def answer(self, name: str) -> tuple[float, bytes]:
        if name == DRAINED and self.draining:
            self.sent_to_drained.append(self.case.record.now())
            return 0.02, b"-BUSY\r\n"
        return 0.02, hit()

    async def start(self) -> None:
        for number in range(4):
            name = f"s-{number}"
            cache = CacheServer(name, self.case.record, lambda *_, name=name: self.answer(name))
            await cache.start()
            self.discovery.add(name, cache.address)
        origin = Origin(self.case.record, lambda *_: (0.1, b"value"))
        await origin.start()
        self.discovery.add("o-1", origin.address, kind="origin")
        await self.discovery.start()

    async def drain(self) -> float:
        """Let the server drain; return when discovery has told the router."""
        self.draining = True
        self.discovery.change(DRAINED, "terminating")
        self.case.record(f"discovery lists {DRAINED} as terminating")
        await asyncio.wait_for(self.discovery.told.wait(), 5.0)
        return self.case.record(f"discovery has told the router that {DRAINED} drains")


async def upgrade(router: Router) -> tuple[float, float]:
    """Upgrade the router as the platform does; return when that began, and when the new process said yes."""
    record, old = router.record, router.process
    router.configuration["ops"] = f"127.0.0.1:{free_port()}"  # the same addresses but a new second address
    router.write()
    began = record.now()
    await router.start()
    while True:
        await asyncio.sleep(0.1)
        if await router.says_ready():
            break
        if record.now() - began > READY_TIME:
            raise CannotRun("the new process was not ready in time")
    yes = record("the new process says yes")
    router.send_signal(signal.SIGTERM, old)
    return began, yes


async def play(case: Case) -> str:
    record, servers = case.record, Servers(case)
    await servers.start()
    discovery = servers.discovery
    known = {**discovery.list(), "endpoints": [dict(entry) for entry in discovery.entries]}
    configuration = {"discovery": discovery.address, "known": known, "settings": settings()}
    router = case.router("n1", configuration | {"ops": f"127.0.0.1:{free_port()}"})
    router.hold_socket()
    await router.start()
    await router.until_log("operators call")
    await router.until_pong()
    clients = [asyncio.create_task(client(case, router, number)) for number in range(CLIENTS)]
    await asyncio.sleep(2.0)
    told = await servers.drain()
    await asyncio.sleep(3.0)
    if TROUBLE:
        record("discovery is down from now on")
        discovery.set_down(True)
        asyncio.get_running_loop().call_later(OUTAGE, discovery.set_down, False)
    await asyncio.sleep(0.3)
    began, yes = await upgrade(router)
    await asyncio.sleep(OUTAGE - 0.6 - (record.now() - began))
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    sent = servers.sent_to_drained
    if any(told + GRACE < at < began for at in sent):
        raise CannotRun("the old process sent too late as well")
    # what discovery told the router binds the new process 2 s after its yes (DAYS)
    late = [at for at in sent if at > max(told, yes) + GRACE]
    record(f"{DRAINED} got {len(sent)} commands since it drains, {len(late)} of them later than is allowed")
    if not late:
        return ""
    return (
        f"{DRAINED} got {len(late)} new commands too late, the last {late[-1] - told:.1f} s after the router "
        f"was told that it drains and {late[-1] - yes:.1f} s after the yes of the new process"
    )


if __name__ == "__main__":
    main(play, __file__)
