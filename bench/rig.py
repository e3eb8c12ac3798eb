"""What the measurements share: a stand-in fleet, a relay to compare with, the router; each a process.

Everything runs on loopback. Each process is bound to cores of its own, so that the core of the one measured
is its only limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from uvloop import new_event_loop

from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.scenario import Scenario

ROOT = Path(__file__).resolve().parent.parent
VALUE = 64  # bytes of a value, unless told
START_TIME = 20.0  # seconds for a process to listen
STARTED = "bench.rig"


class Leg(asyncio.Protocol):
    """One side of the relay: passes bytes to the other side and knows nothing of them."""

    def __init__(self, upstream: tuple[str, int] | None) -> None:
        self.upstream = upstream
        self.other: Any = None
        self.early = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.upstream is not None:
            self.dial = asyncio.create_task(self._connect(self.upstream))

    async def _connect(self, address: tuple[str, int]) -> None:
        self.other, leg = await asyncio.get_running_loop().create_connection(lambda: Leg(None), *address)
        leg.other = self.transport
        self.other.write(self.early)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
        else:
            self.other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.close()


async def serve(make: Callable[[], asyncio.Protocol]) -> None:
    """Listen on a free port and tell it on standard output."""
    server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def pin(process: int, cores: set[int]) -> None:
    """Binds a process (0: this one) to cores; on a machine with fewer, to any."""
    os.sched_setaffinity(process, cores & os.sched_getaffinity(0) or os.sched_getaffinity(0))


@contextlib.contextmanager
def process(arguments: list[str], cores: set[int], **options: Any) -> Iterator[subprocess.Popen[str]]:
    """A process of the project's, ended with the block."""
    child = subprocess.Popen(arguments, cwd=ROOT, text=True, stdout=subprocess.PIPE, **options)
    pin(child.pid, cores)
    try:
        yield child
    finally:
        child.terminate()
        try:
            child.wait(5.0)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
        if child.stdout is not None:
            child.stdout.close()


@contextlib.contextmanager
def relay(upstream: int, cores: set[int]) -> Iterator[tuple[int, subprocess.Popen[str]]]:
    """The relay's port and process, before a port."""
    with process([sys.executable, "-m", STARTED, "relay", str(upstream)], cores) as child:
        assert child.stdout is not None
        yield int(child.stdout.readline()), child


class StandIn:
    """A fleet in a process of its own, and what a router before it is told."""

    def __init__(self, child: subprocess.Popen[str], configuration: dict[str, Any]) -> None:
        self.child = child
        self.configuration = configuration

    def box(self) -> int:
        """The first box's port: it answers clients as a router would."""
        return int(self.configuration["known"]["endpoints"][0]["address"].rpartition(":")[2])

    def begin(self) -> None:
        """The scenario's time begins."""
        assert self.child.stdin is not None
        self.child.stdin.write("begin\n")
        self.child.stdin.flush()


def boxes(size: int = VALUE, count: int = 2, **fields: Any) -> dict[str, Any]:
    """A scenario of boxes that hit at once, with values of so many bytes."""
    kind = {"name": "box", "boxes": count, "handshake": 0.0, "idle": 30.0, "connections": 10_000}
    read = {"name": "read", "work": 0.0, "size": size, "aim": 0.5, "deadline": 1.0, "worth": 3.0}
    return {"kinds": [kind], "classes": [read], "seconds": 3600.0} | fields


@contextlib.contextmanager
def fleet(scenario: dict[str, Any], cores: set[int]) -> Iterator[StandIn]:
    """A stand-in fleet; nothing of it is observed, as that would cost what is measured."""
    command = [sys.executable, "-m", STARTED, "fleet", json.dumps(scenario)]
    with process(command, cores, stdin=subprocess.PIPE) as child:
        assert child.stdout is not None
        yield StandIn(child, json.loads(child.stdout.readline()))


async def stand(scenario: Scenario) -> None:
    """Be a fleet: tell the configuration, begin with a line on standard input."""
    fleet = Fleet(scenario, lambda _: None)
    await fleet.listen()
    print(json.dumps(fleet.configuration(0)), flush=True)
    loop, begun = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sys.stdin.fileno(), begun.set)
    await begun.wait()
    loop.remove_reader(sys.stdin.fileno())
    fleet.begin()
    await asyncio.Event().wait()


@contextlib.contextmanager
def router(
    command: list[str], configuration: dict[str, Any], cores: set[int], sockets: int = 1024
) -> Iterator[tuple[int, subprocess.Popen[str]]]:
    """A router's port and process; what it logs is kept until then and shown when it does not start."""
    with tempfile.TemporaryDirectory() as folder:
        file, log = Path(folder, "config.json"), Path(folder, "log")
        # asked in vain: the list given here stays, and what is measured is the way of requests
        told = configuration | {"discovery": "127.0.0.1:9", "limits": {"sockets": sockets, "cores": 1.0}}
        file.write_text(json.dumps(told))
        with (
            log.open("w") as errors,
            process(command, cores, env=os.environ | {"RELAY_CONFIG": str(file)}, stderr=errors) as child,
        ):
            until = time.monotonic() + START_TIME
            while "listening on" not in (text := log.read_text()):
                if child.poll() is not None or time.monotonic() > until:
                    raise SystemExit(f"the router did not start:\n{text}")
                time.sleep(0.02)
            yield int(text.split("listening on ")[1].split()[0].rpartition(":")[2]), child


def main() -> None:
    """Run a fleet or a relay."""
    kind, argument = sys.argv[1:]
    with asyncio.Runner(loop_factory=new_event_loop if kind == "fleet" else None) as runner:
        if kind == "fleet":
            runner.run(stand(msgspec.json.decode(argument, type=Scenario)))
        else:
            upstream = ("127.0.0.1", int(argument))
            runner.run(serve(lambda: Leg(upstream)))


if __name__ == "__main__":
    main()
