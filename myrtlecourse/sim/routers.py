"""A router in virtual time: the real decision module, and what its host on sockets does round it."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from myrtlecourse import interface as api
from myrtlecourse.fleet.box import Request
from myrtlecourse.fleet.layout import ORIGIN
from myrtlecourse.fleet.registry import Entry
from myrtlecourse.fleet.scenario import RequestClass
from myrtlecourse.fleet.station import Piece
from myrtlecourse.net.discovery import STATES
from myrtlecourse.net.host import DEADLINE_MARGIN
from myrtlecourse.policy import Router
from myrtlecourse.sim.core import Core, Event
from myrtlecourse.sim.servers import Node

if TYPE_CHECKING:
    from myrtlecourse.sim.peer_network import PeerNetwork
    from myrtlecourse.zones.agent import Agent


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    router: SimRouter
    taken: Taken
    number: int
    node: Node | None
    sent_at: float
    timer: Event | None = None
    piece: Piece | None = None  # the work it is at its node
    fresh: bool = False
    began: float = 0.0
    over: bool = False

    def request(self) -> Request:
        """What comes to the node."""
        asked = self.taken.asked
        return Request(
            asked.name,
            asked.key,
            asked.kind,
            self.router.name,
            asked.write,
            asked.idempotency,
            max(0.001, self.taken.deadline - self.sent_at),
            self.fresh,
        )

    def end(self, status: api.Status) -> None:
        """Its outcome, if it is still waited for."""
        self.router.finish(self, status)


@dataclass(slots=True, eq=False)
class AskedFor:
    """A client's request, and where its one answer goes: served, refused with a pause, failed, ended."""

    name: str
    key: str
    kind: RequestClass
    write: bool
    idempotency: str
    time_left: float
    hint: float | None
    answer: Callable[[str, float], None]


@dataclass(slots=True, eq=False)
class Taken:
    """A request that a router has taken."""

    asked: AskedFor
    deadline: float
    expiry: Event | None = None
    sent: int = 0
    closed: bool = False
    overdue: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)


def as_listed(entry: Entry) -> api.ServerEntry:
    """An entry as the module is told it."""
    return api.ServerEntry(
        entry.name,
        STATES[entry.status],
        entry.kind,
        entry.zone,
        entry.cell,
        entry.weight,
        max(0.0, entry.since),
    )


