"""Stand-ins and helpers for the cases of this review: standard library only, loopback addresses only.

The routers are started with `run` of the deploy file. Discovery, cache servers, the origin, clients, the
datagram network between routers and the platform are played here.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ROOT / "build" / "review-2" / "packages"  # made by review/build-2.sh
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
START_TIME = 30.0  # seconds: DEPLOY and STANDING give a router 30 s to be ready


class CannotRun(RuntimeError):
    """The case could not be played; says nothing of the rule."""


class Record:
    """Writes what is sent, answered and run to `record.txt`, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.began = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> float:
        at = self.now()
        self.lines.append((at, text))
        self.file.write(f"{at:9.3f} {text}\n")
        return at


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(**classes: dict[str, Any]) -> dict[str, Any]:
    """The settings of a small deployment, in the form of WIRE's example; `classes` replaces its classes."""
    usual = {
        "timetable-read": {
            "aim": 1.2,
            "effect": "free",
            "giveUp": 2.5,
            "group": "all",
            "repeatWindow": 5.0,
            "value": 3.0,
        },
        "slot-booking": {
            "aim": 0.8,
            "effect": "guarded",
            "giveUp": 3.0,
            "group": "all",
            "repeatWindow": 15.0,
            "value": 9.0,
        },
    }
    rows = [
        {"name": name, "lateWorth": 0.0, "streaming": False, **row}
        for name, row in (classes or usual).items()
    ]
    return {
        "areas": ["dublin", "cork"],
        "classes": rows,
        "clients": {"marksRetry": True},
        "countedBy": "work",
        "family": "cache",
        "familyInfo": {"mode": "aside", "originFall": 3.0, "originFallMultiple": 0.0, "originKind": 2},
        "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.25, "worstWindow": 0.15},
        "limits": {
            "connIdle": 5.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 1011882,
            "dialTimeout": 0.25,
            "maxRetryAfter": 2.0,
            "mayCancel": True,
            "mostHeld": 25297,
            "mostTries": 6,
            "multiplex": 1,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": True,
        },
        "loadReport": {"fields": [], "how": "silent"},
        "me": 0,
        "membershipMode": "subscribe",
        "overShareWorth": 0.05,
        "penalties": {
            "connection": 0.0,
            "crossZone": 0.03,
            "handshake": 0.0,
            "lateFail": 0.03,
            "membershipMode": 0.01,
            "moves": 0.0,
            "origin": 0.1,
            "peer": 0.0,
            "probe": 0.0,
            "waste": 0.05,
        },
        "resolution": 0.005,
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": 0.31,
            "fallMultiple": 4.0,
            "mustAskIn": 10.0,
            "overloadFor": 1.0,
            "rampTime": 7.8,
            "stopSendingWithin": 2.0,
        },
        "siblings": 3,
        "skus": ["gen-a", "gen-b", "origin"],
        "tenants": [
            {"allowancePerS": 169.0, "name": "shannonside", "share": 0.74},
            {"allowancePerS": 59.0, "name": "lee-valley", "share": 0.26},
        ],
        "tier": 0,
        "tiers": ["cache-fleet"],
        "weights": "rough",
        "zone": "dublin",
    }


# Servers


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 message: an array, a bulk string, an error (as str), a simple string or None."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"*":
        return [await read_message(reader) for _ in range(int(rest))]
    if kind == b"$":
        if int(rest) < 0:
            return None
        data = await reader.readexactly(int(rest) + 2)
        return data[:-2]
    return (kind + rest).decode("latin-1")


def command(*parts: bytes | str) -> bytes:
    data = [p.encode() if isinstance(p, str) else p for p in parts]
    return b"*%d\r\n" % len(data) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in data)


