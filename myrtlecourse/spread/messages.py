"""Messages between the members of a fleet, and the events and actions of a member's node.

Terms:
- entry: an element of the replicated log, either a purge or a change; entries are numbered from 1.
- change table: the latest change of each subject, with its number.
- control node: a node that stores the log. The leader writes it and is the root of the tree.
- epoch: the fencing token of the duty whose holder is the leader.
- tier: control nodes, relays of a region, relays of a site, and leaves. Below the control nodes each member
  receives entries from a parent one tier up. A relay forwards them; a leaf has no children.
- lease: granted to a child by its parent. The child counts until the lease has ended on every clock.
- watermark: the number up to which all counted members of a subtree have applied all entries.
- purged range: entries that a member could not get and therefore treats as purges of everything.

A number named `upto` in `TableDigest` and `TableInSync` is exclusive; names that end in `_until` and all
other numbers are inclusive. Times are seconds on the process's own monotonic clock; clocks need not show the
same time, but their rates must not differ by more than the configured drift.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlecourse.peers.seal import ident

KEY_BYTES = 8  # bytes of a purge's key and of a change's subject, which are the first bytes of their digests
MAX_VALUE_BYTES = 120  # bytes of a change's value: with its number and header it fits one datagram
MAX_CONTROL_NODES = 31
MAX_MEMBERS = 40_000
MAX_NUMBER = 2**62  # upper bound of a log number, an epoch or a stamp
DIGEST_RANGES = 16  # number of subject ranges in a digest of the change table


class SpreadError(ValueError):
    """Raised for contradictory settings or an invalid entry; the message names the field."""


@dataclass(slots=True, frozen=True)
class Purge:
    """Discards what is cached under a key. Idempotent, and independent of the order of purges."""

    key: bytes  # of KEY_BYTES bytes


@dataclass(slots=True, frozen=True)
class Change:
    """Sets a subject's configuration; of two changes of one subject the one with the higher number wins."""

    subject: bytes  # of KEY_BYTES bytes
    value: bytes  # at most MAX_VALUE_BYTES bytes


Entry = Purge | Change


def checked_entry(entry: Entry) -> Entry:
    """Return the entry if every member can accept it. Raises SpreadError otherwise."""
    key = entry.key if isinstance(entry, Purge) else entry.subject
    if len(key) != KEY_BYTES:
        raise SpreadError(f"an entry's key must have {KEY_BYTES} bytes, not {len(key)}")
    if isinstance(entry, Change) and len(entry.value) > MAX_VALUE_BYTES:
        raise SpreadError(
            f"a change's value must have at most {MAX_VALUE_BYTES} bytes, not {len(entry.value)}"
        )
    return entry


@dataclass(slots=True, frozen=True)
class Site:
    """A site's members: routers, any of which may relay entries, and cache servers' parts, which are always
    leaves."""

    name: str
    region: str
    routers: tuple[str, ...]
    parts: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Settings:
    """One member's configuration: the control nodes and the sites of its region (of all regions on a control
    node).

    Raises:
        SpreadError: the settings contradict each other; the message names the field.
    """

    name: str
    control: tuple[str, ...]  # the nodes that replicate the log; the one that holds the duty is its leader
    sites: tuple[Site, ...]
    budget: float = (
        27_000.0  # bytes per second that a relay may send for this subsystem, without datagram headers
    )
    control_budget: float = 500_000.0  # the same for a control node
    rate: float = 100.0  # entries per second that the tree is dimensioned for
    pause: float = 0.1  # seconds for which a node batches entries before it forwards them
    report: float = 0.2  # seconds between a member's reports to its parent
    lease: float = 2.0  # seconds without a renewal after which a member's lease has expired
    drift: float = 0.02  # maximum relative error of a clock's rate
    tail: int = 20_000  # entries that a member keeps for retransmission to its descendants
    control_tail: int = 400_000  # entries that a control node keeps

    def __post_init__(self) -> None:
        names = [*self.control, *(m for s in self.sites for m in (*s.routers, *s.parts))]
        if not 1 <= len(self.control) <= MAX_CONTROL_NODES:
            raise SpreadError(f"control: 1 to {MAX_CONTROL_NODES} machines")
        if self.name not in names:
            raise SpreadError(f"name: {self.name} is neither a control machine nor a member of a site")
        if len(names) > MAX_MEMBERS or len(set(names)) < len(names):
            raise SpreadError(f"sites: each member once, {MAX_MEMBERS} at most")
        if len({s.name for s in self.sites}) < len(self.sites):
            raise SpreadError("sites: each under a name of its own")
        for site in self.sites:
            if not site.routers:
                raise SpreadError(f"sites.{site.name}.routers: at least one")
        for name, minimum, maximum in (
            *(("budget", 2_000.0, 1e8), ("control_budget", 2_000.0, 1e9), ("rate", 0.1, 10_000.0)),
            *(("pause", 0.005, 5.0), ("report", 0.01, 10.0), ("lease", 0.1, 600.0), ("drift", 0.0, 0.1)),
            *(("tail", 100, 10_000_000), ("control_tail", 100, 10_000_000)),
        ):
            if not minimum <= getattr(self, name) <= maximum:
                raise SpreadError(f"{name}: from {minimum:g} to {maximum:g}")
        if self.lease < 4 * self.report:
            raise SpreadError("lease: at least four times `report`, as reports may be lost")

    @property
    def half_control_budget(self) -> float:
        """Bytes per second that a control node may send for the log, and as many again for the tree below it.

        Each of the two keeps to its own half, because both are busiest at the same time.
        """
        return self.control_budget / 2

    @property
    def quorum(self) -> int:
        """The number of control nodes that must have stored an entry before it is committed."""
        return len(self.control) // 2 + 1


