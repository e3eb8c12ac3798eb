"""The file of applied entries, which other programs on the host follow: one line per entry."""

from __future__ import annotations

import os
import time
from pathlib import Path

from myrtlecourse.spread.messages import (
    Action,
    Apply,
    AssumePurged,
    Entry,
    LeaseChanged,
    Purge,
    Restore,
    Watermark,
)

ROTATED_SUFFIX = ".1"  # suffix of the previous file's name


def entry_line(number: int, entry: Entry) -> str:
    """Return the line of an entry, without its time."""
    if isinstance(entry, Purge):
        return f"{number} purge {entry.key.hex()}"
    return f"{number} change {entry.subject.hex()} {entry.value.hex()}"


class AppliedFile:
    """One member's file. Each line begins with the monotonic time in seconds at which it was written."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        """Append to the file if it exists; it is rotated at `max_bytes`. Raises OSError."""
        self.path = path
        self.max_bytes = max_bytes
        self.lease_valid = False
        self.pending: list[str] = []
        self._open()
        self.pending.append(
            "start"
        )  # tells followers that this process does not know what earlier ones applied
        self.add(LeaseChanged(False))
        self.flush()

    def _open(self) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.file = os.open(self.path, flags, 0o644)
        self.size = os.fstat(self.file).st_size

    def add(self, action: Action) -> None:
        """Queue the line of a node's action for the next `flush`."""
        match action:
            case Apply(first, entries):
                self.pending += [entry_line(number, entry) for number, entry in enumerate(entries, first)]
            case Restore(number, change):
                self.pending.append(entry_line(number, change))
            case AssumePurged(first, last):
                self.pending.append(f"forget {first} {last}")
            case LeaseChanged(valid):
                self.lease_valid = valid
                self.pending.append(f"vouches {'yes' if valid else 'no'}")
            case Watermark(number, members, away):
                self.pending.append(f"done {number} {members} {away}")

    def flush(self) -> None:
        """Write all queued lines. Raises OSError: the file may then lack entries, and the member must not
        rely on its lease any more."""
        if not self.pending:
            return
        if self.size >= self.max_bytes:
            self._rotate()
        written_at = f"{time.monotonic():.6f}"
        data = "".join(f"{written_at} {line}\n" for line in self.pending).encode()
        self.pending.clear()
        self.size += len(data)
        if os.write(self.file, data) < len(data):
            raise OSError(f"{self.path}: the disk is full")

    def _rotate(self) -> None:
        """Rotate the file, which bounds the space on disk. A follower reads the previous file to its end
        under its new name."""
        os.close(self.file)
        self.path.replace(self.path.with_name(self.path.name + ROTATED_SUFFIX))
        self._open()
        self.pending.insert(0, f"vouches {'yes' if self.lease_valid else 'no'}")

    def close(self) -> None:
        """Write that the lease has ended, and close the file."""
        self.add(LeaseChanged(False))
        self.flush()
        os.close(self.file)
