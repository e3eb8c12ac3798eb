"""What must outlive a restart of a member: its votes and promises, and the last order that it took."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.checked import replace_file
from myrtlecourse.duties.messages import LARGEST, MOST_DUTIES, MOST_VALUES, Memory

VERSION = 1
LONGEST = 64 * 1024  # bytes of the file
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class RememberError(ValueError):
    """A file that can't be used; the message says why."""


class Row(Struct, forbid_unknown_fields=True):
    """One duty's."""

    term: Number
    voted: str
    promised: Number
    token: Number
    number: Number
    value: Annotated[tuple[Annotated[int, Meta(ge=0, lt=LARGEST)], ...], Meta(max_length=MOST_VALUES)]


class File(Struct, forbid_unknown_fields=True):
    """The whole of it."""

    version: int
    sha256: str
    duties: Annotated[dict[str, Row], Meta(max_length=MOST_DUTIES)]


def _digest(duties: dict[str, Row]) -> str:
    return hashlib.sha256(msgspec.json.encode(duties, order="sorted")).hexdigest()


def read_memories(path: Path) -> dict[str, Memory] | None:
    """What was written last; None when there is no file.

    Raises:
        RememberError: it is torn, foreign or newer. To go on as if nothing had been promised would break it.
    """
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as e:
        raise RememberError(f"{path}: {e.strerror}") from e
    if len(text) > LONGEST:
        raise RememberError(f"{path}: longer than {LONGEST} bytes")
    try:
        file = msgspec.json.decode(text, type=File)
    except msgspec.DecodeError as e:
        raise RememberError(f"{path}: torn, or of another program: {e}") from e
    if file.version != VERSION:
        raise RememberError(f"{path}: of version {file.version}, this program knows {VERSION}")
    if file.sha256 != _digest(file.duties):
        raise RememberError(f"{path}: its checksum does not fit")
    return {
        n: Memory(r.term, r.voted, r.promised, r.token, r.number, r.value) for n, r in file.duties.items()
    }


def write_memories(path: Path, memories: dict[str, Memory]) -> None:
    """Write it down, on the disk before this returns: the words that rest on it go out next. Raises
    OSError."""
    rows = {n: Row(m.term, m.voted, m.promised, m.token, m.number, m.value) for n, m in memories.items()}
    replace_file(path, msgspec.json.encode(File(VERSION, _digest(rows), rows)))
