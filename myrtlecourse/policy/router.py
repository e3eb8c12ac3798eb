"""Every decision of a myrtlecourse router, as a state machine without I/O.

The types, events and actions it speaks in are in `myrtlecourse/interface.py`.
"""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import FAILURES, SMOOTHING, UNHEARD, Verdict, reach
from myrtlecourse.policy import tuning
from myrtlecourse.policy.learning import learn_limit
from myrtlecourse.policy.leaving import Leaving
from myrtlecourse.policy.line import Line
from myrtlecourse.policy.state import Attempt, Held, Server
from myrtlecourse.policy.walk import Walk


class Router(Walk):
    """The decisions of one router."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: float,
        door: api.AdmissionControl | None = None,
        watch: api.ReachabilityObserver | None = None,
    ) -> None:
        super().__init__(settings, seed, now)
        self.door = door
        self.watch = watch
        self.wanted = True  # new requests
        self.held: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.line = Line()  # for the origin, or any server
        self.retries = tuning.RETRIES_SAVED
        self.keep = tuning.KEEP

    def turn_away(
        self,
        now: float,
        request_class: str,
        tenant: str,
        again: bool,
        keyed: bool,
        time_left: float,
        waited: float,
    ) -> float | None:
        """Whether to refuse a command unread: None, or when its client may come back.

        Nothing of it has been sent, so that a refusal is harmless whatever its class.
        """
        if not self.wanted:
            return 0.0
        if self.door is None:
            return None
        pause = self.door.retry_delay(now, request_class, tenant, again, keyed, waited)
        # guards the core: nobody waits any more for what would be done now
        return pause if pause is not None or time_left > self.settings.tick else 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = now, []
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
            self._on_operator(event)
        elif isinstance(event, api.Serving):
            self.wanted = event.accepting
        elif isinstance(event, api.SettingsChanged):
            self._on_retuned(event.settings)
        elif isinstance(event, api.ZoneExit):
            self._on_zones(event)
        elif isinstance(event, api.ZonePreferences):
            self.weights = event.weights
            self._build_ring()
        elif isinstance(event, api.ClientGone) and event.request in self.held:
            self._forget(self.held[event.request])
        elif isinstance(event, api.Streaming):
            self._on_stream(event)
        return self.out

    def _on_stream(self, event: api.Streaming) -> None:
        """What has begun to flow is the answer: nothing else of the request is wanted any more.

        Guards a server that has done its part, and all that go there, against clients that take it slowly."""
        begun = self.attempts.get((event.request, event.attempt))
        if begun is None:
            return
        begun.free()
        self._learn(begun, api.Status.OK, max(0.0, self.now - begun.sent_at - event.read_delay))
        begun.begun = True
        if (held := self.held.get(event.request)) is not None:
            held.streaming, held.waiting = True, False
            for other, attempt in enumerate(held.attempts):
                if self.settings.may_cancel and attempt.open and attempt is not begun:
                    self.out.append(api.Cancel(event.request, other))
        self._serve_queue()

    def _on_operator(self, event: api.ServerBanned | api.BanLifted) -> None:
        """Begin anew with a server that operators give back; once is enough, whatever was called before."""
        if isinstance(event, api.ServerBanned):
            self.banned.add(event.server)
            self._mark(event.server)
            return
        self.banned.discard(event.server)
        ramp = self.settings.ramp_time
        self.returned = {name: at for name, at in self.returned.items() if self.now < at + ramp}
        self.returned[event.server] = min(event.returned_at, self.now)
        if (server := self.servers.get(event.server)) is not None and server.cache:
            self._place([self._admit(server.entry, self._forget_server(event.server))])
            self._serve_waiting()

    def _on_retuned(self, settings: api.Settings) -> None:
        """What is learned of servers stays, unless what they are is now another thing."""
        self.settings = settings
        for server in self.caches.values():
            if server.started > 0:
                self.slow_start.began(server.started, self._cold_time())
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        if self.door is not None:
            self.door.settings_changed(settings)
        for name, server in list(self.servers.items()):
            if server.cache is self._is_origin(server.entry):
                self._drop(name)
                self._admit(server.entry)
        self._build_ring()

    def _on_zones(self, order: api.ZoneExit) -> None:
        """Leave zones, or the origin, as the fleet does, and come back to them."""
        before = self.leaving
        if not order.zones and not order.origin_unreachable and not order.return_shares:
            self.leaving = None
        else:
            self.leaving = before or Leaving(self.random)
        if before is not None and before.order.origin_unreachable and not order.origin_unreachable:
            self._ask_origin_again()
        if self.leaving is not None:
            self.leaving.change(self.now, order)
        self._mark_left()
        for held in list(self.held.values()):
            last = held.attempts[-1] if held.attempts else None
            if last is None or not last.open or held.waiting or held.streaming or not last.server.left:
                continue
            if self.retries >= 1:  # guards what is out there: none of it will be answered
                self._copy(held, last)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self._ask_list_later()
            return
        before = self.ring.size > 0, list(self.origins.values())
        self._take_list(event)
        if event.kind is not api.ListKind.SAVED:
            self.list_failures = 0
        else:
            self._subscribe()
        # guards the event loop: what waits does so for an origin, or for any server at all
        if before != (self.ring.size > 0, list(self.origins.values())):
            self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Look anew at all that waits, as servers have come."""
        for held in self.line.take_all():
            if held.waiting:  # not ended meanwhile, with one whose fetch it followed
                held.waiting = False
                self._advance(held)

    def _on_request(self, request: api.Request) -> None:
        request_class = self.settings.classes.get(request.request_class)
        if request_class is None:
            request_class = api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        aim = request_class.aim - request.read_delay
        until = self.now + min(request.time_left - self.settings.tick, aim)
        origin = self.settings.cache_aside and request.write
        held = self.held[request.request] = Held(request, request_class, self.settings, until, origin)
        self.taken += 1
        self.retries = min(tuning.RETRIES_SAVED, self.retries + tuning.RETRY_SHARE)
        self._advance(held)

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.ring.size and not held.to_origin
        server = self._choose(held) if to_ring else self._origin()
        if self.now >= held.until:
            self._end(held, api.Reason.NO_TIME)
        elif held.attempts and (server is None or not self._permits(held, server)):
            self._end(held, api.Reason.NO_SERVER if server is None else api.Reason.NO_REPEAT)
        elif not to_ring:
            self._enqueue(held)
        elif server is None:
            all_cold = self.slow_start.turned_away and self.slow_start.warmest < 1
            self._end(held, api.Reason.COLD if all_cold else api.Reason.NO_SERVER)
        elif self._too_late(held, server):
            self._end(held, api.Reason.CROWDED)
        elif not self._may_move(held):
            self._end(held, api.Reason.ZONE_LEFT)
        else:
            self._send(held, server, api.Reason.RETRY if held.attempts else api.Reason.FIRST)

    def _send(self, held: Held, server: Server, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        name = held.request.request
        target = tuning.CACHE_TARGET if server.cache else tuning.ORIGIN_TARGET
        attempt = Attempt(server, target * held.request_class.aim, self.now)
        self.attempts[name, len(held.attempts)] = attempt
        held.attempts.append(attempt)
        server.load += 1
        server.evidence.sent(self.now)
        if server.cache and self.now < self.slow_start.cold_until and self._warmth(server) < 1:
            self.slow_start.sent(self.now, server)
        keyed = held.request_class.effect is api.Effect.KEYED
        within = self._repeat_until(held) if keyed else None
        self.out.append(api.Send(name, server.entry.server, write_by=within, reason=reason))
        self._look_again(held, attempt)

    def _look_again(self, held: Held, attempt: Attempt) -> None:
        """A timer for when an attempt without an answer will be more likely lost than late."""
        server = attempt.server
        overdue = self._overdue_after(server) if server.cache else self._pause_before_trial(server)
        if overdue and self.now < held.until:
            age = self.now - attempt.sent_at
            pause = overdue - age if age < overdue else overdue
            self.out.append(api.SetTimer(max(pause, self.settings.tick), f"overdue:{held.request.request}"))

    def _overdue(self, held: Held) -> None:
        """Takes back the places of what is lost, and sends again what may be, within the budget of retries.

        Guards limits: each place held by an answer that never comes is one fewer for those that do, until
        the request's time is up.
        """
        last = held.attempts[-1]
        for attempt in held.attempts:
            if attempt.open and attempt.server.evidence.lost(self.now, attempt.sent_at):
                attempt.free()
                if not attempt.server.cache:
                    self._release(held, served=False)
        self._serve_queue()
        if not last.open or held.waiting or held.streaming:
            return
        late = self.now - last.sent_at >= self._overdue_after(last.server) - tuning.ROUNDING
        if late and self.watch is not None and not last.overdue and self._quiet(last):
            last.overdue = True
            self.watch.attempt_ended(self.now, last.server.entry.zone, False, api.Reachability.SILENT)
        if late and self.retries >= 1 and self._copy(held, last):
            return
        if last.placed and (not late or held.to_origin):
            self._look_again(held, last)  # what is usual has become longer, or may yet be overtaken

    def _copy(self, held: Held, last: Attempt) -> bool:
        """Ask again. A server that has answered others since has the key; one that has not may be out."""
        server: Server | None = last.server
        if held.to_origin:
            server = None if last.placed else self._origin()
        else:
            listed = self.servers.get(last.server.entry.server) is server and last.server.ready
            alive = listed and not last.placed and self.now >= last.server.out_until
            if not alive or last.server.load >= last.server.limit:
                server = self._choose(held)
        room = server is not None and (server.cache or server.load < server.limit)
        if server is None or not room or not self._permits(held, server):
            return False
        self.retries -= 1
        self._send(held, server, api.Reason.HEDGE)
        return True

    def _on_timer(self, event: api.TimerFired) -> None:
        what, _, name = event.timer.partition(":")
        if what == "list":
            self.out.append(api.Subscribe())
        elif what == "idle":
            self._close_idle(self.servers.get(name))
        elif what == "origin":
            self._serve_queue()
        elif what == "ring":
            self._place_others()
        held = self.held.get(name)
        if held is not None and what == "overdue":
            self._overdue(held)
        elif held is not None and held.waiting:
            # half a tick of grace: rounding may wake us a hair before
            if self.now >= self._latest_start(held, self._origin()) - self.settings.tick / 2:
                self._end(held, api.Reason.NO_PLACE)
            else:
                self._wake_in_time(held)

    def _close_idle(self, server: Server | None) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's."""
        price = self.settings.connection_cost
        if server is None or server.load or not price:
            return
        rate = self.taken / max(self.now - self.born, self.shortest_aim) * self.settings.router_count
        keep = self.keep * self.settings.handshake_cost / price * 100 * len(self.caches) / rate
        left = server.used_at + keep - self.now
        if left < self.settings.tick:
            self.out.append(api.CloseIdle(server.entry.server))
        elif left < self.settings.connection_idle:
            self.out.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _end(self, held: Held, reason: api.Reason = api.Reason.UNKNOWN) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if held.streaming or held.open_attempts():
            # guards the deadline: it waits for no place any more, and the end of what is out must end it; the
            # queue is looked through only when something else happens at the origin
            held.waiting = False
            if not any(a.open and not a.server.cache for a in held.attempts):
                self._release(held, served=False)
            return
        name = held.request.request
        origin = self._origin() if held.to_origin else None
        # by then what stood in its way is over; guards against clients that ask again while it is not
        wait = origin.evidence.usual * (1 + len(self.line.queue) / origin.limit) if origin else self.wait
        if self.leaving is not None:
            wait = max(wait, tuning.LEFT_PAUSE)
        if reason is api.Reason.COLD:
            wait = max(wait, self.slow_start.cold_until - self.now)
        come_back = min(self.settings.max_retry_after, wait)
        refused = self._permits(held, None)
        self.out.append(api.Refuse(name, come_back, reason) if refused else api.Fail(name, reason))
        self._forget(held)

    def _forget(self, held: Held, served: bool = False) -> None:
        held.waiting = False
        del self.held[held.request.request]
        self._release(held, served)
        for number, attempt in enumerate(held.attempts):
            if attempt.open and self.settings.may_cancel:
                self.out.append(api.Cancel(held.request.request, number))

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.free()
        verdict = self._learn(attempt, event.status, event.latency)
        self._tell_watch(attempt, event, verdict)
        late = 0 < self._overdue_after(attempt.server) - tuning.ROUNDING <= self.now - attempt.sent_at
        stalled = late and verdict is Verdict.STALLED and self._met_seldom()
        if stalled or event.status not in UNHEARD:
            alone = stalled or event.status is api.Status.CONNECT_FAILED and self._met_seldom()
            failed = stalled or verdict is Verdict.FAILED
            self._note_failure(attempt.server, failed, tuning.FAILURES if alone else 1)
        attempt.server.used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        self.keep = self.keep / 2 if lost else self.keep + tuning.KEEP_GAIN * (tuning.KEEP - self.keep)
        self._close_idle(attempt.server)
        if attempt.server.cache and verdict not in (Verdict.NOTHING, Verdict.LOST):
            self.good += SMOOTHING * ((event.status in (api.Status.OK, api.Status.MISS)) - self.good)
        if (held := self.held.get(event.request)) is not None:
            if event.request_ended or event.status is api.Status.OK:
                self._forget(held, event.status is api.Status.OK and not attempt.server.cache)
            elif not held.waiting and (event.status is api.Status.MISS or not held.open_attempts()):
                self._after_failure(held, event)
        if not attempt.server.cache:
            self._serve_queue()

    def _learn(self, attempt: Attempt, status: api.Status, latency: float) -> Verdict:
        """What an end says of a server, or a long answer's beginning; its end tells only if it broke off."""
        server = attempt.server
        if attempt.begun:
            ended = Verdict.ANSWERED if status is api.Status.OK else Verdict.NOTHING
            return Verdict.FAILED if status in FAILURES else ended
        verdict = server.evidence.judge(self.now, attempt.sent_at, status, latency)
        if server.cache and (verdict is Verdict.ANSWERED or verdict is Verdict.CROWDED):
            self.wait += SMOOTHING * (latency / (1 + server.reported) - self.wait)
        learn_limit(self.now, attempt, verdict, latency)
        return verdict

    def _tell_watch(self, attempt: Attempt, event: api.Outcome, verdict: Verdict) -> None:
        """Once of each attempt; one that was overdue and is answered after all counts as that, too."""
        proven, server = reach(event.status, verdict), attempt.server
        if self.watch is None or proven is None or (proven is api.Reachability.SILENT and attempt.overdue):
            return
        pressed = (
            verdict is Verdict.CROWDED
            or proven is api.Reachability.ANSWERED
            and event.latency > attempt.target
        )
        missed = event.status is api.Status.MISS
        self.watch.attempt_ended(self.now, server.entry.zone, not server.cache, proven, pressed, missed)

    def _after_failure(self, held: Held, event: api.Outcome) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.cache_aside:
            held.to_origin = True
            held.missed.append(held.attempts[event.attempt].server)
        elif event.status is api.Status.ERROR and not self.settings.cache_aside:
            held.until = self.now  # guards against a failing origin: each server tried fetches the key again
        elif not held.to_origin and (event.status not in tuning.CHEAP or self.good < tuning.ROOM):
            # guards against feeding an overload: full servers made every request into a dozen attempts
            if self.retries < 1:
                held.until = self.now
            self.retries = max(0.0, self.retries - 1)
        self._advance(held)

    def _enqueue(self, held: Held) -> None:
        """Wait for a place at the origin, or any: worth first, or writes wait behind misses.

        Then keys that are asked for often, whose fetch saves the most others; then age.
        """
        held.waiting = True
        self._wake_in_time(held)
        if self.line.follows(held):
            return
        key = held.request.key
        self.line.push(held, self.popularity.seen.get(key, 0) if key is not None else 0)
        self._serve_queue()

    def _release(self, first: Held, served: bool) -> None:
        """The fetch that others follow is over, or likely lost.

        Guards the origin against one fetch for each request that misses while the first is out. What it was
        asked for is stored where the first missed; the others ask there, as no answer is made for two.
        """
        followers = self.line.release(first)
        if not followers:
            return
        missed = first.missed[: tuning.STORED]
        stored = [s for s in missed if self.servers.get(s.entry.server) is s and s.ready]
        for held in followers:
            if not held.waiting:
                continue
            held.waiting = False
            there = next((s for s in stored if s.load < s.limit and self.now >= s.out_until), None)
            spare = len(held.attempts) + 2 <= held.settings.max_attempts  # it may miss there once more
            if served and there is not None and spare and self._permits(held, there):
                self._send(held, there, api.Reason.STORED)
            else:
                self._advance(held)

    def _wake_in_time(self, held: Held) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(held, self._origin()) - self.now)
        self.out.append(api.SetTimer(pause, "wait:" + held.request.request))

    def _serve_queue(self) -> None:
        line = self.line
        while line.queue and (origin := self._origin()) is not None and self._has_place(origin):
            held = line.pop()
            if held is None:
                break
            held.waiting = False
            # no fetch that can't be back in time, but for one to learn by
            in_time = self.now < (self._latest_start(held, origin) if origin.load else held.until)
            if in_time and self._permits(held, origin):
                self._send(held, origin, api.Reason.ORIGIN)
            else:
                self._end(held, api.Reason.NO_PLACE)
        if not line.sweep_due(self.now, self.settings.tick):
            return
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._origin()
        late = [q[-1] for q in line.queue if q[-1].waiting and self.now >= self._latest_start(q[-1], origin)]
        for held in late:
            if held.waiting:  # not ended meanwhile, with one whose fetch it followed
                self._end(held, api.Reason.NO_PLACE)
        line.compact()
