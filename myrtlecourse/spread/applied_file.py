"""What a member has applied, as a file that other programs on its host follow: a line an entry."""

from __future__ import annotations

import os
import time
from pathlib import Path

from myrtlecourse.spread.messages import Action, Apply, Done, Entry, Forget, Purge, Restore, Vouches

BEFORE = ".1"  # what the file before is called


def told(number: int, entry: Entry) -> str:
    """An entry's line, without its time."""
    if isinstance(entry, Purge):
        return f"{number} purge {entry.key.hex()}"
    return f"{number} change {entry.subject.hex()} {entry.value.hex()}"


class Applied:
    """The file. Each line begins with the monotonic time at which it was written, in seconds."""

    def __init__(self, path: Path, most: int) -> None:
        """Go on with what is there; at `most` bytes it is begun anew. Raises OSError."""
        self.path = path
        self.most = most
        self.vouches = False
        self.waiting: list[str] = []
        self._open()
        self.waiting.append("start")  # this process remembers nothing of those before
        self.add(Vouches(False))
        self.write()

    def _open(self) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.file = os.open(self.path, flags, 0o644)
        self.size = os.fstat(self.file).st_size

    def add(self, action: Action) -> None:
        """Let what a node answers be written with the next `write`."""
        match action:
            case Apply(first, entries):
                self.waiting += [told(number, entry) for number, entry in enumerate(entries, first)]
            case Restore(number, change):
                self.waiting.append(told(number, change))
            case Forget(first, last):
                self.waiting.append(f"forget {first} {last}")
            case Vouches(may):
                self.vouches = may
                self.waiting.append(f"vouches {'yes' if may else 'no'}")
            case Done(number, members, away):
                self.waiting.append(f"done {number} {members} {away}")

    def write(self) -> None:
        """Write what waits, whole lines alone. Raises OSError: then the file lacks entries, and its member
        must vouch for nothing any more."""
        if not self.waiting:
            return
        if self.size >= self.most:
            self._begin_anew()
        at = f"{time.monotonic():.6f}"
        data = "".join(f"{at} {line}\n" for line in self.waiting).encode()
        self.waiting.clear()
        self.size += len(data)
        if os.write(self.file, data) < len(data):
            raise OSError(f"{self.path}: the disk is full")

    def _begin_anew(self) -> None:
        """Guards the disk. Whoever follows the file before reads it to its end under its new name."""
        os.close(self.file)
        self.path.replace(self.path.with_name(self.path.name + BEFORE))
        self._open()
        self.waiting.insert(0, f"vouches {'yes' if self.vouches else 'no'}")

    def close(self) -> None:
        """Write no more: nobody applies anything."""
        self.add(Vouches(False))
        self.write()
        os.close(self.file)
