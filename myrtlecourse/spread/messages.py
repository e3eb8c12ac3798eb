"""What members of a spread say to one another, what a member is told, and what it answers.

Entries are numbered from 1 in one log. An epoch is the token of the duty whose holder writes the log. Times
are seconds on the process's own monotonic clock; clocks need not agree on the time, and must not run apart by
more than the stated drift.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlecourse.peers.seal import ident

KEY_BYTES = 8  # bytes of a purge's key and of a change's subject: the first of their digests
MAX_VALUE_BYTES = 120  # bytes of a change's value: with its number and head it fits one datagram
MAX_CONTROL_NODES = 31
MAX_MEMBERS = 40_000
MAX_NUMBER = 2**62  # that a number, an epoch or a stamp may be
DIGEST_RANGES = 16  # that a digest of the table has


class SpreadError(ValueError):
    """Settings or an entry that can't hold; the message names the field."""


@dataclass(slots=True, frozen=True)
class Purge:
    """Forget what is kept under a key. May be done twice, and in any order."""

    key: bytes  # of KEY bytes


@dataclass(slots=True, frozen=True)
class Change:
    """A subject's configuration is this from now on; of two for one subject the higher number holds."""

    subject: bytes  # of KEY bytes
    value: bytes  # LONGEST_VALUE at most


Entry = Purge | Change


def checked_entry(entry: Entry) -> Entry:
    """The entry, if all members can take it. Raises SpreadError."""
    key = entry.key if isinstance(entry, Purge) else entry.subject
    if len(key) != KEY_BYTES:
        raise SpreadError(f"an entry's key has {KEY_BYTES} bytes, not {len(key)}")
    if isinstance(entry, Change) and len(entry.value) > MAX_VALUE_BYTES:
        raise SpreadError(f"a change's value has {MAX_VALUE_BYTES} bytes at most, not {len(entry.value)}")
    return entry


@dataclass(slots=True, frozen=True)
class Site:
    """A site's members: routers, any of which may pass entries on, and cache servers' parts, which don't."""

    name: str
    region: str
    routers: tuple[str, ...]
    parts: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Settings:
    """One member's view: the control machines, and its region's sites (a control machine: all regions').

    Raises:
        SpreadError: they contradict each other; the message names the field.
    """

    name: str
    control: tuple[str, ...]  # that keep the log: one of them holds the duty and writes it
    sites: tuple[Site, ...]
    budget: float = (
        27_000.0  # bytes a second that a member which passes on may send for this, datagrams' heads aside
    )
    control_budget: float = 500_000.0  # the same of a control machine
    rate: float = 100.0  # entries a second that the tree is laid out for
    pause: float = 0.1  # seconds for which a node gathers entries before it sends them on
    report: float = 0.2  # seconds between a member's reports to its parent
    lease: float = 2.0  # seconds after which a member that has heard nothing vouches for nothing
    drift: float = 0.02  # by which a clock's rate may be off
    tail: int = 20_000  # entries that a member keeps for those below it
    control_tail: int = 400_000  # that a control machine keeps

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
        for name, least, most in (
            *(("budget", 2_000.0, 1e8), ("control_budget", 2_000.0, 1e9), ("rate", 0.1, 10_000.0)),
            *(("pause", 0.005, 5.0), ("report", 0.01, 10.0), ("lease", 0.1, 600.0), ("drift", 0.0, 0.1)),
            *(("tail", 100, 10_000_000), ("control_tail", 100, 10_000_000)),
        ):
            if not least <= getattr(self, name) <= most:
                raise SpreadError(f"{name}: from {least:g} to {most:g}")
        if self.lease < 4 * self.report:
            raise SpreadError("lease: at least four times `report`, as reports may be lost")

    @property
    def half_control_budget(self) -> float:
        """Bytes a second that a control machine may send for the log, and as many for the tree below it.

        Guards its budget: each of the two keeps to its own, and both are busiest at the same time."""
        return self.control_budget / 2

    @property
    def quorum(self) -> int:
        """Control machines that make an entry last."""
        return len(self.control) // 2 + 1


# What nodes of the tree say. Each datagram bears as many words as fit.


@dataclass(slots=True, frozen=True)
class EntryBatch:
    """Entries that follow on one another: what is new, or what was asked for with `Want`."""

    epoch: int
    first: int  # number of the first
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """From a parent: how far the log goes with me, and what your report was worth.

    The receiver may vouch for `good_for` milliseconds from when it sent the report with the stamp `echo`;
    0: not at all.
    """

    epoch: int
    last: int  # number of the last entry that the sender has without a gap
    echo: int
    good_for: int


@dataclass(slots=True, frozen=True)
class Report:
    """To a parent: I am below you, and this is how far I and all below me are.

    `have`: all up to it are applied here; `done`: by all that are counted at and below the sender.
    """

    stamp: int  # grows with each report of a process
    epoch: int
    have: int
    done: int
    below: int  # members that are counted, the sender too
    away: int  # members below that were counted and are silent
    behind: int  # ident of the one whose `have` holds `done` back; 0: nobody's


