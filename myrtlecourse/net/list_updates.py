"""Applies lists of cache servers a few entries at a time; does no I/O and uses no clock.

A list of thousands of entries that is applied in one iteration of the event loop blocks it: nothing is read
meanwhile, and no deadline is kept. The host (`net/host.py`), which runs in the event loop, applies one batch
per iteration, in the order of arrival.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from myrtlecourse import interface as api
from myrtlecourse.net.members import Member

BATCH_SIZE = 32  # entries applied in one iteration of the event loop


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A full list, or a delta with the changes to the list, as discovery sent it."""

    kind: api.ListKind
    members: list[Member]


def changed_members(current: Mapping[str, Member], update: ListUpdate) -> list[Member]:
    """Return what an update changes in the current list; servers that may no longer be used come first.

    If the update names a server more than once, the last entry counts.
    """
    named = {m.entry.server: m for m in update.members}
    changed = [m for name, m in named.items() if current.get(name) != m]
    if update.kind is not api.ListKind.DELTA:
        changed += [as_gone(m) for name, m in current.items() if name not in named]
    changed.sort(key=lambda m: m.entry.ready)  # False sorts first: servers that are not ready
    return changed


def as_gone(member: Member) -> Member:
    """Return the entry of a server that a full list no longer names."""
    entry = member.entry
    gone = api.ServerEntry(
        entry.server, api.State.GONE, entry.kind, entry.zone, entry.cell, entry.weight, entry.listed_start
    )
    return Member(gone, member.address)


class ListUpdateQueue:
    """Updates that have arrived and have not been applied yet."""

    def __init__(
        self, current_members: Callable[[], Mapping[str, Member]], apply: Callable[[ListUpdate], None]
    ) -> None:
        """Create a queue; `current_members` returns the list as it is, `apply` applies an update to it."""
        self.current_members = current_members
        self.apply = apply
        self.queue: deque[ListUpdate] = deque()
        self.batches: deque[list[Member]] = deque()  # remaining batches of the update that is being applied

    @property
    def pending(self) -> bool:
        """Whether there is more to apply."""
        return bool(self.batches or self.queue)

    def submit(self, update: ListUpdate) -> None:
        """Apply a short update at once if none is pending; else queue it for `apply_next_batch`."""
        entries = len(update.members)
        if update.kind is not api.ListKind.DELTA:
            entries += len(self.current_members())  # a full list may remove each of these
        if self.pending or entries > BATCH_SIZE:
            self.queue.append(update)
        else:
            self.apply(update)

    def apply_next_batch(self) -> None:
        """Apply the next batch of a pending update."""
        if not self.batches:
            members = changed_members(self.current_members(), self.queue.popleft())
            # an update without entries is applied too: it shows that discovery has answered
            starts = range(0, max(1, len(members)), BATCH_SIZE)
            self.batches.extend(members[start : start + BATCH_SIZE] for start in starts)
        self.apply(ListUpdate(api.ListKind.DELTA, self.batches.popleft()))

    def apply_all(self) -> None:
        """Apply everything that is pending."""
        while self.pending:
            self.apply_next_batch()
