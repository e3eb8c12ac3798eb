"""The costs that are measured by size; `measuring.py` measures each size in a process of its own.

A cost in time is the processor time of the one thread that does the work, so waiting is not counted. A cost
in memory is the growth of the process's resident memory.
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

# Successive halves of the fleet size that is planned for, so that hash tables, which grow by doubling, have
# the same load factor at each size; and the number of servers in one region.
SERVER_COUNTS = (105, 156, 209, 419, 838, 1675, 6700)
ROSTER_SIZES = (25, 50, 100, 150, 200, 250, 1000)
CHANGE_RATES = (1, 2, 4, 8, 16, 64)
DATAGRAM_COUNTS = (250, 500, 1000, 2000, 4000, 16000)
ALL_ZONES, REGION_ZONES = 138, 4  # zones in the list: of the whole fleet, and of one region
REQUESTS_PER_REPEAT = 400  # requests in one measured value
OBSERVED_SECONDS = 10.0  # seconds of virtual time for which a member is measured
GOSSIP_KEY = b"a key as long as these are"
WALL_CLOCK = EPOCH + 50_000_000.0  # the Unix time at which the simulations in virtual time begin


def list_entries(count: int) -> list[dict[str, Any]]:
    """Return `count` entries of a server list, in the form in which discovery sends them."""
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


def encode_list(entries: list[dict[str, Any]], is_full: bool) -> bytes:
    """Encode a whole list or a change of it as discovery's JSON."""
    return orjson.dumps({"index": 4_000_000, "snapshot": is_full, "endpoints": entries})


def router_settings() -> api.Settings:
    """Return the settings of a router in the fleet that is planned for."""
    read_class = api.RequestClass("read", aim=1.0)
    return api.Settings(
        {"read": read_class}, hedging=True, may_cancel=True, max_attempts=4, router_count=16_000
    )


def parse_list(body: bytes) -> tuple[bool, list[Member]]:
    """Parse the body of an answer as the discovery client does."""
    _, is_full, members = discovery.read_list(orjson.loads(body))
    return is_full, members


def make_host() -> Host:
    """Return a router's host without sockets."""
    settings = router_settings()
    caches, origins = (
        Pool(make_connection, 300, settings.dial_timeout, settings.connection_idle)
        for make_connection in (CacheConnection, OriginConnection)
    )
    return Host(settings, 1, caches, origins, lambda: None)


def apply_answer(host: Host, body: bytes) -> None:
    """Parse an answer from discovery and apply it to the host and the decision module, in all its batches."""
    is_full, members = parse_list(body)
    host.list_updates.submit(ListUpdate(api.ListKind.FULL if is_full else api.ListKind.DELTA, members))
    host.list_updates.apply_all()


def longest_iteration(host: Host, body: bytes) -> float:
    """Do the same as `apply_answer`, and return the processor seconds of the longest event loop iteration."""
    iterations = []
    before = time.thread_time()

    def end_iteration() -> None:
        nonlocal before
        now = time.thread_time()
        iterations.append(now - before)
        before = now

    header = discovery.read_header(orjson.loads(body))
    members: list[Member] = []
    for start in range(0, max(1, len(header.entries)), discovery.ENTRIES_PER_ITERATION):
        members += header.read_members(start, start + discovery.ENTRIES_PER_ITERATION)
        end_iteration()
    host.list_updates.submit(ListUpdate(api.ListKind.FULL if header.is_full else api.ListKind.DELTA, members))
    end_iteration()
    while host.list_updates.pending:
        host.list_updates.apply_next_batch()
        end_iteration()
    return max(iterations)


def time_repeats(work: Callable[[], object], repeats: int) -> list[float]:
    """Return the processor seconds of each repeat, not counting the garbage of earlier repeats."""
    seconds = []
    for _ in range(repeats):
        gc.collect()
        before = time.thread_time()
        work()
        seconds.append(time.thread_time() - before)
    return seconds


def list_bytes(size: int, repeats: int) -> list[float]:
    return [float(len(encode_list(list_entries(size), True)))] * repeats


def list_parse(size: int, repeats: int) -> list[float]:
    body = encode_list(list_entries(size), True)
    return time_repeats(lambda: parse_list(body), repeats)


def list_apply(size: int, repeats: int) -> list[float]:
    _, members = parse_list(encode_list(list_entries(size), True))
    event = api.ServerList(api.ListKind.FULL, tuple(m.entry for m in members))
    return time_repeats(
        lambda: policy.Router(router_settings(), 1, time.time()).handle(time.time(), event), repeats
    )


