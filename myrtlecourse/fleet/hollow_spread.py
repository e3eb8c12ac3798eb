"""Many members of a spread in one process: real drivers on real sockets, without the rest of a router.

`python -m myrtlecourse.fleet.hollow_spread JOB.json` starts the members that the file names and prints
`ready`. It reads commands as lines from standard input and answers each with one line of JSON:

    kill NAME...             let members vanish without notice to the others
    start NAME...            start them again, as processes with nothing but their logs
    take NAME TOKEN          make a control node the leader under a token
    send NAME RATE SECONDS   propose so many purges per second; answers when all are answered
    figures                  processor time, bytes and memory used so far
    status NAME              the status as operators see it
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
    """The members of one process."""

    spread: dict[str, Any]  # the table of the members without name, listen, duty and files
    members: dict[str, str]  # the listening address of each member of this process
    folder: str  # holds the files of applied entries and the logs
    applied: bool = True  # whether the members write files of applied entries


class HollowMembers:
    """The members of one process."""

    def __init__(self, job: Job) -> None:
        self.folder = Path(job.folder)
        self.listen = {name: parse_address(at) for name, at in job.members.items()}
        self.applied = job.applied
        # Any member's name is valid for reading the table, except a control node's, which needs more fields.
        any_member = next(site["routers"][0]["name"] for site in job.spread["site"])
        table = msgspec.convert(job.spread | {"name": any_member}, Spread)
        self.settings, self.peers, self.keys = table.settings(), peer_addresses(table), read_keys(table)
        self.applied_bytes = table.applied_bytes
        self.drivers: dict[str, Driver] = {}
        self.earlier_traffic = [0, 0]  # datagrams and bytes of members that have been killed

    async def start(self, *names: str) -> None:
        """Start members."""
        for name in names:
            log_folder = None
            if name in self.settings.control:
                log_folder = self.folder / f"{name}.log"
                log_folder.mkdir(exist_ok=True)
            applied = self.folder / f"{name}.applied" if self.applied else None
            settings = replace(self.settings, name=name)
            driver = Driver(settings, self.peers, self.keys, applied, self.applied_bytes, log_folder)
            self.drivers[name] = driver
            await driver.start(self.listen[name], shared=False)

    async def kill(self, *names: str) -> None:
        """Let members vanish: they no longer send, receive or write anything."""
        for name in names:
            driver = self.drivers.pop(name)
            self.earlier_traffic = [
                self.earlier_traffic[0] + driver.sent,
                self.earlier_traffic[1] + driver.bytes_sent,
            ]
            driver.close_socket()
            driver.failure = "it was killed"
            for task in driver.tasks:
                task.cancel()
            if driver.applied_log is not None:
                os.close(driver.applied_log.file)
                driver.applied_log = None
            if driver.log_file is not None:
                driver.log_file.close()

    async def take(self, name: str, token: str) -> None:
        """Make a control node the leader without an election; the caller ensures that there is only one."""
        driver = self.drivers[name]
        driver.held_token = lambda: int(token)
        driver.gain_leadership(int(token))

    async def send(self, name: str, rate: str, seconds: str) -> dict[str, Any]:
        """Propose purges at a steady rate and wait for all answers; `seconds` is how long to propose."""
        driver, began, numbers = self.drivers[name], time.monotonic(), list[int]()
        count = round(float(rate) * float(seconds))
        answered, refused = asyncio.Event(), list[str]()

        def on_answer(result: Acknowledge | Refuse) -> None:
            if isinstance(result, Acknowledge):
                numbers.append(result.number)
            else:
                refused.append(result.reason)
            if len(numbers) + len(refused) == count:
                answered.set()

        for number in range(count):
            await asyncio.sleep(max(0.0, began + number / float(rate) - time.monotonic()))
            driver.propose(Purge(os.urandom(8)), on_answer)
        await answered.wait()
        return {"last": max(numbers, default=0), "refused": refused, "took": time.monotonic() - began}

    async def figures(self) -> dict[str, Any]:
        """Return the resources used since the process started."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "members": len(self.drivers),
            "cpu_s": used.ru_utime + used.ru_stime,
            "at": time.monotonic(),
            "sent": self.earlier_traffic[0] + sum(d.sent for d in self.drivers.values()),
            "bytes_sent": self.earlier_traffic[1] + sum(d.bytes_sent for d in self.drivers.values()),
            "resident_mb": pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            "vouching": sum(d.status()["vouches"] for d in self.drivers.values()),
        }

    async def status(self, name: str) -> dict[str, Any]:
        """Return a member's status as operators see it."""
        return self.drivers[name].status()


async def serve(hollow: HollowMembers) -> None:
    """Execute commands until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    commands: dict[str, Callable[..., Awaitable[dict[str, Any] | None]]] = {
        method.__name__: method
        for method in (hollow.kill, hollow.start, hollow.take, hollow.send, hollow.figures, hollow.status)
    }
    while line := await reader.readline():
        command, *arguments = line.decode().split()
        print(json.dumps(await commands[command](*arguments)), flush=True)


async def main(path: Path) -> None:
    """Start the members of a job and serve commands."""
    hollow = HollowMembers(msgspec.json.decode(path.read_bytes(), type=Job))
    await hollow.start(*hollow.listen)
    print("ready", flush=True)
    await serve(hollow)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1])))
