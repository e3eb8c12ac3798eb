"""Judges the rules from what clients, cache servers, the origin and discovery observed; no I/O and no clock.

The auditor doesn't depend on a router's code, only on its visible behaviour. It reads observations in the
order of their times and forgets a request once it can no longer break a rule, so that memory stays bounded.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Annotated, Any

from msgspec import Meta, Struct

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.duties import DutyRules
from myrtlecourse.audit.origin import ORIGIN, OriginRule
from myrtlecourse.audit.zones import ZoneRules

Time = Annotated[float, Meta(ge=0.0, le=86_400.0)]  # seconds
Positive = Annotated[float, Meta(gt=0.0, le=86_400.0)]
MAX_NAMED_BREACHES = 200  # breaches reported in detail; further ones are only counted
REQUEST_MEMORY = 60.0  # seconds for which a request is kept beyond the longest repeat window
SOCKET_SLACK = 0.05  # seconds that delays in sockets add to a limit
WAKE_UP_SLACK = 0.5  # seconds that a resumed process needs to read what arrived while it was stopped
SEND_AFTER_END = 0.1  # seconds after a request's end within which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which the deadline sent to a server may exceed the client's
# Overloading a cold server is a breach if routers that knew of its start sent this share of the work or more.
INFORMED_SHARE = 2 / 3

RULES = {
    "lost": "no request is lost",
    "late": "no request is lost",
    "answered_twice": "no request is lost",
    "foreign": "no request is lost",
    "crossed": "no request is lost",
    "sent_after_end": "no request is lost",
    "told_too_long": "no request is lost",
    "ran_twice": "nothing takes effect twice",
    "repeated": "nothing takes effect twice",
    "refused_after_send": "nothing takes effect twice",
    "sent_to_drained": "drains are kept",
    "sent_to_banned": "drains are kept",
    "cold_pushed": "no cold server is pushed over",
    "left_alone": "zones are left as a fleet",
    "stayed": "zones are left as a fleet",
    "spilled": "zones are left as a fleet",
    "origin_over": "the origin is not asked for more than it bears",
    "two_obeyed": "duties are one router's",
    "stale_obeyed": "duties are one router's",
    "done_twice": "duties are one router's",
    "nobody_too_long": "duties are one router's",
}


class Rules(Struct, forbid_unknown_fields=True, frozen=True):
    """The limits of the rules. Times are in seconds."""

    answer_slack: Time = 0.07  # an answer this long after its deadline does not count as late yet
    drain_grace: Time = 2.0  # a router may still send for this long after it learnt of a drain or ban
    # load that makes a cold cache server collapse, as a multiple of its capacity
    fall_multiple: Annotated[float, Meta(ge=1.0, le=1000.0)] = 4.0
    fall_window: Positive = 1.0  # the window over which that load is measured
    must_ask: Positive = 10.0  # a router without a request to discovery for so long counts as informed
    # attempts a second that the fleet may make at a zone that has long been unreachable; 0: not judged
    zone_dials: Time = 0.0
    # attempts of a router after which it must have reached each zone; higher if routers prefer some zones
    zone_sends: Positive = 60.0
    duty_gap: Time = 0.0  # a duty that had a holder may be without one for this long; 0: not judged
    origin_rate: Time = 0.0  # fetches and writes that the origin can bear in any second; 0: not judged
    zone_spill: Time = 0.0  # factor by which the load of surviving zones may grow; 0: not judged


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule: the kind, the time (seconds after the first observation) and who was involved."""

    what: str
    at: float
    router: str
    request: str = ""
    box: str = ""
    detail: str = ""


@dataclass(slots=True)
class Attempt:
    """An attempt that a cache server or the origin received."""

    at: float
    server: str
    group: str
    never_ran: bool = False


