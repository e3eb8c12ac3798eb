"""Requests of other members that a node has to answer: for missing entries, and for rows of the change
table."""

from __future__ import annotations

from myrtlecourse.spread.applied_ranges import AppliedRanges
from myrtlecourse.spread.change_table import ChangeTable
from myrtlecourse.spread.log_suffix import LogSuffix
from myrtlecourse.spread.messages import (
    MAX_VALUE_BYTES,
    EntriesDropped,
    EntryBatch,
    Message,
    RetransmitRequest,
    TableDigest,
    TableInSync,
    TableRows,
)

BATCH_OVERHEAD = 24  # bytes of an `EntryBatch` besides its entries, and of the array of parts
ROWS_OVERHEAD = 8  # bytes of `TableRows` besides its rows
EXTRA_REQUESTERS = 16  # requesters that a node accepts in addition to its maximum number of children
MAX_ENTRY_BYTES = 14 + MAX_VALUE_BYTES  # bytes of the longest entry
MIN_PAYLOAD = BATCH_OVERHEAD + MAX_ENTRY_BYTES  # bytes that a relay needs in a datagram


class RepairQueue:
    """Open requests, answered round-robin with one datagram each."""

    def __init__(
        self, bound: int, room: int, lanes: AppliedRanges, tail: LogSuffix, table: ChangeTable
    ) -> None:
        self.max_requesters = bound + EXTRA_REQUESTERS if bound else 0
        self.max_payload = room
        self.applied, self.suffix, self.table = lanes, tail, table
        self.entry_requests: dict[str, tuple[int, int]] = {}
        self.table_requests: dict[str, tuple[int, bytes]] = {}  # range, and the last subject that was sent

    def _has_place(
        self, asker: str, asked: dict[str, tuple[int, int]] | dict[str, tuple[int, bytes]]
    ) -> bool:
        return asker in asked or len(asked) < self.max_requesters

    def request_entries(self, asker: str, want: RetransmitRequest) -> bool:
        """Queue a request; it replaces an earlier one of the same requester. Return whether it was
        accepted."""
        if not self._has_place(asker, self.entry_requests):
            return False
        self.entry_requests[asker] = (want.first, want.first + want.count - 1)
        return True

    def request_table(self, asker: str, digest: TableDigest, complete: bool) -> Message | None:
        """Compare the requester's change table with this node's and queue a request for rows if they differ.
        Return `TableInSync` if they are equal. `complete`: this node's table is known to be complete."""
        if not complete or not self._has_place(asker, self.table_requests):
            return None
        own = self.table.checksums(digest.upto)
        for which, (mine, other) in enumerate(zip(own, digest.sums, strict=True)):
            if mine != other:
                self.table_requests[asker] = (which, b"")
                return None
        return TableInSync(digest.upto)

    def drop(self, asker: str) -> None:
        """Remove all requests of a member."""
        self.entry_requests.pop(asker, None)
        self.table_requests.pop(asker, None)

    def next_reply(self, epoch: int) -> tuple[str, Message] | None:
        """Return the next datagram to send and its receiver, whose next turn comes after all others."""
        while self.entry_requests:
            asker = next(iter(self.entry_requests))
            word = self._entry_reply(epoch, *self.entry_requests.pop(asker), asker)
            if word is not None:
                return asker, word
        while self.table_requests:
            asker = next(iter(self.table_requests))
            which, after = self.table_requests.pop(asker)
            rows, more = self.table.rows(which, after, self.max_payload - ROWS_OVERHEAD)
            if more and rows:
                self.table_requests[asker] = (which, rows[-1][1].subject)
            return asker, TableRows(which, rows, more)
        return None

    def _entry_reply(self, epoch: int, first: int, last: int, asker: str) -> Message | None:
        found = self.suffix.batch(first, min(last, self.suffix.highest), self.max_payload - BATCH_OVERHEAD)
        if found:
            if first + len(found) <= last:
                self.entry_requests[asker] = (first + len(found), last)
            return EntryBatch(epoch, first, found)
        # Applied here but no longer kept. Entries that are missing here too may be had from another
        # candidate.
        return EntriesDropped(self.suffix.next_kept(first)) if self.applied.range_end(first) else None
