"""The resources that a router needs for sixteen times as many listed cache servers, under equal load.

It starts one real router in front of stand-ins under as many names as the list has. While clients send reads
at an even rate, 60% of the servers are replaced in steps, and some servers never answer, so that deadlines
matter. Half-way through, the router is restarted. The resources used are printed next to their limits.
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
ADDRESSES = 16  # addresses that all listed servers share
SILENT_ADDRESSES = 4  # the first of these addresses, whose servers never answer
DEADLINE = 0.6  # seconds
REPLACEMENT_STEPS = 12  # steps in which the servers are replaced
REPLACED_SHARE = 0.6  # share of the listed servers that are replaced
HIT_ANSWER = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
ANSWER_GRACE = 2.0  # seconds for which a client still waits for an answer after its deadline


@dataclass
class Usage:
    """The resources used, and what clients and servers saw."""

    listed: int
    asked: int = 0
    served: int = 0
    latest_s: float = 0.0  # the largest delay of an answer after its deadline
    # the largest excess of the deadline sent to a server over the time that its client still waits
    told_over_s: float = -DEADLINE
    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0
    dials: int = 0
    list_kb: float = 0.0
    longest_turn_ms: float = 0.0


@dataclass
class Fleet:
    """The stand-ins of one run, and their observations."""

    usage: Usage
    ports: list[int] = field(default_factory=list)
    sent_at: dict[str, float] = field(default_factory=dict)  # when each request was sent
    names: deque[str] = field(default_factory=deque)
    changes: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def entry(self, name: str, status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
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

    def full_list(self) -> dict[str, Any]:
        endpoints = [self.entry(name) for name in self.names]
        return {"index": 1 + len(self.changes), "snapshot": True, "endpoints": endpoints}

    def replace_servers(self, count: int) -> None:
        """Replace some servers by new ones."""
        ended = [self.names.popleft() for _ in range(count)]
        first = self.usage.listed + len(self.changes) * count
        started = [f"s-{first + i}" for i in range(count)]
        self.names.extend(started)
        now = round(time.time() * 1000)
        entries = [self.entry(n, "terminated") for n in ended] + [
            self.entry(n, since_ms=now) for n in started
        ]
        index = 2 + len(self.changes)
        self.changes.append(orjson.dumps({"index": index, "snapshot": False, "endpoints": entries}))
        self.changed.set()

    async def serve_cache(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection of a cache server that answers with a hit at once, or never."""
        self.usage.dials += 1
        commands = Reader(16, 65536, 70000)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                commands.feed(data)
                while (parts := commands.next_message()) is not INCOMPLETE:
                    self._record_deadline(parts)
                    if number >= SILENT_ADDRESSES:
                        writer.write(HIT_ANSWER)
        writer.close()

    def _record_deadline(self, parts: Any) -> None:
        with contextlib.suppress(CommandError):
            command = read_command(parts)
            left = self.sent_at[command.request_id.decode()] + DEADLINE - time.monotonic()
            self.usage.told_over_s = max(self.usage.told_over_s, command.deadline_ms / 1000 - left)

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a call to discovery: respond with the full list, or with the next change when it comes."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1].decode()
            if "after=" in target:
                index = int(target.partition("after=")[2].partition("&")[0])
                while index > len(self.changes):
                    self.changed.clear()
                    await self.changed.wait()
                body = self.changes[index - 1]
            else:
                body = orjson.dumps(self.full_list())
            self.usage.list_kb += len(body) / 1024
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class Router:
    """The router, which runs in a new process after each restart."""

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
            "known": self.fleet.full_list(),
            "settings": settings,
        }
        path, log = self.folder / "config.json", self.folder / "router.log"
        path.write_bytes(orjson.dumps(config))
        log_size = log.stat().st_size if log.exists() else 0
        command = [sys.executable, "-B", str(ROOT / "deploy/start.py")]
        with log.open("ab") as out:
            environment = {**os.environ, "RELAY_CONFIG": str(path)}
            self.process = await asyncio.create_subprocess_exec(
                *command, env=environment, stdout=out, stderr=out
            )
        while b"listening on " not in (text := log.read_bytes()[log_size:]):
            if self.process.returncode is not None:
                raise SystemExit(text.decode()[-2000:])
            await asyncio.sleep(0.01)
        host, _, port = text.split(b"listening on ")[1].split()[0].decode().rpartition(":")
        self.address = host, int(port)

    async def end(self) -> None:
        """Stop the process, and add up the resources that it has used."""
        assert self.process is not None
        usage, proc = self.fleet.usage, Path(f"/proc/{self.process.pid}")
        usage.descriptors = max(usage.descriptors, len(list((proc / "fd").iterdir())))
        for line in (proc / "status").read_text().splitlines():
            if line.startswith("VmHWM"):
                usage.peak_mb = max(usage.peak_mb, int(line.split()[1]) / 1024)
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        usage.cpu_s += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        self.process.terminate()
        await self.process.wait()
        text = (self.folder / "router.log").read_text()
        iterations = [float(each.split()[0]) for each in text.split("event loop took ")[1:]]
        usage.longest_turn_ms = max(iterations, default=0.0)


