"""What is measured by size; `measuring.py` carries each size out in a process of its own.

A cost is processor time (of the one thread that works), so that waiting counts for nothing; memory is what
the process holds more than before.
"""

from __future__ import annotations

import gc
import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from myrtlecourse import interface as api
from myrtlecourse import policy
from myrtlecourse.net import discovery
from myrtlecourse.net.host import Host
from myrtlecourse.net.list_updates import ListUpdate
from myrtlecourse.net.members import Member
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.servers import CacheConnection
from myrtlecourse.peers.gossip import RECORDS_PER_DATAGRAM, TICK_INTERVAL, VERSION, Datagram, Gossip
from myrtlecourse.peers.records import EPOCH, Record, start_number
from myrtlecourse.peers.seal import Seal
from myrtlecourse.zones.agent import Agent, AgentSettings

# halves of the size to come, so that tables which double are as full at each; and a region's view
SERVERS = (105, 156, 209, 419, 838, 1675, 6700)
MEMBERS = (25, 50, 100, 150, 200, 250, 1000)
CHANGES = (1, 2, 4, 8, 16, 64)
DATAGRAMS = (250, 500, 1000, 2000, 4000, 16000)
ALL_ZONES, REGION_ZONES = 138, 4  # that a list names: the whole fleet's, a region's
REQUESTS = 400  # for one value of a decision
WATCHED = 10.0  # seconds of virtual time that a member is watched
KEY = b"a key as long as these are"
WALL = EPOCH + 50_000_000.0  # Unix time of what happens in virtual time


def lines(count: int) -> list[dict[str, Any]]:
    """Entries of a list, as discovery spells them."""
    return [
        {
            "name": f"cache-{i:05d}",
            "address": f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:{20000 + i % 40000}",
            "zone": f"zone-{i % 138:03d}",
            "type": f"kind-{i % 5}",
            "group": i % 8 + 10,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 1_700_000_000_000 + i,
        }
        for i in range(count)
    ]


def spelled(entries: list[dict[str, Any]], whole: bool) -> bytes:
    """A list, or changes of it, in discovery's JSON."""
    return orjson.dumps({"index": 4_000_000, "snapshot": whole, "endpoints": entries})


def settings() -> api.Settings:
    """Those of a router of the fleet to come."""
    read = api.RequestClass("read", aim=1.0)
    return api.Settings({"read": read}, hedging=True, may_cancel=True, max_attempts=4, router_count=16_000)


def parse(body: bytes) -> tuple[bool, list[Member]]:
    """What discovery's agent does with an answer's body."""
    _, whole, members = discovery.read_list(orjson.loads(body))
    return whole, members


def host() -> Host:
    """A router's host without sockets."""
    made = settings()
    caches, origins = (
        Pool(make, 300, made.dial_timeout, made.connection_idle)
        for make in (CacheConnection, OriginConnection)
    )
    return Host(made, 1, caches, origins, lambda: None)


def told(to: Host, body: bytes) -> None:
    """An answer of discovery's is read, and taken by host and module, in as many turns as that takes."""
    whole, members = parse(body)
    to.list_updates.submit(ListUpdate(api.ListKind.FULL if whole else api.ListKind.DELTA, members))
    to.list_updates.apply_all()


def longest_turn(to: Host, body: bytes) -> float:
    """The same; processor seconds of the turn that takes longest."""
    turns = []
    before = time.thread_time()

    def turn_ends() -> None:
        nonlocal before
        now = time.thread_time()
        turns.append(now - before)
        before = now

    head = discovery.read_header(orjson.loads(body))
    members: list[Member] = []
    for start in range(0, max(1, len(head.entries)), discovery.ENTRIES_PER_ITERATION):
        members += head.read_members(start, start + discovery.ENTRIES_PER_ITERATION)
        turn_ends()
    to.list_updates.submit(ListUpdate(api.ListKind.FULL if head.is_full else api.ListKind.DELTA, members))
    turn_ends()
    while to.list_updates.pending:
        to.list_updates.apply_next_batch()
        turn_ends()
    return max(turns)


def timed(work: Callable[[], object], repeats: int) -> list[float]:
    """Processor seconds of each repeat; the garbage of those before is no cost of it."""
    found = []
    for _ in range(repeats):
        gc.collect()
        before = time.thread_time()
        work()
        found.append(time.thread_time() - before)
    return found


