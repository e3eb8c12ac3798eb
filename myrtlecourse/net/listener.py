"""The listener: which clients are let in, and which go when there are too many."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from itertools import chain, islice

from myrtlecourse import interface as api
from myrtlecourse.net.clients import AnswerSlot, ClientConnection
from myrtlecourse.net.descriptors import DescriptorBudget
from myrtlecourse.net.flow_control import StreamWindows, UploadMemory
from myrtlecourse.net.hangup import HangUpMonitor
from myrtlecourse.net.host import Host
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import CloseReason

BACKLOG = 512
MAX_CANDIDATES = 16  # connections looked at for one that may go, in each place where they are found
MAX_ACCEPTS = (
    32  # connections taken in at most in a turn of the event loop, so that those already up have theirs
)
# errors of accept() that are those of one connection, which was on its way: the next may be well (accept(2))
SINGLE_CLIENT_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
ACCEPT_PAUSE = 0.1  # after a failed accept, so that running out of descriptors does not spin
COMMAND_TIMEOUT = (
    2.6  # seconds for a head to come: an honest one may take 2, a bad one is owed a word within 3
)
VALUE_STALL_TIMEOUT = 1.0  # seconds in which some of a value must come after that
IDLE_TIMEOUT = 2.0  # seconds after which an idle connection may be closed
SINGLE_COMMAND_IDLE_TIMEOUT = 0.1  # the same for one that has asked once only, while there are many
FIRST_COMMAND_GRACE = 0.05  # seconds that a new client has to send its first command, however crowded it is
DRAIN_FIRST_COMMAND_GRACE = 0.5  # seconds that a new client has for it while this process ends or is emptied
SWEEP_INTERVAL = 0.1  # seconds between looks for connections that are overdue
LOGGED_LOOP_LAG = 0.05  # seconds by which such a look comes late, that are worth a line in the log
FRONT_REACTION_TIME = (
    0.5  # seconds for which clients go on coming after an end that the front must notice: 0.2 to 0.4
)
DRAIN_REFUSAL_DELAY = (
    1.5  # seconds after which a router that is emptied takes no command of those that stay, of 2
)
LINGERING_ALLOWANCE = 8  # closed connections, still read, that hold descriptors beside the budget
STALLED_ANSWER_TIMEOUT = 10.0  # seconds for which a client may take nothing of a long answer
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)


class Listener:
    """Accepts clients, within a budget of descriptors."""

    def __init__(
        self,
        host: Host,
        budget: int,
        descriptors: DescriptorBudget | None = None,
        windows: StreamWindows | None = None,
        room: UploadMemory | None = None,
    ) -> None:
        self.host = host
        self.windows = windows or StreamWindows()
        self.upload_memory = room or UploadMemory()
        self.budget = budget
        self.descriptors = descriptors or DescriptorBudget(budget)
        self.descriptors.add(self)
        self.connections: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # of those, closed and still read, longest first
        self.evicted: set[ClientConnection] = set()  # aborted, whose descriptors are free in a moment
        self.hang_up_monitor = HangUpMonitor()  # of those that are not read
        self.stopping = False  # this process ends: clients go as soon as nothing is owed to them
        self.setup_tasks: set[asyncio.Task[None]] = set()  # accepted, and not yet among those
        # long answers that their clients don't take, each since when, longest first
        self.stalled_answers: dict[AnswerSlot, float] = {}
        self.paused_after_error: dict[ClientConnection, None] = {}  # that are not read, having sent an error
        # connections on which nothing is owed, each since when, longest first
        self.awaiting_command: dict[ClientConnection, float] = {}  # a first command, or the rest of one
        self.idle: dict[ClientConnection, float] = {}
        self.accept_ready = asyncio.Event()  # clients, to be accepted
        self.consecutive_accept_failures = 0  # in a row
        self.changed = asyncio.Event()  # a connection has ended or fallen idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tasks: list[asyncio.Task[None]] = []
        self.drain_task: asyncio.Task[None] | None = None  # while operators have it out of service
        self.inherited = False  # the socket, which others hold as well
        self.holds_address: Callable[[], bool] | None = (
            None  # whether the service address is here, where it may move
        )
        self.loop: asyncio.AbstractEventLoop  # from the start on

    def start(self, address: tuple[str, int], inherited: int | None = None) -> None:
        """Listen and accept, on a socket that is inherited listening if its descriptor is given."""
        self.loop = asyncio.get_running_loop()
        if inherited is None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.setblocking(False)
            self.socket.bind(address)
            self.socket.listen(BACKLOG)
        else:
            self.socket.close()
            self.socket = socket.socket(fileno=inherited)
            self.socket.setblocking(False)
            self.inherited = True
        self.tasks = [asyncio.create_task(self._accept()), asyncio.create_task(self._sweep())]

    async def _accept(self) -> None:
        """Take in all that wait, a few in each turn of the loop.

        One a turn left clients in the backlog while turns grew long, until they had gone away: what was read
        from them then was spent for nobody, and each came again on a new connection.
        """
        while True:
            try:
                await self._wait_for_clients()
                for _ in range(MAX_ACCEPTS):
                    if not await self._accept_one():
                        break
            except OSError as e:
                # guards the router: without this task no client would ever be let in again
                rate_limited_log.log(logging.WARNING, "accept: %s", e)
                await asyncio.sleep(ACCEPT_PAUSE)

    async def _wait_for_clients(self) -> None:
        """Wait for the backlog, which is not looked at else: the loop would spin while there is no room."""
        self.accept_ready.clear()
        self.loop.add_reader(self.socket.fileno(), self.accept_ready.set)
        try:
            await self.accept_ready.wait()
        finally:
            if self.socket.fileno() >= 0:
                self.loop.remove_reader(self.socket.fileno())

    async def _accept_one(self) -> bool:
        """Take in a client, and make room for it; False when there is none.

        Raises:
            OSError: the system has no room for one, and will have none in the next instant either.
        """
        try:
            client, _ = self.socket.accept()
        except BlockingIOError:
            return False
        except OSError as e:
            self.consecutive_accept_failures += 1
            # guards the core: one that fails for good would be called again and again
            if e.errno not in SINGLE_CLIENT_ERRORS or self.consecutive_accept_failures % MAX_ACCEPTS == 0:
                raise
            rate_limited_log.log(logging.INFO, "a client's connection ended before it was accepted: %s", e)
            return True
        self.consecutive_accept_failures = 0
        if self.holds_address is not None and not self.holds_address():
            # guards against a process that was stopped: what waits came for the holder that it was
            client.close()
            return True
        try:
            client.setblocking(False)
            # guards small answers: the system held them back until the one before was acknowledged; event
            # loops see to it only for sockets that name their protocol
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as e:
            rate_limited_log.log(logging.INFO, "a client's connection ended as it was accepted: %s", e)
            client.close()
            return True
        task = self.loop.create_task(self._set_up(client))
        self.setup_tasks.add(task)
        task.add_done_callback(self.setup_tasks.discard)
        await self._make_room()
        return True

    async def _set_up(self, client: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: ClientConnection(self.host, self, client), client
            )
        except OSError as e:
            rate_limited_log.log(logging.INFO, "a client's connection ended as it began: %s", e)

    async def _make_room(self) -> None:
        """Guards the descriptors: a client too many costs one that owes a command, or one that is idle.

        One that has just sent an error goes first, whatever it has sent behind it, and one that asked once
        and stays before one that asks again and again. While all have requests open, others wait outside.
        """
        while self.descriptors_used() > self.budget or not self.descriptors.fits_after_open(self):
            self.changed.clear()
            now = asyncio.get_running_loop().time()
            if self.evicted:
                await asyncio.sleep(0)
                continue
            if len(self.lingering) > LINGERING_ALLOWANCE:
                self._evict(next(iter(self.lingering)))
                continue
            erring = (c for c in self.paused_after_error if not c.slots and not c.ending)
            # a look at a few: to ask the kernel about each, for each that comes, took a tenth of a full core
            late = (
                c
                for c, since in islice(self.awaiting_command.items(), MAX_CANDIDATES)
                if now - since > FIRST_COMMAND_GRACE
            )
            once = (c for c in islice(self.idle, MAX_CANDIDATES) if c.command_count == 1)
            idle = islice(self.idle, MAX_CANDIDATES)
            victim = next(erring, None)
            if victim is None:
                victim = next((c for c in chain(late, once, idle) if not c.has_unread_input()), None)
            if victim is not None:
                victim.close(CloseReason.NO_ROOM)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_COMMAND_GRACE):
                    await self.changed.wait()

    def descriptors_used(self) -> int:
        """DescriptorBudget held, but for those of a few closed connections: the reserve has room for them."""
        return len(self.connections) + len(self.setup_tasks) - min(LINGERING_ALLOWANCE, len(self.lingering))

    def close_one_idle(self) -> bool:
        """Clients lend what they don't use, and borrow nothing: there is nothing to return."""
        return False

    async def _sweep(self) -> None:
        """Guards against clients that say nothing, or half a command, and those that stay for good."""
        turns = self.host.loop_lag
        while True:
            turns.expect_heartbeat(SWEEP_INTERVAL)
            await asyncio.sleep(SWEEP_INTERVAL)
            if (late := turns.heartbeat()) > LOGGED_LOOP_LAG:
                rate_limited_log.log(logging.WARNING, "the event loop was held up for %.3f s", late)
            self.host.check_wall_clock()
            now = asyncio.get_running_loop().time()
            for connection, since in list(self.awaiting_command.items()):
                if now - since < COMMAND_TIMEOUT:
                    break
                comes = (
                    connection.reader.announced_size and now - connection.last_data_at < VALUE_STALL_TIMEOUT
                )
                if not (connection.ending or comes or connection.awaiting_reservation):
                    connection.end_with("-ERR no whole command came")
            for slot, since in list(self.stalled_answers.items()):
                if now - since < STALLED_ANSWER_TIMEOUT:
                    break
                # guards the server's connection, and the budget, against a client that is not there any more
                slot.connection.abort(CloseReason.ANSWER_NOT_READ)
            surplus = len(self.connections) - len(self.lingering) - self.budget // 2
            for connection, since in list(self.idle.items()):
                if surplus <= 0:
                    break
                longest = IDLE_TIMEOUT if connection.command_count > 1 else SINGLE_COMMAND_IDLE_TIMEOUT
                if now - since > longest and not connection.has_unread_input():
                    connection.close(CloseReason.IDLE)
                    surplus -= 1

    def _evict(self, connection: ClientConnection) -> None:
        """Guards new clients: one that was closed some time ago holds a descriptor that they want."""
        del self.lingering[connection]
        self.evicted.add(connection)
        connection.abort(CloseReason.LINGER_ENDED)

    def linger(self, connection: ClientConnection) -> None:
        """A connection is closed but for what is still read from it."""
        self._clear_state(connection)
        self.lingering[connection] = None
        self.changed.set()

    def closes_when_idle(self, connection: ClientConnection) -> bool:
        """Whether a connection on which nothing is owed any more is closed at once, as this process ends.

        Not over what has come in: that is answered first, if only with a refusal.
        """
        return self.stopping and not connection.reader.buffer and not connection.has_unread_input()

    def mark_stalled(self, slot: AnswerSlot) -> None:
        """A client takes nothing of a long answer for now, or it waits behind others."""
        self.stalled_answers.setdefault(slot, self.loop.time())

    def update_state(self, connection: ClientConnection) -> None:
        """Keep the books on a connection that may have begun to owe a command, or fallen idle."""
        # guards the listener: one that has ended would stay in the books, without a socket to look at
        if connection not in self.connections:
            return
        owing = (
            bool(connection.slots)
            or connection.ending
            or connection.client_left
            or connection.paused_after_error
        )
        if owing:
            self.awaiting_command.pop(connection, None)
            self.idle.pop(connection, None)
            return
        books, others = self.idle, self.awaiting_command
        if connection.reader.buffer or not connection.command_count:
            books, others = others, books
        others.pop(connection, None)
        if connection not in books:
            books[connection] = self.loop.time()
            self.changed.set()

    def remove(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""
        self.connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.evicted.discard(connection)
        self._clear_state(connection)
        self.changed.set()

    def _clear_state(self, connection: ClientConnection) -> None:
        self.paused_after_error.pop(connection, None)
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)

    def start_drain(self, notice: float = FRONT_REACTION_TIME) -> None:
        """Out of service: clients go as they fall idle. The listener stays, for whoever asks how it is."""
        if self.drain_task is None:
            self.drain_task = asyncio.create_task(self._drain(notice))

    async def wait_drained(self) -> None:
        """Wait until no client is connected any more, while it is being emptied."""
        while self.connections or self.setup_tasks:
            self.changed.clear()
            await self.changed.wait()

    def stop_drain(self) -> None:
        """In service again, also in the middle of being emptied."""
        if self.drain_task is not None:
            self.drain_task.cancel()
            self.drain_task = None
            self.host.post(api.Serving(True))

    async def _drain(self, notice: float) -> None:
        """Those that are still sent here are served; then none is kept that is owed nothing.

        A client that goes on asking on an open connection gets a refusal in the end: closing it with a
        command unread would lose that.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await asyncio.sleep(notice)
        while True:
            if self.host.router.wanted and loop.time() - began >= DRAIN_REFUSAL_DELAY:
                self.host.post(api.Serving(False))
            self._close_idle()
            self.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(SWEEP_INTERVAL):
                    await self.changed.wait()

    def _close_idle(self) -> None:
        """Close between requests; one that has begun to come in is waited for.

        So is the first of a client that has just come: it came to ask, and would ask a closed connection.
        """
        now = asyncio.get_running_loop().time()
        for connection, since in [*self.idle.items(), *self.awaiting_command.items()]:
            new = not connection.command_count and now - since < DRAIN_FIRST_COMMAND_GRACE
            if not new and not connection.reader.buffer and not connection.has_unread_input():
                connection.close(CloseReason.ENDING)

    async def stop(self, still_coming: float, longest: float) -> None:
        """Accept for `still_coming` seconds, then no more; end when nothing is owed to any client.

        After `longest` seconds from now at the latest.

        A socket that is inherited is left at once to the process that follows, which accepts on it already,
        or will: what waits there is not this one's.
        """
        began = asyncio.get_running_loop().time()
        if not self.inherited:
            await asyncio.sleep(still_coming)
        for task in self.tasks if self.drain_task is None else [*self.tasks, self.drain_task]:
            task.cancel()
        if self.socket.fileno() >= 0:  # else it has been stopped before
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
        loop = asyncio.get_running_loop()
        # guards what clients go on sending on connections that stay open: it would be unanswered when the
        # process is killed
        self.stopping = True
        self.host.refuse_beyond(longest - (loop.time() - began))
        with suppress(TimeoutError):
            async with asyncio.timeout(longest - (loop.time() - began)):
                while self.connections or self.setup_tasks:
                    self.changed.clear()
                    self._close_idle()
                    with suppress(TimeoutError):
                        async with asyncio.timeout(SWEEP_INTERVAL):
                            await self.changed.wait()
        self.hang_up_monitor.close()