# Messages between nodes of the tree. A datagram carries as many messages as fit.


@dataclass(slots=True, frozen=True)
class EntryBatch:
    """Consecutive entries, either new ones or ones that were requested with `RetransmitRequest`."""

    epoch: int
    first: int  # number of the first entry
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sent by a parent: how far its log goes, and the lease granted in answer to a report.

    The lease lasts `good_for` milliseconds from when the receiver sent the report with the stamp `echo`; 0
    grants no lease.
    """

    epoch: int
    # the sender has applied all entries up to this one, and has already sent them if it forwards them
    last: int
    echo: int  # stamp of the report that is answered
    good_for: int  # milliseconds


@dataclass(slots=True, frozen=True)
class Report:
    """Sent to a parent: registers the sender as its child and acknowledges entries for the sender's subtree.

    The sender has applied all entries up to `have`; all counted members of its subtree have applied all up to
    `done`.
    """

    stamp: int  # number of the report, which the answer repeats; begins at random and grows by 1
    epoch: int
    have: int
    done: int
    below: int  # counted members of the subtree, including the sender
    away: int  # members of the subtree that were counted and are now silent
    behind: int  # ident of the member whose `have` limits `done`; 0: none


@dataclass(slots=True, frozen=True)
class Leave:
    """Sent to a parent: the sender no longer relies on leases from it and need not be counted."""


@dataclass(slots=True, frozen=True)
class NoCapacity:
    """Sent by a node that can't accept another child: the receiver has to try another parent."""


@dataclass(slots=True, frozen=True)
class RetransmitRequest:
    """Sent to a parent or another candidate: requests `count` consecutive entries, from `first` on."""

    first: int
    count: int


@dataclass(slots=True, frozen=True)
class EntriesDropped:
    """Answers a request for entries that the sender no longer keeps; `oldest` is the first one that it does.

    The receiver treats the entries before `oldest` that it lacks as purged, and requests the change table.
    """

    oldest: int


@dataclass(slots=True, frozen=True)
class TableDigest:
    """Checksums of the sender's change table by subject range; requests the rows of ranges that differ."""

    upto: int  # covers entries before this number
    sums: tuple[int, ...]  # DIGEST_RANGES checksums of 4 bytes each


@dataclass(slots=True, frozen=True)
class TableRows:
    """Current changes of one range, ordered by subject; `more`: further rows follow."""

    range: int
    rows: tuple[tuple[int, Change], ...]  # log number and change
    more: bool


@dataclass(slots=True, frozen=True)
class TableInSync:
    """Answers a digest: the receiver's change table equals the sender's, which is complete."""

    upto: int  # the number in the digest; covers entries before it


# Messages between control nodes about the log


@dataclass(slots=True, frozen=True)
class Prepare:
    """Paxos phase 1a: the sender leads this epoch and asks for the entries stored after `after`."""

    epoch: int
    after: int


