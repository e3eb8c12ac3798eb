"""Where the processes of an upgrade keep orders: one checked file, replaced as a whole under a lock.

A torn, foreign or newer file is a logged line and a start without orders. `docs/design/service.md` weighs
this against a socket between the two.
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
MAX_FILE = 1024 * 1024
LOCK_TRIES = 25  # at most so often, each after LOCK_PAUSE: a stopped process must not hold up a call
LOCK_PAUSE = 0.01  # seconds
log = logging.getLogger(__name__)


class OrderStore:
    """Orders in a folder, or in memory alone when there is none."""

    def __init__(self, folder: Path | None) -> None:
        self.path = folder / "myrtlecourse-orders.json" if folder is not None else None
        self.orders = Orders()
        self.stamp: tuple[int, int, int] | None = None  # of the file as last read

    def refresh(self) -> bool:
        """Read what another process may have written; whether there was anything new."""
        if self.path is None:
            return False
        try:
            found = os.stat(self.path)
            stamp = (found.st_ino, found.st_mtime_ns, found.st_size)
            if stamp == self.stamp:
                return False
            self.stamp = stamp
            if found.st_size > MAX_FILE:
                raise OrdersError(f"it has {found.st_size} bytes")
            orders = self._read(self.path.read_bytes())
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as e:
            log.error("orders in %s can't be used, those held stay: %s", self.path, e)
            return False
        if orders.revision <= self.orders.revision:
            return False
        self.orders = orders
        return True

    @staticmethod
    def _read(text: bytes) -> Orders:
        message = orjson.loads(text)
        if not isinstance(message, dict) or message.get("version") != VERSION:
            raise OrdersError("it is of another version or program")
        table = message.get("orders")
        if message.get("sha256") != _digest(table):
            raise OrdersError("its checksum does not fit")
        return from_table(table)

    async def change(self, how: Callable[[Orders], Orders]) -> None:
        """Change orders together with what another process may just have written.

        Raises:
            OrdersError: they can't be changed so, or can't be kept; then they stay as they were.
        """
        if self.path is None:
            self.orders = how(self.orders)
            return
        try:
            lock = os.open(self.path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise OrdersError(f"orders can't be kept: {e}") from e
        try:
            try:
                await self._lock(lock)
            except OSError as e:  # ENOLCK, EIO
                log.warning("orders are written without the lock: %s", e)
            self.refresh()
            orders = how(self.orders)
            if orders is not self.orders:
                self._write(self.path, orders)
                self.orders = orders
        finally:
            os.close(lock)

    @staticmethod
    async def _lock(lock: int) -> None:
        for _ in range(LOCK_TRIES):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except BlockingIOError:
                await asyncio.sleep(LOCK_PAUSE)
        log.warning("orders are written without the lock: another process has held it for too long")

    def _write(self, path: Path, orders: Orders) -> None:
        table = to_table(orders)
        text = orjson.dumps({"version": VERSION, "sha256": _digest(table), "orders": table})
        new = path.with_suffix(f".{os.getpid()}")
        try:
            new.write_bytes(text)
            new.rename(path)  # a reader sees the old file or the new one, whole
        except OSError as e:
            with suppress(OSError):
                new.unlink(missing_ok=True)  # half written, perhaps
            raise OrdersError(f"orders can't be kept: {e}") from e


def _digest(table: object) -> str:
    return hashlib.sha256(orjson.dumps(table, option=orjson.OPT_SORT_KEYS)).hexdigest()
