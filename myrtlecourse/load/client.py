"""Connections of clients: one command at a time on each, kept and used again."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import cast

from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError

MAX_ANSWER = 16 * 1024 * 1024  # bytes; what announces more is no answer, and costs nothing
MAX_ITEMS = 16
DIAL_TIME = 5.0  # seconds

Heard = Callable[[Message | BaseException, bool], None]  # the answer or what went wrong; whether it was kept


class Broken(ConnectionError):
    """A connection ended, or brought what is no answer."""


class ClientConnection(asyncio.Protocol):
    """One connection to the target."""

    def __init__(self, pool: ClientPool) -> None:
        self.pool = pool
        self.reader = Reader(MAX_ITEMS, MAX_ANSWER, MAX_ANSWER + 4096)
        self.heard: Heard | None = None
        self.kept = False  # it has carried an answer before
        self.last = ""  # the request asked last on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes, heard: Heard) -> None:
        """Send a command; `heard` is called once."""
        self.heard = heard
        self.transport.write(data)

    def abandon(self) -> None:
        """Go away without the answer."""
        self.heard = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.heard is None:  # nobody asked
            self.pool.unasked(self.last)
            self.transport.abort()
            return
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except RespError as e:
            self._end(Broken(str(e)))
            self.transport.abort()
            return
        if message is not INCOMPLETE:
            heard, self.heard = self.heard, None
            kept, self.kept = self.kept, True
            if (
                self.reader.buffer
            ):  # more than what was asked for: what comes next would be taken for an answer
                self.pool.unasked(self.last)
                self.transport.abort()
            else:
                self.pool.keep(self)
            heard(message, kept)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.lost(self)
        self._end(Broken("the connection ended"))

    def _end(self, fault: Broken) -> None:
        heard, self.heard = self.heard, None
        if heard is not None:
            heard(fault, self.kept)


class Wanted:
    """A command that waits for a connection."""

    __slots__ = ("abandoned", "connection", "data", "fresh", "heard", "name", "written")

    def __init__(
        self, name: str, data: bytes, heard: Heard, written: Callable[[], None], fresh: bool
    ) -> None:
        self.name = name
        self.data = data
        self.written = written  # called when it is
        self.heard = heard
        self.fresh = fresh  # on a new connection
        self.abandoned = False
        self.connection: ClientConnection | None = None

    def abandon(self) -> None:
        """Go away: the connection closes, as a client's does that waits no more."""
        self.abandoned = True
        if self.connection is not None:
            self.connection.abandon()


class ClientPool:
    """The connections of one worker, at most `most`: what comes on top waits, and its latency counts on."""

    def __init__(
        self, address: tuple[str, int], most: int, unasked: Callable[[str], None] = lambda last: None
    ) -> None:
        self.address = address
        self.unasked = unasked  # told of bytes that nobody asked for, and the request before them
        self.most = most
        self.open = 0  # dials included
        self.exhausted = (
            False  # the process ran out of descriptors: there are no more than so many connections
        )
        self.idle: deque[ClientConnection] = deque()
        self.waiting: deque[Wanted] = deque()
        self.dials: set[asyncio.Task[None]] = set()

    def ask(
        self,
        name: str,
        data: bytes,
        heard: Heard,
        written: Callable[[], None] = lambda: None,
        fresh: bool = False,
    ) -> Wanted:
        """Send a command as soon as a connection is free; a fresh one is dialled for it if asked."""
        wanted = Wanted(name, data, heard, written, fresh)
        if fresh or not self._send(wanted):
            self.waiting.append(wanted)
            self._dial_one()
        return wanted

    def _send(self, wanted: Wanted) -> bool:
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                self._begin(connection, wanted)
                return True
        return False

    def _begin(self, connection: ClientConnection, wanted: Wanted) -> None:
        wanted.connection = connection

        def heard(answer: Message | BaseException, kept: bool) -> None:
            wanted.connection = None
            wanted.heard(answer, kept)

        connection.last = wanted.name
        connection.ask(wanted.data, heard)
        wanted.written()

    def _dial_one(self) -> None:
        if self.open < self.most and len(self.dials) < len(self.waiting):
            self.open += 1
            dial = asyncio.create_task(self._dial())
            self.dials.add(dial)
            dial.add_done_callback(self.dials.discard)

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIME):
                _, connection = await loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError as e:  # a time-out is one
            self.open -= 1
            if e.errno in (errno.EMFILE, errno.ENFILE) and self.open:
                # no descriptor is left: that is our own limit, and no answer of the target's
                self.exhausted = True
                self.most = self.open
                return
            wanted = self._next()
            if wanted is not None:
                wanted.heard(e, False)
            return
        self.keep(connection)

    def _next(self) -> Wanted | None:
        while self.waiting:
            wanted = self.waiting.popleft()
            if not wanted.abandoned:
                return wanted
        return None

    def keep(self, connection: ClientConnection) -> None:
        """A connection is free."""
        wanted = self._next()
        if wanted is None:
            self.idle.append(connection)
        elif wanted.fresh and connection.kept:
            self.waiting.appendleft(wanted)
            self.idle.append(connection)
        else:
            self._begin(connection, wanted)

    def lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._dial_one()

    def close(self) -> None:
        """Close everything."""
        for dial in self.dials:
            dial.cancel()
        for connection in list(self.idle):
            connection.transport.abort()
