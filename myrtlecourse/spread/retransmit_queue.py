"""The serving side of retransmission: requests of other members for missing entries and for rows of the
change table. The asking side is in `retransmit_requests.py`."""

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


class RetransmitQueue:
    """Open requests by member, answered in turn with one datagram each."""

    def __init__(
        self,
        max_children: int,
        max_payload: int,
        applied: AppliedRanges,
        suffix: LogSuffix,
        table: ChangeTable,
    ) -> None:
        self.max_requesters = max_children + EXTRA_REQUESTERS if max_children else 0
        self.max_payload = max_payload
        self.applied, self.suffix, self.table = applied, suffix, table
        self.entry_requests: dict[str, tuple[int, int]] = {}  # first and last number
        self.table_requests: dict[str, tuple[int, bytes]] = {}  # range, and the last subject that was sent

    def _has_capacity(
        self, requester: str, requests: dict[str, tuple[int, int]] | dict[str, tuple[int, bytes]]
    ) -> bool:
        return requester in requests or len(requests) < self.max_requesters

    def request_entries(self, requester: str, request: RetransmitRequest) -> bool:
        """Queue a request; it replaces an earlier one of the same requester. Return whether it was
        accepted."""
        if not self._has_capacity(requester, self.entry_requests):
            return False
        self.entry_requests[requester] = (request.first, request.first + request.count - 1)
        return True

    def request_table(self, requester: str, digest: TableDigest, complete: bool) -> Message | None:
        """Compare the requester's change table with this node's and queue a request for rows if they differ.
        Return `TableInSync` if they are equal. `complete`: this node's table is known to be complete."""
        if not complete or not self._has_capacity(requester, self.table_requests):
            return None
        checksums = self.table.checksums(digest.upto)
        for range_number, (checksum, other_checksum) in enumerate(zip(checksums, digest.sums, strict=True)):
            if checksum != other_checksum:
                self.table_requests[requester] = (range_number, b"")
                return None
        return TableInSync(digest.upto)

    def drop(self, requester: str) -> None:
        """Remove all requests of a member."""
        self.entry_requests.pop(requester, None)
        self.table_requests.pop(requester, None)

    def next_reply(self, epoch: int) -> tuple[str, Message] | None:
        """Return the next datagram to send and its receiver, whose next turn comes after all others."""
        while self.entry_requests:
            requester = next(iter(self.entry_requests))
            reply = self._entry_reply(epoch, *self.entry_requests.pop(requester), requester)
            if reply is not None:
                return requester, reply
        while self.table_requests:
            requester = next(iter(self.table_requests))
            range_number, after = self.table_requests.pop(requester)
            rows, more = self.table.rows(range_number, after, self.max_payload - ROWS_OVERHEAD)
            if more and rows:
                self.table_requests[requester] = (range_number, rows[-1][1].subject)
            return requester, TableRows(range_number, rows, more)
        return None

    def _entry_reply(self, epoch: int, first: int, last: int, requester: str) -> Message | None:
        entries = self.suffix.batch(first, min(last, self.suffix.highest), self.max_payload - BATCH_OVERHEAD)
        if entries:
            if first + len(entries) <= last:
                self.entry_requests[requester] = (first + len(entries), last)
            return EntryBatch(epoch, first, entries)
        # Entries that were applied here but are no longer kept are reported as dropped. There is no answer
        # for entries that are missing here too: another candidate may have them.
        return EntriesDropped(self.suffix.next_kept(first)) if self.applied.range_end(first) else None
