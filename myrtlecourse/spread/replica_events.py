"""Events and actions of a control node's log replica, and the records of its disk."""

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
    """Raised when the stored log is corrupt; the message names the file and the offset."""


# Records


@dataclass(slots=True, frozen=True)
class Promise:
    """The replica has promised to accept nothing from epochs below this one."""

    epoch: int


@dataclass(slots=True, frozen=True)
class Write:
    """Entries as the leader of an epoch wrote them; they replace entries of a lower epoch with the same
    numbers."""

    first: int
    epoch: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Truncate:
    """Entries after `last` are void."""

    last: int


@dataclass(slots=True, frozen=True)
class Commit:
    """All entries up to this number are known to be committed."""

    number: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The current changes up to a log number, ordered by subject; it replaces all entries up to that
    number."""

    upto: int
    rows: tuple[tuple[int, Change], ...]


Record = Promise | Write | Truncate | Commit | Snapshot


@dataclass(slots=True)
class LogState:
    """The state that results from replaying a disk's records."""

    promised: int = 0
    base: int = 0  # entries up to this number are replaced by the rows of `table`
    table: dict[bytes, tuple[int, Change]] = field(default_factory=dict)
    sorted_subjects: list[bytes] = field(default_factory=list)  # the table's subjects in order
    entries: list[Entry] = field(default_factory=list)  # the entries after `base`
    entry_epochs: list[int] = field(default_factory=list)  # the epoch in which each entry was written
    commit_index: int = 0

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def apply(self, record: Record) -> None:
        """Apply one more record. Raises LogError when it leaves a gap after the records before."""
        match record:
            case Promise(epoch):
                self.promised = max(epoch, self.promised)
            case Write(first, entry_epoch, entries):
                index = first - 1 - self.base
                if index > len(self.entries):
                    raise LogError(f"entry {first} leaves a gap after {self.last}")
                entries = entries[max(0, -index) :]
                index = max(0, index)
                self.entries[index : index + len(entries)] = entries
                self.entry_epochs[index : index + len(entries)] = [entry_epoch] * len(entries)
                self.promised = max(entry_epoch, self.promised)
            case Truncate(last):
                # committed entries must never be truncated
                index = max(last, self.commit_index) - self.base
                del self.entries[index:], self.entry_epochs[index:]
            case Commit(number):
                self.commit_index = max(self.commit_index, min(number, self.last))
            case Snapshot(upto, rows) if upto > self.base:
                count = upto - self.base
                del self.entries[:count], self.entry_epochs[:count]
                self.base, self.commit_index = upto, max(upto, self.commit_index)
                self.table = {change.subject: (number, change) for number, change in rows}
                self.sorted_subjects = sorted(self.table)

    def matching_until(self, epoch: int) -> int:
        """Return the number up to which all entries are known to equal those of the leader of an epoch."""
        number = self.commit_index
        while number < self.last and self.entry_epochs[number - self.base] == epoch:
            number += 1
        return number

    def entries_from(self, first: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` consecutive entries from number `first` on; fewer at the end of the log."""
        return tuple(self.entries[first - 1 - self.base : first - 1 - self.base + count])

    def snapshot_at(self, upto: int) -> Snapshot:
        """Return the snapshot that replaces all entries up to a number."""
        table = dict(self.table)
        for number, entry in enumerate(self.entries_from(self.base + 1, upto - self.base), self.base + 1):
            if isinstance(entry, Change):
                table[entry.subject] = (number, entry)
        return Snapshot(upto, tuple(table[subject] for subject in sorted(table)))


# Events of a replica besides `Received` and `TimerFired`


@dataclass(slots=True, frozen=True)
class LeadershipGained:
    """This process has acquired the duty of writing the log, with a fencing token that no other holder
    has."""

    token: int


@dataclass(slots=True, frozen=True)
class LeadershipLost:
    """This process no longer holds the duty of writing the log."""


@dataclass(slots=True, frozen=True)
class Propose:
    """Requests that an entry be committed; answered with `Acknowledge` or `Refuse` with the same ticket."""

    ticket: int
    entry: Entry


@dataclass(slots=True, frozen=True)
class Stored:
    """The records of a `Store` are on disk; when `error` is not empty, none of them is."""

    number: int
    error: str = ""


# Actions of a replica besides `Send`, `Committed`, `Leadership`, `AssumePurged`, `Restore` and `SetTimer`


@dataclass(slots=True, frozen=True)
class Store:
    """Write these records in order, all or none; the next `Store` follows only after this one's `Stored`."""

    number: int
    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class Acknowledge:
    """The proposed entry is committed with this number."""

    ticket: int
    number: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """The proposed entry is rejected; `may_commit`: it had been sent to others, so it may still be
    committed."""

    ticket: int
    reason: str
    may_commit: bool = False


ReplicaEvent = Received | TimerFired | LeadershipGained | LeadershipLost | Propose | Stored
ReplicaAction = (
    Send | Store | Acknowledge | Refuse | Committed | Leadership | AssumePurged | Restore | SetTimer
)


def entries_that_fit(entries: list[Entry], start: int, size: int) -> int:
    """Return how many entries from an index on take at most so many bytes as MessagePack."""
    count, after_purge = 0, False
    for entry in entries[start : start + size]:
        purge = isinstance(entry, Purge)
        # consecutive purges are encoded as one byte string
        size -= (8 if after_purge else 11) if purge else 15 + len(entry.value)  # type: ignore[union-attr]
        if size < 0:
            break
        count, after_purge = count + 1, purge
    return count
