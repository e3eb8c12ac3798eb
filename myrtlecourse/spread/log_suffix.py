"""The last entries of the log, for those below who missed them; packed, as an hour of them is 360,000."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlecourse.spread.messages import KEY_BYTES, Change, Entry, Purge

BLOCK_ENTRIES = 256  # entries of a block


@dataclass(slots=True)
class Block:
    """Entries whose numbers have the same quotient by WIDTH."""

    present: int = 0  # places that are taken, as bits
    keys: bytearray = field(default_factory=lambda: bytearray(BLOCK_ENTRIES * KEY_BYTES))
    changes: dict[int, Change] = field(default_factory=dict)


class LogSuffix:
    """So many of the highest numbers, and up to a block more."""

    def __init__(self, most: int) -> None:
        self.capacity = most
        self.blocks: dict[int, Block] = {}
        self.highest = 0

    @property
    def lowest(self) -> int:
        """Nothing before this number is kept."""
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
        """The entry under a number, if it is kept."""
        place, at = divmod(number, BLOCK_ENTRIES)
        block = self.blocks.get(place)
        if block is None or not block.present >> at & 1:
            return None
        return block.changes.get(at) or Purge(bytes(block.keys[at * KEY_BYTES : (at + 1) * KEY_BYTES]))

    def batch(self, first: int, last: int, room: int) -> tuple[Entry, ...]:
        """Entries that follow on one another from a number on, and take so many bytes of a `News` at most."""
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
        """The first number from this one on that is kept; one over the highest: none is."""
        place, at = divmod(max(number, self.lowest), BLOCK_ENTRIES)
        while place * BLOCK_ENTRIES <= self.highest:
            block = self.blocks.get(place)
            left = block.present >> at if block else 0
            if left:
                return place * BLOCK_ENTRIES + at + (left & -left).bit_length() - 1
            place, at = place + 1, 0
        return self.highest + 1
