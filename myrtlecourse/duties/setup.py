"""Makes a keeper of duties of what the operators' file says."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.setup import read_key
from myrtlecourse.config import ConfigError
from myrtlecourse.duties.keeper import Keeper
from myrtlecourse.duties.memory import RememberError, read_memories
from myrtlecourse.duties.work import Commands, HoldWork, StepWork
from myrtlecourse.net.pool import parse_address
from myrtlecourse.peers.end import Endpoint

if TYPE_CHECKING:
    from myrtlecourse.duties.messages import Settings
    from myrtlecourse.operators import Duties


def peers(table: Duties) -> dict[str, Endpoint]:
    """Where each member hears the others."""
    return {p.name: parse_address(p.at) for p in table.peers}


def keys(table: Duties) -> tuple[bytes, tuple[bytes, ...]]:
    """The key to seal with, and those that are taken as well. Raises ConfigError."""
    also = (read_key(Path(file), "duties.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file), "duties.key_file"), tuple(also)


def keeper(table: Duties, settings: Settings, able: Callable[[], bool]) -> Keeper:
    """The keeper of a router; the settings are the table's, with what else is a duty.

    Raises:
        ConfigError: a file that is named can't be used.
    """
    memory = Path(table.memory_file) if table.memory_file is not None else None
    try:
        saved = read_memories(memory) if memory is not None else None
    except RememberError as e:
        # guards what was promised: staff must say that it may be begun with anew
        raise ConfigError(f"duties.memory_file: {e}; remove it to begin anew") from e
    try:
        made = Keeper(settings, peers(table), keys(table), memory, saved, able)
    except ValueError as e:
        raise ConfigError(str(e) if isinstance(e, ConfigError) else f"duties.key_file: {e}") from e
    for each in table.duty:
        commands = Commands(each.name, each.command, each.timeout)
        if each.every is not None:
            made.works[each.name] = StepWork(made, each.name, each.every, commands)
        else:
            made.works[each.name] = HoldWork(made, each.name, commands)
    return made
