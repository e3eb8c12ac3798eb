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
from myrtlecourse.net.pool import parse_address

STATES = {"in_service": api.State.READY, "terminating": api.State.DRAINING, "terminated": api.State.GONE}
MAX_LIST = 4 * 1024 * 1024
ASSUMED_DELIVERY = (
    6.0  # seconds after which what discovery has counts as told, whether or not it arrived (the protocol)
)
QUEUE_TIME = 2.0  # seconds for which a new call may wait in turn behind those of other routers
MIN_TIMEOUT = 0.1  # seconds: a busy core answers itself no sooner
# after an answer with no news, so that an agent that never waits is not asked in a spin; a call more than
# 200 ms after the last answer would be a new watch, in turn with all others
EMPTY_PAUSE = 0.05
ENTRIES_PER_ITERATION = 64  # entries of a list, about a millisecond's work
log = logging.getLogger(__name__)


class ListError(ValueError):
    """A list that can't be used; the message names the field."""


def required_field(table: dict[str, Any], name: str, kind: type | tuple[type, ...], where: str) -> Any:
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
    state = required_field(line, "status", str, where)
    if state not in STATES:
        raise ListError(f"{where}status is unknown: {state[:40]}")
    address = required_field(line, "address", str, where)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"{where}address is not host:port: {address[:40]}")
    entry = api.ServerEntry(
        server=required_field(line, "name", str, where),
        state=STATES[state],
        kind=required_field(line, "type", str, where),
        zone=required_field(line, "zone", str, where),
        cell=required_field(line, "group", int, where),
        weight=max(0.0, required_field(line, "weight", (int, float), where)),
        since=required_field(line, "since_ms", (int, float), where) / 1000,  # Unix time, as the host's clock
    )
    return Member(entry, address)


@dataclass(slots=True, frozen=True)
class UnparsedList:
    """What a list tells of itself, and its entries as they came."""

    index: int
    is_full: bool
    entries: list[Any]
    path: str

    def read_members(self, start: int, end: int) -> list[Member]:
        """Some of the entries."""
        return [
            read_member(line, f"{self.path}endpoints[{start + i}]")
            for i, line in enumerate(self.entries[start:end])
        ]


def read_header(message: Any, where: str = "") -> UnparsedList:
    """A list whose entries are not read yet."""
    if not isinstance(message, dict):
        raise ListError(f"{where or 'list'} is not an object")
    where += "." if where else ""
    lines = required_field(message, "endpoints", list, where)
    return UnparsedList(
        required_field(message, "index", int, where),
        required_field(message, "snapshot", bool, where),
        lines,
        where,
    )


def read_list(message: Any, where: str = "") -> tuple[int, bool, list[Member]]:
    """The version of a list, whether it is whole, and its entries."""
    head = read_header(message, where)
    return head.index, head.is_full, head.read_members(0, len(head.entries))


async def read_list_in_steps(message: Any, where: str = "") -> tuple[int, bool, list[Member]]:
    """The same, a few entries in each turn of the event loop: requests are read and answered in between."""
    head = read_header(message, where)
    members = head.read_members(0, ENTRIES_PER_ITERATION)
    for start in range(ENTRIES_PER_ITERATION, len(head.entries), ENTRIES_PER_ITERATION):
        await asyncio.sleep(0)
        members += head.read_members(start, start + ENTRIES_PER_ITERATION)
    return head.index, head.is_full, members


@dataclass(slots=True, frozen=True)
class WatchTimeouts:
    """For how long a call may go without an answer (seconds).

    Guards against a watch that has fallen silent: what it misses counts as told soon after, so that it has to
    be given up, and another opened and answered, well before.
    """

    poll_time: float  # for which discovery may hold a call that has no news
    answer_margin: float  # after that
    queue_time: float  # before it, where the call begins a watch

    @classmethod
    def from_settings(cls, settings: api.Settings) -> WatchTimeouts:
        """What the settings leave: two tries before news counts as told, and the grace after it untouched.

        Where lists are pushed, what the agent has counts at once; it is on this machine and answers as soon,
        so that it is given up, and asked again, within the grace.
        """
        if settings.subscribe:
            return cls(ASSUMED_DELIVERY / 4, ASSUMED_DELIVERY / 8, QUEUE_TIME)
        grace = settings.drain_grace
        return cls(
            max(MIN_TIMEOUT, min(ASSUMED_DELIVERY / 4, grace / 2)),
            max(MIN_TIMEOUT, min(ASSUMED_DELIVERY / 8, grace / 4)),
            0.0,
        )


class Discovery:
    """Watches the list when asked to; a call that fails ends the watch."""

    def __init__(
        self,
        address: str,
        index: int | None,
        told: Callable[[api.ListKind, list[Member]], None],
        failed: Callable[[], None],
        patience: WatchTimeouts,
    ) -> None:
        self.address = address
        self.index = index  # of the list held; None: from another discovery, or none
        self.on_list = told
        self.on_failure = failed
        self.timeouts = patience
        self.watch_task: asyncio.Task[None] | None = None
        self.last_answer_at = time.monotonic()  # when it last answered

    def subscribe(self) -> None:
        """Begin a watch, unless one is on."""
        if self.watch_task is None:
            self.watch_task = asyncio.create_task(self._watch())

    def change_address(self, address: str) -> None:
        """End the watch; the next asks another discovery, whose index is its own, for the whole list."""
        self.close()
        self.address = address
        self.index = None
        self.watch_task = None

    async def _watch(self) -> None:
        turn = self.timeouts.queue_time
        try:
            while True:
                began = time.monotonic()
                index, whole, members = await self._request_list(turn)
                self.last_answer_at = time.monotonic()
                self.on_list(api.ListKind.FULL if whole else api.ListKind.DELTA, members)
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
        self.watch_task = None
        self.on_failure()

    async def _request_list(self, turn: float) -> tuple[int, bool, list[Member]]:
        patience = self.timeouts
        wait = 0.0 if self.index is None else patience.poll_time
        # guards against a discovery that has gone silent: what it has to tell counts as told soon after
        async with asyncio.timeout(turn + wait + patience.answer_margin):
            reader, writer = await asyncio.open_connection(*parse_address(self.address))
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
        return await read_list_in_steps(orjson.loads(response.body))

    def close(self) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()