def list_bytes(size: int, repeats: int) -> list[float]:
    return [float(len(spelled(lines(size), True)))] * repeats


def list_parse(size: int, repeats: int) -> list[float]:
    body = spelled(lines(size), True)
    return timed(lambda: parse(body), repeats)


def list_take(size: int, repeats: int) -> list[float]:
    _, members = parse(spelled(lines(size), True))
    event = api.ServerList(api.ListKind.FULL, tuple(m.entry for m in members))
    return timed(lambda: policy.Router(settings(), 1, time.time()).handle(time.time(), event), repeats)


def list_stop(size: int, repeats: int) -> list[float]:
    body = spelled(lines(size), True)
    found = []
    for _ in range(repeats):
        gc.collect()
        found.append(longest_turn(host(), body))
    return found


def changes(to: Host, size: int) -> Callable[[], None]:
    """Each call takes one server out of service, or gives back the one taken out before."""
    entries = lines(size)
    state = {"at": 0}

    def change() -> None:
        at = state["at"]
        state["at"] += 1
        status = "terminating" if at % 2 == 0 else "in_service"
        told(to, spelled([entries[at // 2 % size] | {"status": status}], False))

    return change


def list_change(size: int, repeats: int) -> list[float]:
    to = host()
    told(to, spelled(lines(size), True))
    return timed(changes(to, size), repeats)


def change_rate(listed: int) -> Callable[[int, int], list[float]]:
    """Processor seconds a second by list changes a second, at a list of so many servers."""

    def run(size: int, repeats: int) -> list[float]:
        to = host()
        told(to, spelled(lines(listed), True))
        change = changes(to, listed)
        return timed(lambda: [change() for _ in range(size)], repeats)

    return run


def resident() -> int:
    """Bytes that this process holds in memory."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def list_memory(size: int, repeats: int) -> list[float]:
    """Each repeat in a copy of this process, so that none finds room that one before has left."""
    body = spelled(lines(size), True)
    found = []
    for _ in range(repeats):
        out, into = os.pipe()
        copy = os.fork()
        if not copy:
            before, held = resident(), host()
            told(held, body)
            gc.collect()
            os.write(into, b"%d" % (resident() - before))
            os._exit(0)
        os.waitpid(copy, 0)
        found.append(float(os.read(out, 64)))
        os.close(out)
        os.close(into)
    return found


def decision(size: int, repeats: int) -> list[float]:
    """A request and the outcome of its one attempt."""
    router = policy.Router(settings(), 1, 1_800_000_000.0)
    _, members = parse(spelled(lines(size), True))
    router.handle(1_800_000_000.0, api.ServerList(api.ListKind.FULL, tuple(m.entry for m in members)))
    state = {"at": 0}

    def ask() -> None:
        for _ in range(REQUESTS):
            at = state["at"] = state["at"] + 1
            now, name = 1_800_000_000.0 + at * 0.001, f"r{at}"
            sent = router.handle(now, api.Request(name, "read", 2.0, key=f"key-{at % 9973}"))
            assert any(isinstance(a, api.Send) for a in sent)
            router.handle(now + 0.0005, api.Outcome(name, 0, api.Status.OK, latency=0.0005))

    ask()  # servers that have never answered cost otherwise
    return [seconds / REQUESTS for seconds in timed(ask, repeats)]


def names(count: int) -> tuple[str, ...]:
    return tuple(f"router-{i:05d}" for i in range(count))


def acquaint(gossip: Gossip, said: tuple[int, ...], chance: random.Random, now: float) -> None:
    """Let it know all others, as a member does that has run for long: news of each comes by turns."""
    turn = max(1.0, len(gossip.members) / RECORDS_PER_DATAGRAM)
    for i, member in gossip.members.items():
        if i != gossip.own_id:
            made_at = now - chance.uniform(0.0, turn)
            member.record = Record(i, start_number(WALL), 1_000_000, i % 138, said, made_at)
            member.times_sent = chance.randrange(1, 4)


def readdressed(datagram: Datagram, to: str) -> bytes:
    """What a datagram says, sealed for another receiver."""
    parts = Seal(datagram.to, KEY).open(datagram.data, 6, VERSION)
    return Seal(to, KEY).pack(to, parts)


def member_second(zones: int) -> Callable[[int, int], list[float]]:
    """Processor seconds a second of a member that runs calmly: gossip alone, or all that a router runs.

    About each second it sends one datagram, and is given one that another member has made at the same pace.
    """

    return lambda size, repeats: [watched(size, seed, zones) for seed in range(repeats)]


def watched(size: int, seed: int, zones: int) -> float:
    """One repeat of `member_second`."""
    chance, now = random.Random(seed), 1000.0
    me, other = (
        Agent(AgentSettings(name, names(size), "zone-001", KEY), now, WALL, seed) for name in names(2)
    )
    said = other.zones.payload(now)
    for agent in (me, other):
        agent.servers_listed({f"zone-{z:03d}": 48 for z in range(max(1, zones))})
        acquaint(agent.gossip, said, chance, now)
        agent.tick(now, WALL)
    spent = 0.0
    for _ in range(round(WATCHED / TICK_INTERVAL)):
        now += TICK_INTERVAL
        sent = [readdressed(d, me.settings.name) for d in other.tick(now, WALL).datagrams]
        before = time.thread_time()
        for data in sent:
            if zones:
                me.receive(data, now, WALL)
            else:
                me.gossip.receive(data, now, WALL)
        if zones:
            me.tick(now, WALL)
        else:
            me.gossip.tick(now, WALL, lambda: said)
        spent += time.thread_time() - before
    return spent / WATCHED


def seal_cost(opens: bool) -> Callable[[int, int], list[float]]:
    """Processor seconds for so many sealed datagrams as long as they may be: packed, or opened."""

    def run(size: int, repeats: int) -> list[float]:
        seal = Seal("router-00001", KEY)
        parts = [2, 1 << 31, 1 << 30, 1 << 20, 1 << 30, [7] * 208]
        data = seal.pack("router-00001", parts)
        if opens:
            return timed(lambda: [seal.open(data, 6, 2) for _ in range(size)], repeats)
        return timed(lambda: [seal.pack("router-00001", parts) for _ in range(size)], repeats)

    return run


@dataclass(frozen=True, slots=True)
class Spec:
    """How a slope is measured."""

    what: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    repeats: int
    run: Callable[[int, int], list[float]]


SPECS: dict[str, Spec] = {
    "list.bytes": Spec(
        "A whole list in discovery's JSON", "servers in the list", "B", SERVERS, 3, list_bytes
    ),
    "list.parse": Spec(
        "A whole list is read and checked", "servers in the list", "s", SERVERS, 9, list_parse
    ),
    "list.take": Spec("The module takes its first list", "servers in the list", "s", SERVERS, 5, list_take),
    "list.stop": Spec(
        "The longest turn of the loop while a first whole list is read and taken",
        *("servers in the list", "s", SERVERS, 5, list_stop),
    ),
    "list.change": Spec(
        "One change of the list is read and taken", "servers in the list", "s", SERVERS, 9, list_change
    ),
    "list.memory": Spec(
        "Memory for a list, held by host and module", "servers in the list", "B", SERVERS, 5, list_memory
    ),
    "changes.156": Spec(
        "List changes each second, a list of 156 servers",
        "changes a second",
        "s",
        CHANGES,
        9,
        change_rate(156),
    ),
    "decision": Spec(
        "A read that hits: its request and its outcome", "servers in the list", "s", SERVERS, 11, decision
    ),
    "gossip.second": Spec(
        "Gossip of one member for a second, all calm",
        "members of the roster",
        "s",
        MEMBERS,
        9,
        member_second(0),
    ),
    "agent.second": Spec(
        f"All that a member runs for a second, all calm: gossip and the verdicts on {ALL_ZONES} zones",
        *("members of the roster", "s", MEMBERS, 5, member_second(ALL_ZONES)),
    ),
    "agent.region": Spec(
        f"The same, with the {REGION_ZONES} zones of a region's view",
        *("members of the roster", "s", MEMBERS, 9, member_second(REGION_ZONES)),
    ),
    "seal.pack": Spec("Sealed datagrams packed", "datagrams", "s", DATAGRAMS, 9, seal_cost(False)),
    "seal.open": Spec("Sealed datagrams opened", "datagrams", "s", DATAGRAMS, 9, seal_cost(True)),
}
