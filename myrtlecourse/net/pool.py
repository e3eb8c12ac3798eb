"""The kept connections to servers that speak one protocol, and the dials of new ones."""

from __future__ import annotations

import asyncio
import errno
import time
from collections import deque
from collections.abc import Callable

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.connection import AnswerReceiver, Connection, Exchange
from myrtlecourse.net.descriptors import DescriptorBudget
from myrtlecourse.net.flow_control import StreamWindows
from myrtlecourse.net.request_log import CloseReason

IDLE_MARGIN = 0.5  # seconds before the peer may close an idle connection at which it is no longer used
# errors of socket() and connect() that say nothing of the server: this machine lacks room, ports or memory
LOCAL_SHORTAGE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)
MAX_DIALS_PER_ADDRESS = (
    16  # to one address at a time: opening them is work for a server, most for one just started
)
MAX_STREAMED_ANSWER = 4 * 1024 * 1024  # bytes of a long answer, unless the configuration tells


def parse_address(text: str) -> tuple[str, int]:
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
        max_passed: int = MAX_STREAMED_ANSWER,
        descriptors: DescriptorBudget | None = None,
        windows: StreamWindows | None = None,
    ) -> None:
        self.make_connection = make
        self.max_streamed = max_passed  # bytes of a long answer
        self.windows = windows or StreamWindows()
        self.budget = budget  # of descriptors, to which others may lend
        self.descriptors = descriptors or DescriptorBudget(budget)
        self.descriptors.add(self)
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.dial_counts: dict[str, int] = {}  # of those, the ones to each address whose connection is not up
        self.wait_queues: dict[str, deque[tuple[object, Exchange]]] = {}  # for a connection to each address
        self.idle: dict[Connection, None] = {}  # of all addresses, longest first
        self.idle_by_address: dict[str, dict[Connection, None]] = {}  # of each
        self.idle_timer: asyncio.TimerHandle | None = None  # of connections idle for too long
        self.set_timeouts(dial_timeout, idle)

    def set_timeouts(self, dial_timeout: float, idle: float) -> None:
        """How long a dial may take, and for how long the peers keep an idle connection (seconds)."""
        self.dial_timeout = dial_timeout
        self.idle_time = max(0.0, idle - IDLE_MARGIN)
        if self.idle_timer is not None:  # by the time before it could come after the peers have closed them
            self.idle_timer.cancel()
            self._close_expired()

    def start_attempt(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Callable[[Status, bytes], None],
        process: object = None,
        receiver: AnswerReceiver | None = None,
    ) -> Exchange:
        """Start an attempt on the process that is at an address now.

        A long answer goes to the receiver; without one it is spoilt.
        """
        exchange = Exchange(command, time_left, done, receiver)
        while (kept := self._acquire_idle(address, process)) is not None:
            if kept.start_exchange(exchange):
                return exchange
        if self.dial_counts.get(address, 0) >= MAX_DIALS_PER_ADDRESS:
            # guards a server against a storm of handshakes: a dial or an answer frees a connection soon
            self.wait_queues.setdefault(address, deque()).append((process, exchange))
        else:
            self._start_dial(address, process, exchange)
        return exchange

    def _start_dial(self, address: str, process: object, exchange: Exchange) -> None:
        if not self._has_room():
            # guards against running out of descriptors, which would stop new clients as well
            exchange.finish(Status.MOOT)  # not the server's fault
            return
        dial = asyncio.create_task(self._dial(address, process, exchange))
        self.dial_counts[address] = self.dial_counts.get(address, 0) + 1
        self.dials.add(dial)
        dial.add_done_callback(self.dials.discard)

    def dial_ended(self, address: str) -> None:
        """A dial is over, whatever came of it."""
        left = self.dial_counts[address] - 1
        if left:
            self.dial_counts[address] = left
        else:
            del self.dial_counts[address]
        waiting = self._next_waiting(address)
        if waiting is not None:
            self._start_dial(address, *waiting)

    def _next_waiting(self, address: str) -> tuple[object, Exchange] | None:
        """The first that still waits for a connection to an address."""
        queue = self.wait_queues.get(address)
        while queue:
            process, exchange = queue.popleft()
            if not queue:
                del self.wait_queues[address]
            if exchange.check_still_wanted():
                return process, exchange
        return None

    def _fail_waiting(self, address: str, status: Status) -> None:
        """Nothing of them was sent: they need not each wait for a dial that fails as this one has."""
        while (waiting := self._next_waiting(address)) is not None:
            waiting[1].finish(status)

    async def _dial(self, address: str, process: object, exchange: Exchange) -> None:
        connection = self.make_connection(self, address)
        connection.server_process = process
        connection.first_exchange = exchange
        try:
            async with asyncio.timeout(self.dial_timeout):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *parse_address(address)
                )
        except OSError as e:  # a time-out is one
            # once it is made the request may be on its way, and the connection's end tells what became of it
            if not connection.connected:
                status = Status.MOOT if e.errno in LOCAL_SHORTAGE_ERRORS else Status.CONNECT_FAILED
                self._fail_waiting(address, status)
                exchange.finish(status)
        finally:
            if not connection.connected:
                self.dial_ended(address)

    def _acquire_idle(self, address: str, process: object) -> Connection | None:
        """The kept connection idle for longest, if there is one.

        Guards against what follows a good answer after a while: on the one used last it would more likely
        come behind the next request, and be taken for its answer.
        """
        while (connection := next(iter(self.idle_by_address.get(address, ())), None)) is not None:
            self._remove_idle(connection)
            if connection.server_process == process:
                return connection
            connection.drop(CloseReason.OTHER_PROCESS)
        return None

    def descriptors_used(self) -> int:
        """DescriptorBudget held."""
        return len(self.connections) + sum(self.dial_counts.values())

    def close_one_idle(self) -> bool:
        """Close the connection that is idle for longest, if any is."""
        for connection in self.idle:
            connection.drop(CloseReason.NO_ROOM)
            return True
        return False

    def _has_room(self) -> bool:
        return self.descriptors.may_open(self) or self.close_one_idle()

    def release(self, connection: Connection) -> None:
        """Hold a connection for the next attempt until the server would close it."""
        if self.wait_queues and (waiting := self._next_waiting(connection.address)) is not None:
            process, exchange = waiting
            if connection.server_process == process and connection.start_exchange(exchange):
                return
            self.wait_queues.setdefault(connection.address, deque()).appendleft(waiting)
            if connection.transport.is_closing():
                return
        connection.idle_since = time.monotonic()
        self.idle[connection] = None
        at = self.idle_by_address.get(connection.address)
        if at is None:
            at = self.idle_by_address[connection.address] = {}
        at[connection] = None
        if self.idle_timer is None:
            self.idle_timer = asyncio.get_running_loop().call_later(self.idle_time, self._close_expired)

    def _close_expired(self) -> None:
        """Close what has been idle for too long: one timer for all, as nearly all are used again."""
        self.idle_timer = None
        now = time.monotonic()
        for connection in list(self.idle):
            left = connection.idle_since + self.idle_time - now
            if left > 0:
                self.idle_timer = asyncio.get_running_loop().call_later(left, self._close_expired)
                return
            connection.drop(CloseReason.IDLE)

    def _remove_idle(self, connection: Connection) -> None:
        if connection in self.idle:
            del self.idle[connection]
            at = self.idle_by_address[connection.address]
            del at[connection]
            if not at:
                del self.idle_by_address[connection.address]

    def remove(self, connection: Connection) -> None:
        """Note that a connection is closed."""
        connection.cancel_answer_timer()
        self.connections.discard(connection)
        self._remove_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the kept connections to one address."""
        for connection in list(self.idle_by_address.get(address, ())):
            connection.drop(CloseReason.OTHER_PROCESS)

    def close_all_idle(self) -> None:
        """Close all kept connections: what is sent from now on is little."""
        while self.close_one_idle():
            pass

    def stop_using(self, address: str) -> None:
        """Nothing more goes to an address: not on a kept connection, nor when a dial is over."""
        self.close_idle(address)
        self._fail_waiting(address, Status.MOOT)

    def close(self) -> None:
        """Close everything."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.wait_queues.clear()
        for connection in list(self.connections):
            connection.drop(CloseReason.ENDING)
        for dial in self.dials:
            dial.cancel()
