"""A fleet of real processes that carry changes and purges, and checks of the files that they write."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import orjson

from myrtlecourse.fleet.datagram_network import DatagramNetwork, Relay, Relays
from myrtlecourse.fleet.reserved_ports import free_address
from tests.loopback import format_address
from tests.test_service import Process, Site, site

TIMEOUT = 60.0  # seconds that a test waits for a condition; no test depends on how fast it is met
CONTROL = ("c1", "c2", "c3")
EAST = ("e1", "e2")  # real routers, the only ones of their region and therefore its relays
PARTS = tuple(f"p{n}" for n in range(10))
WEST = tuple(f"w{n}" for n in range(12))
WEST_PARTS = tuple(f"q{n}" for n in range(4))
GROUPS = {"control": CONTROL, "east": EAST, "parts": PARTS, "west": WEST + WEST_PARTS}
NAMES = tuple(name for names in GROUPS.values() for name in names)
# The budget allows one of a site's two relays to take over the other's children as well, at this pause.
FIGURES = {"lease": 2.0, "report": 0.1, "pause": 0.05, "budget": 50_000.0}
KEY = b"a key that the whole fleet has"
Entry = tuple[str, ...]  # kind, key and value as in the files


async def until(true: Callable[[], bool], what: Callable[[], str]) -> None:
    """Wait for a condition that other processes bring about; fails after TIMEOUT."""
    end = time.monotonic() + TIMEOUT
    while not true():
        assert time.monotonic() < end, what()
        await asyncio.sleep(0.05)


class MemberProcess:
    """A process that plays many members without routers."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lock = asyncio.Lock()

    async def command(self, *words: str) -> Any:
        """Send one command and return its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.lock:
            self.process.stdin.write((" ".join(words) + "\n").encode())
            async with asyncio.timeout(TIMEOUT):
                line = await self.process.stdout.readline()
        assert line, "a process of members has ended"
        return json.loads(line)


class ProcessRecord:
    """What one process of a member has written."""

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.twice: list[int] = []
        self.covered = 0  # all entries up to here are applied or to be treated as purged
        self.purges = 0
        self.leases: list[tuple[float, int]] = []  # when a lease was written, and `covered` at that time
        self.lease_valid = False
        self.watermarks: list[tuple[float, int]] = []

    def add(self, at: float, words: list[str]) -> None:
        match words:
            case ["vouches", said]:
                self.lease_valid = said == "yes"
                if self.lease_valid:
                    self.leases.append((at, self.covered))
            case ["forget", first, last]:
                if int(first) <= self.covered + 1:
                    self.covered = max(self.covered, int(last))
                self.purges += 1
            case ["done", number, _, _]:
                self.watermarks.append((at, int(number)))
            case [number, *entry]:
                if int(number) in self.entries and entry[0] == "purge":
                    self.twice.append(int(number))
                self.entries[int(number)] = tuple(entry)
        while self.covered + 1 in self.entries:
            self.covered += 1

    def current_changes(self) -> dict[str, tuple[int, str]]:
        """Return the current change by subject."""
        result: dict[str, tuple[int, str]] = {}
        for number in sorted(self.entries):
            kind, subject, *value = self.entries[number]
            if kind == "change":
                result[subject] = number, value[0]
        return result


def read_records(path: Path) -> list[ProcessRecord]:
    """Return the records of a member's processes in order."""
    result: list[ProcessRecord] = []
    for line in path.read_text().splitlines() if path.exists() else []:
        at, *words = line.split(" ")
        if words == ["start"]:
            result.append(ProcessRecord())
        else:
            result[-1].add(float(at), words)
    return result