@dataclass(slots=True)
class RequestHistory:
    """What was observed of one request."""

    router: str
    first_seen: float
    effect: str = ""
    key: str = ""
    deadline: float | None = None  # None if the client's side was not observed
    ended: float | None = None  # when the request was answered, or its client left
    answers: int = 0
    out_of_bounds: bool = False  # whether it was repeated although its class forbids that
    executions: int = 0
    attempts: list[Attempt] = field(default_factory=list)

    def may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have been executed, if any."""
        return next((a for a in self.attempts if not a.never_ran), None)


@dataclass(slots=True)
class RouterKnowledge:
    """What one router knows of the server list and of bans, or is assumed to know."""

    # by cache server: when the router learnt that it drains
    drains: dict[str, float] = field(default_factory=dict)
    # by cache server: when the router acknowledged the operators' ban, whatever the list says
    bans: dict[str, float] = field(default_factory=dict)
    # by cache server: the start time that the router knows from the list
    known_starts: dict[str, float] = field(default_factory=dict)
    discovery_calls: int = 0  # number of open requests to discovery
    idle_since: float = -math.inf  # when the last request to discovery ended, if none is open
    last_failed: bool = False  # the last request to discovery failed
    up: float = -math.inf  # when it was started
    killed: float | None = None  # when its killed process ended; infinite while it is ending

    def learn(self, at: float, server: str, status: str, since: float) -> None:
        """Record that the router knows a list entry since a time."""
        self.known_starts[server] = since
        if status == "in_service":
            self.drains.pop(server, None)
        else:
            self.drains.setdefault(server, at)


class Auditor:
    """Judges observations one by one and collects the breaches."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.requests: OrderedDict[str, RequestHistory] = OrderedDict()
        # by idempotency key: when the write was executed, and for which request
        self.executions: OrderedDict[str, tuple[float, str]] = OrderedDict()
        self.routers: dict[str, RouterKnowledge] = {}
        self.listed: dict[str, seen.ListChanged] = {}
        self.started: dict[str, float] = {}
        self.window = 0.0  # the longest repeat window observed, in seconds
        self.counts: Counter[str] = Counter()
        self.breaches: list[Breach] = []
        # by rule: the highest share of its limit that was reached, at most 1
        self.margins: dict[str, float] = {}
        self.seen: Counter[str] = Counter()
        self.began: float | None = None
        self.now = 0.0
        # by router: start and end of each period in which its process was stopped
        self.stops: dict[str, list[tuple[float, float]]] = {}
        self.zones = ZoneRules(
            rules.zone_sends, rules.zone_dials, rules.zone_spill, self._report_subject_breach
        )
        self.duties = DutyRules(rules.duty_gap, self._report_subject_breach)
        self.origin = OriginRule(rules.origin_rate, self._report_origin_breach)

    def judge(self, event: seen.Observation) -> None:
        """Judge one observation; it may not be much older than those before it."""
        self.began = event.at if self.began is None else self.began
        self.now = max(self.now, event.at)
        self.seen[str(event.__struct_config__.tag)] += 1
        self.zones.judge(event)
        self.duties.judge(event)
        self.origin.judge(event)
        match event:
            case seen.RequestSent():
                history = self._history(event.id, event.router, event.at)
                history.deadline, history.effect, history.key = event.deadline, event.effect, event.key
            case seen.RequestAnswered():
                self._judge_answer(event)
            case seen.RequestUnanswered():
                self._judge_unanswered(event)
            # bytes before the first request of a connection can't be a second answer
            case seen.UnexpectedBytes() if event.after:
                detail = "bytes without a request"
                self._report_breach("answered_twice", event.at, event.router, event.after, detail=detail)
            case seen.AttemptReceived():
                self._judge_attempt(event)
            case seen.ServerStarted():
                self.started[event.box] = event.at
            case seen.ColdServerOverloaded():
                self._judge_overload(event)
            case seen.NeverRan() | seen.SecondAnswerSent() | seen.WriteExecuted():
                self._judge_end_of_attempt(event)
            case _:
                self._judge_fleet_event(event)
        self._forget()

    def _judge_end_of_attempt(
        self, event: seen.NeverRan | seen.SecondAnswerSent | seen.WriteExecuted
    ) -> None:
        """Judge what a server did with an attempt."""
        match event:
            case seen.NeverRan():
                for attempt in reversed(self._history(event.id, "", event.at).attempts):
                    if attempt.server == event.box:
                        attempt.never_ran = True
                        break
            case seen.SecondAnswerSent() if event.crossed:
                detail = "the next request was written before a second answer could show"
                self._report_breach("crossed", event.at, event.router, event.id, event.box, detail)
            case seen.WriteExecuted():
                self._judge_write(event)

    def _judge_fleet_event(self, event: seen.Observation) -> None:
        """Handle observations of discovery, and of routers that start, stop or acknowledge bans."""
        match event:
            case seen.ListChanged():
                self.listed[event.box] = event
            case seen.ListEntrySent():
                self._router(event.router).learn(event.at, event.box, event.status, event.since)
            case seen.DiscoveryCall():
                router = self._router(event.router)
                if event.how == "begun":
                    self._assume_informed(router, event.at)
                    router.discovery_calls += 1
                else:
                    router.discovery_calls = max(0, router.discovery_calls - 1)
                    router.idle_since = event.at
                    router.last_failed = event.how == "failed"
            case seen.BanAcknowledged():
                bans = self._router(event.router).bans
                if event.back:
                    bans.pop(event.box, None)
                else:
                    bans.setdefault(event.box, event.at)
            case seen.RouterUp():
                killed = self._router(event.router).killed
                killed = None if killed is None else min(killed, event.at)
                self.routers[event.router] = RouterKnowledge(idle_since=event.at, up=event.at, killed=killed)
            case seen.RouterStalled():
                self.stops.setdefault(event.router, []).append((event.at, event.at + event.seconds))
            case seen.RouterDown():
                self._router(event.router).killed = math.inf if event.killed else None
            case seen.RouterExited():
                self._router(event.router).killed = event.at

    def _router(self, name: str) -> RouterKnowledge:
        return self.routers.setdefault(name, RouterKnowledge(idle_since=self.now))

    def _history(self, request: str, router: str, at: float) -> RequestHistory:
        history = self.requests.get(request)
        if history is None:
            history = self.requests[request] = RequestHistory(router, at)
        return history

    def _assume_informed(self, router: RouterKnowledge, now: float) -> None:
        """Assume that a router knows the list once it has had no request to discovery for too long.

        A router must ask discovery within `must_ask` seconds, and within four times as long after a failure.
        """
        limit = self.rules.must_ask * (4 if router.last_failed else 1)
        if router.discovery_calls or now - router.idle_since < limit:
            return
        for server, entry in self.listed.items():
            since = max(entry.at, router.idle_since) + limit
            if since <= now and (
                router.known_starts.get(server) != entry.since or entry.status != "in_service"
            ):
                router.learn(since, server, entry.status, entry.since)

    def _judge_attempt(self, event: seen.AttemptReceived) -> None:
        """Judge an attempt that reached a cache server or the origin."""
        self.window = max(self.window, event.window)
        router = self._router(event.router)
        self._assume_informed(router, event.began)
        known = router.drains.get(event.box)
        if known is not None:
            self._update_margin("sent_to_drained", event.began - known, self.rules.drain_grace)
        if known is not None and event.began > known + self.rules.drain_grace + SOCKET_SLACK:
            late = f"{event.began - known:.3f} s after the router learnt of it"
            self._report_breach("sent_to_drained", event.began, event.router, event.id, event.box, late)
        banned = router.bans.get(event.box)
        if banned is not None and event.began > banned + self.rules.drain_grace + SOCKET_SLACK:
            late = f"{event.began - banned:.3f} s after the router acknowledged the ban"
            self._report_breach("sent_to_banned", event.began, event.router, event.id, event.box, late)
        history = self._history(event.id, event.router, event.at)
        history.effect = history.effect or event.effect
        ended = history.ended is not None and not self._was_stopped(history, event.began - WAKE_UP_SLACK)
        slack = min(self.rules.answer_slack, SEND_AFTER_END)
        if history.ended is not None and ended and event.began > history.ended + slack:
            after = f"{event.began - history.ended:.3f} s after the request ended"
            self._report_breach("sent_after_end", event.began, event.router, event.id, event.box, after)
        self._judge_deadline(history, event)
        earlier = history.may_have_run()
        if earlier is not None and event.effect != "free":
            self._update_margin("repeated", event.began - earlier.at, event.window)
            detail = ""
            if event.effect == "single_shot":
                detail = f"it may have been executed at {earlier.server}"
            elif event.began > earlier.at + event.window + SOCKET_SLACK:
                detail = (
                    f"{event.began - earlier.at:.3f} s after it may have been executed at {earlier.server}"
                )
            elif event.group != earlier.group:
                detail = f"outside the group of {earlier.server}, where it may have been executed"
            if detail:
                history.out_of_bounds = True
                self._report_breach("repeated", event.began, event.router, event.id, event.box, detail)
        history.attempts.append(Attempt(event.at, event.box, event.group))

    def _judge_deadline(self, history: RequestHistory, event: seen.AttemptReceived) -> None:
        """Judge whether the deadline sent to a server exceeds the client's deadline."""
        if not event.until or history.deadline is None or self._was_stopped(history, event.began):
            return
        over = event.until - history.deadline
        self._update_margin("told_too_long", over, DEADLINE_SLACK)
        if over > DEADLINE_SLACK + SOCKET_SLACK:
            detail = f"{over:.3f} s later than the deadline of its client"
            self._report_breach("told_too_long", event.began, event.router, event.id, event.box, detail)

    def _judge_write(self, event: seen.WriteExecuted) -> None:
        history = self._history(event.id, "", event.at)
        history.executions += 1
        before = self.executions.get(event.key) if event.key else None
        if before is not None and before[1] == event.id and not history.out_of_bounds:
            # Both attempts were allowed: a frozen server executed its copy after the key had expired.
            self.seen["ran_when_forgotten"] += 1
        elif history.executions > 1 or before is not None:
            earlier_run = (
                f"before at {before[0] - (self.began or 0):.3f} s, as {before[1]}" if before else "before"
            )
            self._report_breach("ran_twice", event.at, history.router, event.id, event.box, earlier_run)
        if event.key:
            self.executions[event.key] = event.at, event.id

    def _judge_answer(self, event: seen.RequestAnswered) -> None:
        history = self._history(event.id, "", event.at)
        arrived = event.arrived or event.at  # its client may have read the answer later
        history.answers += 1
        if history.answers > 1:
            self._report_breach("answered_twice", event.at, history.router, event.id)
        if history.deadline is not None:
            allowed_time = history.deadline + self.rules.answer_slack - history.first_seen
            self._update_margin("late", arrived - history.first_seen, allowed_time)
        overdue = history.deadline is not None and arrived > history.deadline + self.rules.answer_slack
        if history.deadline is not None and overdue and not self._was_stopped(history, arrived):
            late = f"{arrived - history.deadline:.3f} s after its deadline"
            self._report_breach("late", arrived, history.router, event.id, detail=late)
        if event.how == "served" and not event.made:
            self._report_breach(
                "foreign",
                event.at,
                history.router,
                event.id,
                detail="the answer belongs to no attempt of this request",
            )
        executed = history.may_have_run()
        everywhere = history.effect == "guarded" and executed is not None and executed.group == "all"
        if (
            event.how == "refused"
            and history.effect in ("guarded", "single_shot")
            and executed
            and not everywhere
        ):
            detail = "refused, though it may have been executed"
            self._report_breach(
                "refused_after_send", event.at, history.router, event.id, executed.server, detail
            )
        if history.ended is None:
            history.ended = arrived

    def _judge_unanswered(self, event: seen.RequestUnanswered) -> None:
        history = self._history(event.id, "", event.at)
        history.ended = event.at
        if event.how == "left":
            return
        killed = self._router(history.router).killed
        if killed is not None and history.first_seen <= killed + SOCKET_SLACK:
            return  # clients must retry what a killed router held
        if self._was_stopped(history, event.at):
            return  # a stopped process could not answer
        # The close of an idle connection may cross a request, which is then never read.
        if event.how == "ended" and event.kept and not history.attempts:
            return
        detail = "its connection ended" if event.how == "ended" else "no answer by its deadline"
        self._report_breach("lost", event.at, history.router, event.id, detail=detail)

    def _was_stopped(self, history: RequestHistory, until: float) -> bool:
        """Return whether the request's router was stopped from outside between its arrival and `until`."""
        return any(a <= until and b >= history.first_seen for a, b in self.stops.get(history.router, ()))

    def _report_subject_breach(self, kind: str, at: float, router: str, subject: str, detail: str) -> None:
        """Report a breach whose subject is a zone or a duty."""
        self._report_breach(kind, at, router, server=subject, detail=detail)

    def _report_origin_breach(self, at: float, detail: str) -> None:
        self._report_breach("origin_over", at, "", server=ORIGIN, detail=detail)

    def _judge_overload(self, event: seen.ColdServerOverloaded) -> None:
        """Judge whether routers that knew of a server's start overloaded it while it was cold."""
        start = self.started.get(event.box, 0.0)
        informed = 0.0
        for name, work in event.work.items():
            router = self._router(name)
            self._assume_informed(router, event.at)
            if router.known_starts.get(event.box, -1.0) >= start - SOCKET_SLACK:
                informed += work
        share = informed / (sum(event.work.values()) or 1.0)
        if share >= INFORMED_SHARE:
            detail = f"{share:.0%} of the work came from routers that knew of its start"
            self._report_breach(
                "cold_pushed", event.at, ", ".join(sorted(event.work)), server=event.box, detail=detail
            )

    def _update_margin(self, kind: str, used: float, limit: float) -> None:
        self.margins[kind] = max(self.margins.get(kind, 0.0), min(1.0, used / limit) if limit else 0.0)

    def _report_breach(
        self, kind: str, at: float, router: str, request: str = "", server: str = "", detail: str = ""
    ) -> None:
        self.counts[kind] += 1
        if len(self.breaches) < MAX_NAMED_BREACHES:
            self.breaches.append(Breach(kind, at - (self.began or 0.0), router, request, server, detail))

    def _forget(self) -> None:
        """Drop requests that can no longer break a rule, so that memory stays bounded over a long audit."""
        until = self.now - self.window - REQUEST_MEMORY
        while self.requests and (oldest := next(iter(self.requests.values()))).first_seen < until:
            self._judge_open(self.requests.popitem(last=False)[0], oldest)
        while self.executions and next(iter(self.executions.values()))[0] < until:
            self.executions.popitem(last=False)

    def _judge_open(self, request: str, history: RequestHistory) -> None:
        """Judge a request whose end was not observed."""
        if history.deadline is not None and history.ended is None:
            if history.deadline + self.rules.answer_slack < self.now:
                self._judge_unanswered(seen.RequestUnanswered(history.deadline, request, "late"))
                self.requests.pop(request, None)
            else:
                self.seen["open"] += 1

    def verdict(self) -> dict[str, Any]:
        """Return the findings, JSON-able, once all observations were judged.

        `kept` says whether no rule was broken; `breaches` counts them by kind, `rules` by rule; `named` holds
        the first ones in detail; `seen` counts the observations by kind.
        """
        for request, history in list(self.requests.items()):
            self._judge_open(request, history)
        kinds = {kind: self.counts[kind] for kind in RULES}
        rules = dict.fromkeys(RULES.values(), 0)
        for kind, count in kinds.items():
            rules[RULES[kind]] += count
        return {
            "kept": not any(kinds.values()),
            "rules": rules,
            "breaches": kinds,
            "named": [
                {name: getattr(b, name) for name in ("what", "at", "router", "request", "box", "detail")}
                for b in self.breaches
            ],
            "seen": dict(sorted(self.seen.items())),
        }
