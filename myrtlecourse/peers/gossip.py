"""Who is there and what they last said, spread by random gossip; datagrams in, datagrams out, no I/O.

Each router makes a new record of itself now and then and tells a few others, drawn by chance; each passes
on what it has heard, the newest and the least told first (rumours of Demers et al., 1987; the piggyback of
SWIM, Das et al., 2002). Who is there follows from whose records still grow (van Renesse et al., 1998):
there are no probes. A router that stood still finds every record old at once, and so suspects itself first
(Lifeguard, Dadgar et al., 2018): it believes nothing until it has heard somebody again.

Calm, a router tells one other a second. When something has changed it tells FANOUT others every PACE
seconds for as long as a rumour takes to reach all, about log(n) rounds, within its budget of bytes.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.peers.records import Record, decode_record, start_number
from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE, Dropped, ReplayWindow, Seal, ident

VERSION = 2
HEADER_SIZE = 34  # bytes of a datagram at most, without its records
FANOUT = 3  # others told at a time when something has changed
TICK_INTERVAL = 0.1  # seconds between two times
EXTRA_ROUNDS = 3  # beyond the logarithm: datagrams get lost
MAX_DELAY = 10.0  # seconds on its way, by the machines' one clock; a copy of an older one is no news
STALL_THRESHOLD = 0.5  # seconds between two ticks: this process stood still
RECORDS_PER_DATAGRAM = 8  # records that a datagram carries when all is calm
SUSPECT_INTERVALS = 4.0  # times the interval in which a record should have come anew
GONE_FACTOR = 3.0  # times that again
MAX_MEMBERS = 1000


class State(Enum):
    """What a member is, as seen from here."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # or never heard


@dataclass(slots=True)
class Member:
    """Another router, or this one."""

    name: str
    record: Record | None = None
    replay_window: ReplayWindow | None = None  # of its datagrams
    start: int = 0  # that the numbers belong to
    times_sent: int = 0  # times that its present record was passed on
    processes_heard: int = 0  # processes of it that were heard


@dataclass(slots=True, frozen=True)
class Datagram:
    """To be sent; it may be lost."""

    to: str
    data: bytes


