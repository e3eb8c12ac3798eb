"""Drives one router step by step and checks the four rules after each action.

The messages of failed checks name the rule. Rule 1: each request gets one final answer in time. Rule 2:
requests are repeated only as their class permits. Rule 3: drained and banned servers get no requests.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from myrtlecourse import interface as api
from myrtlecourse.policy import Router

READ = api.RequestClass("read", aim=1.0)
KEYED = api.RequestClass("keyed", 1.0, api.Effect.KEYED, api.DedupGroup.ALL, repeat_window=1.5, value=5.0)
ONCE = api.RequestClass("once", 1.0, api.Effect.UNSAFE, value=5.0)
NEVER_RAN = {api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.NOT_SENT, api.Status.MISS}


def settings(**changes: Any) -> api.Settings:
    base = api.Settings(
        classes={c.name: c for c in (READ, KEYED, ONCE)}, hedging=True, may_cancel=True, max_attempts=4
    )
    return replace(base, **changes)


def entry(server: str, **fields: Any) -> api.ServerEntry:
    fields.setdefault("weight", 1.0)
    return api.ServerEntry(server, **fields)


class Driver:
    """A router with a virtual clock, and what its clients, its servers and the rules see of it."""

    def __init__(self, conf: api.Settings, seed: int = 1, make: type[Router] = Router) -> None:
        self.conf = conf
        self.now = 100.0
        self.router = make(conf, seed, self.now)
        self.open: dict[str, api.Request] = {}
        self.settings_at_start: dict[str, api.Settings] = {}  # by request
        self.banned: set[str] = set()
        self.due: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.sends: dict[str, list[str]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.state: dict[tuple[str, int], api.Status | None] = {}
        self.expiry: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, str]] = []
        self.listed: dict[str, api.ServerEntry] = {}
        self.last: list[api.Action] = []

    def feed(self, event: api.Event) -> list[api.Action]:
        self.last = self.router.handle(self.now, event)
        for action in self.last:
            self.check(action)
        return self.last

    # Checks of actions

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert 0 <= action.delay < 4260 and 1 <= len(action.timer) <= 64
            self.timers.append((self.now + action.delay, action.timer))
        elif isinstance(action, api.Cancel):
            assert (action.request, action.attempt) in self.state, "cancels an attempt that was never made"
        elif isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.Refuse):
            self.check_refusal(action.request)
            self.finish(action.request, "refused")
        elif isinstance(action, api.Fail):
            self.finish(action.request, "failed")

    def check_send(self, action: api.Send) -> None:
        name = action.request
        assert name in self.open, f"rule 1: sends for {name}, which is ended or unknown"
        target = self.listed.get(action.server)
        assert target is not None and target.state is api.State.READY, "rule 3: sends to a drained server"
        assert action.server not in self.banned, "rule 3: sends to a banned server"
        conf = self.settings_at_start[name]
        kind = conf.classes[self.open[name].request_class]
        earlier = self.sends.setdefault(name, [])
        assert len(earlier) < conf.max_attempts, "more attempts than allowed"
        ran = [i for i in range(len(earlier)) if self.state[name, i] not in NEVER_RAN]
        outstanding = [i for i in ran if self.state[name, i] is None]
        assert conf.hedging or not outstanding, "rule 2: two copies out at once"
        if ran and kind.effect is not api.Effect.SAFE:
            assert kind.effect is api.Effect.KEYED, "rule 2: an unsafe request sent again"
            first = min(self.sent_at[name][i] for i in ran)
            assert self.now <= first + kind.repeat_window, "rule 2: a keyed request sent after its window"
            for i in ran:
                other = self.listed.get(earlier[i])
                same = kind.group is api.DedupGroup.ALL or (
                    other is not None
                    and (
                        other.zone == target.zone
                        if kind.group is api.DedupGroup.ZONE
                        else other.cell == target.cell
                    )
                )
                assert same, "rule 2: a keyed request sent outside its group"
        self.state[name, len(earlier)] = None
        limit = self.due[name] if action.timeout is None else min(self.due[name], self.now + action.timeout)
        self.expiry[name, len(earlier)] = limit
        earlier.append(action.server)
        self.sent_at.setdefault(name, []).append(self.now)

    def check_refusal(self, name: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        kind = self.settings_at_start[name].classes[self.open[name].request_class]
        ran = [i for i in range(len(self.sends.get(name, []))) if self.state[name, i] not in NEVER_RAN]
        if ran and kind.effect is not api.Effect.SAFE:
            harmless = kind.effect is api.Effect.KEYED and kind.group is api.DedupGroup.ALL
            assert harmless, "rule 2: a refusal of what may have run"

    def finish(self, name: str, how: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        del self.open[name]
        self.ended[name] = how

    # Events

    def list(self, *entries: api.ServerEntry, kind: api.ListKind = api.ListKind.FULL) -> list[api.Action]:
        if kind in (api.ListKind.FULL, api.ListKind.SAVED):
            gone = api.State.GONE
            self.listed = {s: replace(e, state=gone) for s, e in self.listed.items()}
        self.listed.update({e.server: e for e in entries})
        return self.feed(api.ServerList(kind, entries))

    def offline(self, server: str) -> None:
        self.banned.add(server)
        self.feed(api.ServerBanned(server))

    def online(self, server: str) -> None:
        self.banned.discard(server)
        self.feed(api.BanLifted(server, self.now))

    def retune(self, conf: api.Settings) -> None:
        self.conf = conf
        self.feed(api.SettingsChanged(conf))

    def request(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """Send a request. Returns the server of its first attempt, if there is one."""
        fields.setdefault("request_class", "read")
        fields.setdefault("time_left", 2.0)
        event = api.Request(name, **fields)
        self.open[name] = event
        self.settings_at_start[name] = self.conf
        self.due[name] = self.now + event.time_left
        self.feed(event)
        sent = self.sends.get(name, [None])[0]
        if finish:
            self.ok(name)
        return sent

    def end(
        self, name: str, status: api.Status, attempt: int | None = None, latency: float = 0.05
    ) -> str | None:
        """End an attempt. Returns the server of the next attempt, if there is one."""
        count = len(self.sends[name])
        number = count - 1 if attempt is None else attempt
        assert self.state[name, number] is None
        self.state[name, number] = status
        closed = status is api.Status.OK or name not in self.open
        if closed and name in self.open:
            self.finish(name, "served")
        self.feed(api.Outcome(name, number, status, closed, latency))
        return self.sends[name][-1] if len(self.sends[name]) > count else None

    def ok(self, name: str) -> None:
        self.end(name, api.Status.OK)

    def wait(self, seconds: float) -> None:
        """Advance the clock, with timers and time-outs in their order."""
        until = self.now + seconds
        while True:
            due = [(t, "", n, None) for t, n in self.timers]
            due += [(t, n, "", i) for (n, i), t in self.expiry.items() if self.state[n, i] is None]  # type: ignore[misc]
            due.sort(key=lambda d: d[:3])
            if not due or due[0][0] > until:
                break
            at, name, timer, attempt = due[0]
            self.now = max(self.now, at)
            if name:
                self.end(name, api.Status.TIMEOUT, attempt, 1.0)
            else:
                self.timers.remove((at, timer))
                self.feed(api.TimerFired(timer))
            self.check_overdue()
        self.now = until
        self.check_overdue()

    def check_overdue(self) -> None:
        late = [n for n in self.open if self.now > self.due[n] + 0.02]
        assert not late, f"rule 1: no answer in time for {late}"
