"""Builds the driver of the service address from the operators' file."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.driver import AddressDriver
from myrtlecourse.address.link import CommandLink, Link, SwitchLink
from myrtlecourse.address.votes import VotesError
from myrtlecourse.config import ConfigError
from myrtlecourse.net.pool import parse_address

if TYPE_CHECKING:
    from myrtlecourse.operators import Address

MAX_KEY_SIZE = 1024  # bytes
log = logging.getLogger(__name__)


def read_key(path: Path, field: str = "address.key_file") -> bytes:
    """Return the key in a file; `field` names the file in errors. Raises ConfigError."""
    try:
        key = path.read_bytes().strip()
    except OSError as e:
        raise ConfigError(f"{field}: {path}: {e.strerror}") from e
    if len(key) > MAX_KEY_SIZE:
        raise ConfigError(f"{field}: {path}: a key has at most {MAX_KEY_SIZE} bytes")
    return key


def read_keys(table: Address) -> tuple[bytes, tuple[bytes, ...]]:
    """Return the key that seals datagrams, and the further keys that are accepted. Raises ConfigError."""
    further = (read_key(Path(file), "address.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file or "")), tuple(further)


def make_link(table: Address, name: str) -> Link:
    """Return the link that announces the address on behalf of the router `name`."""
    if table.switch is not None:
        return SwitchLink(parse_address(table.switch), name, table.link_timeout)
    return CommandLink(table.command, table.link_timeout)


def make_driver(
    table: Address,
    able: Callable[[], bool],
    on_change: Callable[[bool], None],
    wait_until_drained: Callable[[], Awaitable[None]],
) -> AddressDriver:
    """Return the driver of this router's election; see `AddressDriver` for the callbacks.

    Raises:
        ConfigError: a file named in the table can't be used.
    """
    votes_file = Path(table.votes_file) if table.votes_file is not None else None
    peers = {p.name: parse_address(p.at) for p in table.peers}
    key, further_keys = read_keys(table)
    try:
        return AddressDriver(
            table.election_settings(),
            peers,
            key,
            make_link(table, table.name or ""),
            votes_file,
            able,
            on_change,
            wait_until_drained,
            further_keys,
        )
    except VotesError as e:
        # without the file this router could vote twice in a term, so only an operator may remove it
        raise ConfigError(
            f"address.votes_file: {e}; remove it to start without it, a lease's time after the last start"
        ) from e
    except ValueError as e:
        raise ConfigError(f"address.key_file: {e}") from e
