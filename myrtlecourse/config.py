"""Reads and checks the configuration that the platform gives a router, at the start and at each reload."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from myrtlecourse import interface as api
from myrtlecourse.net.command import MAX_BUFFERED_ANSWER
from myrtlecourse.net.discovery import ListError, read_header, read_list, read_list_in_steps
from myrtlecourse.net.members import Member
from myrtlecourse.net.pool import MAX_STREAMED_ANSWER, parse_address
from myrtlecourse.settings import number, read_settings, rows, section

DEFAULT_MEMORY = 80  # MB, if the configuration gives no limit
POSITIVE_FIELDS = (
    "giveUp",
    "aim",
)  # seconds in a row of `classes`; with 0 no request of the class could be served


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a router."""

    listen: tuple[str, int]
    discovery: str
    ops: tuple[str, int] | None  # the operators' address
    seed: int
    sockets: int
    memory: int  # bytes that the process may use
    longest_answer: int  # bytes of the largest value that is passed on
    known_index: int  # the index that discovery gave the list in `known`
    known: list[Member]  # the list of servers; empty after `read_config` without `with_list`
    settings: api.Settings
    peer_listen: tuple[str, int] | None  # where datagrams of other routers arrive
    peers: tuple[tuple[str, int], ...]  # addresses of all routers, ordered by their numbers
    router_number: int  # this router's index among `peers`
    table: dict[str, Any]  # the configuration as decoded from JSON


def read_address(table: dict[str, Any], field: str) -> str:
    """Return a field of the form host:port. Raises ConfigError."""
    value = table.get(field)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{field} must be host:port, not {value!r}")
    return str(value)


def read_config(text: bytes, with_list: bool = True) -> Config:
    """Return the checked configuration; without `with_list`, the listed servers are neither checked nor read.

    Raises:
        ConfigError: the configuration can't be used; the message names the field.
    """
    try:
        table = orjson.loads(text)
    except orjson.JSONDecodeError as e:
        raise ConfigError(f"configuration is not JSON: {e}") from e
    if not isinstance(table, dict):
        raise ConfigError("configuration is not an object")
    seed = table.get("seed")
    try:
        seed_number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hexadecimal digits, not {seed!r}") from None
    try:
        settings = read_settings(table.get("settings"))
        limits = section(table, "limits")
        sockets = int(number(limits, "sockets", 1024, "limits.", 64))
        longest = int(number(limits, "longest_answer", MAX_STREAMED_ANSWER, "limits.", MAX_BUFFERED_ANSWER))
        memory = int(number(limits, "memory_mb", DEFAULT_MEMORY, "limits.", 1) * 1024 * 1024)
        if with_list:
            index, _, known = read_list(table.get("known"), "known")
        else:
            index, known = read_header(table.get("known"), "known").index, []
    except (api.SettingsError, ListError) as e:
        raise ConfigError(str(e)) from e
    listen = parse_address(read_address(table, "listen"))
    discovery = read_address(table, "discovery")
    ops = None if table.get("ops") is None else parse_address(read_address(table, "ops"))
    peer_listen, peers = read_peers(table)
    router_number = section(table, "settings").get("me")
    return Config(
        listen=listen,
        discovery=discovery,
        ops=ops,
        seed=seed_number,
        sockets=sockets,
        memory=memory,
        longest_answer=longest,
        known_index=index,
        known=known,
        settings=settings,
        peer_listen=peer_listen,
        peers=peers,
        router_number=router_number if isinstance(router_number, int) else 0,
        table=table,
    )


def read_peers(table: dict[str, Any]) -> tuple[tuple[str, int] | None, tuple[tuple[str, int], ...]]:
    """Return the address for datagrams of other routers (or None), and the addresses of all routers.

    Raises ConfigError.
    """
    if table.get("peer_listen") is None:
        return None, ()
    entries = table.get("peers")
    if not isinstance(entries, list):
        raise ConfigError("peers must be a list")
    fields = {f"peers[{i}]": at for i, at in enumerate(entries)}
    addresses = tuple(parse_address(read_address(fields, field)) for field in fields)
    return parse_address(read_address(table, "peer_listen")), addresses


async def read_reload(text: bytes, running: Config) -> Config:
    """Return a checked configuration to replace the one in force, yielding to the event loop in between.

    The check is stricter than at the start, where an absent key gets its default: with a truncated or half
    edited file, defaults would silently replace what operators had set.

    Raises:
        ConfigError: the configuration can't be used, and nothing of it may be applied.
    """
    config = read_config(text, with_list=False)
    try:
        await read_list_in_steps(config.table["known"], "known")
    except ListError as e:
        raise ConfigError(str(e)) from e
    if (lost := next(lost_fields(running.table, config.table, ""), None)) is not None:
        raise ConfigError(f"{lost} was set at the start and is missing")
    settings = section(config.table, "settings")
    for row in rows(settings, "classes"):
        for name in POSITIVE_FIELDS:
            if name in row and not (_is_number(row[name]) and row[name] > 0):
                raise ConfigError(
                    f"settings: classes[{row['name']}].{name} must be greater than 0, not {row[name]!r}"
                )
    max_attempts = section(settings, "limits").get("mostTries", 1)
    if not _is_number(max_attempts) or max_attempts < 1:
        raise ConfigError(f"settings: limits.mostTries must be at least 1, not {max_attempts!r}")
    return config


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def lost_fields(before: dict[str, Any], after: dict[str, Any], prefix: str) -> Iterator[str]:
    """Yield the names of fields that a new configuration lacks, leaves empty or has with another type.

    The rows of a list may change, but each new row must have the fields that all old rows had. The rows of
    `endpoints`, the list of servers, are not compared.
    """
    for name, old in before.items():
        new: Any = after.get(name)
        path = f"{prefix}{name}"
        if old is None:
            continue
        if not (_is_number(new) if _is_number(old) else isinstance(new, type(old))):
            yield path
        elif isinstance(old, dict):
            yield from lost_fields(old, new, path + ".")
        elif isinstance(old, list) and old and not new:
            yield path
        elif (
            isinstance(old, list)
            and old
            and all(isinstance(row, dict) for row in old)
            and name != "endpoints"
        ):
            common = {key: old[0][key] for key in old[0] if all(row.get(key) is not None for row in old)}
            for i, row in enumerate(new):
                if not isinstance(row, dict):
                    yield f"{path}[{i}]"
                else:
                    yield from lost_fields(common, row, f"{path}[{row.get('name', i)}].")


def read_file(path: str) -> bytes:
    """Return the text of the configuration file. Raises ConfigError."""
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from e
