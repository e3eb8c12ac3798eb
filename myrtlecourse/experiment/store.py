"""Results in an SQLite file: each under the digest of all it depends on, so that nothing is run twice.

A result is there whole or not at all: a run that is killed goes on where it was.
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


OPENINGS = 50
PAUSE = 0.05  # seconds between two


class StoreError(ValueError):
    """A file that holds no results; the message names it."""


class Store:
    """The results of one file."""

    def __init__(self, path: Path, must_exist: bool = False) -> None:
        if must_exist and not path.exists():
            raise StoreError(f"{path}: no such file")
        try:
            self.base = sqlite3.connect(path, isolation_level=None)
            self._prepare()
        except sqlite3.DatabaseError as e:
            raise StoreError(f"{path}: {e}") from e

    def _prepare(self) -> None:
        """Guards against two that open a new file at once: the change to a log ahead does not wait its
        turn."""
        for left in reversed(range(OPENINGS)):
            try:
                # a write is out before the next begins, and a reader sees no half of one
                self.base.execute("pragma journal_mode = wal")
                self.base.execute(SCHEMA)
                return
            except sqlite3.OperationalError:
                if not left:
                    raise
                time.sleep(PAUSE)

    def known(self) -> set[str]:
        """The digests that need not be run."""
        return {row[0] for row in self.base.execute("select digest from results")}

    def add(self, digest: str, point: str, seed: int, figures: dict[str, float]) -> None:
        """Keep a result."""
        text = msgspec.json.encode(figures).decode()
        self.base.execute("insert or replace into results values (?, ?, ?, ?)", (digest, point, seed, text))

    def of(self, digests: Iterable[str]) -> dict[str, dict[str, float]]:
        """Results by digest."""
        wanted = set(digests)
        rows = self.base.execute("select digest, figures from results")
        return {digest: msgspec.json.decode(text) for digest, text in rows if digest in wanted}

    def by_point(self) -> dict[str, dict[int, dict[str, float]]]:
        """The latest results by point and seed."""
        found: dict[str, dict[int, Any]] = {}
        for point, seed, text in self.base.execute("select point, seed, figures from results order by rowid"):
            found.setdefault(point, {})[seed] = msgspec.json.decode(text)
        return found

    def close(self) -> None:
        """Close the file."""
        self.base.close()
