"""A pool of reusable client connections, each with at most one command in flight."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import cast

from myrtlecourse.net.dial import open_in_time
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError
from myrtlecourse.net.tcp_info import arrival_time

MAX_ANSWER = 16 * 1024 * 1024  # bytes; an answer that announces more is rejected before it is read
MAX_ITEMS = 16  # items of an answer that is an array
DIAL_TIMEOUT = 5.0  # seconds

# Called with the answer or the error, and with whether the connection had carried an answer before.
ReplyCallback = Callable[[Message | BaseException, bool], None]


class ConnectionBroken(ConnectionError):
    """The connection ended, or the bytes received are not an answer."""


class ClientConnection(asyncio.Protocol):
    """One connection to the target."""

    def __init__(self, pool: ClientPool) -> None:
        self.pool = pool
        self.reader = Reader(MAX_ITEMS, MAX_ANSWER, MAX_ANSWER + 4096)
        self.on_reply: ReplyCallback | None = None
        self.reused = False  # whether the connection has carried an answer
        self.last_request = ""  # the id of the last request on this connection
        self.connected = False
        self.dial_given_up = False  # its transport is closed as soon as there is one
        self.answered_at = 0.0  # when the last byte of the latest answer arrived, on the monotonic clock
        self.socket: socket.socket | None = None  # None with transports that have none, as in virtual time

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dial_given_up:
            self.transport.abort()
            return
        self.socket = transport.get_extra_info("socket")
        self.connected = True

    def send(self, data: bytes, on_reply: ReplyCallback) -> None:
        """Send a command; `on_reply` is called once, with the answer or the error."""
        self.on_reply = on_reply
        self.transport.write(data)

    def abandon(self) -> None:
        """Close the connection without waiting for the answer."""
        self.on_reply = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.on_reply is None:  # no request is open
            self.pool.on_unexpected(self.last_request)
            self.transport.abort()
            return
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except RespError as e:
            self._end(ConnectionBroken(str(e)))
            self.transport.abort()
            return
        if message is not INCOMPLETE:
            self.answered_at = time.monotonic() if self.socket is None else arrival_time(self.socket)
            on_reply, self.on_reply = self.on_reply, None
            reused, self.reused = self.reused, True
            # Bytes beyond the answer would be taken for the answer to the next request.
            if self.reader.buffer:
                self.pool.on_unexpected(self.last_request)
                self.transport.abort()
            else:
                self.pool.release(self)
            on_reply(message, reused)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.dial_given_up:
            return  # the pool has counted it as failed
        self.pool.on_closed(self)
        self._end(ConnectionBroken("the connection was closed"))

    def _end(self, error: ConnectionBroken) -> None:
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(error, self.reused)


class PendingCommand:
    """A command that waits for a connection or its answer."""

    __slots__ = ("abandoned", "answered_at", "connection", "data", "fresh", "name", "on_reply", "on_written")

    def __init__(
        self, name: str, data: bytes, on_reply: ReplyCallback, on_written: Callable[[], None], fresh: bool
    ) -> None:
        self.name = name
        self.data = data
        self.on_written = on_written  # called once the command was written
        self.on_reply = on_reply
        self.fresh = fresh  # whether the command needs a new connection
        self.abandoned = False
        self.connection: ClientConnection | None = None
        self.answered_at = 0.0  # when the last byte of its answer arrived; 0 without an answer

    def abandon(self) -> None:
        """Stop waiting and close the connection, as a client does that leaves."""
        self.abandoned = True
        if self.connection is not None:
            self.connection.abandon()


class ClientPool:
    """The connections of one worker, at most `max_open`.

    Further commands wait for a connection, and that wait is part of their latency.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_open: int,
        on_unexpected: Callable[[str], None] = lambda last: None,
    ) -> None:
        self.address = address
        # called with the id of the last request when bytes arrive without an open request
        self.on_unexpected = on_unexpected
        self.max_open = max_open
        self.open = 0  # including connections that are being dialled
        # Whether the process ran out of file descriptors; `max_open` is then lowered to the open connections.
        self.exhausted = False
        self.idle: deque[ClientConnection] = deque()
        self.waiting: deque[PendingCommand] = deque()
        self.dials: set[asyncio.Task[None]] = set()

    def submit(
        self,
        name: str,
        data: bytes,
        on_reply: ReplyCallback,
        on_written: Callable[[], None] = lambda: None,
        fresh: bool = False,
    ) -> PendingCommand:
        """Send a command as soon as a connection is free; `fresh` asks for a new connection."""
        command = PendingCommand(name, data, on_reply, on_written, fresh)
        if fresh or not self._send_on_idle(command):
            self.waiting.append(command)
            self._dial_if_needed()
        return command

    def _send_on_idle(self, command: PendingCommand) -> bool:
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                self._send_on(connection, command)
                return True
        return False

    def _send_on(self, connection: ClientConnection, command: PendingCommand) -> None:
        command.connection = connection

        def on_reply(answer: Message | BaseException, reused: bool) -> None:
            command.connection = None
            if not isinstance(answer, BaseException):
                command.answered_at = connection.answered_at
            command.on_reply(answer, reused)

        connection.last_request = command.name
        connection.send(command.data, on_reply)
        command.on_written()

    def _dial_if_needed(self) -> None:
        if self.open < self.max_open and len(self.dials) < len(self.waiting):
            self.open += 1
            dial = asyncio.create_task(self._dial())
            self.dials.add(dial)
            dial.add_done_callback(self.dials.discard)

    async def _dial(self) -> None:
        connection = ClientConnection(self)
        try:
            await open_in_time(connection, connection, self.address, DIAL_TIMEOUT)
        except OSError as e:  # includes TimeoutError
            self.open -= 1
            if e.errno in (errno.EMFILE, errno.ENFILE) and self.open:
                # The limit is this process's: the command must not fail as if the target had refused it.
                self.exhausted = True
                self.max_open = self.open
                return
            command = self._next_waiting()
            if command is not None:
                command.on_reply(e, False)
            return
        self.release(connection)

    def _next_waiting(self) -> PendingCommand | None:
        while self.waiting:
            command = self.waiting.popleft()
            if not command.abandoned:
                return command
        return None

    def release(self, connection: ClientConnection) -> None:
        """Use a free connection for the next waiting command, or keep it as idle."""
        command = self._next_waiting()
        if command is None:
            self.idle.append(connection)
        elif command.fresh and connection.reused:
            self.waiting.appendleft(command)
            self.idle.append(connection)
        else:
            self._send_on(connection, command)

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has closed, and dial another if commands wait."""
        self.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._dial_if_needed()

    def close(self) -> None:
        """Cancel all dials and close the idle connections."""
        for dial in self.dials:
            dial.cancel()
        for connection in list(self.idle):
            connection.transport.abort()
