"""Many members of a spread in one process: real keepers on real sockets, and nothing of a router beside.

`python -m myrtlecourse.fleet.hollow_spread JOB.json` starts the members that the file names and says `ready`.
It takes orders as lines on its standard input, and answers each with one line of JSON:

    kill NAME...             let members vanish, without a word to anybody
    start NAME...            start them anew, as processes that remember nothing but a log
    take NAME TOKEN          let a control machine write the log under a token
    send NAME RATE SECONDS   let it propose so many purges a second; answers when all are answered
    figures                  what it took so far: processor time, bytes, memory
    status NAME              as operators see it
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from myrtlecourse.net.pool import parse_address
from myrtlecourse.operators import Spread
from myrtlecourse.spread.driver import Driver
from myrtlecourse.spread.messages import Purge
from myrtlecourse.spread.replica_events import Acknowledge, Refuse
from myrtlecourse.spread.setup import peer_addresses, read_keys


class Job(Struct, forbid_unknown_fields=True, frozen=True):
    """What one process plays."""

    spread: dict[str, Any]  # the table as members have it, without name, listen, duty and files
    members: dict[str, str]  # that this process plays, and where each listens
    folder: str  # of applied files and logs
    applied: bool = True


class HollowMembers:
    """The members of one process."""

    def __init__(self, job: Job) -> None:
        self.folder = Path(job.folder)
        self.listen = {name: parse_address(at) for name, at in job.members.items()}
        self.applied = job.applied
        # any member does to read the table with, but for control machines, which want more
        any_member = next(site["routers"][0]["name"] for site in job.spread["site"])
        table = msgspec.convert(job.spread | {"name": any_member}, Spread)
        self.settings, self.peers, self.keys = table.settings(), peer_addresses(table), read_keys(table)
        self.applied_bytes = table.applied_bytes
        self.drivers: dict[str, Driver] = {}
        self.earlier_traffic = [0, 0]  # datagrams and bytes of members that are gone

    async def start(self, *names: str) -> None:
        """Start members."""
        for name in names:
            folder = None
            if name in self.settings.control:
                folder = self.folder / f"{name}.log"
                folder.mkdir(exist_ok=True)
            applied = self.folder / f"{name}.applied" if self.applied else None
            settings = replace(self.settings, name=name)
            driver = Driver(settings, self.peers, self.keys, applied, self.applied_bytes, folder)
            self.drivers[name] = driver
            await driver.start(self.listen[name], shared=False)

    async def kill(self, *names: str) -> None:
        """Let members vanish: nothing more is said, heard or written."""
        for name in names:
            driver = self.drivers.pop(name)
            self.earlier_traffic = [
                self.earlier_traffic[0] + driver.sent,
                self.earlier_traffic[1] + driver.bytes_sent,
            ]
            driver.leave()
            driver.failure = "it has vanished"
            for task in driver.tasks:
                task.cancel()
            if driver.applied_log is not None:
                os.close(driver.applied_log.file)
                driver.applied_log = None
            if driver.log_file is not None:
                driver.log_file.close()

    async def take(self, name: str, token: str) -> None:
        """A duty without an election: whoever gives orders sees to it that one holds it."""
        driver = self.drivers[name]
        driver.held_token = lambda: int(token)
        driver.gain_leadership(int(token))

    async def send(self, name: str, rate: str, seconds: str) -> dict[str, Any]:
        """Propose purges at a steady rate."""
        driver, began, numbers = self.drivers[name], time.monotonic(), list[int]()
        count = round(float(rate) * float(seconds))
        answered, refused = asyncio.Event(), list[str]()

        def answer(told: Acknowledge | Refuse) -> None:
            if isinstance(told, Acknowledge):
                numbers.append(told.number)
            else:
                refused.append(told.reason)
            if len(numbers) + len(refused) == count:
                answered.set()

        for each in range(count):
            await asyncio.sleep(max(0.0, began + each / float(rate) - time.monotonic()))
            driver.propose(Purge(os.urandom(8)), answer)
        await answered.wait()
        return {"last": max(numbers, default=0), "refused": refused, "took": time.monotonic() - began}

    async def figures(self) -> dict[str, Any]:
        """What it took since the process began."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "members": len(self.drivers),
            "cpu_s": used.ru_utime + used.ru_stime,
            "at": time.monotonic(),
            "sent": self.earlier_traffic[0] + sum(k.sent for k in self.drivers.values()),
            "bytes_sent": self.earlier_traffic[1] + sum(k.bytes_sent for k in self.drivers.values()),
            "resident_mb": pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            "vouching": sum(k.status()["vouches"] for k in self.drivers.values()),
        }

    async def status(self, name: str) -> dict[str, Any]:
        """A member's, as operators see it."""
        return self.drivers[name].status()


async def serve(hollow: HollowMembers) -> None:
    """Take orders until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    orders: dict[str, Callable[..., Awaitable[dict[str, Any] | None]]] = {
        each.__name__: each
        for each in (hollow.kill, hollow.start, hollow.take, hollow.send, hollow.figures, hollow.status)
    }
    while line := await reader.readline():
        verb, *words = line.decode().split()
        print(json.dumps(await orders[verb](*words)), flush=True)


async def main(path: Path) -> None:
    """Play what a job says."""
    hollow = HollowMembers(msgspec.json.decode(path.read_bytes(), type=Job))
    await hollow.start(*hollow.listen)
    print("ready", flush=True)
    await serve(hollow)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1])))
