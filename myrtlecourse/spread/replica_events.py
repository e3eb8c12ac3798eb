"""What a control machine's head is told and answers beside words, and what its disk holds as records."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.spread.messages import (
    AssumePurged,
    Change,
    Committed,
    Entry,
    Leadership,
    Purge,
    Received,
    Restore,
    Send,
    SetTimer,
    TimerFired,
)

MAX_RECORD_ENTRIES = 1_000  # entries of one record


class LogError(Exception):
    """What the disk holds is no log; the message names the file and the place."""


# Records


@dataclass(slots=True, frozen=True)
class Promise:
    """Nothing is written for an epoch below this one any more."""

    epoch: int


@dataclass(slots=True, frozen=True)
class Write:
    """Entries as the holder of an epoch has them, in place of what was there under a lower one."""

    first: int
    epoch: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Truncate:
    """What follows on this number is void."""

    last: int


@dataclass(slots=True, frozen=True)
class Commit:
    """All up to this number is known to last."""

    number: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The changes that hold up to a number, in their subjects' order, in place of the entries up to it."""

    upto: int
    rows: tuple[tuple[int, Change], ...]


Record = Promise | Write | Truncate | Commit | Snapshot


@dataclass(slots=True)
class LogState:
    """What the records of a disk add up to."""

    promised: int = 0
    base: int = 0  # entries up to it are no more than the table
    table: dict[bytes, tuple[int, Change]] = field(default_factory=dict)
    sorted_subjects: list[bytes] = field(default_factory=list)  # of the table, in order
    entries: list[Entry] = field(default_factory=list)  # that follow on `base`
    entry_epochs: list[int] = field(default_factory=list)  # the epoch in which each was written
    commit_index: int = 0

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def apply(self, record: Record) -> None:
        """One record more. Raises LogError: it does not follow on those before."""
        match record:
            case Promise(epoch):
                self.promised = max(epoch, self.promised)
            case Write(first, under, entries):
                at = first - 1 - self.base
                if at > len(self.entries):
                    raise LogError(f"entry {first} follows on {self.last}")
                entries = entries[max(0, -at) :]
                at = max(0, at)
                self.entries[at : at + len(entries)] = entries
                self.entry_epochs[at : at + len(entries)] = [under] * len(entries)
                self.promised = max(under, self.promised)
            case Truncate(last):
                # guards what lasts: nobody may void it
                at = max(last, self.commit_index) - self.base
                del self.entries[at:], self.entry_epochs[at:]
            case Commit(number):
                self.commit_index = max(self.commit_index, min(number, self.last))
            case Snapshot(upto, rows) if upto > self.base:
                count = upto - self.base
                del self.entries[:count], self.entry_epochs[:count]
                self.base, self.commit_index = upto, max(upto, self.commit_index)
                self.table = {change.subject: (number, change) for number, change in rows}
                self.sorted_subjects = sorted(self.table)

    def matching_until(self, epoch: int) -> int:
        """Up to which number all is as the holder of an epoch has it."""
        number = self.commit_index
        while number < self.last and self.entry_epochs[number - self.base] == epoch:
            number += 1
        return number

    def entries_from(self, first: int, count: int) -> tuple[Entry, ...]:
        """So many entries from a number on, fewer at the end."""
        return tuple(self.entries[first - 1 - self.base : first - 1 - self.base + count])

    def snapshot_at(self, upto: int) -> Snapshot:
        """What is to be kept in place of all entries up to a number."""
        table = dict(self.table)
        for number, entry in enumerate(self.entries_from(self.base + 1, upto - self.base), self.base + 1):
            if isinstance(entry, Change):
                table[entry.subject] = (number, entry)
        return Snapshot(upto, tuple(table[subject] for subject in sorted(table)))


# What a head is told beside `Heard` and `Woke`


@dataclass(slots=True, frozen=True)
class LeadershipGained:
    """The duty is this process's, under a token that nobody else has."""

    token: int


@dataclass(slots=True, frozen=True)
class LeadershipLost:
    """It is not any more."""


@dataclass(slots=True, frozen=True)
class Propose:
    """An entry that is to last; answered with `Acknowledge` or `Refuse` under the same ticket."""

    ticket: int
    entry: Entry


@dataclass(slots=True, frozen=True)
class Stored:
    """The records of a `Store` are on the disk; or none of them is, and `why` says what is wrong."""

    number: int
    error: str = ""


# What it answers beside `Say`, `Settled`, `Root`, `Forget`, `Restore` and `Wake`


@dataclass(slots=True, frozen=True)
class Store:
    """Write these down, in their order, all or none; one is told after the other has been `Stored`."""

    number: int
    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class Acknowledge:
    """What was proposed lasts, under this number."""

    ticket: int
    number: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """What was proposed is not taken; `maybe`: it may last all the same, as it had been sent."""

    ticket: int
    reason: str
    may_commit: bool = False


ReplicaEvent = Received | TimerFired | LeadershipGained | LeadershipLost | Propose | Stored
ReplicaAction = (
    Send | Store | Acknowledge | Refuse | Committed | Leadership | AssumePurged | Restore | SetTimer
)


def entries_that_fit(entries: list[Entry], at: int, room: int) -> int:
    """How many entries from a place on surely take no more than so many bytes as MessagePack."""
    count, before = 0, False
    for entry in entries[at : at + room]:
        purge = isinstance(entry, Purge)
        # runs of purges are one string of bytes
        room -= (8 if before else 11) if purge else 15 + len(entry.value)  # type: ignore[union-attr]
        if room < 0:
            break
        count, before = count + 1, purge
    return count
