"""Discovery in virtual time: watches, late news, and a service that works through calls in turn."""

from __future__ import annotations

import math
from collections.abc import Callable

from myrtlecourse import interface as api
from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.registry import Entry, Registry
from myrtlecourse.sim.core import Core, Event
from myrtlecourse.sim.routers import SimRouter
from myrtlecourse.sim.servers import HOP


class SimDiscovery:
    """One service behind all routers."""

    def __init__(
        self,
        core: Core,
        registry: Registry,
        lines_a_second: float,
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.core = core
        self.registry = registry
        self.lines_a_second = lines_a_second
        self.observe = observe
        self.watches: dict[str, tuple[SimRouter, int]] = {}  # by router, and the index that it has seen
        self.seen: dict[str, int] = {}  # the latest index of each router
        self.is_away = False
        self.free_at = 0.0
        self.timer: Event | None = None
        for entry in registry.listed.values():
            self._listed(entry)

    def notice(self, at: float, entry: Entry) -> None:
        """From that time on the list says so."""
        self.registry.notice(at, entry)
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.registry.due()) < math.inf:
            self.timer = self.core.call_at(due, self._advance)

    def _listed(self, entry: Entry) -> None:
        self.observe(seen.ListChanged(self.core.now, entry.name, entry.status, max(0.0, entry.since)))

    def _advance(self) -> None:
        self.timer = None
        for entry in self.registry.advance(self.core.now):
            self._listed(entry)
        for router, index in list(self.watches.values()):
            if index < self.registry.index:
                self._tell(router)
        self._schedule()

    def subscribe(self, router: SimRouter) -> None:
        """A router asks, and watches from then on."""
        if router.name in self.watches:
            return
        self.observe(seen.DiscoveryCall(self.core.now, router.name, "begun"))
        if self.is_away:
            self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
            self.core.call_after(HOP, self._failed, router, router.incarnation)
            return
        # the list that a router starts with is the first
        index = self.seen.setdefault(router.name, 1)
        self.watches[router.name] = router, index
        if index < self.registry.index:
            self._tell(router)

    def _failed(self, router: SimRouter, life: int) -> None:
        if router.up and router.incarnation == life:
            router.list_failed()

    def _tell(self, router: SimRouter) -> None:
        """Answer a watch in its turn; what it is told is what stands then."""
        lines = 1 + len(self.registry.after(self.seen[router.name])[1])
        self.free_at = max(self.core.now, self.free_at) + lines / self.lines_a_second
        self.watches[router.name] = router, self.registry.index
        self.core.call_at(self.free_at, self._written, router, router.incarnation)

    def _written(self, router: SimRouter, life: int) -> None:
        if router.name not in self.watches or router.incarnation != life or not router.up:
            return
        whole, entries = self.registry.after(self.seen[router.name])
        if not entries:
            return
        self.seen[router.name] = self.registry.index
        for entry in entries:
            self.observe(
                seen.ListEntrySent(
                    self.core.now, router.name, entry.name, entry.status, max(0.0, entry.since)
                )
            )
        router.list_told(api.ListKind.FULL if whole else api.ListKind.DELTA, entries)

    def away(self, away: bool) -> None:
        """Watches end and calls fail, or are taken again."""
        self.is_away = away
        if away:
            ended, self.watches = list(self.watches.values()), {}
            for router, _ in ended:
                self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
                self.core.call_after(HOP, self._failed, router, router.incarnation)

    def forget(self, router: SimRouter) -> None:
        """A router has ended; its successor has seen the first list."""
        if self.watches.pop(router.name, None) is not None:
            self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
        self.seen.pop(router.name, None)
