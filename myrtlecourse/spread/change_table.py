"""The changes that hold, for those who missed them; compared by sums over ranges of subjects."""

from __future__ import annotations

import hashlib
import heapq

from myrtlecourse.spread.messages import DIGEST_RANGES, KEY_BYTES, Change

MAX_ROWS = 65_536
ROW_OVERHEAD = 9 + 1 + 2 + KEY_BYTES + 2  # bytes of a row beside its value

Row = tuple[int, Change]


def row_checksum(number: int, change: Change) -> int:
    """What a row adds to the sum of its range."""
    text = number.to_bytes(8, "big") + change.subject + change.value
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


class ChangeTable:
    """By subject the change that holds, and the number that it has in the log."""

    def __init__(self) -> None:
        self.ranges: list[dict[bytes, Row]] = [{} for _ in range(DIGEST_RANGES)]

    def put(self, number: int, change: Change) -> bool:
        """Take a change; whether it is the newest of its subject."""
        rows = self.ranges[change.subject[0] * DIGEST_RANGES // 256]
        held = rows.get(change.subject)
        if held is not None and held[0] >= number:
            return False
        rows[change.subject] = (number, change)
        if len(rows) > MAX_ROWS // DIGEST_RANGES:
            # the oldest goes at every member, as all go by the numbers
            del rows[min(rows, key=lambda subject: rows[subject][0])]
        return change.subject in rows

    def checksums(self, upto: int) -> tuple[int, ...]:
        """Of each range's rows with lower numbers."""
        return tuple(
            sum(row_checksum(n, c) for n, c in rows.values() if n < upto) % 2**32 for rows in self.ranges
        )

    def rows(self, which: int, after: bytes, room: int) -> tuple[tuple[Row, ...], bool]:
        """A range's rows whose subjects follow on one, as many as fit so many bytes; whether more do."""
        rows = self.ranges[which]
        subjects = heapq.nsmallest(room // ROW_OVERHEAD + 1, (s for s in rows if s > after))
        found: list[Row] = []
        for subject in subjects:
            room -= ROW_OVERHEAD + len(rows[subject][1].value)
            if room < 0:
                break
            found.append(rows[subject])
        return tuple(found), len(found) < len(subjects)
