"""A pool of connections to the servers that speak one protocol: reuses idle ones and dials new ones."""

from __future__ import annotations

import asyncio
import errno
import itertools
import time
from collections import deque
from collections.abc import Callable

from myrtlecourse.interface import Status
from myrtlecourse.net.command import Command
from myrtlecourse.net.connection import Connection
from myrtlecourse.net.descriptors import DescriptorBudget
from myrtlecourse.net.dial import give_up, open_in_time
from myrtlecourse.net.exchange import AnswerReceiver, Exchange
from myrtlecourse.net.flow_control import StreamWindows
from myrtlecourse.net.request_log import CloseReason
from myrtlecourse.net.reuse_delay import ReuseDelay

IDLE_MARGIN = 0.5  # an idle connection is closed so many seconds before its server may close it
# errors of socket() and connect() that say nothing about the server: this machine lacks descriptors, ports or
# memory
LOCAL_SHORTAGE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)
MAX_DIALS_PER_ADDRESS = 16  # concurrent dials; handshakes are work for a server, above all one just started
MAX_STREAMED_ANSWER = 4 * 1024 * 1024  # bytes of a long answer, unless configured


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port` into its parts."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Pool:
    """The connections to all servers that speak one protocol."""

    def __init__(
        self,
        make_connection: type[Connection],
        budget: int,
        dial_timeout: float,
        server_idle_timeout: float,
        max_streamed: int = MAX_STREAMED_ANSWER,
        descriptors: DescriptorBudget | None = None,
        windows: StreamWindows | None = None,
    ) -> None:
        self.make_connection = make_connection
        self.max_streamed = max_streamed  # bytes of a long answer; a longer one is rejected
        self.windows = windows or StreamWindows()
        self.budget = budget  # descriptors of its own; it may borrow more
        self.descriptors = descriptors or DescriptorBudget(budget)
        self.descriptors.add(self)
        self.connections: set[Connection] = set()
        self.dials: dict[asyncio.Task[None], Connection] = {}
        self.dial_counts: dict[str, int] = {}  # by address: the number of dials that have not connected yet
        # by address: the exchanges that wait for a connection, each with the server process it is for
        self.wait_queues: dict[str, deque[tuple[object, Exchange]]] = {}
        # by address: starts the exchanges that wait once a connection may be reused
        self.reuse_timers: dict[str, asyncio.TimerHandle] = {}
        self.reuse_delay = ReuseDelay(make_connection.usual_reuse_delay)
        self.idle: dict[Connection, None] = {}  # the longest idle first
        self.idle_by_address: dict[str, dict[Connection, None]] = {}  # the same connections, by address
        self.idle_timer: asyncio.TimerHandle | None = None  # closes connections that are idle for too long
        self.set_timeouts(dial_timeout, server_idle_timeout)

    def set_timeouts(self, dial_timeout: float, server_idle_timeout: float) -> None:
        """Set how long a dial may take, and how long servers keep an idle connection (in seconds)."""
        self.dial_timeout = dial_timeout
        self.idle_time = max(0.0, server_idle_timeout - IDLE_MARGIN)
        # The timer was set with the previous timeout and could fire after the servers have closed
        # connections.
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self._close_expired()

    def start_attempt(
        self,
        address: str,
        command: Command,
        time_left: float,
        on_finished: Callable[[Status, bytes], None],
        process: object = None,
        receiver: AnswerReceiver | None = None,
    ) -> Exchange:
        """Start an attempt at the process that is listed at an address.

        A long answer is streamed to `receiver`; without a receiver it is rejected.
        """
        exchange = Exchange(command, time_left, on_finished, receiver)
        if self._start_on_idle(address, process, exchange):
            return exchange
        queued = len(self.wait_queues.get(address, ()))
        if self._should_wait(address, queued):
            self._enqueue(address, process, exchange)
        else:
            self._start_dial(address, process, exchange)
        return exchange

    def _start_on_idle(self, address: str, process: object, exchange: Exchange) -> bool:
        """Start an exchange on an idle connection; return False if none may be used."""
        while (connection := self._acquire_idle(address, process)) is not None:
            if connection.start_exchange(exchange):
                return True
        return False

    def _should_wait(self, address: str, queued: int) -> bool:
        """Return whether an exchange should wait, behind `queued` others, instead of dialling.

        It waits if so many dials are in progress that another would be a burst of handshakes for the server,
        or if an idle connection may be reused soon.
        """
        if self.dial_counts.get(address, 0) >= MAX_DIALS_PER_ADDRESS:
            return True
        idle_here = self.idle_by_address.get(address, {})
        connection = next(itertools.islice(idle_here, queued, None), None)
        if connection is None:
            return False
        now = time.monotonic()
        return self._reusable_at(connection, now) - now <= connection.max_reuse_wait

    def _enqueue(self, address: str, process: object, exchange: Exchange) -> None:
        self.wait_queues.setdefault(address, deque()).append((process, exchange))
        self._arm_reuse_timer(address)

    def _arm_reuse_timer(self, address: str) -> None:
        """Set a timer for when the first idle connection may be reused, if exchanges wait for it."""
        if address not in self.wait_queues or address in self.reuse_timers:
            return
        connection = next(iter(self.idle_by_address.get(address, ())), None)
        if connection is not None:
            now = time.monotonic()
            delay = max(0.0, self._reusable_at(connection, now) - now)
            self.reuse_timers[address] = asyncio.get_running_loop().call_later(
                delay, self._on_reuse_timer, address
            )

    def _on_reuse_timer(self, address: str) -> None:
        del self.reuse_timers[address]
        self._serve_waiting(address)

    def _serve_waiting(self, address: str) -> None:
        """Start the exchanges that wait for an address, as far as connections or dials are to be had."""
        while (waiting := self._next_waiting(address)) is not None:
            process, exchange = waiting
            if self._start_on_idle(address, process, exchange):
                continue
            if self._should_wait(address, 0):
                self.wait_queues.setdefault(address, deque()).appendleft(waiting)
                self._arm_reuse_timer(address)
                return
            self._start_dial(address, process, exchange)

    def _start_dial(self, address: str, process: object, exchange: Exchange) -> None:
        if not self._has_room():
            # Nothing is dialled when no descriptor is free: then no client could be accepted either. The
            # server is not to blame, hence NOT_SENT.
            exchange.finish(Status.NOT_SENT)
            return
        connection = self.make_connection(self, address)
        connection.server_process = process
        connection.first_exchange = exchange
        self.dial_counts[address] = self.dial_counts.get(address, 0) + 1
        dial = asyncio.create_task(self._dial(connection, exchange))
        self.dials[dial] = connection
        dial.add_done_callback(self._on_dial_done)

    def dial_ended(self, address: str) -> None:
        """Handle that a dial has succeeded or failed, and start exchanges that wait."""
        remaining = self.dial_counts[address] - 1
        if remaining:
            self.dial_counts[address] = remaining
        else:
            del self.dial_counts[address]
        self._serve_waiting(address)

    def _next_waiting(self, address: str) -> tuple[object, Exchange] | None:
        """Remove and return the first exchange that is wanted and waits for a connection to an address."""
        wait_queue = self.wait_queues.get(address)
        while wait_queue:
            process, exchange = wait_queue.popleft()
            if not wait_queue:
                del self.wait_queues[address]
            if exchange.check_still_wanted():
                return process, exchange
        return None

    def _fail_waiting(self, address: str, status: Status) -> None:
        """Finish the exchanges that wait for an address, so that each need not wait for its own failing dial.

        Nothing of them has been sent.
        """
        while (waiting := self._next_waiting(address)) is not None:
            waiting[1].finish(status)

    async def _dial(self, connection: Connection, exchange: Exchange) -> None:
        address = connection.address
        try:
            await open_in_time(connection, connection, parse_address(address), self.dial_timeout)
        except OSError as e:  # including a timeout
            # Once connected, the request may have been sent, and the end of the connection decides its
            # outcome.
            if not connection.connected:
                status = Status.NOT_SENT if e.errno in LOCAL_SHORTAGE_ERRORS else Status.CONNECT_FAILED
                if address not in self.idle_by_address:
                    self._fail_waiting(address, status)
                exchange.finish(status)

    def _on_dial_done(self, dial: asyncio.Task[None]) -> None:
        connection = self.dials.pop(dial)
        if not connection.connected:
            self.dial_ended(connection.address)

    def _reusable_at(self, connection: Connection, now: float) -> float:
        """Return when an idle connection may carry another request; it may at once if it carried none."""
        if not connection.requests_written:
            return connection.idle_since
        delay = self.reuse_delay.seconds(now)
        if now < connection.idle_since + delay and self._is_short_of_descriptors():
            delay = self.reuse_delay.seconds(now, scarce=True)
        return connection.idle_since + delay

    def _is_short_of_descriptors(self) -> bool:
        """Return whether a dial would have to take the descriptor of another connection."""
        return (
            self.descriptors_used() >= self.budget
            or self.descriptors.descriptors_used() >= self.descriptors.total
        )

    def _acquire_idle(self, address: str, process: object) -> Connection | None:
        """Remove and return the connection to a process that is idle for longest, if it may be reused.

        Stray bytes that arrive some time after a good answer are then found while the connection is idle. On
        the most recently used one they would more likely follow the next request and be taken for its answer.
        """
        now = time.monotonic()
        while (connection := next(iter(self.idle_by_address.get(address, ())), None)) is not None:
            if connection.server_process != process:
                self._remove_idle(connection)
                connection.drop(CloseReason.OTHER_PROCESS)
            elif self._reusable_at(connection, now) > now:
                return None
            else:
                self._remove_idle(connection)
                return connection
        return None

    def descriptors_used(self) -> int:
        """Return the descriptors in use, including dials."""
        return len(self.connections) + sum(self.dial_counts.values())

    def close_one_idle(self) -> bool:
        """Close the connection that is idle for longest; return False if none is idle."""
        for connection in self.idle:
            connection.drop(CloseReason.NO_ROOM)
            return True
        return False

    def _has_room(self) -> bool:
        return self.descriptors.may_open(self) or self.close_one_idle()

    def release(self, connection: Connection) -> None:
        """Keep a free connection until the server would close it."""
        connection.idle_since = time.monotonic()
        self.idle[connection] = None
        idle_here = self.idle_by_address.get(connection.address)
        if idle_here is None:
            idle_here = self.idle_by_address[connection.address] = {}
        idle_here[connection] = None
        if self.idle_timer is None:
            self.idle_timer = asyncio.get_running_loop().call_later(self.idle_time, self._close_expired)
        if self.wait_queues:
            self._arm_reuse_timer(connection.address)

    def _close_expired(self) -> None:
        """Close connections that are idle for too long; one timer serves all, as nearly all are reused."""
        self.idle_timer = None
        now = time.monotonic()
        for connection in list(self.idle):
            remaining = connection.idle_since + self.idle_time - now
            if remaining > 0:
                self.idle_timer = asyncio.get_running_loop().call_later(remaining, self._close_expired)
                return
            connection.drop(CloseReason.IDLE)

    def _remove_idle(self, connection: Connection) -> None:
        if connection in self.idle:
            del self.idle[connection]
            idle_here = self.idle_by_address[connection.address]
            del idle_here[connection]
            if not idle_here:
                del self.idle_by_address[connection.address]

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        connection.release_answer()
        self.connections.discard(connection)
        self._remove_idle(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in list(self.idle_by_address.get(address, ())):
            connection.drop(CloseReason.OTHER_PROCESS)

    def close_all_idle(self) -> None:
        """Close all idle connections; little is sent from now on."""
        while self.close_one_idle():
            pass

    def stop_using(self, address: str) -> None:
        """Close the idle connections to an address and cancel the exchanges that wait for one."""
        self.close_idle(address)
        self._fail_waiting(address, Status.NOT_SENT)

    def close(self) -> None:
        """Close all connections and cancel all dials."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        for timer in self.reuse_timers.values():
            timer.cancel()
        self.wait_queues.clear()
        for connection in list(self.connections):
            connection.drop(CloseReason.ENDING)
        for dial, connection in list(self.dials.items()):
            if connection.first_exchange is not None:
                connection.first_exchange.abandon()
            give_up(connection, dial)
