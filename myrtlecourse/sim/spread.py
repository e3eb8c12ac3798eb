"""Simulation of spread in virtual time: control nodes and the members of many sites, checked by a judge.

The members run the program's own cores. Datagrams are not sealed, but counted with the size that they have
in `peers/wire.py`; one that was sealed for an earlier process is answered with a greeting, as there. The
simulation appoints the holder of the duty; elections are simulated in `sim/duties.py`.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE
from myrtlecourse.peers.wire import HELLO, VERSION
from myrtlecourse.sim.core import MICROSECONDS, START_TIME, Core
from myrtlecourse.sim.process import SimulatedProcess
from myrtlecourse.sim.spread_judge import Judge, RuleViolation
from myrtlecourse.sim.topology import Network, Place
from myrtlecourse.spread import messages
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

GREETING_BYTES = len(msgspec.msgpack.encode([VERSION, "", 2**61, 2**61, 2**20, [HELLO]]))
RECEIVE_BUFFER = 800  # datagrams that a stopped process's socket keeps
# seconds of one iteration of a process's event loop: a timer that is already due fires this much later, so
# that other processes run in between
LOOP_TURN = 50e-6
CODEC = SpreadCodec()


@dataclass(slots=True, frozen=True)
class ReplicaInput:
    """An event for a control node's replica of the log, not for its node of the tree."""

    event: ReplicaEvent


MemberEvent = messages.Event | ReplicaInput


class Alarm:
    """A timer on a process's own clock.

    Postponing it schedules no new event: the earlier event finds that it is not yet due and sets it again.
    """

    __slots__ = ("at", "callback", "process", "scheduled_at")

    def __init__(self, process: Member, callback: Callable[[], None]) -> None:
        self.process = process
        self.callback = callback
        self.at = self.scheduled_at = float("inf")

    def set(self, at: float) -> None:
        """Set the time of the call, in place of an earlier one; infinity clears it."""
        self.at = at
        if at < self.scheduled_at:
            self.scheduled_at = at
            process = self.process
            process.core.call_after(max(LOOP_TURN, (at - process.clock()) / process.rate), self._fire, at)

    def _fire(self, scheduled_at: float) -> None:
        if scheduled_at != self.scheduled_at:
            return  # an earlier event has been scheduled since
        self.scheduled_at = float("inf")
        if self.at > self.process.clock() + 1e-6:
            self.set(self.at)
        else:
            self.at = float("inf")
            self.callback()


class Member(SimulatedProcess[MemberEvent]):
    """The process of a router or of a cache server's part, which may be killed, stopped and restarted."""

    def __init__(
        self, simulation: SpreadSimulation, index: int, name: str, place: Place, rate: float
    ) -> None:
        super().__init__(simulation.core, simulation.rng, name, rate)
        self.simulation = simulation
        self.index = index
        self.place = place
        self.node: Node | None = None
        # index of a member -> number of the start (`boots`) for which this member seals datagrams
        self.known_boots: dict[int, int] = {}
        # size of a datagram without messages
        self.header_bytes = SEAL_SIZE + GREETING_BYTES - len(HELLO) - 1 + len(name)
        self.alarm = Alarm(self, lambda: self.post(messages.TimerFired()))

    def start(self) -> None:
        """Start a new process."""
        if self.node is not None:
            return
        self.boots += 1
        self.known_boots.clear()
        self.simulation.judge.on_start(self.index)
        settings = self.simulation.settings(self.name, self.place)
        self.node = self.simulation.make_node(settings, self.clock(), self.simulation.rng.getrandbits(32))
        self.post(messages.TimerFired())

    def kill(self) -> None:
        """Kill the process; no other member is notified."""
        self.node = None
        self.alarm.set(float("inf"))
        self.discard_pending()

    def resume(self) -> None:
        """Resume the process with those datagrams that its socket has kept in the meantime."""
        received = [i for i, event in enumerate(self.deferred) if isinstance(event, messages.Received)]
        lost = set(received[RECEIVE_BUFFER:])
        self.deferred = [event for i, event in enumerate(self.deferred) if i not in lost]
        super().resume()

    def post(self, event: MemberEvent) -> None:
        """Pass an event to the process, later if it is stopped. Raises RuleViolation."""
        if self.node is not None and self.stopped:
            self.deferred.append(event)
        elif self.node is not None:
            self.handle(event)

    def handle(self, event: MemberEvent) -> None:
        """Pass an event to the node and carries out its actions. Raises RuleViolation."""
        assert self.node is not None and not isinstance(event, ReplicaInput)
        simulation, judge = self.simulation, self.simulation.judge
        for action in self.node.handle(self.clock(), event):
            match action:
                case messages.Send(to, outgoing):
                    simulation.send(self, to, outgoing)
                case messages.SetTimer(at):
                    self.alarm.set(at)
                case messages.Apply(first, entries):
                    judge.on_applied(self.index, first, entries, simulation.time)
                case messages.Watermark(number, _, _):
                    simulation.on_watermark(number)
                case messages.AssumePurged(first, last):
                    judge.on_assumed_purged(self.index, first, last)
                case messages.Restore(number, change):
                    judge.on_restored(self.index, number, change)
                case messages.LeaseChanged(valid):
                    if valid and not self.has_lease():
                        raise RuleViolation(f"told_to_vouch: {self.name} has no lease")
        if judge.applied_until[self.index] < judge.watermark and self.has_lease():
            raise RuleViolation(
                f"done_ahead: {self.name} has a lease and {judge.applied_until[self.index]} "
                f"of {judge.watermark}"
            )

    def has_lease(self) -> bool:
        """Return whether the member has a lease now, and so acts as if it were up to date."""
        return self.node is not None and self.node.has_lease(self.clock())


