"""Server selection: consistent hashing with bounded loads, and the conditions under which a server or the
origin may get a request.

Each key is hashed onto a ring of weighted virtual nodes (points). The walk starts at the key, goes clockwise,
and usually ends at the first server, the key's own server. It continues past servers whose load has reached
(1 + epsilon) times the average (consistent hashing with bounded loads), and past servers that may not get the
request: those that are full, excluded, cold, or in a zone that the fleet has excluded.
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
        # shortest target latency (`aim`) of any class in seconds: the unit of time limits that hold for all
        self.min_aim = min(c.aim for c in settings.classes.values())
        self.popularity = Popularity(now)
        self.started_at = now
        self.request_count = 0  # requests since the start
        # smoothed latency of cache servers in seconds, divided by 1 + the server's reported load: the time
        # that each request in flight per unit of size adds, where the request itself counts as the 1
        self.unit_latency = 0.0
        self.success_rate = 1.0  # smoothed share of attempts at caches that succeeded

    def _choose_server(self, pending: PendingRequest) -> Server | None:
        """Walk the ring from the request's key, and return the server to send it to, or None.

        The load of a hot key is spread over the servers clockwise from it, in proportion to their capacity:
        each gets up to (1 + epsilon) times its fair share of all requests. A random offset into the key's
        load selects the server whose part contains it; for a key that is not hot, this is the first server.
        """
        key = pending.request.key if pending.request.key is not None else pending.request.request
        load_offset = self.random.random() * self._key_share(key)
        # a server with a higher reported load is skipped with a probability that grows with its load: all
        # routers read the same late report, and would otherwise all skip it at once
        load_bound = (1 + tuning.EPSILON) * max(1.0, self.sizes.mean_reported())
        visited: set[Server] = set()
        full_servers = 0
        first = None
        first_choice_counted = bool(pending.attempts)
        cold = self._any_cold()
        # the next server that is not in an excluded zone may be far away
        max_points = tuning.MAX_WALK if self.zone_exit is None else tuning.ZONE_EXIT_MAX_WALK
        for server, rank in self.ring.walk(key, max_points):
            if not first_choice_counted:
                first_choice_counted = True
                self.slow_start.count_first_choice(
                    self.now, server.entry.server, self.settings.ramp_time, self.caches
                )
            share = self._usable_share(server)
            # The key's own server is in a zone that is still returning, and this point does not count yet.
            pending.displaced = pending.displaced or (rank > server.ring_share and not visited)
            # A cold server uses only the share of its points that its warmth permits: all routers skip the
            # same points (those of higher rank). It gets no request that another server could not take, and a
            # returning server gets no displaced request: the key would move twice.
            usable = min(server.ring_share, share / self.slow_start.max_warmth) if cold else share
            if rank > usable or server in visited or (share < 1 and (visited or pending.displaced)):
                continue
            visited.add(server)
            if cold and not self._accepts_when_cold(server):
                self.slow_start.refused = True
                continue
            if self._eligible(pending, server):
                first = first or server
                load_offset -= (1 + tuning.EPSILON) * share * server.size / self.sizes.total
                if load_offset <= 0 and server.reported_load * self.random.random() <= load_bound:
                    return server
            elif server.zone_excluded and self.zone_exit is not None:
                if self._may_probe_excluded_zone(pending, server):
                    return server
                pending.displaced = pending.displaced or len(visited) == 1
            elif server.in_flight >= server.limit and not self._is_silent(server):
                full_servers += 1
                if full_servers >= tuning.MAX_FULL_SERVERS:
                    break
        # if all exceed the bound, none is better than the first, which most likely has the key
        return first

    def _may_probe_excluded_zone(self, pending: PendingRequest, server: Server) -> bool:
        """Return whether a request may probe an excluded zone, and count the probe.

        Only first attempts of safe reads may: one that fails is repeated at another server.
        """
        safe = (
            pending.request_class.effect is api.Effect.SAFE
            and not pending.request.write
            and not pending.attempts
        )
        return safe and self.zone_exit is not None and self.zone_exit.allow_probe(self.now, server.entry.zone)

    def _may_move(self, pending: PendingRequest) -> bool:
        """Return whether the remaining servers can take this request, if the zone exit has displaced it.

        A request that is not displaced may always be sent; for each of them, others may move in proportion.
        """
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
        """Return whether to treat a request as too late: more likely, the longer its expected wait.

        Without this check, servers fill up so far that all their answers are late.
        """
        time_left = pending.deadline - self.now
        if self.settings.live_weights:  # the load is reported
            return (
                self.random.random() * self.unit_latency * server.reported_load / tuning.MAX_WAIT_SHARE
                > time_left
            )
        # an idle server accepts any request, a full one with the probability of an answer in time
        return (
            self.random.random() * server.in_flight / server.limit
            > server.evidence.latencies.share_within(time_left)
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
        """Return whether this router sends each server too few requests to see consecutive failures soon."""
        if self.settings.router_count <= tuning.FEW_ROUTERS:
            return False
        rate = self.request_count / max(self.now - self.started_at, self.min_aim) / max(1, len(self.caches))
        return rate * tuning.EXCLUSION_TIME < tuning.EXCLUSION_FAILURES

    def _record_outcome(self, server: Server, failed: bool, count: int = 1) -> None:
        """Record whether an attempt at a server failed, which may exclude the server or end its failures.

        A failure adds `count` to the server's consecutive failures, anything else resets them. While more
        than MAX_EXCLUDED_SHARE of the servers would be failing, this one included, a failure resets them,
        too: the servers are then not the cause, and the others could not take their load. Servers in zones
        that the fleet has excluded don't enter into that comparison.
        """
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
        """Return whether a server has unanswered requests and has not answered any request for too long."""
        return self.now - server.evidence.unanswered_since > tuning.MAX_SILENCE * self.min_aim

    def _any_cold(self) -> bool:
        """Return whether any server may be cold; if so, measure the fleet's warmth again when that is due."""
        slow_start, ramp = self.slow_start, self.settings.ramp_time
        slow_start.refused = False
        if self.now >= slow_start.cold_until:
            return False
        if self.now >= slow_start.next_measure_at:
            servers = [s for s in self.caches.values() if not s.zone_excluded]
            slow_start.measure(self.now, ramp, [(self._warmth(s), s.size) for s in servers])
        return True

    def _warmth(self, server: Server) -> float:
        """Return the share of its normal traffic that a server can take now: 1 if it is warm.

        The share rises as configured for the warm-up. It is multiplied by the share of this router's attempts
        that succeed, and lowered where cold servers collapse early.
        """
        age = self.now - server.started_at
        if server.started_at <= 0 or age >= self._cold_duration():
            return 1.0
        # When attempts fail, clients retry, which multiplies the traffic just when servers can take least.
        # And where the settings say that a server collapses at little more traffic than its capacity, an
        # overload makes a cold server collapse early.
        capacity_factor = self.success_rate * min(
            1.0, self.settings.fall_multiple / tuning.COLD_CAPACITY_MULTIPLE
        )
        return capacity_factor * (
            1 - (1 - self.settings.cold_share) * max(0.0, 1 - age / self.settings.ramp_time)
        )

    def _usable_share(self, server: Server) -> float:
        """Return the share of a server's points that counts, by its warmth and the return of its zone."""
        return min(server.ring_share, self._warmth(server))

    def _accepts_when_cold(self, server: Server) -> bool:
        """Return whether a server accepts a request that the ring assigns to it. Warm servers accept all."""
        if self._warmth(server) >= 1:
            return True
        slow_start, settings = self.slow_start, self.settings
        fair = server.size / self.sizes.total
        # a server that collapses below COLD_CAPACITY_MULTIPLE has fewer points instead (see `_warmth`)
        multiple = max(tuning.COLD_CAPACITY_MULTIPLE, settings.fall_multiple)
        chance = slow_start.accept_probability(server.entry.server, fair, len(self.caches), multiple)
        if self.random.random() < chance:
            return True
        return slow_start.below_minimum_rate(self.now, server, settings.fall_window, settings.router_count)

    def _class_permits(self, pending: PendingRequest, server: Server | None) -> bool:
        """Return whether the request's class permits another attempt at this server.

        With None instead of a server, return whether it permits a refusal, which promises the client that a
        retry is safe. Both depend on whether an earlier attempt may have been executed.
        """
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
        """Return the time by which a repeat has to be sent, as servers recognise and drop repeats only for
        a limited time after the first attempt."""
        sent_at = min((a.sent_at for a in pending.attempts if a.may_have_run), default=self.now)
        return sent_at + pending.request_class.repeat_window - tuning.ARRIVAL_MARGIN

    def _overdue_after(self, server: Server) -> float:
        """Return the seconds after which an unanswered attempt is more likely lost than late; 0 if unknown.

        For a cache server that has never answered this router, the latency of the other cache servers is
        used. In a large fleet a router rarely sends requests to each server, and without this estimate its
        first request to a server that is gone would wait until the deadline.
        """
        usual = self.unit_latency * (1 + server.reported_load) if server.is_cache else 0.0
        return server.evidence.overdue_after() or OVERDUE_FACTOR * usual

    def _probe_delay(self, origin: Server) -> float:
        """Return the seconds without any answer after which the origin gets a request above its limit."""
        return origin.evidence.overdue_after() or tuning.FIRST_ANSWER_SHARE * self.min_aim

    def _is_unanswered(self, attempt: Attempt) -> bool:
        """Return whether a cache server has answered nothing since this attempt was sent, and for longer than
        cache servers usually take.

        An overdue attempt alone does not prove that its server is unreachable: misses are fast, so after them
        the first hits look overdue. Attempts at the origin prove nothing here: where a router, as one of
        many, waits for a single answer, a slow origin is not unreachable.
        """
        server = attempt.server
        waited_long = server.is_cache and self.now - attempt.sent_at >= OVERDUE_FACTOR * self.unit_latency
        return waited_long and server.evidence.unanswered_since <= attempt.sent_at

    def _latest_start(self, pending: PendingRequest, origin: Server | None) -> float:
        """Return the latest time at which to start a request at the origin; later ones are not sent.

        A fetch for a read needs enough time to be completed, as an abandoned one is not even stored at cache
        servers; a write, which stores nothing there, needs less. While the origin has spare capacity, no
        other request needs it, and the probability FAIR_CHANCE of a timely answer is enough.
        """
        if origin is None:
            return pending.deadline
        if self.zone_exit is not None and self.zone_exit.current.origin_unreachable:
            # The origin may be reachable again soon, and a late answer is better than a refusal. The wait
            # ends after a share of the client's time.
            time_limit = min(pending.request.time_left, pending.request_class.aim)
            return pending.deadline - (1 - tuning.ORIGIN_WAIT_SHARE) * time_limit
        if origin.in_flight < tuning.IDLE_LIMIT_SHARE * origin.limit:
            return pending.deadline - origin.evidence.latencies.quantile(tuning.FAIR_CHANCE)
        return (
            pending.deadline
            - (1.0 if pending.request.write else tuning.FETCH_TIME_FACTOR) * origin.evidence.usual_latency
        )

    def _has_capacity(self, origin: Server) -> bool:
        """Return whether the origin may get a request now.

        It may while fewer are in flight than its limit; above the limit, it may get a probe once all requests
        in flight may be lost.
        """
        zone_exit = self.zone_exit
        if zone_exit is not None and zone_exit.current.origin_unreachable:
            # probes only: all other requests would wait for a connection that is not established
            return zone_exit.allow_origin_probe(self.now)
        if self.now < origin.excluded_until:
            return False
        if origin.in_flight < origin.limit:
            return True
        return origin.evidence.probe_due(self.now + tuning.TIMER_ROUNDING, self._probe_delay(origin))
