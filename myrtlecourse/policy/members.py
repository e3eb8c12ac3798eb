"""The servers of a router's list: who is known, who may be sent to, and their places on the ring."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning
from myrtlecourse.policy.leaving import Leaving
from myrtlecourse.policy.ring import Ring
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
        self.ring = Ring()
        self.weights: Mapping[str, float] = {}  # how gladly each zone's cache servers are asked
        self.list_failures = 0
        self._build_ring()

    def _take_list(self, event: api.ServerList) -> None:
        """Take a list or its changes; of servers that are already known, what was learned stays."""
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

    def _mark(self, name: str) -> None:
        """Set whether a listed server is banned, and give its points to the others, or back to it."""
        if (server := self.servers.get(name)) is not None:
            server.banned = server.cache and name in self.banned
            self._build_ring()

    def _mark_left(self) -> None:
        """Nothing new to servers of zones that are left; those of zones that are back begin anew."""
        leaving = self.leaving
        shares = leaving.order.shares if leaving is not None else {}
        meant = {s for s in self.caches if leaving is not None and leaving.meant(s.entry)}
        if len(meant) == len(self.caches):
            meant.clear()  # with nothing left to go to, staying is no worse
        if all(s in meant or s.entry.zone in shares for s in self.caches):
            shares = {}  # nor is going back at once
        for server in self.caches:
            server.share = shares.get(server.entry.zone, 1.0)
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
        self.ring.build(self.servers.values(), self.caches, self.settings.live_weights, self.weights)

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins, key=lambda s: s.load, default=None)
