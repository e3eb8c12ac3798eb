"""Every decision of a myrtlecourse router, as a state machine without I/O.

The types, events and actions it speaks in are in `myrtlecourse/interface.py`.

Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise; the walk
goes on past servers whose load has reached (1 + epsilon) times the average.
"""

from __future__ import annotations

import math
import random

from myrtlecourse import interface as api
from myrtlecourse.evidence import OVERDUE, SMOOTHING, UNHEARD, Verdict, reach
from myrtlecourse.policy import tuning
from myrtlecourse.policy.learning import learn_limit, note_failure
from myrtlecourse.policy.leaving import Leaving
from myrtlecourse.policy.line import Line
from myrtlecourse.policy.popularity import Popularity
from myrtlecourse.policy.ring import Ring
from myrtlecourse.policy.state import Attempt, Held, Server


class Router:
    """The decisions of one router."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: float,
        door: api.Door | None = None,
        watch: api.Watch | None = None,
    ) -> None:
        self.settings = settings
        self.door = door
        self.watch = watch
        self.leaving: Leaving | None = None  # zones that the fleet has left
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        self.random = random.Random(seed)
        self.now = now
        self.out: list[api.Action] = []
        self.wanted = True  # new requests
        self.servers: dict[str, Server] = {}
        self.banned: set[str] = set()  # by operators, listed or not
        self.returned: dict[str, float] = {}  # when they gave one back, while it may still be cold
        self.ring = Ring()
        self.popularity = Popularity(now)
        self.held: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.line = Line()  # for the origin, or any server
        self.list_failures = 0
        self.retries = tuning.RETRIES_SAVED
        self.born = now
        self.taken = 0  # requests, since birth
        self.keep = tuning.KEEP
        self._build_ring()
        self.wait = 0.0  # smoothed latency for each request held a unit of size, the one in hand included
        self.good = 1.0  # smoothed share of attempts at caches that were answered well

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
        pause = self.door.pause(now, request_class, tenant, again, keyed, waited)
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
        elif isinstance(event, api.ListMoved):
            self.list_failures = 0  # guards against waiting out the pause that another discovery earned
            self._subscribe()
        elif isinstance(event, api.Offline):
            self.banned.add(event.server)
            self._mark(event.server)
        elif isinstance(event, api.Online):
            self._on_online(event)
        elif isinstance(event, api.Serving):
            self.wanted = event.wanted
        elif isinstance(event, api.Retuned):
            self._on_retuned(event.settings)
        elif isinstance(event, api.ZonesLeft):
            self._on_zones(event)
        elif isinstance(event, api.ClientGone) and event.request in self.held:
            self._forget(self.held[event.request])
        elif isinstance(event, api.Streaming) and event.request in self.held:
            self._on_stream(self.held[event.request], event.attempt)
        return self.out

    def _on_stream(self, held: Held, number: int) -> None:
        """What has begun to flow is the answer: nothing else of the request is wanted any more."""
        held.streaming = True
        held.waiting = False
        if self.settings.may_cancel:
            for other, attempt in enumerate(held.attempts):
                if attempt.open and other != number:
                    self.out.append(api.Cancel(held.request.request, other))

    def _mark(self, name: str) -> None:
        """Set whether a listed server is banned, and give its points to the others, or back to it."""
        if (server := self.servers.get(name)) is not None:
            server.banned = server.cache and name in self.banned
            self._build_ring()

    def _on_online(self, event: api.Online) -> None:
        """Begin anew with a server that operators give back; once is enough, whatever was called before."""
        self.banned.discard(event.server)
        ramp = self.settings.ramp
        self.returned = {name: at for name, at in self.returned.items() if self.now < at + ramp}
        self.returned[event.server] = min(event.since, self.now)
        if (server := self.servers.get(event.server)) is not None and server.cache:
            self._drop(event.server)
            self._admit(server.entry)
            self._build_ring()
            self._serve_waiting()

    def _on_retuned(self, settings: api.Settings) -> None:
        """What is learned of servers stays, unless what they are is now another thing."""
        self.settings = settings
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        if self.door is not None:
            self.door.retuned(settings)
        for name, server in list(self.servers.items()):
            if server.cache is self._is_origin(server.entry):
                self._drop(name)
                self._admit(server.entry)
        self._build_ring()

    def _on_zones(self, order: api.ZonesLeft) -> None:
        """Leave zones, or the origin, as the fleet does, and come back to them."""
        before = self.leaving
        if not order.zones and not order.origin:
            self.leaving = None
        else:
            self.leaving = before or Leaving(self.random)
        if before is not None and before.order.origin and not order.origin:
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

    def _mark_left(self) -> None:
        """Nothing new to servers of zones that are left; those of zones that are back begin anew."""
        leaving = self.leaving
        meant = {s for s in self.caches if leaving is not None and leaving.meant(s.entry)}
        if len(meant) == len(self.caches):
            meant.clear()  # with nothing left to go to, staying is no worse
        for server in self.caches:
            left = server in meant
            if left and not server.left:
                server.left, server.out_until = True, math.inf
            elif server.left and not left:
                server.left, server.failures, server.pause = False, 0, 0.0
                server.out_until = self.now + self.random.random() * tuning.PAUSE  # not all routers at once
                server.limit = min(server.limit, tuning.LIMIT_START)

    def _ask_origin_again(self) -> None:
        """Guards an origin that is back in reach: all routers would ask it for all that they lack at once."""
        for origin in self.origins:
            origin.limit = 1.0
            pause = self.random.random() * tuning.RETURN_SPREAD
            origin.out_until = self.now + pause
            self.out.append(api.SetTimer(pause + tuning.ROUNDING, "origin"))

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self._ask_list_later()
            return
        if event.kind is not api.ListKind.DELTA:
            for i in self.servers.keys() - {e.server for e in event.entries}:
                self._drop(i)
        early = 0
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self._drop(entry.server)
            elif known is None or entry.since > known.entry.since:  # a new process: nothing learned holds
                self._drop(entry.server)
                self._admit(entry)
                early += entry.since > self.now
            else:
                known.entry = entry
        if early:
            self.out.append(api.Log(f"list: servers that start in the future, taken as started now: {early}"))
        self._build_ring()
        if self.leaving is not None:
            self._mark_left()
        if event.kind is not api.ListKind.SAVED:
            self.list_failures = 0
        else:
            self._subscribe()
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Look anew at all that waits, as servers have come."""
        for held in self.line.take_all():
            if held.waiting:  # not ended meanwhile, with one whose fetch it followed
                held.waiting = False
                self._advance(held)

    def _subscribe(self) -> None:
        if self.settings.subscribe:
            self.out.append(api.Subscribe())

    def _ask_list_later(self) -> None:
        """Subscribe again after a doubling, jittered pause, so that routers don't call in step."""
        self.list_failures += 1
        pause = min(self.settings.ramp, self.settings.fall_window * 2.0 ** (self.list_failures - 2))
        self.out.append(api.SetTimer(pause * self.random.uniform(0.5, 1.0), "list"))
        self.out.append(api.Log(f"list out of reach, {self.list_failures} in a row"))

    def _is_origin(self, entry: api.ServerEntry) -> bool:
        return self.settings.aside and entry.kind == self.settings.origin_kind

    def _admit(self, entry: api.ServerEntry) -> None:
        """Begin with a server of which nothing is known."""
        origin = self._is_origin(entry)
        # guards against a start that is said to lie ahead: it would count as cold for as long; and against a
        # list that does not know yet of the restart for which operators took it out
        started = max(min(entry.since, self.now), self.returned.get(entry.server, 0.0))
        banned = not origin and entry.server in self.banned
        server = self.servers[entry.server] = Server(entry, not origin, started, banned)
        if origin:
            # guards the origin after a mass restart: forty first guesses are many times what it bears
            server.limit = max(1.0, tuning.LIMIT_START * min(1.0, tuning.FEW / self.settings.siblings))

    def _drop(self, name: str) -> None:
        if name in self.servers:
            self.ring.place(self.servers.pop(name), 0)

    def _build_ring(self) -> None:
        self.caches = [s for s in self.servers.values() if s.cache and s.ready]
        self.origins = [s for s in self.servers.values() if not s.cache and s.ready]
        self.ring.build(self.servers.values(), self.caches, self.settings.live_weights)

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins, key=lambda s: s.load, default=None)

    def _choose(self, held: Held) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        key = held.request.key if held.request.key is not None else held.request.request
        start = self.ring.start(key)
        flow = self.random.random() * self._load_of(key)
        # passed by chance: all read the same late report
        cap = (1 + tuning.EPSILON) * max(1.0, self.ring.mean_reported)
        passed: set[Server] = set()
        crowded = 0
        first = None
        positions, owners = self.ring.positions, self.ring.owners
        for step in range(min(tuning.WALK, len(positions))):
            server, rank = owners[positions[(start + step) % len(positions)]]
            warm = self._warm_share(server)
            # guards against pushing over a cold server: all leave out the same points, and none spills to it
            if rank > warm or server in passed or (warm < 1 and passed):
                continue
            passed.add(server)
            if self._eligible(held, server):
                first = first or server
                flow -= (1 + tuning.EPSILON) * warm * server.size / self.ring.total_size
                if flow <= 0 and server.reported * self.random.random() <= cap:
                    return server
            elif server.left and self.leaving is not None:
                if self._may_try(held, server):
                    return server
                held.moved = held.moved or len(passed) == 1
            elif server.load >= server.limit and not self._silent(server):
                crowded += 1
                if crowded >= tuning.SPILL:
                    break
        return first  # all over the cap: then it is as good as any, and likelier to have the key

    def _may_try(self, held: Held, server: Server) -> bool:
        """Whether a read may find out whether a zone that is left is back; it is asked for again if not."""
        safe = held.request_class.effect is api.Effect.SAFE and not held.request.write and not held.attempts
        return safe and self.leaving is not None and self.leaving.trial(self.now, server.entry.zone)

    def _may_move(self, held: Held) -> bool:
        """Whether survivors bear one more of the requests that have lost their server."""
        if self.leaving is None or held.attempts:
            return True
        if not held.moved:
            self.leaving.stays()
            return True
        most = max(c.worth for c in self.settings.classes.values())
        return self.leaving.moves(held.request_class.worth, most)

    def _load_of(self, key: str) -> float:
        """A key's share of own requests, this one counted."""
        return self.popularity.share(self.now, key, self.settings.ramp, len(self.caches))

    def _too_late(self, held: Held, server: Server) -> bool:
        """Refuses by chance what would wait too long. Guards against rooms so full that all is late."""
        left = held.until - self.now
        if self.settings.live_weights:  # told how crowded it is
            return self.random.random() * self.wait * server.reported / tuning.QUEUE > left
        # an idle place costs nothing, one that others want is given by the chance to be in time
        return self.random.random() * server.load / server.limit > server.evidence.latencies.chance(left)

    def _eligible(self, held: Held, server: Server) -> bool:
        """Whether a server may take the request now."""
        if self.now < server.out_until or server.load and server.failures >= tuning.FAILURES:
            return False
        if server.load >= server.limit or server.load and self._silent(server):
            return False
        if any(a.server is server for a in held.attempts):
            return False
        return self._permits(held, server)

    def _met_seldom(self) -> bool:
        """Whether this router is one of many: so many failures in a row at one server take it too long."""
        if self.settings.siblings <= tuning.FEW:
            return False
        rate = self.taken / max(self.now - self.born, self.shortest_aim) / max(1, len(self.caches))
        return rate * tuning.PAUSE < tuning.FAILURES

    def _note_failure(self, server: Server, failed: bool, count: int = 1) -> None:
        caches = self.caches if self.leaving is None else [s for s in self.caches if not s.left]
        note_failure(self.now, server, caches, failed, count, self.settings.ramp, self.random)

    def _silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.evidence.quiet_since > tuning.SILENCE * self.shortest_aim

    def _warm_share(self, server: Server) -> float:
        """Share of its points that count: the stated warm-up, cut by our own share of good answers."""
        age = self.now - server.started
        if server.started <= 0 or age >= self.settings.ramp:
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least
        return self.good * (1 - (1 - self.settings.cold_share) * (1 - age / self.settings.ramp))

    def _on_request(self, request: api.Request) -> None:
        request_class = self.settings.classes.get(request.request_class)
        if request_class is None:
            request_class = api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        aim = request_class.aim - request.waited
        until = self.now + min(request.time_left - self.settings.tick, aim)
        origin = self.settings.aside and request.write
        held = self.held[request.request] = Held(request, request_class, self.settings, until, origin)
        self.taken += 1
        self.retries = min(tuning.RETRIES_SAVED, self.retries + tuning.RETRY_SHARE)
        self._advance(held)

    def _permits(self, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        ran = [a for a in held.attempts if a.may_have_run]
        waits = held.open_attempts() and not held.settings.second_copies
        if server is not None and (waits or len(held.attempts) >= held.settings.max_attempts):
            return False
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL
        if self.now >= min(a.sent_at for a in ran) + kind.window:
            return False
        return all(kind.group.joins(a.server.entry, server.entry) for a in ran)

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.ring.positions and not held.to_origin
        server = self._choose(held) if to_ring else self._origin()
        if self.now >= held.until or (server is None or not self._permits(held, server)) and held.attempts:
            self._end(held)
        elif not to_ring:
            self._enqueue(held)
        elif server is None or self._too_late(held, server) or not self._may_move(held):
            self._end(held)
        else:
            self._send(held, server)

    def _send(self, held: Held, server: Server) -> None:
        name = held.request.request
        target = tuning.CACHE_TARGET if server.cache else tuning.ORIGIN_TARGET
        attempt = Attempt(server, target * held.request_class.aim, self.now)
        self.attempts[name, len(held.attempts)] = attempt
        held.attempts.append(attempt)
        server.load += 1
        server.evidence.sent(self.now)
        self.out.append(api.Send(name, server.entry.server))
        self._look_again(held, attempt)

    def _overdue_after(self, server: Server) -> float:
        """Seconds after which an attempt without an answer is more likely lost than late; 0 if unknown.

        Guards what goes to a server that has never answered this router, which in a large fleet meets each
        seldom: it would wait to the end. How long caches take is known from the others.
        """
        usual = self.wait * (1 + server.reported) if server.cache else 0.0
        return server.evidence.overdue_after() or OVERDUE * usual

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
            if attempt.open and not attempt.lost and attempt.server.evidence.lost(self.now, attempt.sent_at):
                attempt.lost = True
                attempt.server.load -= 1
                if not attempt.server.cache:
                    self._release(held, served=False)
        self._serve_queue()
        if not last.open or held.waiting or held.streaming:
            return
        late = self.now - last.sent_at >= self._overdue_after(last.server) - tuning.ROUNDING
        if late and self.watch is not None and not last.overdue and self._quiet(last):
            last.overdue = True
            entry = last.server.entry
            self.watch.ended(self.now, entry.zone, False, api.Reach.SILENT)
        if late and self.retries >= 1 and self._copy(held, last):
            return
        if not last.lost and (not late or held.to_origin):
            self._look_again(held, last)  # what is usual has become longer, or may yet be overtaken

    def _quiet(self, attempt: Attempt) -> bool:
        """Whether nothing has come from its server since it was sent, for longer than others take.

        Guards against caches that have only told quickly what they lack: their first hits look overdue; and
        against an origin that is slow, of which a router of many has one answer to wait for: not out of
        reach.
        """
        server = attempt.server
        long = server.cache and self.now - attempt.sent_at >= OVERDUE * self.wait
        return long and server.evidence.quiet_since <= attempt.sent_at

    def _copy(self, held: Held, last: Attempt) -> bool:
        """Ask again. A server that has answered others since has the key; one that has not may be out."""
        server: Server | None = last.server
        if held.to_origin:
            server = self._origin() if last.lost else None
        else:
            listed = self.servers.get(last.server.entry.server) is server and last.server.ready
            alive = listed and last.lost and self.now >= last.server.out_until
            if not alive or last.server.load >= last.server.limit:
                server = self._choose(held)
        room = server is not None and (server.cache or server.load < server.limit)
        if server is None or not room or not self._permits(held, server):
            return False
        self.retries -= 1
        self._send(held, server)
        return True

    def _on_timer(self, event: api.TimerFired) -> None:
        what, _, name = event.token.partition(":")
        if what == "list":
            self.out.append(api.Subscribe())
        elif what == "idle":
            self._close_idle(self.servers.get(name))
        elif what == "origin":
            self._serve_queue()
        held = self.held.get(name)
        if held is not None and what == "overdue":
            self._overdue(held)
        elif held is not None and held.waiting:
            # half a tick of grace: rounding may wake us a hair before
            if self.now >= self._latest_start(held, self._origin()) - self.settings.tick / 2:
                self._end(held)
            else:
                self._wake_in_time(held)

    def _close_idle(self, server: Server | None) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's."""
        price = self.settings.connection_price
        if server is None or server.load or not price:
            return
        rate = self.taken / max(self.now - self.born, self.shortest_aim) * self.settings.siblings
        keep = self.keep * self.settings.handshake_price / price * 100 * len(self.caches) / rate
        left = server.used_at + keep - self.now
        if left < self.settings.tick:
            self.out.append(api.Close(server.entry.server))
        elif left < self.settings.connection_idle:
            self.out.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _end(self, held: Held) -> None:
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
        come_back = min(self.settings.max_retry_after, wait)
        self.out.append(api.Refuse(name, come_back) if self._permits(held, None) else api.Fail(name))
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
        if not attempt.lost:
            attempt.server.load -= 1
        verdict = attempt.server.evidence.judge(self.now, attempt.sent_at, event.status, event.latency)
        if self.watch is not None and verdict is not Verdict.NOTHING:
            self._tell_watch(attempt, reach(event.status, verdict))
        overdue = self._overdue_after(attempt.server)
        seldom = self._met_seldom()
        late = 0 < overdue - tuning.ROUNDING <= self.now - attempt.sent_at
        stalled = seldom and late and verdict is Verdict.STALLED
        if stalled or event.status not in UNHEARD:
            alone = stalled or seldom and event.status is api.Status.CONNECT_FAILED
            failed = stalled or verdict is Verdict.FAILED
            self._note_failure(attempt.server, failed, tuning.FAILURES if alone else 1)
        attempt.server.used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        self.keep = self.keep / 2 if lost else self.keep + tuning.KEEP_GAIN * (tuning.KEEP - self.keep)
        self._close_idle(attempt.server)
        if attempt.server.cache and verdict not in (Verdict.NOTHING, Verdict.LOST):
            self.good += SMOOTHING * ((event.status in (api.Status.OK, api.Status.MISS)) - self.good)
            if verdict is Verdict.ANSWERED or verdict is Verdict.CROWDED:
                self.wait += SMOOTHING * (event.latency / (1 + attempt.server.reported) - self.wait)
        learn_limit(self.now, attempt, verdict, event.latency)
        held = self.held.get(event.request)
        if held is not None:
            if event.closed or event.status is api.Status.OK:
                self._forget(held, event.status is api.Status.OK and not attempt.server.cache)
            elif not held.waiting and (event.status is api.Status.MISS or not held.open_attempts()):
                self._after_failure(held, event)
        if not attempt.server.cache:
            self._serve_queue()

    def _tell_watch(self, attempt: Attempt, proven: api.Reach | None) -> None:
        """Once of each attempt; one that was overdue and is answered after all counts as that, too."""
        if self.watch is None or proven is None or (proven is api.Reach.SILENT and attempt.overdue):
            return
        server = attempt.server
        self.watch.ended(self.now, server.entry.zone, not server.cache, proven)

    def _after_failure(self, held: Held, event: api.Outcome) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.aside:
            held.to_origin = True
            held.missed.append(held.attempts[event.attempt].server)
        elif event.status is api.Status.ERROR and not self.settings.aside:
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

    def _origin_in_reach(self) -> bool:
        """Guards what is asked of an origin that the fleet has found out of reach: each would wait in
        vain."""
        leaving = self.leaving
        return leaving is None or not leaving.order.origin or leaving.origin_trial(self.now)

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
                self._send(held, there)
            else:
                self._advance(held)

    def _wake_in_time(self, held: Held) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(held, self._origin()) - self.now)
        self.out.append(api.SetTimer(pause, "wait:" + held.request.request))

    def _latest_start(self, held: Held, origin: Server | None) -> float:
        """From then on no fetch would likely be back in time; writes need less room, as they store nothing.

        A place that nobody else wants costs nothing: there a fair chance is enough.
        """
        if origin is None:
            return held.until
        if self.leaving is not None and self.leaving.order.origin:
            # it may be back soon, and an answer after that is worth more than a refusal now; but not for long
            whole = min(held.request.time_left, held.request_class.aim)
            return held.until - (1 - tuning.LEFT_WAIT) * whole
        if origin.load < tuning.IDLE * origin.limit:
            return held.until - origin.evidence.latencies.quantile(tuning.FAIR_CHANCE)
        return held.until - (1.0 if held.request.write else tuning.FETCH_ROOM) * origin.evidence.usual

    def _pause_before_trial(self, origin: Server) -> float:
        return origin.evidence.overdue_after() or tuning.UNKNOWN * self.shortest_aim

    def _has_place(self, origin: Server) -> bool:
        """Whether a fetch may go: below the limit, or as a trial when all that is out may be lost."""
        leaving = self.leaving
        if leaving is not None and leaving.order.origin:
            return leaving.origin_trial(self.now)  # guards the rest: each would dial in vain
        if self.now < origin.out_until:
            return False
        if origin.load < origin.limit:
            return True
        return origin.evidence.trial_due(self.now + tuning.ROUNDING, self._pause_before_trial(origin))

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
                self._send(held, origin)
            else:
                self._end(held)
        if not line.sweep_due(self.now, self.settings.tick):
            return
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._origin()
        late = [q[-1] for q in line.queue if q[-1].waiting and self.now >= self._latest_start(q[-1], origin)]
        for held in late:
            if held.waiting:  # not ended meanwhile, with one whose fetch it followed
                self._end(held)
        line.compact()
