"""The listener and the connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import hiredis

from brackenwalk.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, read_command
from brackenwalk.net.host import Host
from brackenwalk.net.pool import readable

MAX_COMMAND = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes held for a command that is not whole
MAX_PIPELINED = 32  # commands of one connection that wait for their answers
BACKLOG = 512
ACCEPT_PAUSE = 0.1  # after a failed accept, so that running out of descriptors does not spin
NOT_YET = object()
log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Slot:
    """A command's place in the order of answers."""

    request: str | None = None
    answer: bytes | None = None


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, host: Host, listener: Listener) -> None:
        self.host = host
        self.listener = listener
        self.reader = hiredis.Reader(notEnoughData=NOT_YET)
        self.held_back = 0  # bytes since the last whole command
        self.slots: deque[Slot] = deque()
        self.reading = True
        self.writable = True
        self.ending = False  # no command is taken any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections[self] = None

    def data_received(self, data: bytes) -> None:
        self.held_back += len(data)
        try:
            self.reader.feed(data)
            self._take_commands()
        except Exception:
            # guards the router: a fault here ends this connection alone, and its requests are settled
            log.exception("connection of a client")
            self.transport.abort()

    def _take_commands(self) -> None:
        # a closing connection takes nothing more: nobody would hear that its client is gone
        while self._wanted() and not self.transport.is_closing():
            try:
                parts = self.reader.gets()
            except (hiredis.ProtocolError, MemoryError) as e:
                self._end_with(f"-ERR {e}")
                return
            if parts is NOT_YET:
                if self.held_back > MAX_COMMAND:
                    self._end_with("-ERR command is too long")
                break
            self.held_back = self.reader.len() if self.reader.has_data() else 0
            self._take(parts)
        self._read_or_not()

    def _take(self, parts: object) -> None:
        slot = Slot()
        self.slots.append(slot)
        answer = partial(self._answer, slot)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            answer(b"+PONG\r\n" if self.host.ready() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
        except CommandError as e:
            answer(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))
            return
        slot.request = command.request.decode()
        if self.host.take(command, answer) is None:
            slot.request = None
            answer(b"-ERR this request id is in use\r\n")

    def _answer(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        while self.slots and self.slots[0].answer is not None:
            self.transport.write(self.slots.popleft().answer or b"")
        if not self.slots:
            self.listener.changed.set()
        if self.ending and not self.slots:
            self.transport.close()
        elif not self.reading:
            asyncio.get_running_loop().call_soon(self._take_commands)

    def _end_with(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.ending = True
        slot = Slot()
        self.slots.append(slot)
        self._answer(slot, error.encode("ascii", "replace").replace(b"\r\n", b" ") + b"\r\n")

    def _wanted(self) -> bool:
        return not self.ending and self.writable and len(self.slots) < MAX_PIPELINED

    def _read_or_not(self) -> None:
        """Bounds what a client can make the router hold: no reading while too much is unanswered."""
        wanted = self._wanted()
        if wanted != self.reading and not self.transport.is_closing():
            self.reading = wanted
            (self.transport.resume_reading if wanted else self.transport.pause_reading)()

    def pause_writing(self) -> None:
        self.writable = False
        self._read_or_not()

    def resume_writing(self) -> None:
        self.writable = True
        self._take_commands()

    def idle(self) -> bool:
        """Whether nothing is owed, begun or unread."""
        return not self.slots and not self.held_back and not readable(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.forget(self)
        for slot in self.slots:
            if slot.answer is None and slot.request is not None:
                self.host.client_gone(slot.request)
        self.slots.clear()


class Listener:
    """Accepts clients, within a budget of descriptors."""

    def __init__(self, host: Host, budget: int) -> None:
        self.host = host
        self.budget = budget
        self.connections: dict[ClientConnection, None] = {}  # in the order they came
        self.changed = asyncio.Event()  # a connection has ended or fallen idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.accepting: asyncio.Task[None] | None = None

    def start(self, address: tuple[str, int]) -> None:
        """Listen and accept."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(BACKLOG)
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                client, _ = await loop.sock_accept(self.socket)
                connection = ClientConnection(self.host, self)
                await loop.connect_accepted_socket(lambda c=connection: c, client)  # type: ignore[misc]
            except OSError as e:
                log.warning("accept: %s", e)
                await asyncio.sleep(ACCEPT_PAUSE)
            else:
                await self._make_room(connection)

    async def _make_room(self, newest: ClientConnection) -> None:
        """Guards the descriptors: the newest client costs an idle one, or waits until there is one."""
        while len(self.connections) > self.budget:
            self.changed.clear()
            idle = next((c for c in self.connections if c is not newest and c.idle()), None)
            if idle is not None:
                idle.transport.close()
            await self.changed.wait()

    def forget(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""
        self.connections.pop(connection, None)
        self.changed.set()

    async def stop(self, still_coming: float, longest: float) -> None:
        """Accept for a while longer, then no more; end when nothing is owed to any client."""
        await asyncio.sleep(still_coming)
        if self.accepting is not None:
            self.accepting.cancel()
        self.socket.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(longest):
                while self.connections:
                    self.changed.clear()
                    for connection in list(self.connections):
                        # closed between requests: one that has begun to come in is waited for
                        if connection.idle():
                            connection.transport.close()
                    await self.changed.wait()