class SimRouter:
    """One router: what `net/host.py` is on sockets."""

    def __init__(
        self,
        core: Core,
        name: str,
        settings: api.Settings,
        nodes: dict[str, Node],
        subscribe: Callable[[SimRouter], None],
        router_class: type[Router] = Router,
    ) -> None:
        self.core = core
        self.name = name
        self.settings = settings
        self.nodes = nodes
        self.subscribe = subscribe
        self.router_class = router_class
        self.seeds = core.stream(f"seeds {name}")
        self.up = False
        self.taking = False
        self.ending = False
        self.incarnation = 0  # how often it was started: timers of an earlier life are no more
        self.zone = ""
        self.peer_network: PeerNetwork | None = None  # with the others, where routers talk
        self.agent: Agent | None = None
        self.stalled = False
        # what comes while it stands still
        self.deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def start(self, saved: list[Entry]) -> None:
        """Begin with nothing but a list."""
        self.router = self.router_class(self.settings, self.seeds.getrandbits(32), self.core.now)
        self.incarnation += 1
        self.stalled = False
        self.deferred.clear()
        if self.peer_network is not None:
            self.agent = self.router.observer = self.peer_network.join(self)
        self.up = self.taking = True
        self.ending = False
        self.listed: dict[str, Entry] = {}
        self.requests: dict[str, Taken] = {}
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.over: list[str] = []
        self.list_told(api.ListKind.SAVED, saved)

    def stop_taking(self, life: int) -> None:
        """Asked to end: no new connection comes up any more."""
        if life == self.incarnation:
            self.taking = False

    def stall(self, stalled: bool) -> None:
        """Its process stands still, or goes on with what came meanwhile."""
        self.stalled = stalled and self.up
        while self.deferred and not self.stalled:
            call, arguments = self.deferred.pop(0)
            call(*arguments)

    def defer_if_stalled(self, call: Callable[..., None], *arguments: Any) -> bool:
        """Whether something has to wait, as the process stands still."""
        if self.stalled:
            self.deferred.append((call, arguments))
        return self.stalled

    def kill(self) -> None:
        """The process ends: what it held is over for its clients, and given up at the boxes."""
        self.up = self.taking = False
        self.stalled = False
        self.deferred.clear()
        for taken in list(self.requests.values()):
            for attempt in taken.attempts.values():
                attempt.over = True
                if attempt.node is not None:
                    attempt.node.left(attempt)
            if not taken.closed:
                taken.closed = True
                taken.asked.answer("ended", 0.0)
        self.requests.clear()

    def list_told(self, kind: api.ListKind, entries: list[Entry]) -> None:
        """Take a list or its changes."""
        if self.defer_if_stalled(self.list_told, kind, entries):
            return
        if kind is not api.ListKind.DELTA:
            self.listed = {}
        for entry in entries:
            before = self.listed.get(entry.name)
            if entry.status == "terminated":
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            if before is not None and (entry.status != "in_service" or before.since != entry.since):
                self.nodes[entry.name].kept.pop(self.name, None)
        if self.up and self.agent is not None:
            self.agent.servers_listed(Counter(e.zone for e in self.listed.values() if e.kind != ORIGIN))
        self.post(api.ServerList(kind, tuple(map(as_listed, entries))))

    def list_failed(self) -> None:
        """The watch has broken off, or a call has failed."""
        self.post(api.ServerList(api.ListKind.FAILED))

    def take(self, asked: AskedFor) -> None:
        """Take a request that is owed one answer."""
        if self.defer_if_stalled(self.take, asked):
            return
        time_left = max(0.0, asked.time_left - DEADLINE_MARGIN)
        taken = Taken(asked, self.core.now + time_left)
        self.requests[asked.name] = taken
        taken.expiry = self.core.call_after(time_left, self._overdue, taken)
        self.post(api.Request(asked.name, asked.kind.name, time_left, asked.key, asked.hint, asked.write))

    def take_or_end(self, asked: AskedFor) -> None:
        """Take a request, unless the router has ended since it was sent."""
        if self.up:
            self.take(asked)
        else:
            asked.answer("ended", 0.0)

    def client_gone(self, name: str) -> None:
        """The client has left."""
        if self.defer_if_stalled(self.client_gone, name):
            return
        taken = self.requests.get(name)
        if self.up and taken is not None and not taken.closed:
            taken.closed = True
            self.over.append(name)
            self.post(api.ClientGone(name))

    def post(self, event: api.Event) -> None:
        """Hand an event to the module; one that comes while actions are carried out waits its turn."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.router.handle(self.core.now, self.events.popleft()):
                self._carry_out(action)
        self.handling = False
        for name in self.over:
            taken = self.requests.get(name)
            if taken is not None and taken.closed and not taken.attempts:
                del self.requests[name]
                if taken.expiry is not None:
                    taken.expiry.cancel()
        self.over.clear()

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._close(action.request, "refused", action.retry_after)
            case api.Fail():
                self._close(action.request, "failed")
            case api.Cancel():
                taken = self.requests.get(action.request)
                attempt = taken.attempts.get(action.attempt) if taken is not None else None
                if attempt is not None:
                    self._give_up(attempt, api.Status.CANCELLED)
            case api.CloseIdle():
                self.nodes[action.server].kept.pop(self.name, None)
            case api.SetTimer():
                self.core.call_after(action.delay, self._fired, self.incarnation, action.timer)
            case api.Subscribe():
                self.subscribe(self)
            case api.Log():
                pass

    def _fired(self, life: int, token: str) -> None:
        if self.defer_if_stalled(self._fired, life, token):
            return
        if self.up and life == self.incarnation:
            self.post(api.TimerFired(token))

    def _overdue(self, taken: Taken) -> None:
        """The deadline: attempts still out time out."""
        if self.defer_if_stalled(self._overdue, taken):
            return
        if self.requests.get(taken.asked.name) is not taken:
            return
        taken.overdue = True
        for attempt in list(taken.attempts.values()):
            self._give_up(attempt, api.Status.TIMEOUT)

    def _close(self, name: str, how: str, pause: float = 0.0) -> None:
        """Give a request its one answer."""
        taken = self.requests.get(name)
        if taken is not None and not taken.closed:
            taken.closed = True
            self.over.append(name)
            taken.asked.answer(how, pause)

    def _send(self, action: api.Send) -> None:
        taken = self.requests.get(action.request)
        if taken is None:
            return
        now = self.core.now
        node = self.nodes.get(action.server) if action.server in self.listed else None
        attempt = Attempt(self, taken, taken.sent, node, now)
        taken.sent += 1
        taken.attempts[attempt.number] = attempt
        over = taken.closed or taken.overdue or attempt.number >= self.settings.max_attempts
        if over or node is None:
            self.finish(attempt, api.Status.NOT_SENT if over else api.Status.CONNECT_FAILED)
            return
        if action.timeout is not None and action.timeout < taken.deadline - now:
            attempt.timer = self.core.call_after(
                max(0.0, action.timeout), self._give_up, attempt, api.Status.TIMEOUT
            )
        node.connect(attempt)

    def _give_up(self, attempt: Attempt, status: api.Status) -> None:
        if not attempt.over and attempt.node is not None:
            attempt.node.left(attempt)
        self.finish(attempt, status)

    def finish(self, attempt: Attempt, status: api.Status) -> None:
        """Give an attempt its one outcome; the first that served answers the client."""
        if self.defer_if_stalled(self.finish, attempt, status):
            return
        taken = attempt.taken
        if attempt.over or taken.attempts.pop(attempt.number, None) is None:
            return
        attempt.over = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        name = taken.asked.name
        if status is api.Status.OK:
            self._close(name, "served")
        self.over.append(name)
        latency = self.core.now - attempt.sent_at
        self.post(api.Outcome(name, attempt.number, status, taken.closed, latency))
