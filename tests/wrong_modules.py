"""Decision modules with one deliberate fault each, which the auditor and the search have to detect."""

from __future__ import annotations

from dataclasses import replace

from myrtlecourse import interface as api
from myrtlecourse.policy import Router


class Repeats(Router):
    """Sends every attempt twice."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        return actions + [a for a in actions if isinstance(a, api.Send)]


class ForgetsDrains(Router):
    """Ignores draining servers in lists."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            event = api.ServerList(event.kind, tuple(e for e in event.entries if e.ready))
        return super().handle(now, event)


class FloodsTheNew(Router):
    """Sends five copies of each read to the server that started last."""

    newest = ""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            started = [e for e in event.entries if e.listed_start and e.ready]
            self.newest = max(started, key=lambda e: e.listed_start).server if started else self.newest
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and not event.write and self.newest:
            actions += [api.Send(event.request, self.newest)] * 5
        return actions


class LosesTimers(Router):
    """Sets no timers."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [a for a in super().handle(now, event) if not isinstance(a, api.SetTimer)]


class NeverGivesUp(Router):
    """Sends no failures to clients."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [a for a in super().handle(now, event) if not isinstance(a, api.Fail)]


class RefusesWhatRuns(Router):
    """Refuses a write that it has just sent."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and event.write:
            actions.append(api.Refuse(event.request))
        return actions


class TakesAllForSafe(Router):
    """Repeats writes as if they were reads."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, admission: api.AdmissionControl | None = None
    ) -> None:
        safe = {n: replace(c, effect=api.Effect.SAFE) for n, c in settings.classes.items()}
        super().__init__(replace(settings, classes=safe), seed, now, admission)


class ForgetsWindows(Router):
    """Repeats a keyed write for as long as its client waits."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, admission: api.AdmissionControl | None = None
    ) -> None:
        wide = {n: replace(c, repeat_window=1e6) for n, c in settings.classes.items()}
        super().__init__(replace(settings, classes=wide), seed, now, admission)


class ForgetsGroups(Router):
    """Treats all servers as one deduplication group."""

    def __init__(
        self, settings: api.Settings, seed: int, now: float, admission: api.AdmissionControl | None = None
    ) -> None:
        joined = {n: replace(c, group=api.DedupGroup.ALL) for n, c in settings.classes.items()}
        super().__init__(replace(settings, classes=joined), seed, now, admission)


WRONG = (
    Repeats,
    ForgetsDrains,
    FloodsTheNew,
    LosesTimers,
    NeverGivesUp,
    RefusesWhatRuns,
    TakesAllForSafe,
    ForgetsWindows,
    ForgetsGroups,
)
