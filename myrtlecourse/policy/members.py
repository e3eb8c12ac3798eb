"""The servers of a router's list: who is known, who may be sent to, and their places on the ring."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from itertools import islice

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning
from myrtlecourse.policy.leaving import Leaving
from myrtlecourse.policy.ring import Ring
from myrtlecourse.policy.sizes import Sizes
from myrtlecourse.policy.slow_start import SlowStart
from myrtlecourse.policy.state import Server


class Members:
    """What a router holds of them."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.out: list[api.Action] = []
        self.leaving: Leaving | None = None  # zones that the fleet has left
        self.servers: dict[str, Server] = {}
        self.banned: set[str] = set()  # by operators, listed or not
        self.returned: dict[str, float] = {}  # when they gave one back, while it may still be cold
        self.caches: dict[str, Server] = {}  # that may be sent to
        self.origins: dict[str, Server] = {}  # the same
        self.failing: set[Server] = set()  # caches that have failed too often in a row
        self.ring = Ring()
        self.sizes = Sizes()
        self.slow_start = SlowStart(now)
        self.kind_sizes: dict[str, float] = {}  # the largest weight seen of a kind, where weights are `live`
        self.unplaced: dict[Server, None] = {}  # whose points are counted otherwise by now
        self.weights: Mapping[str, float] = {}  # how gladly each zone's cache servers are asked
        self.list_failures = 0

    def _take_list(self, event: api.ServerList) -> None:
        """Take a list or its changes; of servers that are already known, what was learned stays.

        Costs what has changed, and for a whole list a look at each entry.
        """
        if event.kind is not api.ListKind.DELTA:
            for i in self.servers.keys() - {e.server for e in event.entries}:
                self._drop(i)
        early = 0
        changed: list[Server] = []
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self._drop(entry.server)
            elif known is None or _restarted(known.entry, entry):  # a new process: nothing learned holds
                changed.append(self._admit(entry, self._forget_server(entry.server)))
                early += entry.start_time > self.now
            elif known.entry != entry:
                known.entry = entry
                changed.append(known)
        if early:
            self.out.append(api.Log(f"list: servers that start in the future, taken as started now: {early}"))
        self._place(changed)
        if self.leaving is not None:
            self._mark_left()

    def _mark(self, name: str) -> None:
        """Set whether a listed server is banned, and give its points to the others, or back to it."""
        if (server := self.servers.get(name)) is not None:
            server.banned = server.cache and name in self.banned
            self._place([server])

    def _mark_left(self) -> None:
        """Nothing new to servers of zones that are left; those of zones that are back begin anew."""
        leaving = self.leaving
        shares = leaving.order.return_shares if leaving is not None else {}
        caches = self.caches.values()
        meant = {s for s in caches if leaving is not None and leaving.meant(s.entry)}
        if len(meant) == len(caches):
            meant.clear()  # with nothing left to go to, staying is no worse
        if all(s in meant or s.entry.zone in shares for s in caches):
            shares = {}  # nor is going back at once
        for server in caches:
            server.share = shares.get(server.entry.zone, 1.0)
            left = server in meant
            if left and not server.left:
                server.left, server.out_until = True, math.inf
            elif server.left and not left:
                server.left, server.failures, server.pause = False, 0, 0.0
                self.failing.discard(server)
                server.out_until = self.now + self.random.random() * tuning.PAUSE  # not all routers at once
                server.limit = min(server.limit, tuning.LIMIT_START)

    def _ask_origin_again(self) -> None:
        """Guards an origin that is back in reach: all routers would ask it for all that they lack at once."""
        for origin in self.origins.values():
            origin.limit = 1.0
            pause = self.random.random() * tuning.RETURN_SPREAD
            origin.out_until = self.now + pause
            self.out.append(api.SetTimer(pause + tuning.ROUNDING, "origin"))

    def _subscribe(self) -> None:
        if self.settings.subscribe:
            self.out.append(api.Subscribe())

    def _ask_list_later(self) -> None:
        """Subscribe again after a doubling, jittered pause, so that routers don't call in step."""
        self.list_failures += 1
        # guards drains: what a pushed list has counts as told at once, any other soon after it is in reach
        longest = tuning.LIST_PAUSE
        if not self.settings.subscribe:
            longest = min(longest, self.settings.drain_grace / 8)
        pause = min(longest, self.settings.fall_window * 2.0 ** (self.list_failures - 2))
        self.out.append(api.SetTimer(pause * self.random.uniform(0.5, 1.0), "list"))
        self.out.append(api.Log(f"list out of reach, {self.list_failures} in a row"))

    def _is_origin(self, entry: api.ServerEntry) -> bool:
        return self.settings.cache_aside and entry.kind == self.settings.origin_kind

    def _admit(self, entry: api.ServerEntry, former: Server | None = None) -> Server:
        """Begin with a server of which nothing is known; a former process of it leaves it its points."""
        origin = self._is_origin(entry)
        # guards against a start that is said to lie ahead: it would count as cold for as long; and against a
        # list that does not know yet of the restart for which operators took it out
        started = max(min(entry.start_time, self.now), self.returned.get(entry.server, 0.0))
        banned = not origin and entry.server in self.banned
        server = self.servers[entry.server] = Server(entry, not origin, started, banned)
        if origin:
            # guards the origin after a mass restart: forty first guesses are many times what it bears
            server.limit = max(1.0, tuning.LIMIT_START * min(1.0, tuning.FEW / self.settings.router_count))
        elif started > 0:
            self.slow_start.began(started, self._cold_time())
        if former is not None:
            self.ring.succeed(former, server)
        return server

    def _cold_time(self) -> float:
        """Seconds after its start in which a cache server is cold.

        Guards the window in which the warm-up ends: what comes in its first part is counted with the rest.
        """
        return self.settings.ramp_time + self.settings.fall_window

    def _drop(self, name: str) -> None:
        server = self._forget_server(name)
        if server is not None:
            self.ring.place(server, 0)

    def _forget_server(self, name: str) -> Server | None:
        """Strike a server out of all books but the ring's."""
        server = self.servers.pop(name, None)
        if server is not None:
            self._retire(server)
        return server

    def _retire(self, server: Server) -> None:
        """A server is not to be sent to."""
        for books in (self.caches, self.origins):
            if books.get(server.entry.server) is server:
                del books[server.entry.server]
        self.failing.discard(server)
        self.unplaced.pop(server, None)
        self.sizes.drop(server)

    def _build_ring(self) -> None:
        """Look at all servers anew, as what they are or count is another thing."""
        for server in self.servers.values():
            self._enter(server)
        self.sizes.settle()
        self.unplaced = dict.fromkeys(self.servers.values())
        self._place_others()

    def _place(self, changed: Iterable[Server]) -> None:
        """Enter servers that have changed in the books, and give them their points.

        Where points are counted otherwise from now on, those of the others follow a few at a time.
        """
        servers = list(changed)
        recount = False
        for server in servers:
            recount = self._enter(server) or recount
        if recount:  # the others of a kind have grown with it
            for server in self.caches.values():
                self._enter(server)
        recount = self.sizes.settle() or recount
        if recount:
            self.unplaced = dict.fromkeys(self.caches.values())
        for server in servers:
            self.unplaced.pop(server, None)
        self.ring.place_all([(server, self.sizes.points(server)) for server in servers])
        self._place_others()

    def _place_others(self) -> None:
        """Guards the event loop: to count the points of thousands anew at once would stop it."""
        for server in list(islice(self.unplaced, tuning.PLACED_AT_ONCE)):
            del self.unplaced[server]
            self.ring.place(server, self.sizes.points(server))
        if self.unplaced:
            self.out.append(api.SetTimer(self.settings.tick, "ring"))

    def _enter(self, server: Server) -> bool:
        """Enter a server where it belongs by now; whether others of its kind count for more with it."""
        name = server.entry.server
        if not server.ready or self.servers.get(name) is not server:
            self._retire(server)
        elif not server.cache:
            self.origins[name] = server
        else:
            self.caches[name] = server
            if server.failures >= tuning.FAILURES:
                self.failing.add(server)
            return self._measure(server)
        return False

    def _measure(self, server: Server) -> bool:
        """A cache server's size: its weight or, where weights are `live`, the largest of its kind.

        Live weights fall with load and come late: on the ring they moved keys with every list.
        """
        weight = size = server.entry.weight
        grown, reported = False, 0.0
        if self.settings.live_weights:
            largest = self.kind_sizes.get(server.entry.kind, 0.0)
            grown = weight > largest > 0
            size = self.kind_sizes[server.entry.kind] = max(largest, weight)
            reported = size / weight - 1 if weight else 0.0
        if self.weights:
            size = (size or 1.0) * self.weights.get(server.entry.zone, 1.0)
        self.sizes.put(server, size, reported)
        return grown

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins.values(), key=lambda s: s.load, default=None)


def _restarted(known: api.ServerEntry, entry: api.ServerEntry) -> bool:
    """Whether an entry tells of a later process than the one known.

    Once the wall clock was stepped a later start may have an earlier time; else that is an old list.
    """
    return (
        entry.listed_start > known.listed_start
        or entry.local_start is not None
        and 0 < entry.listed_start < known.listed_start
    )
