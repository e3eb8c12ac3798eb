"""A fleet of real processes that carry changes and purges, for tests, and what they wrote, judged."""

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

from myrtlecourse.fleet.reserved_ports import free
from myrtlecourse.fleet.ways import Relay, Relays, Ways
from tests.loopback import format_address
from tests.test_service import Process, Site, site

HARD_END = 60.0  # seconds for what a test waits for; nothing is judged by how soon it comes
CONTROL = ("c1", "c2", "c3")
EAST = ("e1", "e2")  # real routers, the only ones of their region: its relays
PARTS = tuple(f"p{n}" for n in range(10))
WEST = tuple(f"w{n}" for n in range(12))
WEST_PARTS = tuple(f"q{n}" for n in range(4))
GROUPS = {"control": CONTROL, "east": EAST, "parts": PARTS, "west": WEST + WEST_PARTS}
NAMES = tuple(name for names in GROUPS.values() for name in names)
# what one of the two heads of a site bears, so that it can bear the other's children too, at this pause
FIGURES = {"lease": 2.0, "report": 0.1, "pause": 0.05, "budget": 50_000.0}
KEY = b"a key that the whole fleet has"
Entry = tuple[str, ...]  # kind, key and value as the files have them


async def until(true: Callable[[], bool], what: Callable[[], str]) -> None:
    """Wait for what other processes bring about; it fails when that does not come at all."""
    end = time.monotonic() + HARD_END
    while not true():
        assert time.monotonic() < end, what()
        await asyncio.sleep(0.05)


class Hollow:
    """A process of many members without routers."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.turn = asyncio.Lock()

    async def order(self, *words: str) -> Any:
        """One order, and its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.turn:
            self.process.stdin.write((" ".join(words) + "\n").encode())
            async with asyncio.timeout(HARD_END):
                line = await self.process.stdout.readline()
        assert line, "a hollow process has ended"
        return json.loads(line)


class Life:
    """What one process of a member has written."""

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.twice: list[int] = []
        self.covered = 0  # all up to here are applied, or to be treated as purged
        self.forgotten = 0
        self.vouched: list[tuple[float, int]] = []  # when it said that it vouches, and `covered` then
        self.vouches = False
        self.done: list[tuple[float, int]] = []

    def take(self, at: float, words: list[str]) -> None:
        match words:
            case ["vouches", said]:
                self.vouches = said == "yes"
                if self.vouches:
                    self.vouched.append((at, self.covered))
            case ["forget", first, last]:
                if int(first) <= self.covered + 1:
                    self.covered = max(self.covered, int(last))
                self.forgotten += 1
            case ["done", number, _, _]:
                self.done.append((at, int(number)))
            case [number, *entry]:
                if int(number) in self.entries and entry[0] == "purge":
                    self.twice.append(int(number))
                self.entries[int(number)] = tuple(entry)
        while self.covered + 1 in self.entries:
            self.covered += 1

    def held(self) -> dict[str, tuple[int, str]]:
        """By subject the change that holds."""
        found: dict[str, tuple[int, str]] = {}
        for number in sorted(self.entries):
            kind, subject, *value = self.entries[number]
            if kind == "change":
                found[subject] = number, value[0]
        return found


def lives(path: Path) -> list[Life]:
    """A member's processes, in their order."""
    found: list[Life] = []
    for line in path.read_text().splitlines() if path.exists() else []:
        at, *words = line.split(" ")
        if words == ["start"]:
            found.append(Life())
        else:
            found[-1].take(float(at), words)
    return found


