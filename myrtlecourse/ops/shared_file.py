"""Writes a small file in the folder that the processes of a router share, without holding up requests."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

log = logging.getLogger(__name__)


class SharedFile:
    """A file that is replaced as a whole after changes; does nothing without a folder."""

    def __init__(
        self, folder: Path | None, name: str, delay: float, prepare: Callable[[], Callable[[], bytes] | None]
    ) -> None:
        """Create the file's writer, which writes nothing yet.

        Args:
            folder: the shared folder, if there is one.
            name: the file's name in it.
            delay: seconds in which further changes join a write.
            prepare: takes a snapshot and returns a function that encodes it, which runs in a thread; None if
                there is nothing to write now.
        """
        self.path = folder / name if folder is not None else None
        self.delay = delay
        self.prepare = prepare
        self.timer: asyncio.TimerHandle | None = None
        self.write: asyncio.Future[None] | None = None  # the latest write

    def read(self, max_size: int) -> bytes | None:
        """Return the content that was written last, by any process; None without one.

        Raises:
            OSError: the file can't be read.
            ValueError: the file is larger than `max_size` bytes.
        """
        if self.path is None:
            return None
        try:
            if self.path.stat().st_size > max_size:
                raise ValueError("the file is too large")
            return self.path.read_bytes()
        except FileNotFoundError:
            return None

    def save_soon(self) -> None:
        """Write the file after `delay` seconds, with all changes until then."""
        if self.path is not None and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(self.delay, self._save, self.path)

    def _save(self, path: Path) -> None:
        self.timer = None
        if self.write is not None and not self.write.done():
            self.save_soon()  # two writes at a time would spoil each other's file
            return
        encode = self.prepare()
        if encode is not None:
            # a disk that takes long must not hold up requests
            self.write = asyncio.get_running_loop().run_in_executor(None, replace, path, encode)

    def close(self) -> None:
        """Write no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def replace(path: Path, encode: Callable[[], bytes]) -> None:
    """Replace a file atomically; a failure is logged, as only the next process would need the file."""
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        temporary.write_bytes(encode())
        temporary.rename(path)
    except OSError as e:
        log.error("%s can't be written: %s", path, e)
        with suppress(OSError):
            temporary.unlink(missing_ok=True)
