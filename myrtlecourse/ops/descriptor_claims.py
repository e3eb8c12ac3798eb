"""Divides a router's descriptors among its processes, of which there are two during an upgrade.

Each process has a file with the number of descriptors that it claims, and holds a lock on it while it runs.
The kernel releases the lock even if the process is killed, which ends its claim. The newest process gets the
descriptors that the older ones don't claim.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

FILE_SUFFIX = ".alive"
SPARE_DESCRIPTORS = 8  # descriptors that an older process may still open in addition to those it holds
MIN_DESCRIPTORS = 64  # descriptors of the newest process, whatever the others claim
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Claim:
    """The claim of another running process."""

    started_ns: int  # on the monotonic clock, so that a step of the wall clock can't change the order
    descriptors: int


def descriptor_share(total: int, used: int, ending: bool, own_start: int, others: list[Claim]) -> int:
    """Return how many of `total` descriptors this process may hold; it holds `used` of them now.

    An older process keeps those that it uses, and at least half of all until it ends; the newest process gets
    the rest. The claim of an older process falls as it ends, so the claims together stay within the total.
    """
    if not others:
        return total
    if any(each.started_ns > own_start for each in others):
        return min(total, used + SPARE_DESCRIPTORS if ending else max(used + SPARE_DESCRIPTORS, total // 2))
    return max(MIN_DESCRIPTORS, total - sum(each.descriptors for each in others))


class DescriptorClaims:
    """The claim of this process, and access to those of the router's other processes."""

    def __init__(self, folder: Path) -> None:
        """Create and locks the file of this process. Raises OSError."""
        self.started_ns = time.monotonic_ns()
        self.folder = folder
        self.path = folder / f"myrtlecourse-{self.started_ns}-{os.getpid()}{FILE_SUFFIX}"
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def claim(self, descriptors: int) -> None:
        """Write the claim of this process. Raises OSError."""
        os.pwrite(self.file, b"%8d" % descriptors, 0)  # fixed length: readers get no mixture of two numbers

    def others(self) -> list[Claim]:
        """Return the claims of other running processes, and delete the files of those that have ended.

        Raises OSError.
        """
        claims = []
        for path in self.folder.glob(f"myrtlecourse-*{FILE_SUFFIX}"):
            if path != self.path and (claim := self._read(path)) is not None:
                claims.append(claim)
        return claims

    @staticmethod
    def _read(path: Path) -> Claim | None:
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None  # the process has just ended
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            started, text = path.name.split("-")[1], os.pread(file, 8, 0).strip()
            return Claim(int(started) if started.isdigit() else 0, int(text) if text.isdigit() else 0)
        else:
            path.unlink(missing_ok=True)
            return None
        finally:
            os.close(file)

    def release(self) -> None:
        """Delete the file of this process, which ends its claim. Raises OSError."""
        self.path.unlink(missing_ok=True)
        os.close(self.file)
