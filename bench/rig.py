"""The parts that measurements share: a stand-in fleet, a relay for comparison, and the router.

Everything runs on loopback, each part in a process of its own. Each process is bound to cores of its own, so
that the measured process is limited by its own core only.
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
VALUE_BYTES = 64  # default size of a value
START_TIMEOUT = 20.0  # seconds within which a process must listen
MODULE = "bench.rig"


class RelayConnection(asyncio.Protocol):
    """One side of the relay, which forwards bytes to the other side without interpreting them."""

    def __init__(self, upstream: tuple[str, int] | None) -> None:
        self.upstream = upstream
        self.peer: Any = None
        self.buffered = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.upstream is not None:
            self.connecting = asyncio.create_task(self._connect(self.upstream))

    async def _connect(self, address: tuple[str, int]) -> None:
        self.peer, connection = await asyncio.get_running_loop().create_connection(
            lambda: RelayConnection(None), *address
        )
        connection.peer = self.transport
        self.peer.write(self.buffered)

    def data_received(self, data: bytes) -> None:
        if self.peer is None:
            self.buffered += data
        else:
            self.peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None:
            self.peer.close()


async def serve(make: Callable[[], asyncio.Protocol]) -> None:
    """Listen on a free port, print the port, and serve."""
    server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def bind_cores(pid: int, cores: set[int]) -> None:
    """Bind a process (0: this one) to cores, or to any cores if the machine does not have those."""
    os.sched_setaffinity(pid, cores & os.sched_getaffinity(0) or os.sched_getaffinity(0))


@contextlib.contextmanager
def run_process(arguments: list[str], cores: set[int], **options: Any) -> Iterator[subprocess.Popen[str]]:
    """Run a process of this project for the duration of the block."""
    child = subprocess.Popen(arguments, cwd=ROOT, text=True, stdout=subprocess.PIPE, **options)
    bind_cores(child.pid, cores)
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
def run_relay(upstream: int, cores: set[int]) -> Iterator[tuple[int, subprocess.Popen[str]]]:
    """Run the relay in front of a port; yield the relay's port and process."""
    with run_process([sys.executable, "-m", MODULE, "relay", str(upstream)], cores) as child:
        assert child.stdout is not None
        yield int(child.stdout.readline()), child


class StandIn:
    """A stand-in fleet in a process of its own, with the configuration for a router in front of it."""

    def __init__(self, child: subprocess.Popen[str], configuration: dict[str, Any]) -> None:
        self.child = child
        self.configuration = configuration

    def server_port(self) -> int:
        """Return the port of the first cache server, which answers clients as a router would."""
        return int(self.configuration["known"]["endpoints"][0]["address"].rpartition(":")[2])

    def begin(self) -> None:
        """Start the clock of the scenario."""
        assert self.child.stdin is not None
        self.child.stdin.write("begin\n")
        self.child.stdin.flush()


def server_scenario(size: int = VALUE_BYTES, count: int = 2, **fields: Any) -> dict[str, Any]:
    """Return a scenario of cache servers that answer each request at once with a hit of some size."""
    kind = {"name": "box", "boxes": count, "handshake": 0.0, "idle": 30.0, "connections": 10_000}
    read = {"name": "read", "work": 0.0, "size": size, "aim": 0.5, "deadline": 1.0, "worth": 3.0}
    return {"kinds": [kind], "classes": [read], "seconds": 3600.0} | fields


@contextlib.contextmanager
def run_fleet(scenario: dict[str, Any], cores: set[int]) -> Iterator[StandIn]:
    """Run a stand-in fleet. It records no observations, as those would add to the measured costs."""
    command = [sys.executable, "-m", MODULE, "fleet", json.dumps(scenario)]
    with run_process(command, cores, stdin=subprocess.PIPE) as child:
        assert child.stdout is not None
        yield StandIn(child, json.loads(child.stdout.readline()))


async def serve_fleet(scenario: Scenario) -> None:
    """Serve a fleet: print the configuration, and begin when a line arrives on standard input."""
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
def run_router(
    command: list[str],
    configuration: dict[str, Any],
    cores: set[int],
    sockets: int = 1024,
    limits: dict[str, Any] | None = None,
) -> Iterator[tuple[int, subprocess.Popen[str]]]:
    """Run a router and yield its port and process. Raise SystemExit with its log if it does not start."""
    with tempfile.TemporaryDirectory() as folder:
        file, log = Path(folder, "config.json"), Path(folder, "log")
        # There is no discovery server, so the given list stays in force: only the data path is measured.
        limits = limits or {"sockets": sockets, "cores": 1.0}
        config = configuration | {"discovery": "127.0.0.1:9", "limits": limits}
        file.write_text(json.dumps(config))
        with (
            log.open("w") as errors,
            run_process(command, cores, env=os.environ | {"RELAY_CONFIG": str(file)}, stderr=errors) as child,
        ):
            deadline = time.monotonic() + START_TIMEOUT
            while "listening on" not in (text := log.read_text()):
                if child.poll() is not None or time.monotonic() > deadline:
                    raise SystemExit(f"the router did not start:\n{text}")
                time.sleep(0.02)
            yield int(text.split("listening on ")[1].split()[0].rpartition(":")[2]), child


def main() -> None:
    """Run a fleet or a relay."""
    kind, argument = sys.argv[1:]
    with asyncio.Runner(loop_factory=new_event_loop if kind == "fleet" else None) as runner:
        if kind == "fleet":
            runner.run(serve_fleet(msgspec.json.decode(argument, type=Scenario)))
        else:
            upstream = ("127.0.0.1", int(argument))
            runner.run(serve(lambda: RelayConnection(upstream)))


if __name__ == "__main__":
    main()
