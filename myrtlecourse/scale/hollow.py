"""Hollow members: routers without a data path, hundreds of them in one process and event loop.

Each runs a router's control code, from the platform's configuration to gossip: the decision module in its
host, with timers, the discovery client and the gossip socket. It has no listener, so it gets no requests and
never sends anything to a cache server. Kubemark tests the control plane of Kubernetes in the same way.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from uvloop import new_event_loop

from myrtlecourse import interface as api
from myrtlecourse.config import Config, ConfigError, read_config
from myrtlecourse.fleet.operators import process_usage
from myrtlecourse.net.discovery import Discovery, WatchTimeouts
from myrtlecourse.net.host import Host
from myrtlecourse.net.list_updates import ListUpdate
from myrtlecourse.net.members import Member as Listed
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.servers import CacheConnection
from myrtlecourse.operators import read_operators
from myrtlecourse.overload.core import CoreAdmission
from myrtlecourse.peers.gossip_socket import GossipSocket
from myrtlecourse.scale.child_process import wait_for_end
from myrtlecourse.scale.scenario import MemberPlace
from myrtlecourse.zones.agent import Agent
from myrtlecourse.zones.setup import agent_settings

REPORT_INTERVAL = 1.0  # seconds between two reports of counts
TERMINATED = "terminated"


@dataclass(frozen=True)
class HollowJob:
    """The parameters of one process of hollow members."""

    configuration: dict[str, Any]  # shared by all members
    gossip_addresses: tuple[str, ...]  # of all members, by member number; empty: no gossip
    operators: Path | None  # the operators' file; None: no gossip
    members: tuple[MemberPlace, ...]
    restarts: tuple[tuple[float, frozenset[int]], ...]
    log: Path


@dataclass(frozen=True, slots=True)
class InForceRecord:
    """The time at which a member's decision module applied a new state of a server."""

    at: float  # the machine's monotonic clock
    member: int
    server: str
    status: str
    since_ms: int


@dataclass
class Counts:
    """What a process of hollow members has measured since the run began."""

    at: float = 0.0
    cpu: float = 0.0  # processor seconds
    datagrams_in: int = 0
    datagrams_out: int = 0
    datagram_bytes_in: int = 0
    datagram_bytes_out: int = 0
    in_force: list[InForceRecord] = field(default_factory=list)  # since the previous report


class CountingGossipSocket(GossipSocket):
    """A member's gossip socket that counts the datagrams received; the gossip itself counts those sent."""

    counts: Counts

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.counts.datagrams_in += 1
        self.counts.datagram_bytes_in += len(data)
        super().datagram_received(data, addr)


class HollowMember:
    """One hollow member, from its start to its end; a restarted member is another object."""

    def __init__(self, place: MemberPlace, job: HollowJob, counts: Counts) -> None:
        self.place = place
        self.counts = counts
        config = self.config = read_config(orjson.dumps(self._configuration(job)))
        settings = config.settings
        dial, idle = settings.dial_timeout, settings.connection_idle
        pools = Pool(CacheConnection, 1, dial, idle), Pool(OriginConnection, 1, dial, idle)
        self.host = Host(settings, config.seed, *pools, self._subscribe, CoreAdmission(settings))
        self.discovery = Discovery(
            config.discovery,
            config.known_index,
            self.host.submit_list,
            self.host.discovery_failed,
            WatchTimeouts.from_settings(settings),
        )
        self.host.list_updates.apply = self._apply_list
        self.gossip_socket: CountingGossipSocket | None = None
        if job.operators is not None:
            self.gossip_socket = self._make_gossip_socket(config, job.operators)

    def _configuration(self, job: HollowJob) -> dict[str, Any]:
        """Return the configuration that the platform would give this member."""
        configuration, number = job.configuration, self.place.number
        settings = configuration["settings"] | {"me": number, "zone": self.place.zone}
        own: dict[str, Any] = {"seed": f"{number:x}", "settings": settings}
        if job.gossip_addresses:
            own |= {"peer_listen": job.gossip_addresses[number], "peers": list(job.gossip_addresses)}
        return configuration | own

    def _make_gossip_socket(self, config: Config, operators: Path) -> CountingGossipSocket:
        table = read_operators(operators).fleet
        gossip = agent_settings(table, config) if table is not None else None
        if gossip is None:
            raise ConfigError(f"{operators}: contains no gossip settings")
        own_settings, peers, bind = gossip
        clock = self.host.clock.now
        agent = Agent(own_settings, clock(), time.time(), config.seed)
        gossip_socket = CountingGossipSocket(agent, bind, peers, clock, self.host.post)
        gossip_socket.counts = self.counts
        self.host.set_observer(agent)
        return gossip_socket

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    async def start(self, restarted: bool) -> None:
        """Start with the initial list.

        A `restarted` member shares its gossip address, because its earlier socket may still be open.
        """
        self.host.submit_list(api.ListKind.SAVED, self.config.known)
        if not self.config.settings.subscribe:
            self.discovery.subscribe()
        if self.gossip_socket is not None:
            await self.gossip_socket.start(shared=restarted)

    def _apply_list(self, update: ListUpdate) -> None:
        """Apply a list update, and record the server states that the decision module now has."""
        before = dict(self.host.members)
        self.host.apply_list(update)
        now, after = time.monotonic(), self.host.members
        for name, current in after.items():
            previous = before.get(name)
            if previous is None or previous.entry != current.entry:
                status = "in_service" if current.entry.ready else "terminating"
                self._record_in_force(now, current, status)
        for name, previous in before.items():
            if name not in after:
                self._record_in_force(now, previous, TERMINATED)

    def _record_in_force(self, now: float, listed: Listed, status: str) -> None:
        since_ms = round(listed.entry.listed_start * 1000)
        record = InForceRecord(now, self.place.number, listed.entry.server, status, since_ms)
        self.counts.in_force.append(record)

    def sent_totals(self) -> tuple[int, int]:
        """Return the number of datagrams sent and their bytes."""
        gossip = self.gossip_socket.agent.gossip if self.gossip_socket is not None else None
        return (0, 0) if gossip is None else (gossip.datagrams_sent, gossip.bytes_sent)

    def close(self) -> None:
        """Stop the member: its timers and connections end."""
        self.discovery.close()
        if self.gossip_socket is not None:
            self.gossip_socket.close()
        if self.host.timers.loop_timer is not None:
            self.host.timers.loop_timer.cancel()


