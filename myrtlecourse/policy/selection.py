"""Server selection: consistent hashing with bounded loads, and the conditions under which a server or the
origin may get a request.

Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise. The walk
passes servers whose load has reached (1 + epsilon) times the average (consistent hashing with bounded loads).
"""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import OVERDUE_FACTOR
from myrtlecourse.policy import tuning
from myrtlecourse.policy.limits import record_outcome
from myrtlecourse.policy.members import Members
from myrtlecourse.policy.popularity import Popularity
from myrtlecourse.policy.state import Attempt, PendingRequest, Server


class ServerSelection(Members):
    """Selects the server of each request."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.min_aim = min(c.aim for c in settings.classes.values())
        self.popularity = Popularity(now)
        self.started_at = now
        self.request_count = 0  # requests since the start
        # smoothed latency of caches per request in flight and unit of size, the request itself included
        self.unit_latency = 0.0
        self.success_rate = 1.0  # smoothed share of attempts at caches that succeeded

    def _choose_server(self, pending: PendingRequest) -> Server | None:
        """Walk the ring: a key's load flows clockwise; each server takes up to (1 + epsilon) fair shares."""
        key = pending.request.key if pending.request.key is not None else pending.request.request
        flow = self.random.random() * self._key_share(key)
        # servers above it are passed by chance only, as all routers read the same late report
        cap = (1 + tuning.EPSILON) * max(1.0, self.sizes.mean_reported())
        passed: set[Server] = set()
        full = 0
        first = None
        counted = bool(pending.attempts)
        cold = self._any_cold()
        # past the servers of a zone that was left, the next eligible server may be far away
        max_points = tuning.MAX_WALK if self.zone_exit is None else tuning.ZONE_EXIT_MAX_WALK
        for server, rank in self.ring.walk(key, max_points):
            if not counted:
                counted = True
                self.slow_start.count_first_choice(
                    self.now, server.entry.server, self.settings.ramp_time, self.caches
                )
            share = self._usable_share(server)
            # protects cold servers: all routers skip the same points, and nothing spills over to a cold one.
            # A key whose own server is still returning goes to no other returning server: it would move
            # twice.
            pending.displaced = pending.displaced or (rank > server.ring_share and not passed)
            usable = min(server.ring_share, share / self.slow_start.max_warmth) if cold else share
            if rank > usable or server in passed or (share < 1 and (passed or pending.displaced)):
                continue
            passed.add(server)
            if cold and not self._accepts_when_cold(server):
                self.slow_start.refused = True
                continue
            if self._eligible(pending, server):
                first = first or server
                flow -= (1 + tuning.EPSILON) * share * server.size / self.sizes.total
                if flow <= 0 and server.reported_load * self.random.random() <= cap:
                    return server
            elif server.zone_excluded and self.zone_exit is not None:
                if self._may_probe_excluded_zone(pending, server):
                    return server
                pending.displaced = pending.displaced or len(passed) == 1
            elif server.in_flight >= server.limit and not self._is_silent(server):
                full += 1
                if full >= tuning.MAX_FULL_SERVERS:
                    break
        return first  # if all are over the cap, the first is as good as any and likeliest to have the key

    def _may_probe_excluded_zone(self, pending: PendingRequest, server: Server) -> bool:
        """Return whether a read may test a zone that was left; if it fails, it is repeated elsewhere."""
        safe = (
            pending.request_class.effect is api.Effect.SAFE
            and not pending.request.write
            and not pending.attempts
        )
        return safe and self.zone_exit is not None and self.zone_exit.allow_probe(self.now, server.entry.zone)

    def _may_move(self, pending: PendingRequest) -> bool:
        """Return whether the remaining servers can take another request that has lost its server."""
        if self.zone_exit is None or pending.attempts:
            return True
        if not pending.displaced:
            self.zone_exit.earn_move_credit()
            return True
        highest = max(c.value for c in self.settings.classes.values())
        return self.zone_exit.allow_move(pending.request_class.value, highest)

    def _key_share(self, key: str) -> float:
        """Count a request of a key and return the key's share of this router's requests."""
        return self.popularity.record(self.now, key, self.settings.ramp_time, len(self.caches))

    def _would_be_late(self, pending: PendingRequest, server: Server) -> bool:
        """Return, at random, whether a request would wait too long.

        Without this check, servers fill up so far that all their answers are late.
        """
        left = pending.deadline - self.now
        if self.settings.live_weights:  # the load is reported
            return (
                self.random.random() * self.unit_latency * server.reported_load / tuning.MAX_WAIT_SHARE > left
            )
        # an idle server has room for any request, a full one only for those likely to be answered in time
        return (
            self.random.random() * server.in_flight / server.limit
            > server.evidence.latencies.share_within(left)
        )

    def _eligible(self, pending: PendingRequest, server: Server) -> bool:
        """Return whether a server may get the request now."""
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
        """Return whether this router sends a server too few requests to see enough failures in a row soon."""
        if self.settings.router_count <= tuning.FEW_ROUTERS:
            return False
        rate = self.request_count / max(self.now - self.started_at, self.min_aim) / max(1, len(self.caches))
        return rate * tuning.EXCLUSION_TIME < tuning.EXCLUSION_FAILURES

    def _record_outcome(self, server: Server, failed: bool, count: int = 1) -> None:
        caches, failing = len(self.caches), len(self.failing) - (server in self.failing)
        if self.zone_exit is not None:
            caches -= sum(s.zone_excluded for s in self.caches.values())
            failing -= sum(s.zone_excluded for s in self.failing if s is not server)
        too_many = failing + 1 > tuning.MAX_EXCLUDED_SHARE * caches
        record_outcome(self.now, server, failed and not too_many, count, self.settings.ramp_time, self.random)
        if (
            server.consecutive_failures >= tuning.EXCLUSION_FAILURES
            and self.caches.get(server.entry.server) is server
        ):
            self.failing.add(server)
        else:
            self.failing.discard(server)

    def _is_silent(self, server: Server) -> bool:
        """Return whether requests at a server are unanswered, and it has answered nothing for too long."""
        return self.now - server.evidence.unanswered_since > tuning.MAX_SILENCE * self.min_aim

    def _any_cold(self) -> bool:
        """Return whether any server is cold. If so, measure the fleet's warmth from time to time."""
        slow_start, ramp = self.slow_start, self.settings.ramp_time
        slow_start.refused = False
        if self.now >= slow_start.cold_until:
            return False
        if self.now >= slow_start.next_measure_at:
            servers = [s for s in self.caches.values() if not s.zone_excluded]
            slow_start.measure(self.now, ramp, [(self._warmth(s), s.size) for s in servers])
        return True

    def _warmth(self, server: Server) -> float:
        """Return the share of its normal traffic that a server can take.

        It follows the configured warm-up, times the share of this router's attempts that succeed.
        """
        age = self.now - server.started_at
        if server.started_at <= 0 or age >= self._cold_duration():
            return 1.0
        # client retries multiply the traffic just when servers can take the least; and in an overload a cold
        # server collapses early where the settings let it take little more than its capacity
        room = self.success_rate * min(1.0, self.settings.fall_multiple / tuning.COLD_CAPACITY_MULTIPLE)
        return room * (1 - (1 - self.settings.cold_share) * max(0.0, 1 - age / self.settings.ramp_time))

    def _usable_share(self, server: Server) -> float:
        """Return the share of a server's points that counts, by its warmth and the return of its zone."""
        return min(server.ring_share, self._warmth(server))

    def _accepts_when_cold(self, server: Server) -> bool:
        """Return whether a server accepts a request that the ring assigns to it. Warm servers accept all."""
        if self._warmth(server) >= 1:
            return True
        slow_start, settings = self.slow_start, self.settings
        fair = server.size / self.sizes.total
        # below the constant, its points are reduced instead
        multiple = max(tuning.COLD_CAPACITY_MULTIPLE, settings.fall_multiple)
        chance = slow_start.accept_probability(server.entry.server, fair, len(self.caches), multiple)
        if self.random.random() < chance:
            return True
        return slow_start.below_minimum_rate(self.now, server, settings.fall_window, settings.router_count)

    def _class_permits(self, pending: PendingRequest, server: Server | None) -> bool:
        """Return whether the class permits another attempt at this server or, with None, a refusal."""
        request_class = pending.request_class
        may_have_run = [a for a in pending.attempts if a.may_have_run]
        must_wait = pending.open_attempts() and not pending.settings.hedging
        if server is not None and (must_wait or len(pending.attempts) >= pending.settings.max_attempts):
            return False
        if request_class.effect is api.Effect.SAFE or not may_have_run:
            return True
        if request_class.effect is api.Effect.UNSAFE or server is None:
            return request_class.effect is api.Effect.KEYED and request_class.group is api.DedupGroup.ALL
        if self.now >= self._repeat_deadline(pending):
            return False
        return all(request_class.group.includes_both(a.server.entry, server.entry) for a in may_have_run)

    def _repeat_deadline(self, pending: PendingRequest) -> float:
        """Return the time by which a repeat has to be sent: servers drop repeats only for a limited time."""
        sent_at = min((a.sent_at for a in pending.attempts if a.may_have_run), default=self.now)
        return sent_at + pending.request_class.repeat_window - tuning.ARRIVAL_MARGIN

    def _overdue_after(self, server: Server) -> float:
        """Return the seconds after which an unanswered attempt is more likely lost than late; 0 if unknown.

        For a cache server that has never answered this router, the latency of other caches is used. In a
        large fleet a router rarely meets each server, and such a request would wait until its deadline.
        """
        usual = self.unit_latency * (1 + server.reported_load) if server.is_cache else 0.0
        return server.evidence.overdue_after() or OVERDUE_FACTOR * usual

    def _probe_delay(self, origin: Server) -> float:
        return origin.evidence.overdue_after() or tuning.FIRST_ANSWER_SHARE * self.min_aim

    def _is_unanswered(self, attempt: Attempt) -> bool:
        """Return whether its server has answered nothing since it was sent, for longer than others take.

        The first hits of a cache that has answered only misses, which are fast, look overdue but are not. Nor
        is a slow origin unreachable where a router, as one of many, waits for a single answer.
        """
        server = attempt.server
        waited_long = server.is_cache and self.now - attempt.sent_at >= OVERDUE_FACTOR * self.unit_latency
        return waited_long and server.evidence.unanswered_since <= attempt.sent_at

    def _latest_start(self, pending: PendingRequest, origin: Server | None) -> float:
        """Return the time after which a fetch would likely be too late.

        Writes need less time, as they store nothing. While the origin has spare capacity, a fair chance to be
        in time is enough.
        """
        if origin is None:
            return pending.deadline
        if self.zone_exit is not None and self.zone_exit.current.origin_unreachable:
            # it may be reachable again soon, and a late answer is better than a refusal; but not for long
            time_limit = min(pending.request.time_left, pending.request_class.aim)
            return pending.deadline - (1 - tuning.ORIGIN_WAIT_SHARE) * time_limit
        if origin.in_flight < tuning.IDLE_LIMIT_SHARE * origin.limit:
            return pending.deadline - origin.evidence.latencies.quantile(tuning.FAIR_CHANCE)
        return (
            pending.deadline
            - (1.0 if pending.request.write else tuning.FETCH_TIME_FACTOR) * origin.evidence.usual_latency
        )

    def _has_capacity(self, origin: Server) -> bool:
        """Return whether a fetch may start: below the limit, or as a trial when all in flight may be lost."""
        zone_exit = self.zone_exit
        if zone_exit is not None and zone_exit.current.origin_unreachable:
            return zone_exit.allow_origin_probe(self.now)  # other requests would try to connect in vain
        if self.now < origin.excluded_until:
            return False
        if origin.in_flight < origin.limit:
            return True
        return origin.evidence.probe_due(self.now + tuning.TIMER_ROUNDING, self._probe_delay(origin))
