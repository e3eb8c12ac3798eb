"""The list of cache servers: its entries, and the watch on its changes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from myrtlecourse import interface as api
from myrtlecourse.net.http import HttpClient, HttpError
from myrtlecourse.net.members import Member
from myrtlecourse.net.pool import address_of

STATES = {"in_service": api.State.READY, "terminating": api.State.DRAINING, "terminated": api.State.GONE}
MAX_LIST = 4 * 1024 * 1024
TOLD = 6.0  # seconds after which what discovery has counts as told, whether or not it arrived (the protocol)
TURN = 2.0  # seconds for which a new call may wait in turn behind those of other routers
LEAST = 0.1  # seconds: a busy core answers itself no sooner
# after an answer with no news, so that an agent that never waits is not asked in a spin; a call more than
# 200 ms after the last answer would be a new watch, in turn with all others
EMPTY_PAUSE = 0.05
READ_AT_ONCE = 64  # entries of a list, about a millisecond's work
log = logging.getLogger(__name__)


class ListError(ValueError):
    """A list that can't be used; the message names the field."""


def field(table: dict[str, Any], name: str, kind: type | tuple[type, ...], where: str) -> Any:
    """A field of the right type."""
    value = table.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ListError(f"{where}{name} is missing or malformed: {str(value)[:40]}")
    return value


def read_member(line: Any, where: str) -> Member:
    """One entry."""
    if not isinstance(line, dict):
        raise ListError(f"{where} is not an object")
    where += "."
    state = field(line, "status", str, where)
    if state not in STATES:
        raise ListError(f"{where}status is unknown: {state[:40]}")
    address = field(line, "address", str, where)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"{where}address is not host:port: {address[:40]}")
    entry = api.ServerEntry(
        server=field(line, "name", str, where),
        state=STATES[state],
        kind=field(line, "type", str, where),
        zone=field(line, "zone", str, where),
        cell=field(line, "group", int, where),
        weight=max(0.0, field(line, "weight", (int, float), where)),
        listed_start=field(line, "since_ms", (int, float), where) / 1000,  # Unix time, as the host's clock
    )
    return Member(entry, address)


@dataclass(slots=True, frozen=True)
class ListHead:
    """What a list tells of itself, and its entries as they came."""

    index: int
    whole: bool
    lines: list[Any]
    where: str

    def read(self, start: int, end: int) -> list[Member]:
        """Some of the entries."""
        return [
            read_member(line, f"{self.where}endpoints[{start + i}]")
            for i, line in enumerate(self.lines[start:end])
        ]


def read_head(message: Any, where: str = "") -> ListHead:
    """A list whose entries are not read yet."""
    if not isinstance(message, dict):
        raise ListError(f"{where or 'list'} is not an object")
    where += "." if where else ""
    lines = field(message, "endpoints", list, where)
    return ListHead(
        field(message, "index", int, where), field(message, "snapshot", bool, where), lines, where
    )


def read_list(message: Any, where: str = "") -> tuple[int, bool, list[Member]]:
    """The version of a list, whether it is whole, and its entries."""
    head = read_head(message, where)
    return head.index, head.whole, head.read(0, len(head.lines))


async def read_in_turns(message: Any, where: str = "") -> tuple[int, bool, list[Member]]:
    """The same, a few entries in each turn of the event loop: requests are read and answered in between."""
    head = read_head(message, where)
    members = head.read(0, READ_AT_ONCE)
    for start in range(READ_AT_ONCE, len(head.lines), READ_AT_ONCE):
        await asyncio.sleep(0)
        members += head.read(start, start + READ_AT_ONCE)
    return head.index, head.whole, members


@dataclass(slots=True, frozen=True)
class Patience:
    """For how long a call may go without an answer (seconds).

    Guards against a watch that has fallen silent: what it misses counts as told soon after, so that it has to
    be given up, and another opened and answered, well before.
    """

    wait: float  # for which discovery may hold a call that has no news
    margin: float  # after that
    turn: float  # before it, where the call begins a watch

    @classmethod
    def of(cls, settings: api.Settings) -> Patience:
        """What the settings leave: two tries before news counts as told, and the grace after it untouched.

        Where lists are pushed, what the agent has counts at once; it is on this machine and answers as soon,
        so that it is given up, and asked again, within the grace.
        """
        if settings.subscribe:
            return cls(TOLD / 4, TOLD / 8, TURN)
        grace = settings.drain_grace
        return cls(max(LEAST, min(TOLD / 4, grace / 2)), max(LEAST, min(TOLD / 8, grace / 4)), 0.0)


class Discovery:
    """Watches the list when asked to; a call that fails ends the watch."""

    def __init__(
        self,
        address: str,
        index: int | None,
        told: Callable[[api.ListKind, list[Member]], None],
        failed: Callable[[], None],
        patience: Patience,
    ) -> None:
        self.address = address
        self.index = index  # of the list held; None: from another discovery, or none
        self.told = told
        self.failed = failed
        self.patience = patience
        self.watch: asyncio.Task[None] | None = None
        self.heard_at = time.monotonic()  # when it last answered

    def subscribe(self) -> None:
        """Begin a watch, unless one is on."""
        if self.watch is None:
            self.watch = asyncio.create_task(self._watch())

    def move(self, address: str) -> None:
        """End the watch; the next asks another discovery, whose index is its own, for the whole list."""
        self.close()
        self.address = address
        self.index = None
        self.watch = None

    async def _watch(self) -> None:
        turn = self.patience.turn
        try:
            while True:
                began = time.monotonic()
                index, whole, members = await self._call(turn)
                self.heard_at = time.monotonic()
                self.told(api.ListKind.FULL if whole else api.ListKind.DELTA, members)
                self.index = index  # not before: what could not be taken has to be told again
                turn = 0.0
                if not members:
                    await asyncio.sleep(EMPTY_PAUSE)
        except Exception as e:
            # guards the list: whatever went wrong, the module must hear of it, or it would never ask again
            known = isinstance(e, (OSError, HttpError, ListError, orjson.JSONDecodeError))
            level, waited = logging.WARNING if known else logging.ERROR, time.monotonic() - began
            log.log(level, "discovery, after %.3f s: %s", waited, repr(e)[:200])
        # a watch that was cancelled ends above and tells nothing: another may have begun
        self.watch = None
        self.failed()

    async def _call(self, turn: float) -> tuple[int, bool, list[Member]]:
        patience = self.patience
        wait = 0.0 if self.index is None else patience.wait
        # guards against a discovery that has gone silent: what it has to tell counts as told soon after
        async with asyncio.timeout(turn + wait + patience.margin):
            reader, writer = await asyncio.open_connection(*address_of(self.address))
            try:
                client = HttpClient(self.address, MAX_LIST)
                target = "/registry/instances"
                if self.index is not None:
                    target += f"?after={self.index}&wait_ms={int(wait * 1000)}"
                writer.write(client.request("GET", target, [(b"Connection", b"close")]))
                response = None
                while response is None:
                    response = client.receive(await reader.read(65536))
            finally:
                writer.close()
        if response.status != 200:
            raise ListError(f"answered {response.status}")
        return await read_in_turns(orjson.loads(response.body))

    def close(self) -> None:
        if self.watch is not None:
            self.watch.cancel()
