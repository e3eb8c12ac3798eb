"""What a router needs when the list has sixteen times the cache servers, and the traffic is the same.

One real router as `run` starts it, before stand-ins under as many names as are listed. Six in ten of them are
replaced in steps while clients ask evenly, some of them servers that never answer, so that deadlines have to
be kept; half way the router is ended and started again. Prints what it took beside what it may take.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections import deque
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson
from uvloop import new_event_loop

from myrtlecourse.net.command import CommandError, read_command
from myrtlecourse.net.resp import INCOMPLETE, Reader, encode_command

ROOT = Path(__file__).resolve().parent.parent
ADDRESSES = 16  # at which all listed servers are
SILENT = 4  # of those, where nothing is answered
DEADLINE = 0.6  # seconds
STEPS = 12  # in which servers are replaced
REPLACED = 0.6  # of the list
VALUE = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
LATE_ROOM = 2.0  # seconds after its deadline for which a client listens


@dataclass
class Used:
    """What one play came to."""

    listed: int
    asked: int = 0
    served: int = 0
    latest_s: float = 0.0  # a final answer after its deadline
    told_over_s: float = -DEADLINE  # what a server was told over what was left to the client
    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0
    dials: int = 0
    list_kb: float = 0.0
    longest_turn_ms: float = 0.0


@dataclass
class Fleet:
    """The stand-ins of one play, and what they see."""

    used: Used
    ports: list[int] = field(default_factory=list)
    sent: dict[str, float] = field(default_factory=dict)  # when each request was
    names: deque[str] = field(default_factory=deque)
    changes: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def line(self, name: str, status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
        number = int(name.rpartition("-")[2])
        return {
            "name": name,
            "address": f"127.0.0.1:{self.ports[number % ADDRESSES]}",
            "zone": f"z{number % 3}",
            "type": "std",
            "group": number % 8,
            "status": status,
            "weight": 1.0 + number % 7 / 10,
            "since_ms": since_ms,
        }

    def whole(self) -> dict[str, Any]:
        endpoints = [self.line(name) for name in self.names]
        return {"index": 1 + len(self.changes), "snapshot": True, "endpoints": endpoints}

    def replace(self, count: int) -> None:
        """So many servers end, and as many start."""
        ends = [self.names.popleft() for _ in range(count)]
        first = self.used.listed + len(self.changes) * count
        joins = [f"s-{first + i}" for i in range(count)]
        self.names.extend(joins)
        now = round(time.time() * 1000)
        lines = [self.line(n, "terminated") for n in ends] + [self.line(n, since_ms=now) for n in joins]
        index = 2 + len(self.changes)
        self.changes.append(orjson.dumps({"index": index, "snapshot": False, "endpoints": lines}))
        self.changed.set()

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A cache server: hits at once, or never answers."""
        self.used.dials += 1
        commands = Reader(16, 65536, 70000)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                commands.feed(data)
                while (parts := commands.next_message()) is not INCOMPLETE:
                    self._note(parts)
                    if number >= SILENT:
                        writer.write(VALUE)
        writer.close()

    def _note(self, parts: Any) -> None:
        with contextlib.suppress(CommandError):
            command = read_command(parts)
            left = self.sent[command.request_id.decode()] + DEADLINE - time.monotonic()
            self.used.told_over_s = max(self.used.told_over_s, command.deadline_ms / 1000 - left)

    async def tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Discovery: the whole list, or a watch on what changes."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1].decode()
            if "after=" in target:
                known = int(target.partition("after=")[2].partition("&")[0])
                while known > len(self.changes):
                    self.changed.clear()
                    await self.changed.wait()
                body = self.changes[known - 1]
            else:
                body = orjson.dumps(self.whole())
            self.used.list_kb += len(body) / 1024
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class Router:
    """The router's process, one after the other."""

    def __init__(self, folder: Path, fleet: Fleet) -> None:
        self.folder = folder
        self.fleet = fleet
        self.process: asyncio.subprocess.Process | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, discovery: int) -> None:
        classes = [{"name": "read", "aim": DEADLINE / 2, "giveUp": DEADLINE, "effect": "free", "value": 1.0}]
        limits = {"mostTries": 4, "mayCancel": True, "secondCopies": True, "connIdle": 5.0}
        rules = {"coldFrom": 0.4, "rampTime": 4.0, "fallMultiple": 4.0, "stopSendingWithin": 2.0}
        settings = {
            "classes": classes,
            "limits": limits,
            "rules": rules,
            "membershipMode": "subscribe",
            "siblings": 200,
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 640},
            "known": self.fleet.whole(),
            "settings": settings,
        }
        path, log = self.folder / "config.json", self.folder / "router.log"
        path.write_bytes(orjson.dumps(config))
        written = log.stat().st_size if log.exists() else 0
        command = [sys.executable, "-B", str(ROOT / "deploy/start.py")]
        with log.open("ab") as out:
            environment = {**os.environ, "RELAY_CONFIG": str(path)}
            self.process = await asyncio.create_subprocess_exec(
                *command, env=environment, stdout=out, stderr=out
            )
        while b"listening on " not in (text := log.read_bytes()[written:]):
            if self.process.returncode is not None:
                raise SystemExit(text.decode()[-2000:])
            await asyncio.sleep(0.01)
        host, _, port = text.split(b"listening on ")[1].split()[0].decode().rpartition(":")
        self.address = host, int(port)

    async def end(self) -> None:
        """End it, and count what it has used."""
        assert self.process is not None
        used, place = self.fleet.used, Path(f"/proc/{self.process.pid}")
        used.descriptors = max(used.descriptors, len(list((place / "fd").iterdir())))
        for line in (place / "status").read_text().splitlines():
            if line.startswith("VmHWM"):
                used.peak_mb = max(used.peak_mb, int(line.split()[1]) / 1024)
        fields = (place / "stat").read_text().rpartition(")")[2].split()
        used.cpu_s += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        self.process.terminate()
        await self.process.wait()
        text = (self.folder / "router.log").read_text()
        turns = [float(each.split()[0]) for each in text.split("event loop took ")[1:]]
        used.longest_turn_ms = max(turns, default=0.0)


