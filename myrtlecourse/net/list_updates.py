"""Takes lists of cache servers a few entries at a time; no I/O and no clock.

A list of thousands that is taken in one turn of the event loop stops it: nothing is read meanwhile, and no
deadline is kept. The host takes a batch a turn, in the order in which lists came.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from myrtlecourse import interface as api
from myrtlecourse.net.members import Member

BATCH = 32  # entries taken in one turn of the event loop


@dataclass(slots=True, frozen=True)
class ListNews:
    """A whole list, or changes of one, as discovery told it."""

    kind: api.ListKind
    members: list[Member]


def changed(held: Mapping[str, Member], news: ListNews) -> list[Member]:
    """What news changes of the list that is held; what may not be sent to any more comes first.

    Of a server that is named more than once the last entry holds.
    """
    named = {m.entry.server: m for m in news.members}
    found = [m for name, m in named.items() if held.get(name) != m]
    if news.kind is not api.ListKind.DELTA:
        found += [gone(m) for name, m in held.items() if name not in named]
    found.sort(key=lambda m: m.entry.ready)
    return found


def gone(member: Member) -> Member:
    """The entry of a server that a whole list does not name any more."""
    entry = member.entry
    left = api.ServerEntry(
        entry.server, api.State.GONE, entry.kind, entry.zone, entry.cell, entry.weight, entry.listed_start
    )
    return Member(left, member.address)


class ListUpdates:
    """Lists that have come and are not taken yet."""

    def __init__(self, held: Callable[[], Mapping[str, Member]], take: Callable[[ListNews], None]) -> None:
        """`held` gives the list as it stands, `take` enters news into it."""
        self.held = held
        self.take = take
        self.waiting: deque[ListNews] = deque()
        self.batches: deque[list[Member]] = deque()  # of the one in hand

    @property
    def pending(self) -> bool:
        """Whether there is more to take."""
        return bool(self.batches or self.waiting)

    def put(self, news: ListNews) -> None:
        """Take news at once if it is short and nothing stands before it; else `step` takes it in its turn."""
        entries = len(news.members)
        if news.kind is not api.ListKind.DELTA:
            entries += len(self.held())  # each of which it may end
        if self.pending or entries > BATCH:
            self.waiting.append(news)
        else:
            self.take(news)

    def step(self) -> None:
        """Take the next batch."""
        if not self.batches:
            members = changed(self.held(), self.waiting.popleft())
            # one without entries, too: it tells that discovery has answered
            starts = range(0, max(1, len(members)), BATCH)
            self.batches.extend(members[start : start + BATCH] for start in starts)
        self.take(ListNews(api.ListKind.DELTA, self.batches.popleft()))

    def drain(self) -> None:
        """Take all that is left."""
        while self.pending:
            self.step()
