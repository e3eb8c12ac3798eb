"""Judges a spread by what no member can know: each one's entries and table, in arrays."""

from __future__ import annotations

import numpy as np

from myrtlecourse.spread import messages as said


class RuleViolation(AssertionError):
    """A rule was broken; the message names it."""


class Judge:
    """What no member can know: whether the rules hold, and when each entry came to each.

    Times are seconds since the start of the world; a member's row begins anew with its process.
    """

    def __init__(self, members: int, entries: int) -> None:
        self.entries = entries
        self.applied_at = np.full((members, entries + 1), np.nan, np.float32)  # infinity: forgotten
        self.applied_until = np.zeros(members, np.int64)  # all up to it applied or forgotten, in this process
        self.log: list[said.Entry | None] = [None]  # as they were settled first, from number 1
        self.acknowledged_entries: dict[int, said.Entry] = {}  # acknowledged, by number
        self.proposed_at = np.full(entries + 1, np.nan)
        self.acknowledged_at = np.full(entries + 1, np.nan)
        self.watermark_at = np.full(entries + 1, np.nan)  # when the root said that it is done everywhere
        self.watermark = 0
        self.tables: list[dict[bytes, tuple[int, said.Change]]] = [{} for _ in range(members)]
        self.assumed_purges = 0

    def on_committed(self, first: int, entries: tuple[said.Entry, ...]) -> None:
        """A control machine takes these as lasting. Raises Broken."""
        for number, entry in enumerate(entries, first):
            if number > self.entries:
                raise ValueError("more entries than the judge has room for")
            if number < len(self.log):
                if self.log[number] != entry:
                    raise RuleViolation(f"two_entries: {entry} and {self.log[number]} under {number}")
            elif number == len(self.log):
                if self.acknowledged_entries.get(number, entry) != entry:
                    raise RuleViolation(
                        f"not_lasting: {self.acknowledged_entries[number]} acknowledged under {number}, "
                        f"but {entry} committed"
                    )
                self.log.append(entry)
            else:
                raise RuleViolation(f"gap: {number} settled after {len(self.log) - 1}")

    def on_acknowledged(self, number: int, entry: said.Entry, proposed: float, now: float) -> None:
        """The holder has told whoever proposed an entry that it lasts. Raises Broken."""
        if self.acknowledged_entries.setdefault(number, entry) != entry:
            raise RuleViolation(
                f"two_entries: {entry} and {self.acknowledged_entries[number]} under {number}"
            )
        if number < len(self.log) and self.log[number] != entry:
            raise RuleViolation(
                f"not_lasting: {entry} acknowledged under {number}, which is {self.log[number]}"
            )
        self.proposed_at[number], self.acknowledged_at[number] = proposed, now

    def on_start(self, member: int) -> None:
        """A new process knows nothing."""
        self.applied_at[member] = np.nan
        self.applied_until[member] = 0
        self.tables[member] = {}

    def on_applied(self, member: int, first: int, entries: tuple[said.Entry, ...], now: float) -> None:
        """A member acts by entries. Raises Broken."""
        end = first + len(entries)
        if entries != tuple(self.log[first:end]):
            raise RuleViolation(f"other_entries: {first} to {end - 1} at member {member}")
        row = self.applied_at[member, first:end]
        if not np.isnan(row).all():
            raise RuleViolation(f"twice: of {first} to {end - 1} at member {member}")
        row[:] = now
        for number, entry in enumerate(entries, first):
            if isinstance(entry, said.Change):
                self._changed(member, number, entry)
        self._advance(member)

    def _changed(self, member: int, number: int, change: said.Change) -> None:
        table = self.tables[member]
        if change.subject not in table or table[change.subject][0] < number:
            table[change.subject] = number, change

    def on_restored(self, member: int, number: int, change: said.Change) -> None:
        """A member takes a change from a table. Raises Broken."""
        if not 0 < number < len(self.log) or self.log[number] != change:
            raise RuleViolation(f"other_entries: {change} restored as {number} at member {member}")
        self._changed(member, number, change)

    def on_assumed_purged(self, member: int, first: int, last: int) -> None:
        """A member treats what it missed as purged."""
        self.assumed_purges += 1
        row = self.applied_at[member, first : last + 1]
        row[np.isnan(row)] = np.inf
        self._advance(member)

    def _advance(self, member: int) -> None:
        first, row = int(self.applied_until[member]) + 1, self.applied_at[member]
        while first <= self.entries:
            missing = np.isnan(row[first : first + 64])
            if missing.any():
                first += int(missing.argmax())
                break
            first += len(missing)
        self.applied_until[member] = first - 1

    def on_watermark(self, number: int, now: float) -> list[int]:
        """The root says that all is done up to a number; answers with the members that lag."""
        if number >= len(self.log):
            raise RuleViolation(f"done_ahead: {number} of {len(self.log) - 1} entries")
        if number > self.watermark:
            self.watermark_at[self.watermark + 1 : number + 1] = now
            self.watermark = number
        return [int(m) for m in np.flatnonzero(self.applied_until < number)]

    def table(self) -> dict[bytes, tuple[int, said.Change]]:
        """The changes that hold, by the log."""
        each = enumerate(self.log)
        return {e.subject: (number, e) for number, e in each if isinstance(e, said.Change)}
