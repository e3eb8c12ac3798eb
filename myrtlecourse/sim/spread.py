"""A spread in virtual time: control machines and the members of many sites, and a judge beside them.

The members are the program's own cores. Datagrams are not sealed, but counted at the size that
`peers/wire.py` gives them, and one that was sealed for a process before is answered with a greeting, as
there. Who holds the duty is said by the world and not elected: `sim/duties.py` plays that.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

from myrtlecourse.peers.seal import LONGEST, SEAL
from myrtlecourse.peers.wire import HELLO, VERSION
from myrtlecourse.sim.core import MICROSECONDS, START_TIME, Core
from myrtlecourse.sim.process import SimulatedProcess
from myrtlecourse.sim.spread_judge import Judge, RuleViolation
from myrtlecourse.sim.topology import Network, Place
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.codec import SpreadCodec
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.replica import Replica
from myrtlecourse.spread.replica_events import (
    Acknowledge,
    LeadershipGained,
    LeadershipLost,
    LogState,
    Propose,
    Refuse,
    ReplicaEvent,
    Store,
    Stored,
)

GREETING = len(msgspec.msgpack.encode([VERSION, "", 2**61, 2**61, 2**20, [HELLO]]))
MOST_WAITING = 800  # datagrams that wait before a process that stands still: a socket's buffer
TURN = 50e-6  # seconds that a turn of a process's loop takes: who asks for the past lets others go on, too
CODEC = SpreadCodec()


@dataclass(slots=True, frozen=True)
class ToHead:
    """An event that is not the node's."""

    event: ReplicaEvent


Told = said.Event | ToHead


class Alarm:
    """One call at a time of a machine's own clock; one that is put off looks again and costs no event."""

    __slots__ = ("at", "call", "due", "machine")

    def __init__(self, machine: Member, call: Callable[[], None]) -> None:
        self.machine = machine
        self.call = call
        self.at = self.due = float("inf")

    def set(self, at: float) -> None:
        """Call then, in place of the time before; at infinity never."""
        self.at = at
        if at < self.due:
            self.due = at
            machine = self.machine
            machine.core.call_after(max(TURN, (at - machine.clock()) / machine.rate), self._ring, at)

    def _ring(self, due: float) -> None:
        if due != self.due:
            return  # an earlier one has been set since
        self.due = float("inf")
        if self.at > self.machine.clock() + 1e-6:
            self.set(self.at)
        else:
            self.at = float("inf")
            self.call()


class Member(SimulatedProcess[Told]):
    """A process that may die, stand still and start again: a router, a cache server's part."""

    def __init__(self, world: SpreadSimulation, index: int, name: str, place: Place, rate: float) -> None:
        super().__init__(world.core, world.chance, name, rate)
        self.world = world
        self.index = index
        self.place = place
        self.node: Node | None = None
        self.met: dict[int, int] = {}  # the process of another that this one knows, by its index
        self.head = SEAL + GREETING - len(HELLO) - 1 + len(name)  # bytes of a datagram but its words
        self.alarm = Alarm(self, lambda: self.post(said.TimerFired()))

    def start(self) -> None:
        """A new process."""
        if self.node is not None:
            return
        self.boots += 1
        self.met.clear()
        self.world.judge.on_start(self.index)
        settings = self.world.settings(self.name, self.place)
        self.node = self.world.make_node(settings, self.clock(), self.world.chance.getrandbits(32))
        self.post(said.TimerFired())

    def kill(self) -> None:
        """The process dies; nothing of it is said to anyone."""
        self.node = None
        self.alarm.set(float("inf"))
        self.discard_pending()

    def resume(self) -> None:
        """It goes on where it stood, with what a socket keeps of what came meanwhile."""
        heard = [i for i, event in enumerate(self.deferred) if isinstance(event, said.Received)]
        lost = set(heard[MOST_WAITING:])
        self.deferred = [event for i, event in enumerate(self.deferred) if i not in lost]
        super().resume()

    def post(self, event: Told) -> None:
        """Let it hear of something, unless it is dead, or stands still. Raises Broken."""
        if self.node is not None and self.stopped:
            self.deferred.append(event)
        elif self.node is not None:
            self.take(event)

    def take(self, event: Told) -> None:
        """Let its node hear of something, and carry out what it answers."""
        assert self.node is not None and not isinstance(event, ToHead)
        world, judge = self.world, self.world.judge
        for action in self.node.handle(self.clock(), event):
            match action:
                case said.Send(to, words):
                    world.send(self, to, words)
                case said.SetTimer(at):
                    self.alarm.set(at)
                case said.Apply(first, entries):
                    judge.on_applied(self.index, first, entries, world.time)
                case said.Watermark(number, _, _):
                    world.on_watermark(number)
                case said.AssumePurged(first, last):
                    judge.on_assumed_purged(self.index, first, last)
                case said.Restore(number, change):
                    judge.on_restored(self.index, number, change)
                case said.LeaseChanged(may):
                    if may and not self.has_lease():
                        raise RuleViolation(f"told_to_vouch: {self.name} may not")
        if judge.applied_until[self.index] < judge.watermark and self.has_lease():
            raise RuleViolation(
                f"done_ahead: {self.name} has a lease and {judge.applied_until[self.index]} "
                f"of {judge.watermark} entries"
            )

    def has_lease(self) -> bool:
        """Whether it would act as if up to date at this moment of true time."""
        return self.node is not None and self.node.has_lease(self.clock())


