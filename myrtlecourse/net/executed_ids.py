"""The ids of requests that must not be executed twice, remembered past the end of their requests.

A client that leaves may send a request again under its id, on another connection and, during an upgrade, to
the router's other process. Both processes use one table then, in a file of the folder that they share.

The table has a fixed size: an entry is a hash of the id and when it was taken. Of the few places that an id
may have the one taken longest ago is overwritten.
"""

from __future__ import annotations

import hashlib
import logging
import mmap
import os
import struct
from pathlib import Path

REMEMBERED = 30.0  # seconds for which an id is not taken again
ENTRY = struct.Struct("=8sd")  # the hash of an id, and when it was taken on the monotonic clock, in seconds
ENTRIES = 16 * 1024
PLACES = 8  # entries in a row that an id may have
TABLE_SIZE = ENTRIES * ENTRY.size  # bytes
FILE_NAME = "myrtlecourse-ids.table"
log = logging.getLogger(__name__)


class ExecutedIds:
    """The ids that were taken lately, by this process or another one that shares the table."""

    def __init__(self, table: mmap.mmap | None = None) -> None:
        """Use a table, or one of this process alone."""
        self.table = table if table is not None else mmap.mmap(-1, TABLE_SIZE)

    def take(self, request_id: bytes, now: float) -> bool:
        """Remember an id; return False if it was taken before, `REMEMBERED` seconds ago at most.

        Args:
            request_id: the id as the client sent it.
            now: the time on the monotonic clock, which all processes of a machine share.
        """
        digest = hashlib.blake2b(request_id, digest_size=ENTRY.size - 8).digest()
        first = int.from_bytes(digest[:4], "little") % (ENTRIES - PLACES)
        oldest, oldest_at = first, now
        for place in range(first, first + PLACES):
            entry, taken_at = ENTRY.unpack_from(self.table, place * ENTRY.size)
            if entry == digest and 0 <= now - taken_at <= REMEMBERED:
                return False
            if taken_at < oldest_at:
                oldest, oldest_at = place, taken_at
        ENTRY.pack_into(self.table, oldest * ENTRY.size, digest, now)
        return True


def open_shared(folder: Path) -> ExecutedIds:
    """Return the ids that the processes of this router share; those of this process alone on an error."""
    try:
        file = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as e:
        log.error("ids of requests are not shared with another process: %s", e)
        return ExecutedIds()
    try:
        os.ftruncate(file, TABLE_SIZE)
        return ExecutedIds(mmap.mmap(file, TABLE_SIZE))
    except (OSError, ValueError) as e:
        log.error("ids of requests are not shared with another process: %s", e)
        return ExecutedIds()
    finally:
        os.close(file)
