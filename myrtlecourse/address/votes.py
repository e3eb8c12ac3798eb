"""The little that must outlive a restart: the term, and who was voted for in it."""

from __future__ import annotations

import hashlib
from pathlib import Path

import orjson

from myrtlecourse.checked import replace_file
from myrtlecourse.election.messages import Saved

VERSION = 1
LONGEST = 4096  # bytes of the file


class VotesError(ValueError):
    """A file that can't be used; the message says why."""


def _digest(term: int, voted: str) -> str:
    return hashlib.sha256(f"{VERSION} {term} {voted}".encode()).hexdigest()


def read_votes(path: Path) -> Saved:
    """What was written last; nothing when there is no file.

    Raises:
        VotesError: it is torn, foreign or newer. To go on as if nothing had been voted would vote twice.
    """
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        return Saved()
    except OSError as e:
        raise VotesError(f"{path}: {e.strerror}") from e
    try:
        table = orjson.loads(text) if len(text) <= LONGEST else None
    except ValueError:
        table = None
    if not isinstance(table, dict) or table.get("version") != VERSION:
        raise VotesError(f"{path}: torn, or of another version or program")
    term, voted = table.get("term"), table.get("voted")
    if type(term) is not int or not isinstance(voted, str) or table.get("sha256") != _digest(term, voted):
        raise VotesError(f"{path}: its checksum does not fit")
    return Saved(term, voted)


def write_votes(path: Path, saved: Saved) -> None:
    """Write it down, on the disk before this returns: the vote goes out next. Raises OSError."""
    table = {"version": VERSION, "term": saved.term, "voted": saved.voted}
    replace_file(path, orjson.dumps(table | {"sha256": _digest(saved.term, saved.voted)}))
