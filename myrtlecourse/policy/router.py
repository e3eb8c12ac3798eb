"""Every decision of a myrtlecourse router, as a state machine without I/O.

The types, events and actions it speaks in are in `myrtlecourse/interface.py`.
"""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import FAILURE_STATUSES, SMOOTHING, UNANSWERED, Verdict, reachability_of
from myrtlecourse.policy import tuning
from myrtlecourse.policy.limits import learn_limit
from myrtlecourse.policy.request_queue import RequestQueue
from myrtlecourse.policy.selection import ServerSelection
from myrtlecourse.policy.state import Attempt, PendingRequest, Server
from myrtlecourse.policy.zone_exit import ZoneExitControl


class Router(ServerSelection):
    """The decisions of one router."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: float,
        admission: api.AdmissionControl | None = None,
        observer: api.ReachabilityObserver | None = None,
    ) -> None:
        super().__init__(settings, seed, now)
        self.admission = admission
        self.observer = observer
        self.accepting = True  # new requests
        self.requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue = RequestQueue()  # for the origin, or any server
        self.retry_budget = tuning.MAX_SAVED_RETRIES
        self.idle_keep_factor = tuning.IDLE_KEEP_FACTOR

    def admission_retry_delay(
        self,
        now: float,
        request_class: str,
        tenant: str,
        is_retry: bool,
        has_idempotency_key: bool,
        time_left: float,
        read_delay: float,
    ) -> float | None:
        """Whether to refuse a command unread: None, or when its client may come back.

        Nothing of it has been sent, so that a refusal is harmless whatever its class.
        """
        if not self.accepting:
            return 0.0
        if self.admission is None:
            return None
        pause = self.admission.retry_delay(
            now, request_class, tenant, is_retry, has_idempotency_key, read_delay
        )
        # guards the core: nobody waits any more for what would be done now
        return pause if pause is not None or time_left > self.settings.tick else 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.actions = now, []
        if isinstance(event, api.Outcome):
            self._on_outcome(event)
        elif isinstance(event, api.Request):
            self._on_request(event)
        elif isinstance(event, api.TimerFired):
            self._on_timer(event)
        elif isinstance(event, api.ServerList):
            self._on_list(event)
        elif isinstance(event, api.DiscoveryChanged):
            self.list_failures = 0  # guards against waiting out the pause that another discovery earned
            self._subscribe()
        elif isinstance(event, (api.ServerBanned, api.BanLifted)):
            self._on_ban_change(event)
        elif isinstance(event, api.Serving):
            self.accepting = event.accepting
        elif isinstance(event, api.SettingsChanged):
            self._on_settings_changed(event.settings)
        elif isinstance(event, api.ZoneExit):
            self._on_zone_exit(event)
        elif isinstance(event, api.ZonePreferences):
            self.zone_weights = event.weights
            self._rebuild_ring()
        elif isinstance(event, api.ClientGone) and event.request in self.requests:
            self._remove(self.requests[event.request])
        elif isinstance(event, api.Streaming):
            self._on_streaming(event)
        return self.actions

    def _on_streaming(self, event: api.Streaming) -> None:
        """What has begun to flow is the answer: nothing else of the request is wanted any more.

        Guards a server that has done its part, and all that go there, against clients that take it slowly."""
        begun = self.attempts.get((event.request, event.attempt))
        if begun is None:
            return
        begun.release_slot()
        self._learn_from(begun, api.Status.OK, max(0.0, self.now - begun.sent_at - event.read_delay))
        begun.response_begun = True
        if (pending := self.requests.get(event.request)) is not None:
            pending.streaming, pending.queued = True, False
            for other, attempt in enumerate(pending.attempts):
                if self.settings.may_cancel and attempt.is_open and attempt is not begun:
                    self.actions.append(api.Cancel(event.request, other))
        self._serve_queue()

    def _on_ban_change(self, event: api.ServerBanned | api.BanLifted) -> None:
        """Begin anew with a server that operators give back; once is enough, whatever was called before."""
        if isinstance(event, api.ServerBanned):
            self.banned.add(event.server)
            self._update_ban(event.server)
            return
        self.banned.discard(event.server)
        ramp = self.settings.ramp_time
        self.unbanned_at = {name: at for name, at in self.unbanned_at.items() if self.now < at + ramp}
        self.unbanned_at[event.server] = min(event.returned_at, self.now)
        if (server := self.servers.get(event.server)) is not None and server.is_cache:
            self._place_servers([self._add_server(server.entry, self._forget_server(event.server))])
            self._advance_queued()

    def _on_settings_changed(self, settings: api.Settings) -> None:
        """What is learned of servers stays, unless what they are is now another thing."""
        self.settings = settings
        for server in self.caches.values():
            if server.started_at > 0:
                self.slow_start.server_started(server.started_at, self._cold_duration())
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        if self.admission is not None:
            self.admission.settings_changed(settings)
        for name, server in list(self.servers.items()):
            if server.is_cache is self._is_origin(server.entry):
                self._remove_server(name)
                self._add_server(server.entry)
        self._rebuild_ring()

    def _on_zone_exit(self, order: api.ZoneExit) -> None:
        """Leave zones, or the origin, as the fleet does, and come back to them."""
        before = self.zone_exit
        if not order.zones and not order.origin_unreachable and not order.return_shares:
            self.zone_exit = None
        else:
            self.zone_exit = before or ZoneExitControl(self.random)
        if before is not None and before.current.origin_unreachable and not order.origin_unreachable:
            self._resume_origin()
        if self.zone_exit is not None:
            self.zone_exit.apply(self.now, order)
        self._apply_zone_exit()
        for pending in list(self.requests.values()):
            last = pending.attempts[-1] if pending.attempts else None
            if (
                last is None
                or not last.is_open
                or pending.queued
                or pending.streaming
                or not last.server.zone_left
            ):
                continue
            if self.retry_budget >= 1:  # guards what is out there: none of it will be answered
                self._send_again(pending, last)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self._schedule_list_retry()
            return
        before = self.ring.point_count > 0, list(self.origins.values())
        self._apply_list(event)
        if event.kind is not api.ListKind.SAVED:
            self.list_failures = 0
        else:
            self._subscribe()
        # guards the event loop: what waits does so for an origin, or for any server at all
        if before != (self.ring.point_count > 0, list(self.origins.values())):
            self._advance_queued()

    def _advance_queued(self) -> None:
        """Look anew at all that waits, as servers have come."""
        for pending in self.queue.remove_all():
            if pending.queued:  # not ended meanwhile, with one whose fetch it followed
                pending.queued = False
                self._advance(pending)

    def _on_request(self, request: api.Request) -> None:
        request_class = self.settings.classes.get(request.request_class)
        if request_class is None:
            request_class = api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        aim = request_class.aim - request.read_delay
        until = self.now + min(request.time_left - self.settings.tick, aim)
        origin = self.settings.cache_aside and request.write
        pending = self.requests[request.request] = PendingRequest(
            request, request_class, self.settings, until, origin
        )
        self.request_count += 1
        self.retry_budget = min(tuning.MAX_SAVED_RETRIES, self.retry_budget + tuning.RETRY_SHARE)
        self._advance(pending)

    def _advance(self, pending: PendingRequest) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.ring.point_count and not pending.to_origin
        server = self._choose_server(pending) if to_ring else self._best_origin()
        if self.now >= pending.deadline:
            self._finish(pending, api.Reason.NO_TIME)
        elif pending.attempts and (server is None or not self._class_permits(pending, server)):
            self._finish(pending, api.Reason.NO_SERVER if server is None else api.Reason.NO_REPEAT)
        elif not to_ring:
            self._enqueue(pending)
        elif server is None:
            all_cold = self.slow_start.refused and self.slow_start.max_warmth < 1
            self._finish(pending, api.Reason.COLD if all_cold else api.Reason.NO_SERVER)
        elif self._would_be_late(pending, server):
            self._finish(pending, api.Reason.CROWDED)
        elif not self._may_move(pending):
            self._finish(pending, api.Reason.ZONE_LEFT)
        else:
            self._send(pending, server, api.Reason.RETRY if pending.attempts else api.Reason.FIRST)

    def _send(self, pending: PendingRequest, server: Server, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        name = pending.request.request
        target = tuning.CACHE_TARGET if server.is_cache else tuning.ORIGIN_TARGET
        attempt = Attempt(server, target * pending.request_class.aim, self.now)
        self.attempts[name, len(pending.attempts)] = attempt
        pending.attempts.append(attempt)
        server.in_flight += 1
        server.evidence.record_send(self.now)
        if server.is_cache and self.now < self.slow_start.cold_until and self._warmth(server) < 1:
            self.slow_start.record_send(self.now, server)
        keyed = pending.request_class.effect is api.Effect.KEYED
        within = self._repeat_deadline(pending) if keyed else None
        self.actions.append(api.Send(name, server.entry.server, write_by=within, reason=reason))
        self._set_overdue_timer(pending, attempt)

    def _set_overdue_timer(self, pending: PendingRequest, attempt: Attempt) -> None:
        """A timer for when an attempt without an answer will be more likely lost than late."""
        server = attempt.server
        overdue = self._overdue_after(server) if server.is_cache else self._trial_delay(server)
        if overdue and self.now < pending.deadline:
            age = self.now - attempt.sent_at
            pause = overdue - age if age < overdue else overdue
            self.actions.append(
                api.SetTimer(max(pause, self.settings.tick), f"overdue:{pending.request.request}")
            )

    def _on_overdue(self, pending: PendingRequest) -> None:
        """Takes back the places of what is lost, and sends again what may be, within the budget of retries.

        Guards limits: each place pending by an answer that never comes is one fewer for those that do, until
        the request's time is up.
        """
        last = pending.attempts[-1]
        for attempt in pending.attempts:
            if attempt.is_open and attempt.server.evidence.is_lost(self.now, attempt.sent_at):
                attempt.release_slot()
                if not attempt.server.is_cache:
                    self._release_followers(pending, served=False)
        self._serve_queue()
        if not last.is_open or pending.queued or pending.streaming:
            return
        late = self.now - last.sent_at >= self._overdue_after(last.server) - tuning.TIMER_ROUNDING
        if late and self.observer is not None and not last.reported_overdue and self._is_unanswered(last):
            last.reported_overdue = True
            self.observer.attempt_ended(self.now, last.server.entry.zone, False, api.Reachability.SILENT)
        if late and self.retry_budget >= 1 and self._send_again(pending, last):
            return
        if last.holds_slot and (not late or pending.to_origin):
            self._set_overdue_timer(pending, last)  # what is usual has become longer, or may yet be overtaken

    def _send_again(self, pending: PendingRequest, last: Attempt) -> bool:
        """Ask again. A server that has answered others since has the key; one that has not may be out."""
        server: Server | None = last.server
        if pending.to_origin:
            server = None if last.holds_slot else self._best_origin()
        else:
            listed = self.servers.get(last.server.entry.server) is server and last.server.ready
            alive = listed and not last.holds_slot and self.now >= last.server.excluded_until
            if not alive or last.server.in_flight >= last.server.limit:
                server = self._choose_server(pending)
        room = server is not None and (server.is_cache or server.in_flight < server.limit)
        if server is None or not room or not self._class_permits(pending, server):
            return False
        self.retry_budget -= 1
        self._send(pending, server, api.Reason.HEDGE)
        return True

    def _on_timer(self, event: api.TimerFired) -> None:
        what, _, name = event.timer.partition(":")
        if what == "list":
            self.actions.append(api.Subscribe())
        elif what == "idle":
            self._close_idle(self.servers.get(name))
        elif what == "origin":
            self._serve_queue()
        elif what == "ring":
            self._place_stale()
        pending = self.requests.get(name)
        if pending is not None and what == "overdue":
            self._on_overdue(pending)
        elif pending is not None and pending.queued:
            # half a tick of grace: rounding may wake us a hair before
            if self.now >= self._latest_start(pending, self._best_origin()) - self.settings.tick / 2:
                self._finish(pending, api.Reason.NO_PLACE)
            else:
                self._set_wait_timer(pending)

    def _close_idle(self, server: Server | None) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's."""
        price = self.settings.connection_cost
        if server is None or server.in_flight or not price:
            return
        rate = (
            self.request_count
            / max(self.now - self.started_at, self.shortest_aim)
            * self.settings.router_count
        )
        keep = self.idle_keep_factor * self.settings.handshake_cost / price * 100 * len(self.caches) / rate
        left = server.last_used_at + keep - self.now
        if left < self.settings.tick:
            self.actions.append(api.CloseIdle(server.entry.server))
        elif left < self.settings.connection_idle:
            self.actions.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _finish(self, pending: PendingRequest, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if pending.streaming or pending.open_attempts():
            # guards the deadline: it waits for no place any more, and the end of what is out must end it; the
            # queue is looked through only when something else happens at the origin
            pending.queued = False
            if not any(a.is_open and not a.server.is_cache for a in pending.attempts):
                self._release_followers(pending, served=False)
            return
        name = pending.request.request
        origin = self._best_origin() if pending.to_origin else None
        # by then what stood in its way is over; guards against clients that ask again while it is not
        wait = (
            origin.evidence.usual_latency * (1 + len(self.queue.heap) / origin.limit)
            if origin
            else self.latency_per_load
        )
        if self.zone_exit is not None:
            wait = max(wait, tuning.ZONE_EXIT_RETRY_AFTER)
        if reason is api.Reason.COLD:
            wait = max(wait, self.slow_start.cold_until - self.now)
        come_back = min(self.settings.max_retry_after, wait)
        refused = self._class_permits(pending, None)
        self.actions.append(api.Refuse(name, come_back, reason) if refused else api.Fail(name, reason))
        self._remove(pending)

    def _remove(self, pending: PendingRequest, served: bool = False) -> None:
        pending.queued = False
        del self.requests[pending.request.request]
        self._release_followers(pending, served)
        for number, attempt in enumerate(pending.attempts):
            if attempt.is_open and self.settings.may_cancel:
                self.actions.append(api.Cancel(pending.request.request, number))

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.is_open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.release_slot()
        verdict = self._learn_from(attempt, event.status, event.latency)
        self._notify_observer(attempt, event, verdict)
        late = 0 < self._overdue_after(attempt.server) - tuning.TIMER_ROUNDING <= self.now - attempt.sent_at
        stalled = late and verdict is Verdict.STALLED and self._rarely_sends()
        if stalled or event.status not in UNANSWERED:
            alone = stalled or event.status is api.Status.CONNECT_FAILED and self._rarely_sends()
            failed = stalled or verdict is Verdict.FAILED
            self._record_failure(attempt.server, failed, tuning.EXCLUSION_FAILURES if alone else 1)
        attempt.server.last_used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        self.idle_keep_factor = (
            self.idle_keep_factor / 2
            if lost
            else self.idle_keep_factor
            + tuning.IDLE_KEEP_RECOVERY * (tuning.IDLE_KEEP_FACTOR - self.idle_keep_factor)
        )
        self._close_idle(attempt.server)
        if attempt.server.is_cache and verdict not in (Verdict.INCONCLUSIVE, Verdict.LOST):
            self.success_share += SMOOTHING * (
                (event.status in (api.Status.OK, api.Status.MISS)) - self.success_share
            )
        if (pending := self.requests.get(event.request)) is not None:
            if event.request_ended or event.status is api.Status.OK:
                self._remove(pending, event.status is api.Status.OK and not attempt.server.is_cache)
            elif not pending.queued and (event.status is api.Status.MISS or not pending.open_attempts()):
                self._after_failure(pending, event)
        if not attempt.server.is_cache:
            self._serve_queue()

    def _learn_from(self, attempt: Attempt, status: api.Status, latency: float) -> Verdict:
        """What an end says of a server, or a long answer's beginning; its end tells only if it broke off."""
        server = attempt.server
        if attempt.response_begun:
            ended = Verdict.ANSWERED if status is api.Status.OK else Verdict.INCONCLUSIVE
            return Verdict.FAILED if status in FAILURE_STATUSES else ended
        verdict = server.evidence.judge(self.now, attempt.sent_at, status, latency)
        if server.is_cache and (verdict is Verdict.ANSWERED or verdict is Verdict.CROWDED):
            self.latency_per_load += SMOOTHING * (
                latency / (1 + server.reported_load) - self.latency_per_load
            )
        learn_limit(self.now, attempt, verdict, latency)
        return verdict

    def _notify_observer(self, attempt: Attempt, event: api.Outcome, verdict: Verdict) -> None:
        """Once of each attempt; one that was overdue and is answered after all counts as that, too."""
        proven, server = reachability_of(event.status, verdict), attempt.server
        if (
            self.observer is None
            or proven is None
            or (proven is api.Reachability.SILENT and attempt.reported_overdue)
        ):
            return
        pressed = (
            verdict is Verdict.CROWDED
            or proven is api.Reachability.ANSWERED
            and event.latency > attempt.target_latency
        )
        missed = event.status is api.Status.MISS
        self.observer.attempt_ended(self.now, server.entry.zone, not server.is_cache, proven, pressed, missed)

    def _after_failure(self, pending: PendingRequest, event: api.Outcome) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.cache_aside:
            pending.to_origin = True
            pending.missed_servers.append(pending.attempts[event.attempt].server)
        elif event.status is api.Status.ERROR and not self.settings.cache_aside:
            pending.deadline = (
                self.now
            )  # guards against a failing origin: each server tried fetches the key again
        elif not pending.to_origin and (
            event.status not in tuning.CHEAP_FAILURES or self.success_share < tuning.HEALTHY_SHARE
        ):
            # guards against feeding an overload: full servers made every request into a dozen attempts
            if self.retry_budget < 1:
                pending.deadline = self.now
            self.retry_budget = max(0.0, self.retry_budget - 1)
        self._advance(pending)

    def _enqueue(self, pending: PendingRequest) -> None:
        """Wait for a place at the origin, or any: worth first, or writes wait behind misses.

        Then keys that are asked for often, whose fetch saves the most others; then age.
        """
        pending.queued = True
        self._set_wait_timer(pending)
        if self.queue.join_fetch(pending):
            return
        key = pending.request.key
        self.queue.push(pending, self.popularity.counts.get(key, 0) if key is not None else 0)
        self._serve_queue()

    def _release_followers(self, first: PendingRequest, served: bool) -> None:
        """The fetch that others follow is over, or likely lost.

        Guards the origin against one fetch for each request that misses while the first is out. What it was
        asked for is stored where the first missed; the others ask there, as no answer is made for two.
        """
        followers = self.queue.end_fetch(first)
        if not followers:
            return
        missed = first.missed_servers[: tuning.STORING_SERVERS]
        stored = [s for s in missed if self.servers.get(s.entry.server) is s and s.ready]
        for pending in followers:
            if not pending.queued:
                continue
            pending.queued = False
            there = next((s for s in stored if s.in_flight < s.limit and self.now >= s.excluded_until), None)
            spare = len(pending.attempts) + 2 <= pending.settings.max_attempts  # it may miss there once more
            if served and there is not None and spare and self._class_permits(pending, there):
                self._send(pending, there, api.Reason.STORED)
            else:
                self._advance(pending)

    def _set_wait_timer(self, pending: PendingRequest) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(pending, self._best_origin()) - self.now)
        self.actions.append(api.SetTimer(pause, "wait:" + pending.request.request))

    def _serve_queue(self) -> None:
        line = self.queue
        while line.heap and (origin := self._best_origin()) is not None and self._has_capacity(origin):
            pending = line.pop()
            if pending is None:
                break
            pending.queued = False
            # no fetch that can't be back in time, but for one to learn by
            in_time = self.now < (
                self._latest_start(pending, origin) if origin.in_flight else pending.deadline
            )
            if in_time and self._class_permits(pending, origin):
                self._send(pending, origin, api.Reason.ORIGIN)
            else:
                self._finish(pending, api.Reason.NO_PLACE)
        if not line.sweep_due(self.now, self.settings.tick):
            return
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._best_origin()
        late = [q[-1] for q in line.heap if q[-1].queued and self.now >= self._latest_start(q[-1], origin)]
        for pending in late:
            if pending.queued:  # not ended meanwhile, with one whose fetch it followed
                self._finish(pending, api.Reason.NO_PLACE)
        line.compact()
