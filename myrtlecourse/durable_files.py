"""Atomic, durable replacement of small files."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path


def write_all(descriptor: int, data: bytes) -> None:
    """Write all data; a single `os.write` may write only a part, as on a nearly full disk. Raises OSError."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: readers find the old or the new one, also after a crash. Raises OSError."""
    new = path.with_suffix(".new")
    try:
        _write_to_disk(new, data)
        new.rename(path)
    except OSError:
        with suppress(OSError):
            new.unlink()  # the file may be incomplete
        raise
    sync_folder(path.parent)


def _write_to_disk(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(path: Path) -> None:
    """Flush the entries of a folder to the disk. Raises OSError."""
    folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