class Fleet:
    """Three control machines and two routers as `run` starts them, and two processes of other members."""

    def __init__(self, folder: Path, here: Site) -> None:
        self.folder = folder
        self.here = here
        self.ways = Ways()
        self.relays = Relays(self.ways)
        self.heard_at = {name: free() for name in NAMES}
        self.duties_at = {name: free() for name in CONTROL}
        self.processes: dict[str, Process] = {}
        self.hollow: dict[str, Hollow] = {}
        self.acknowledged: dict[int, Entry] = {}
        self.refused: list[tuple[str, int, str]] = []  # by whom, how and why
        self.chance = random.Random(1)
        (folder / "key").write_bytes(KEY)

    async def stand_up(self) -> None:
        """Start all."""
        loop = self.relays.loop = asyncio.get_running_loop()
        self.relays.heard_at = self.heard_at
        for way in [(group, name) for group in GROUPS for name in NAMES]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda way=way: Relay(self.relays, way),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.relays.transports.append(transport)
            self.relays.at[way] = transport.get_extra_info("sockname")
        await asyncio.gather(
            *(self.start(name) for name in (*CONTROL, *EAST)),
            *(self.start_hollow(group) for group in ("parts", "west")),
        )

    def table(self, group: str) -> dict[str, Any]:
        """What all members of a group have; each other is heard at the end of a way."""

        def peers(names: tuple[str, ...]) -> list[dict[str, str]]:
            return [{"name": n, "at": format_address(self.relays.at[group, n])} for n in names]

        sites = [
            {"name": "east-1", "region": "east", "routers": peers(EAST), "parts": peers(PARTS)},
            {"name": "west-1", "region": "west", "routers": peers(WEST[:6]), "parts": peers(WEST_PARTS)},
            {"name": "west-2", "region": "west", "routers": peers(WEST[6:])},
        ]
        return {"key_file": str(self.folder / "key"), "control": peers(CONTROL), "site": sites} | FIGURES

    def applied(self, name: str) -> Path:
        return self.folder / f"{name}.applied"

    async def start(self, name: str) -> None:
        """Start a router, or start it again."""
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

    async def start_hollow(self, group: str) -> None:
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
        self.hollow[group] = Hollow(process)
        assert process.stdout is not None
        assert await process.stdout.readline() == b"ready\n"

    async def close(self) -> None:
        for hollow in self.hollow.values():
            if hollow.process.returncode is None:
                hollow.process.kill()
                await hollow.process.wait()
        self.relays.close()

    # What operators do

    async def status(self, name: str) -> dict[str, Any]:
        """A member's view."""
        for group, hollow in self.hollow.items():
            if name in GROUPS[group]:
                told: dict[str, Any] = await hollow.order("status", name)
                return told
        code, text = await self.processes[name].call("GET", "spread")
        assert code == 200, text
        found: dict[str, Any] = orjson.loads(text)
        return found

    async def holder(self, other_than: str = "", among: tuple[str, ...] = CONTROL) -> str:
        """Who writes the log, once somebody does."""
        end = time.monotonic() + HARD_END
        while time.monotonic() < end:
            for name in among:
                with suppress(OSError, AssertionError):
                    if name != other_than and (await self.status(name))["writes"]:
                        return name
            await asyncio.sleep(0.05)
        raise AssertionError("nobody writes the log")

    async def put(self, name: str, entry: Entry) -> int:
        """Ask one control machine to let an entry last; answers with its number, 0 if it does not know."""
        verb, path = ("purge", entry[1]) if entry[0] == "purge" else ("send", "/".join(entry[1:]))
        try:
            code, text = await self.processes[name].call("PUT", f"spread/{verb}/{path}")
        except (OSError, ValueError, IndexError):
            return 0  # it ended in the middle
        if code != 200:
            self.refused.append((name, code, text))
            return 0
        assert int(text) not in self.acknowledged, "two entries under one number"
        self.acknowledged[int(text)] = entry
        return int(text)

    async def send(self, count: int, among: tuple[str, ...] = CONTROL) -> int:
        """Let so many entries last, one after the other, wherever that can be had; answers with the last's
        number."""
        number, at = 0, 0
        end = time.monotonic() + HARD_END
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
        """Of whom a member hears, once it has a parent."""
        end = time.monotonic() + HARD_END
        while time.monotonic() < end:
            if parent := (await self.status(name))["node"]["parent"]:
                return str(parent)
            await asyncio.sleep(0.05)
        raise AssertionError(f"{name} has no parent")

    # Judged

    def members(self) -> dict[str, list[Life]]:
        return {name: lives(self.applied(name)) for name in NAMES}

    async def whole(self) -> None:
        """Wait until one entry more is with all members, all vouch for themselves, and it is told as done
        everywhere; and judge all that was written up to then."""
        number = await self.send(1)

        def lacking() -> list[str]:
            now = self.members()
            late = [n for n, each in now.items() if not each or each[-1].covered < number]
            late += [f"{n} does not vouch" for n, each in now.items() if each and not each[-1].vouches]
            if not any(at >= number for n in CONTROL for life in now[n] for _, at in life.done):
                late.append("nobody says done")
            return late

        await until(lambda: not lacking(), lambda: f"{number}: {lacking()}")
        self.judge()
        held = {name: each[-1].held() for name, each in self.members().items()}
        for name, changes in held.items():
            assert changes == held[CONTROL[0]], f"{name} has another configuration than {CONTROL[0]}"

    def judge(self) -> None:
        """The same log everywhere, nothing lost that was acknowledged, no completion before its time."""
        log: dict[int, Entry] = dict(self.acknowledged)
        each = self.members()
        for name, all_lives in each.items():
            for life in all_lives:
                assert not life.twice, f"{name} applied {life.twice[:9]} twice"
                for number, entry in life.entries.items():
                    assert log.setdefault(number, entry) == entry, f"{name} has another {number}"
        told = sorted(told for name in CONTROL for life in each[name] for told in life.done)
        for name, all_lives in each.items():
            for life in all_lives:
                for at, covered in life.vouched:
                    done = max((number for when, number in told if when < at), default=0)
                    assert covered >= done, f"{name} vouches with {covered} when {done} is told as done"


def toml(value: Any) -> str:
    """A value as TOML has it, in one line."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(each)}" for key, each in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return orjson.dumps(value).decode()


@asynccontextmanager
async def fleet(folder: Path) -> AsyncIterator[Fleet]:
    """One that stands, until the test has ended."""
    async with site(folder) as here:
        made = Fleet(folder, here)
        try:
            await made.stand_up()
            await made.whole()
            yield made
        finally:
            for process in made.processes.values():
                with suppress(ProcessLookupError):
                    process.process.send_signal(signal.SIGCONT)
            await made.close()
