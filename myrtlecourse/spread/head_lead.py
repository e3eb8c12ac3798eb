"""The holder's part in the log: asks what is written, takes it over, has a majority write what is new.

Paxos per number (Lamport, 1998) with the election in front; the epoch is the ballot. Entries of epochs before
are written again under the holder's own, and count only as that: a number that a majority has under an older
epoch may still be replaced (Ongaro and Ousterhout, 2014, figure 8). They are all to last before anything new
is taken; so what others have behind them under lower epochs was never acknowledged, and is void.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from myrtlecourse.peers.seal import MAX_DATAGRAM
from myrtlecourse.spread import head_events as at
from myrtlecourse.spread.head_events import MOST_RECORD, HeadAction, Record, Refuse, Saved, fitting
from myrtlecourse.spread.messages import (
    Change,
    Entry,
    Keep,
    Kept,
    Say,
    Settings,
    SpreadError,
    Survey,
    Table,
    Word,
    Written,
    checked_entry,
)

MOST_WAITING = 10_000  # proposals that are not settled yet
MOST_SUBJECTS = 100_000  # of changes that the table holds
MOST_FLIGHT = 2_000  # entries that are sent to one machine and not answered
KEEP, TABLE, ROW = 32, 37, 25  # bytes at most of a word without its entries, and of a row without its value
MOST_FAILS = 5  # doublings of the time after which what is not answered is sent again
Made = HeadAction | Record


class Budget:
    """Bytes that may be sent for what is old: what is new is not held up, but counts."""

    def __init__(self, rate: float, most: float, now: float) -> None:
        self.rate, self.most, self.left, self.at = rate, most, most, now

    def fill(self, now: float) -> None:
        """Time has passed."""
        self.left = min(self.most, self.left + self.rate * (now - self.at))
        self.at = now

    def spend(self) -> None:
        """One datagram goes out."""
        self.left = max(-self.most, self.left - MAX_DATAGRAM)


class Phase(Enum):
    """How far a holder has come."""

    SURVEY = "survey"  # asks a majority what it has written down
    ADOPT = "adopt"  # writes what it takes over down itself
    WRITE = "write"


@dataclass(slots=True)
class Answer:
    """What one machine has told to the survey."""

    got: int  # its entries up to here, without a hole
    last: int | None = None
    settled: int = 0


@dataclass(slots=True)
class Peer:
    """What another control machine has of the holder's log."""

    next: int  # to be sent
    acked: int  # it is taken to have all up to here, and is sent again what follows
    kept: int = 0  # all up to here counts: it is on its disk
    heard: bool = False
    fails: int = 0  # times that it was silent in sequence
    retry_at: float = -math.inf
    back_at: float = -math.inf
    tell_at: float = -math.inf  # when it is told how far the log lasts, if it has nothing else to be told
    tells: int = 0


