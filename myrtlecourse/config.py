"""What the platform tells a router, checked: at the start and at each reload."""

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

DEFAULT_MEMORY = 80  # MB, where the configuration does not tell
POSITIVE = ("giveUp", "aim")  # fields of a class without which no request of it could be served


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """What the platform tells a router."""

    listen: tuple[str, int]
    discovery: str
    ops: tuple[str, int] | None  # where operators call
    seed: int
    sockets: int
    memory: int  # bytes that the process may take
    longest_answer: int  # bytes of a value
    known_index: int
    known: list[Member]
    settings: api.Settings
    peer_listen: tuple[str, int] | None  # where other routers are heard, if they are
    peers: tuple[tuple[str, int], ...]  # all routers, by their numbers in the settings
    me: int  # this router's number
    table: dict[str, Any]  # as it came


def read_address(table: dict[str, Any], field: str) -> str:
    """A field of the form host:port."""
    value = table.get(field)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{field} must be host:port, not {value!r}")
    return str(value)


def read_config(text: bytes, listed: bool = True) -> Config:
    """Check a configuration; its list's entries only if they are wanted (`listed`), else it has none.

    Raises:
        ConfigError: it can't be used; the message names the field.
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
        raise ConfigError(f"seed must be hex digits, not {seed!r}") from None
    try:
        settings = read_settings(table.get("settings"))
        limits = section(table, "limits")
        sockets = int(number(limits, "sockets", 1024, "limits.", 64))
        longest = int(number(limits, "longest_answer", MAX_STREAMED_ANSWER, "limits.", MAX_BUFFERED_ANSWER))
        memory = int(number(limits, "memory_mb", DEFAULT_MEMORY, "limits.", 1) * 1024 * 1024)
        if listed:
            index, _, known = read_list(table.get("known"), "known")
        else:
            index, known = read_header(table.get("known"), "known").index, []
    except (api.SettingsError, ListError) as e:
        raise ConfigError(str(e)) from e
    listen = parse_address(read_address(table, "listen"))
    discovery = read_address(table, "discovery")
    ops = None if table.get("ops") is None else parse_address(read_address(table, "ops"))
    peer_listen, peers = read_peers(table)
    me = section(table, "settings").get("me")
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
        me=me if isinstance(me, int) else 0,
        table=table,
    )


def read_peers(table: dict[str, Any]) -> tuple[tuple[str, int] | None, tuple[tuple[str, int], ...]]:
    """Where other routers are heard, and where all of them are; nothing where the platform tells nothing."""
    if table.get("peer_listen") is None:
        return None, ()
    each = table.get("peers")
    if not isinstance(each, list):
        raise ConfigError("peers must be a list")
    named = {f"peers[{i}]": at for i, at in enumerate(each)}
    addresses = tuple(parse_address(read_address(named, field)) for field in named)
    return parse_address(read_address(table, "peer_listen")), addresses


async def read_reload(text: bytes, running: Config) -> Config:
    """Check a configuration that is to replace the one in force, in several turns of the event loop.

    Stricter than at the start, where an absent key takes its default: a file cut off or half edited would
    quietly take a default for what operators had set.

    Raises:
        ConfigError: it can't be used, and nothing of it is to be taken.
    """
    config = read_config(text, listed=False)
    try:
        await read_list_in_steps(config.table["known"], "known")
    except ListError as e:
        raise ConfigError(str(e)) from e
    if (lost := next(missing(running.table, config.table, ""), None)) is not None:
        raise ConfigError(f"{lost} was set at the start and is missing")
    settings = section(config.table, "settings")
    for row in rows(settings, "classes"):
        for name in POSITIVE:
            if name in row and not (_is_number(row[name]) and row[name] > 0):
                raise ConfigError(
                    f"settings: classes[{row['name']}].{name} must be over 0, not {row[name]!r}"
                )
    tries = section(settings, "limits").get("mostTries", 1)
    if not _is_number(tries) or tries < 1:
        raise ConfigError(f"settings: limits.mostTries must be over 0, not {tries!r}")
    return config


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def missing(before: dict[str, Any], after: dict[str, Any], where: str) -> Iterator[str]:
    """The names of what stood in a configuration and stands no more, or empty, or as another kind of thing.

    The rows of a list may be others; each must have the fields that all had.
    """
    for name, old in before.items():
        new: Any = after.get(name)
        place = f"{where}{name}"
        if old is None:
            continue
        if not (_is_number(new) if _is_number(old) else isinstance(new, type(old))):
            yield place
        elif isinstance(old, dict):
            yield from missing(old, new, place + ".")
        elif isinstance(old, list) and old and not new:
            yield place
        elif (
            isinstance(old, list)
            and old
            and all(isinstance(row, dict) for row in old)
            and name != "endpoints"
        ):
            common = {key: old[0][key] for key in old[0] if all(row.get(key) is not None for row in old)}
            for i, row in enumerate(new):
                if not isinstance(row, dict):
                    yield f"{place}[{i}]"
                else:
                    yield from missing(common, row, f"{place}[{row.get('name', i)}].")


def read_file(path: str) -> bytes:
    """The configuration's text."""
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from e
