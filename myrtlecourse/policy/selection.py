"""Which server a request goes to: the bounded walk on the ring, and what keeps a server, or the origin, from
taking it."""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import OVERDUE_FACTOR
from myrtlecourse.policy import tuning
from myrtlecourse.policy.limits import record_failure
from myrtlecourse.policy.members import Members
from myrtlecourse.policy.popularity import Popularity
from myrtlecourse.policy.state import Attempt, PendingRequest, Server


class ServerSelection(Members):
    """Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise; the
    walk goes on past servers whose load has reached (1 + epsilon) times the average."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        self.popularity = Popularity(now)
        self.started_at = now
        self.request_count = 0  # requests, since birth
        self.latency_per_load = (
            0.0  # smoothed latency for each request pending a unit of size, the one in hand included
        )
        self.success_share = 1.0  # smoothed share of attempts at caches that were answered well

    def _choose_server(self, pending: PendingRequest) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        key = pending.request.key if pending.request.key is not None else pending.request.request
        flow = self.random.random() * self._key_share(key)
        # passed by chance: all read the same late report
        cap = (1 + tuning.EPSILON) * max(1.0, self.sizes.mean_reported())
        passed: set[Server] = set()
        crowded = 0
        first = None
        counted = bool(pending.attempts)
        cold = self._any_cold()
        # past a zone that is left it may be far to the next one
        most = tuning.MAX_WALK if self.zone_exit is None else tuning.ZONE_EXIT_MAX_WALK
        for server, rank in self.ring.walk(key, most):
            if not counted:
                counted = True
                self.slow_start.count_first_choice(
                    self.now, server.entry.server, self.settings.ramp_time, self.caches
                )
            warm = self._usable_share(server)
            # guards against pushing over a cold server: all leave out the same points, and none spills to it
            # a key whose own server has not taken it back yet goes to no other that comes back: else it would
            # move twice
            pending.moved = pending.moved or (rank > server.ring_share and not passed)
            counts = min(server.ring_share, warm / self.slow_start.max_warmth) if cold else warm
            if rank > counts or server in passed or (warm < 1 and (passed or pending.moved)):
                continue
            passed.add(server)
            if cold and not self._accepts_when_cold(server):
                self.slow_start.refused = True
                continue
            if self._eligible(pending, server):
                first = first or server
                flow -= (1 + tuning.EPSILON) * warm * server.size / self.sizes.total
                if flow <= 0 and server.reported_load * self.random.random() <= cap:
                    return server
            elif server.zone_left and self.zone_exit is not None:
                if self._may_try_left_zone(pending, server):
                    return server
                pending.moved = pending.moved or len(passed) == 1
            elif server.in_flight >= server.limit and not self._is_silent(server):
                crowded += 1
                if crowded >= tuning.MAX_FULL_SERVERS:
                    break
        return first  # all over the cap: then it is as good as any, and likelier to have the key

    def _may_try_left_zone(self, pending: PendingRequest, server: Server) -> bool:
        """Whether a read may find out whether a zone that is left is back; it is asked for again if not."""
        safe = (
            pending.request_class.effect is api.Effect.SAFE
            and not pending.request.write
            and not pending.attempts
        )
        return safe and self.zone_exit is not None and self.zone_exit.allow_trial(self.now, server.entry.zone)

    def _may_move(self, pending: PendingRequest) -> bool:
        """Whether survivors bear one more of the requests that have lost their server."""
        if self.zone_exit is None or pending.attempts:
            return True
        if not pending.moved:
            self.zone_exit.record_unmoved()
            return True
        most = max(c.value for c in self.settings.classes.values())
        return self.zone_exit.allow_move(pending.request_class.value, most)

    def _key_share(self, key: str) -> float:
        """A key's share of own requests, this one counted."""
        return self.popularity.record(self.now, key, self.settings.ramp_time, len(self.caches))

    def _would_be_late(self, pending: PendingRequest, server: Server) -> bool:
        """Refuses by chance what would wait too long. Guards against rooms so full that all is late."""
        left = pending.deadline - self.now
        if self.settings.live_weights:  # told how crowded it is
            return (
                self.random.random() * self.latency_per_load * server.reported_load / tuning.MAX_WAIT_SHARE
                > left
            )
        # an idle place costs nothing, one that others want is given by the chance to be in time
        return (
            self.random.random() * server.in_flight / server.limit
            > server.evidence.latencies.share_within(left)
        )

    def _eligible(self, pending: PendingRequest, server: Server) -> bool:
        """Whether a server may take the request now."""
        if (
            self.now < server.excluded_until
            or server.in_flight
            and server.consecutive_failures >= tuning.EXCLUSION_FAILURES
        ):
            return False
        if server.in_flight >= server.limit or server.in_flight and self._is_silent(server):
            return False
        if any(a.server is server for a in pending.attempts):
            return False
        return self._class_permits(pending, server)

    def _rarely_sends(self) -> bool:
        """Whether this router is one of many: so many failures in a row at one server take it too long."""
        if self.settings.router_count <= tuning.FEW_ROUTERS:
            return False
        rate = (
            self.request_count / max(self.now - self.started_at, self.shortest_aim) / max(1, len(self.caches))
        )
        return rate * tuning.EXCLUSION_TIME < tuning.EXCLUSION_FAILURES

    def _record_failure(self, server: Server, failed: bool, count: int = 1) -> None:
        caches, failing = len(self.caches), len(self.failing) - (server in self.failing)
        if self.zone_exit is not None:
            caches -= sum(s.zone_left for s in self.caches.values())
            failing -= sum(s.zone_left for s in self.failing if s is not server)
        too_many = failing + 1 > tuning.MAX_EXCLUDED_SHARE * caches
        record_failure(self.now, server, failed and not too_many, count, self.settings.ramp_time, self.random)
        if (
            server.consecutive_failures >= tuning.EXCLUSION_FAILURES
            and self.caches.get(server.entry.server) is server
        ):
            self.failing.add(server)
        else:
            self.failing.discard(server)

    def _is_silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.evidence.unanswered_since > tuning.MAX_SILENCE * self.shortest_aim

    def _any_cold(self) -> bool:
        """Whether any server is cold; then what all bear is measured now and again."""
        slow_start, ramp = self.slow_start, self.settings.ramp_time
        slow_start.refused = False
        if self.now >= slow_start.cold_until:
            return False
        if self.now >= slow_start.next_measure_at:
            there = [s for s in self.caches.values() if not s.zone_left]
            slow_start.measure(self.now, ramp, [(self._warmth(s), s.size) for s in there])
        return True

    def _warmth(self, server: Server) -> float:
        """How much of its normal traffic a server bears: the stated warm-up, cut by our own share of good
        answers."""
        age = self.now - server.started_at
        if server.started_at <= 0 or age >= self._cold_duration():
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least; and
        # against an overload, where settings let a cold server bear little more than it can do
        room = self.success_share * min(1.0, self.settings.fall_multiple / tuning.COLD_CAPACITY_MULTIPLE)
        return room * (1 - (1 - self.settings.cold_share) * max(0.0, 1 - age / self.settings.ramp_time))

    def _usable_share(self, server: Server) -> float:
        """Share of its points that count: as it is warm, and as its zone has come back."""
        return min(server.ring_share, self._warmth(server))

    def _accepts_when_cold(self, server: Server) -> bool:
        """Whether a server, if it is cold, bears one more request that its points give it."""
        if self._warmth(server) >= 1:
            return True
        slow_start, settings = self.slow_start, self.settings
        fair = server.size / self.sizes.total
        multiple = max(
            tuning.COLD_CAPACITY_MULTIPLE, settings.fall_multiple
        )  # with fewer its points are cut instead
        chance = slow_start.accept_probability(server.entry.server, fair, len(self.caches), multiple)
        if self.random.random() < chance:
            return True
        return slow_start.has_free_send(self.now, server, settings.fall_window, settings.router_count)

    def _class_permits(self, pending: PendingRequest, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = pending.request_class
        ran = [a for a in pending.attempts if a.may_have_run]
        waits = pending.open_attempts() and not pending.settings.hedging
        if server is not None and (waits or len(pending.attempts) >= pending.settings.max_attempts):
            return False
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.DedupGroup.ALL
        if self.now >= self._repeat_deadline(pending):
            return False
        return all(kind.group.includes_both(a.server.entry, server.entry) for a in ran)

    def _repeat_deadline(self, pending: PendingRequest) -> float:
        """By when a keyed request must have arrived again: servers drop its repeat for so long."""
        sent_at = min((a.sent_at for a in pending.attempts if a.may_have_run), default=self.now)
        return sent_at + pending.request_class.repeat_window - tuning.ARRIVAL_MARGIN

    def _overdue_after(self, server: Server) -> float:
        """Seconds after which an attempt without an answer is more likely lost than late; 0 if unknown.

        Guards what goes to a server that has never answered this router, which in a large fleet meets each
        seldom: it would wait to the end. How long caches take is known from the others.
        """
        usual = self.latency_per_load * (1 + server.reported_load) if server.is_cache else 0.0
        return server.evidence.overdue_after() or OVERDUE_FACTOR * usual

    def _trial_delay(self, origin: Server) -> float:
        return origin.evidence.overdue_after() or tuning.FIRST_ANSWER_SHARE * self.shortest_aim

    def _is_unanswered(self, attempt: Attempt) -> bool:
        """Whether nothing has come from its server since it was sent, for longer than others take.

        Guards against caches that have only told quickly what they lack: their first hits look overdue; and
        against an origin that is slow, of which a router of many has one answer to wait for: not out of
        reach.
        """
        server = attempt.server
        long = server.is_cache and self.now - attempt.sent_at >= OVERDUE_FACTOR * self.latency_per_load
        return long and server.evidence.unanswered_since <= attempt.sent_at

    def _latest_start(self, pending: PendingRequest, origin: Server | None) -> float:
        """From then on no fetch would likely be back in time; writes need less room, as they store nothing.

        A place that nobody else wants costs nothing: there a fair chance is enough.
        """
        if origin is None:
            return pending.deadline
        if self.zone_exit is not None and self.zone_exit.current.origin_unreachable:
            # it may be back soon, and an answer after that is worth more than a refusal now; but not for long
            whole = min(pending.request.time_left, pending.request_class.aim)
            return pending.deadline - (1 - tuning.ORIGIN_WAIT_SHARE) * whole
        if origin.in_flight < tuning.IDLE_LIMIT_SHARE * origin.limit:
            return pending.deadline - origin.evidence.latencies.quantile(tuning.FAIR_CHANCE)
        return (
            pending.deadline
            - (1.0 if pending.request.write else tuning.FETCH_TIME_FACTOR) * origin.evidence.usual_latency
        )

    def _has_capacity(self, origin: Server) -> bool:
        """Whether a fetch may go: below the limit, or as a trial when all that is out may be lost."""
        leaving = self.zone_exit
        if leaving is not None and leaving.current.origin_unreachable:
            return leaving.allow_origin_trial(self.now)  # guards the rest: each would dial in vain
        if self.now < origin.excluded_until:
            return False
        if origin.in_flight < origin.limit:
            return True
        return origin.evidence.trial_due(self.now + tuning.TIMER_ROUNDING, self._trial_delay(origin))