async def send_read(fleet: Fleet, address: tuple[str, int], idle: list[Any], number: int) -> None:
    """Send one read, on an idle connection if there is one."""
    usage, name = fleet.usage, f"r{number:07}"
    usage.asked += 1
    try:
        connection = idle.pop() if idle else await asyncio.open_connection(*address)
        fleet.sent_at[name] = began = time.monotonic()
        connection[1].write(
            encode_command([b"C.GET", b"key%d" % (number % 5000), name.encode(), b"c=read,t=x,d=600"])
        )
        answer = await asyncio.wait_for(connection[0].readline(), DEADLINE + ANSWER_GRACE)
        usage.latest_s = max(usage.latest_s, time.monotonic() - began - DEADLINE)
        if answer.startswith(b"$"):
            usage.served += 1
            await connection[0].readline()
        if answer:
            idle.append(connection)
    except (OSError, TimeoutError):
        return


async def measure(listed: int, rate: float, seconds: float, folder: Path) -> Usage:
    """Measure a router with a list of `listed` servers."""
    fleet = Fleet(Usage(listed))
    fleet.names.extend(f"s-{i}" for i in range(listed))
    servers = []
    for number in range(ADDRESSES):
        server = await asyncio.start_server(
            lambda r, w, number=number: fleet.serve_cache(number, r, w), "127.0.0.1", 0
        )
        servers.append(server)
        fleet.ports.append(server.sockets[0].getsockname()[1])
    discovery = await asyncio.start_server(fleet.serve_discovery, "127.0.0.1", 0)
    router = Router(folder, fleet)
    await router.start(discovery.sockets[0].getsockname()[1])
    began, number, step, restarted = time.monotonic(), 0, 0, False
    idle: list[Any] = []
    pending = set()
    while (elapsed := time.monotonic() - began) < seconds:
        if elapsed > (step + 1) * seconds / (REPLACEMENT_STEPS + 2) and step < REPLACEMENT_STEPS:
            step += 1
            fleet.replace_servers(round(listed * REPLACED_SHARE / REPLACEMENT_STEPS))
        if elapsed > seconds / 2 and not restarted:
            restarted = True
            await asyncio.gather(*pending)
            await router.end()
            idle.clear()
            await router.start(discovery.sockets[0].getsockname()[1])
        task = asyncio.create_task(send_read(fleet, router.address, idle, number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
    await asyncio.gather(*pending)
    await router.end()
    for server in [*servers, discovery]:
        server.close()
    return fleet.usage


def limits(usual: Usage, large: Usage) -> dict[str, tuple[float, float]]:
    """Return each value for the longer list with its limit."""
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
    parser.add_argument("--large", type=int, default=3200, help="servers in the longer list (3200)")
    parser.add_argument("--rate", type=float, default=25.0, help="requests per second (25)")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of each run (20)")
    parser.add_argument("--json", type=Path, help="file for the results, as JSON")
    options = parser.parse_args()
    results = []
    for listed in (options.usual, options.large):
        with tempfile.TemporaryDirectory() as name, asyncio.Runner(loop_factory=new_event_loop) as runner:
            results.append(runner.run(measure(listed, options.rate, options.seconds, Path(name))))
            print(json.dumps(asdict(results[-1])))
    all_kept = True
    for what, (value, limit) in limits(*results).items():
        all_kept = all_kept and value <= limit
        print(f"{what:<12} {value:10.3f} of {limit:10.3f}  {'kept' if value <= limit else 'OVER'}")
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(each) for each in results], indent=1) + "\n")
    sys.exit(0 if all_kept else 1)


if __name__ == "__main__":
    main()
