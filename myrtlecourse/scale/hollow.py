"""Hollow members: routers without their data path, hundreds to a process and its one loop.

Each runs what a router runs, from the platform's configuration to gossip: the decision module in its host,
with timers, discovery's client and the socket to the others. It has no listener, so that no request comes
and nothing is ever sent to a cache server.
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
from myrtlecourse.scale.child import told_to_end
from myrtlecourse.scale.scenario import Place
from myrtlecourse.zones.agent import Agent
from myrtlecourse.zones.setup import agent_settings

TELLS = 1.0  # seconds between two words with counts
GONE = "terminated"


@dataclass(frozen=True)
class Job:
    """One process of them."""

    configuration: dict[str, Any]  # that all share
    heard_at: tuple[str, ...]  # of all members, by their numbers; none: no gossip
    operators: Path | None  # the operators' file
    members: tuple[Place, ...]
    restarts: tuple[tuple[float, frozenset[int]], ...]
    log: Path


@dataclass(frozen=True, slots=True)
class InForce:
    """A member's decisions have taken another state of a server."""

    at: float  # the machine's monotonic clock
    member: int
    server: str
    status: str
    since_ms: int


@dataclass
class Counts:
    """What a process came to since it was told to begin, when it last told."""

    at: float = 0.0
    cpu: float = 0.0  # seconds of processor
    datagrams_in: int = 0
    datagrams_out: int = 0
    datagram_bytes_in: int = 0
    datagram_bytes_out: int = 0
    in_force: list[InForce] = field(default_factory=list)  # since it told before


class CountingSpeaker(GossipSocket):
    """A member's end, with what comes to it counted; what it sends its gossip counts."""

    counts: Counts

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.counts.datagrams_in += 1
        self.counts.datagram_bytes_in += len(data)
        super().datagram_received(data, addr)


class HollowMember:
    """One life of one member."""

    def __init__(self, place: Place, job: Job, counts: Counts) -> None:
        self.place = place
        self.counts = counts
        config = self.config = read_config(orjson.dumps(self._told(job)))
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
        self.host.list_updates.apply = self._take_list
        self.speaker: CountingSpeaker | None = None
        if job.operators is not None:
            self.speaker = self._speaker(config, job.operators)

    def _told(self, job: Job) -> dict[str, Any]:
        """What the platform tells it."""
        told, number = job.configuration, self.place.number
        settings = told["settings"] | {"me": number, "zone": self.place.zone}
        own: dict[str, Any] = {"seed": f"{number:x}", "settings": settings}
        if job.heard_at:
            own |= {"peer_listen": job.heard_at[number], "peers": list(job.heard_at)}
        return told | own

    def _speaker(self, config: Config, operators: Path) -> CountingSpeaker:
        table = read_operators(operators).fleet
        told = agent_settings(table, config) if table is not None else None
        if told is None:
            raise ConfigError(f"{operators}: no gossip in it")
        taken, peers, bind = told
        clock = self.host.clock.now
        agent = Agent(taken, clock(), time.time(), config.seed)
        speaker = CountingSpeaker(agent, bind, peers, clock, self.host.post)
        speaker.counts = self.counts
        self.host.set_observer(agent)
        return speaker

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    async def start(self, again: bool) -> None:
        """Begin with the list first given; `again`: its own former life may still be listening."""
        self.host.submit_list(api.ListKind.SAVED, self.config.known)
        if not self.config.settings.subscribe:
            self.discovery.subscribe()
        if self.speaker is not None:
            await self.speaker.start(shared=again)

    def _take_list(self, news: ListUpdate) -> None:
        """Note what is in force once its decisions have it."""
        before = dict(self.host.members)
        self.host.apply_list(news)
        now, after = time.monotonic(), self.host.members
        for name, new in after.items():
            old = before.get(name)
            if old is None or old.entry != new.entry:
                status = "in_service" if new.entry.ready else "terminating"
                self._in_force(now, new, status)
        for name, old in before.items():
            if name not in after:
                self._in_force(now, old, GONE)

    def _in_force(self, now: float, listed: Listed, status: str) -> None:
        since_ms = round(listed.entry.listed_start * 1000)
        record = InForce(now, self.place.number, listed.entry.server, status, since_ms)
        self.counts.in_force.append(record)

    def sent(self) -> tuple[int, int]:
        """Datagrams and bytes that it has sent."""
        gossip = self.speaker.agent.gossip if self.speaker is not None else None
        return (0, 0) if gossip is None else (gossip.sent, gossip.bytes_sent)

    def close(self) -> None:
        """End it; nothing of it acts any more."""
        self.discovery.close()
        if self.speaker is not None:
            self.speaker.close()
        if self.host.timers.loop_timer is not None:
            self.host.timers.loop_timer.cancel()


class HollowProcess:
    """All members of one process."""

    def __init__(self, job: Job, words: Any) -> None:
        self.job = job
        self.words = words
        self.counts = Counts()
        self.before = process_usage(os.getpid())[0]
        self.members = {p.number: HollowMember(p, job, self.counts) for p in job.members}
        self.former = [0, 0]  # datagrams and bytes that former lives sent
        self.cpu = 0.0
        self.sent = (0, 0)  # before it was told to begin
        self.starting: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def live(self) -> None:
        """From the start to the end of all members."""
        for member in self.members.values():
            await member.start(again=False)
        self.words.send(("ready", self.memory()))
        await told_to_end(self.words, self._begin)
        self._tell()
        self.words.send(("ended", self.memory()))
        for member in self.members.values():
            member.close()

    def memory(self) -> float:
        """Resident MB for each member, beyond what the process had without any."""
        return (process_usage(os.getpid())[0] - self.before) / len(self.members)

    def _begin(self) -> None:
        # what each took to start is no part of what it costs to run
        self.cpu, self.sent = time.process_time(), self._all_sent()
        self.counts.datagrams_in = self.counts.datagram_bytes_in = 0
        self.counts.in_force.clear()
        for at, numbers in self.job.restarts:
            self.loop.call_later(at, self._restart, numbers)
        self.loop.call_later(TELLS, self._tell_again)

    def _restart(self, numbers: frozenset[int]) -> None:
        for number in numbers & self.members.keys():
            former = self.members[number]
            former.close()
            for i, count in enumerate(former.sent()):
                self.former[i] += count
            member = self.members[number] = HollowMember(former.place, self.job, self.counts)
            task = self.loop.create_task(member.start(again=True))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)

    def _all_sent(self) -> tuple[int, int]:
        each = [member.sent() for member in self.members.values()]
        return self.former[0] + sum(e[0] for e in each), self.former[1] + sum(e[1] for e in each)

    def _tell_again(self) -> None:
        self._tell()
        self.loop.call_later(TELLS, self._tell_again)

    def _tell(self) -> None:
        counts, sent = self.counts, self._all_sent()
        counts.at, counts.cpu = time.monotonic(), time.process_time() - self.cpu
        counts.datagrams_out = sent[0] - self.sent[0]
        counts.datagram_bytes_out = sent[1] - self.sent[1]
        self.words.send(("counts", counts))
        counts.in_force.clear()


def work(job: Job, words: Any) -> None:
    """One process of hollow members."""
    gc.set_threshold(10_000, 10, 10)  # as a router has it (`__main__.py`)
    logging.basicConfig(
        filename=job.log, level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s"
    )

    async def live() -> None:
        await HollowProcess(job, words).live()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(live())
