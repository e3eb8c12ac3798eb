"""Stores what a router must not forget at a restart: the election's term, and its vote in this term."""

from __future__ import annotations

import hashlib
from pathlib import Path

import orjson

from myrtlecourse.durable_files import replace_file
from myrtlecourse.election.messages import Saved

VERSION = 1
MAX_FILE_SIZE = 4096  # bytes


class VotesError(ValueError):
    """A votes file that can't be used; the message says why."""


def _digest(term: int, voted: str) -> str:
    return hashlib.sha256(f"{VERSION} {term} {voted}".encode()).hexdigest()


def read_votes(path: Path) -> Saved:
    """Return the term and vote that were written last; the initial ones if there is no file.

    Raises:
        VotesError: the file is incomplete, or of another program or version. A router that ignored this could
            vote twice in a term.
    """
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        return Saved()
    except OSError as e:
        raise VotesError(f"{path}: {e.strerror}") from e
    try:
        table = orjson.loads(text) if len(text) <= MAX_FILE_SIZE else None
    except ValueError:
        table = None
    if not isinstance(table, dict) or table.get("version") != VERSION:
        raise VotesError(f"{path}: incomplete, or of another version or program")
    term, voted = table.get("term"), table.get("voted")
    if type(term) is not int or not isinstance(voted, str) or table.get("sha256") != _digest(term, voted):
        raise VotesError(f"{path}: its checksum is wrong")
    return Saved(term, voted)


def write_votes(path: Path, saved: Saved) -> None:
    """Write the term and vote durably, before the vote may be sent. Raises OSError."""
    table = {"version": VERSION, "term": saved.term, "voted": saved.voted}
    replace_file(path, orjson.dumps(table | {"sha256": _digest(saved.term, saved.voted)}))
