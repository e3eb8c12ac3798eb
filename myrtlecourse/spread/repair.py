"""What others have asked a node for: entries that they miss, and rows of the table."""

from __future__ import annotations

from myrtlecourse.spread.applied_ranges import Lanes
from myrtlecourse.spread.messages import LONGEST_VALUE, Beyond, Digest, News, Rows, Same, Want, Word
from myrtlecourse.spread.change_table import Table
from myrtlecourse.spread.log_suffix import Tail

HEAD = 24  # bytes that a `News` takes beside its entries, and the array of parts
ROWS = 8  # the same of `Rows`
ASKERS = 16  # beside the children that a node may have
LONGEST_ENTRY = 14 + LONGEST_VALUE  # bytes that the longest entry takes
LEAST_ROOM = HEAD + LONGEST_ENTRY  # of a datagram, for one that passes on


class Serving:
    """Everybody's turn: a datagram each, round and round."""

    def __init__(self, bound: int, room: int, lanes: Lanes, tail: Tail, table: Table) -> None:
        self.bound = bound + ASKERS if bound else 0
        self.room = room
        self.lanes, self.tail, self.table = lanes, tail, table
        self.wants: dict[str, tuple[int, int]] = {}
        self.digests: dict[str, tuple[int, bytes]] = {}  # range, and the last subject that was sent

    def _may_ask(self, asker: str, asked: dict[str, tuple[int, int]] | dict[str, tuple[int, bytes]]) -> bool:
        return asker in asked or len(asked) < self.bound

    def want(self, asker: str, want: Want) -> bool:
        """Whether it will be looked for; a new question replaces the asker's one before."""
        if not self._may_ask(asker, self.wants):
            return False
        self.wants[asker] = (want.first, want.first + want.count - 1)
        return True

    def digest(self, asker: str, digest: Digest, complete: bool) -> Word | None:
        """Compare the table with the asker's; `complete`: it is known to lack nothing itself."""
        if not complete or not self._may_ask(asker, self.digests):
            return None
        own = self.table.sums(digest.upto)
        for which, (mine, other) in enumerate(zip(own, digest.sums, strict=True)):
            if mine != other:
                self.digests[asker] = (which, b"")
                return None
        return Same(digest.upto)

    def forget(self, asker: str) -> None:
        """It needs nothing from here any more."""
        self.wants.pop(asker, None)
        self.digests.pop(asker, None)

    def next(self, epoch: int) -> tuple[str, Word] | None:
        """The next datagram for one of them, who goes to the end of the line."""
        while self.wants:
            asker = next(iter(self.wants))
            word = self._entries(epoch, *self.wants.pop(asker), asker)
            if word is not None:
                return asker, word
        while self.digests:
            asker = next(iter(self.digests))
            which, after = self.digests.pop(asker)
            rows, more = self.table.rows(which, after, self.room - ROWS)
            if more and rows:
                self.digests[asker] = (which, rows[-1][1].subject)
            return asker, Rows(which, rows, more)
        return None

    def _entries(self, epoch: int, first: int, last: int, asker: str) -> Word | None:
        found = self.tail.run(first, min(last, self.tail.top), self.room - HEAD)
        if found:
            if first + len(found) <= last:
                self.wants[asker] = (first + len(found), last)
            return News(epoch, first, found)
        # applied here and kept no more; what is missing here too, another candidate may have
        return Beyond(self.tail.next(first)) if self.lanes.run(first) else None
