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
    """The entries with the highest numbers: `capacity` of them, and up to one block more."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: dict[int, Block] = {}
        self.highest = 0

    @property
    def lowest(self) -> int:
        """The lowest number that may still be kept."""
        return max(1, (self.highest - self.capacity) // BLOCK_ENTRIES * BLOCK_ENTRIES)

    def add(self, number: int, entry: Entry) -> None:
        """Keep an entry, unless it is too old."""
        block_number, index = divmod(number, BLOCK_ENTRIES)
        if number > self.highest:
            new_block, self.highest = block_number > self.highest // BLOCK_ENTRIES, number
            if new_block:
                for old in [n for n in self.blocks if n < self.lowest // BLOCK_ENTRIES]:
                    del self.blocks[old]
        if number < self.lowest:
            return
        block = self.blocks.get(block_number)
        if block is None:
            block = self.blocks[block_number] = Block()
        block.present |= 1 << index
        if isinstance(entry, Purge):
            block.keys[index * KEY_BYTES : (index + 1) * KEY_BYTES] = entry.key
        else:
            block.changes[index] = entry

    def get(self, number: int) -> Entry | None:
        """Return the entry with a number, or None if it is not kept."""
        block_number, index = divmod(number, BLOCK_ENTRIES)
        block = self.blocks.get(block_number)
        if block is None or not block.present >> index & 1:
            return None
        return block.changes.get(index) or Purge(
            bytes(block.keys[index * KEY_BYTES : (index + 1) * KEY_BYTES])
        )

    def batch(self, first: int, last: int, size: int) -> tuple[Entry, ...]:
        """Return consecutive entries from a number on, as many as fit the given size in an `EntryBatch`."""
        entries: list[Entry] = []
        previous: type[Entry] | None = None
        for number in range(first, last + 1):
            entry = self.get(number)
            if entry is None:
                break
            if isinstance(entry, Purge):
                size -= KEY_BYTES + (0 if previous is Purge else 3)
            else:
                size -= KEY_BYTES + len(entry.value) + 5
            if size < 0:
                break
            entries.append(entry)
            previous = type(entry)
        return tuple(entries)

    def next_kept(self, number: int) -> int:
        """Return the first kept number from this one on; if there is none, one above the highest."""
        block_number, index = divmod(max(number, self.lowest), BLOCK_ENTRIES)
        while block_number * BLOCK_ENTRIES <= self.highest:
            block = self.blocks.get(block_number)
            present = block.present >> index if block else 0
            if present:
                return block_number * BLOCK_ENTRIES + index + (present & -present).bit_length() - 1
            block_number, index = block_number + 1, 0
        return self.highest + 1
