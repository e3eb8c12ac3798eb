"""Makes a keeper of the spread of what the operators' file says."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.setup import read_key
from myrtlecourse.config import ConfigError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.peers.end import Endpoint
from myrtlecourse.spread.keeper import Keeper

if TYPE_CHECKING:
    from myrtlecourse.operators import Spread


def peers(table: Spread) -> dict[str, Endpoint]:
    """Where each member hears the others."""
    return {p.name: parse_address(p.at) for p in table.members()}


def keys(table: Spread) -> tuple[bytes, tuple[bytes, ...]]:
    """The key to seal with, and those that are taken as well. Raises ConfigError."""
    also = (read_key(Path(file), "spread.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file), "spread.key_file"), tuple(also)


def keeper(table: Spread) -> Keeper:
    """The keeper of a process. Raises ConfigError: a file that is named can't be used."""
    applied = Path(table.applied_file) if table.applied_file is not None else None
    folder = Path(table.folder) if table.folder is not None else None
    if folder is not None and not folder.is_dir():
        raise ConfigError(f"spread.folder: {folder} is no folder")
    try:
        return Keeper(table.settings(), peers(table), keys(table), applied, table.applied_bytes, folder)
    except ValueError as e:
        raise ConfigError(str(e) if isinstance(e, ConfigError) else f"spread.key_file: {e}") from e


def own(table: Spread) -> Endpoint:
    """Where this process listens."""
    return parse_address(table.listen) if table.listen is not None else peers(table)[table.name]