def list_stop(size: int, repeats: int) -> list[float]:
    body = encode_list(list_entries(size), True)
    seconds = []
    for _ in range(repeats):
        gc.collect()
        seconds.append(longest_iteration(make_host(), body))
    return seconds


def server_changes(host: Host, size: int) -> Callable[[], None]:
    """Return a function that alternately takes a server out of service and puts it back."""
    entries = list_entries(size)
    state = {"at": 0}

    def change() -> None:
        count = state["at"]
        state["at"] += 1
        status = "terminating" if count % 2 == 0 else "in_service"
        apply_answer(host, encode_list([entries[count // 2 % size] | {"status": status}], False))

    return change


def list_change(size: int, repeats: int) -> list[float]:
    host = make_host()
    apply_answer(host, encode_list(list_entries(size), True))
    return time_repeats(server_changes(host, size), repeats)


def change_rate(listed: int) -> Callable[[int, int], list[float]]:
    """Return a measurement of the processor seconds for some list changes, for a list of `listed` servers."""

    def run(size: int, repeats: int) -> list[float]:
        host = make_host()
        apply_answer(host, encode_list(list_entries(listed), True))
        change = server_changes(host, listed)
        return time_repeats(lambda: [change() for _ in range(size)], repeats)

    return run


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def list_memory(size: int, repeats: int) -> list[float]:
    """Measure each repeat in a forked process, so that none reuses memory that an earlier one has freed."""
    body = encode_list(list_entries(size), True)
    sizes = []
    for _ in range(repeats):
        read_end, write_end = os.pipe()
        child = os.fork()
        if not child:
            before, host = resident_bytes(), make_host()
            apply_answer(host, body)
            gc.collect()
            os.write(write_end, b"%d" % (resident_bytes() - before))
            os._exit(0)
        os.waitpid(child, 0)
        sizes.append(float(os.read(read_end, 64)))
        os.close(read_end)
        os.close(write_end)
    return sizes


def decision(size: int, repeats: int) -> list[float]:
    """Measure the decisions on a request and on the outcome of its single attempt."""
    router = policy.Router(router_settings(), 1, 1_800_000_000.0)
    _, members = parse_list(encode_list(list_entries(size), True))
    router.handle(1_800_000_000.0, api.ServerList(api.ListKind.FULL, tuple(m.entry for m in members)))
    state = {"at": 0}

    def decide() -> None:
        for _ in range(REQUESTS_PER_REPEAT):
            number = state["at"] = state["at"] + 1
            now, name = 1_800_000_000.0 + number * 0.001, f"r{number}"
            sent = router.handle(now, api.Request(name, "read", 2.0, key=f"key-{number % 9973}"))
            assert any(isinstance(a, api.Send) for a in sent)
            router.handle(now + 0.0005, api.Outcome(name, 0, api.Status.OK, latency=0.0005))

    decide()  # warms up: servers that have never answered are handled by other code
    return [seconds / REQUESTS_PER_REPEAT for seconds in time_repeats(decide, repeats)]


def roster_names(count: int) -> tuple[str, ...]:
    return tuple(f"router-{i:05d}" for i in range(count))


def fill_roster(gossip: Gossip, payload: tuple[int, ...], rng: random.Random, now: float) -> None:
    """Make a member know all others, as after a long time: the ages of their records are spread evenly."""
    cycle = max(1.0, len(gossip.members) / RECORDS_PER_DATAGRAM)
    for i, member in gossip.members.items():
        if i != gossip.own_id:
            made_at = now - rng.uniform(0.0, cycle)
            member.record = Record(i, start_number(WALL_CLOCK), 1_000_000, i % 138, payload, made_at)
            member.times_sent = rng.randrange(1, 4)


def reseal(datagram: Datagram, to: str) -> bytes:
    """Return the contents of a datagram, sealed for another receiver."""
    parts = Seal(datagram.to, GOSSIP_KEY).open(datagram.data, 6, VERSION)
    return Seal(to, GOSSIP_KEY).pack(to, parts)


def member_second(zones: int) -> Callable[[int, int], list[float]]:
    """Return a measurement of the processor seconds per second of a member while nothing changes.

    With 0 zones it covers the gossip alone, otherwise all the shared state that a router runs. The member
    sends about one datagram per second, and receives one per second from another member.
    """

    return lambda size, repeats: [member_cost(size, seed, zones) for seed in range(repeats)]


def member_cost(size: int, seed: int, zones: int) -> float:
    """Measure one repeat of `member_second`."""
    rng, now = random.Random(seed), 1000.0
    me, other = (
        Agent(AgentSettings(name, roster_names(size), "zone-001", GOSSIP_KEY), now, WALL_CLOCK, seed)
        for name in roster_names(2)
    )
    payload = other.zones.payload(now)
    for agent in (me, other):
        agent.servers_listed({f"zone-{z:03d}": 48 for z in range(max(1, zones))})
        fill_roster(agent.gossip, payload, rng, now)
        agent.tick(now, WALL_CLOCK)
    spent = 0.0
    for _ in range(round(OBSERVED_SECONDS / TICK_INTERVAL)):
        now += TICK_INTERVAL
        sent = [reseal(d, me.settings.name) for d in other.tick(now, WALL_CLOCK).datagrams]
        before = time.thread_time()
        for data in sent:
            if zones:
                me.receive(data, now, WALL_CLOCK)
            else:
                me.gossip.receive(data, now, WALL_CLOCK)
        if zones:
            me.tick(now, WALL_CLOCK)
        else:
            me.gossip.tick(now, WALL_CLOCK, lambda: payload)
        spent += time.thread_time() - before
    return spent / OBSERVED_SECONDS


def seal_cost(opens: bool) -> Callable[[int, int], list[float]]:
    """Return a measurement of opening or packing sealed datagrams of almost the maximum length."""

    def run(size: int, repeats: int) -> list[float]:
        seal = Seal("router-00001", GOSSIP_KEY)
        parts = [2, 1 << 31, 1 << 30, 1 << 20, 1 << 30, [7] * 208]
        data = seal.pack("router-00001", parts)
        if opens:
            return time_repeats(lambda: [seal.open(data, 6, 2) for _ in range(size)], repeats)
        return time_repeats(lambda: [seal.pack("router-00001", parts) for _ in range(size)], repeats)

    return run


@dataclass(frozen=True, slots=True)
class SlopeSpec:
    """How a slope is measured; `run` takes the size and the number of repeats."""

    what: str
    by: str
    unit: str
    sizes: tuple[int, ...]
    repeats: int
    run: Callable[[int, int], list[float]]


SPECS: dict[str, SlopeSpec] = {
    "list.bytes": SlopeSpec(
        "A whole list in discovery's JSON", "servers in the list", "B", SERVER_COUNTS, 3, list_bytes
    ),
    "list.parse": SlopeSpec(
        "A whole list is read and checked", "servers in the list", "s", SERVER_COUNTS, 9, list_parse
    ),
    "list.take": SlopeSpec(
        "The module takes its first list", "servers in the list", "s", SERVER_COUNTS, 5, list_apply
    ),
    "list.stop": SlopeSpec(
        "The longest turn of the loop while a first whole list is read and taken",
        *("servers in the list", "s", SERVER_COUNTS, 5, list_stop),
    ),
    "list.change": SlopeSpec(
        "One change of the list is read and taken", "servers in the list", "s", SERVER_COUNTS, 9, list_change
    ),
    "list.memory": SlopeSpec(
        "Memory for a list, held by host and module",
        "servers in the list",
        "B",
        SERVER_COUNTS,
        5,
        list_memory,
    ),
    "changes.156": SlopeSpec(
        "List changes each second, a list of 156 servers",
        "changes a second",
        "s",
        CHANGE_RATES,
        9,
        change_rate(156),
    ),
    "decision": SlopeSpec(
        "A read that hits: its request and its outcome",
        "servers in the list",
        "s",
        SERVER_COUNTS,
        11,
        decision,
    ),
    "gossip.second": SlopeSpec(
        "Gossip of one member for a second, all calm",
        "members of the roster",
        "s",
        ROSTER_SIZES,
        9,
        member_second(0),
    ),
    "agent.second": SlopeSpec(
        f"All that a member runs for a second, all calm: gossip and the verdicts on {ALL_ZONES} zones",
        *("members of the roster", "s", ROSTER_SIZES, 5, member_second(ALL_ZONES)),
    ),
    "agent.region": SlopeSpec(
        f"The same, with the {REGION_ZONES} zones of a region's view",
        *("members of the roster", "s", ROSTER_SIZES, 9, member_second(REGION_ZONES)),
    ),
    "seal.pack": SlopeSpec("Sealed datagrams packed", "datagrams", "s", DATAGRAM_COUNTS, 9, seal_cost(False)),
    "seal.open": SlopeSpec("Sealed datagrams opened", "datagrams", "s", DATAGRAM_COUNTS, 9, seal_cost(True)),
}