class Control(Member):
    """A control machine: a node, a head, and a disk that takes its time and outlives both."""

    def __init__(self, world: SpreadSimulation, index: int, name: str, place: Place, rate: float) -> None:
        super().__init__(world, index, name, place, rate)
        self.disk = LogState()  # outlives the process
        self.log_head: Replica | None = None
        self.head_alarm = Alarm(self, lambda: self.post(ToHead(said.TimerFired())))

    def start(self) -> None:
        if self.node is None:
            settings = self.world.settings(self.name, self.place)
            # the process changes what it has read; the disk stays as it is
            self.log_head = self.world.make_replica(settings, copy.deepcopy(self.disk), self.clock())
        super().start()
        self.post(ToHead(said.TimerFired()))

    def kill(self) -> None:
        self.log_head = None
        self.head_alarm.set(float("inf"))
        super().kill()

    def take(self, event: Told) -> None:
        if isinstance(event, ToHead):
            self._head(event.event)
        elif isinstance(event, said.Received):
            heads = tuple(w for w in event.messages if isinstance(w, said.LOG_MESSAGES))
            if len(heads) < len(event.messages):
                words = tuple(w for w in event.messages if not isinstance(w, said.LOG_MESSAGES))
                super().take(said.Received(event.sender, words) if heads else event)
            if heads:
                self._head(said.Received(event.sender, heads))
        else:
            super().take(event)

    def _head(self, event: ReplicaEvent) -> None:
        assert self.log_head is not None
        world = self.world
        for action in self.log_head.handle(self.clock(), event):
            match action:
                case said.Send(to, words):
                    world.send(self, to, words)
                case said.SetTimer(at):
                    self.head_alarm.set(at)
                case said.Committed(_, first, entries):
                    world.judge.on_committed(first, entries)
                    super().take(action)
                case said.Leadership():
                    super().take(action)
                case Store():
                    world.core.call_after(world.disk_time(), self._stored, action, self.boots)
                case Acknowledge(ticket, number):
                    world.acknowledge(ticket, number)
                case Refuse(ticket):
                    world.refused += 1
                    del world.tickets[ticket]
                case said.AssumePurged(first, last):
                    world.judge.on_assumed_purged(self.index, first, last)
                case said.Restore(number, change):
                    world.judge.on_restored(self.index, number, change)

    def _stored(self, store: Store, boot: int) -> None:
        if boot == self.boots and self.node is not None:
            for record in store.records:
                self.disk.apply(record)
            self.post(ToHead(Stored(store.number)))


