"""Reads the list of cache servers from discovery and watches its changes with long polling."""

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
STATE_NAMES = {state: name for name, state in STATES.items()}
MAX_LIST = 4 * 1024 * 1024  # bytes
# seconds after which the protocol takes changes at discovery as known to routers, whether or not they arrived
ASSUMED_DELIVERY = 6.0
QUEUE_TIME = 2.0  # seconds for which discovery may queue a new watch behind those of other routers
MIN_TIMEOUT = 0.1  # seconds; on a busy core even an agent on the same machine answers no sooner
# seconds after an answer without changes, so that an agent that never waits is not polled in a busy loop; a
# request more than 200 ms after the last answer would be a new watch, which is queued
EMPTY_PAUSE = 0.05
ENTRIES_PER_ITERATION = 64  # entries of a list parsed at once, which takes about a millisecond
log = logging.getLogger(__name__)


class ListError(ValueError):
    """A list that can't be used; the message names the malformed field."""


def required_field(table: dict[str, Any], name: str, kind: type | tuple[type, ...], path: str) -> Any:
    """Return a field of the given type.

    Raises:
        ListError: the field is missing or has another type.
    """
    value = table.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ListError(f"{path}{name} is missing or malformed: {str(value)[:40]}")
    return value


def read_member(entry: Any, path: str) -> Member:
    """Parse an entry of a list.

    Raises:
        ListError: the entry is malformed.
    """
    if not isinstance(entry, dict):
        raise ListError(f"{path} is not an object")
    path += "."
    state = required_field(entry, "status", str, path)
    if state not in STATES:
        raise ListError(f"{path}status is unknown: {state[:40]}")
    address = required_field(entry, "address", str, path)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"{path}address is not host:port: {address[:40]}")
    server_entry = api.ServerEntry(
        server=required_field(entry, "name", str, path),
        state=STATES[state],
        kind=required_field(entry, "type", str, path),
        zone=required_field(entry, "zone", str, path),
        cell=required_field(entry, "group", int, path),
        weight=max(0.0, required_field(entry, "weight", (int, float), path)),
        listed_start=required_field(entry, "since_ms", (int, float), path) / 1000,  # Unix time in seconds
    )
    return Member(server_entry, address)


def member_entry(member: Member) -> dict[str, Any]:
    """Return the entry of a list that `read_member` parses to this member."""
    entry = member.entry
    return {
        "name": entry.server,
        "address": member.address,
        "status": STATE_NAMES[entry.state],
        "type": entry.kind,
        "zone": entry.zone,
        "group": entry.cell,
        "weight": entry.weight,
        "since_ms": entry.listed_start * 1000,
    }


@dataclass(slots=True, frozen=True)
class UnparsedList:
    """The header of a list, and its entries, which are not parsed yet."""

    index: int
    is_full: bool
    entries: list[Any]
    path: str

    def read_members(self, start: int, end: int) -> list[Member]:
        """Parse a range of the entries."""
        return [
            read_member(entry, f"{self.path}endpoints[{start + i}]")
            for i, entry in enumerate(self.entries[start:end])
        ]


def read_header(message: Any, path: str = "") -> UnparsedList:
    """Parse the header of a list, but not its entries.

    Raises:
        ListError: the header is malformed.
    """
    if not isinstance(message, dict):
        raise ListError(f"{path or 'list'} is not an object")
    path += "." if path else ""
    entries = required_field(message, "endpoints", list, path)
    return UnparsedList(
        required_field(message, "index", int, path),
        required_field(message, "snapshot", bool, path),
        entries,
        path,
    )


def read_list(message: Any, path: str = "") -> tuple[int, bool, list[Member]]:
    """Return the index of a list, whether it is a full one, and its entries.

    Raises:
        ListError: the list is malformed.
    """
    header = read_header(message, path)
    return header.index, header.is_full, header.read_members(0, len(header.entries))


