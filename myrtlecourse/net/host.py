"""Hosts the decision module: its clock and timers, and the table of requests and attempts.

Turns what happens on sockets into events, carries out the actions in order, and decides nothing.
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
from myrtlecourse.net.list_updates import ListNews, ListUpdates
from myrtlecourse.net.logs import BoundedLog
from myrtlecourse.net.members import Member
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.request_log import requests_log
from myrtlecourse.net.taken import Attempt, Reply, Taken
from myrtlecourse.net.timers import Timers
from myrtlecourse.net.turns import Turns
from myrtlecourse.policy import Router

# before the client's deadline, which counts from its send: measured, the way takes 1.3 ms at most in each
# direction and this process 1.4 ms at the 99th percentile; the rest is for a core that others keep busy
DEADLINE_MARGIN = 0.02
REMEMBER = 2.0  # seconds at least for which the id of an ended request is not taken again
LONGEST_FLOW = 60.0  # seconds after its deadline for which a long answer may flow on, however slowly
MAX_HINT = 12  # digits
FAILED = b"-ERR failed\r\n"
LATE = 0.1  # seconds after its deadline from which on a final answer is worth a line in the log
log = logging.getLogger(__name__)
bounded = BoundedLog(log)


def busy(come_back: float) -> bytes:
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
        door: api.AdmissionControl | None = None,
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.origin = origin
        self.subscribe = subscribe
        self.clock = Clock()
        self.in_service = True  # as operators have it
        self.addressed = True  # the service address is here, where it may move
        self.last_answer = math.inf  # by then all that is taken has its answer, as this process ends
        self.router = Router(settings, seed, self.clock.now(), door)
        self.members: dict[str, Member] = {}
        self.offlined: set[str] = set()  # by operators
        self.requests: dict[str, Taken] = {}
        self.used: set[str] = set()  # ids of ended requests
        self.used_before: set[str] = set()
        self.used_since = self.clock.now()
        self.over: list[str] = []  # names of requests that may be forgotten
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.timers = Timers()
        self.turns = Turns()
        self.updates = ListUpdates(lambda: self.members, self.take_list)
        self.log = requests_log
        self.updating = False  # a turn of the loop is asked for, to take the next batch

    def post(self, event: api.Event) -> None:
        """Hand an event to the module; one that comes while actions are carried out waits its turn."""
        if self.handling:
            self.events.append(event)
            return
        self.handling = True
        try:
            for action in self.router.handle(self.clock.now(), event):
                self._carry_out(action)
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
                self._close(action.request, FAILED, action.reason)
            case api.Cancel():
                self._cancel(action)
            case api.CloseIdle():
                if (member := self.members.get(action.server)) is not None:
                    self._pool(member).close_idle(member.address)
            case api.SetTimer():
                self.timers.after(action.delay, self.post, api.TimerFired(action.timer))
            case api.Subscribe():
                self.subscribe()
            case api.Log():
                log.info("%s", action.text)

    # The list

    def ready(self) -> bool:
        """Whether clients are wanted: in service, at the service address, and with a cache server."""
        return self.addressed and self.may_serve()

    def may_serve(self) -> bool:
        """Whether it is in service and some cache server may be sent to."""
        return self.in_service and any(
            m.entry.ready and not self._is_origin(m) for m in self.members.values()
        )

    def list_moved(self) -> None:
        """The list is told elsewhere from now on."""
        self.post(api.DiscoveryChanged())

    def list_failed(self) -> None:
        self.post(api.ServerList(api.ListKind.FAILED))

    def list_told(self, kind: api.ListKind, members: list[Member]) -> None:
        """Take a list or its changes, the longer ones a batch in each turn of the event loop.

        The list of the configuration is taken at once: no request waits for it.
        """
        news = ListNews(kind, members)
        if kind is api.ListKind.SAVED:
            self.take_list(news)
            return
        self.updates.put(news)
        if self.updates.pending and not self.updating:
            self.updating = True
            asyncio.get_running_loop().call_soon(self._take_batch)

    def _take_batch(self) -> None:
        self.turns.note()
        loop = asyncio.get_running_loop()
        try:
            self.updates.step()
        except Exception:
            # guards drains: what the decisions could not take in part they are told again as a whole
            log.exception("a batch of the list")
            loop.call_soon(self._tell_again)
        self.updating = self.updates.pending
        if self.updating:
            loop.call_soon(self._take_batch)

    def _tell_again(self) -> None:
        """Tell the decisions the list as it is held."""
        self.post(api.ServerList(api.ListKind.FULL, tuple(self._entry(m) for m in self.members.values())))

    def take_list(self, news: ListNews) -> None:
        """Enter news; costs what it names, and for a whole list what it ends."""
        if news.kind is not api.ListKind.DELTA:
            named = {m.entry.server for m in news.members}
            for name in self.members.keys() - named:
                self._replace(name, None)
        for member in news.members:
            self._replace(member.entry.server, None if member.entry.state is api.State.GONE else member)
        if not self.updates.pending:
            self._tell_zones()
        if self.log.on:
            kind, entries, listed = news.kind.value, len(news.members), len(self.members)
            self.log.event("-", "list", kind=kind, entries=entries, listed=listed)
        self.post(api.ServerList(news.kind, tuple(self._entry(m) for m in news.members)))

    def _entry(self, member: Member) -> api.ServerEntry:
        """A member as the module is told of it: its start on this clock, once the wall clock was stepped."""
        entry = member.entry
        if not self.clock.stepped:
            return entry
        return replace(entry, local_start=self.clock.start_of(entry.listed_start))

    def look_at_clock(self) -> None:
        """Notice a step of the wall clock, by which others tell when servers started."""
        if step := self.clock.look():
            log.warning("the wall clock was stepped by %+.3f s", step)

    def _replace(self, name: str, new: Member | None) -> None:
        """List a server as it is told now, or no more.

        Guards the descriptors, and the next process at an address: nothing more is sent to one that ends, and
        a machine that vanished never closes what was kept to it.
        """
        old = self.members.pop(name, None)
        if new is not None:
            self.members[name] = new
        if old is not None and (new is None or not new.entry.ready or new.process != old.process):
            self._pool(old).close_idle(old.address)

    # Operators

    def offline(self, server: str) -> None:
        """Nothing new goes to a cache server; what it has ends there."""
        self.offlined.add(server)
        self.post(api.ServerBanned(server))
        if (member := self.members.get(server)) is not None:
            self._pool(member).leave(member.address)

    def online(self, server: str, since: float) -> None:
        """A cache server is back, cold; nothing kept to it is used again."""
        if (member := self.members.get(server)) is not None:
            self._pool(member).leave(member.address)
        self.offlined.discard(server)
        self.post(api.BanLifted(server, self.clock.start_of(since)))

    def retune(self, settings: api.Settings) -> None:
        """Other settings from now on; open requests end under those that they began with."""
        self.settings = settings
        for pool in (self.servers, self.origin):
            pool.retune(settings.dial_timeout, settings.connection_idle)
        self.post(api.SettingsChanged(settings))

    def watch(self, watch: api.ReachabilityObserver) -> None:
        """Let somebody hear what attempts prove, and which zones lists name."""
        self.router.observer = watch
        self._tell_zones()

    def _tell_zones(self) -> None:
        if self.router.observer is not None:
            zones = (m.entry.zone for m in self.members.values() if not self._is_origin(m))
            self.router.observer.servers_listed(Counter(zones))

    def _is_origin(self, member: Member) -> bool:
        return self.settings.cache_aside and member.entry.kind == self.settings.origin_kind

    def _pool(self, member: Member) -> Pool:
        return self.origin if self._is_origin(member) else self.servers

    # Requests

    def end_by(self, seconds: float) -> None:
        """Take no request from now on that could be unanswered in so many seconds."""
        self.last_answer = self.clock.now() + seconds

    def turn_away(self, info: bytes, waited: float) -> bytes | None:
        """The refusal of a command that the module does not even want read; `info` as its client sent it.

        What can't be made out here is left to the whole look at it.
        """
        if self.router.admission is None and self.router.accepting and self.last_answer == math.inf:
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
            elif name == b"d=" and pair[2:].isdigit() and len(pair) <= MAX_HINT:
                time_left = int(pair[2:]) / 1000 - DEADLINE_MARGIN - waited
            elif name == b"k=":
                keyed = True
            elif pair == b"r=1":
                repeated = True
        if request_class not in self.settings.classes:
            return None
        now = self.clock.now()
        if math.inf > now + time_left > self.last_answer:
            return busy(0.0)
        pause = self.router.admission_retry_delay(
            now, request_class, tenant, repeated, keyed, time_left, waited
        )
        return None if pause is None else busy(pause)

    def take(self, command: Command, reply: Reply, waited: float = 0.0) -> None:
        """Take a request that is owed one answer to `reply`, or say why it can't be taken.

        It has lain in its socket for `waited` seconds, which are of the time its client waits.
        """
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
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN - waited)
        deadline = self.clock.now() + time_left
        taken = self.requests[name] = Taken(name, command, self.settings, deadline, reply)
        taken.expiry = self.timers.after(time_left, self._overdue, name)
        if self.log.on:
            self.log.event(name, "taken", request_class=request_class.name, left=time_left, waited=waited)
        hint = command.info.get("h", "")
        request = api.Request(
            name,
            request_class.name,
            time_left,
            command.key.decode("latin-1"),
            # guards against a number too large for a float
            int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_HINT else None,
            command.write,
            waited,
        )
        self.post(request)

    def client_gone(self, name: str) -> None:
        """The client of a request closed its connection."""
        taken = self.requests.get(name)
        if taken is not None and not taken.closed:
            self._settle(taken, name)
            if self.log.on:
                self.log.event(name, "client-gone")
            self.post(api.ClientGone(name))

    def _overdue(self, name: str) -> None:
        """The deadline: attempts still out time out."""
        taken = self.requests[name]
        # guards a long answer: its first bytes were in time, and the rest comes as fast as its server gives
        # it and its client takes it; but not for good
        flows = None if taken.overdue else taken.streaming
        taken.overdue = True
        if flows is not None:
            taken.expiry = self.timers.after(LONGEST_FLOW, self._overdue, name)
        for attempt in list(taken.attempts.values()):  # the module may answer, and so end it, on the way
            if attempt is not flows:
                self._time_out(attempt)

    def _close(self, name: str, answer: bytes, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """Give a request its one answer."""
        taken = self.requests.get(name)
        if taken is not None and not taken.closed:
            self._settle(taken, name)
            self._note_answer(taken, answer, reason)
            if taken.streaming is None:
                taken.reply.fill(answer)
            else:
                # guards the client: in the midst of a value an answer would be taken for part of it
                taken.reply.cut()

    def _note_answer(self, taken: Taken, answer: bytes, reason: api.Reason) -> None:
        """Log a final answer that comes late and, while requests are logged, any other."""
        late = self.clock.now() - taken.deadline - DEADLINE_MARGIN
        if late > LATE and answer[:1] != b"$":
            bounded.log(logging.WARNING, "final answers late: %s by %.3f s", taken.name, late)
        if self.log.on:
            kind = answer[:5].decode("latin-1").strip() if answer[:1] != b"$" else "served"
            self.log.event(taken.name, "answered", answer=kind, reason=reason, left=-late)

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
        self._close(action.request, busy(action.retry_after), action.reason)

    # Attempts

    def _send(self, action: api.Send) -> None:
        taken = self.requests.get(action.request)
        if taken is None:
            log.error("a send for %s, which is long over", action.request)
            return
        now = self.clock.now()
        attempt = Attempt(self, taken, now, action.server, action.write_by)
        taken.sent += 1
        taken.attempts[attempt.number] = attempt
        over = taken.closed or taken.overdue or attempt.number >= taken.settings.max_attempts
        member = self.members.get(action.server)
        if self.log.on:
            number, left = attempt.number, taken.deadline - now
            self.log.event(
                taken.name, "sent", no=number, server=action.server, reason=action.reason, left=left
            )
        if over or member is None or not taken.reply.there():
            failed = not over and member is None
            self.finish(taken, attempt, api.Status.CONNECT_FAILED if failed else api.Status.NOT_SENT)
            return
        time_left = taken.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            attempt.ends_at = now + time_left
            attempt.timer = self.timers.after(time_left, self._time_out, attempt)
        attempt.exchange = self._pool(member).start(
            member.address, taken.command, time_left, attempt.done, member.process, attempt
        )

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited for its connection may still be written."""
        taken, member = attempt.taken, self.members.get(attempt.server)
        if taken.closed or taken.overdue or member is None or not member.entry.ready:
            return False
        late = taken.sent > 1 and self.clock.now() >= attempt.within  # a first one repeats nothing
        return not late and attempt.server not in self.offlined and taken.reply.there()

    def begin(self, taken: Taken, attempt: Attempt, length: int, source: Exchange) -> bool:
        """A long answer begins to come; the first of a request's is passed on, any other is not wanted."""
        if taken.closed or taken.streaming is not None:
            self.finish(taken, attempt, api.Status.CANCELLED)
            return False
        attempt.begun_at = self.clock.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        taken.streaming = attempt
        taken.reply.begin(length, source)
        self.post(api.Streaming(taken.name, attempt.number, self.turns.waited()))
        return True

    def _cancel(self, action: api.Cancel) -> None:
        taken = self.requests.get(action.request)
        attempt = taken.attempts.get(action.attempt) if taken is not None else None
        if taken is not None and attempt is not None:
            self._give_up(taken, attempt, api.Status.CANCELLED)

    def _time_out(self, attempt: Attempt) -> None:
        self._give_up(attempt.taken, attempt, api.Status.TIMEOUT)

    def _give_up(self, taken: Taken, attempt: Attempt, status: api.Status) -> None:
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        self.finish(taken, attempt, status)

    def finish(self, taken: Taken, attempt: Attempt, status: api.Status, value: bytes = b"") -> None:
        """Give an attempt its one outcome; the first that served answers the client."""
        if taken.attempts.pop(attempt.number, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.exchange = None  # guards memory: each would hold the other until the collector comes
        name = taken.name
        if taken.streaming is attempt:
            if not taken.closed:
                self._settle(taken, name)
                (taken.reply.end if status is api.Status.OK else taken.reply.cut)()
        elif status is api.Status.OK:
            self._close(name, b"$%d\r\n%b\r\n" % (len(value), value))
        self.over.append(name)
        # guards against a core that is full: the wait for it would count as the server's, and cut its limit
        # and a client that takes a long answer slowly, in the same way
        ended_at = attempt.begun_at or self.clock.now()
        latency = max(0.0, ended_at - attempt.sent_at - self.turns.waited())
        if self.log.on:
            self.log.event(name, "ended", no=attempt.number, status=status, took=ended_at - attempt.sent_at)
        self.post(api.Outcome(name, attempt.number, status, taken.closed, latency))
