"""Builds the driver of duties from the operators' file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from myrtlecourse.address.setup import read_key
from myrtlecourse.config import ConfigError
from myrtlecourse.duties.command_work import CommandRunner, HoldWork, StepWork
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.duties.memory import MemoryFileError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.peers.peer_socket import Endpoint

if TYPE_CHECKING:
    from myrtlecourse.duties.messages import Settings
    from myrtlecourse.operators import Duties


def peers(table: Duties) -> dict[str, Endpoint]:
    """Return the address on which each member receives messages."""
    return {p.name: parse_address(p.at) for p in table.peers}


def keys(table: Duties) -> tuple[bytes, tuple[bytes, ...]]:
    """Return the key to seal datagrams with, and those that are accepted as well. Raises ConfigError."""
    also = (read_key(Path(file), "duties.also_key_files") for file in table.also_key_files)
    return read_key(Path(table.key_file), "duties.key_file"), tuple(also)


def make_driver(table: Duties, settings: Settings, able: Callable[[], bool]) -> DutyDriver:
    """Return a router's driver; `settings` are those of the table, extended by the duties that it does not
    list.

    Raises:
        ConfigError: a file named in the table can't be used.
    """
    memory = Path(table.memory_file) if table.memory_file is not None else None
    try:
        driver = DutyDriver(settings, peers(table), keys(table), memory, able)
    except MemoryFileError as e:
        # a start without the memory may break promises in it, so only an operator may decide on it
        raise ConfigError(f"duties.memory_file: {e}; remove it to start without the memory") from e
    except ValueError as e:
        raise ConfigError(str(e) if isinstance(e, ConfigError) else f"duties.key_file: {e}") from e
    for each in table.duty:
        runner = CommandRunner(each.name, each.command, each.timeout)
        if each.every is not None:
            driver.works[each.name] = StepWork(driver, each.name, each.every, runner)
        else:
            driver.works[each.name] = HoldWork(driver, each.name, runner)
    return driver