class CacheServer:
    """Answers commands in order on each connection: `answer(verb, key, id, info)` gives (seconds, bytes or
    None); None is never answered."""

    def __init__(
        self, name: str, record: Record, answer: Callable[[str, str, str, str], tuple[float, bytes | None]]
    ) -> None:
        self.name, self.record, self.answer = name, record, answer
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                parts = await read_message(reader)
                verb = parts[0].decode().upper()
                if verb == "PING":
                    writer.write(b"+PONG\r\n")
                    continue
                key, request, info = (p.decode() for p in parts[1:4])
                self.record(f"{self.name} got {verb} id={request} key={key} {info}")
                seconds, answer = self.answer(verb, key, request, info)
                await asyncio.sleep(seconds)
                if answer is None:
                    await reader.read()  # says nothing until the router gives up
                    return
                writer.write(answer)
                self.record(f"{self.name} answered id={request}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def hit(value: bytes = b"value") -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


class Origin:
    """HTTP/1.1: `run(method, key, id, info)` gives (seconds, body or None)."""

    def __init__(
        self, record: Record, run: Callable[[str, str, str, str], tuple[float, bytes | None]]
    ) -> None:
        self.record, self.run = record, run

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                fields = {
                    k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)
                }
                await reader.readexactly(int(fields.get("content-length", "0")))
                request, info = fields.get("request-id", ""), fields.get("request-info", "")
                self.record(f"origin got {method} id={request} key={target[1:]} {info}")
                seconds, body = self.run(method, target[1:], request, info)
                await asyncio.sleep(seconds)
                if body is None:
                    await reader.read()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.record(f"origin answered id={request}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Discovery:
    """The list of cache servers, asked for whole or watched."""

    def __init__(self) -> None:
        self.index = 1
        self.entries: list[dict[str, Any]] = []
        self.changes: list[tuple[int, str]] = []  # the index of each change, and the server's name
        self.changed = asyncio.Event()
        self.told = asyncio.Event()  # set when the last change has been written to a router
        self.down = False
        self.open: set[asyncio.StreamWriter] = set()

    def change(self, name: str, status: str) -> None:
        """Change a server's status, which is told on the watches."""
        self.index += 1
        next(e for e in self.entries if e["name"] == name)["status"] = status
        self.changes.append((self.index, name))
        self.told.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Go down: watches end with a reset, and calls with 503; or come back."""
        self.down = down
        for writer in list(self.open) if down else ():
            reset_on_close = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            writer.transport.abort()

    def add(self, name: str, address: str, kind: str = "gen-a", zone: str = "dublin", group: int = 0) -> None:
        self.entries.append(
            {
                "name": name,
                "address": address,
                "zone": zone,
                "type": kind,
                "group": group,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
        )

    def list(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            if self.down:
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                await writer.drain()
                return
            target = head.split(" ")[1]
            answer = self.list()
            if "after=" in target:
                query = dict(p.split("=") for p in target.partition("?")[2].split("&"))
                after = int(query["after"])
                if after >= self.index:
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / 1000)
                names = {name for index, name in self.changes if index > after}
                entries = [e for e in self.entries if e["name"] in names]
                answer = {"index": self.index, "snapshot": False, "endpoints": entries}
            body = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()
            if answer["index"] == self.index:
                self.told.set()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


# Routers


class Router:
    """One router, started as the platform does, with `run` of the deploy file."""

    def __init__(self, case: Case, name: str, configuration: dict[str, Any], operators: str = "") -> None:
        self.case, self.name, self.record = case, name, case.record
        self.folder = case.folder / name
        self.folder.mkdir()
        self.shared = self.folder / "tmp"
        self.shared.mkdir()
        self.config = self.folder / "config.json"
        self.log = self.folder / "log"
        self.configuration = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **configuration,
        }
        self.operators = self.folder / "operators.toml" if operators else None
        if self.operators is not None:
            self.operators.write_text(operators)
        self.write()
        self.listening: socket.socket | None = None
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.configuration["listen"].rpartition(":")
        return host, int(port)

    def write(self) -> None:
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.rename(self.config)

    def hold_socket(self) -> None:
        """The platform holds the clients' listening socket, as on days with upgrades."""
        self.listening = socket.create_server(self.address, backlog=512)

    async def start(self) -> asyncio.subprocess.Process:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "MYRTLECOURSE_"))}
        environment |= {"RELAY_CONFIG": str(self.config), "RELAY_NAME": self.name, "TMPDIR": str(self.shared)}
        if PACKAGES.exists():
            environment["PYTHONPATH"] = str(PACKAGES)
        fds: tuple[int, ...] = ()
        if self.operators is not None:
            environment["MYRTLECOURSE_FILE"] = str(self.operators)
        if self.listening is not None:
            fds = (self.listening.fileno(),)
            environment["RELAY_LISTEN_FD"] = str(self.listening.fileno())
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=self.case.tree,
                env=environment,
                pass_fds=fds,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.case.processes.append(self.process)
        self.record(f"platform starts {self.name}, process {len(self.case.processes)}")
        return self.process

    def text(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    async def until_log(self, words: str, count: int = 1, seconds: float = START_TIME) -> None:
        end = time.monotonic() + seconds
        while self.text().count(words) < count:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.text()[-600:]}")
            if time.monotonic() > end:
                raise CannotRun(f"{self.name}: no {words!r} in its log: {self.text()[-600:]}")
            await asyncio.sleep(0.02)

    async def until_pong(self) -> None:
        """Wait for `+PONG`: a router is used once it has answered so."""
        end = time.monotonic() + START_TIME
        while time.monotonic() < end:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.text()[-600:]}")
            if await self.ping():
                self.record(f"{self.name} answers PING with +PONG")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} never answered PING: {self.text()[-600:]}")

    async def ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(command("PING"))
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals, process: asyncio.subprocess.Process | None = None) -> None:
        process = process or self.process
        if process is not None and process.returncode is None:
            self.record(f"{number.name} to {self.name}")
            os.kill(process.pid, number)

    async def says_ready(self) -> bool:
        """Return whether `GET /control/ready` says yes."""
        try:
            return (await self.call("GET", "ready"))[0] == 200
        except (OSError, TimeoutError, ValueError, IndexError):
            return False

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """An operator's call to `ops`."""
        host, _, port = self.configuration["ops"].rpartition(":")
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} /control/{path} HTTP/1.1\r\nHost: {self.name}\r\n\r\n".encode())
            answer = (await reader.read()).decode("latin-1")
            writer.close()
        return int(answer.split(" ", 2)[1]), answer.partition("\r\n\r\n")[2]


