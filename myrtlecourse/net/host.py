"""Hosts the decision module: its clock and timers, and the table of requests and attempts.

LoopLag what happens on sockets into events, carries out the actions in order, and decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from myrtlecourse import interface as api
from myrtlecourse.net.clock import Clock
from myrtlecourse.net.command import Command, CommandError
from myrtlecourse.net.connection import Exchange
from myrtlecourse.net.in_flight import AnswerSink, Attempt, RequestInFlight
from myrtlecourse.net.list_updates import ListUpdate, ListUpdateQueue
from myrtlecourse.net.loop_lag import LoopLag
from myrtlecourse.net.members import Member
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import requests_log
from myrtlecourse.net.timers import Timers
from myrtlecourse.policy import Router

# before the client's deadline, which counts from its send: measured, the way takes 1.3 ms at most in each
# direction and this process 1.4 ms at the 99th percentile; the rest is for a core that others keep busy
DEADLINE_MARGIN = 0.02
MIN_ID_MEMORY = 2.0  # seconds at least for which the id of an ended request is not taken again
MAX_STREAM_OVERRUN = 60.0  # seconds after its deadline for which a long answer may flow on, however slowly
MAX_DIGITS = 12  # digits
FAILED_ANSWER = b"-ERR failed\r\n"
LATE_ANSWER_LOGGED = 0.1  # seconds after its deadline from which on a final answer is worth a line in the log
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)


def busy_answer(come_back: float) -> bytes:
    """A refusal, with the time to come back if there is one (seconds)."""
    pause = math.ceil(come_back * 1000)
    return b"-BUSY %d\r\n" % pause if pause else b"-BUSY\r\n"


class Host:
    """One router and what it has going on."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        servers: Pool,
        origin: Pool,
        subscribe: Callable[[], None],
        door: api.Door | None = None,
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.origin = origin
        self.request_list = subscribe
        self.clock = Clock()
        self.in_service = True  # as operators have it
        self.holds_service_address = True  # the service address is here, where it may move
        self.last_answer_at = math.inf  # by then all that is taken has its answer, as this process ends
        self.router = Router(settings, seed, self.clock.now(), door)
        self.members: dict[str, Member] = {}
        self.offlined: set[str] = set()  # by operators
        self.requests: dict[str, RequestInFlight] = {}
        self.recent_ids: set[str] = set()  # ids of ended requests
        self.older_ids: set[str] = set()
        self.id_generation_started_at = self.clock.now()
        self.ended_requests: list[str] = []  # names of requests that may be forgotten
        self.pending_events: deque[api.Event] = deque()
        self.handling = False
        self.timers = Timers()
        self.loop_lag = LoopLag()
        self.list_updates = ListUpdateQueue(lambda: self.members, self.apply_list)
        self.request_log = requests_log
        self.batch_scheduled = False  # a turn of the loop is asked for, to take the next batch

    def post(self, event: api.Event) -> None:
        """Hand an event to the module; one that comes while actions are carried out waits its turn."""
        if self.handling:
            self.pending_events.append(event)
            return
        self.handling = True
        try:
            for action in self.router.handle(self.clock.now(), event):
                self._carry_out(action)
            while self.pending_events:
                for action in self.router.handle(self.clock.now(), self.pending_events.popleft()):
                    self._carry_out(action)
        finally:
            self.handling = False
            # not before: the module may still send for a request that it has just ended, which is moot
            for name in self.ended_requests:
                self._remove_ended(name)
            self.ended_requests.clear()

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._start_attempt(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._answer(action.request, FAILED_ANSWER, action.reason)
            case api.Cancel():
                self._cancel_attempt(action)
            case api.Close():
                if (member := self.members.get(action.server)) is not None:
                    self._pool_of(member).close_idle(member.address)
            case api.SetTimer():
                self.timers.call_later(action.delay, self.post, api.TimerFired(action.token))
            case api.Subscribe():
                self.request_list()
            case api.Log():
                log.info("%s", action.text)

    # The list

    def accepts_clients(self) -> bool:
        """Whether clients are wanted: in service, at the service address, and with a cache server."""
        return self.holds_service_address and self.has_usable_server()

    def has_usable_server(self) -> bool:
        """Whether it is in service and some cache server may be sent to."""
        return self.in_service and any(
            m.entry.ready and not self._is_origin(m) for m in self.members.values()
        )

    def discovery_moved(self) -> None:
        """The list is told elsewhere from now on."""
        self.post(api.ListMoved())

    def discovery_failed(self) -> None:
        self.post(api.ServerList(api.ListKind.FAILED))

    def submit_list(self, kind: api.ListKind, members: list[Member]) -> None:
        """Take a list or its changes, the longer ones a batch in each turn of the event loop.

        The list of the configuration is taken at once: no request waits for it.
        """
        news = ListUpdate(kind, members)
        if kind is api.ListKind.SAVED:
            self.apply_list(news)
            return
        self.list_updates.submit(news)
        if self.list_updates.pending and not self.batch_scheduled:
            self.batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_next_batch)

    def _apply_next_batch(self) -> None:
        self.loop_lag.note_input()
        loop = asyncio.get_running_loop()
        try:
            self.list_updates.apply_next_batch()
        except Exception:
            # guards drains: what the decisions could not take in part they are told again as a whole
            log.exception("a batch of the list")
            loop.call_soon(self._resend_list)
        self.batch_scheduled = self.list_updates.pending
        if self.batch_scheduled:
            loop.call_soon(self._apply_next_batch)

    def _resend_list(self) -> None:
        """Tell the decisions the list as it is held."""
        self.post(
            api.ServerList(
                api.ListKind.FULL, tuple(self._entry_on_host_clock(m) for m in self.members.values())
            )
        )

    def apply_list(self, news: ListUpdate) -> None:
        """Enter news; costs what it names, and for a whole list what it ends."""
        if news.kind is not api.ListKind.DELTA:
            named = {m.entry.server for m in news.members}
            for name in self.members.keys() - named:
                self._replace_member(name, None)
        for member in news.members:
            self._replace_member(
                member.entry.server, None if member.entry.state is api.State.GONE else member
            )
        if not self.list_updates.pending:
            self._report_zones()
        if self.request_log.enabled:
            kind, entries, listed = news.kind.value, len(news.members), len(self.members)
            self.request_log.event("-", "list", kind=kind, entries=entries, listed=listed)
        self.post(api.ServerList(news.kind, tuple(self._entry_on_host_clock(m) for m in news.members)))

    def _entry_on_host_clock(self, member: Member) -> api.ServerEntry:
        """A member as the module is told of it: its start on this clock, once the wall clock was stepped."""
        entry = member.entry
        if not self.clock.stepped:
            return entry
        return replace(entry, started=self.clock.start_on_this_clock(entry.since))

    def check_wall_clock(self) -> None:
        """Notice a step of the wall clock, by which others tell when servers started."""
        if step := self.clock.detect_step():
            log.warning("the wall clock was stepped by %+.3f s", step)

    def _replace_member(self, name: str, new: Member | None) -> None:
        """List a server as it is told now, or no more.

        Guards the descriptors, and the next process at an address: nothing more is sent to one that ends, and
        a machine that vanished never closes what was kept to it.
        """
        old = self.members.pop(name, None)
        if new is not None:
            self.members[name] = new
        if old is not None and (new is None or not new.entry.ready or new.process != old.process):
            self._pool_of(old).close_idle(old.address)

    # Operators

    def take_offline(self, server: str) -> None:
        """Nothing new goes to a cache server; what it has ends there."""
        self.offlined.add(server)
        self.post(api.Offline(server))
        if (member := self.members.get(server)) is not None:
            self._pool_of(member).stop_using(member.address)

    def bring_online(self, server: str, since: float) -> None:
        """A cache server is back, cold; nothing kept to it is used again."""
        if (member := self.members.get(server)) is not None:
            self._pool_of(member).stop_using(member.address)
        self.offlined.discard(server)
        self.post(api.Online(server, self.clock.start_on_this_clock(since)))

    def change_settings(self, settings: api.Settings) -> None:
        """Other settings from now on; open requests end under those that they began with."""
        self.settings = settings
        for pool in (self.servers, self.origin):
            pool.set_timeouts(settings.dial_timeout, settings.connection_idle)
        self.post(api.Retuned(settings))

    def set_watch(self, watch: api.Watch) -> None:
        """Let somebody hear what attempts prove, and which zones lists name."""
        self.router.watch = watch
        self._report_zones()

    def _report_zones(self) -> None:
        if self.router.watch is not None:
            zones = (m.entry.zone for m in self.members.values() if not self._is_origin(m))
            self.router.watch.listed(Counter(zones))

    def _is_origin(self, member: Member) -> bool:
        return self.settings.aside and member.entry.kind == self.settings.origin_kind

    def _pool_of(self, member: Member) -> Pool:
        return self.origin if self._is_origin(member) else self.servers

    # Requests

    def refuse_beyond(self, seconds: float) -> None:
        """Take no request from now on that could be unanswered in so many seconds."""
        self.last_answer_at = self.clock.now() + seconds

    def refuse_early(self, info: bytes, waited: float) -> bytes | None:
        """The refusal of a command that the module does not even want read; `info` as its client sent it.

        What can't be made out here is left to the whole look at it.
        """
        if self.router.door is None and self.router.wanted and self.last_answer_at == math.inf:
            return None
        request_class = tenant = ""
        repeated = keyed = False
        time_left = math.inf
        for pair in info.split(b","):
            name = pair[:2]
            if name == b"c=":
                request_class = pair[2:].decode("latin-1")
            elif name == b"t=":
                tenant = pair[2:].decode("latin-1")
            elif name == b"d=" and pair[2:].isdigit() and len(pair) <= MAX_DIGITS:
                time_left = int(pair[2:]) / 1000 - DEADLINE_MARGIN - waited
            elif name == b"k=":
                keyed = True
            elif pair == b"r=1":
                repeated = True
        if request_class not in self.settings.classes:
            return None
        now = self.clock.now()
        if math.inf > now + time_left > self.last_answer_at:
            return busy_answer(0.0)
        pause = self.router.turn_away(now, request_class, tenant, repeated, keyed, time_left, waited)
        return None if pause is None else busy_answer(pause)

    def accept(self, command: Command, reply: AnswerSink, waited: float = 0.0) -> None:
        """Take a request that is owed one answer to `reply`, or say why it can't be taken.

        It has lain in its socket for `waited` seconds, which are of the time its client waits.
        """
        name = command.request_id.decode()
        # guards the table: two requests under one id would get each other's answers; and a client against
        # another that repeats its id, just ended, to be served with what was its own
        if name in self.requests or name in self.recent_ids or name in self.older_ids:
            raise CommandError("this request id is in use")
        request_class = self.settings.classes.get(command.info.get("c", ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # guards against a second effect: no server could tell a repeat of it
        if request_class.effect is api.Effect.KEYED and not command.info.get("k"):
            raise CommandError("k is missing")
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN - waited)
        deadline = self.clock.now() + time_left
        request = self.requests[name] = RequestInFlight(name, command, self.settings, deadline, reply)
        request.deadline_timer = self.timers.call_later(time_left, self._on_deadline, name)
        if self.request_log.enabled:
            self.request_log.event(
                name, "taken", request_class=request_class.name, left=time_left, waited=waited
            )
        hint = command.info.get("h", "")
        event = api.Request(
            name,
            request_class.name,
            time_left,
            command.key.decode("latin-1"),
            # guards against a number too large for a float
            int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_DIGITS else None,
            command.is_write,
            waited,
        )
        self.post(event)

    def client_gone(self, name: str) -> None:
        """The client of a request closed its connection."""
        request = self.requests.get(name)
        if request is not None and not request.closed:
            self._mark_answered(request, name)
            if self.request_log.enabled:
                self.request_log.event(name, "client-gone")
            self.post(api.ClientGone(name))

    def _on_deadline(self, name: str) -> None:
        """The deadline: attempts still out time out."""
        request = self.requests[name]
        # guards a long answer: its first bytes were in time, and the rest comes as fast as its server gives
        # it and its client takes it; but not for good
        flows = None if request.deadline_passed else request.streaming
        request.deadline_passed = True
        if flows is not None:
            request.deadline_timer = self.timers.call_later(MAX_STREAM_OVERRUN, self._on_deadline, name)
        for attempt in list(
            request.open_attempts.values()
        ):  # the module may answer, and so end it, on the way
            if attempt is not flows:
                self._time_out(attempt)

    def _answer(self, name: str, answer: bytes, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """Give a request its one answer."""
        request = self.requests.get(name)
        if request is not None and not request.closed:
            self._mark_answered(request, name)
            self._log_answer(request, answer, reason)
            if request.streaming is None:
                request.answer_sink.send(answer)
            else:
                # guards the client: in the midst of a value an answer would be taken for part of it
                request.answer_sink.abort_stream()

    def _log_answer(self, request: RequestInFlight, answer: bytes, reason: api.Reason) -> None:
        """Log a final answer that comes late and, while requests are logged, any other."""
        late = self.clock.now() - request.deadline - DEADLINE_MARGIN
        if late > LATE_ANSWER_LOGGED and answer[:1] != b"$":
            rate_limited_log.log(
                logging.WARNING, "final answers late: %s by %.3f s", request.request_id, late
            )
        if self.request_log.enabled:
            kind = answer[:5].decode("latin-1").strip() if answer[:1] != b"$" else "served"
            self.request_log.event(request.request_id, "answered", answer=kind, reason=reason, left=-late)

    def _mark_answered(self, request: RequestInFlight, name: str) -> None:
        """Nothing is owed any more; kept only for what is still out."""
        request.closed = True
        self.ended_requests.append(name)

    def _remove_ended(self, name: str) -> None:
        """Guards memory: a request with its value is not kept until a deadline far off."""
        request = self.requests.get(name)
        if request is not None and request.closed and not request.open_attempts:
            del self.requests[name]
            now = self.clock.now()
            if now - self.id_generation_started_at > MIN_ID_MEMORY:
                self.older_ids, self.recent_ids, self.id_generation_started_at = self.recent_ids, set(), now
            self.recent_ids.add(name)
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()

    def _refuse(self, action: api.Refuse) -> None:
        """A refusal at once, that tells the client when to come back if the module has advice."""
        self._answer(action.request, busy_answer(action.come_back), action.reason)

    # Attempts

    def _start_attempt(self, action: api.Send) -> None:
        request = self.requests.get(action.request)
        if request is None:
            log.error("a send for %s, which is long over", action.request)
            return
        now = self.clock.now()
        attempt = Attempt(self, request, now, action.server, action.within)
        request.attempts_started += 1
        request.open_attempts[attempt.number] = attempt
        over = request.closed or request.deadline_passed or attempt.number >= request.settings.max_attempts
        member = self.members.get(action.server)
        if self.request_log.enabled:
            number, left = attempt.number, request.deadline - now
            self.request_log.event(
                request.request_id, "sent", no=number, server=action.server, reason=action.reason, left=left
            )
        if over or member is None or not request.answer_sink.client_connected():
            failed = not over and member is None
            self.finish_attempt(request, attempt, api.Status.CONNECT_FAILED if failed else api.Status.MOOT)
            return
        time_left = request.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            attempt.deadline = now + time_left
            attempt.timeout_timer = self.timers.call_later(time_left, self._time_out, attempt)
        attempt.exchange = self._pool_of(member).start_attempt(
            member.address, request.command, time_left, attempt.finish, member.process, attempt
        )

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited for its connection may still be written."""
        request, member = attempt.request, self.members.get(attempt.server)
        if request.closed or request.deadline_passed or member is None or not member.entry.ready:
            return False
        late = (
            request.attempts_started > 1 and self.clock.now() >= attempt.write_deadline
        )  # a first one repeats nothing
        return not late and attempt.server not in self.offlined and request.answer_sink.client_connected()

    def begin_stream(self, request: RequestInFlight, attempt: Attempt, length: int, source: Exchange) -> bool:
        """A long answer begins to come; the first of a request's is passed on, any other is not wanted."""
        if request.closed or request.streaming is not None:
            self.finish_attempt(request, attempt, api.Status.CANCELLED)
            return False
        attempt.stream_started_at = self.clock.now()
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        request.streaming = attempt
        request.answer_sink.begin_stream(length, source)
        self.post(api.Streaming(request.request_id, attempt.number, self.loop_lag.estimated_wait()))
        return True

    def _cancel_attempt(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        attempt = request.open_attempts.get(action.attempt) if request is not None else None
        if request is not None and attempt is not None:
            self._give_up(request, attempt, api.Status.CANCELLED)

    def _time_out(self, attempt: Attempt) -> None:
        self._give_up(attempt.request, attempt, api.Status.TIMEOUT)

    def _give_up(self, request: RequestInFlight, attempt: Attempt, status: api.Status) -> None:
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        self.finish_attempt(request, attempt, status)

    def finish_attempt(
        self, request: RequestInFlight, attempt: Attempt, status: api.Status, value: bytes = b""
    ) -> None:
        """Give an attempt its one outcome; the first that served answers the client."""
        if request.open_attempts.pop(attempt.number, None) is None:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.exchange = None  # guards memory: each would hold the other until the collector comes
        name = request.request_id
        if request.streaming is attempt:
            if not request.closed:
                self._mark_answered(request, name)
                (
                    request.answer_sink.end_stream
                    if status is api.Status.OK
                    else request.answer_sink.abort_stream
                )()
        elif status is api.Status.OK:
            self._answer(name, b"$%d\r\n%b\r\n" % (len(value), value))
        self.ended_requests.append(name)
        # guards against a core that is full: the wait for it would count as the server's, and cut its limit
        # and a client that takes a long answer slowly, in the same way
        ended_at = attempt.stream_started_at or self.clock.now()
        latency = max(0.0, ended_at - attempt.sent_at - self.loop_lag.estimated_wait())
        if self.request_log.enabled:
            self.request_log.event(
                name, "ended", no=attempt.number, status=status, took=ended_at - attempt.sent_at
            )
        self.post(api.Outcome(name, attempt.number, status, request.closed, latency))
