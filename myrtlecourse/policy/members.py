"""The listed servers: which are known, which may get requests, and their points on the hash ring."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from itertools import islice

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning
from myrtlecourse.policy.ring import Ring
from myrtlecourse.policy.sizes import Sizes
from myrtlecourse.policy.slow_start import SlowStart
from myrtlecourse.policy.state import Server
from myrtlecourse.policy.zone_exit import ZoneExitControl


class Members:
    """The membership state of a router."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[api.Action] = []
        # set while the fleet has excluded zones, or this router can't reach the origin
        self.zone_exit: ZoneExitControl | None = None
        self.servers: dict[str, Server] = {}  # all listed servers by name
        self.banned: set[str] = set()  # names of banned servers, listed or not
        self.unbanned_at: dict[str, float] = {}  # times at which bans ended, while servers may be cold
        self.caches: dict[str, Server] = {}  # cache servers that may get requests
        self.origins: dict[str, Server] = {}  # origin servers that may get requests
        self.failing: set[Server] = set()  # caches with too many consecutive failures
        self.ring = Ring()
        self.sizes = Sizes()
        self.slow_start = SlowStart(now)
        self.largest_by_kind: dict[str, float] = {}  # largest weight seen per kind, where weights are live
        self.stale_points: dict[Server, None] = {}  # servers whose number of points is out of date
        self.zone_weights: Mapping[str, float] = {}  # preference for each zone's cache servers
        self.list_failures = 0  # consecutive attempts to get the list that failed

    def _apply_list(self, event: api.ServerList) -> None:
        """Apply a list or changes to it; what was learned of known servers stays.

        The cost depends on what has changed, plus one pass over the entries of a full list.
        """
        if event.kind is not api.ListKind.DELTA:
            for name in self.servers.keys() - {e.server for e in event.entries}:
                self._remove_server(name)
        future_starts = 0
        changed: list[Server] = []
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self._remove_server(entry.server)
            elif known is None or _restarted(known.entry, entry):  # a new process: what was learned is void
                changed.append(self._add_server(entry, self._forget_server(entry.server)))
                future_starts += entry.start_time > self.now
            elif known.entry != entry:
                known.entry = entry
                changed.append(known)
        if future_starts:
            self.actions.append(
                api.Log(
                    f"list: servers with a start time in the future, treated as started now: {future_starts}"
                )
            )
        self._place_servers(changed)
        if self.zone_exit is not None:
            self._apply_zone_exit()

    def _update_ban(self, name: str) -> None:
        """Update whether a listed server is banned, and remove or restore its points."""
        if (server := self.servers.get(name)) is not None:
            server.banned = server.is_cache and name in self.banned
            self._place_servers([server])

    def _apply_zone_exit(self) -> None:
        """Exclude the servers of zones that the fleet excludes, and readmit those of returned zones."""
        zone_exit = self.zone_exit
        shares = zone_exit.current.return_shares if zone_exit is not None else {}
        caches = self.caches.values()
        excluded = {s for s in caches if zone_exit is not None and zone_exit.excludes(s.entry)}
        if len(excluded) == len(caches):
            excluded.clear()  # no server outside these zones could take their requests
        if all(s in excluded or s.entry.zone in shares for s in caches):
            shares = {}  # no other server could take the requests that a gradual return withholds
        for server in caches:
            server.ring_share = shares.get(server.entry.zone, 1.0)
            now_excluded = server in excluded
            if now_excluded and not server.zone_excluded:
                server.zone_excluded, server.excluded_until = True, math.inf
            elif server.zone_excluded and not now_excluded:
                server.zone_excluded, server.consecutive_failures, server.exclusion_time = False, 0, 0.0
                self.failing.discard(server)
                # jittered, so that not all routers send requests to the server again at once
                server.excluded_until = self.now + self.random.random() * tuning.EXCLUSION_TIME
                server.limit = min(server.limit, tuning.INITIAL_LIMIT)

    def _resume_origin(self) -> None:
        """Resume fetches from the origin slowly: otherwise all routers would send their misses at once."""
        for origin in self.origins.values():
            origin.limit = 1.0
            pause = self.random.random() * tuning.ORIGIN_RETURN_SPREAD
            origin.excluded_until = self.now + pause
            self.actions.append(api.SetTimer(pause + tuning.TIMER_ROUNDING, "origin"))

    def _subscribe(self) -> None:
        if self.settings.subscribe:
            self.actions.append(api.Subscribe())

    def _schedule_list_retry(self) -> None:
        """Retry the list after a doubling, jittered pause, so that routers don't call at the same time."""
        self.list_failures += 1
        # Drains depend on the list. Changes to a list that is sent on subscription bind at once; others have
        # to bind soon after the discovery service is reachable again.
        longest = tuning.MAX_LIST_RETRY_PAUSE
        if not self.settings.subscribe:
            longest = min(longest, self.settings.drain_grace / 8)
        pause = min(longest, self.settings.fall_window * 2.0 ** (self.list_failures - 2))
        self.actions.append(api.SetTimer(pause * self.random.uniform(0.5, 1.0), "list"))
        self.actions.append(api.Log(f"list unavailable, {self.list_failures} consecutive failures"))

    def _is_origin(self, entry: api.ServerEntry) -> bool:
        """Return whether an entry is an origin server, from which routers fetch misses."""
        return self.settings.cache_aside and entry.kind == self.settings.origin_kind

    def _add_server(self, entry: api.ServerEntry, former: Server | None = None) -> Server:
        """Add a server of which nothing is known; it takes over the points of its former process."""
        origin = self._is_origin(entry)
        # A server with a start time in the future would count as cold until then and longer. And the list may
        # not show yet the restart during a ban that operators have lifted.
        started = max(min(entry.start_time, self.now), self.unbanned_at.get(entry.server, 0.0))
        banned = not origin and entry.server in self.banned
        server = self.servers[entry.server] = Server(entry, not origin, started, banned)
        if origin:
            # protects the origin after a mass restart: the initial limits of forty routers are many times its
            # capacity
            server.limit = max(
                1.0, tuning.INITIAL_LIMIT * min(1.0, tuning.FEW_ROUTERS / self.settings.router_count)
            )
        elif started > 0:
            self.slow_start.server_started(started, self._cold_duration())
        if former is not None:
            self.ring.transfer_points(former, server)
        return server

    def _cold_duration(self) -> float:
        """Return the seconds after its start for which a cache server counts as cold.

        This includes the window in which the warm-up ends, as a server counts all requests of a window
        together.
        """
        return self.settings.ramp_time + self.settings.fall_window

    def _remove_server(self, name: str) -> None:
        server = self._forget_server(name)
        if server is not None:
            self.ring.set_points(server, 0)

    def _forget_server(self, name: str) -> Server | None:
        """Remove a server from all collections but the ring, and return it, if it is known."""
        server = self.servers.pop(name, None)
        if server is not None:
            self._exclude(server)
        return server

    def _exclude(self, server: Server) -> None:
        """Remove a server from those that may get requests."""
        for group in (self.caches, self.origins):
            if group.get(server.entry.server) is server:
                del group[server.entry.server]
        self.failing.discard(server)
        self.stale_points.pop(server, None)
        self.sizes.remove(server)

    def _rebuild_ring(self) -> None:
        """Classify and place all servers again, after a change of settings or of zone preferences."""
        for server in self.servers.values():
            self._classify(server)
        self.sizes.refresh()
        self.stale_points = dict.fromkeys(self.servers.values())
        self._place_stale()

    def _place_servers(self, changed: Iterable[Server]) -> None:
        """Classify changed servers and set their points.

        If the unit of points has changed, the other servers follow in small batches.
        """
        servers = list(changed)
        recount = False
        for server in servers:
            recount = self._classify(server) or recount
        if recount:  # the sizes of others of its kind have grown, too
            for server in self.caches.values():
                self._classify(server)
        recount = self.sizes.refresh() or recount
        if recount:
            self.stale_points = dict.fromkeys(self.caches.values())
        for server in servers:
            self.stale_points.pop(server, None)
        self.ring.set_all_points([(server, self.sizes.points(server)) for server in servers])
        self._place_stale()

    def _place_stale(self) -> None:
        """Place a batch of servers with outdated points; thousands at once would block the event loop."""
        for server in list(islice(self.stale_points, tuning.PLACEMENT_BATCH)):
            del self.stale_points[server]
            self.ring.set_points(server, self.sizes.points(server))
        if self.stale_points:
            self.actions.append(api.SetTimer(self.settings.tick, "ring"))

    def _classify(self, server: Server) -> bool:
        """Add a server to the caches or the origins, or exclude it.

        Return whether the sizes of other servers of its kind have grown, too.
        """
        name = server.entry.server
        if not server.ready or self.servers.get(name) is not server:
            self._exclude(server)
        elif not server.is_cache:
            self.origins[name] = server
        else:
            self.caches[name] = server
            if server.consecutive_failures >= tuning.EXCLUSION_FAILURES:
                self.failing.add(server)
            return self._update_size(server)
        return False

    def _update_size(self, server: Server) -> bool:
        """Set a cache server's size: its weight or, where weights are live, the largest weight of its kind.

        Live weights fall with load and arrive late: used on the ring, they would move keys with every list.
        Return whether the largest weight has grown, so that the sizes of other servers are out of date.
        """
        weight = size = server.entry.weight
        grown, reported = False, 0.0
        if self.settings.live_weights:
            largest = self.largest_by_kind.get(server.entry.kind, 0.0)
            grown = weight > largest > 0
            size = self.largest_by_kind[server.entry.kind] = max(largest, weight)
            reported = size / weight - 1 if weight else 0.0
        if self.zone_weights:
            size = (size or 1.0) * self.zone_weights.get(server.entry.zone, 1.0)
        self.sizes.update(server, size, reported)
        return grown

    def _best_origin(self) -> Server | None:
        """Return the origin server with the fewest own attempts in flight."""
        return min(self.origins.values(), key=lambda s: s.in_flight, default=None)


def _restarted(known: api.ServerEntry, entry: api.ServerEntry) -> bool:
    """Return whether an entry shows a later process than the known one.

    After a step of the wall clock, a later start may be listed with an earlier time; this is assumed where
    the host's clock is another one (`local_start`). Otherwise an earlier time means that the list is old.
    """
    return (
        entry.listed_start > known.listed_start
        or entry.local_start is not None
        and 0 < entry.listed_start < known.listed_start
    )
