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
class Machine:
    """One control node: a process, and a disk that outlives it."""

    disk: list[Record] = field(default_factory=list)
    head: Replica | None = None
    life: int = 0  # grows with each process
    store: events.Store | None = None
    wake: float = 0.0
    woken: int = 0  # timers fired in sequence at `woken_at`
    woken_at: float = -1.0
    told: int = 0  # number of the last entry that this process has delivered
    full: bool = False


def entry(number: int) -> Entry:
    """Return an entry that is unique to its number; a third are changes, of few subjects."""
    if number % 3:
        return Purge(number.to_bytes(8, "big"))
    return Change((number % 10).to_bytes(8, "big"), str(number).encode() * 3)


def settings(name: str, names: tuple[str, ...], **changes: float) -> Settings:
    return Settings(name, names, (Site("s", "r", ("router",)),), **changes)  # type: ignore[arg-type]


class World:
    """A few control nodes and the network between them."""

    def __init__(
        self, count: int, seed: int, *, tail: int = 400_000, kind: type[Replica] = Replica, calm: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.names = tuple("abcde"[:count])
        self.tail, self.kind = tail, kind
        self.machines = {name: Machine() for name in self.names}
        self.now = 0.0
        self.queue: list[tuple[float, int, str, int, ReplicaEvent]] = []
        self.counter = 0
        self.loss = 0.0 if calm else self.random.choice((0.0, 0.05, 0.3))
        self.late = 0.002 if calm else self.random.choice((0.002, 0.05, 0.5))
        self.copies = 0.0 if calm else self.random.choice((0.0, 0.1))
        self.cut: set[str] = set()
        self.token = 0
        self.entries: dict[int, Entry] = {}  # by ticket
        self.refused: dict[int, events.Refuse] = {}
        self.acknowledged: dict[int, int] = {}  # by number: the ticket
        self.settled: dict[int, Entry] = {}
        self.changes: dict[int, Change] = {}
        self.said = 0
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        machine, saved = self.machines[name], LogState()
        for record in machine.disk:
            saved.apply(record)
        machine.head = self.kind(settings(name, self.names, control_tail=self.tail), saved, self.now)
        machine.life += 1
        machine.told, machine.store = 0, None
        self.post(name, msg.TimerFired())

    def crash(self, name: str) -> None:
        """End a process. Any prefix of the records being written may be on the disk."""
        machine = self.machines[name]
        if machine.store is not None:
            machine.disk += machine.store.records[: self.random.randint(0, len(machine.store.records))]
        machine.head, machine.store = None, None
        machine.life += 1

    def took(self, name: str) -> None:
        self.token += 1
        self.post(name, events.LeadershipGained(self.token))

    def propose(self, name: str, count: int = 1) -> None:
        for _ in range(count):
            ticket = len(self.entries) + 1
            self.entries[ticket] = entry(ticket)
            self.post(name, events.Propose(ticket, self.entries[ticket]))

    # Time

    def put(self, after: float, name: str, event: ReplicaEvent) -> None:
        self.counter += 1
        place = self.now + after, self.counter, name, self.machines[name].life, event
        heapq.heappush(self.queue, place)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, life, event = heapq.heappop(self.queue)
            machine = self.machines[name]
            if isinstance(event, msg.Received) or life == machine.life:
                if isinstance(event, msg.TimerFired):
                    if machine.wake > self.now:
                        continue
                    machine.woken = machine.woken + 1 if machine.woken_at == self.now else 0
                    machine.woken_at = self.now
                    if machine.woken > 50:
                        raise BrokenError("wakes without end")
                self.post(name, event)
        self.now = until

    def post(self, name: str, event: ReplicaEvent) -> None:
        machine = self.machines[name]
        if machine.head is None or (isinstance(event, msg.Received) and name in self.cut):
            return
        if isinstance(event, events.Stored):
            assert machine.store is not None and machine.store.number == event.number
            if not event.error:
                machine.disk += machine.store.records
            machine.store = None
        actions = machine.head.handle(self.now, event)
        if sum(isinstance(a, msg.SetTimer) for a in actions) != 1 or not isinstance(
            actions[-1], msg.SetTimer
        ):
            raise BrokenError("one wake, and last")
        for action in actions:
            self.carry_out(name, machine, action)

    def carry_out(self, name: str, machine: Machine, action: ReplicaAction) -> None:
        match action:
            case msg.Send(to, words):
                self.said += 1
                if name not in self.cut:
                    for _ in range(1 + (self.random.random() < self.copies)):
                        if self.random.random() >= self.loss:
                            self.put(self.random.uniform(0, self.late), to, msg.Received(name, words))
            case events.Store(number, _):
                if machine.store is not None:
                    raise BrokenError("two stores at a time")
                machine.store = action
                why = "no room" if machine.full else ""
                self.put(self.random.uniform(0, 0.03), name, events.Stored(number, why))
            case events.Acknowledge() | events.Refuse():
                self.answered(action)
            case msg.Committed() | msg.AssumePurged() | msg.Restore():
                self.learned(machine, action)
            case msg.SetTimer(when):
                if when < self.now:
                    raise BrokenError("wakes in the past")
                machine.wake = when
                if when < float("inf"):
                    self.put(when - self.now, name, msg.TimerFired())

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

    def learned(self, machine: Machine, action: msg.Committed | msg.AssumePurged | msg.Restore) -> None:
        match action:
            case msg.Committed(_, first, entries):
                if first != machine.told + 1 or not entries:
                    raise BrokenError(f"settled from {first} after {machine.told}")
                machine.told += len(entries)
                self.compare(first, entries)
            case msg.AssumePurged(first, last):
                if first != machine.told + 1 or last < first:
                    raise BrokenError(f"forgets from {first} after {machine.told}")
                machine.told = last
            case msg.Restore(number, change):
                if self.settled.setdefault(number, change) != change:
                    raise BrokenError(f"two changes under {number}")

    def compare(self, first: int, entries: tuple[Entry, ...]) -> None:
        for number, found in enumerate(entries, first):
            if self.settled.setdefault(number, found) != found:
                raise BrokenError(f"two entries settled under {number}")
            ticket = self.acknowledged.get(number)
            if ticket is not None and self.entries[ticket] != found:
                raise BrokenError(f"{number} was acknowledged as another")

    # Checks

    def well(self) -> str:
        """End all faults, give the duty to one node and return its name."""
        self.loss = self.copies = 0.0
        self.late = 0.01
        self.cut.clear()
        for name, machine in self.machines.items():
            machine.full = False
            if machine.head is None:
                self.start(name)
        holder = self.random.choice(self.names)
        for name in self.names:
            if name != holder:
                self.post(name, events.LeadershipLost())
        self.took(holder)
        return holder

    def check_whole(self, holder: str) -> None:
        """Check that all nodes have the same log, with every acknowledged entry."""
        head = self.machines[holder].head
        assert head is not None
        if head.leader is None or not head.leader.is_open:
            raise BrokenError("nobody writes the log")
        for name, machine in self.machines.items():
            if machine.told != head.state.last or machine.told < max(self.acknowledged, default=0):
                raise BrokenError(f"{name} knows of {machine.told} of {head.state.last}")
        for number, ticket in self.acknowledged.items():
            if number in self.settled and self.settled[number] != self.entries[ticket]:
                raise BrokenError(f"{number} was acknowledged as another")
            if number not in self.settled:
                raise BrokenError(f"{number} was acknowledged, and is lost")
        latest: dict[bytes, int] = {}
        for number, found in self.settled.items():
            if isinstance(found, Change) and number <= head.state.base:
                latest[found.subject] = max(number, latest.get(found.subject, 0))
        if latest != {subject: number for subject, (number, _) in head.state.table.items()}:
            raise BrokenError("the table is another")
        for ticket, answer in self.refused.items():
            if not answer.may_commit and self.entries[ticket] in self.settled.values():
                raise BrokenError(f"{ticket} was refused, and lasts")


def schedule(world: World, seconds: float, burst: int = 5) -> None:
    """Inject faults of all kinds."""
    chance, until = world.random, world.now + seconds
    world.took(chance.choice(world.names))
    while world.now < until:
        world.run(chance.choice((0.005, 0.05, 0.3, 1.0)))
        name = chance.choice(world.names)
        machine = world.machines[name]
        match chance.randrange(11):
            case 0:
                world.took(name)  # the previous holder may not know
            case 1:
                world.post(name, events.LeadershipLost())
            case 2 if machine.head is not None:
                world.crash(name)
            case 3 | 4 if machine.head is None:
                world.start(name)
            case 5:
                world.cut ^= {name}
            case 6:
                machine.full = not machine.full
            case _:
                holders = [
                    n for n, m in world.machines.items() if m.head is not None and m.head.leader is not None
                ]
                for holder in holders:
                    world.propose(holder, chance.randint(1, burst))


def played(world: World, seconds: float = 20.0, burst: int = 5) -> str:
    """Return the rule that was violated, or an empty string."""
    try:
        schedule(world, seconds, burst)
        holder = world.well()
        world.run(15.0)
        world.check_whole(holder)
    except (BrokenError, LogError) as e:
        return str(e) or "broken"
    return ""
