"""Which server a request goes to: the bounded walk on the ring, and what keeps a server, or the origin, from
taking it."""

from __future__ import annotations

from myrtlecourse import interface as api
from myrtlecourse.evidence import OVERDUE
from myrtlecourse.policy import tuning
from myrtlecourse.policy.learning import note_failure
from myrtlecourse.policy.members import Members
from myrtlecourse.policy.popularity import Popularity
from myrtlecourse.policy.state import Attempt, Held, Server


class Walk(Members):
    """Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise; the
    walk goes on past servers whose load has reached (1 + epsilon) times the average."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        self.popularity = Popularity(now)
        self.born = now
        self.taken = 0  # requests, since birth
        self.wait = 0.0  # smoothed latency for each request held a unit of size, the one in hand included
        self.good = 1.0  # smoothed share of attempts at caches that were answered well

    def _choose(self, held: Held) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        key = held.request.key if held.request.key is not None else held.request.request
        flow = self.random.random() * self._load_of(key)
        # passed by chance: all read the same late report
        cap = (1 + tuning.EPSILON) * max(1.0, self.sizes.mean_reported())
        passed: set[Server] = set()
        crowded = 0
        first = None
        counted = bool(held.attempts)
        cold = self._any_cold()
        # past a zone that is left it may be far to the next one
        most = tuning.WALK if self.leaving is None else tuning.LEFT_WALK
        for server, rank in self.ring.around(key, most):
            if not counted:
                counted = True
                self.slow_start.comes(self.now, server.entry.server, self.settings.ramp_time, self.caches)
            warm = self._warm_share(server)
            # guards against pushing over a cold server: all leave out the same points, and none spills to it
            # a key whose own server has not taken it back yet goes to no other that comes back: else it would
            # move twice
            held.moved = held.moved or (rank > server.share and not passed)
            counts = min(server.share, warm / self.slow_start.warmest) if cold else warm
            if rank > counts or server in passed or (warm < 1 and (passed or held.moved)):
                continue
            passed.add(server)
            if cold and not self._bears(server):
                self.slow_start.turned_away = True
                continue
            if self._eligible(held, server):
                first = first or server
                flow -= (1 + tuning.EPSILON) * warm * server.size / self.sizes.total
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
        most = max(c.value for c in self.settings.classes.values())
        return self.leaving.moves(held.request_class.value, most)

    def _load_of(self, key: str) -> float:
        """A key's share of own requests, this one counted."""
        return self.popularity.share(self.now, key, self.settings.ramp_time, len(self.caches))

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
        if self.settings.router_count <= tuning.FEW:
            return False
        rate = self.taken / max(self.now - self.born, self.shortest_aim) / max(1, len(self.caches))
        return rate * tuning.PAUSE < tuning.FAILURES

    def _note_failure(self, server: Server, failed: bool, count: int = 1) -> None:
        caches, failing = len(self.caches), len(self.failing) - (server in self.failing)
        if self.leaving is not None:
            caches -= sum(s.left for s in self.caches.values())
            failing -= sum(s.left for s in self.failing if s is not server)
        too_many = failing + 1 > tuning.MOST_OUT * caches
        note_failure(self.now, server, failed and not too_many, count, self.settings.ramp_time, self.random)
        if server.failures >= tuning.FAILURES and self.caches.get(server.entry.server) is server:
            self.failing.add(server)
        else:
            self.failing.discard(server)

    def _silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.evidence.quiet_since > tuning.SILENCE * self.shortest_aim

    def _any_cold(self) -> bool:
        """Whether any server is cold; then what all bear is measured now and again."""
        slow_start, ramp = self.slow_start, self.settings.ramp_time
        slow_start.turned_away = False
        if self.now >= slow_start.cold_until:
            return False
        if self.now >= slow_start.measure_at:
            there = [s for s in self.caches.values() if not s.left]
            slow_start.measure(self.now, ramp, [(self._warmth(s), s.size) for s in there])
        return True

    def _warmth(self, server: Server) -> float:
        """How much of its normal traffic a server bears: the stated warm-up, cut by our own share of good
        answers."""
        age = self.now - server.started
        if server.started <= 0 or age >= self._cold_time():
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least; and
        # against an overload, where settings let a cold server bear little more than it can do
        room = self.good * min(1.0, self.settings.fall_multiple / tuning.FALL_ROOM)
        return room * (1 - (1 - self.settings.cold_share) * max(0.0, 1 - age / self.settings.ramp_time))

    def _warm_share(self, server: Server) -> float:
        """Share of its points that count: as it is warm, and as its zone has come back."""
        return min(server.share, self._warmth(server))

    def _bears(self, server: Server) -> bool:
        """Whether a server, if it is cold, bears one more request that its points give it."""
        if self._warmth(server) >= 1:
            return True
        slow_start, settings = self.slow_start, self.settings
        fair = server.size / self.sizes.total
        multiple = max(tuning.FALL_ROOM, settings.fall_multiple)  # with fewer its points are cut instead
        chance = slow_start.chance(server.entry.server, fair, len(self.caches), multiple)
        if self.random.random() < chance:
            return True
        return slow_start.free(self.now, server, settings.fall_window, settings.router_count)

    def _permits(self, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        ran = [a for a in held.attempts if a.may_have_run]
        waits = held.open_attempts() and not held.settings.hedging
        if server is not None and (waits or len(held.attempts) >= held.settings.max_attempts):
            return False
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.DedupGroup.ALL
        if self.now >= self._repeat_until(held):
            return False
        return all(kind.group.includes_both(a.server.entry, server.entry) for a in ran)

    def _repeat_until(self, held: Held) -> float:
        """By when a keyed request must have arrived again: servers drop its repeat for so long."""
        sent_at = min((a.sent_at for a in held.attempts if a.may_have_run), default=self.now)
        return sent_at + held.request_class.repeat_window - tuning.ARRIVAL

    def _overdue_after(self, server: Server) -> float:
        """Seconds after which an attempt without an answer is more likely lost than late; 0 if unknown.

        Guards what goes to a server that has never answered this router, which in a large fleet meets each
        seldom: it would wait to the end. How long caches take is known from the others.
        """
        usual = self.wait * (1 + server.reported) if server.cache else 0.0
        return server.evidence.overdue_after() or OVERDUE * usual

    def _pause_before_trial(self, origin: Server) -> float:
        return origin.evidence.overdue_after() or tuning.UNKNOWN * self.shortest_aim

    def _quiet(self, attempt: Attempt) -> bool:
        """Whether nothing has come from its server since it was sent, for longer than others take.

        Guards against caches that have only told quickly what they lack: their first hits look overdue; and
        against an origin that is slow, of which a router of many has one answer to wait for: not out of
        reach.
        """
        server = attempt.server
        long = server.cache and self.now - attempt.sent_at >= OVERDUE * self.wait
        return long and server.evidence.quiet_since <= attempt.sent_at

    def _latest_start(self, held: Held, origin: Server | None) -> float:
        """From then on no fetch would likely be back in time; writes need less room, as they store nothing.

        A place that nobody else wants costs nothing: there a fair chance is enough.
        """
        if origin is None:
            return held.until
        if self.leaving is not None and self.leaving.order.origin_unreachable:
            # it may be back soon, and an answer after that is worth more than a refusal now; but not for long
            whole = min(held.request.time_left, held.request_class.aim)
            return held.until - (1 - tuning.LEFT_WAIT) * whole
        if origin.load < tuning.IDLE * origin.limit:
            return held.until - origin.evidence.latencies.quantile(tuning.FAIR_CHANCE)
        return held.until - (1.0 if held.request.write else tuning.FETCH_ROOM) * origin.evidence.usual

    def _has_place(self, origin: Server) -> bool:
        """Whether a fetch may go: below the limit, or as a trial when all that is out may be lost."""
        leaving = self.leaving
        if leaving is not None and leaving.order.origin_unreachable:
            return leaving.origin_trial(self.now)  # guards the rest: each would dial in vain
        if self.now < origin.out_until:
            return False
        if origin.load < origin.limit:
            return True
        return origin.evidence.trial_due(self.now + tuning.ROUNDING, self._pause_before_trial(origin))
