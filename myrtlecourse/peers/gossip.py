"""Membership and the latest record of each router, spread by random gossip; no I/O and no clock.

Datagrams go in and come out. Each router makes a new record of itself from time to time and sends it to a few
other routers, chosen at random. Each router passes on the records it has received, those least sent and then
the newest first (rumour spreading of Demers et al., 1987; the piggybacking of SWIM, Das et al., 2002). A
member is alive while its record's number grows (van Renesse et al., 1998); there are no probes. A router that
has stalled finds all records old at once, and so suspects itself first (Lifeguard, Dadgar et al., 2018): it
does not rely on the records until it has heard a peer again.

In the steady state, a router sends to one peer each interval. After a change it sends to FANOUT peers every
TICK_INTERVAL seconds for as long as a rumour takes to reach all, about log(n) rounds, within its byte budget.

`start_number` turns a Unix time into tenths of a second. A datagram holds two such numbers: the start of the
sender's process, which tells its processes apart (an incarnation number), and the time when it was sent.
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
HEADER_SIZE = 34  # bytes; the maximum of a datagram without its records and its seal
FANOUT = 3  # peers that a change is sent to in each round
TICK_INTERVAL = 0.1  # seconds between two calls of `tick`
EXTRA_ROUNDS = 3  # rounds in addition to log(n), as datagrams get lost
MAX_DELAY = 10.0  # seconds in transit, by the wall clocks of both machines; older datagrams are dropped
STALL_THRESHOLD = 0.5  # seconds between two ticks, above which this process is taken to have stalled
RECORDS_PER_DATAGRAM = 8  # in the steady state
SUSPECT_INTERVALS = 4.0  # expected times between new records of a member, after which it is suspected
GONE_FACTOR = 3.0  # further periods of the same length, after which a suspected member is gone
MAX_MEMBERS = 1000


class State(Enum):
    """The state of a member as this router sees it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # or never heard of


@dataclass(slots=True)
class Member:
    """A router of the fleet, this one included."""

    name: str
    record: Record | None = None
    replay_window: ReplayWindow | None = None  # of the numbers of its datagrams
    start: int = 0  # start number of the process that the replay window belongs to
    times_sent: int = 0  # how often its present record was passed on
    processes_heard: int = 0  # number of its processes, one after the other, that were heard


@dataclass(slots=True, frozen=True)
class Datagram:
    """A datagram to send; the network may lose it."""

    to: str
    data: bytes