async def ask(fleet: Fleet, address: tuple[str, int], rested: list[Any], number: int) -> None:
    """One read, on a connection that has rested if there is one."""
    used, name = fleet.used, f"r{number:07}"
    used.asked += 1
    try:
        link = rested.pop() if rested else await asyncio.open_connection(*address)
        fleet.sent[name] = began = time.monotonic()
        link[1].write(
            encode_command([b"C.GET", b"key%d" % (number % 5000), name.encode(), b"c=read,t=x,d=600"])
        )
        answer = await asyncio.wait_for(link[0].readline(), DEADLINE + LATE_ROOM)
        used.latest_s = max(used.latest_s, time.monotonic() - began - DEADLINE)
        if answer.startswith(b"$"):
            used.served += 1
            await link[0].readline()
        if answer:
            rested.append(link)
    except (OSError, TimeoutError):
        return


async def play(listed: int, rate: float, seconds: float, folder: Path) -> Used:
    """One list's length."""
    fleet = Fleet(Used(listed))
    fleet.names.extend(f"s-{i}" for i in range(listed))
    servers = []
    for number in range(ADDRESSES):
        server = await asyncio.start_server(
            lambda r, w, number=number: fleet.serve(number, r, w), "127.0.0.1", 0
        )
        servers.append(server)
        fleet.ports.append(server.sockets[0].getsockname()[1])
    discovery = await asyncio.start_server(fleet.tell, "127.0.0.1", 0)
    router = Router(folder, fleet)
    await router.start(discovery.sockets[0].getsockname()[1])
    began, number, step, restarted = time.monotonic(), 0, 0, False
    rested: list[Any] = []
    asking = set()
    while (passed := time.monotonic() - began) < seconds:
        if passed > (step + 1) * seconds / (STEPS + 2) and step < STEPS:
            step += 1
            fleet.replace(round(listed * REPLACED / STEPS))
        if passed > seconds / 2 and not restarted:
            restarted = True
            await asyncio.gather(*asking)
            await router.end()
            rested.clear()
            await router.start(discovery.sockets[0].getsockname()[1])
        task = asyncio.create_task(ask(fleet, router.address, rested, number))
        asking.add(task)
        task.add_done_callback(asking.discard)
        number += 1
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
    await asyncio.gather(*asking)
    await router.end()
    for server in [*servers, discovery]:
        server.close()
    return fleet.used


def limits(usual: Used, large: Used) -> dict[str, tuple[float, float]]:
    """What the larger list took, and the most that it may take."""
    thousands = large.listed / 1000
    return {
        "cpu_s": (large.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.12 * thousands),
        "peak_mb": (large.peak_mb, 1.5 * usual.peak_mb + 8 + 4 * thousands),
        "descriptors": (large.descriptors, 2 * usual.descriptors + 40),
        "dials": (large.dials, 2.5 * usual.dials + 40),
        "list_kb": (large.list_kb, 2 * usual.list_kb + 64 + 500 * thousands),
        "latest_s": (large.latest_s, 0.5),
        "told_over_s": (large.told_over_s, 0.15),
        "not served": (usual.served / usual.asked * 0.85, large.served / large.asked),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--usual", type=int, default=200, help="servers in the shorter list (200)")
    parser.add_argument("--large", type=int, default=3200, help="in the longer one (3200)")
    parser.add_argument("--rate", type=float, default=25.0, help="requests a second (25)")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each play (20)")
    parser.add_argument("--json", type=Path, help="a file for the results")
    given = parser.parse_args()
    found = []
    for listed in (given.usual, given.large):
        with tempfile.TemporaryDirectory() as name, asyncio.Runner(loop_factory=new_event_loop) as runner:
            found.append(runner.run(play(listed, given.rate, given.seconds, Path(name))))
            print(json.dumps(asdict(found[-1])))
    kept = True
    for what, (value, most) in limits(*found).items():
        kept = kept and value <= most
        print(f"{what:<12} {value:10.3f} of {most:10.3f}  {'kept' if value <= most else 'OVER'}")
    if given.json is not None:
        given.json.write_text(json.dumps([asdict(each) for each in found], indent=1) + "\n")
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