@dataclass(slots=True, frozen=True)
class PrepareReply:
    """Paxos phase 1b: the stored entries, and the promise to accept nothing from a lower epoch.

    `under` is the epoch in which the entries were written, `last` the number of the sender's last entry and
    `settled` its commit index.
    """

    epoch: int  # of the question
    first: int
    under: int
    entries: tuple[Entry, ...]
    last: int
    settled: int


@dataclass(slots=True, frozen=True)
class Append:
    """Sent by the leader: store these entries; `settled` is the commit index.

    Without entries it announces the commit index alone, and that all entries taken over from earlier epochs
    are committed. Then `first` is the number after those: the receiver discards entries from there on that
    have a lower epoch.
    """

    epoch: int
    first: int
    entries: tuple[Entry, ...]
    settled: int


@dataclass(slots=True, frozen=True)
class AppendReply:
    """All entries up to `last` are on the sender's disk, as written by the leader of this epoch."""

    epoch: int
    last: int


@dataclass(slots=True, frozen=True)
class StaleEpoch:
    """Answers a message of an epoch that is lower than one the sender has promised."""

    epoch: int


@dataclass(slots=True, frozen=True)
class SnapshotRequest:
    """Sent by a control node whose log ends before the receiver's begins: requests the current changes after
    the subject `after`."""

    epoch: int
    after: bytes  # empty: from the first subject on


@dataclass(slots=True, frozen=True)
class SnapshotRows:
    """Current changes up to a log number, ordered by subject; they replace log entries that are no longer
    kept."""

    epoch: int
    upto: int
    after: bytes  # the subject before the first row; empty for the first rows
    rows: tuple[tuple[int, Change], ...]  # log number and change
    more: bool


Message = (
    EntryBatch
    | Heartbeat
    | Report
    | Leave
    | NoCapacity
    | RetransmitRequest
    | EntriesDropped
    | TableDigest
    | TableRows
    | TableInSync
    | Prepare
    | PrepareReply
    | Append
    | AppendReply
    | StaleEpoch
    | SnapshotRequest
    | SnapshotRows
)
LOG_MESSAGES = (
    Prepare,
    PrepareReply,
    Append,
    AppendReply,
    StaleEpoch,
    SnapshotRequest,
    SnapshotRows,
)  # handled by a replica of the log, not by a node of the tree


# Events of a node or a replica


@dataclass(slots=True, frozen=True)
class Received:
    """A datagram from another member has arrived, with these messages."""

    sender: str
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time set with `SetTimer` has come."""


@dataclass(slots=True, frozen=True)
class Committed:
    """From a control node's replica to its tree node: these entries are committed and may be forwarded."""

    epoch: int
    first: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Leadership:
    """To the tree node of a control node: the known leader, which is the root of the tree."""

    epoch: int
    leader: str  # empty: none is known


# Actions of a node or a replica


@dataclass(slots=True, frozen=True)
class Send:
    """Send these messages in one datagram; they fit."""

    to: str
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class Apply:
    """Apply these entries; `first` is the number of the first one. No entry is applied twice."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class AssumePurged:
    """Entries from `first` to `last` are unavailable: discard everything that a purge among them may have
    named. Changes among them follow as `Restore`."""

    first: int
    last: int


@dataclass(slots=True, frozen=True)
class Restore:
    """A current change that comes from a change table instead of the log."""

    number: int
    change: Change


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The member holds a valid lease from now on, or no longer holds one; initially it holds none."""

    valid: bool


@dataclass(slots=True, frozen=True)
class Watermark:
    """At the root: all counted members have applied all entries up to `number`."""

    number: int
    members: int  # the members that count
    away: int  # members that were counted and are now silent


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Fire a timer at this time, in place of the one before; infinity: never."""

    at: float


Event = Received | TimerFired | Committed | Leadership
Action = Send | Apply | AssumePurged | Restore | LeaseChanged | Watermark | SetTimer


@dataclass(slots=True)
class Counts:
    """Counters of a node or a replica, shown to operators."""

    stale: int = 0  # messages of an older epoch, dropped
    refused: int = 0  # messages that are invalid in the present state
    repaired: int = 0  # entries that arrived after they had been requested
    moved: int = 0  # changes of parent
    bytes_out: int = 0
    more: dict[str, Any] = field(default_factory=dict)


def member_ident(name: str) -> int:
    """Return the number that stands for a member's name in datagrams."""
    return ident(name)