class Fleet:
    """Three control nodes and two routers started with `run`, and two processes that play further members."""

    def __init__(self, folder: Path, here: Site) -> None:
        self.folder = folder
        self.here = here
        self.ways = DatagramNetwork()
        self.relays = Relays(self.ways)
        self.heard_at = {name: free_address() for name in NAMES}
        self.duties_at = {name: free_address() for name in CONTROL}
        self.processes: dict[str, Process] = {}
        self.member_processes: dict[str, MemberProcess] = {}
        self.acknowledged: dict[int, Entry] = {}
        self.refused: list[tuple[str, int, str]] = []  # by which node, with which status code and why
        self.chance = random.Random(1)
        (folder / "key").write_bytes(KEY)

    async def start_all(self) -> None:
        """Start all processes."""
        loop = self.relays.loop = asyncio.get_running_loop()
        self.relays.listen_addresses = self.heard_at
        for way in [(group, name) for group in GROUPS for name in NAMES]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda way=way: Relay(self.relays, way),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.relays.transports.append(transport)
            self.relays.send_addresses[way] = transport.get_extra_info("sockname")
        await asyncio.gather(
            *(self.start(name) for name in (*CONTROL, *EAST)),
            *(self.start_member_process(group) for group in ("parts", "west")),
        )

    def table(self, group: str) -> dict[str, Any]:
        """Return the table of all members of a group; each reaches the others through its own relays."""

        def peers(names: tuple[str, ...]) -> list[dict[str, str]]:
            return [{"name": n, "at": format_address(self.relays.send_addresses[group, n])} for n in names]

        sites = [
            {"name": "east-1", "region": "east", "routers": peers(EAST), "parts": peers(PARTS)},
            {"name": "west-1", "region": "west", "routers": peers(WEST[:6]), "parts": peers(WEST_PARTS)},
            {"name": "west-2", "region": "west", "routers": peers(WEST[6:])},
        ]
        return {"key_file": str(self.folder / "key"), "control": peers(CONTROL), "site": sites} | FIGURES

    def applied(self, name: str) -> Path:
        return self.folder / f"{name}.applied"

    async def start(self, name: str) -> None:
        """Start or restart a router."""
        group = "control" if name in CONTROL else "east"
        table = self.table(group) | {"name": name, "listen": format_address(self.heard_at[name])}
        table |= {"applied_file": str(self.applied(name))}
        tables: dict[str, Any] = {"spread": table}
        if group == "control":
            (self.folder / f"{name}.log").mkdir(exist_ok=True)
            table |= {"duty": "log", "folder": str(self.folder / f"{name}.log")}
            tables["duties"] = {
                "name": name,
                "peers": [{"name": n, "at": format_address(at)} for n, at in self.duties_at.items()],
                "voters": list(CONTROL),
                "key_file": str(self.folder / "key"),
                "memory_file": str(self.folder / f"{name}.memory"),
            } | {"heartbeat": 0.2, "lease": 1.0, "settle": 0.2, "unwell": 0.8, "unheard": 3.0}
        file = self.folder / f"{name}.toml"
        file.write_text("".join(f"{key} = {toml(value)}\n" for key, value in tables.items()))
        config = self.folder / f"{name}.json"
        config.write_bytes(orjson.dumps(self.here.config()))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "myrtlecourse"),
            env=os.environ | {"RELAY_CONFIG": str(config), "MYRTLECOURSE_FILE": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes[name] = Process(process)
        self.here.processes.append(self.processes[name])
        await self.processes[name].logged(r"operators call (\S+)\n")

    async def start_member_process(self, group: str) -> None:
        listen = {name: format_address(self.heard_at[name]) for name in GROUPS[group]}
        job = self.folder / f"{group}.json"
        job.write_bytes(
            orjson.dumps({"spread": self.table(group), "members": listen, "folder": str(self.folder)})
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "myrtlecourse.fleet.hollow_spread", str(job)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.member_processes[group] = MemberProcess(process)
        assert process.stdout is not None
        assert await process.stdout.readline() == b"ready\n"

    async def close(self) -> None:
        for member_process in self.member_processes.values():
            if member_process.process.returncode is None:
                member_process.process.kill()
                await member_process.process.wait()
        self.relays.close()

    # Operators' calls

    async def status(self, name: str) -> dict[str, Any]:
        """Return a member's status."""
        for group, member_process in self.member_processes.items():
            if name in GROUPS[group]:
                state: dict[str, Any] = await member_process.command("status", name)
                return state
        code, text = await self.processes[name].call("GET", "spread")
        assert code == 200, text
        result: dict[str, Any] = orjson.loads(text)
        return result

    async def holder(self, other_than: str = "", among: tuple[str, ...] = CONTROL) -> str:
        """Return the leader of the log, once there is one."""
        end = time.monotonic() + TIMEOUT
        while time.monotonic() < end:
            for name in among:
                with suppress(OSError, AssertionError):
                    if name != other_than and (await self.status(name))["writes"]:
                        return name
            await asyncio.sleep(0.05)
        raise AssertionError("there is no leader")

    async def put(self, name: str, entry: Entry) -> int:
        """Ask one control node to commit an entry. Return its number, or 0 if the outcome is unknown."""
        verb, path = ("purge", entry[1]) if entry[0] == "purge" else ("send", "/".join(entry[1:]))
        try:
            code, text = await self.processes[name].call("PUT", f"spread/{verb}/{path}")
        except (OSError, ValueError, IndexError):
            return 0  # the process ended during the call
        if code != 200:
            self.refused.append((name, code, text))
            return 0
        assert int(text) not in self.acknowledged, "two entries under one number"
        self.acknowledged[int(text)] = entry
        return int(text)

    async def send(self, count: int, among: tuple[str, ...] = CONTROL) -> int:
        """Commit entries one after the other at any node that accepts them. Return the last number."""
        number, at = 0, 0
        end = time.monotonic() + TIMEOUT
        for each in range(count):
            key = self.chance.randbytes(8).hex()
            value = f"{each:04x}"
            entry = ("purge", key) if each % 3 else ("change", f"{each % 9:016x}", value)
            while not (got := await self.put(among[at], entry)):
                assert time.monotonic() < end, self.refused[-9:]
                at = (at + 1) % len(among)
                await asyncio.sleep(0.02)
            number = got
        return number

    async def parent_of(self, name: str) -> str:
        """Return a member's parent, once it has one."""
        end = time.monotonic() + TIMEOUT
        while time.monotonic() < end:
            if parent := (await self.status(name))["node"]["parent"]:
                return str(parent)
            await asyncio.sleep(0.05)
        raise AssertionError(f"{name} has no parent")

    # Checks

    def members(self) -> dict[str, list[ProcessRecord]]:
        return {name: read_records(self.applied(name)) for name in NAMES}

    async def check_complete(self) -> None:
        """Wait until a further entry has reached all members, all of them hold leases, and it is reported as
        applied everywhere; then check everything that was written."""
        number = await self.send(1)

        def lacking() -> list[str]:
            now = self.members()
            late = [n for n, each in now.items() if not each or each[-1].covered < number]
            late += [f"{n} has no lease" for n, each in now.items() if each and not each[-1].lease_valid]
            if not any(at >= number for n in CONTROL for record in now[n] for _, at in record.watermarks):
                late.append("nobody reports a watermark")
            return late

        await until(lambda: not lacking(), lambda: f"{number}: {lacking()}")
        self.check_files()
        current = {name: each[-1].current_changes() for name, each in self.members().items()}
        for name, changes in current.items():
            assert changes == current[CONTROL[0]], f"{name} has a different configuration than {CONTROL[0]}"

    def check_files(self) -> None:
        """Check that all have the same log, that no acknowledged entry is lost, and that nothing was reported
        as applied everywhere too early."""
        log: dict[int, Entry] = dict(self.acknowledged)
        members = self.members()
        for name, records in members.items():
            for record in records:
                assert not record.twice, f"{name} applied {record.twice[:9]} twice"
                for number, entry in record.entries.items():
                    assert log.setdefault(number, entry) == entry, f"{name} has a different {number}"
        reported = sorted(
            reported for name in CONTROL for record in members[name] for reported in record.watermarks
        )
        for name, records in members.items():
            for record in records:
                for at, covered in record.leases:
                    done = max((number for when, number in reported if when < at), default=0)
                    assert covered >= done, (
                        f"{name} has a lease with {covered} when {done} is reported as applied everywhere"
                    )


def toml(value: Any) -> str:
    """Return a value as TOML in one line."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(each)}" for key, each in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return orjson.dumps(value).decode()


@asynccontextmanager
async def fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Run a fleet until the test has ended."""
    async with site(folder) as here:
        made = Fleet(folder, here)
        try:
            await made.start_all()
            await made.check_complete()
            yield made
        finally:
            for process in made.processes.values():
                with suppress(ProcessLookupError):
                    process.process.send_signal(signal.SIGCONT)
            await made.close()
