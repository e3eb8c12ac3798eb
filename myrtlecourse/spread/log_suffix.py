"""The newest entries of the log, kept for retransmission to descendants. They are packed, because an hour of
them can be 360,000 entries."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.spread.messages import KEY_BYTES, Change, Entry, Purge

BLOCK_ENTRIES = 256  # entries per block


@dataclass(slots=True)
class Block:
    """Entries whose numbers have the same quotient by BLOCK_ENTRIES."""

    present: int = 0  # bit set of the positions in use
    keys: bytearray = field(default_factory=lambda: bytearray(BLOCK_ENTRIES * KEY_BYTES))
    changes: dict[int, Change] = field(default_factory=dict)


class LogSuffix:
    """Keeps `capacity` of the highest numbers, and up to one block more."""

    def __init__(self, most: int) -> None:
        self.capacity = most
        self.blocks: dict[int, Block] = {}
        self.highest = 0

    @property
    def lowest(self) -> int:
        """The lowest number that may still be kept."""
        return max(1, (self.highest - self.capacity) // BLOCK_ENTRIES * BLOCK_ENTRIES)

    def add(self, number: int, entry: Entry) -> None:
        """Keep an entry, unless it is too old."""
        place, at = divmod(number, BLOCK_ENTRIES)
        if number > self.highest:
            grown, self.highest = place > self.highest // BLOCK_ENTRIES, number
            if grown:
                for old in [p for p in self.blocks if p < self.lowest // BLOCK_ENTRIES]:
                    del self.blocks[old]
        if number < self.lowest:
            return
        block = self.blocks.get(place)
        if block is None:
            block = self.blocks[place] = Block()
        block.present |= 1 << at
        if isinstance(entry, Purge):
            block.keys[at * KEY_BYTES : (at + 1) * KEY_BYTES] = entry.key
        else:
            block.changes[at] = entry

    def get(self, number: int) -> Entry | None:
        """Return the entry with a number, or None if it is not kept."""
        place, at = divmod(number, BLOCK_ENTRIES)
        block = self.blocks.get(place)
        if block is None or not block.present >> at & 1:
            return None
        return block.changes.get(at) or Purge(bytes(block.keys[at * KEY_BYTES : (at + 1) * KEY_BYTES]))

    def batch(self, first: int, last: int, room: int) -> tuple[Entry, ...]:
        """Return consecutive entries from a number on, as many as fit the given size in an `EntryBatch`."""
        found: list[Entry] = []
        before: type[Entry] | None = None
        for number in range(first, last + 1):
            entry = self.get(number)
            if entry is None:
                break
            if isinstance(entry, Purge):
                room -= KEY_BYTES + (0 if before is Purge else 3)
            else:
                room -= KEY_BYTES + len(entry.value) + 5
            if room < 0:
                break
            found.append(entry)
            before = type(entry)
        return tuple(found)

    def next_kept(self, number: int) -> int:
        """Return the first kept number from this one on; if there is none, one above the highest."""
        place, at = divmod(max(number, self.lowest), BLOCK_ENTRIES)
        while place * BLOCK_ENTRIES <= self.highest:
            block = self.blocks.get(place)
            left = block.present >> at if block else 0
            if left:
                return place * BLOCK_ENTRIES + at + (left & -left).bit_length() - 1
            place, at = place + 1, 0
        return self.highest + 1
