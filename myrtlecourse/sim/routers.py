"""A router in virtual time: the real decision module, in place of `net/host.py` and its connections."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from myrtlecourse import interface as api
from myrtlecourse.fleet.core_queue import WorkItem
from myrtlecourse.fleet.layout import ORIGIN
from myrtlecourse.fleet.registry import Entry
from myrtlecourse.fleet.scenario import RequestClass
from myrtlecourse.fleet.server_models import Request
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
    """One attempt of a request at a server."""

    router: SimRouter
    pending: PendingRequest
    number: int
    node: Node | None
    sent_at: float
    timer: Event | None = None
    work_item: WorkItem | None = None  # its work at the node
    new_connection: bool = False
    transmitted_at: float = 0.0
    finished: bool = False

    def request(self) -> Request:
        """Return the request as the node receives it."""
        client_request = self.pending.client_request
        return Request(
            client_request.name,
            client_request.key,
            client_request.kind,
            self.router.name,
            client_request.write,
            client_request.idempotency,
            max(0.001, self.pending.deadline - self.sent_at),
            self.new_connection,
        )

    def end(self, status: api.Status) -> None:
        """End the attempt, unless it has already ended."""
        self.router.finish(self, status)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request.

    `answer` is called once, with "served", "refused" and the time (s) after which the client may retry,
    "failed", or "ended" if the router's process ended.
    """

    name: str
    key: str
    kind: RequestClass
    write: bool
    idempotency: str
    time_left: float
    hint: float | None
    answer: Callable[[str, float], None]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that a router has accepted."""

    client_request: ClientRequest
    deadline: float
    deadline_timer: Event | None = None
    attempts_sent: int = 0
    closed: bool = False  # whether the request was answered or its client has left
    expired: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)


def server_entry(entry: Entry) -> api.ServerEntry:
    """Return an entry in the form in which the decision module gets it."""
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
    """One router: hosts the decision module as `net/host.py` does on sockets."""

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
        self.seed_rng = core.stream(f"seeds {name}")
        self.up = False
        self.accepting = False
        self.ending = False
        self.incarnation = 0  # number of starts; timers of earlier ones are ignored
        self.zone = ""
        self.peer_network: PeerNetwork | None = None  # None if routers do not communicate
        self.agent: Agent | None = None
        self.stalled = False
        # calls that arrive while the process is stalled
        self.deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def start(self, saved: list[Entry]) -> None:
        """Start a new process, which knows nothing but a saved list."""
        self.router = self.router_class(self.settings, self.seed_rng.getrandbits(32), self.core.now)
        self.incarnation += 1
        self.stalled = False
        self.deferred.clear()
        if self.peer_network is not None:
            self.agent = self.router.observer = self.peer_network.join(self)
        self.up = self.accepting = True
        self.ending = False
        self.listed: dict[str, Entry] = {}
        self.requests: dict[str, PendingRequest] = {}
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.possibly_done: list[str] = []  # requests that may be closed and without attempts
        self.on_list(api.ListKind.SAVED, saved)

    def stop_accepting(self, incarnation: int) -> None:
        """Stop accepting connections, if the process that was asked to end still runs."""
        if incarnation == self.incarnation:
            self.accepting = False

    def stall(self, stalled: bool) -> None:
        """Stall the process, or resume it with the calls that arrived in the meantime."""
        self.stalled = stalled and self.up
        while self.deferred and not self.stalled:
            call, arguments = self.deferred.pop(0)
            call(*arguments)

    def defer_if_stalled(self, call: Callable[..., None], *arguments: Any) -> bool:
        """Return whether the process is stalled; if so, the call is made when it resumes."""
        if self.stalled:
            self.deferred.append((call, arguments))
        return self.stalled

    def kill(self) -> None:
        """Kill the process: clients lose their connections, and servers stop their work."""
        self.up = self.accepting = False
        self.stalled = False
        self.deferred.clear()
        for pending in list(self.requests.values()):
            for attempt in pending.attempts.values():
                attempt.finished = True
                if attempt.node is not None:
                    attempt.node.on_router_left(attempt)
            if not pending.closed:
                pending.closed = True
                pending.client_request.answer("ended", 0.0)
        self.requests.clear()

    def on_list(self, kind: api.ListKind, entries: list[Entry]) -> None:
        """Handle a whole list, or changes of the list."""
        if self.defer_if_stalled(self.on_list, kind, entries):
            return
        if kind is not api.ListKind.DELTA:
            self.listed = {}
        for entry in entries:
            previous = self.listed.get(entry.name)
            if entry.status == "terminated":
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            if previous is not None and (entry.status != "in_service" or previous.since != entry.since):
                self.nodes[entry.name].idle_connections.pop(self.name, None)
        if self.up and self.agent is not None:
            self.agent.servers_listed(Counter(e.zone for e in self.listed.values() if e.kind != ORIGIN))
        self.post(api.ServerList(kind, tuple(map(server_entry, entries))))

    def on_list_failed(self) -> None:
        """Report to the decision module that the watch or a call has failed."""
        self.post(api.ServerList(api.ListKind.FAILED))

    def accept(self, client_request: ClientRequest) -> None:
        """Accept a request, which gets exactly one answer."""
        if self.defer_if_stalled(self.accept, client_request):
            return
        time_left = max(0.0, client_request.time_left - DEADLINE_MARGIN)
        pending = PendingRequest(client_request, self.core.now + time_left)
        self.requests[client_request.name] = pending
        pending.deadline_timer = self.core.call_after(time_left, self._deadline_passed, pending)
        self.post(
            api.Request(
                client_request.name,
                client_request.kind.name,
                time_left,
                client_request.key,
                client_request.hint,
                client_request.write,
            )
        )

    def receive(self, client_request: ClientRequest) -> None:
        """Accept a request, unless the router has ended since it was sent."""
        if self.up:
            self.accept(client_request)
        else:
            client_request.answer("ended", 0.0)

    def client_gone(self, name: str) -> None:
        """Report to the decision module that a client has left."""
        if self.defer_if_stalled(self.client_gone, name):
            return
        pending = self.requests.get(name)
        if self.up and pending is not None and not pending.closed:
            pending.closed = True
            self.possibly_done.append(name)
            self.post(api.ClientGone(name))

    def post(self, event: api.Event) -> None:
        """Pass an event to the decision module and carries out its actions.

        Events that actions cause are queued until those actions are done.
        """
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.router.handle(self.core.now, self.events.popleft()):
                self._carry_out(action)
        self.handling = False
        for name in self.possibly_done:
            pending = self.requests.get(name)
            if pending is not None and pending.closed and not pending.attempts:
                del self.requests[name]
                if pending.deadline_timer is not None:
                    pending.deadline_timer.cancel()
        self.possibly_done.clear()

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._close(action.request, "refused", action.retry_after)
            case api.Fail():
                self._close(action.request, "failed")
            case api.Cancel():
                pending = self.requests.get(action.request)
                attempt = pending.attempts.get(action.attempt) if pending is not None else None
                if attempt is not None:
                    self._abandon(attempt, api.Status.CANCELLED)
            case api.CloseIdle():
                self.nodes[action.server].idle_connections.pop(self.name, None)
            case api.SetTimer():
                self.core.call_after(action.delay, self._timer_fired, self.incarnation, action.timer)
            case api.Subscribe():
                self.subscribe(self)
            case api.Log():
                pass

    def _timer_fired(self, incarnation: int, token: str) -> None:
        if self.defer_if_stalled(self._timer_fired, incarnation, token):
            return
        if self.up and incarnation == self.incarnation:
            self.post(api.TimerFired(token))

    def _deadline_passed(self, pending: PendingRequest) -> None:
        """End all attempts in flight with a timeout at the request's deadline."""
        if self.defer_if_stalled(self._deadline_passed, pending):
            return
        if self.requests.get(pending.client_request.name) is not pending:
            return
        pending.expired = True
        for attempt in list(pending.attempts.values()):
            self._abandon(attempt, api.Status.TIMEOUT)

    def _close(self, name: str, outcome: str, retry_after: float = 0.0) -> None:
        """Answer a request, unless it is closed."""
        pending = self.requests.get(name)
        if pending is not None and not pending.closed:
            pending.closed = True
            self.possibly_done.append(name)
            pending.client_request.answer(outcome, retry_after)

    def _send(self, action: api.Send) -> None:
        pending = self.requests.get(action.request)
        if pending is None:
            return
        now = self.core.now
        node = self.nodes.get(action.server) if action.server in self.listed else None
        attempt = Attempt(self, pending, pending.attempts_sent, node, now)
        pending.attempts_sent += 1
        pending.attempts[attempt.number] = attempt
        not_allowed = pending.closed or pending.expired or attempt.number >= self.settings.max_attempts
        if not_allowed or node is None:
            self.finish(attempt, api.Status.NOT_SENT if not_allowed else api.Status.CONNECT_FAILED)
            return
        if action.timeout is not None and action.timeout < pending.deadline - now:
            attempt.timer = self.core.call_after(
                max(0.0, action.timeout), self._abandon, attempt, api.Status.TIMEOUT
            )
        node.connect(attempt)

    def _abandon(self, attempt: Attempt, status: api.Status) -> None:
        if not attempt.finished and attempt.node is not None:
            attempt.node.on_router_left(attempt)
        self.finish(attempt, status)

    def finish(self, attempt: Attempt, status: api.Status) -> None:
        """Report the outcome of an attempt, only once; the first attempt that succeeds answers the client."""
        if self.defer_if_stalled(self.finish, attempt, status):
            return
        pending = attempt.pending
        if attempt.finished or pending.attempts.pop(attempt.number, None) is None:
            return
        attempt.finished = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        name = pending.client_request.name
        if status is api.Status.OK:
            self._close(name, "served")
        self.possibly_done.append(name)
        latency = self.core.now - attempt.sent_at
        self.post(api.Outcome(name, attempt.number, status, pending.closed, latency))