@dataclass(slots=True, frozen=True)
class Leave:
    """To a parent: count me no more, I vouch for nothing until another lets me."""


@dataclass(slots=True, frozen=True)
class NoCapacity:
    """From a node that can bear no more children: try another."""


@dataclass(slots=True, frozen=True)
class RetransmitRequest:
    """So many entries from a number on are missing here."""

    first: int
    count: int


@dataclass(slots=True, frozen=True)
class EntriesDropped:
    """From one that was asked for what it keeps no more: its entries begin with `oldest`.

    The receiver treats all that it may have missed before as purged, and asks for the table of changes.
    """

    oldest: int


@dataclass(slots=True, frozen=True)
class TableDigest:
    """Sums over the changes that hold, by ranges of subjects; asks for the rows of those that differ."""

    upto: int  # entries before this number are meant
    sums: tuple[int, ...]  # MOST_RANGES, 4 bytes each


@dataclass(slots=True, frozen=True)
class TableRows:
    """Changes that hold at the sender, of one range, in their subjects' order; `more`: others follow."""

    range: int
    rows: tuple[tuple[int, Change], ...]  # number, and the change
    more: bool


@dataclass(slots=True, frozen=True)
class TableInSync:
    """The table of changes that the digest asked about is the receiver's, up to that number."""

    upto: int


# What control machines say of the log


@dataclass(slots=True, frozen=True)
class Prepare:
    """I write the log under this epoch: what have you written down after `after`?"""

    epoch: int
    after: int


@dataclass(slots=True, frozen=True)
class PrepareReply:
    """What I have written down, and that I write for nobody of a lower epoch any more.

    `under` is the epoch in which the entries were written, `last` the number of my last one, `settled` how
    far I know the log to last.
    """

    epoch: int  # of the question
    first: int
    under: int
    entries: tuple[Entry, ...]
    last: int
    settled: int


@dataclass(slots=True, frozen=True)
class Append:
    """From the holder: write these down; all up to `settled` last.

    No entries: only that, and all that was taken over from epochs before lasts. Then `first` is the number
    after it: what the receiver has from there on under a lower epoch is void.
    """

    epoch: int
    first: int
    entries: tuple[Entry, ...]
    settled: int


@dataclass(slots=True, frozen=True)
class AppendReply:
    """All up to this number are on my disk, as the holder of this epoch has them."""

    epoch: int
    last: int


@dataclass(slots=True, frozen=True)
class StaleEpoch:
    """There is a higher epoch than yours."""

    epoch: int


@dataclass(slots=True, frozen=True)
class SnapshotRequest:
    """From a control machine whose log ends before the receiver's begins: the changes that hold, from the
    subject after `after` on."""

    epoch: int
    after: bytes  # empty: from the first


@dataclass(slots=True, frozen=True)
class SnapshotRows:
    """Changes that hold up to a number, in their subjects' order; those up to it are in no log any more."""

    epoch: int
    upto: int
    after: bytes  # the subject before the first row; empty: they are the first
    rows: tuple[tuple[int, Change], ...]  # number, and the change
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
)  # words that are for a head and not a node


# What a node or a head is told


@dataclass(slots=True, frozen=True)
class Received:
    """What another member says, all of one datagram."""

    sender: str
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `Wake` has come."""


@dataclass(slots=True, frozen=True)
class Committed:
    """To the node of a control machine, from its head: these entries last, and may go down the tree."""

    epoch: int
    first: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Leadership:
    """To the node of a control machine: who writes the log, as is known here; itself: it is the root."""

    epoch: int
    leader: str  # empty: nobody


# What it answers


@dataclass(slots=True, frozen=True)
class Send:
    """Send these words in one datagram; they fit."""

    to: str
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class Apply:
    """Act by these entries, the first of them under this number. Each is told once."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class AssumePurged:
    """Entries from `first` to `last` are not to be had any more: treat all that a purge among them may have
    meant as purged. Changes among them are told on their own, as `Restore`."""

    first: int
    last: int


@dataclass(slots=True, frozen=True)
class Restore:
    """A change that holds, from a table and not from the log."""

    number: int
    change: Change


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """Whether this member may act as if up to date from now on; until told otherwise it may not."""

    valid: bool


@dataclass(slots=True, frozen=True)
class Watermark:
    """At the root: each member that counts has applied all up to this number."""

    number: int
    members: int
    away: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call back at this time; replaces the one before. Infinity: never."""

    at: float


Event = Received | TimerFired | Committed | Leadership
Action = Send | Apply | AssumePurged | Restore | LeaseChanged | Watermark | SetTimer


@dataclass(slots=True)
class Counts:
    """What staff may want to know of a node, or a head."""

    stale: int = 0  # words of an older epoch, dropped
    refused: int = 0  # words that its state does not allow
    repaired: int = 0  # entries that came after they were asked for
    moved: int = 0  # times that another parent was taken
    bytes_out: int = 0
    more: dict[str, Any] = field(default_factory=dict)


def member_ident(name: str) -> int:
    """What a member is in a datagram."""
    return ident(name)
