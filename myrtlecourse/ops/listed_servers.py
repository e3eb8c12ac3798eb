"""The ids that discovery has listed, and the file that hands them to the next process at an upgrade.

Operators may call for a server that has left the list. Discovery names it no longer, so that a process
started since can only know it from the process before.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from pathlib import Path

import orjson

from myrtlecourse.ops.shared_file import SharedFile

# ids that are remembered, more than a list of `discovery.MAX_LIST` bytes names; beyond that, those listed
# longest ago are forgotten
MAX_LISTED = 32 * 1024
MAX_FILE_SIZE = 4 * 1024 * 1024  # bytes
VERSION = 1
SAVE_DELAY = 0.5  # seconds in which further new ids join a write
log = logging.getLogger(__name__)


class ListedServers:
    """The ids that discovery has listed, to refuse calls for servers that the fleet does not have."""

    def __init__(self) -> None:
        # id -> whether it is a cache server; the one listed last comes last
        self.cache_by_id: dict[str, bool] = {}

    def record(self, listed: Iterable[tuple[str, bool]]) -> bool:
        """Record listed ids with whether each is a cache server; return whether one is new.

        The number is bounded, as a fleet whose servers are replaced lists new ids all the time.
        """
        is_new = False
        for name, is_cache in listed:
            is_new = self.cache_by_id.pop(name, None) is not is_cache or is_new
            self.cache_by_id[name] = is_cache
        while len(self.cache_by_id) > MAX_LISTED:
            del self.cache_by_id[next(iter(self.cache_by_id))]
        return is_new

    def refusal_reason(self, name: str) -> str:
        """Return why a call for an id is refused, or an empty text if it is accepted."""
        if name not in self.cache_by_id:
            return "discovery has not listed this id"
        return "" if self.cache_by_id[name] else "this is the origin, not a cache server"


class ListedServersFile:
    """Keeps listed ids in a folder that the processes of a router share; does nothing without one."""

    def __init__(self, folder: Path | None, listed: ListedServers) -> None:
        self.listed = listed
        self.file = SharedFile(folder, "myrtlecourse-listed.json", SAVE_DELAY, self._prepare)

    def _prepare(self) -> Callable[[], bytes]:
        text = orjson.dumps({"version": VERSION, "listed": self.listed.cache_by_id})
        return lambda: text

    def load(self) -> None:
        """Record the ids that the process before has written, as listed before all others."""
        try:
            text = self.file.read(MAX_FILE_SIZE)
            ids = self._read(text) if text is not None else []
        except (OSError, ValueError) as e:
            log.error("listed ids in %s can't be used: %s", self.file.path, e)
            return
        self.listed.record(ids)

    @staticmethod
    def _read(text: bytes) -> list[tuple[str, bool]]:
        content = orjson.loads(text)
        if not isinstance(content, dict) or content.get("version") != VERSION:
            raise ValueError("it was written by another version or program")
        listed = content.get("listed")
        if not isinstance(listed, dict) or not all(
            isinstance(is_cache, bool) for is_cache in listed.values()
        ):
            raise ValueError("listed must say of each id whether it is a cache server")
        return list(listed.items())

    def save_soon(self) -> None:
        """Write the ids after a short time, together with others that are listed until then."""
        self.file.save_soon()

    def close(self) -> None:
        """Write no more."""
        self.file.close()
