"""The ids that discovery has listed, and the file that hands them to the next process at an upgrade.

Operators may call for a server that has left the list. Discovery names it no longer, so that a process
started since can only know it from the process before.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import orjson

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
        self.path = folder / "myrtlecourse-listed.json" if folder is not None else None
        self.listed = listed
        self.timer: asyncio.TimerHandle | None = None
        self.write: asyncio.Future[None] | None = None  # the latest write

    def load(self) -> None:
        """Record the ids that the process before has written, as listed before all others."""
        if self.path is None:
            return
        try:
            if self.path.stat().st_size > MAX_FILE_SIZE:
                raise ValueError("the file is too large")
            ids = self._read(self.path.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, ValueError) as e:
            log.error("listed ids in %s can't be used: %s", self.path, e)
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
        if self.path is not None and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(SAVE_DELAY, self._save, self.path)

    def _save(self, path: Path) -> None:
        self.timer = None
        if self.write is not None and not self.write.done():
            self.save_soon()  # two writes at a time would spoil each other's file
            return
        text = orjson.dumps({"version": VERSION, "listed": self.listed.cache_by_id})
        # A disk that takes long must not hold up requests.
        self.write = asyncio.get_running_loop().run_in_executor(None, replace_listed, path, text)

    def close(self) -> None:
        """Write no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def replace_listed(path: Path, text: bytes) -> None:
    """Replace the file atomically; a failure is logged, as the ids only serve calls after an upgrade."""
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        temporary.write_bytes(text)
        temporary.rename(path)
    except OSError as e:
        log.error("listed ids can't be written: %s", e)
        with suppress(OSError):
            temporary.unlink(missing_ok=True)
