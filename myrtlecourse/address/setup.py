"""Makes a keeper of what the operators' file says."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.keeper import Keeper
from myrtlecourse.address.link import CommandLink, Link, SwitchLink
from myrtlecourse.address.votes import VotesError, read_votes
from myrtlecourse.config import ConfigError
from myrtlecourse.election.messages import Saved
from myrtlecourse.net.pool import parse_address

if TYPE_CHECKING:
    from myrtlecourse.operators import Address

LONGEST_KEY = 1024  # bytes
log = logging.getLogger(__name__)


def read_key(path: Path, field: str = "address.key_file") -> bytes:
    """The common key. Raises ConfigError."""
    try:
        key = path.read_bytes().strip()
    except OSError as e:
        raise ConfigError(f"{field}: {path}: {e.strerror}") from e
    if len(key) > LONGEST_KEY:
        raise ConfigError(f"{field}: {path}: has over {LONGEST_KEY} bytes")
    return key


def keys(table: Address) -> tuple[bytes, tuple[bytes, ...]]:
    """The key to seal with, and those that are taken as well. Raises ConfigError."""
    also = (read_key(Path(file), "address.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file or "")), tuple(also)


def link(table: Address, name: str) -> Link:
    """Where the address is announced, and as whose."""
    if table.switch is not None:
        return SwitchLink(parse_address(table.switch), name, table.link_timeout)
    return CommandLink(table.command, table.link_timeout)


def keeper(
    table: Address,
    able: Callable[[], bool],
    held: Callable[[bool], None],
    emptied: Callable[[], Awaitable[None]],
) -> Keeper:
    """The keeper of an instance.

    Raises:
        ConfigError: a file that is named can't be used.
    """
    votes = Path(table.votes_file) if table.votes_file is not None else None
    saved = Saved()
    if votes is not None:
        try:
            saved = read_votes(votes)
        except VotesError as e:
            # guards against a second vote in a term: staff must say that it may be begun with anew
            raise ConfigError(
                f"address.votes_file: {e}; remove it to begin anew, a lease after the last start"
            ) from e
    peers = {p.name: parse_address(p.at) for p in table.peers}
    key, also = keys(table)
    try:
        return Keeper(
            table.election(),
            peers,
            key,
            link(table, table.name or ""),
            votes,
            saved,
            able,
            held,
            emptied,
            also,
        )
    except ValueError as e:
        raise ConfigError(f"address.key_file: {e}") from e
