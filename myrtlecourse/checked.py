"""Small files that must be whole or absent: replaced at once, and on the disk before the writer goes on."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Write a file anew; whoever reads it finds the old or the new one, after a crash too. Raises OSError."""
    new = path.with_suffix(".new")
    descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        os.write(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    new.rename(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder)  # the name, too
    finally:
        os.close(folder)
