"""Stand-ins for the review's cases: cache servers, origin, discovery, platform and clients, on loopback.

Only the standard library is used. All stand-ins of a case run in one asyncio event loop, in the process of
the case; the routers are separate processes, started with `run` of the deploy file. A stand-in behaves
like a sound server as the operators' pages describe it, unless a case replaces one of its methods.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
ORIGIN_KIND = "origin"
SLACK = 0.5  # seconds after its time up to which an answer "only earns nothing" (STANDING.md)


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The case's record.txt: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def line(self, text: str, flush: bool = True) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        if flush:
            self.file.flush()

    def now(self) -> float:
        return time.monotonic() - self.started_at


def free_port() -> int:
    with socket.socket() as s:
        s.bind((HOST, 0))
        return int(s.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def encode(parts: list[bytes]) -> bytes:
    return b"".join([b"*%d\r\n" % len(parts), *(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)])


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read an array of bulk strings, or None at the end of the connection."""
    try:
        line = await reader.readline()
        if not line.startswith(b"*"):
            return None
        parts = []
        for _ in range(int(line[1:])):
            length = int((await reader.readline())[1:])
            parts.append((await reader.readexactly(length + 2))[:-2])
        return parts
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class CacheServer:
    """A cache server: stores values, answers reads from them, and answers `miss` to anything else."""

    def __init__(self, fleet: Fleet, name: str, zone: str, group: int) -> None:
        self.fleet, self.name, self.zone, self.group = fleet, name, zone, group
        self.values: dict[bytes, bytes] = {}
        self.missed: dict[bytes, None] = {}  # ids of requests that missed here
        self.service_time = 0.005
        self.status, self.weight, self.since_ms = "in_service", 1.0, 0
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=8 * 1024 * 1024)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (parts := await read_command(reader)) is not None:
                if not await self.handle(parts, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(
        self, parts: list[bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one command; return whether the connection goes on."""
        if parts[0].upper() == b"PING":
            writer.write(b"+PONG\r\n")
            return True
        if parts[0].upper() not in (b"C.GET", b"C.SET"):
            writer.write(b"-ERR unknown command\r\n")
            return True
        key, request_id = parts[1], parts[2]
        self.fleet.log_arrival(f"{self.name} got {b' '.join(parts[:4]).decode()}")
        await asyncio.sleep(self.service_time)
        value = self.values.get(key) if parts[0].upper() == b"C.GET" else None
        if value is None:
            self.missed[request_id] = None
            writer.write(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            await writer.drain()
            return True
        self.fleet.log_request(f"{self.name} answers id={request_id.decode()} with {len(value)} bytes")
        return await self.send_value(key, request_id, value, writer)

    async def send_value(
        self, key: bytes, request_id: bytes, value: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))
        await writer.drain()
        return True

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "gen-a",
            "group": self.group,
            "status": self.status,
            "weight": self.weight,
            "since_ms": self.since_ms,
        }


class Origin:
    """The origin: gives every key a value, carries out writes, and drops repeats of a write's key."""

    name = "origin-0"

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.values: dict[bytes, bytes] = {}
        self.receipts: dict[str, bytes] = {}
        self.runs: list[tuple[float, bytes, str]] = []  # writes carried out: time, request id, key k
        self.service_time = 0.05
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=8 * 1024 * 1024)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines if x)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.handle(method, target[1:].encode(), headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(
        self, method: str, key: bytes, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get("request-id", "").encode()
        info = dict(p.split("=", 1) for p in headers.get("request-info", "").split(",") if "=" in p)
        self.fleet.log_arrival(f"origin got {method} key={key.decode()} id={request_id.decode()}")
        await asyncio.sleep(self.service_time)
        if method == "PUT":
            answer = self.write(key, request_id, info.get("k", ""), body)
        else:
            answer = self.values.setdefault(key, b"value of " + key)
            for server in self.fleet.servers:
                if server.missed.pop(request_id, 0) is None:
                    server.values[key] = answer
        await self.send_answer(request_id, answer, writer)

    async def send_answer(self, request_id: bytes, answer: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
        await writer.drain()

    def write(self, key: bytes, request_id: bytes, k: str, body: bytes) -> bytes:
        if k and k in self.receipts:
            self.fleet.log(f"origin dropped a repeat k={k} id={request_id.decode()}")
            return self.receipts[k]
        self.fleet.log(f"origin RAN the write of key={key.decode()} id={request_id.decode()} k={k}")
        self.runs.append((time.monotonic(), request_id, k))
        receipt = b"receipt of " + request_id
        if k:
            self.receipts[k] = receipt
        self.values[key] = body
        for server in self.fleet.servers:
            server.values.pop(key, None)
        return receipt

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "dublin",
            "type": ORIGIN_KIND,
            "group": -1,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }


class Discovery:
    """Discovery: the whole list, and a watch on its changes."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.index = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.listed: dict[str, dict[str, Any]] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, entry: dict[str, Any]) -> None:
        """Change an entry of the list."""
        self.index += 1
        self.changes.append((self.index, entry))
        if entry["status"] == "terminated":
            self.listed.pop(entry["name"], None)
        else:
            self.listed[entry["name"]] = entry
        self.fleet.log(f"discovery: {entry['name']} is {entry['status']} (index {self.index})")
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.listed.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
                if "after" in query:
                    after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
                    if self.index <= after:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), wait)
                    newer = {e["name"]: e for i, e in self.changes if i > after}
                    answer = {"index": self.index, "snapshot": False, "endpoints": list(newer.values())}
                else:
                    answer = self.snapshot()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


SETTINGS: dict[str, Any] = {
    "areas": ["dublin", "cork"],
    "classes": [
        {
            "name": "timetable-read",
            "aim": 1.2,
            "giveUp": 2.5,
            "effect": "free",
            "group": "all",
            "lateWorth": 0.0,
            "repeatWindow": 5.0,
            "streaming": False,
            "value": 3.0,
        },
        {
            "name": "slot-booking",
            "aim": 0.8,
            "giveUp": 3.0,
            "effect": "guarded",
            "group": "all",
            "lateWorth": 0.0,
            "repeatWindow": 15.0,
            "streaming": False,
            "value": 9.0,
        },
    ],
    "clients": {"marksRetry": True},
    "countedBy": "work",
    "family": "cache",
    "familyInfo": {
        "mode": "aside",
        "notes": "1 hit, 2 miss",
        "originFall": 3.0,
        "originFallMultiple": 0.0,
        "originKind": 2,
    },
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
    "siblings": 1,
    "skus": ["gen-a", "gen-b", ORIGIN_KIND],
    "tenants": [
        {"allowancePerS": 169.0, "name": "shannonside", "share": 0.74},
        {"allowancePerS": 59.0, "name": "lee-valley", "share": 0.26},
    ],
    "tier": 0,
    "tiers": ["cache-fleet"],
    "weights": "rough",
    "zone": "dublin",
}


class RouterProcess:
    """A router, started by `run` of the deploy file."""

    def __init__(
        self, fleet: Fleet, name: str, config: dict[str, Any], env: dict[str, str], tmp: Path
    ) -> None:
        self.fleet, self.name, self.config, self.env, self.tmp = fleet, name, config, env, tmp
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, pass_fds: tuple[int, ...] = ()) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.tmp / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        log = (self.tmp / f"{self.name}.log").open("ab")
        folder = self.tmp / f"tmp-{self.config['name']}"
        folder.mkdir(exist_ok=True)
        env = os.environ | {
            "RELAY_NAME": self.config["name"], "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"], "RELAY_CONFIG": str(path), "TMPDIR": str(folder),
        } | self.env  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=pass_fds,
        )
        self.fleet.routers.append(self)
        self.fleet.log(f"{self.name} started, process {self.process.pid}")

    async def wait_ready(self, timeout: float = 30.0) -> None:
        """Wait until PING is answered with +PONG. Raises RuntimeError."""
        host, _, port = self.config["listen"].rpartition(":")
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
                writer.write(encode([b"PING"]))
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.fleet.log(f"{self.name} is ready")
                    return
            except (OSError, TimeoutError):
                pass
            if self.process is not None and self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.fleet.log(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Client:
    """A client's connection; all that arrives on it is kept."""

    def __init__(self, fleet: Fleet, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.fleet, self.reader, self.writer = fleet, reader, writer

    async def read_answer(self) -> bytes | None:
        """Return the next whole answer, a value after `$` or else a line; None at the end."""
        try:
            line = await self.reader.readuntil(b"\r\n")
            if line[:1] != b"$":
                return line.rstrip()
            return b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    def close(self) -> None:
        self.writer.close()


class Fleet:
    """A small deployment: cache servers, origin, discovery, and the routers that a case starts."""

    def __init__(self, case: Path, servers: int = 3) -> None:
        self.record = Record(case / "record.txt")
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers = [
            CacheServer(self, f"s-{i}", ("dublin", "cork")[i % 2], i // 4) for i in range(servers)
        ]
        self.origin = Origin(self)
        self.discovery = Discovery(self)
        self.routers: list[RouterProcess] = []
        self.number = 0
        self.arrivals: list[str] = []  # what cache servers and the origin have got, a line for each attempt

    def log(self, text: str) -> None:
        self.record.line(text)

    def log_arrival(self, text: str) -> None:
        self.arrivals.append(text)
        self.log_request(text)

    def log_request(self, text: str) -> None:
        """Record a single request; these are many, so they reach the file with the next other line."""
        self.record.line(text, flush=False)

    async def start(self) -> None:
        for each in (*self.servers, self.origin, self.discovery):
            await each.start()
        for each in (*self.servers, self.origin):
            self.discovery.listed[each.name] = each.entry()

    def config(self, name: str = "n0", **more: Any) -> dict[str, Any]:
        return {
            "name": name, "listen": f"{HOST}:{free_port()}", "discovery": self.discovery.address,
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.snapshot(), "settings": json.loads(json.dumps(SETTINGS)),
        } | more  # fmt: skip

    def router(self, name: str, config: dict[str, Any], **env: str) -> RouterProcess:
        return RouterProcess(self, name, config, env, self.tmp)

    def new_id(self) -> bytes:
        self.number += 1
        return b"%016x" % (int.from_bytes(os.urandom(5), "big") << 24 | self.number)

    async def connect(self, address: str, receive_buffer: int = 0) -> Client:
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=64 * 1024)
        return Client(self, reader, writer)

    async def close(self) -> None:
        """End all processes that the case started, and keep the ends of their logs."""
        for each in self.routers:
            if each.running and each.process is not None:
                each.process.kill()
                await each.process.wait()
        for each in self.routers:
            self.log(f"--- log of {each.name}")
            for line in (self.tmp / f"{each.name}.log").read_text(errors="replace").splitlines()[-40:]:
                self.log(f"    {line}")
        shutil.rmtree(self.tmp, ignore_errors=True)


BROKEN = 11  # exit code for a broken rule, which run.sh turns into 1
COULD_NOT_RUN = 2
TIME_LIMIT = 105.0  # seconds; run.sh may take 120


def main(case: Callable[[Fleet], Awaitable[list[str]]], folder: str, servers: int = 3) -> None:
    """Run a case, which returns the breaches that it saw, and exit with what run.sh expects."""

    async def play() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(Path(folder).resolve().parent, servers)
        try:
            async with asyncio.timeout(TIME_LIMIT):
                await fleet.start()
                breaches = await case(fleet)
        except (Exception, asyncio.CancelledError) as e:
            fleet.log(f"the case could not run: {e!r}")
            print(f"could not run: {e!r}")
            return COULD_NOT_RUN
        finally:
            await fleet.close()
        for each in breaches:
            fleet.log(f"BREACH {each}")
            print("breach:", each)
        fleet.log(f"verdict: {'broken' if breaches else 'held'}, disruption: {'on' if trouble() else 'off'}")
        print("broken" if breaches else "held")
        return BROKEN if breaches else 0

    sys.exit(asyncio.run(play()))
