"""The memory of this process: how much it is, and how the allocator gives it back to the system."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)
STATM = Path("/proc/self/statm")
# parameters of mallopt(3)
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
LARGE_BLOCK = (
    64 * 1024
)  # bytes from which on a block is a mapping of its own, which goes back when it is freed
FREE_AT_TOP = 128 * 1024  # bytes that the heap keeps at its end


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        return int(STATM.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


class Allocator:
    """The memory allocator of the C library, if it is one that can be told to give memory back."""

    def __init__(self) -> None:
        self.set_option: Callable[[int, int], int] | None = None
        self.trim: Callable[[int], int] | None = None
        try:
            # imported here, as it needs memory that may be executed, which a hardened system can refuse
            import ctypes  # noqa: PLC0415

            library = ctypes.CDLL(None)
        except Exception as e:
            log.warning("freed memory is not given back to the system: %r", e)
            return
        self.set_option = getattr(library, "mallopt", None)
        self.trim = getattr(library, "malloc_trim", None)

    def prefer_returning(self) -> None:
        """Have freed memory given back early.

        By default the library raises both thresholds to the largest block that was ever freed, up to 32 MiB,
        and keeps what lies below a block in use.
        """
        if self.set_option is not None:
            self.set_option(M_MMAP_THRESHOLD, LARGE_BLOCK)
            self.set_option(M_TRIM_THRESHOLD, FREE_AT_TOP)
            self.set_option(M_ARENA_MAX, 1)

    def return_freed(self) -> None:
        """Give back all freed pages; takes about a millisecond for 30 MB."""
        if self.trim is not None:
            self.trim(0)
