"""The memory file: what a member must remember across a restart, which is its votes and promises, and the
last order that it accepted."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.durable_files import replace_file
from myrtlecourse.duties.messages import MAX_DUTIES, MAX_STATE_LENGTH, STATE_NUMBER_LIMIT, Memory

VERSION = 1
MAX_FILE_BYTES = 64 * 1024
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class MemoryFileError(ValueError):
    """Raised for a memory file that can't be used; the message says why."""


class Row(Struct, forbid_unknown_fields=True):
    """The memory of one duty."""

    term: Number
    voted: str
    promised: Number
    token: Number
    number: Number
    value: Annotated[
        tuple[Annotated[int, Meta(ge=0, lt=STATE_NUMBER_LIMIT)], ...], Meta(max_length=MAX_STATE_LENGTH)
    ]


class File(Struct, forbid_unknown_fields=True):
    """The content of the file."""

    version: int
    sha256: str
    duties: Annotated[dict[str, Row], Meta(max_length=MAX_DUTIES)]


def _digest(duties: dict[str, Row]) -> str:
    return hashlib.sha256(msgspec.json.encode(duties, order="sorted")).hexdigest()


def read_memories(path: Path) -> dict[str, Memory] | None:
    """Return what was stored last, by duty; None if there is no file.

    Raises:
        MemoryFileError: the file is damaged, of another program or of a newer version. A start as if nothing
            had been promised would break the promises in it.
    """
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as e:
        raise MemoryFileError(f"{path}: {e.strerror}") from e
    if len(text) > MAX_FILE_BYTES:
        raise MemoryFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        file = msgspec.json.decode(text, type=File)
    except msgspec.DecodeError as e:
        raise MemoryFileError(f"{path}: damaged, or written by another program: {e}") from e
    if file.version != VERSION:
        raise MemoryFileError(f"{path}: has version {file.version}, but this program supports only {VERSION}")
    if file.sha256 != _digest(file.duties):
        raise MemoryFileError(f"{path}: the checksum does not match")
    return {
        n: Memory(r.term, r.voted, r.promised, r.token, r.number, r.value) for n, r in file.duties.items()
    }


def write_memories(path: Path, memories: dict[str, Memory]) -> None:
    """Store the memories; they are on the disk when this returns, as messages that rely on them are sent
    next.

    Raises OSError.
    """
    rows = {n: Row(m.term, m.voted, m.promised, m.token, m.number, m.value) for n, m in memories.items()}
    replace_file(path, msgspec.json.encode(File(VERSION, _digest(rows), rows)))
