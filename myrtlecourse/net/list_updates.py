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

BATCH_SIZE = 32  # entries taken in one turn of the event loop


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A whole list, or changes of one, as discovery told it."""

    kind: api.ListKind
    members: list[Member]


def changed_members(held: Mapping[str, Member], news: ListUpdate) -> list[Member]:
    """What news changes of the list that is held; what may not be sent to any more comes first.

    Of a server that is named more than once the last entry holds.
    """
    named = {m.entry.server: m for m in news.members}
    found = [m for name, m in named.items() if held.get(name) != m]
    if news.kind is not api.ListKind.DELTA:
        found += [as_gone(m) for name, m in held.items() if name not in named]
    found.sort(key=lambda m: m.entry.ready)
    return found


def as_gone(member: Member) -> Member:
    """The entry of a server that a whole list does not name any more."""
    entry = member.entry
    left = api.ServerEntry(
        entry.server, api.State.GONE, entry.kind, entry.zone, entry.cell, entry.weight, entry.since
    )
    return Member(left, member.address)


class ListUpdateQueue:
    """Lists that have come and are not taken yet."""

    def __init__(self, held: Callable[[], Mapping[str, Member]], take: Callable[[ListUpdate], None]) -> None:
        """`held` gives the list as it stands, `take` enters news into it."""
        self.current_members = held
        self.apply = take
        self.queue: deque[ListUpdate] = deque()
        self.batches: deque[list[Member]] = deque()  # of the one in hand

    @property
    def pending(self) -> bool:
        """Whether there is more to take."""
        return bool(self.batches or self.queue)

    def submit(self, news: ListUpdate) -> None:
        """Take news at once if it is short and nothing stands before it; else `step` takes it in its turn."""
        entries = len(news.members)
        if news.kind is not api.ListKind.DELTA:
            entries += len(self.current_members())  # each of which it may end
        if self.pending or entries > BATCH_SIZE:
            self.queue.append(news)
        else:
            self.apply(news)

    def apply_next_batch(self) -> None:
        """Take the next batch."""
        if not self.batches:
            members = changed_members(self.current_members(), self.queue.popleft())
            # one without entries, too: it tells that discovery has answered
            starts = range(0, max(1, len(members)), BATCH_SIZE)
            self.batches.extend(members[start : start + BATCH_SIZE] for start in starts)
        self.apply(ListUpdate(api.ListKind.DELTA, self.batches.popleft()))

    def apply_all(self) -> None:
        """Take all that is left."""
        while self.pending:
            self.apply_next_batch()
