"""Discovery in virtual time: a service that answers watches one after another, with a delay for each line."""

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
    """One discovery service, used by all routers."""

    def __init__(
        self,
        core: Core,
        registry: Registry,
        lines_per_second: float,
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.core = core
        self.registry = registry
        self.lines_per_second = lines_per_second
        self.observe = observe
        self.watches: dict[str, tuple[SimRouter, int]] = {}  # router -> itself and the index of its last list
        self.sent_index: dict[str, int] = {}  # router -> the index of the latest list sent to it
        self.is_unavailable = False
        self.busy_until = 0.0
        self.timer: Event | None = None
        for entry in registry.listed.values():
            self._observe_change(entry)

    def notice(self, at: float, entry: Entry) -> None:
        """Schedule a change of the list at a time."""
        self.registry.schedule(at, entry)
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.registry.next_change()) < math.inf:
            self.timer = self.core.call_at(due, self._advance)

    def _observe_change(self, entry: Entry) -> None:
        self.observe(seen.ListChanged(self.core.now, entry.name, entry.status, max(0.0, entry.since)))

    def _advance(self) -> None:
        self.timer = None
        for entry in self.registry.advance(self.core.now):
            self._observe_change(entry)
        for router, index in list(self.watches.values()):
            if index < self.registry.index:
                self._queue_answer(router)
        self._schedule()

    def subscribe(self, router: SimRouter) -> None:
        """Start a router's watch, or fail its call while the service is unavailable."""
        if router.name in self.watches:
            return
        self.observe(seen.DiscoveryCall(self.core.now, router.name, "begun"))
        if self.is_unavailable:
            self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
            self.core.call_after(HOP, self._report_failure, router, router.incarnation)
            return
        # a router starts with the list of index 1
        index = self.sent_index.setdefault(router.name, 1)
        self.watches[router.name] = router, index
        if index < self.registry.index:
            self._queue_answer(router)

    def _report_failure(self, router: SimRouter, incarnation: int) -> None:
        if router.up and router.incarnation == incarnation:
            router.on_list_failed()

    def _queue_answer(self, router: SimRouter) -> None:
        """Queue the answer to a watch behind earlier ones; its content is read when it is written."""
        lines = 1 + len(self.registry.entries_after(self.sent_index[router.name])[1])
        self.busy_until = max(self.core.now, self.busy_until) + lines / self.lines_per_second
        self.watches[router.name] = router, self.registry.index
        self.core.call_at(self.busy_until, self._send_answer, router, router.incarnation)

    def _send_answer(self, router: SimRouter, incarnation: int) -> None:
        if router.name not in self.watches or router.incarnation != incarnation or not router.up:
            return
        is_full, entries = self.registry.entries_after(self.sent_index[router.name])
        if not entries:
            return
        self.sent_index[router.name] = self.registry.index
        for entry in entries:
            self.observe(
                seen.ListEntrySent(
                    self.core.now, router.name, entry.name, entry.status, max(0.0, entry.since)
                )
            )
        router.on_list(api.ListKind.FULL if is_full else api.ListKind.DELTA, entries)

    def set_unavailable(self, unavailable: bool) -> None:
        """End all watches and fail all calls, or accept calls again."""
        self.is_unavailable = unavailable
        if unavailable:
            ended, self.watches = list(self.watches.values()), {}
            for router, _ in ended:
                self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
                self.core.call_after(HOP, self._report_failure, router, router.incarnation)

    def remove_router(self, router: SimRouter) -> None:
        """Remove a router that has ended; its successor starts with the first list."""
        if self.watches.pop(router.name, None) is not None:
            self.observe(seen.DiscoveryCall(self.core.now, router.name, "failed"))
        self.sent_index.pop(router.name, None)
