"""The kept connections to servers that speak one protocol, and the dials of new ones."""

from __future__ import annotations

import asyncio
import errno
import time
from collections import deque
from collections.abc import Callable

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.connection import Connection, Exchange, Receiver
from myrtlecourse.net.descriptors import Descriptors
from myrtlecourse.net.request_log import Close
from myrtlecourse.net.window import Windows

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
# errors of socket() and connect() that say nothing of the server: this machine lacks room, ports or memory
OWN_SHORTAGE = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)
MOST_DIALS = 16  # to one address at a time: opening them is work for a server, most for one just started
MAX_PASSED = 4 * 1024 * 1024  # bytes of a long answer, unless the configuration tells


def address_of(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Pool:
    """The connections to servers that speak one protocol."""

    def __init__(
        self,
        make: Callable[[Pool, str], Connection],
        budget: int,
        dial_timeout: float,
        idle: float,
        max_passed: int = MAX_PASSED,
        descriptors: Descriptors | None = None,
        windows: Windows | None = None,
    ) -> None:
        self.make = make
        self.max_passed = max_passed  # bytes of a long answer
        self.windows = windows or Windows()
        self.budget = budget  # of descriptors, to which others may lend
        self.descriptors = descriptors or Descriptors(budget)
        self.descriptors.add(self)
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.dialling: dict[str, int] = {}  # of those, the ones to each address whose connection is not up
        self.waiting: dict[str, deque[tuple[object, Exchange]]] = {}  # for a connection to each address
        self.idle: dict[Connection, None] = {}  # of all addresses, longest first
        self.idle_at: dict[str, dict[Connection, None]] = {}  # of each
        self.sweep: asyncio.TimerHandle | None = None  # of connections idle for too long
        self.retune(dial_timeout, idle)

    def retune(self, dial_timeout: float, idle: float) -> None:
        """How long a dial may take, and for how long the peers keep an idle connection (seconds)."""
        self.dial_timeout = dial_timeout
        self.idle_time = max(0.0, idle - IDLE_MARGIN)
        if self.sweep is not None:  # by the time before it could come after the peers have closed them
            self.sweep.cancel()
            self._sweep()

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Callable[[Status, bytes], None],
        process: object = None,
        receiver: Receiver | None = None,
    ) -> Exchange:
        """Start an attempt on the process that is at an address now.

        A long answer goes to the receiver; without one it is spoilt.
        """
        exchange = Exchange(command, time_left, done, receiver)
        while (kept := self._take(address, process)) is not None:
            if kept.begin(exchange):
                return exchange
        if self.dialling.get(address, 0) >= MOST_DIALS:
            # guards a server against a storm of handshakes: a dial or an answer frees a connection soon
            self.waiting.setdefault(address, deque()).append((process, exchange))
        else:
            self._open(address, process, exchange)
        return exchange

    def _open(self, address: str, process: object, exchange: Exchange) -> None:
        if not self._has_room():
            # guards against running out of descriptors, which would stop new clients as well
            exchange.finish(Status.NOT_SENT)  # not the server's fault
            return
        dial = asyncio.create_task(self._dial(address, process, exchange))
        self.dialling[address] = self.dialling.get(address, 0) + 1
        self.dials.add(dial)
        dial.add_done_callback(self.dials.discard)

    def dialled(self, address: str) -> None:
        """A dial is over, whatever came of it."""
        left = self.dialling[address] - 1
        if left:
            self.dialling[address] = left
        else:
            del self.dialling[address]
        waiting = self._next_waiting(address)
        if waiting is not None:
            self._open(address, *waiting)

    def _next_waiting(self, address: str) -> tuple[object, Exchange] | None:
        """The first that still waits for a connection to an address."""
        queue = self.waiting.get(address)
        while queue:
            process, exchange = queue.popleft()
            if not queue:
                del self.waiting[address]
            if exchange.may_begin():
                return process, exchange
        return None

    def _fail_waiting(self, address: str, status: Status) -> None:
        """Nothing of them was sent: they need not each wait for a dial that fails as this one has."""
        while (waiting := self._next_waiting(address)) is not None:
            waiting[1].finish(status)

    async def _dial(self, address: str, process: object, exchange: Exchange) -> None:
        connection = self.make(self, address)
        connection.process = process
        connection.dialled_for = exchange
        try:
            async with asyncio.timeout(self.dial_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address_of(address))
        except OSError as e:  # a time-out is one
            # once it is made the request may be on its way, and the connection's end tells what became of it
            if not connection.made:
                status = Status.NOT_SENT if e.errno in OWN_SHORTAGE else Status.CONNECT_FAILED
                self._fail_waiting(address, status)
                exchange.finish(status)
        finally:
            if not connection.made:
                self.dialled(address)

    def _take(self, address: str, process: object) -> Connection | None:
        """The kept connection idle for longest, if there is one.

        Guards against what follows a good answer after a while: on the one used last it would more likely
        come behind the next request, and be taken for its answer.
        """
        while (connection := next(iter(self.idle_at.get(address, ())), None)) is not None:
            self._leave_idle(connection)
            if connection.process == process:
                return connection
            connection.drop(Close.OTHER_PROCESS)
        return None

    def used(self) -> int:
        """Descriptors held."""
        return len(self.connections) + sum(self.dialling.values())

    def give_back(self) -> bool:
        """Close the connection that is idle for longest, if any is."""
        for connection in self.idle:
            connection.drop(Close.NO_ROOM)
            return True
        return False

    def _has_room(self) -> bool:
        return self.descriptors.may_take(self) or self.give_back()

    def keep(self, connection: Connection) -> None:
        """Hold a connection for the next attempt until the server would close it."""
        if self.waiting and (waiting := self._next_waiting(connection.address)) is not None:
            process, exchange = waiting
            if connection.process == process and connection.begin(exchange):
                return
            self.waiting.setdefault(connection.address, deque()).appendleft(waiting)
            if connection.transport.is_closing():
                return
        connection.idle_since = time.monotonic()
        self.idle[connection] = None
        at = self.idle_at.get(connection.address)
        if at is None:
            at = self.idle_at[connection.address] = {}
        at[connection] = None
        if self.sweep is None:
            self.sweep = asyncio.get_running_loop().call_later(self.idle_time, self._sweep)

    def _sweep(self) -> None:
        """Close what has been idle for too long: one timer for all, as nearly all are used again."""
        self.sweep = None
        now = time.monotonic()
        for connection in list(self.idle):
            left = connection.idle_since + self.idle_time - now
            if left > 0:
                self.sweep = asyncio.get_running_loop().call_later(left, self._sweep)
                return
            connection.drop(Close.IDLE)

    def _leave_idle(self, connection: Connection) -> None:
        if connection in self.idle:
            del self.idle[connection]
            at = self.idle_at[connection.address]
            del at[connection]
            if not at:
                del self.idle_at[connection.address]

    def forget(self, connection: Connection) -> None:
        """Note that a connection is closed."""
        connection.stop_expiry()
        self.connections.discard(connection)
        self._leave_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to one address."""
        for connection in list(self.idle_at.get(address, ())):
            connection.drop(Close.OTHER_PROCESS)

    def close_all_idle(self) -> None:
        """Close all kept connections: what is sent from now on is little."""
        while self.give_back():
            pass

    def leave(self, address: str) -> None:
        """Nothing more goes to an address: not on a kept connection, nor when a dial is over."""
        self.close_idle(address)
        self._fail_waiting(address, Status.NOT_SENT)

    def close(self) -> None:
        """Close everything."""
        if self.sweep is not None:
            self.sweep.cancel()
        self.waiting.clear()
        for connection in list(self.connections):
            connection.drop(Close.ENDING)
        for dial in self.dials:
            dial.cancel()
