"""Results in an SQLite file, each under the digest of all that it depends on, so that no run is repeated.

A result is stored entirely or not at all, so an experiment that was killed continues where it stopped.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

SCHEMA = """
create table if not exists results (
    digest text primary key,
    point text not null,
    seed integer not null,
    figures text not null
)
"""


OPEN_ATTEMPTS = 50
OPEN_PAUSE = 0.05  # seconds between two attempts


class StoreError(ValueError):
    """A file that is not a store of results; the message names it."""


class Store:
    """The results in one file."""

    def __init__(self, path: Path, must_exist: bool = False) -> None:
        if must_exist and not path.exists():
            raise StoreError(f"{path}: no such file")
        try:
            self.connection = sqlite3.connect(path, isolation_level=None)
            self._prepare()
        except sqlite3.DatabaseError as e:
            raise StoreError(f"{path}: {e}") from e

    def _prepare(self) -> None:
        """Create the table; retry, as two processes may open a new file at once.

        SQLite does not wait for a lock when it changes the journal to a write-ahead log.
        """
        for attempts_left in reversed(range(OPEN_ATTEMPTS)):
            try:
                # each write is stored before the next begins, and readers see no partial ones
                self.connection.execute("pragma journal_mode = wal")
                self.connection.execute(SCHEMA)
                return
            except sqlite3.OperationalError:
                if not attempts_left:
                    raise
                time.sleep(OPEN_PAUSE)

    def known_digests(self) -> set[str]:
        """Return the digests of all runs that have a result."""
        return {row[0] for row in self.connection.execute("select digest from results")}

    def add(self, digest: str, point: str, seed: int, figures: dict[str, float]) -> None:
        """Store a result."""
        text = msgspec.json.encode(figures).decode()
        self.connection.execute(
            "insert or replace into results values (?, ?, ?, ?)", (digest, point, seed, text)
        )

    def by_digest(self, digests: Iterable[str]) -> dict[str, dict[str, float]]:
        """Return the results with the given digests."""
        wanted = set(digests)
        rows = self.connection.execute("select digest, figures from results")
        return {digest: msgspec.json.decode(text) for digest, text in rows if digest in wanted}

    def by_point(self) -> dict[str, dict[int, dict[str, float]]]:
        """Return the latest results by point and seed."""
        found: dict[str, dict[int, Any]] = {}
        for point, seed, text in self.connection.execute(
            "select point, seed, figures from results order by rowid"
        ):
            found.setdefault(point, {})[seed] = msgspec.json.decode(text)
        return found

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