class Gossip:
    """One router's part."""

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        zone: str,
        key: bytes,
        now: float,
        wall: float,
        seed: int,
        interval: float = 1.0,
        budget: float = 16_384.0,
        accepted_keys: tuple[bytes, ...] = (),
    ) -> None:
        """`wall` is the Unix time; `interval` seconds lie between words when all is calm, `budget` bytes go
        out a second at most. Raises ValueError for a roster or a key that can't be used."""
        self.name = name
        self.members = {i: Member(m) for i, m in self._roster(members).items()}
        self.seal = Seal(name, key, accepted_keys)
        self.own_id = ident(name)
        self.zone = ident(zone, 2)
        self.random = random.Random(seed)
        self.interval = interval
        self.budget = budget
        self.start = start_number(wall)
        self.record_number = 0  # of records
        self.sent = 0  # datagrams, numbered
        self.byte_credit = budget  # bytes that may go out now
        self.last_tick = now
        self.due = now  # at once: what has changed is asked for by being there
        self.new_processes: set[int] = set()  # members whose process is new: they know nothing yet
        self.urgent_until = -math.inf
        self.peers_heard = False  # somebody has been heard since the start, or since this process stood still
        self.stalls = 0
        self.bytes_sent = 0
        self.dropped: Counter[str] = Counter()

    def _roster(self, members: tuple[str, ...]) -> dict[int, str]:
        if self.name not in members or len(set(members)) < len(members) or len(members) > MAX_MEMBERS:
            raise ValueError(f"members: {self.name} must be among them, each once, {MAX_MEMBERS} at most")
        roster = {ident(m): m for m in members}
        if len(roster) < len(members):
            raise ValueError("members: two names look alike in a datagram; rename one")
        return roster

    def reconfigure(
        self,
        members: tuple[str, ...],
        key: bytes,
        accepted_keys: tuple[bytes, ...],
        interval: float,
        budget: float,
    ) -> None:
        """Other members, keys and paces; raises ValueError where they can't be used, and takes none then."""
        roster = self._roster(members)
        self.seal.set_keys(key, accepted_keys)
        self.members = {i: self.members.get(i, Member(name)) for i, name in roster.items()}
        self.interval, self.budget = interval, budget

    @property
    def peers(self) -> list[Member]:
        return [m for i, m in self.members.items() if i != self.own_id]

    def rounds(self) -> int:
        """Times that something new is told before it has come to all, as good as surely."""
        return math.ceil(math.log(max(2, len(self.members)), FANOUT)) + EXTRA_ROUNDS

    def state(self, member: Member, now: float) -> State:
        """Whether a member's record still grows."""
        if member.name == self.name:
            return State.ALIVE
        if member.record is None:
            return State.GONE
        # news of one among many comes by turns: a datagram carries a few records, and one goes out an
        # interval
        turns = max(1.0, math.log2(len(self.members)) / 2, len(self.members) / RECORDS_PER_DATAGRAM)
        pause = SUSPECT_INTERVALS * self.interval * turns
        age = now - member.record.made_at
        if age <= pause:
            return State.ALIVE
        return State.SUSPECTED if age <= pause * (1 + GONE_FACTOR) else State.GONE

    def member_counts(self, now: float) -> Counter[int]:
        """How many members there are, by their zones, those suspected among them; this router is one.

        Guards what needs several witnesses: with the others forgotten too soon, one alone would do.
        """
        found = Counter({self.zone: 1})
        for member in self.peers:
            if member.record is not None and self.state(member, now) is not State.GONE:
                found[member.record.zone] += 1
        return found

    def records(self, now: float) -> list[Record]:
        """What the others that are there have said."""
        return [m.record for m in self.peers if m.record is not None and self.state(m, now) is not State.GONE]

    def spread_urgently(self, now: float) -> None:
        """Something has changed that all should know at once."""
        self.urgent_until = max(self.urgent_until, now + TICK_INTERVAL * self.rounds())
        self.due = min(self.due, now)

    def tick(self, now: float, wall: float, say: Callable[[], tuple[int, ...]]) -> list[Datagram]:
        """What is to be sent now; `say` is asked for what this router's next record says."""
        if now - self.last_tick > STALL_THRESHOLD:
            self.stalls += 1
            self.peers_heard = False
            self.urgent_until = -math.inf
        self.byte_credit = min(self.budget, self.byte_credit + self.budget * (now - self.last_tick))
        self.last_tick = now
        if now < self.due:
            owed = [self.members[m] for m in self.new_processes if m in self.members]
            self.new_processes.clear()
            if owed:
                self._renew_record(now, say())
            return self._make_datagrams(owed, now, wall)
        hot = now < self.urgent_until or not self.record_number
        self.due = now + (TICK_INTERVAL if hot else self.interval * self.random.uniform(0.8, 1.2))
        self._renew_record(now, say())
        others = [m for m in self.peers if self.state(m, now) is State.ALIVE]
        absent = [m for m in self.peers if self.state(m, now) is not State.ALIVE]
        chosen = self.random.sample(others, min(len(others), FANOUT if hot else 1))
        # who is not heard may be back, or cut off one way: it is told now and then all the same
        if absent and (not chosen or self.random.random() < 0.3):
            chosen.append(self.random.choice(absent))
        return self._make_datagrams(chosen, now, wall)

    def _make_datagrams(self, chosen: Iterable[Member], now: float, wall: float) -> list[Datagram]:
        """A datagram for each, as far as the budget goes."""
        out = []
        for member in chosen:
            data = self._pack(member.name, now, wall)
            if len(data) > self.byte_credit:
                break
            self.byte_credit -= len(data)
            self.bytes_sent += len(data)
            out.append(Datagram(member.name, data))
        return out

    def _renew_record(self, now: float, said: tuple[int, ...]) -> None:
        self.record_number += 1
        own = self.members[self.own_id]
        own.record = Record(self.own_id, self.start, self.record_number, self.zone, said, now)
        own.times_sent = 0

    def _pack(self, to: str, now: float, wall: float) -> bytes:
        """A datagram with the own record and as many others as it holds: least told, then newest, first."""
        self.sent += 1
        head = [VERSION, self.own_id, self.start, self.sent, start_number(wall)]
        own, receiver = self.members[self.own_id], ident(to)
        assert own.record is not None
        carried = [own.record.encode(now)]
        room = MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - own.record.max_size
        # an old record of one that may be gone would only make it look alive for longer
        others = [m for m in self.peers if m.record is not None and self.state(m, now) is State.ALIVE]
        others.sort(key=lambda m: (m.times_sent, -(m.record.made_at if m.record else 0.0)))
        for member in others:
            if member.record is None or member.record.owner == receiver:
                continue
            needed = member.record.max_size
            if needed <= room:
                room -= needed
                member.times_sent += 1
                carried.append(member.record.encode(now))
        return self.seal.pack(to, [*head, carried])

    def receive(self, data: bytes, now: float, wall: float) -> list[Record]:
        """Take a datagram; answers with the records in it that were news.

        Raises:
            Dropped: it is cut, forged, foreign, replayed, too late or malformed.
        """
        try:
            return self._receive(data, now, wall)
        except Dropped as e:
            self.dropped[str(e)] += 1
            raise

    def _receive(self, data: bytes, now: float, wall: float) -> list[Record]:
        _, sender, start, number, sent, carried = self.seal.open(data, 6, VERSION)
        if any(type(n) is not int for n in (sender, start, number, sent)) or not isinstance(carried, list):
            raise Dropped("malformed")
        member = self.members.get(sender)
        if member is None or sender == self.own_id:
            raise Dropped("of no member")
        late = max(0.0, (start_number(wall) - sent) / 10)
        if late > MAX_DELAY:
            raise Dropped("too late")
        if start < member.start:
            raise Dropped("of a process that is over")
        if start > member.start or member.replay_window is None:
            member.start, member.replay_window = start, ReplayWindow()
            member.processes_heard += 1
            # guards what is under way: a process that has just begun would act as if nothing were
            self.new_processes.add(sender)
        member.replay_window.accept(number)
        # what lay in a queue while this process stood still is as old as it is
        records = [decode_record(parts, now - late) for parts in carried]
        if not records or records[0].owner != sender:
            raise Dropped("malformed")
        self.peers_heard = True
        return [record for record in records if self._merge(record)]

    def _merge(self, record: Record) -> bool:
        member = self.members.get(record.owner)
        if member is None or record.owner == self.own_id:
            return False
        before = member.record
        member.record = record if before is None else before.merged(record)
        if before is not None and not member.record.is_newer(before):
            return False
        member.times_sent = 0
        return True