class Control(Member):
    """A control node: a node of the tree, a replica of the log, and a disk with slow writes."""

    def __init__(
        self, simulation: SpreadSimulation, index: int, name: str, place: Place, rate: float
    ) -> None:
        super().__init__(simulation, index, name, place, rate)
        self.disk = LogState()  # kept when the process ends
        self.replica: Replica | None = None
        self.replica_alarm = Alarm(self, lambda: self.post(ReplicaInput(messages.TimerFired())))

    def start(self) -> None:
        if self.node is None:
            settings = self.simulation.settings(self.name, self.place)
            # a copy, because the process changes the state that it has read
            self.replica = self.simulation.make_replica(settings, copy.deepcopy(self.disk), self.clock())
        super().start()
        self.post(ReplicaInput(messages.TimerFired()))

    def kill(self) -> None:
        self.replica = None
        self.replica_alarm.set(float("inf"))
        super().kill()

    def handle(self, event: MemberEvent) -> None:
        if isinstance(event, ReplicaInput):
            self._handle_replica(event.event)
        elif isinstance(event, messages.Received):
            for_replica = tuple(w for w in event.messages if isinstance(w, messages.LOG_MESSAGES))
            if len(for_replica) < len(event.messages):
                for_node = tuple(w for w in event.messages if not isinstance(w, messages.LOG_MESSAGES))
                super().handle(messages.Received(event.sender, for_node) if for_replica else event)
            if for_replica:
                self._handle_replica(messages.Received(event.sender, for_replica))
        else:
            super().handle(event)

    def _handle_replica(self, event: ReplicaEvent) -> None:
        assert self.replica is not None
        simulation = self.simulation
        for action in self.replica.handle(self.clock(), event):
            match action:
                case messages.Send(to, outgoing):
                    simulation.send(self, to, outgoing)
                case messages.SetTimer(at):
                    self.replica_alarm.set(at)
                case messages.Committed(_, first, entries):
                    simulation.judge.on_committed(first, entries)
                    super().handle(action)
                case messages.Leadership():
                    super().handle(action)
                case Store():
                    simulation.core.call_after(simulation.draw_disk_time(), self._stored, action, self.boots)
                case Acknowledge(ticket, number):
                    simulation.on_acknowledged(ticket, number)
                case Refuse(ticket):
                    simulation.refused += 1
                    del simulation.pending_proposals[ticket]
                case messages.AssumePurged(first, last):
                    simulation.judge.on_assumed_purged(self.index, first, last)
                case messages.Restore(number, change):
                    simulation.judge.on_restored(self.index, number, change)

    def _stored(self, store: Store, boot: int) -> None:
        if boot == self.boots and self.node is not None:
            for record in store.records:
                self.disk.apply(record)
            self.post(ReplicaInput(Stored(store.number)))


