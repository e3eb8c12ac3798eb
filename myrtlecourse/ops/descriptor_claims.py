"""Which processes of one router live, and how they share its descriptors while there are two.

Each holds a lock on a file of its own for as long as it lives, so that its death needs no word; in the file
stands how many descriptors it may hold. The newest takes what the older ones leave.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

FILE_SUFFIX = ".alive"
SPARE_DESCRIPTORS = 8  # descriptors that an older process may still open beyond what it holds
MIN_DESCRIPTORS = 64  # that the newest may hold whatever the others claim
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Claim:
    """What another process that lives may hold."""

    started_ns: int  # nanoseconds on the machine's monotonic clock, which no step of the wall clock moves
    descriptors: int


def descriptor_share(total: int, used: int, ending: bool, own_start: int, others: list[Claim]) -> int:
    """Descriptors that this process may hold, of `total` for all, of which it holds `used`.

    An older process keeps what it has, and half at least while it serves; the newest gets the rest. Claims
    of older ones fall as they end, so that both together stay within the total.
    """
    if not others:
        return total
    if any(each.started_ns > own_start for each in others):
        return min(total, used + SPARE_DESCRIPTORS if ending else max(used + SPARE_DESCRIPTORS, total // 2))
    return max(MIN_DESCRIPTORS, total - sum(each.descriptors for each in others))


class DescriptorClaims:
    """This process among those of its router."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError when the folder can't be written."""
        self.started_ns = time.monotonic_ns()
        self.folder = folder
        self.path = folder / f"myrtlecourse-{self.started_ns}-{os.getpid()}{FILE_SUFFIX}"
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def claim(self, descriptors: int) -> None:
        """Tell the others what this process may hold."""
        os.pwrite(self.file, b"%8d" % descriptors, 0)  # of one length, so that it is never read half old

    def others(self) -> list[Claim]:
        """Those that live; files of those that don't are cleared away."""
        found = []
        for path in self.folder.glob(f"myrtlecourse-*{FILE_SUFFIX}"):
            if path != self.path and (claim := self._look(path)) is not None:
                found.append(claim)
        return found

    @staticmethod
    def _look(path: Path) -> Claim | None:
        try:
            other = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None  # it has just ended
        try:
            fcntl.flock(other, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            born, text = path.name.split("-")[1], os.pread(other, 8, 0).strip()
            return Claim(int(born) if born.isdigit() else 0, int(text) if text.isdigit() else 0)
        else:
            path.unlink(missing_ok=True)
            return None
        finally:
            os.close(other)

    def release(self) -> None:
        """This process is over."""
        self.path.unlink(missing_ok=True)
        os.close(self.file)
