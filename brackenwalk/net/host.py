"""Hosts the decision module: its clock and timers, and the table of requests and attempts.

Turns what happens on sockets into events, carries out the actions in order, and decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from brackenwalk import interface as api
from brackenwalk.net.command import Command, CommandError
from brackenwalk.net.pool import Exchange, Pool
from brackenwalk.policy import Router

# before the client's deadline, which counts from its send: measured, the way takes 1.3 ms at most in each
# direction and this process 1.4 ms at the 99th percentile; the rest is for a core that others keep busy
DEADLINE_MARGIN = 0.02
REMEMBER = 2.0  # seconds at least for which the id of an ended request is not taken again
MAX_HINT = 12  # digits
log = logging.getLogger(__name__)


class Clock:
    """Unix time, read once; from then on it never jumps."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        return self.offset + time.monotonic()


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request that has had no outcome yet."""

    number: int
    sent_at: float
    exchange: Exchange | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Taken:
    """A request, kept until nothing is owed for it and nothing of it is out."""

    command: Command
    deadline: float
    answer: Callable[[bytes], None]
    expiry: asyncio.TimerHandle | None = None
    sent: int = 0  # attempts, whatever became of them
    closed: bool = False  # answered, or its client is gone
    overdue: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Member:
    """A cache server or origin of this router's own list."""

    entry: api.ServerEntry
    address: str

    @property
    def process(self) -> tuple[str, float]:
        """What tells it from another at the same address, and from itself before a restart."""
        return self.entry.server, self.entry.since


