"""Checks the rules of spread with the state of all members, which no single member knows, in arrays."""

from __future__ import annotations

import numpy as np

from myrtlecourse.spread import messages


class RuleViolation(AssertionError):
    """A rule was violated; the message names it."""


class Judge:
    """Records when each member applied each entry, and checks the rules.

    Times are seconds since the start of the simulation; a member's row is cleared when its process starts.
    """

    def __init__(self, members: int, entries: int) -> None:
        self.entries = entries
        self.applied_at = np.full((members, entries + 1), np.nan, np.float32)  # infinity: assumed purged
        # by member: the number up to which all entries are applied or assumed purged
        self.applied_until = np.zeros(members, np.int64)
        self.log: list[messages.Entry | None] = [None]  # committed entries, from number 1
        self.acknowledged_entries: dict[int, messages.Entry] = {}  # by number
        self.proposed_at = np.full(entries + 1, np.nan)
        self.acknowledged_at = np.full(entries + 1, np.nan)
        self.watermark_at = np.full(entries + 1, np.nan)  # reported by the root as applied everywhere
        self.watermark = 0
        self.tables: list[dict[bytes, tuple[int, messages.Change]]] = [{} for _ in range(members)]
        self.assumed_purges = 0

    def on_committed(self, first: int, entries: tuple[messages.Entry, ...]) -> None:
        """Handle entries that a control node regards as committed. Raises RuleViolation."""
        for number, entry in enumerate(entries, first):
            if number > self.entries:
                raise ValueError("more entries than the judge was created for")
            if number < len(self.log):
                if self.log[number] != entry:
                    raise RuleViolation(f"two_entries: {entry} and {self.log[number]} under {number}")
            elif number == len(self.log):
                if self.acknowledged_entries.get(number, entry) != entry:
                    raise RuleViolation(
                        f"not_lasting: {self.acknowledged_entries[number]} acknowledged as {number}, "
                        f"but committed: {entry}"
                    )
                self.log.append(entry)
            else:
                raise RuleViolation(f"gap: {number} committed after {len(self.log) - 1}")

    def on_acknowledged(self, number: int, entry: messages.Entry, proposed: float, now: float) -> None:
        """Handle an acknowledgement of an entry by the holder. Raises RuleViolation."""
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
        """Clear the state of a member whose process starts."""
        self.applied_at[member] = np.nan
        self.applied_until[member] = 0
        self.tables[member] = {}

    def on_applied(self, member: int, first: int, entries: tuple[messages.Entry, ...], now: float) -> None:
        """Handle entries that a member applies. Raises RuleViolation."""
        end = first + len(entries)
        if entries != tuple(self.log[first:end]):
            raise RuleViolation(f"other_entries: {first} to {end - 1} at member {member}")
        row = self.applied_at[member, first:end]
        if not np.isnan(row).all():
            raise RuleViolation(f"twice: of {first} to {end - 1} at member {member}")
        row[:] = now
        for number, entry in enumerate(entries, first):
            if isinstance(entry, messages.Change):
                self._keep_change(member, number, entry)
        self._advance(member)

    def _keep_change(self, member: int, number: int, change: messages.Change) -> None:
        table = self.tables[member]
        if change.subject not in table or table[change.subject][0] < number:
            table[change.subject] = number, change

    def on_restored(self, member: int, number: int, change: messages.Change) -> None:
        """Handle a change that a member restores from a table. Raises RuleViolation."""
        if not 0 < number < len(self.log) or self.log[number] != change:
            raise RuleViolation(f"other_entries: {change} restored as {number} at member {member}")
        self._keep_change(member, number, change)

    def on_assumed_purged(self, member: int, first: int, last: int) -> None:
        """Handle entries that a member has missed and assumes purged."""
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
        """Handle the root's report that all entries up to a number are applied everywhere.

        Return the members that lack one of them. Raises RuleViolation if there is no such entry.
        """
        if number >= len(self.log):
            raise RuleViolation(f"done_ahead: {number} of {len(self.log) - 1} entries")
        if number > self.watermark:
            self.watermark_at[self.watermark + 1 : number + 1] = now
            self.watermark = number
        return [int(m) for m in np.flatnonzero(self.applied_until < number)]

    def latest_changes(self) -> dict[bytes, tuple[int, messages.Change]]:
        """Return the latest change of each subject in the log, with its number."""
        entries = enumerate(self.log)
        return {e.subject: (number, e) for number, e in entries if isinstance(e, messages.Change)}