class SpreadSimulation:
    """A fleet in one virtual time, under a load of purges and changes."""

    def __init__(
        self,
        sites: tuple[messages.Site, ...],
        control: int,
        seed: int,
        entries: int,
        make_node: Callable[[messages.Settings, float, int], Node] = Node,
        make_replica: Callable[[messages.Settings, LogState, float], Replica] = Replica,
        **settings_given: Any,
    ) -> None:
        """Create the fleet for up to `entries` entries; `settings_given` are fields of Settings."""
        self.core = Core(seed)
        self.rng = self.core.stream("members")
        self.make_node, self.make_replica, self.settings_given = make_node, make_replica, settings_given
        self.sites = sites
        self.control = tuple(f"control-{i:02d}" for i in range(control))
        self.drift = messages.Settings(self.control[0], self.control, sites, **settings_given).drift
        regions = sorted({s.region for s in sites})
        self.sites_by_region = [tuple(s for s in sites if s.region == r) for r in regions]
        self.network = Network(len(regions), len(sites) + control, self.core.stream("places"))
        self.network.random = self.core.stream("network").random
        self.members: dict[str, Member] = {}
        for i, name in enumerate(self.control):
            # the last region has no control node, so that it can be cut off as a whole without the holder
            self._add(Control, name, Place(i % max(1, len(regions) - 1), len(sites) + i))
        for s, site in enumerate(sites):
            for name in (*site.routers, *site.parts):
                self._add(Member, name, Place(regions.index(site.region), s))
        self.member_list = list(self.members.values())
        self.judge = Judge(len(self.member_list), entries)
        self.bytes = [0] * len(self.member_list)
        self.datagrams = [0] * len(self.member_list)
        # bytes and datagrams that each member had sent by the end of each second
        self.second_totals: list[tuple[Any, Any]] = []
        self.pending_proposals: dict[int, tuple[messages.Entry, float]] = {}
        self.proposal_count = self.refused = 0
        self.token = 0
        self.holder = ""
        self.disk_write_range = (0.001, 0.005)  # range of the seconds that a write takes
        self.core.call_after(1.0, self._record_second)

    def _add(self, kind: type[Member], name: str, place: Place) -> None:
        rate = 1 + self.rng.uniform(-self.drift, self.drift)
        self.members[name] = kind(self, len(self.members), name, place, rate)

    def settings(self, name: str, place: Place) -> messages.Settings:
        """Return the settings of a member."""
        sites = self.sites if name in self.control else self.sites_by_region[place.region]
        return messages.Settings(name, self.control, sites, **self.settings_given)

    @property
    def time(self) -> float:
        """Seconds since the start of the simulation."""
        return (self.core.time - START_TIME) / MICROSECONDS

    def draw_disk_time(self) -> float:
        """Return the seconds that the next write takes."""
        return self.rng.uniform(*self.disk_write_range)

    def _record_second(self) -> None:
        self.core.call_after(1.0, self._record_second)
        self.second_totals.append((np.array(self.bytes), np.array(self.datagrams)))

    def send(self, sender: Member, to: str, outgoing: tuple[messages.Message, ...]) -> None:
        """Send a datagram. Raises RuleViolation if it is too long."""
        length = sender.header_bytes + CODEC.size(outgoing)
        if length > MAX_DATAGRAM:
            raise RuleViolation(f"too_long: {length} bytes from {sender.name}")
        receiver = self.members[to]
        self._count(sender, length)
        known_boot, received = (
            sender.known_boots.get(receiver.index, 0),
            messages.Received(sender.name, outgoing),
        )
        for delay in self.network.draw_delays(sender.place, receiver.place):
            self.core.call_after(delay, self._arrive, receiver, sender, sender.boots, known_boot, received)

    def _count(self, sender: Member, length: int) -> None:
        self.bytes[sender.index] += length
        self.datagrams[sender.index] += 1

    def _arrive(
        self, receiver: Member, sender: Member, boot: int, known_boot: int, received: messages.Received
    ) -> None:
        if receiver.node is None:
            return
        if known_boot != receiver.boots:
            # A datagram that was sealed for no process or an earlier one is not opened; a greeting names the
            # current process.
            self._count(receiver, receiver.header_bytes + len(HELLO) + 1)
            for delay in self.network.draw_delays(receiver.place, sender.place):
                self.core.call_after(delay, self._on_greeting, sender, boot, receiver.index, receiver.boots)
        elif boot >= receiver.known_boots.get(sender.index, 0):
            receiver.known_boots[sender.index] = boot
            receiver.post(received)

    @staticmethod
    def _on_greeting(receiver: Member, boot: int, index: int, known_boot: int) -> None:
        if boot == receiver.boots:
            receiver.known_boots[index] = max(known_boot, receiver.known_boots.get(index, 0))

    # The duty, and proposals to its holder

    def release_holder(self) -> None:
        """Notify the holder that it has lost the duty."""
        if self.holder:
            self.members[self.holder].post(ReplicaInput(LeadershipLost()))
        self.holder = ""

    def set_holder(self, name: str) -> None:
        """Give the duty to a control node and notifies the previous holder."""
        self.release_holder()
        self.token += 1
        self.holder = name
        self.members[name].post(ReplicaInput(LeadershipGained(self.token)))

    def propose(self, entry: messages.Entry) -> None:
        """Propose an entry to the holder."""
        holder = self.members.get(self.holder)
        if holder is None or holder.node is None or holder.stopped:
            self.refused += 1
            return
        self.proposal_count += 1
        self.pending_proposals[self.proposal_count] = entry, self.time
        holder.post(ReplicaInput(Propose(self.proposal_count, entry)))

    def on_acknowledged(self, ticket: int, number: int) -> None:
        """Handle the holder's acknowledgement that an entry is durable."""
        entry, at = self.pending_proposals.pop(ticket)
        self.judge.on_acknowledged(number, entry, at, self.time)

    def schedule_load(self, purges: float, changes: float, seconds: float, subjects: int = 50) -> None:
        """Schedule proposals at random times, at rates per second."""
        rng = self.core.stream("load")
        for rate, kind in ((purges, messages.Purge), (changes, messages.Change)):
            at = rng.expovariate(rate) if rate else seconds
            while at < seconds:
                if kind is messages.Purge:
                    entry: messages.Entry = messages.Purge(rng.randbytes(messages.KEY_BYTES))
                else:
                    subject = rng.randrange(subjects).to_bytes(messages.KEY_BYTES, "big")
                    entry = messages.Change(subject, rng.randbytes(rng.randint(20, messages.MAX_VALUE_BYTES)))
                self.core.call_after(at, self.propose, entry)
                at += rng.expovariate(rate)

    def on_watermark(self, number: int) -> None:
        """Handle the root's report that all entries up to a number are applied everywhere.

        Raises RuleViolation if a member with a lease lacks one of them.
        """
        for index in self.judge.on_watermark(number, self.time):
            if self.member_list[index].has_lease():
                applied = self.judge.applied_until[index]
                raise RuleViolation(
                    f"done_ahead: {number}, and {self.member_list[index].name} has a lease and {applied}"
                )

    # Running and checking

    def start(self, within: float = 0.0) -> None:
        """Start all members at random times within some seconds; the first control node gets the duty."""
        for member in self.member_list:
            self.core.call_after(self.rng.uniform(0.0, within), member.start)
        self.core.call_after(within, self.set_holder, self.control[0])

    def run(self, seconds: float) -> None:
        """Advance the time."""
        self.core.run(self.core.now + seconds)

    def lease_count(self) -> int:
        """Return the number of members that have a lease now."""
        return sum(m.has_lease() for m in self.member_list)

    def run_until_consistent(self, within: float) -> float | None:
        """Run until all running members have a lease and all entries.

        Return the seconds that this took, or None if it takes longer than `within`.
        """
        started_at, judge = self.core.now, self.judge
        while self.core.now < started_at + within:
            last = len(judge.log) - 1
            if all(
                judge.applied_until[m.index] == last and m.has_lease()
                for m in self.member_list
                if m.node is not None
            ):
                return self.core.now - started_at
            self.run(0.05)
        return None

    def check_consistency(self) -> None:
        """Check that all running members have the same log and changes. Raises RuleViolation."""
        judge = self.judge
        last, table = len(judge.log) - 1, judge.latest_changes()
        for member in (m for m in self.member_list if m.node is not None):
            if judge.applied_until[member.index] != last:
                raise RuleViolation(
                    f"missing: {member.name} has {judge.applied_until[member.index]} of {last}"
                )
            if judge.tables[member.index] != table:
                raise RuleViolation(f"other_table: {member.name}")
        lasting = [n for n in judge.acknowledged_entries if n > last]
        if lasting:
            raise RuleViolation(f"forgotten: {len(lasting)} acknowledged entries are not in the log")
