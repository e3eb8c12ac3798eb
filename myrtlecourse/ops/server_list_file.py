"""Hands the list of servers to the next process of the router at an upgrade.

Without discovery the next process knows no other: the list in the configuration may name servers that drain
or have ended, and does not name the ones that have started since.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import orjson

from myrtlecourse.net.discovery import MAX_LIST, ListError, member_entry, read_list
from myrtlecourse.net.members import Member
from myrtlecourse.ops.shared_file import SharedFile

VERSION = 1
SAVE_DELAY = 0.2  # seconds in which further changes join a write
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ServerListRecord:
    """The list of servers as a process was told it last."""

    discovery: str  # the address of the discovery service that it is from
    index: int  # discovery's index of the list
    members: tuple[Member, ...]

    def encode(self) -> bytes:
        """Return the content of the file."""
        endpoints = [member_entry(m) for m in self.members]
        content = {"index": self.index, "snapshot": True, "endpoints": endpoints}
        return orjson.dumps({"version": VERSION, "discovery": self.discovery, "list": content})


def decode(text: bytes) -> ServerListRecord:
    """Return the record in a file. Raises ValueError if it is damaged or of another version."""
    content = orjson.loads(text)
    if not isinstance(content, dict) or content.get("version") != VERSION:
        raise ValueError("it was written by another version or program")
    discovery = content.get("discovery")
    if not isinstance(discovery, str):
        raise ValueError("discovery is missing")
    index, is_full, members = read_list(content.get("list"), "list")
    if not is_full:
        raise ListError("list.snapshot must be true")
    return ServerListRecord(discovery, index, tuple(members))


class ServerListFile:
    """Keeps the list in a folder that the processes of a router share; does nothing without one."""

    def __init__(self, folder: Path | None, current: Callable[[], ServerListRecord | None]) -> None:
        """`current` returns what this process was told last; None while that is incomplete."""
        self.current = current
        self.file = SharedFile(folder, "myrtlecourse-servers.json", SAVE_DELAY, self._prepare)

    def _prepare(self) -> Callable[[], bytes] | None:
        record = self.current()
        if record is None:
            self.file.save_soon()
            return None
        return record.encode

    def load(self, discovery: str, index: int) -> ServerListRecord | None:
        """Return the list that the process before was told, if it is newer than the list with this index.

        A list of another discovery service is not used, as its index can't be compared. One that can't be
        used is logged.
        """
        try:
            text = self.file.read(MAX_LIST)
            record = decode(text) if text is not None else None
        except (OSError, ValueError) as e:
            log.error("the list of servers in %s can't be used: %s", self.file.path, e)
            return None
        if record is None or record.discovery != discovery or record.index <= index:
            return None
        return record

    def save_soon(self) -> None:
        """Write the list after a short time, with all changes until then."""
        self.file.save_soon()

    def close(self) -> None:
        """Write no more."""
        self.file.close()
