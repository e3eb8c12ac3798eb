"""Stores operators' orders in a file that all processes of an upgrade share, replaced atomically.

A file that is incomplete, of another program or of a newer version is reported in the log and ignored.
`docs/design/service.md` compares this with a socket between the processes.
"""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import logging
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson

from myrtlecourse.ops.orders import Orders, OrdersError, from_table, to_table

VERSION = 1
MAX_FILE_SIZE = 1024 * 1024  # bytes
LOCK_ATTEMPTS = 25  # a limit, so that a stopped process that holds the lock can't block a call
LOCK_PAUSE = 0.01  # seconds between attempts
log = logging.getLogger(__name__)


class OrderStore:
    """The latest orders, stored in a folder; without one they are only kept in memory."""

    def __init__(self, folder: Path | None) -> None:
        self.path = folder / "myrtlecourse-orders.json" if folder is not None else None
        self.orders = Orders()
        # inode, modification time and size of the file when it was last read
        self.file_state: tuple[int, int, int] | None = None

    def refresh(self) -> bool:
        """Read orders that another process may have written; return whether there was a newer revision."""
        if self.path is None:
            return False
        try:
            info = os.stat(self.path)
            state = (info.st_ino, info.st_mtime_ns, info.st_size)
            if state == self.file_state:
                return False
            self.file_state = state
            if info.st_size > MAX_FILE_SIZE:
                raise OrdersError(f"the file is too large: {info.st_size} bytes")
            orders = self._read(self.path.read_bytes())
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as e:
            log.error("orders in %s can't be used, the current ones stay in force: %s", self.path, e)
            return False
        if orders.revision <= self.orders.revision:
            return False
        self.orders = orders
        return True

    @staticmethod
    def _read(text: bytes) -> Orders:
        content = orjson.loads(text)
        if not isinstance(content, dict) or content.get("version") != VERSION:
            raise OrdersError("it was written by another version or program")
        table = content.get("orders")
        if content.get("sha256") != _digest(table):
            raise OrdersError("its checksum is wrong")
        return from_table(table)

    async def change(self, update: Callable[[Orders], Orders]) -> None:
        """Replace the latest orders, which another process may just have written, by an update of them.

        Raises:
            OrdersError: the update is refused or can't be stored; the orders stay unchanged.
        """
        if self.path is None:
            self.orders = update(self.orders)
            return
        try:
            lock = os.open(self.path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise OrdersError(f"orders can't be stored: {e}") from e
        try:
            try:
                await self._lock(lock)
            except OSError as e:  # ENOLCK, EIO
                log.warning("orders are written without the lock: %s", e)
            self.refresh()
            orders = update(self.orders)
            if orders is not self.orders:
                self._write(self.path, orders)
                self.orders = orders
        finally:
            os.close(lock)

    @staticmethod
    async def _lock(lock: int) -> None:
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except BlockingIOError:
                await asyncio.sleep(LOCK_PAUSE)
        log.warning("orders are written without the lock: another process holds it for too long")

    def _write(self, path: Path, orders: Orders) -> None:
        table = to_table(orders)
        text = orjson.dumps({"version": VERSION, "sha256": _digest(table), "orders": table})
        temporary = path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(text)
            temporary.rename(path)  # atomic: a reader gets the old file or the new one
        except OSError as e:
            with suppress(OSError):
                temporary.unlink(missing_ok=True)  # the file may be incomplete
            raise OrdersError(f"orders can't be stored: {e}") from e


def _digest(table: object) -> str:
    return hashlib.sha256(orjson.dumps(table, option=orjson.OPT_SORT_KEYS)).hexdigest()
