"""The decisions of a router as a state machine without I/O: events in, actions out.

The types of events and actions are in `myrtlecourse/interface.py`.
"""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import SMOOTHING, UNANSWERED, Verdict
from myrtlecourse.policy import tuning
from myrtlecourse.policy.outcomes import OutcomeLearning
from myrtlecourse.policy.request_queue import RequestQueue
from myrtlecourse.policy.state import Attempt, PendingRequest, Server
from myrtlecourse.policy.zone_exit import ZoneExitControl


class Router(OutcomeLearning):
    """The decisions of one router."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: float,
        admission: api.AdmissionControl | None = None,
        observer: api.ReachabilityObserver | None = None,
    ) -> None:
        super().__init__(settings, seed, now, observer)
        self.admission = admission
        self.accepting = True  # whether it accepts new requests
        self.requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue = RequestQueue()  # requests that wait for the origin, or for any server
        self.retry_budget = tuning.MAX_SAVED_RETRIES
        self.keep_factor = tuning.KEEP_FACTOR

    def admission_retry_delay(
        self,
        now: float,
        request_class: str,
        tenant: str,
        is_retry: bool,
        keyed: bool,
        time_left: float,
        read_delay: float,
    ) -> float | None:
        """Return None to accept a command not sent yet, else the seconds until its client may retry."""
        if not self.accepting:
            return 0.0
        if self.admission is None:
            return None
        pause = self.admission.retry_delay(now, request_class, tenant, is_retry, keyed, read_delay)
        # a request whose deadline has passed is refused, as work on it would be wasted
        return pause if pause is not None or time_left > self.settings.tick else 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process an event and return the actions to carry out, in order."""
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
            self.list_failures = 0  # the failures are those of the former discovery service
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
        elif isinstance(event, (api.Streaming, api.AnswerStalled)):
            self._on_answer_begun(event)
        return self.actions

    def _on_answer_begun(self, event: api.Streaming | api.AnswerStalled) -> None:
        if isinstance(event, api.Streaming):
            self._on_streaming(event)
        else:
            self._on_answer_stalled(event)

    def _on_streaming(self, event: api.Streaming) -> None:
        """Release the slot as an answer starts, as slow clients would hold it long; cancel other attempts."""
        answered = self.attempts.get((event.request, event.attempt))
        if answered is None:
            return
        answered.release_slot()
        self._learn_from(answered, api.Status.OK, max(0.0, self.now - answered.sent_at - event.read_delay))
        answered.response_begun = True
        if (pending := self.requests.get(event.request)) is not None:
            pending.streaming, pending.queued = True, False
            for other, attempt in enumerate(pending.attempts):
                if self.settings.may_cancel and attempt.open and attempt is not answered:
                    self.actions.append(api.Cancel(event.request, other))
        self._serve_queue()

    def _on_answer_stalled(self, event: api.AnswerStalled) -> None:
        """Send another attempt beside or after a first one whose answer stalls, while the budget lasts."""
        pending = self.requests.get(event.request)
        if pending is None or pending.queued or pending.streaming or len(pending.attempts) > 1:
            return
        first = pending.attempts[0]
        if not first.open or self.now >= pending.deadline or self.retry_budget < 1:
            return
        if self._send_again(pending, first) or not event.replaceable or not self.settings.may_cancel:
            return
        # without it the repeat would not be permitted; its outcome starts one
        if pending.request_class.effect is api.Effect.SAFE:
            self.actions.append(api.Cancel(event.request, event.attempt))

    def _on_ban_change(self, event: api.ServerBanned | api.BanLifted) -> None:
        """Apply a ban or lift it; lifting ends all bans of a server and voids what was learned of it."""
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
        """Apply new settings; what was learned of servers stays, unless their role has changed."""
        self.settings = settings
        for server in self.caches.values():
            if server.started_at > 0:
                self.slow_start.server_started(server.started_at, self._cold_duration())
        self.min_aim = min(c.aim for c in settings.classes.values())
        if self.admission is not None:
            self.admission.settings_changed(settings)
        for name, server in list(self.servers.items()):
            if server.is_cache is self._is_origin(server.entry):
                self._remove_server(name)
                self._add_server(server.entry)
        self._rebuild_ring()

    def _on_zone_exit(self, exit_: api.ZoneExit) -> None:
        """Apply the fleet's decision to exclude zones or the origin, or to return to them."""
        before = self.zone_exit
        if not exit_.zones and not exit_.origin_unreachable and not exit_.return_shares:
            self.zone_exit = None
        else:
            self.zone_exit = before or ZoneExitControl(self.random)
        if before is not None and before.current.origin_unreachable and not exit_.origin_unreachable:
            self._resume_origin()
        if self.zone_exit is not None:
            self.zone_exit.apply(self.now, exit_)
        self._apply_zone_exit()
        for pending in list(self.requests.values()):
            last = pending.attempts[-1] if pending.attempts else None
            if (
                last is None
                or not last.open
                or pending.queued
                or pending.streaming
                or not last.server.zone_excluded
            ):
                continue
            if self.retry_budget >= 1:  # attempts in flight at an excluded zone will not be answered
                self._send_again(pending, last)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self._schedule_list_retry()
            return
        available_before = self.ring.point_count > 0, list(self.origins.values())
        self._apply_list(event)
        if event.kind is not api.ListKind.SAVED:
            self.list_failures = 0
        else:
            self._subscribe()
        # queued requests wait for an origin or for any server; processing them on each list costs too much
        if available_before != (self.ring.point_count > 0, list(self.origins.values())):
            self._advance_queued()

    def _advance_queued(self) -> None:
        """Process all queued requests again, as servers have been added."""
        for pending in self.queue.remove_all():
            if pending.queued:  # it may have ended together with a request whose fetch it followed
                pending.queued = False
                self._advance(pending)

    def _on_request(self, request: api.Request) -> None:
        request_class = self.settings.classes.get(request.request_class)
        if request_class is None:
            request_class = api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        aim = request_class.aim - request.read_delay
        deadline = self.now + min(request.time_left - self.settings.tick, aim)
        origin = self.settings.cache_aside and request.write
        pending = self.requests[request.request] = PendingRequest(
            request, request_class, self.settings, deadline, origin
        )
        self.request_count += 1
        self.retry_budget = min(tuning.MAX_SAVED_RETRIES, self.retry_budget + tuning.RETRY_SHARE)
        self._advance(pending)

    def _advance(self, pending: PendingRequest) -> None:
        """Send the next attempt of a request, queue it, or end it."""
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
        write_by = self._repeat_deadline(pending) if keyed else None
        self.actions.append(api.Send(name, server.entry.server, write_by=write_by, reason=reason))
        self._set_overdue_timer(pending, attempt)

    def _set_overdue_timer(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Set a timer for when an unanswered attempt will be more likely lost than late."""
        server = attempt.server
        overdue = self._overdue_after(server) if server.is_cache else self._probe_delay(server)
        if overdue and self.now < pending.deadline:
            age = self.now - attempt.sent_at
            pause = overdue - age if age < overdue else overdue
            self.actions.append(
                api.SetTimer(max(pause, self.settings.tick), f"overdue:{pending.request.request}")
            )

    def _on_overdue(self, pending: PendingRequest) -> None:
        """Release the slots of lost attempts, which they would hold until the deadline, and send another."""
        last = pending.attempts[-1]
        for attempt in pending.attempts:
            if attempt.open and attempt.server.evidence.is_lost(self.now, attempt.sent_at):
                attempt.release_slot()
                if not attempt.server.is_cache:
                    self._release_followers(pending, served=False)
        self._serve_queue()
        if not last.open or pending.queued or pending.streaming:
            return
        late = self.now - last.sent_at >= self._overdue_after(last.server) - tuning.TIMER_ROUNDING
        if late and self.observer is not None and not last.overdue and self._is_unanswered(last):
            last.overdue = True
            self.observer.attempt_ended(self.now, last.server.entry.zone, False, api.Reachability.SILENT)
        if late and self.retry_budget >= 1 and self._send_again(pending, last):
            return
        if last.holds_slot and (not late or pending.to_origin):
            self._set_overdue_timer(pending, last)  # latencies have grown, or a later one may overtake it

    def _send_again(self, pending: PendingRequest, last: Attempt) -> bool:
        """Send another attempt: to the same server, which has the key, if it has answered others since."""
        server: Server | None = last.server
        if pending.to_origin:
            server = None if last.holds_slot else self._best_origin()
        else:
            listed = self.servers.get(last.server.entry.server) is server and last.server.ready
            alive = listed and not last.holds_slot and self.now >= last.server.excluded_until
            if not alive or last.server.in_flight >= last.server.limit:
                server = self._choose_server(pending)
        has_capacity = server is not None and (server.is_cache or server.in_flight < server.limit)
        if server is None or not has_capacity or not self._class_permits(pending, server):
            return False
        self.retry_budget -= 1
        self._send(pending, server, api.Reason.HEDGE)
        return True

    def _on_timer(self, event: api.TimerFired) -> None:
        purpose, _, name = event.timer.partition(":")
        if purpose == "list":
            self.actions.append(api.Subscribe())
        elif purpose == "idle":
            self._close_idle(self.servers.get(name))
        elif purpose == "origin":
            self._serve_queue()
        elif purpose == "ring":
            self._place_stale()
        pending = self.requests.get(name)
        if pending is not None and purpose == "overdue":
            self._on_overdue(pending)
        elif pending is not None and pending.queued:
            # half a tick of tolerance, as timers may fire early by a rounding error
            if self.now >= self._latest_start(pending, self._best_origin()) - self.settings.tick / 2:
                self._finish(pending, api.Reason.NO_PLACE)
            else:
                self._set_wait_timer(pending)

    def _close_idle(self, server: Server | None) -> None:
        """Close connections once staying idle costs more than a new one: connection tables are limited."""
        cost = self.settings.connection_cost
        if server is None or server.in_flight or not cost:
            return
        rate = self.request_count / max(self.now - self.started_at, self.min_aim) * self.settings.router_count
        keep = self.keep_factor * self.settings.handshake_cost / cost * 100 * len(self.caches) / rate
        pause = server.last_used_at + keep - self.now
        if pause < self.settings.tick:
            self.actions.append(api.CloseIdle(server.entry.server))
        elif pause < self.settings.connection_idle:
            self.actions.append(api.SetTimer(pause, "idle:" + server.entry.server))

    def _finish(self, pending: PendingRequest, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """Send the final answer: a refusal where the class permits one, else a failure."""
        if pending.streaming or pending.open_attempts():
            # the end of its open attempts ends it; queued any longer, it might be sent to the origin too late
            pending.queued = False
            if not any(a.open and not a.server.is_cache for a in pending.attempts):
                self._release_followers(pending, served=False)
            return
        name = pending.request.request
        origin = self._best_origin() if pending.to_origin else None
        # the time until the reason for the refusal has likely passed: earlier retries would fail, too
        wait = (
            origin.evidence.usual_latency * (1 + len(self.queue.heap) / origin.limit)
            if origin
            else self.unit_latency
        )
        if self.zone_exit is not None:
            wait = max(wait, tuning.ZONE_EXIT_RETRY_AFTER)
        if reason is api.Reason.COLD:
            wait = max(wait, self.slow_start.cold_until - self.now)
        retry_after = min(self.settings.max_retry_after, wait)
        refused = self._class_permits(pending, None)
        self.actions.append(api.Refuse(name, retry_after, reason) if refused else api.Fail(name, reason))
        self._remove(pending)

    def _remove(self, pending: PendingRequest, served: bool = False) -> None:
        pending.queued = False
        del self.requests[pending.request.request]
        self._release_followers(pending, served)
        for number, attempt in enumerate(pending.attempts):
            if attempt.open and self.settings.may_cancel:
                self.actions.append(api.Cancel(pending.request.request, number))

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.release_slot()
        verdict = self._learn_from(attempt, event.status, event.latency)
        self._notify_observer(attempt, event, verdict)
        late = 0 < self._overdue_after(attempt.server) - tuning.TIMER_ROUNDING <= self.now - attempt.sent_at
        stalled = late and verdict is Verdict.STALLED and self._rarely_sends()
        if stalled or event.status not in UNANSWERED:
            at_once = stalled or event.status is api.Status.CONNECT_FAILED and self._rarely_sends()
            failed = stalled or verdict is Verdict.FAILED
            self._record_outcome(attempt.server, failed, tuning.EXCLUSION_FAILURES if at_once else 1)
        attempt.server.last_used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        self.keep_factor = (
            self.keep_factor / 2
            if lost
            else self.keep_factor + tuning.KEEP_RECOVERY * (tuning.KEEP_FACTOR - self.keep_factor)
        )
        self._close_idle(attempt.server)
        if attempt.server.is_cache and verdict not in (Verdict.INCONCLUSIVE, Verdict.LOST):
            self.success_rate += SMOOTHING * (
                (event.status in (api.Status.OK, api.Status.MISS)) - self.success_rate
            )
        if (pending := self.requests.get(event.request)) is not None:
            if event.request_ended or event.status is api.Status.OK:
                self._remove(pending, event.status is api.Status.OK and not attempt.server.is_cache)
            elif not pending.queued and (event.status is api.Status.MISS or not pending.open_attempts()):
                self._after_failure(pending, event)
        if not attempt.server.is_cache:
            self._serve_queue()

    def _after_failure(self, pending: PendingRequest, event: api.Outcome) -> None:
        """Fetch from the origin after a miss; otherwise retry while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.cache_aside:
            pending.to_origin = True
            pending.missed_servers.append(pending.attempts[event.attempt].server)
        elif event.status is api.Status.ERROR and not self.settings.cache_aside:
            # every server tried would fetch the key from a failing origin again
            pending.deadline = self.now
        elif not pending.to_origin and (
            event.status not in tuning.CHEAP_FAILURES or self.success_rate < tuning.HEALTHY_SHARE
        ):
            # retries must not feed an overload, in which every request would turn into a dozen attempts
            if self.retry_budget < 1:
                pending.deadline = self.now
            self.retry_budget = max(0.0, self.retry_budget - 1)
        self._advance(pending)

    def _enqueue(self, pending: PendingRequest) -> None:
        """Queue a request until the origin has capacity, or until any server is listed."""
        pending.queued = True
        self._set_wait_timer(pending)
        if self.queue.join_fetch(pending):
            return
        key = pending.request.key
        self.queue.push(pending, self.popularity.counts.get(key, 0) if key is not None else 0)
        self._serve_queue()

    def _release_followers(self, first: PendingRequest, served: bool) -> None:
        """Continue the requests that waited for a fetch of their key, which is over or likely lost.

        Waiting protects the origin from one fetch per miss. A fetch stores the key at the servers that missed
        it first, where the followers read it: each answer serves only one request.
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
            target = next((s for s in stored if s.in_flight < s.limit and self.now >= s.excluded_until), None)
            # one more for the origin, if it misses again
            has_attempts = len(pending.attempts) + 2 <= pending.settings.max_attempts
            if served and target is not None and has_attempts and self._class_permits(pending, target):
                self._send(pending, target, api.Reason.STORED)
            else:
                self._advance(pending)

    def _set_wait_timer(self, pending: PendingRequest) -> None:
        """Set a timer that ends a queued request in time, whatever else happens."""
        pause = max(0.0, self._latest_start(pending, self._best_origin()) - self.now)
        self.actions.append(api.SetTimer(pause, "wait:" + pending.request.request))

    def _serve_queue(self) -> None:
        queue = self.queue
        while queue.heap and (origin := self._best_origin()) is not None and self._has_capacity(origin):
            pending = queue.pop()
            if pending is None:
                break
            pending.queued = False
            # no fetch that would be late, except one at a time to learn the latency
            in_time = self.now < (
                self._latest_start(pending, origin) if origin.in_flight else pending.deadline
            )
            if in_time and self._class_permits(pending, origin):
                self._send(pending, origin, api.Reason.ORIGIN)
            else:
                self._finish(pending, api.Reason.NO_PLACE)
        if not queue.sweep_due(self.now, self.settings.tick):
            return
        # late requests are refused early, so that their clients still have time for a retry
        origin = self._best_origin()
        late = [q[-1] for q in queue.heap if q[-1].queued and self.now >= self._latest_start(q[-1], origin)]
        for pending in late:
            if pending.queued:  # it may have ended together with a request whose fetch it followed
                self._finish(pending, api.Reason.NO_PLACE)
        queue.compact()