class Host:
    """One router and what it has going on."""

    def __init__(
        self, settings: api.Settings, seed: int, servers: Pool, origin: Pool, subscribe: Callable[[], None]
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.origin = origin
        self.subscribe = subscribe
        self.clock = Clock()
        self.router = Router(settings, seed, self.clock.now())
        self.members: dict[str, Member] = {}
        self.requests: dict[str, Taken] = {}
        self.used: set[str] = set()  # ids of ended requests
        self.used_before: set[str] = set()
        self.used_since = self.clock.now()
        self.over: list[str] = []  # names of requests that may be forgotten
        self.events: deque[api.Event] = deque()
        self.handling = False

    def post(self, event: api.Event) -> None:
        """Hand an event to the module; one that comes while actions are carried out waits its turn."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                for action in self.router.handle(self.clock.now(), self.events.popleft()):
                    self._carry_out(action)
        finally:
            self.handling = False
            # not before: the module may still send for a request that it has just ended, which is moot
            for name in self.over:
                self._forget(name)
            self.over.clear()

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._close(action.request, b"-ERR failed\r\n")
            case api.Cancel():
                self._cancel(action)
            case api.Close():
                if (member := self.members.get(action.server)) is not None:
                    self._pool(member).close_idle(member.address)
            case api.SetTimer():
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self.post, api.TimerFired(action.token))
            case api.Subscribe():
                self.subscribe()
            case api.Log():
                log.info("%s", action.text)

    # The list

    def ready(self) -> bool:
        """Whether any cache server may be sent to."""
        return any(m.entry.ready and not self._is_origin(m) for m in self.members.values())

    def list_moved(self) -> None:
        """The list is told elsewhere from now on."""
        self.post(api.ListMoved())

    def list_failed(self) -> None:
        self.post(api.ServerList(api.ListKind.FAILED))

    def list_told(self, kind: api.ListKind, members: list[Member]) -> None:
        """Take a list or its changes."""
        before = self.members
        self.members = {} if kind is not api.ListKind.DELTA else dict(before)
        for member in members:
            name = member.entry.server
            if member.entry.state is api.State.GONE:
                self.members.pop(name, None)
            else:
                self.members[name] = member
        # guards the descriptors, and the next process at an address: nothing more is sent to one that ends,
        # and a machine that vanished never closes what was kept to it
        for name, old in before.items():
            new = self.members.get(name)
            if new is None or not new.entry.ready or new.process != old.process:
                self._pool(old).close_idle(old.address)
        self.post(api.ServerList(kind, tuple(m.entry for m in members)))

    def _is_origin(self, member: Member) -> bool:
        return self.settings.aside and member.entry.kind == self.settings.origin_kind

    def _pool(self, member: Member) -> Pool:
        return self.origin if self._is_origin(member) else self.servers

    # Requests

    def take(self, command: Command, answer: Callable[[bytes], None]) -> None:
        """Take a request that is owed one `answer`, or say why it can't be taken."""
        name = command.request.decode()
        # guards the table: two requests under one id would get each other's answers; and a client against
        # another that repeats its id, just ended, to be served with what was its own
        if name in self.requests or name in self.used or name in self.used_before:
            raise CommandError("this request id is in use")
        request_class = self.settings.classes.get(command.info.get("c", ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # guards against a second effect: no server could tell a repeat of it
        if request_class.effect is api.Effect.KEYED and not command.info.get("k"):
            raise CommandError("k is missing")
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN)
        taken = self.requests[name] = Taken(command, self.clock.now() + time_left, answer)
        taken.expiry = asyncio.get_running_loop().call_later(time_left, self._overdue, name)
        hint = command.info.get("h", "")
        request = api.Request(
            name,
            request_class.name,
            time_left,
            command.key.decode("latin-1"),
            # guards against a number too large for a float
            int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_HINT else None,
            command.write,
        )
        self.post(request)

    def client_gone(self, name: str) -> None:
        """The client of a request closed its connection."""
        taken = self.requests.get(name)
        if taken is not None and not taken.closed:
            self._settle(taken, name)
            self.post(api.ClientGone(name))

    def _overdue(self, name: str) -> None:
        """The deadline: attempts still out time out."""
        taken = self.requests[name]
        taken.overdue = True
        for attempt in list(taken.attempts.values()):  # the module may answer, and so end it, on the way
            self._time_out(taken, attempt)

    def _close(self, name: str, answer: bytes) -> None:
        """Give a request its one answer."""
        taken = self.requests.get(name)
        if taken is not None and not taken.closed:
            self._settle(taken, name)
            taken.answer(answer)

    def _settle(self, taken: Taken, name: str) -> None:
        """Nothing is owed any more; kept only for what is still out."""
        taken.closed = True
        self.over.append(name)

    def _forget(self, name: str) -> None:
        """Guards memory: a request with its value is not kept until a deadline far off."""
        taken = self.requests.get(name)
        if taken is not None and taken.closed and not taken.attempts:
            del self.requests[name]
            now = self.clock.now()
            if now - self.used_since > REMEMBER:
                self.used_before, self.used, self.used_since = self.used, set(), now
            self.used.add(name)
            if taken.expiry is not None:
                taken.expiry.cancel()

    def _refuse(self, action: api.Refuse) -> None:
        """A refusal at once, that tells the client when to come back if the module has advice."""
        pause = math.ceil(action.come_back * 1000)
        self._close(action.request, b"-BUSY %d\r\n" % pause if pause else b"-BUSY\r\n")

    # Attempts

    def _send(self, action: api.Send) -> None:
        taken = self.requests.get(action.request)
        if taken is None:
            log.error("a send for %s, which is long over", action.request)
            return
        now = self.clock.now()
        attempt = Attempt(taken.sent, now)
        taken.sent += 1
        taken.attempts[attempt.number] = attempt
        over = taken.closed or taken.overdue or attempt.number >= self.settings.max_attempts
        member = self.members.get(action.server)
        if over or member is None:
            self._finish(taken, attempt, api.Status.MOOT if over else api.Status.CONNECT_FAILED)
            return
        time_left = taken.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            loop = asyncio.get_running_loop()
            attempt.timer = loop.call_later(time_left, self._time_out, taken, attempt)

        def done(status: api.Status, value: bytes) -> None:
            self._finish(taken, attempt, status, value)

        attempt.exchange = self._pool(member).start(
            member.address, taken.command, time_left, done, member.process
        )

    def _cancel(self, action: api.Cancel) -> None:
        taken = self.requests.get(action.request)
        attempt = taken.attempts.get(action.attempt) if taken is not None else None
        if taken is not None and attempt is not None:
            self._give_up(taken, attempt, api.Status.CANCELLED)

    def _time_out(self, taken: Taken, attempt: Attempt) -> None:
        self._give_up(taken, attempt, api.Status.TIMEOUT)

    def _give_up(self, taken: Taken, attempt: Attempt, status: api.Status) -> None:
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        self._finish(taken, attempt, status)

    def _finish(self, taken: Taken, attempt: Attempt, status: api.Status, value: bytes = b"") -> None:
        """Give an attempt its one outcome; the first that served answers the client."""
        if taken.attempts.pop(attempt.number, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        name = taken.command.request.decode()
        if status is api.Status.OK:
            self._close(name, b"$%d\r\n%b\r\n" % (len(value), value))
        self.over.append(name)
        latency = self.clock.now() - attempt.sent_at
        self.post(api.Outcome(name, attempt.number, status, taken.closed, latency))
