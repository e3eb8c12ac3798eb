"""Hosts the decision module: provides its clock and timers and keeps the table of requests and attempts.

The host turns what happens on sockets into events and carries out the resulting actions in order. All
decisions are made in `policy.Router`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from myrtlecourse import interface as api
from myrtlecourse.net.clock import Clock
from myrtlecourse.net.command import MAX_INFO, Command, CommandError
from myrtlecourse.net.exchange import Exchange
from myrtlecourse.net.executed_ids import ExecutedIds
from myrtlecourse.net.in_flight import AnswerSink, Attempt, RequestInFlight
from myrtlecourse.net.list_updates import ListUpdate, ListUpdateQueue
from myrtlecourse.net.loop_lag import LoopLag
from myrtlecourse.net.members import Member
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.request_log import requests_log
from myrtlecourse.net.timers import Timers
from myrtlecourse.policy import Router

# Seconds before the client's deadline at which the router stops waiting. The deadline counts from the
# client's send: the network takes at most 1.3 ms in each direction and this process 1.4 ms at the 99th
# percentile; the rest allows for a core busy with other processes.
DEADLINE_MARGIN = 0.02
MIN_ID_MEMORY = 2.0  # seconds; the id of an ended request is not accepted again for at least this long
MAX_RECENT_IDS = (
    16 * 1024
)  # ids of each of two generations; with more, those of safe requests are forgotten early
STREAM_CHECK_INTERVAL = 60.0  # seconds between checks of the progress of an answer streamed past its deadline
MAX_DIGITS = 12  # digits of a number in a command's names and values
FAILED_ANSWER = b"-ERR failed\r\n"
LATE_ANSWER_LOGGED = 0.1  # seconds after its deadline from which on a final answer is logged as late
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)


def busy_answer(retry_after: float) -> bytes:
    """Encode a refusal, with the time in seconds after which to retry unless that is 0."""
    milliseconds = math.ceil(retry_after * 1000)
    return b"-BUSY %d\r\n" % milliseconds if milliseconds else b"-BUSY\r\n"


class Host:
    """A router with its members, requests and timers."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        servers: Pool,
        origin: Pool,
        subscribe: Callable[[], None],
        admission: api.AdmissionControl | None = None,
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.origin = origin
        self.subscribe = subscribe
        self.clock = Clock()
        self.in_service = True  # unless operators take the router out of service
        self.holds_service_address = True  # false while the movable service address is at another router
        self.answer_deadline = math.inf  # when this process ends: every accepted request is answered by then
        self.router = Router(settings, seed, self.clock.now(), admission)
        self.members: dict[str, Member] = {}
        self.offline_servers: set[str] = set()  # servers that operators took offline
        self.requests: dict[str, RequestInFlight] = {}
        self.recent_ids: set[str] = set()  # ids of ended requests
        self.older_ids: set[str] = set()  # the generation before
        self.id_generation_started_at = self.clock.now()
        self.executed_ids = ExecutedIds()  # of requests that must not be executed twice
        self.ended_requests: list[str] = []  # ids of requests that may be removable
        self.pending_events: deque[api.Event] = deque()
        self.handling = False
        self.timers = Timers()
        self.loop_lag = LoopLag()
        self.list_updates = ListUpdateQueue(lambda: self.members, self.apply_list)
        self.request_log = requests_log
        self.batch_scheduled = False  # whether a call to apply the next batch is scheduled

    def post(self, event: api.Event) -> None:
        """Pass an event to the decision module; while actions are carried out, events are queued."""
        if self.handling:
            self.pending_events.append(event)
            return
        self.handling = True
        try:
            self._handle(event)
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.handling = False
            # Ended requests are removed only now: the module may still ask for an attempt of a request that
            # it has just ended, which is then cancelled before sending.
            for request_id in self.ended_requests:
                self._remove_ended(request_id)
            self.ended_requests.clear()

    def _handle(self, event: api.Event) -> None:
        for action in self.router.handle(self.clock.now(), event):
            try:
                self._carry_out(action)
            except Exception:
                # The other actions may be for other requests; this one's request ends at its deadline.
                log.exception("could not carry out an action")

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
            case api.CloseIdle():
                if (member := self.members.get(action.server)) is not None:
                    self._pool_of(member).close_idle(member.address)
            case api.SetTimer():
                self.timers.call_later(action.delay, self.post, api.TimerFired(action.timer))
            case api.Subscribe():
                self.subscribe()
            case api.Log():
                log.info("%s", action.text)

    # The list of servers

    def accepts_clients(self) -> bool:
        """Return whether clients are welcome: the router can serve them and holds the service address."""
        return self.holds_service_address and self.has_usable_server()

    def has_usable_server(self) -> bool:
        """Return whether the router is in service and requests may be sent to some cache server."""
        return self.in_service and any(
            m.entry.ready and not self._is_origin(m) for m in self.members.values()
        )

    def discovery_moved(self) -> None:
        """Handle that the list of servers comes from another discovery service from now on."""
        self.post(api.DiscoveryChanged())

    def discovery_failed(self) -> None:
        """Handle that a request to discovery has failed."""
        self.post(api.ServerList(api.ListKind.FAILED))

    def submit_list(self, kind: api.ListKind, members: list[Member]) -> None:
        """Apply a list or its changes, longer ones one batch per iteration of the event loop.

        The list in the configuration is applied at once, as no request is waiting yet.
        """
        update = ListUpdate(kind, members)
        if kind is api.ListKind.SAVED:
            self.apply_list(update)
            return
        self.list_updates.submit(update)
        if self.list_updates.pending and not self.batch_scheduled:
            self.batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_next_batch)

    def _apply_next_batch(self) -> None:
        self.loop_lag.note_input()
        loop = asyncio.get_running_loop()
        try:
            self.list_updates.apply_next_batch()
        except Exception:
            # The decision module may have applied only a part, and would go on to use servers that drain. It
            # gets the full list again.
            log.exception("could not apply a batch of the server list; sending the full list again")
            loop.call_soon(self._resend_list)
        self.batch_scheduled = self.list_updates.pending
        if self.batch_scheduled:
            loop.call_soon(self._apply_next_batch)

    def _resend_list(self) -> None:
        """Pass the full current list to the decision module."""
        self.post(
            api.ServerList(
                api.ListKind.FULL, tuple(self._entry_on_host_clock(m) for m in self.members.values())
            )
        )

    def apply_list(self, update: ListUpdate) -> None:
        """Apply an update; takes time for its entries and, if it is a full list, for removed members."""
        if update.kind is not api.ListKind.DELTA:
            named = {m.entry.server for m in update.members}
            for name in self.members.keys() - named:
                self._replace_member(name, None)
        for member in update.members:
            self._replace_member(
                member.entry.server, None if member.entry.state is api.State.GONE else member
            )
        if not self.list_updates.pending:
            self._report_zones()
        if self.request_log.enabled:
            kind, entries, listed = update.kind.value, len(update.members), len(self.members)
            self.request_log.event("-", "list", kind=kind, entries=entries, listed=listed)
        self.post(api.ServerList(update.kind, tuple(self._entry_on_host_clock(m) for m in update.members)))

    def _entry_on_host_clock(self, member: Member) -> api.ServerEntry:
        """Return a member's entry, with its start on the host's clock if the wall clock has been stepped."""
        entry = member.entry
        if not self.clock.stepped:
            return entry
        return replace(entry, local_start=self.clock.start_on_this_clock(entry.listed_start))

    def check_wall_clock(self) -> None:
        """Detect a step of the wall clock, to which the start times of servers refer."""
        if step := self.clock.detect_step():
            log.warning("the wall clock was stepped by %+.3f s", step)

    def _replace_member(self, name: str, new: Member | None) -> None:
        """Replace a member of the list, or remove it if `new` is None.

        Closes the idle connections to a process that ends. Nothing more is sent to it, and a machine that
        vanished never closes them: they would waste descriptors and reach the next process at the address.
        """
        old = self.members.pop(name, None)
        if new is not None:
            self.members[name] = new
        if old is not None and (new is None or not new.entry.ready or new.process != old.process):
            self._pool_of(old).close_idle(old.address)

    # Operators

    def take_offline(self, server: str) -> None:
        """Start no new attempts at a cache server; its open attempts finish there."""
        self.offline_servers.add(server)
        self.post(api.ServerBanned(server))
        if (member := self.members.get(server)) is not None:
            self._pool_of(member).stop_using(member.address)

    def bring_online(self, server: str, since: float) -> None:
        """Use a cache server again, as a cold one; connections kept from before are not used."""
        if (member := self.members.get(server)) is not None:
            self._pool_of(member).stop_using(member.address)
        self.offline_servers.discard(server)
        self.post(api.BanLifted(server, self.clock.start_on_this_clock(since)))

    def change_settings(self, settings: api.Settings) -> None:
        """Apply new settings; open requests finish under the settings that they began with."""
        self.settings = settings
        for pool in (self.servers, self.origin):
            pool.set_timeouts(settings.dial_timeout, settings.connection_idle)
        self.post(api.SettingsChanged(settings))

    def set_observer(self, observer: api.ReachabilityObserver) -> None:
        """Report to `observer` what attempts prove, and the zones in the list."""
        self.router.observer = observer
        self._report_zones()

    def _report_zones(self) -> None:
        if self.router.observer is not None:
            zones = (m.entry.zone for m in self.members.values() if not self._is_origin(m))
            self.router.observer.servers_listed(Counter(zones))

    def _is_origin(self, member: Member) -> bool:
        """Return whether a member is an origin; the router uses one itself only with `cache_aside`."""
        return self.settings.cache_aside and member.entry.kind == self.settings.origin_kind

    def _pool_of(self, member: Member) -> Pool:
        return self.origin if self._is_origin(member) else self.servers

    # Requests

    def set_answer_deadline(self, seconds: float) -> None:
        """Refuse from now on requests whose deadline is more than `seconds` away."""
        self.answer_deadline = self.clock.now() + seconds

    def longest_time_left(self) -> float:
        """Return the seconds until the last deadline of the open requests; 0 without any.

        Their deadlines are those of the settings under which each was accepted.
        """
        deadlines = (r.deadline for r in self.requests.values() if not r.closed)
        return max(0.0, max(deadlines, default=0.0) - self.clock.now())

    def settle_open_requests(self) -> None:
        """Give each open request its final answer now, as this process ends; no further attempt is made."""
        for request_id, request in list(self.requests.items()):
            request.deadline_passed = True
            self._answer(request_id, FAILED_ANSWER if request.attempts_started else busy_answer(0.0))
            self._time_out_attempts(request)

    def refuse_early(self, info: bytes, read_delay: float, core_delay: float) -> bytes | None:
        """Return the refusal of a command that need not be parsed, or None.

        What can't be recognised here is left to the full parser.

        Args:
            info: the names and values as the client sent them.
            read_delay: seconds for which the command lay unread, which count against its deadline.
            core_delay: the part of them for which this process was busy. A client that sends faster than its
                commands are taken waits for itself, which says nothing of the core.
        """
        if self.router.admission is None and self.router.accepting and self.answer_deadline == math.inf:
            return None
        if len(info) > MAX_INFO:
            return None
        request_class = tenant = ""
        is_retry = has_idempotency_key = False
        time_left = math.inf
        for pair in info.split(b","):
            name = pair[:2]
            if name == b"c=":
                request_class = pair[2:].decode("latin-1")
            elif name == b"t=":
                tenant = pair[2:].decode("latin-1")
            elif name == b"d=" and pair[2:].isdigit() and len(pair) <= MAX_DIGITS:
                time_left = int(pair[2:]) / 1000 - DEADLINE_MARGIN - read_delay
            elif name == b"k=":
                has_idempotency_key = True
            elif pair == b"r=1":
                is_retry = True
        if request_class not in self.settings.classes:
            return None
        now = self.clock.now()
        if math.inf > now + time_left > self.answer_deadline:
            return busy_answer(0.0)
        retry_after = self.router.admission_retry_delay(
            now, request_class, tenant, is_retry, has_idempotency_key, time_left, core_delay
        )
        return None if retry_after is None else busy_answer(retry_after)

    def accept(self, command: Command, answer_sink: AnswerSink, read_delay: float = 0.0) -> None:
        """Accept a request, whose single answer goes to `answer_sink`.

        The request has lain unread for `read_delay` seconds, which count against its deadline.

        Raises:
            CommandError: the request can't be accepted.
        """
        request_id = command.request_id.decode()
        # Two requests with one id would get each other's answers. And a client that repeats the id of a
        # request that has just ended could be served with the answer of another client.
        if request_id in self.requests or request_id in self.recent_ids or request_id in self.older_ids:
            raise CommandError("this request id is in use")
        info = command.info
        request_class = self.settings.classes.get(info.get("c", ""))
        if request_class is None:
            raise CommandError("class is unknown")
        # Servers recognise a repeated request by its idempotency key; without it, a repeat would be executed
        # again.
        if request_class.effect is api.Effect.KEYED and not info.get("k"):
            raise CommandError("k is missing")
        if request_class.effect is not api.Effect.SAFE and not self.executed_ids.take(
            command.request_id, time.monotonic()
        ):
            raise CommandError("this request id was used before")
        time_left = max(0.0, command.deadline_ms / 1000 - DEADLINE_MARGIN - read_delay)
        deadline = self.clock.now() + time_left
        request = self.requests[request_id] = RequestInFlight(
            request_id, command, self.settings, deadline, answer_sink, request_class.effect
        )
        request.deadline_timer = self.timers.call_later(time_left, self._on_deadline, request_id)
        if self.request_log.enabled:
            self.request_log.event(
                request_id, "taken", request_class=request_class.name, left=time_left, waited=read_delay
            )
        hint = info.get("h", "")
        event = api.Request(
            request_id,
            request_class.name,
            time_left,
            command.key.decode("latin-1"),
            # A number with more digits could be too large for a float.
            int(hint) / 1e6 if hint.isdigit() and len(hint) <= MAX_DIGITS else None,
            command.is_write,
            read_delay,
        )
        self.post(event)

    def client_gone(self, request_id: str) -> None:
        """Handle that the client of a request has disconnected."""
        request = self.requests.get(request_id)
        if request is not None and not request.closed:
            self._mark_answered(request, request_id)
            if self.request_log.enabled:
                self.request_log.event(request_id, "client-gone")
            self.post(api.ClientGone(request_id))

    def _on_deadline(self, request_id: str) -> None:
        """Time out the open attempts of a request at its deadline."""
        request = self.requests[request_id]
        if request.streaming_attempt is None:
            self._forward_held_answer(request)
        # A streamed answer whose first bytes were in time goes on while it makes progress.
        streaming = request.streaming_attempt if request.answer_sink.may_continue_late() else None
        request.deadline_passed = True
        if streaming is not None:
            streaming.begin_progress_interval()
            self._check_stream_later(request)
        self._time_out_attempts(request, streaming)

    def _forward_held_answer(self, request: RequestInFlight) -> None:
        """Begin to forward a long answer that has begun: its first bytes are still in time."""
        for attempt in list(request.open_attempts.values()):
            if attempt.exchange is not None and attempt.exchange.forward_held():
                if self.request_log.enabled:
                    self.request_log.event(request.request_id, "passed-on-at-deadline", no=attempt.number)
                return

    def _check_stream_later(self, request: RequestInFlight) -> None:
        request.deadline_timer = self.timers.call_later(
            STREAM_CHECK_INTERVAL, self._check_stream, request.request_id
        )

    def _check_stream(self, request_id: str) -> None:
        """End an answer that is streamed past its deadline if too little of it has come since the last check.

        One that waits behind others is ended too: its client has nothing of it, and gets an error instead.
        """
        request = self.requests[request_id]
        streaming = request.streaming_attempt
        waits = request.answer_sink.waits_behind_others()
        if streaming is not None and not waits and streaming.made_progress(STREAM_CHECK_INTERVAL):
            streaming.begin_progress_interval()
            self._check_stream_later(request)
        else:
            self._time_out_attempts(request)

    def _time_out_attempts(self, request: RequestInFlight, spared: Attempt | None = None) -> None:
        """Time out the open attempts of a request but for one."""
        # The loop needs a copy: the decision module may answer the request, and so end its attempts,
        # meanwhile.
        for attempt in list(request.open_attempts.values()):
            if attempt is not spared:
                self._time_out(attempt)

    def _answer(self, request_id: str, answer: bytes, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """Send a request its final answer, unless it has been answered."""
        request = self.requests.get(request_id)
        if request is not None and not request.closed:
            self._mark_answered(request, request_id)
            self._log_answer(request, answer, reason)
            if request.streaming_attempt is None:
                request.answer_sink.send(answer)
            else:
                # In the middle of a value, another answer would be read as a part of that value.
                request.answer_sink.abort_stream()

    def _give_value(self, request: RequestInFlight, value: bytes) -> None:
        """Answer a request with a value, or refuse it if there is no memory until its client reads."""
        if request.effect is not api.Effect.SAFE or request.answer_sink.has_room_for(len(value)):
            self._answer(request.request_id, b"$%d\r\n%b\r\n" % (len(value), value))
        else:
            refusal = busy_answer(self.settings.max_retry_after)
            self._answer(request.request_id, refusal, api.Reason.NO_MEMORY)

    def _log_answer(self, request: RequestInFlight, answer: bytes, reason: api.Reason) -> None:
        """Log a late final answer and, while the request log is enabled, every answer."""
        lateness = self.clock.now() - request.deadline - DEADLINE_MARGIN
        if lateness > LATE_ANSWER_LOGGED and answer[:1] != b"$":
            rate_limited_log.log(
                logging.WARNING, "final answers late: %s by %.3f s", request.request_id, lateness
            )
        if self.request_log.enabled:
            kind = answer[:5].decode("latin-1").strip() if answer[:1] != b"$" else "served"
            self.request_log.event(request.request_id, "answered", answer=kind, reason=reason, left=-lateness)

    def _mark_answered(self, request: RequestInFlight, request_id: str) -> None:
        """Mark a request as answered; it is kept until its open attempts have ended."""
        request.closed = True
        self.ended_requests.append(request_id)

    def _remove_ended(self, request_id: str) -> None:
        """Remove a request without open attempts, so that its value is not held until a distant deadline."""
        request = self.requests.get(request_id)
        if request is not None and request.closed and not request.open_attempts:
            del self.requests[request_id]
            request.command.release_memory()
            now = self.clock.now()
            too_many = len(self.recent_ids) >= MAX_RECENT_IDS
            if too_many or now - self.id_generation_started_at > MIN_ID_MEMORY:
                self.older_ids, self.recent_ids, self.id_generation_started_at = self.recent_ids, set(), now
            self.recent_ids.add(request_id)
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()

    def _refuse(self, action: api.Refuse) -> None:
        """Refuse a request, with the time after which to retry if the decision module gives one."""
        self._answer(action.request, busy_answer(action.retry_after), action.reason)

    # Attempts

    def _start_attempt(self, action: api.Send) -> None:
        request = self.requests.get(action.request)
        if request is None:
            log.error("attempt requested for %s, which is no longer known", action.request)
            return
        now = self.clock.now()
        attempt = Attempt(self, request, now, action.server, action.write_by)
        request.attempts_started += 1
        request.open_attempts[attempt.number] = attempt
        ended = request.closed or request.deadline_passed or attempt.number >= request.settings.max_attempts
        member = self.members.get(action.server)
        if self.request_log.enabled:
            number, left = attempt.number, request.deadline - now
            self.request_log.event(
                request.request_id, "sent", no=number, server=action.server, reason=action.reason, left=left
            )
        if ended or member is None or not request.answer_sink.client_connected():
            failed = not ended and member is None
            self.finish_attempt(
                request, attempt, api.Status.CONNECT_FAILED if failed else api.Status.NOT_SENT
            )
            return
        time_left = request.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            attempt.deadline = now + time_left
            attempt.timeout_timer = self.timers.call_later(time_left, self._time_out, attempt)
        attempt.process = member.process
        attempt.exchange = self._pool_of(member).start_attempt(
            member.address, request.command, time_left, attempt.finish, member.process, attempt
        )

    def may_start(self, attempt: Attempt) -> bool:
        """Return whether an attempt that has waited for its connection may still be sent."""
        request, member = attempt.request, self.members.get(attempt.server)
        if request.closed or request.deadline_passed or member is None or not member.entry.ready:
            return False
        if member.process != attempt.process:  # another process has taken the place of the one chosen
            return False
        # The first attempt repeats nothing, and so is never too late for duplicate detection.
        late = request.attempts_started > 1 and self.clock.now() >= attempt.send_deadline
        return (
            not late and attempt.server not in self.offline_servers and request.answer_sink.client_connected()
        )

    def begin_stream(self, request: RequestInFlight, attempt: Attempt, length: int, source: Exchange) -> bool:
        """Stream an attempt's long answer to the client, unless another answer has begun or been sent."""
        if request.closed or request.streaming_attempt is not None:
            self.finish_attempt(request, attempt, api.Status.CANCELLED)
            return False
        attempt.stream_started_at = self.clock.now()
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        request.streaming_attempt = attempt
        request.answer_sink.begin_stream(length, source)
        self.post(api.Streaming(request.request_id, attempt.number, self.loop_lag.estimated_wait()))
        return True

    def _cancel_attempt(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        attempt = request.open_attempts.get(action.attempt) if request is not None else None
        if request is not None and attempt is not None:
            self._abandon_attempt(request, attempt, api.Status.CANCELLED)

    def _time_out(self, attempt: Attempt) -> None:
        self._abandon_attempt(attempt.request, attempt, api.Status.TIMEOUT)

    def _abandon_attempt(self, request: RequestInFlight, attempt: Attempt, status: api.Status) -> None:
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        self.finish_attempt(request, attempt, status)

    def finish_attempt(
        self, request: RequestInFlight, attempt: Attempt, status: api.Status, value: bytes = b""
    ) -> None:
        """Record the outcome of an attempt; the first one that succeeds answers the client."""
        if request.open_attempts.pop(attempt.number, None) is None:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.exchange = None  # breaks a reference cycle, which would last until a garbage collection
        request_id = request.request_id
        if request.streaming_attempt is attempt:
            if not request.closed:
                self._mark_answered(request, request_id)
                (
                    request.answer_sink.end_stream
                    if status is api.Status.OK
                    else request.answer_sink.abort_stream
                )()
        elif status is api.Status.OK:
            self._give_value(request, value)
        self.ended_requests.append(request_id)
        # The latency excludes waits for a saturated core and for a client that reads a long answer slowly:
        # they would count as the server's latency and lower its concurrency limit.
        ended_at = attempt.stream_started_at or self.clock.now()
        latency = max(0.0, ended_at - attempt.sent_at - self.loop_lag.estimated_wait())
        if self.request_log.enabled:
            self.request_log.event(
                request_id, "ended", no=attempt.number, status=status, took=ended_at - attempt.sent_at
            )
        self.post(api.Outcome(request_id, attempt.number, status, request.closed, latency))