class Gossip:
    """One router's part in the gossip: makes its datagrams and keeps the records that its peers sent."""

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
        """Start without having heard any peer.

        `wall` is the Unix time in seconds, `interval` the seconds between datagrams in the steady state, and
        `budget` the maximum number of bytes sent a second.

        Raises:
            ValueError: the members or a key can't be used.
        """
        self.name = name
        self.members = {i: Member(m) for i, m in self._roster(members).items()}
        self.seal = Seal(name, key, accepted_keys)
        self.own_id = ident(name)
        self.zone = ident(zone, 2)
        self.random = random.Random(seed)
        self.interval = interval
        self.budget = budget
        self.start = start_number(wall)
        self.record_number = 0
        self.datagrams_sent = 0  # also the number of the last datagram
        self.byte_credit = budget  # bytes that may be sent now
        self.last_tick = now
        self.due = now  # at once, so that peers reply with their records
        # peers that have started or restarted; they have no records yet and are sent some ahead of `due`
        self.new_processes: set[int] = set()
        self.urgent_until = -math.inf
        self.peers_heard = False  # whether a peer was heard since the start or the last stall
        self.stalls = 0
        self.bytes_sent = 0
        self.dropped: Counter[str] = Counter()

    def _roster(self, members: tuple[str, ...]) -> dict[int, str]:
        if self.name not in members or len(set(members)) < len(members) or len(members) > MAX_MEMBERS:
            raise ValueError(f"members: {self.name} must be among them, each once, {MAX_MEMBERS} at most")
        roster = {ident(m): m for m in members}
        if len(roster) < len(members):
            raise ValueError("members: two names have the same identifier in a datagram; rename one")
        return roster

    def reconfigure(
        self,
        members: tuple[str, ...],
        key: bytes,
        accepted_keys: tuple[bytes, ...],
        interval: float,
        budget: float,
    ) -> None:
        """Apply new members, keys, interval and byte budget.

        Raises:
            ValueError: the members or a key can't be used; nothing has changed then.
        """
        roster = self._roster(members)
        self.seal.set_keys(key, accepted_keys)
        self.members = {i: self.members.get(i, Member(name)) for i, name in roster.items()}
        self.interval, self.budget = interval, budget

    @property
    def peers(self) -> list[Member]:
        return [m for i, m in self.members.items() if i != self.own_id]

    def rounds(self) -> int:
        """Return the number of rounds after which a rumour has almost surely reached all members."""
        return math.ceil(math.log(max(2, len(self.members)), FANOUT)) + EXTRA_ROUNDS

    def state(self, member: Member, now: float) -> State:
        """Return a member's state, which follows from the age of its record."""
        if member.name == self.name:
            return State.ALIVE
        if member.record is None:
            return State.GONE
        # In a large fleet, news of one member arrives less often: one datagram with a few records goes out in
        # each interval. The period is multiplied by half the binary logarithm of the number of members or,
        # where it is greater, by the number of such datagrams that hold the records of all; by 1 at least.
        slowdown = max(1.0, math.log2(len(self.members)) / 2, len(self.members) / RECORDS_PER_DATAGRAM)
        suspect_after = SUSPECT_INTERVALS * self.interval * slowdown
        age = now - member.record.made_at
        if age <= suspect_after:
            return State.ALIVE
        return State.SUSPECTED if age <= suspect_after * (1 + GONE_FACTOR) else State.GONE

    def member_counts(self, now: float) -> Counter[int]:
        """Return the number of members that are present, by zone: this router, and all that are not gone.

        Decisions need several witnesses. Suspected members count, because if members were forgotten too soon,
        a single witness would suffice for a decision.
        """
        counts = Counter({self.zone: 1})
        for member in self.peers:
            if member.record is not None and self.state(member, now) is not State.GONE:
                counts[member.record.zone] += 1
        return counts

    def records(self, now: float) -> list[Record]:
        """Return the records of the peers that are not gone."""
        return [m.record for m in self.peers if m.record is not None and self.state(m, now) is not State.GONE]

    def spread_urgently(self, now: float) -> None:
        """Send at the fast rate until a change that just happened has reached all members."""
        self.urgent_until = max(self.urgent_until, now + TICK_INTERVAL * self.rounds())
        self.due = min(self.due, now)

    def tick(self, now: float, wall: float, make_payload: Callable[[], tuple[int, ...]]) -> list[Datagram]:
        """Return the datagrams to send now; `make_payload` makes the payload of this router's next record."""
        if now - self.last_tick > STALL_THRESHOLD:
            self.stalls += 1
            self.peers_heard = False
            self.urgent_until = -math.inf
        self.byte_credit = min(self.budget, self.byte_credit + self.budget * (now - self.last_tick))
        self.last_tick = now
        if now < self.due:
            newcomers = [self.members[m] for m in self.new_processes if m in self.members]
            self.new_processes.clear()
            if newcomers:
                self._renew_record(now, make_payload())
            return self._make_datagrams(newcomers, now, wall)
        urgent = now < self.urgent_until or not self.record_number
        self.due = now + (TICK_INTERVAL if urgent else self.interval * self.random.uniform(0.8, 1.2))
        self._renew_record(now, make_payload())
        alive = [m for m in self.peers if self.state(m, now) is State.ALIVE]
        absent = [m for m in self.peers if self.state(m, now) is not State.ALIVE]
        chosen = self.random.sample(alive, min(len(alive), FANOUT if urgent else 1))
        # A member that is not heard may have recovered, or be cut off in one direction only, so it is sent a
        # datagram from time to time.
        if absent and (not chosen or self.random.random() < 0.3):
            chosen.append(self.random.choice(absent))
        return self._make_datagrams(chosen, now, wall)

    def _make_datagrams(self, chosen: Iterable[Member], now: float, wall: float) -> list[Datagram]:
        """Return a datagram for each of the members, as far as the byte budget allows."""
        out = []
        for member in chosen:
            data = self._pack(member.name, now, wall)
            if len(data) > self.byte_credit:
                break
            self.byte_credit -= len(data)
            self.bytes_sent += len(data)
            out.append(Datagram(member.name, data))
        return out

    def _renew_record(self, now: float, payload: tuple[int, ...]) -> None:
        self.record_number += 1
        own = self.members[self.own_id]
        own.record = Record(self.own_id, self.start, self.record_number, self.zone, payload, now)
        own.times_sent = 0

    def _pack(self, to: str, now: float, wall: float) -> bytes:
        """Return a datagram with this router's record and as many others as fit.

        Those that were sent least come first, and of these the newest.
        """
        self.datagrams_sent += 1
        header = [VERSION, self.own_id, self.start, self.datagrams_sent, start_number(wall)]
        own, receiver = self.members[self.own_id], ident(to)
        assert own.record is not None
        carried = [own.record.encode(now)]
        room = MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - own.record.max_size
        # The old record of a member that may be gone would only make it look alive for longer.
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
        return self.seal.pack(to, [*header, carried])

    def receive(self, data: bytes, now: float, wall: float) -> list[Record]:
        """Process a datagram. Return the records in it that are news.

        Raises:
            Dropped: the datagram is truncated, forged, replayed, too late, malformed, or not from a member.
        """
        try:
            return self._receive(data, now, wall)
        except Dropped as e:
            self.dropped[str(e)] += 1
            raise

    def _receive(self, data: bytes, now: float, wall: float) -> list[Record]:
        _, sender, start, number, sent_at, carried = self.seal.open(data, 6, VERSION)
        if any(type(n) is not int for n in (sender, start, number, sent_at)) or not isinstance(carried, list):
            raise Dropped("malformed")
        member = self.members.get(sender)
        if member is None or sender == self.own_id:
            raise Dropped("of no member")
        delay = max(0.0, (start_number(wall) - sent_at) / 10)  # from tenths of a second to seconds
        if delay > MAX_DELAY:
            raise Dropped("too late")
        if start < member.start:
            raise Dropped("of a process that is over")
        if start > member.start or member.replay_window is None:
            member.start, member.replay_window = start, ReplayWindow()
            member.processes_heard += 1
            # The new process is sent the records at once. Without them it would not know which zones are
            # excluded, nor which are being returned to, and would act as if there were none.
            self.new_processes.add(sender)
        member.replay_window.accept(number)
        # A datagram may have waited in a queue while this process was stalled: its time in transit is added
        # to the age of its records.
        records = [decode_record(parts, now - delay) for parts in carried]
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
