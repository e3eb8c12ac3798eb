"""The change table: the latest change of each subject, which members that missed it can request. Tables are
compared by checksums over ranges of subjects."""

from __future__ import annotations

import hashlib
import heapq

from myrtlecourse.spread.messages import DIGEST_RANGES, KEY_BYTES, Change

MAX_ROWS = 65_536
ROW_OVERHEAD = 9 + 1 + 2 + KEY_BYTES + 2  # bytes of a row besides its value

Row = tuple[int, Change]


def row_checksum(number: int, change: Change) -> int:
    """Return a row's contribution to the checksum of its range."""
    text = number.to_bytes(8, "big") + change.subject + change.value
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


class ChangeTable:
    """Maps a subject to its current change and the change's log number."""

    def __init__(self) -> None:
        self.ranges: list[dict[bytes, Row]] = [{} for _ in range(DIGEST_RANGES)]

    def put(self, number: int, change: Change) -> bool:
        """Store a change if it is the newest of its subject. Return whether it was stored."""
        rows = self.ranges[change.subject[0] * DIGEST_RANGES // 256]
        current = rows.get(change.subject)
        if current is not None and current[0] >= number:
            return False
        rows[change.subject] = (number, change)
        if len(rows) > MAX_ROWS // DIGEST_RANGES:
            # The row with the lowest log number is evicted, which is the same one at every member.
            del rows[min(rows, key=lambda subject: rows[subject][0])]
        return change.subject in rows

    def checksums(self, upto: int) -> tuple[int, ...]:
        """Return a checksum per range over the rows with numbers below `upto`."""
        return tuple(
            sum(row_checksum(n, c) for n, c in rows.values() if n < upto) % 2**32 for rows in self.ranges
        )

    def rows(self, range_number: int, after: bytes, size: int) -> tuple[tuple[Row, ...], bool]:
        """Return the rows of a range after a subject, as many as fit, and whether further rows follow."""
        rows = self.ranges[range_number]
        subjects = heapq.nsmallest(size // ROW_OVERHEAD + 1, (s for s in rows if s > after))
        result: list[Row] = []
        for subject in subjects:
            size -= ROW_OVERHEAD + len(rows[subject][1].value)
            if size < 0:
                break
            result.append(rows[subject])
        return tuple(result), len(result) < len(subjects)