class SpreadSimulation:
    """A fleet on one clock, under a load of purges and changes."""

    def __init__(
        self,
        sites: tuple[said.Site, ...],
        control: int,
        seed: int,
        entries: int,
        make_node: Callable[[said.Settings, float, int], Node] = Node,
        make_replica: Callable[[said.Settings, LogState, float], Replica] = Replica,
        **figures: Any,
    ) -> None:
        """`entries`: the most that will be proposed; `figures`: of Settings."""
        self.core = Core(seed)
        self.chance = self.core.stream("members")
        self.make_node, self.make_replica, self.figures = make_node, make_replica, figures
        self.sites = sites
        self.control = tuple(f"control-{i:02d}" for i in range(control))
        self.drift = said.Settings(self.control[0], self.control, sites, **figures).drift
        regions = sorted({s.region for s in sites})
        self.sites_by_region = [tuple(s for s in sites if s.region == r) for r in regions]
        self.network = Network(len(regions), len(sites) + control, self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.members: dict[str, Member] = {}
        for i, name in enumerate(self.control):
            # none in the last region: one that can be cut off whole without the holder
            self._add(Control, name, Place(i % max(1, len(regions) - 1), len(sites) + i))
        for s, site in enumerate(sites):
            for name in (*site.routers, *site.parts):
                self._add(Member, name, Place(regions.index(site.region), s))
        self.member_list = list(self.members.values())
        self.judge = Judge(len(self.member_list), entries)
        self.bytes = [0] * len(self.member_list)
        self.datagrams = [0] * len(self.member_list)
        self.second_totals: list[
            tuple[Any, Any]
        ] = []  # bytes and datagrams of each member by the end of each second
        self.tickets: dict[int, tuple[said.Entry, float]] = {}
        self.proposals = self.refused = 0
        self.token = 0
        self.holder = ""
        self.disk_pause = (0.001, 0.005)  # seconds that writing takes
        self.core.call_after(1.0, self._second)

    def _add(self, kind: type[Member], name: str, place: Place) -> None:
        rate = 1 + self.chance.uniform(-self.drift, self.drift)
        self.members[name] = kind(self, len(self.members), name, place, rate)

    def settings(self, name: str, place: Place) -> said.Settings:
        """What a member is installed with."""
        sites = self.sites if name in self.control else self.sites_by_region[place.region]
        return said.Settings(name, self.control, sites, **self.figures)

    @property
    def time(self) -> float:
        """Seconds since the start of the world."""
        return (self.core.time - START_TIME) / MICROSECONDS

    def disk_time(self) -> float:
        """Seconds that writing takes this time."""
        return self.chance.uniform(*self.disk_pause)

    def _second(self) -> None:
        self.core.call_after(1.0, self._second)
        self.second_totals.append((np.array(self.bytes), np.array(self.datagrams)))

    def send(self, sender: Member, to: str, words: tuple[said.Message, ...]) -> None:
        """A datagram on its way. Raises Broken."""
        length = sender.head + CODEC.size(words)
        if length > LONGEST:
            raise RuleViolation(f"too_long: {length} bytes from {sender.name}")
        there = self.members[to]
        self._count(sender, length)
        known, heard = sender.met.get(there.index, 0), said.Received(sender.name, words)
        for pause in self.network.draw_delays(sender.place, there.place):
            self.core.call_after(pause, self._arrive, there, sender, sender.boots, known, heard)

    def _count(self, sender: Member, length: int) -> None:
        self.bytes[sender.index] += length
        self.datagrams[sender.index] += 1

    def _arrive(self, there: Member, sender: Member, boot: int, known: int, heard: said.Received) -> None:
        if there.node is None:
            return
        if known != there.boots:
            # sealed for no process or another: it is not opened, and the sender is told the right one
            self._count(there, there.head + len(HELLO) + 1)
            for pause in self.network.draw_delays(there.place, sender.place):
                self.core.call_after(pause, self._greeted, sender, boot, there.index, there.boots)
        elif boot >= there.met.get(sender.index, 0):
            there.met[sender.index] = boot
            there.post(heard)

    @staticmethod
    def _greeted(there: Member, boot: int, index: int, known: int) -> None:
        if boot == there.boots:
            there.met[index] = max(known, there.met.get(index, 0))

    # The duty, and what is proposed to its holder

    def release_holder(self) -> None:
        """The holder is told that it holds no more."""
        if self.holder:
            self.members[self.holder].post(ToHead(LeadershipLost()))
        self.holder = ""

    def set_holder(self, name: str) -> None:
        """A control machine holds the duty from now on; whoever held it before is told."""
        self.release_holder()
        self.token += 1
        self.holder = name
        self.members[name].post(ToHead(LeadershipGained(self.token)))

    def propose(self, entry: said.Entry) -> None:
        """Somebody wants this everywhere."""
        there = self.members.get(self.holder)
        if there is None or there.node is None or there.stopped:
            self.refused += 1
            return
        self.proposals += 1
        self.tickets[self.proposals] = entry, self.time
        there.post(ToHead(Propose(self.proposals, entry)))

    def acknowledge(self, ticket: int, number: int) -> None:
        """The holder says that an entry lasts."""
        entry, at = self.tickets.pop(ticket)
        self.judge.on_acknowledged(number, entry, at, self.time)

    def schedule_load(self, purges: float, changes: float, seconds: float, subjects: int = 50) -> None:
        """So many entries a second, at times of chance."""
        chance = self.core.stream("load")
        for rate, kind in ((purges, said.Purge), (changes, said.Change)):
            at = chance.expovariate(rate) if rate else seconds
            while at < seconds:
                if kind is said.Purge:
                    entry: said.Entry = said.Purge(chance.randbytes(said.KEY_BYTES))
                else:
                    subject = chance.randrange(subjects).to_bytes(said.KEY_BYTES, "big")
                    entry = said.Change(subject, chance.randbytes(chance.randint(20, said.MAX_VALUE_BYTES)))
                self.core.call_after(at, self.propose, entry)
                at += chance.expovariate(rate)

    def on_watermark(self, number: int) -> None:
        """The root has said that all is done up to a number. Raises Broken."""
        for index in self.judge.on_watermark(number, self.time):
            if self.member_list[index].has_lease():
                have = self.judge.applied_until[index]
                raise RuleViolation(
                    f"done_ahead: {number}, and {self.member_list[index].name} vouches and has {have}"
                )

    # What is asked of it

    def start(self, within: float = 0.0) -> None:
        """All members, spread over so many seconds; the first control machine holds the duty."""
        for member in self.member_list:
            self.core.call_after(self.chance.uniform(0.0, within), member.start)
        self.core.call_after(within, self.set_holder, self.control[0])

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.core.run(self.core.now + seconds)

    def vouching(self) -> int:
        """Members that vouch at this moment."""
        return sum(m.has_lease() for m in self.member_list)

    def run_until_consistent(self, within: float) -> float | None:
        """Seconds until all that live vouch and have all there is; None if they don't within that time."""
        began, judge = self.core.now, self.judge
        while self.core.now < began + within:
            last = len(judge.log) - 1
            if all(
                judge.applied_until[m.index] == last and m.has_lease()
                for m in self.member_list
                if m.node is not None
            ):
                return self.core.now - began
            self.run(0.05)
        return None

    def check_consistency(self) -> None:
        """All members that live have the same log and the same changes. Raises Broken."""
        judge = self.judge
        last, table = len(judge.log) - 1, judge.table()
        for member in (m for m in self.member_list if m.node is not None):
            if judge.applied_until[member.index] != last:
                raise RuleViolation(
                    f"missing: {member.name} has {judge.applied_until[member.index]} of {last}"
                )
            if judge.tables[member.index] != table:
                raise RuleViolation(f"other_table: {member.name}")
        lasting = [n for n in judge.acknowledged_entries if n > last]
        if lasting:
            raise RuleViolation(f"forgotten: {len(lasting)} acknowledged and not in the log")
