"""What a control machine's head is told and answers beside words, and what its disk holds as records."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.spread.messages import (
    Change,
    Entry,
    Forget,
    Heard,
    Purge,
    Restore,
    Root,
    Say,
    Settled,
    Wake,
    Woke,
)

MOST_RECORD = 1_000  # entries of one record


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
    under: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Cut:
    """What follows on this number is void."""

    last: int


@dataclass(slots=True, frozen=True)
class Lasts:
    """All up to this number is known to last."""

    number: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The changes that hold up to a number, in their subjects' order, in place of the entries up to it."""

    upto: int
    rows: tuple[tuple[int, Change], ...]


Record = Promise | Write | Cut | Lasts | Snapshot


@dataclass(slots=True)
class Saved:
    """What the records of a disk add up to."""

    promised: int = 0
    base: int = 0  # entries up to it are no more than the table
    table: dict[bytes, tuple[int, Change]] = field(default_factory=dict)
    subjects: list[bytes] = field(default_factory=list)  # of the table, in order
    entries: list[Entry] = field(default_factory=list)  # that follow on `base`
    unders: list[int] = field(default_factory=list)  # the epoch in which each was written
    settled: int = 0

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def take(self, record: Record) -> None:
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
                self.unders[at : at + len(entries)] = [under] * len(entries)
                self.promised = max(under, self.promised)
            case Cut(last):
                # guards what lasts: nobody may void it
                at = max(last, self.settled) - self.base
                del self.entries[at:], self.unders[at:]
            case Lasts(number):
                self.settled = max(self.settled, min(number, self.last))
            case Snapshot(upto, rows) if upto > self.base:
                count = upto - self.base
                del self.entries[:count], self.unders[:count]
                self.base, self.settled = upto, max(upto, self.settled)
                self.table = {change.subject: (number, change) for number, change in rows}
                self.subjects = sorted(self.table)

    def agreed(self, epoch: int) -> int:
        """Up to which number all is as the holder of an epoch has it."""
        number = self.settled
        while number < self.last and self.unders[number - self.base] == epoch:
            number += 1
        return number

    def part(self, first: int, count: int) -> tuple[Entry, ...]:
        """So many entries from a number on, fewer at the end."""
        return tuple(self.entries[first - 1 - self.base : first - 1 - self.base + count])

    def fold(self, upto: int) -> Snapshot:
        """What is to be kept in place of all entries up to a number."""
        table = dict(self.table)
        for number, entry in enumerate(self.part(self.base + 1, upto - self.base), self.base + 1):
            if isinstance(entry, Change):
                table[entry.subject] = (number, entry)
        return Snapshot(upto, tuple(table[subject] for subject in sorted(table)))


# What a head is told beside `Heard` and `Woke`


@dataclass(slots=True, frozen=True)
class Took:
    """The duty is this process's, under a token that nobody else has."""

    token: int


@dataclass(slots=True, frozen=True)
class Lost:
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
    why: str = ""


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
    why: str
    maybe: bool = False


HeadEvent = Heard | Woke | Took | Lost | Propose | Stored
HeadAction = Say | Store | Acknowledge | Refuse | Settled | Root | Forget | Restore | Wake


def fitting(entries: list[Entry], at: int, room: int) -> int:
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