class Lead:
    """One holding, under one epoch."""

    def __init__(
        self, settings: Settings, epoch: int, saved: Saved, budget: Budget, room: int, now: float
    ) -> None:
        """`saved` is what this machine's disk holds, kept up to date by the head."""
        self.settings = settings
        self.epoch = epoch
        self.saved = saved
        self.budget = budget
        self.room = room
        self.phase = Phase.SURVEY
        self.survey_at = now
        self.found: dict[int, tuple[int, Entry]] = {}  # by number, under the highest epoch
        self.answers: dict[str, Answer] = {}
        self.peers: dict[str, Peer] = {}
        self.taken_over = 0
        self.own = 0  # all up to it are on this machine's disk, under this epoch or known to last
        self.end = 0  # number of the last entry
        self.settled = 0
        self.subjects: set[bytes] = set()
        self.waiting: deque[tuple[int, Entry]] = deque()
        self.tickets: deque[tuple[int, int]] = deque()  # numbers, and whom they answer
        self.flush_at = now
        self.step = settings.pause / 4

    @property
    def others(self) -> list[str]:
        return [name for name in self.settings.control if name != self.settings.name]

    @property
    def open(self) -> bool:
        """Whether all that was taken over lasts, so that something new may follow."""
        return self.phase is Phase.WRITE and self.settled >= self.taken_over

    # Taking over

    def _survey(self, now: float) -> Iterator[Made]:
        """Guards what epochs before have made last: a majority tells what it has, and is bound by that."""
        if self.saved.promised < self.epoch:
            return
        if now >= self.survey_at:
            self.survey_at = now + self.settings.pause
            for name in self.others:
                told = self.answers.setdefault(name, Answer(self.saved.settled))
                told.got = max(told.got, self.saved.settled)
                if told.last is None or told.got < told.last:
                    yield Say(name, (Survey(self.epoch, told.got),))
        whole = [a for a in self.answers.values() if a.last is not None and a.got >= a.last]
        if 1 + len(whole) >= self.settings.majority:
            self.phase = Phase.ADOPT
            yield from self.adopt()
            known = max([self.saved.settled, *(a.settled for a in whole)])
            self.settled = min(known, self.taken_over)
            yield from self.stored(now)  # if nothing was to be written

    def written(self, sender: str, word: Written) -> None:
        """What another has written down."""
        if word.epoch != self.epoch or self.phase is not Phase.SURVEY:
            return
        told = self.answers.setdefault(sender, Answer(self.saved.settled))
        for number, entry in enumerate(word.entries, word.first):
            if number not in self.found or self.found[number][0] < word.under:
                self.found[number] = word.under, entry
        if word.first <= told.got + 1:
            told.got = max(told.got, word.first + len(word.entries) - 1)
        told.last, told.settled = word.last, max(word.settled, told.settled)

    def adopt(self) -> Iterator[Made]:
        """Write all that may have been acknowledged under this epoch: for each number what was written under
        the highest."""
        saved, entries = self.saved, list[Entry]()
        first = number = saved.settled + 1
        while True:
            best = self.found.get(number)
            if saved.base < number <= saved.last:
                own = saved.unders[number - 1 - saved.base], saved.entries[number - 1 - saved.base]
                best = own if best is None or best[0] < own[0] else best
            if best is None:
                break
            entries.append(best[1])
            number += 1
        self.taken_over = self.end = number - 1
        for i in range(0, len(entries), MOST_RECORD):
            yield at.Write(first + i, self.epoch, tuple(entries[i : i + MOST_RECORD]))

    def _begin(self, now: float) -> None:
        """What was taken over is on this machine's disk: have the others write it."""
        self.phase = Phase.WRITE
        self.own = self.taken_over
        for name in self.others:
            told = self.answers.get(name)
            known = told.settled if told is not None and told.last is not None else self.settled
            self.peers[name] = Peer(known + 1, known)
        self.found.clear()
        self.answers.clear()
        self.subjects = set(self.saved.table)
        self.subjects.update(e.subject for e in self.saved.entries if isinstance(e, Change))

    # What is new

    def propose(self, ticket: int, entry: Entry) -> Iterator[Made]:
        """Take an entry, or say why not."""
        why = ""
        try:
            checked_entry(entry)
        except SpreadError as e:
            why = str(e)
        if not self.open:
            why = why or "it is still taking over"
        elif len(self.waiting) + len(self.tickets) >= MOST_WAITING:
            why = why or f"{MOST_WAITING} wait already"
        elif isinstance(entry, Change) and not why:
            if TABLE + ROW + len(entry.value) > self.room:
                why = f"value: beside so long a name {self.room - TABLE - ROW} bytes at most"
            elif entry.subject not in self.subjects and len(self.subjects) >= MOST_SUBJECTS:
                why = f"subject: there are {MOST_SUBJECTS} already"
            else:
                self.subjects.add(entry.subject)
        if why:
            yield Refuse(ticket, why)
        else:
            self.waiting.append((ticket, entry))

    def _flush(self, now: float) -> Iterator[Made]:
        """Guards disks and the network: what comes at one moment is one record and few datagrams."""
        if not self.waiting or now < self.flush_at:
            return
        self.flush_at = now + self.step
        while self.waiting:
            batch = [self.waiting.popleft() for _ in range(min(MOST_RECORD, len(self.waiting)))]
            yield at.Write(self.end + 1, self.epoch, tuple(entry for _, entry in batch))
            for ticket, _ in batch:
                self.end += 1
                self.tickets.append((self.end, ticket))

    def stored(self, now: float) -> Iterator[Made]:
        """What this machine's disk holds has changed. Others hear of an entry only then: one that can't be
        written here is known to nobody, and may be refused."""
        if self.phase is Phase.ADOPT and self.saved.agreed(self.epoch) >= self.taken_over:
            self._begin(now)
        if self.phase is not Phase.WRITE:
            return
        fresh, self.own = self.own + 1, self.saved.last
        for name, peer in self.peers.items():
            if peer.next == fresh and not peer.fails:
                while peer.next <= self.own and self._may_fly(peer):
                    yield self._send(now, name, peer)
        yield from self._count(now)

    def failed(self, why: str) -> Iterator[Made]:
        """The disk took nothing of what was waiting for it."""
        if self.phase is Phase.ADOPT:
            yield from self.adopt()
        elif self.phase is Phase.WRITE:
            while self.tickets and self.tickets[-1][0] > self.own:
                yield Refuse(self.tickets.pop()[1], f"it can't be written down: {why}")
            self.end = self.own

    def lost(self) -> Iterator[Made]:
        """The holding is over."""
        for _, ticket in self.tickets:
            yield Refuse(ticket, "not the holder any more", True)
        for ticket, _ in self.waiting:
            yield Refuse(ticket, "not the holder any more")

    def _count(self, now: float) -> Iterator[Made]:
        """Guards what is acknowledged: a majority has it on disk, under this epoch."""
        reached = sorted([self.own, *(p.kept for p in self.peers.values())], reverse=True)
        lasts = reached[self.settings.majority - 1]
        if lasts > self.settled:
            self.settled = lasts
            for peer in self.peers.values():
                peer.tells = 0
                peer.tell_at = min(peer.tell_at, now + self.step)
        while self.tickets and self.tickets[0][0] <= self.settled:
            number, ticket = self.tickets.popleft()
            yield at.Acknowledge(ticket, number)

    # What the others get

    def kept(self, now: float, sender: str, word: Kept) -> Iterator[Made]:
        """Another has it on disk up to there."""
        peer = self.peers.get(sender)
        if word.epoch != self.epoch or peer is None or word.last > self.own:
            return
        before, peer.heard = peer.heard, True
        if word.last < peer.acked:
            if before:
                return  # an answer that later ones have passed
            peer.acked, peer.next = word.last, word.last + 1
        elif word.last > peer.acked:
            peer.acked, peer.next = word.last, max(peer.next, word.last + 1)
            peer.retry_at = now + self.settings.pause
        elif peer.next > word.last + 1 and now - peer.back_at >= self.settings.pause:
            # nothing new was taken: one before was lost
            peer.next, peer.back_at = word.last + 1, now
        peer.fails = 0
        peer.kept = max(peer.kept, word.last)
        yield from self._count(now)

    def _may_fly(self, peer: Peer) -> bool:
        """Guards a machine that is silent, and the network: it gets one datagram at a time."""
        flying = peer.next - 1 - peer.acked
        return flying <= 0 if peer.fails > 1 else flying < MOST_FLIGHT

    def _send(self, now: float, name: str, peer: Peer) -> Say:
        """The next entries, or where the table begins."""
        self.budget.spend()
        if peer.next == peer.acked + 1 or peer.next <= self.saved.base:
            peer.retry_at = now + self.settings.pause * 2 ** min(peer.fails, MOST_FAILS)
        if peer.next <= self.saved.base:
            return Say(name, (table_from(self.epoch, self.saved, b"", self.room),))
        words: tuple[Word, ...] = ()
        if self.open and peer.acked <= self.taken_over:
            words = (Keep(self.epoch, self.taken_over + 1, (), self.settled),)
        here = peer.next - 1 - self.saved.base
        count = max(1, fitting(self.saved.entries, here, self.room - KEEP * (1 + len(words))))
        entries = self.saved.part(peer.next, min(count, self.own + 1 - peer.next))
        words = (*words, Keep(self.epoch, peer.next, entries, self.settled if self.open else 0))
        peer.next += len(entries)
        self._told(now, peer)
        return Say(name, words)

    def _told(self, now: float, peer: Peer) -> None:
        peer.tells += 1
        again = self.settings.pause * 2 ** min(peer.tells, MOST_FAILS)
        peer.tell_at = now + max(self.settings.pause, min(again, self.settings.lease / 2))

    def _serve(self, now: float) -> Iterator[Made]:
        for peer in self.peers.values():
            if self.budget.left > 0 and now >= peer.retry_at > -math.inf and self._unanswered(peer):
                peer.fails += 1
                peer.next = peer.acked + 1
        behind = [(n, p) for n, p in self.peers.items() if self._owed(now, p)]
        while behind and self.budget.left > 0:
            for name, peer in behind:
                yield self._send(now, name, peer)
            behind = [(n, p) for n, p in behind if self._owed(now, p)]
        if self.open:
            for name, peer in self.peers.items():
                if now >= peer.tell_at:
                    self.budget.spend()
                    self._told(now, peer)
                    yield Say(name, (Keep(self.epoch, self.taken_over + 1, (), self.settled),))

    def _unanswered(self, peer: Peer) -> bool:
        return peer.next > peer.acked + 1 or peer.next <= self.saved.base

    def _owed(self, now: float, peer: Peer) -> bool:
        if peer.next <= self.saved.base:
            return now >= peer.retry_at
        return peer.next <= self.own and self._may_fly(peer)

    def tick(self, now: float) -> Iterator[Made]:
        """Do what is due."""
        if self.phase is Phase.SURVEY:
            yield from self._survey(now)
        elif self.phase is Phase.WRITE:
            yield from self._flush(now)
            yield from self._serve(now)

    def next(self, now: float) -> float:
        """When something is due."""
        if self.phase is Phase.SURVEY:
            return self.survey_at if self.saved.promised >= self.epoch else math.inf
        if self.phase is Phase.ADOPT:
            return math.inf
        times = [self.flush_at] if self.waiting else []
        spent = now + self.step if self.budget.left <= 0 else now
        for peer in self.peers.values():
            if self._owed(now, peer):
                times.append(now + self.step)
            elif self._unanswered(peer):
                times.append(max(spent, peer.retry_at))
            if self.open:
                times.append(peer.tell_at)
        return max(min(times, default=math.inf), now)

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
        return {
            "phase": self.phase.value,
            "taken_over": self.taken_over,
            "waiting": len(self.waiting) + len(self.tickets),
            "kept": {name: peer.kept for name, peer in self.peers.items()},
            "silent": [name for name, peer in self.peers.items() if peer.fails > 1],
        }


def table_from(epoch: int, saved: Saved, after: bytes, room: int) -> Table:
    """The rows that follow on a subject, as many as fit one datagram."""
    rows, left = list[tuple[int, Change]](), room - TABLE
    begin = bisect_right(saved.subjects, after) if after else 0
    for subject in saved.subjects[begin : begin + room]:
        row = saved.table[subject]
        left -= ROW + len(row[1].value)
        if left < 0 and rows:
            break
        rows.append(row)
    return Table(epoch, saved.base, after, tuple(rows), begin + len(rows) < len(saved.subjects))
