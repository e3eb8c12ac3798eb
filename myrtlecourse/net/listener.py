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
from myrtlecourse.net.clients import ClientConnection, Slot
from myrtlecourse.net.descriptors import Descriptors
from myrtlecourse.net.hangup import HangUps
from myrtlecourse.net.host import Host
from myrtlecourse.net.logs import BoundedLog
from myrtlecourse.net.request_log import Close
from myrtlecourse.net.window import Room, Windows

BACKLOG = 512
LOOKS = 16  # connections looked at for one that may go, in each place where they are found
ACCEPTS = 32  # connections taken in at most in a turn of the event loop, so that those already up have theirs
# errors of accept() that are those of one connection, which was on its way: the next may be well (accept(2))
OF_ONE_CLIENT = frozenset(
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
COMMAND_TIME = 2.6  # seconds for a head to come: an honest one may take 2, a bad one is owed a word within 3
VALUE_PAUSE = 1.0  # seconds in which some of a value must come after that
IDLE_TIME = 2.0  # seconds after which an idle connection may be closed
ONCE_TIME = 0.1  # the same for one that has asked once only, while there are many
GRACE = 0.05  # seconds that a new client has to send its first command, however crowded it is
FIRST_TIME = 0.5  # seconds that a new client has for it while this process ends or is emptied
SWEEP = 0.1  # seconds between looks for connections that are overdue
HELD_UP = 0.05  # seconds by which such a look comes late, that are worth a line in the log
NOTICE = 0.5  # seconds for which clients go on coming after an end that the front must notice: 0.2 to 0.4
BUSY_TIME = 1.5  # seconds after which a router that is emptied takes no command of those that stay, of 2
SPARE = 8  # closed connections, still read, that hold descriptors beside the budget
HOLDING_TIME = 10.0  # seconds for which a client may take nothing of a long answer
log = logging.getLogger(__name__)
bounded = BoundedLog(log)


class Listener:
    """Accepts clients, within a budget of descriptors."""

    def __init__(
        self,
        host: Host,
        budget: int,
        descriptors: Descriptors | None = None,
        windows: Windows | None = None,
        room: Room | None = None,
    ) -> None:
        self.host = host
        self.windows = windows or Windows()
        self.room = room or Room()
        self.budget = budget
        self.descriptors = descriptors or Descriptors(budget)
        self.descriptors.add(self)
        self.connections: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # of those, closed and still read, longest first
        self.evicted: set[ClientConnection] = set()  # aborted, whose descriptors are free in a moment
        self.hang_ups = HangUps()  # of those that are not read
        self.stopping = False  # this process ends: clients go as soon as nothing is owed to them
        self.coming: set[asyncio.Task[None]] = set()  # accepted, and not yet among those
        # long answers that their clients don't take, each since when, longest first
        self.holding: dict[Slot, float] = {}
        self.erring: dict[ClientConnection, None] = {}  # that are not read, having sent an error
        # connections on which nothing is owed, each since when, longest first
        self.awaited: dict[ClientConnection, float] = {}  # a first command, or the rest of one
        self.idle: dict[ClientConnection, float] = {}
        self.waiting = asyncio.Event()  # clients, to be accepted
        self.failed_accepts = 0  # in a row
        self.changed = asyncio.Event()  # a connection has ended or fallen idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tasks: list[asyncio.Task[None]] = []
        self.emptying: asyncio.Task[None] | None = None  # while operators have it out of service
        self.inherited = False  # the socket, which others hold as well
        self.holds: Callable[[], bool] | None = None  # whether the service address is here, where it may move
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
                for _ in range(ACCEPTS):
                    if not await self._accept_one():
                        break
            except OSError as e:
                # guards the router: without this task no client would ever be let in again
                bounded.log(logging.WARNING, "accept: %s", e)
                await asyncio.sleep(ACCEPT_PAUSE)

    async def _wait_for_clients(self) -> None:
        """Wait for the backlog, which is not looked at else: the loop would spin while there is no room."""
        self.waiting.clear()
        self.loop.add_reader(self.socket.fileno(), self.waiting.set)
        try:
            await self.waiting.wait()
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
            self.failed_accepts += 1
            # guards the core: one that fails for good would be called again and again
            if e.errno not in OF_ONE_CLIENT or self.failed_accepts % ACCEPTS == 0:
                raise
            bounded.log(logging.INFO, "a client's connection ended before it was accepted: %s", e)
            return True
        self.failed_accepts = 0
        if self.holds is not None and not self.holds():
            # guards against a process that was stopped: what waits came for the holder that it was
            client.close()
            return True
        try:
            client.setblocking(False)
            # guards small answers: the system held them back until the one before was acknowledged; event
            # loops see to it only for sockets that name their protocol
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as e:
            bounded.log(logging.INFO, "a client's connection ended as it was accepted: %s", e)
            client.close()
            return True
        task = self.loop.create_task(self._welcome(client))
        self.coming.add(task)
        task.add_done_callback(self.coming.discard)
        await self._make_room()
        return True

    async def _welcome(self, client: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: ClientConnection(self.host, self, client), client
            )
        except OSError as e:
            bounded.log(logging.INFO, "a client's connection ended as it began: %s", e)

    async def _make_room(self) -> None:
        """Guards the descriptors: a client too many costs one that owes a command, or one that is idle.

        One that has just sent an error goes first, whatever it has sent behind it, and one that asked once
        and stays before one that asks again and again. While all have requests open, others wait outside.
        """
        while self.used() > self.budget or not self.descriptors.settle(self):
            self.changed.clear()
            now = asyncio.get_running_loop().time()
            if self.evicted:
                await asyncio.sleep(0)
                continue
            if len(self.lingering) > SPARE:
                self._evict(next(iter(self.lingering)))
                continue
            erring = (c for c in self.erring if not c.slots and not c.ending)
            # a look at a few: to ask the kernel about each, for each that comes, took a tenth of a full core
            late = (c for c, since in islice(self.awaited.items(), LOOKS) if now - since > GRACE)
            once = (c for c in islice(self.idle, LOOKS) if c.commands == 1)
            idle = islice(self.idle, LOOKS)
            victim = next(erring, None)
            if victim is None:
                victim = next((c for c in chain(late, once, idle) if not c.unread()), None)
            if victim is not None:
                victim.close(Close.NO_ROOM)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(GRACE):
                    await self.changed.wait()

    def used(self) -> int:
        """Descriptors held, but for those of a few closed connections: the reserve has room for them."""
        return len(self.connections) + len(self.coming) - min(SPARE, len(self.lingering))

    def give_back(self) -> bool:
        """Clients lend what they don't use, and borrow nothing: there is nothing to return."""
        return False

    async def _sweep(self) -> None:
        """Guards against clients that say nothing, or half a command, and those that stay for good."""
        turns = self.host.turns
        while True:
            turns.expect(SWEEP)
            await asyncio.sleep(SWEEP)
            if (late := turns.beat()) > HELD_UP:
                bounded.log(logging.WARNING, "the event loop was held up for %.3f s", late)
            self.host.look_at_clock()
            now = asyncio.get_running_loop().time()
            for connection, since in list(self.awaited.items()):
                if now - since < COMMAND_TIME:
                    break
                comes = connection.reader.announced and now - connection.came_at < VALUE_PAUSE
                if not (connection.ending or comes or connection.starved):
                    connection.end_with("-ERR no whole command came")
            for slot, since in list(self.holding.items()):
                if now - since < HOLDING_TIME:
                    break
                # guards the server's connection, and the budget, against a client that is not there any more
                slot.connection.abort(Close.TAKES_NOTHING)
            surplus = len(self.connections) - len(self.lingering) - self.budget // 2
            for connection, since in list(self.idle.items()):
                if surplus <= 0:
                    break
                longest = IDLE_TIME if connection.commands > 1 else ONCE_TIME
                if now - since > longest and not connection.unread():
                    connection.close(Close.IDLE)
                    surplus -= 1

    def _evict(self, connection: ClientConnection) -> None:
        """Guards new clients: one that was closed some time ago holds a descriptor that they want."""
        del self.lingering[connection]
        self.evicted.add(connection)
        connection.abort(Close.LINGERED)

    def linger(self, connection: ClientConnection) -> None:
        """A connection is closed but for what is still read from it."""
        self._strike_out(connection)
        self.lingering[connection] = None
        self.changed.set()

    def leaves(self, connection: ClientConnection) -> bool:
        """Whether a connection on which nothing is owed any more is closed at once, as this process ends.

        Not over what has come in: that is answered first, if only with a refusal.
        """
        return self.stopping and not connection.reader.buffer and not connection.unread()

    def hold(self, slot: Slot) -> None:
        """A client takes nothing of a long answer for now, or it waits behind others."""
        self.holding.setdefault(slot, self.loop.time())

    def note(self, connection: ClientConnection) -> None:
        """Keep the books on a connection that may have begun to owe a command, or fallen idle."""
        # guards the listener: one that has ended would stay in the books, without a socket to look at
        if connection not in self.connections:
            return
        owing = bool(connection.slots) or connection.ending or connection.gone or connection.paused
        if owing:
            self.awaited.pop(connection, None)
            self.idle.pop(connection, None)
            return
        books, others = self.idle, self.awaited
        if connection.reader.buffer or not connection.commands:
            books, others = others, books
        others.pop(connection, None)
        if connection not in books:
            books[connection] = self.loop.time()
            self.changed.set()

    def forget(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""
        self.connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.evicted.discard(connection)
        self._strike_out(connection)
        self.changed.set()

    def _strike_out(self, connection: ClientConnection) -> None:
        self.erring.pop(connection, None)
        self.awaited.pop(connection, None)
        self.idle.pop(connection, None)

    def empty(self, notice: float = NOTICE) -> None:
        """Out of service: clients go as they fall idle. The listener stays, for whoever asks how it is."""
        if self.emptying is None:
            self.emptying = asyncio.create_task(self._empty(notice))

    async def emptied(self) -> None:
        """Wait until no client is connected any more, while it is being emptied."""
        while self.connections or self.coming:
            self.changed.clear()
            await self.changed.wait()

    def refill(self) -> None:
        """In service again, also in the middle of being emptied."""
        if self.emptying is not None:
            self.emptying.cancel()
            self.emptying = None
            self.host.post(api.Serving(True))

    async def _empty(self, notice: float) -> None:
        """Those that are still sent here are served; then none is kept that is owed nothing.

        A client that goes on asking on an open connection gets a refusal in the end: closing it with a
        command unread would lose that.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await asyncio.sleep(notice)
        while True:
            if self.host.router.accepting and loop.time() - began >= BUSY_TIME:
                self.host.post(api.Serving(False))
            self._close_unowed()
            self.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(SWEEP):
                    await self.changed.wait()

    def _close_unowed(self) -> None:
        """Close between requests; one that has begun to come in is waited for.

        So is the first of a client that has just come: it came to ask, and would ask a closed connection.
        """
        now = asyncio.get_running_loop().time()
        for connection, since in [*self.idle.items(), *self.awaited.items()]:
            new = not connection.commands and now - since < FIRST_TIME
            if not new and not connection.reader.buffer and not connection.unread():
                connection.close(Close.ENDING)

    async def stop(self, still_coming: float, longest: float) -> None:
        """Accept for `still_coming` seconds, then no more; end when nothing is owed to any client.

        After `longest` seconds from now at the latest.

        A socket that is inherited is left at once to the process that follows, which accepts on it already,
        or will: what waits there is not this one's.
        """
        began = asyncio.get_running_loop().time()
        if not self.inherited:
            await asyncio.sleep(still_coming)
        for task in self.tasks if self.emptying is None else [*self.tasks, self.emptying]:
            task.cancel()
        if self.socket.fileno() >= 0:  # else it has been stopped before
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
        loop = asyncio.get_running_loop()
        # guards what clients go on sending on connections that stay open: it would be unanswered when the
        # process is killed
        self.stopping = True
        self.host.end_by(longest - (loop.time() - began))
        with suppress(TimeoutError):
            async with asyncio.timeout(longest - (loop.time() - began)):
                while self.connections or self.coming:
                    self.changed.clear()
                    self._close_unowed()
                    with suppress(TimeoutError):
                        async with asyncio.timeout(SWEEP):
                            await self.changed.wait()
        self.hang_ups.close()