class Network:
    """Datagrams between routers: each router has an address here; what `cut` pairs say is dropped."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.own: dict[str, tuple[str, int]] = {}  # where a router itself listens
        self.at: dict[str, tuple[str, int]] = {}  # where the others send to it
        self.doors: dict[str, asyncio.DatagramTransport] = {}
        self.cut: set[frozenset[str]] = set()

    async def add(self, name: str) -> None:
        self.own[name] = "127.0.0.1", free_port(socket.SOCK_DGRAM)
        network = self

        class Door(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                network._pass(name, data, addr)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Door, local_addr=("127.0.0.1", 0)
        )
        self.doors[name], self.at[name] = transport, transport.get_extra_info("sockname")[:2]

    def _pass(self, to: str, data: bytes, addr: Any) -> None:
        sender = next((n for n, own in self.own.items() if own == tuple(addr[:2])), "")
        if not sender or frozenset((sender, to)) in self.cut:
            return
        # sent on from the sender's own door, so that an address stands for one router
        self.doors[sender].sendto(data, self.own[to])

    def split(self, one: str, other: str) -> None:
        self.cut.add(frozenset((one, other)))
        self.record(f"network: no datagram passes between {one} and {other} from now on")

    def heal(self) -> None:
        if self.cut:
            self.cut.clear()
            self.record("network: all datagrams pass again")


class Case:
    """Runs one case and ends all that it started."""

    tree = ROOT  # from where `run` is started

    def without_compiler(self) -> None:
        """Start routers as on a machine without a C compiler: there `run` takes the sources (deploy/build.py:
        "A failed compilation does not fail the build"). The folder has the same files, not compiled."""
        self.tree = self.folder / "tree"
        shutil.copytree(ROOT / "deploy", self.tree / "deploy", ignore=shutil.ignore_patterns("__pycache__"))
        shutil.copy(ROOT / "requirements-build.txt", self.tree)
        (self.tree / "myrtlecourse").symlink_to(ROOT / "myrtlecourse")
        (self.tree / ".venv").symlink_to(ROOT / ".venv")

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.routers: list[Router] = []

    def router(self, name: str, configuration: dict[str, Any], operators: str = "") -> Router:
        router = Router(self, name, configuration, operators)
        self.routers.append(router)
        return router

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    with suppress(ProcessLookupError):
                        os.killpg(process.pid, number)
                await process.wait()
        for router in self.routers:
            for line in router.text().splitlines():
                self.record.file.write(f"log of {router.name}: {line}\n")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play: Callable[[Case], Any], script: str, limit: float = 110.0) -> None:
    """Run `play(case)`, which returns what broke the rule, or an empty text."""

    async def run() -> int:
        if not (ROOT / ".venv" / "bin" / "python").exists():
            print("not run: the build of the deploy file is missing")
            return NOT_RUN
        folder = Path(script).resolve().parent
        case, playing = Case(folder), asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        broken, reason = "", ""
        try:
            async with asyncio.timeout(limit):
                broken = await play(case)
        except asyncio.CancelledError:
            reason = "told to end"
        except Exception as e:
            reason = repr(e)
        await case.end()
        result = f"not run: {reason}" if reason else f"broken: {broken}" if broken else "held"
        print(result)
        with (folder / "record.txt").open("a") as file:
            file.write(f"RESULT {result}\n")
        return NOT_RUN if reason else BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