class HollowProcess:
    """All members of one process."""

    def __init__(self, job: HollowJob, connection: Any) -> None:
        self.job = job
        self.connection = connection
        self.counts = Counts()
        self.resident_before = process_usage(os.getpid())[0]
        self.members = {p.number: HollowMember(p, job, self.counts) for p in job.members}
        self.former_sent = [0, 0]  # datagrams and bytes sent by members until their restart
        self.cpu_before = 0.0
        self.sent_before = (0, 0)  # datagrams and bytes sent before the run began
        self.starting: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Start all members, run until the parent ends the run, and close them."""
        for member in self.members.values():
            await member.start(restarted=False)
        self.connection.send(("ready", self.member_memory()))
        await wait_for_end(self.connection, self._begin_measuring)
        self._report()
        self.connection.send(("ended", self.member_memory()))
        for member in self.members.values():
            member.close()

    def member_memory(self) -> float:
        """Return the resident MB per member, without what the process had before it created any."""
        return (process_usage(os.getpid())[0] - self.resident_before) / len(self.members)

    def _begin_measuring(self) -> None:
        # the cost of starting the members is excluded
        self.cpu_before, self.sent_before = time.process_time(), self._total_sent()
        self.counts.datagrams_in = self.counts.datagram_bytes_in = 0
        self.counts.in_force.clear()
        for at, numbers in self.job.restarts:
            self.loop.call_later(at, self._restart_members, numbers)
        self.loop.call_later(REPORT_INTERVAL, self._report_periodically)

    def _restart_members(self, numbers: frozenset[int]) -> None:
        for number in numbers & self.members.keys():
            former = self.members[number]
            former.close()
            for i, count in enumerate(former.sent_totals()):
                self.former_sent[i] += count
            member = self.members[number] = HollowMember(former.place, self.job, self.counts)
            task = self.loop.create_task(member.start(restarted=True))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)

    def _total_sent(self) -> tuple[int, int]:
        totals = [member.sent_totals() for member in self.members.values()]
        return self.former_sent[0] + sum(e[0] for e in totals), self.former_sent[1] + sum(
            e[1] for e in totals
        )

    def _report_periodically(self) -> None:
        self._report()
        self.loop.call_later(REPORT_INTERVAL, self._report_periodically)

    def _report(self) -> None:
        counts, sent = self.counts, self._total_sent()
        counts.at, counts.cpu = time.monotonic(), time.process_time() - self.cpu_before
        counts.datagrams_out = sent[0] - self.sent_before[0]
        counts.datagram_bytes_out = sent[1] - self.sent_before[1]
        self.connection.send(("counts", counts))
        counts.in_force.clear()


def run_process(job: HollowJob, connection: Any) -> None:
    """Run one process of hollow members."""
    gc.set_threshold(10_000, 10, 10)  # the same thresholds as in a router (`__main__.py`)
    logging.basicConfig(
        filename=job.log, level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s"
    )

    async def run_members() -> None:
        await HollowProcess(job, connection).run()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_members())