async def read_list_in_steps(message: Any, path: str = "") -> tuple[int, bool, list[Member]]:
    """Do the same as `read_list` with a few entries per iteration of the event loop, which serves requests in
    between."""
    header = read_header(message, path)
    members = header.read_members(0, ENTRIES_PER_ITERATION)
    for start in range(ENTRIES_PER_ITERATION, len(header.entries), ENTRIES_PER_ITERATION):
        await asyncio.sleep(0)
        members += header.read_members(start, start + ENTRIES_PER_ITERATION)
    return header.index, header.is_full, members


@dataclass(slots=True, frozen=True)
class WatchTimeouts:
    """How long a request to discovery may go without an answer, in seconds.

    Changes that a silent watch misses are soon assumed to be known. The watch therefore has to be given up,
    and another one opened and answered, well before `ASSUMED_DELIVERY` has passed.
    """

    poll_time: float  # how long discovery may hold a request while there are no changes
    answer_margin: float  # additional time for the answer
    queue_time: float  # additional time for the first request of a watch

    @classmethod
    def from_settings(cls, settings: api.Settings) -> WatchTimeouts:
        """Return timeouts that allow two tries before changes are assumed to be known.

        The grace period after that is not used up. If lists are pushed, changes are assumed to be known as
        soon as the local agent has them. The agent answers at once, so that a failed request can be given up
        and repeated within the grace period.
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
    """Watches the list when asked to; a failed request ends the watch."""

    def __init__(
        self,
        address: str,
        index: int | None,
        on_list: Callable[[api.ListKind, list[Member]], None],
        on_failure: Callable[[], None],
        timeouts: WatchTimeouts,
    ) -> None:
        self.address = address
        # index of the current list; None if there is none, or it is from another discovery
        self.index = index
        self.on_list = on_list
        self.on_failure = on_failure
        self.timeouts = timeouts
        self.watch_task: asyncio.Task[None] | None = None
        self.last_answer_at = time.monotonic()  # on the monotonic clock

    def subscribe(self) -> None:
        """Begin a watch, unless one is running."""
        if self.watch_task is None:
            self.watch_task = asyncio.create_task(self._watch())

    def change_address(self, address: str) -> None:
        """End the watch; the next one asks another discovery, which has its own index, for the full list."""
        self.close()
        self.address = address
        self.index = None
        self.watch_task = None

    async def _watch(self) -> None:
        queue_time = self.timeouts.queue_time
        try:
            while True:
                started_at = time.monotonic()
                index, is_full, members = await self._request_list(queue_time)
                self.last_answer_at = time.monotonic()
                self.on_list(api.ListKind.FULL if is_full else api.ListKind.DELTA, members)
                # set only now, because a list that could not be applied has to be sent again
                self.index = index
                queue_time = 0.0
                if not members:
                    await asyncio.sleep(EMPTY_PAUSE)
        except Exception as e:
            # Any failure is reported to the decision module, which would otherwise never ask again.
            known = isinstance(e, (OSError, HttpError, ListError, orjson.JSONDecodeError))
            level, elapsed = logging.WARNING if known else logging.ERROR, time.monotonic() - started_at
            log.log(level, "discovery request failed after %.3f s: %s", elapsed, repr(e)[:200])
        # A cancelled watch has ended above and reports nothing, as another one may have begun.
        self.watch_task = None
        self.on_failure()

    async def _request_list(self, queue_time: float) -> tuple[int, bool, list[Member]]:
        timeouts = self.timeouts
        poll_time = 0.0 if self.index is None else timeouts.poll_time
        # A silent discovery must be detected soon, because its changes are assumed to be known after a while.
        async with asyncio.timeout(queue_time + poll_time + timeouts.answer_margin):
            reader, writer = await asyncio.open_connection(*parse_address(self.address))
            try:
                client = HttpClient(self.address, MAX_LIST)
                target = "/registry/instances"
                if self.index is not None:
                    target += f"?after={self.index}&wait_ms={int(poll_time * 1000)}"
                writer.write(client.request("GET", target, [(b"Connection", b"close")]))
                response = None
                while response is None:
                    response = client.receive(await reader.read(65536))
            finally:
                writer.close()
        if response.status != 200:
            raise ListError(f"discovery answered with status {response.status}")
        return await read_list_in_steps(orjson.loads(response.body))

    def close(self) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()
