"""Control nodes in virtual time, with a lossy, duplicating and delaying network, disk errors and crashes."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from myrtlecourse.spread import messages as msg
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.messages import Change, Entry, Purge, Settings, Site
from myrtlecourse.spread.replica import Replica
from myrtlecourse.spread.replica_events import LogError, LogState, Record, ReplicaAction, ReplicaEvent


class BrokenError(AssertionError):
    """Raised when a rule is violated; the message says which."""


@dataclass
class ControlNode:
    """One control node: a process, and a disk that outlives it."""

    disk: list[Record] = field(default_factory=list)
    replica: Replica | None = None
    incarnation: int = 0  # grows with each process
    store: events.Store | None = None
    wake: float = 0.0
    wake_ups: int = 0  # timers fired in sequence at `last_wake_up`
    last_wake_up: float = -1.0
    delivered: int = 0  # number of the last entry that this process has delivered
    disk_full: bool = False


def make_entry(number: int) -> Entry:
    """Return an entry that is unique to its number; a third are changes, of few subjects."""
    if number % 3:
        return Purge(number.to_bytes(8, "big"))
    return Change((number % 10).to_bytes(8, "big"), str(number).encode() * 3)


def make_settings(name: str, names: tuple[str, ...], **changes: float) -> Settings:
    return Settings(name, names, (Site("s", "r", ("router",)),), **changes)  # type: ignore[arg-type]


class World:
    """A few control nodes and the network between them."""

    def __init__(
        self, count: int, seed: int, *, tail: int = 400_000, kind: type[Replica] = Replica, calm: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.names = tuple("abcde"[:count])
        self.tail, self.replica_class = tail, kind
        self.machines = {name: ControlNode() for name in self.names}
        self.now = 0.0
        self.queue: list[tuple[float, int, str, int, ReplicaEvent]] = []
        self.counter = 0
        self.loss = 0.0 if calm else self.random.choice((0.0, 0.05, 0.3))
        self.max_delay = 0.002 if calm else self.random.choice((0.002, 0.05, 0.5))
        self.duplicates = 0.0 if calm else self.random.choice((0.0, 0.1))
        self.isolated: set[str] = set()
        self.token = 0
        self.entries: dict[int, Entry] = {}  # by ticket
        self.refused: dict[int, events.Refuse] = {}
        self.acknowledged: dict[int, int] = {}  # by number: the ticket
        self.committed: dict[int, Entry] = {}
        self.changes: dict[int, Change] = {}
        self.messages_sent = 0
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        node, saved = self.machines[name], LogState()
        for record in node.disk:
            saved.apply(record)
        node.replica = self.replica_class(
            make_settings(name, self.names, control_tail=self.tail), saved, self.now
        )
        node.incarnation += 1
        node.delivered, node.store = 0, None
        self.post(name, msg.TimerFired())

    def crash(self, name: str) -> None:
        """End a process. Any prefix of the records being written may be on the disk."""
        node = self.machines[name]
        if node.store is not None:
            node.disk += node.store.records[: self.random.randint(0, len(node.store.records))]
        node.replica, node.store = None, None
        node.incarnation += 1

    def give_duty(self, name: str) -> None:
        self.token += 1
        self.post(name, events.LeadershipGained(self.token))

    def propose(self, name: str, count: int = 1) -> None:
        for _ in range(count):
            ticket = len(self.entries) + 1
            self.entries[ticket] = make_entry(ticket)
            self.post(name, events.Propose(ticket, self.entries[ticket]))

    # Time

    def schedule(self, after: float, name: str, event: ReplicaEvent) -> None:
        self.counter += 1
        place = self.now + after, self.counter, name, self.machines[name].incarnation, event
        heapq.heappush(self.queue, place)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, life, event = heapq.heappop(self.queue)
            node = self.machines[name]
            if isinstance(event, msg.Received) or life == node.incarnation:
                if isinstance(event, msg.TimerFired):
                    if node.wake > self.now:
                        continue
                    node.wake_ups = node.wake_ups + 1 if node.last_wake_up == self.now else 0
                    node.last_wake_up = self.now
                    if node.wake_ups > 50:
                        raise BrokenError("endless timers")
                self.post(name, event)
        self.now = until

    def post(self, name: str, event: ReplicaEvent) -> None:
        node = self.machines[name]
        if node.replica is None or (isinstance(event, msg.Received) and name in self.isolated):
            return
        if isinstance(event, events.Stored):
            assert node.store is not None and node.store.number == event.number
            if not event.error:
                node.disk += node.store.records
            node.store = None
        actions = node.replica.handle(self.now, event)
        if sum(isinstance(a, msg.SetTimer) for a in actions) != 1 or not isinstance(
            actions[-1], msg.SetTimer
        ):
            raise BrokenError("each list of actions must end with its only SetTimer")
        for action in actions:
            self.carry_out(name, node, action)

    def carry_out(self, name: str, node: ControlNode, action: ReplicaAction) -> None:
        match action:
            case msg.Send(to, messages):
                self.messages_sent += 1
                if name not in self.isolated:
                    for _ in range(1 + (self.random.random() < self.duplicates)):
                        if self.random.random() >= self.loss:
                            self.schedule(
                                self.random.uniform(0, self.max_delay), to, msg.Received(name, messages)
                            )
            case events.Store(number, _):
                if node.store is not None:
                    raise BrokenError("two stores at the same time")
                node.store = action
                why = "no room" if node.disk_full else ""
                self.schedule(self.random.uniform(0, 0.03), name, events.Stored(number, why))
            case events.Acknowledge() | events.Refuse():
                self.answered(action)
            case msg.Committed() | msg.AssumePurged() | msg.Restore():
                self.on_delivered(node, action)
            case msg.SetTimer(when):
                if when < self.now:
                    raise BrokenError("timer in the past")
                node.wake = when
                if when < float("inf"):
                    self.schedule(when - self.now, name, msg.TimerFired())

    def answered(self, action: events.Acknowledge | events.Refuse) -> None:
        match action:
            case events.Acknowledge(ticket, number):
                if number in self.acknowledged or ticket in self.refused:
                    raise BrokenError("answered twice")
                self.acknowledged[number] = ticket
            case events.Refuse(ticket):
                if ticket in self.refused or ticket in self.acknowledged.values():
                    raise BrokenError("answered twice")
                self.refused[ticket] = action

    def on_delivered(self, node: ControlNode, action: msg.Committed | msg.AssumePurged | msg.Restore) -> None:
        match action:
            case msg.Committed(_, first, entries):
                if first != node.delivered + 1 or not entries:
                    raise BrokenError(f"committed from {first} after {node.delivered}")
                node.delivered += len(entries)
                self.check_committed(first, entries)
            case msg.AssumePurged(first, last):
                if first != node.delivered + 1 or last < first:
                    raise BrokenError(f"assumes purged from {first} after {node.delivered}")
                node.delivered = last
            case msg.Restore(number, change):
                if self.committed.setdefault(number, change) != change:
                    raise BrokenError(f"two changes with number {number}")

    def check_committed(self, first: int, entries: tuple[Entry, ...]) -> None:
        for number, found in enumerate(entries, first):
            if self.committed.setdefault(number, found) != found:
                raise BrokenError(f"two entries committed as {number}")
            ticket = self.acknowledged.get(number)
            if ticket is not None and self.entries[ticket] != found:
                raise BrokenError(f"{number} was acknowledged as a different entry")

    # Checks

    def recover(self) -> str:
        """End all faults, give the duty to one node and return its name."""
        self.loss = self.duplicates = 0.0
        self.max_delay = 0.01
        self.isolated.clear()
        for name, node in self.machines.items():
            node.disk_full = False
            if node.replica is None:
                self.start(name)
        holder = self.random.choice(self.names)
        for name in self.names:
            if name != holder:
                self.post(name, events.LeadershipLost())
        self.give_duty(holder)
        return holder

    def check_complete(self, holder: str) -> None:
        """Check that all nodes have the same log, with every acknowledged entry."""
        replica = self.machines[holder].replica
        assert replica is not None
        if replica.leader is None or not replica.leader.is_open:
            raise BrokenError("there is no leader")
        for name, node in self.machines.items():
            if node.delivered != replica.state.last or node.delivered < max(self.acknowledged, default=0):
                raise BrokenError(f"{name} has delivered {node.delivered} of {replica.state.last}")
        for number, ticket in self.acknowledged.items():
            if number in self.committed and self.committed[number] != self.entries[ticket]:
                raise BrokenError(f"{number} was acknowledged as a different entry")
            if number not in self.committed:
                raise BrokenError(f"{number} was acknowledged and is lost")
        latest: dict[bytes, int] = {}
        for number, found in self.committed.items():
            if isinstance(found, Change) and number <= replica.state.base:
                latest[found.subject] = max(number, latest.get(found.subject, 0))
        if latest != {subject: number for subject, (number, _) in replica.state.table.items()}:
            raise BrokenError("the table differs")
        for ticket, answer in self.refused.items():
            if not answer.may_commit and self.entries[ticket] in self.committed.values():
                raise BrokenError(f"{ticket} was refused and is committed")


def inject_faults(world: World, seconds: float, burst: int = 5) -> None:
    """Inject faults of all kinds."""
    chance, until = world.random, world.now + seconds
    world.give_duty(chance.choice(world.names))
    while world.now < until:
        world.run(chance.choice((0.005, 0.05, 0.3, 1.0)))
        name = chance.choice(world.names)
        node = world.machines[name]
        match chance.randrange(11):
            case 0:
                world.give_duty(name)  # the previous holder may not know
            case 1:
                world.post(name, events.LeadershipLost())
            case 2 if node.replica is not None:
                world.crash(name)
            case 3 | 4 if node.replica is None:
                world.start(name)
            case 5:
                world.isolated ^= {name}
            case 6:
                node.disk_full = not node.disk_full
            case _:
                holders = [
                    n
                    for n, node_ in world.machines.items()
                    if node_.replica is not None and node_.replica.leader is not None
                ]
                for holder in holders:
                    world.propose(holder, chance.randint(1, burst))


def played(world: World, seconds: float = 20.0, burst: int = 5) -> str:
    """Return the rule that was violated, or an empty string."""
    try:
        inject_faults(world, seconds, burst)
        holder = world.recover()
        world.run(15.0)
        world.check_complete(holder)
    except (BrokenError, LogError) as e:
        return str(e) or "broken"
    return ""
