"""Creates the driver from the `spread` table of the operators' file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.setup import read_key
from myrtlecourse.config import ConfigError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.peers.peer_socket import Endpoint
from myrtlecourse.spread.driver import Driver

if TYPE_CHECKING:
    from myrtlecourse.operators import Spread


def peer_addresses(table: Spread) -> dict[str, Endpoint]:
    """Return the address of each member."""
    return {p.name: parse_address(p.at) for p in table.members()}


def read_keys(table: Spread) -> tuple[bytes, tuple[bytes, ...]]:
    """Return the key to seal with and further keys that are accepted. Raises ConfigError."""
    further = (read_key(Path(file), "spread.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file), "spread.key_file"), tuple(further)


def make_driver(table: Spread) -> Driver:
    """Create the driver of this process. Raises ConfigError when a file that the table names can't be
    used."""
    applied = Path(table.applied_file) if table.applied_file is not None else None
    folder = Path(table.folder) if table.folder is not None else None
    if folder is not None and not folder.is_dir():
        raise ConfigError(f"spread.folder: {folder} is no folder")
    try:
        return Driver(
            table.settings(), peer_addresses(table), read_keys(table), applied, table.applied_bytes, folder
        )
    except ValueError as e:
        raise ConfigError(str(e) if isinstance(e, ConfigError) else f"spread.key_file: {e}") from e


def listen_address(table: Spread) -> Endpoint:
    """Return the address to listen on."""
    return parse_address(table.listen) if table.listen is not None else peer_addresses(table)[table.name]
