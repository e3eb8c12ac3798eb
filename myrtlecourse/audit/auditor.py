"""The four rules, judged from what clients, boxes, the origin and discovery saw; no I/O, no clock.

It knows nothing of a router's code: only what came out of it. It is given observations in the order of their
times, and remembers a request until it can no longer matter.
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
NAMED = 200  # breaches that are told one by one; further ones are counted
REMEMBERED = 60.0  # seconds beyond a request's window and deadline
TELLING = 0.05  # seconds that sockets add to a limit
WAKING = 0.5  # seconds after a process was stopped in which it reads what had come meanwhile
AFTER_END = 0.1  # seconds at most, after its client has gone, in which an attempt may begin
TOLD_SLACK = 0.15  # seconds that a box may be told over what is left to the client
INFORMED = 2 / 3  # of what pushed a box over, from routers that were told of its start: a breach

RULES = {
    "lost": "no request is lost",
    "late": "no request is lost",
    "answered_twice": "no request is lost",
    "foreign": "no request is lost",
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
    """The figures of the four rules."""

    answer_slack: Time = 0.07  # after a deadline in which an answer is not late
    drain_grace: Time = 2.0  # after a router was told, in which it may still send
    fall_multiple: Annotated[float, Meta(ge=1.0, le=1000.0)] = 4.0  # of what a cold box can do
    fall_window: Positive = 1.0
    must_ask: Positive = 10.0  # a router that neither watches nor asks for so long counts as told
    zone_dials: Time = 0.0  # a second, of the fleet at a zone long dark; 0: not judged
    zone_sends: Positive = 60.0  # of a router, after which it has met each zone; more where it prefers some
    duty_gap: Time = 0.0  # seconds that a duty may have no holder, once it had one; 0: not judged
    origin_rate: Time = 0.0  # fetches and writes that the origin bears in any second; 0: not judged
    zone_spill: Time = 0.0  # times what survivors of a zone got, that they may get; 0: not judged


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule: what, when (seconds after the first observation), and of whom."""

    what: str
    at: float
    router: str
    request: str = ""
    box: str = ""
    detail: str = ""


@dataclass(slots=True)
class Attempt:
    """What a box or the origin has seen of a request."""

    at: float
    box: str
    group: str
    never_ran: bool = False


@dataclass(slots=True)
class Life:
    """What is known of one request."""

    router: str
    first: float
    effect: str = ""
    key: str = ""
    deadline: float | None = None  # none: its client's side was not seen
    ended: float | None = None  # answered, or its client went away
    answers: int = 0
    out_of_bounds: bool = False  # it was sent again where its class forbids it
    ran: int = 0
    attempts: list[Attempt] = field(default_factory=list)

    def may_have_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if not a.never_ran), None)


@dataclass(slots=True)
class Knowledge:
    """What one router has been told, or counts as told."""

    drains: dict[str, float] = field(default_factory=dict)  # box: since when it knows
    bans: dict[str, float] = field(default_factory=dict)  # by operators; whatever the list says
    starts: dict[str, float] = field(default_factory=dict)  # box: the start that it knows of
    calls: int = 0  # of discovery, that are out
    quiet: float = -math.inf  # since when none is
    failed: bool = False  # the last one
    up: float = -math.inf
    killed: float | None = None  # when its process was gone; endless until then

    def learn(self, at: float, box: str, status: str, since: float) -> None:
        """It is told an entry."""
        self.starts[box] = since
        if status == "in_service":
            self.drains.pop(box, None)
        else:
            self.drains.setdefault(box, at)


class Auditor:
    """Judges observations as they come."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.lives: OrderedDict[str, Life] = OrderedDict()
        self.ran: OrderedDict[str, tuple[float, str]] = OrderedDict()  # keyed writes: when, by which request
        self.routers: dict[str, Knowledge] = {}
        self.listed: dict[str, seen.ListChanged] = {}
        self.started: dict[str, float] = {}
        self.window = 0.0  # the longest seen
        self.counts: Counter[str] = Counter()
        self.breaches: list[Breach] = []
        self.margins: dict[str, float] = {}  # how close each limit came, 1 at the limit
        self.seen: Counter[str] = Counter()
        self.began: float | None = None
        self.now = 0.0
        self.stalls: dict[str, list[tuple[float, float]]] = {}  # of each router's process
        self.zones = ZoneRules(rules.zone_sends, rules.zone_dials, rules.zone_spill, self._breach_of_zone)
        self.duties = DutyRules(rules.duty_gap, self._breach_of_zone)
        self.origin = OriginRule(rules.origin_rate, self._breach_of_origin)

    def judge(self, what: seen.Observation) -> None:
        """Judge one observation; none may be much older than those before it."""
        self.began = what.at if self.began is None else self.began
        self.now = max(self.now, what.at)
        self.seen[str(what.__struct_config__.tag)] += 1
        self.zones.judge(what)
        self.duties.judge(what)
        self.origin.judge(what)
        match what:
            case seen.RequestSent():
                life = self._life(what.id, what.router, what.at)
                life.deadline, life.effect, life.key = what.deadline, what.effect, what.key
            case seen.RequestAnswered():
                self._answered(what)
            case seen.RequestUnanswered():
                self._unanswered(what)
            case seen.UnexpectedBytes() if what.after:  # else a farewell, which answers nothing twice
                detail = "bytes nobody asked for"
                self._breach("answered_twice", what.at, what.router, what.after, detail=detail)
            case seen.AttemptReceived():
                self._sent(what)
            case seen.NeverRan():
                for attempt in reversed(self._life(what.id, "", what.at).attempts):
                    if attempt.box == what.box:
                        attempt.never_ran = True
                        break
            case seen.WriteExecuted():
                self._ran(what)
            case seen.ServerStarted():
                self.started[what.box] = what.at
            case seen.ColdServerOverloaded():
                self._fell(what)
            case _:
                self._of_list(what)
        self._forget()

    def _of_list(self, what: seen.Observation) -> None:
        """What discovery and routers' starts tell."""
        match what:
            case seen.ListChanged():
                self.listed[what.box] = what
            case seen.ListEntrySent():
                self._router(what.router).learn(what.at, what.box, what.status, what.since)
            case seen.DiscoveryCall():
                router = self._router(what.router)
                if what.how == "begun":
                    self._count_as_told(router, what.at)
                    router.calls += 1
                else:
                    router.calls = max(0, router.calls - 1)
                    router.quiet = what.at
                    router.failed = what.how == "failed"
            case seen.BanAcknowledged():
                bans = self._router(what.router).bans
                if what.back:
                    bans.pop(what.box, None)
                else:
                    bans.setdefault(what.box, what.at)
            case seen.RouterUp():
                killed = self._router(what.router).killed
                killed = None if killed is None else min(killed, what.at)
                self.routers[what.router] = Knowledge(quiet=what.at, up=what.at, killed=killed)
            case seen.RouterStalled():
                self.stalls.setdefault(what.router, []).append((what.at, what.at + what.seconds))
            case seen.RouterDown():
                self._router(what.router).killed = math.inf if what.killed else None
            case seen.RouterExited():
                self._router(what.router).killed = what.at

    def _router(self, name: str) -> Knowledge:
        return self.routers.setdefault(name, Knowledge(quiet=self.now))

    def _life(self, request: str, router: str, at: float) -> Life:
        life = self.lives.get(request)
        if life is None:
            life = self.lives[request] = Life(router, at)
        return life

    def _count_as_told(self, router: Knowledge, now: float) -> None:
        """A router that neither watches nor asks counts as told what was listed so long ago."""
        limit = self.rules.must_ask * (4 if router.failed else 1)
        if router.calls or now - router.quiet < limit:
            return
        for box, entry in self.listed.items():
            since = max(entry.at, router.quiet) + limit
            if since <= now and (router.starts.get(box) != entry.since or entry.status != "in_service"):
                router.learn(since, box, entry.status, entry.since)

    def _sent(self, what: seen.AttemptReceived) -> None:
        """An attempt has reached a box or the origin."""
        self.window = max(self.window, what.window)
        router = self._router(what.router)
        self._count_as_told(router, what.began)
        known = router.drains.get(what.box)
        if known is not None:
            self._came_close("sent_to_drained", what.began - known, self.rules.drain_grace)
        if known is not None and what.began > known + self.rules.drain_grace + TELLING:
            late = f"{what.began - known:.3f} s after it was told"
            self._breach("sent_to_drained", what.began, what.router, what.id, what.box, late)
        banned = router.bans.get(what.box)
        if banned is not None and what.began > banned + self.rules.drain_grace + TELLING:
            late = f"{what.began - banned:.3f} s after its yes to the ban"
            self._breach("sent_to_banned", what.began, what.router, what.id, what.box, late)
        life = self._life(what.id, what.router, what.at)
        life.effect = life.effect or what.effect
        ended = life.ended is not None and not self._stood(life, what.began - WAKING)
        slack = min(self.rules.answer_slack, AFTER_END)
        if life.ended is not None and ended and what.began > life.ended + slack:
            after = f"{what.began - life.ended:.3f} s after its end"
            self._breach("sent_after_end", what.began, what.router, what.id, what.box, after)
        self._judge_told(life, what)
        earlier = life.may_have_run()
        if earlier is not None and what.effect != "free":
            self._came_close("repeated", what.began - earlier.at, what.window)
            detail = ""
            if what.effect == "single_shot":
                detail = f"it may have run at {earlier.box}"
            elif what.began > earlier.at + what.window + TELLING:
                detail = f"{what.began - earlier.at:.3f} s after it may have run at {earlier.box}"
            elif what.group != earlier.group:
                detail = f"outside the group of {earlier.box}, where it may have run"
            if detail:
                life.out_of_bounds = True
                self._breach("repeated", what.began, what.router, what.id, what.box, detail)
        life.attempts.append(Attempt(what.at, what.box, what.group))

    def _judge_told(self, life: Life, what: seen.AttemptReceived) -> None:
        """Judge for how long a box was told that its answer is waited for."""
        if not what.until or life.deadline is None or self._stood(life, what.began):
            return
        over = what.until - life.deadline
        self._came_close("told_too_long", over, TOLD_SLACK)
        if over > TOLD_SLACK + TELLING:
            detail = f"{over:.3f} s longer than its client waits"
            self._breach("told_too_long", what.began, what.router, what.id, what.box, detail)

    def _ran(self, what: seen.WriteExecuted) -> None:
        life = self._life(what.id, "", what.at)
        life.ran += 1
        before = self.ran.get(what.key) if what.key else None
        if before is not None and before[1] == what.id and not life.out_of_bounds:
            # both sends were allowed: a box that stood still ran its copy once the key was forgotten
            self.seen["ran_when_forgotten"] += 1
        elif life.ran > 1 or before is not None:
            first = f"before at {before[0] - (self.began or 0):.3f} s, as {before[1]}" if before else "before"
            self._breach("ran_twice", what.at, life.router, what.id, what.box, first)
        if what.key:
            self.ran[what.key] = what.at, what.id

    def _answered(self, what: seen.RequestAnswered) -> None:
        life = self._life(what.id, "", what.at)
        life.answers += 1
        if life.answers > 1:
            self._breach("answered_twice", what.at, life.router, what.id)
        if life.deadline is not None:
            whole = life.deadline + self.rules.answer_slack - life.first
            self._came_close("late", what.at - life.first, whole)
        overdue = life.deadline is not None and what.at > life.deadline + self.rules.answer_slack
        if life.deadline is not None and overdue and not self._stood(life, what.at):
            late = f"{what.at - life.deadline:.3f} s after its deadline"
            self._breach("late", what.at, life.router, what.id, detail=late)
        if what.how == "served" and not what.made:
            self._breach("foreign", what.at, life.router, what.id, detail="made for no attempt of it")
        ran = life.may_have_run()
        everywhere = life.effect == "guarded" and ran is not None and ran.group == "all"
        if what.how == "refused" and life.effect in ("guarded", "single_shot") and ran and not everywhere:
            detail = "refused, though it may have run"
            self._breach("refused_after_send", what.at, life.router, what.id, ran.box, detail)
        if life.ended is None:
            life.ended = what.at

    def _unanswered(self, what: seen.RequestUnanswered) -> None:
        life = self._life(what.id, "", what.at)
        life.ended = what.at
        if what.how == "left":
            return
        killed = self._router(life.router).killed
        if killed is not None and life.first <= killed + TELLING:
            return  # what a killed router held is its client's to ask again
        if self._stood(life, what.at):
            return  # what a process that was stopped held, nobody could answer
        # a connection that closes between requests may cross one that was never read
        if what.how == "ended" and what.kept and not life.attempts:
            return
        detail = "its connection ended" if what.how == "ended" else "no answer in its time"
        self._breach("lost", what.at, life.router, what.id, detail=detail)

    def _stood(self, life: Life, until: float) -> bool:
        """Whether a request's router was stopped, from outside, while it was owed its answer."""
        return any(a <= until and b >= life.first for a, b in self.stalls.get(life.router, ()))

    def _breach_of_zone(self, what: str, at: float, router: str, zone: str, detail: str) -> None:
        self._breach(what, at, router, box=zone, detail=detail)

    def _breach_of_origin(self, at: float, detail: str) -> None:
        self._breach("origin_over", at, "", box=ORIGIN, detail=detail)

    def _fell(self, what: seen.ColdServerOverloaded) -> None:
        """Judge who pushed a cold box over."""
        start = self.started.get(what.box, 0.0)
        informed = 0.0
        for name, work in what.work.items():
            router = self._router(name)
            self._count_as_told(router, what.at)
            if router.starts.get(what.box, -1.0) >= start - TELLING:
                informed += work
        share = informed / (sum(what.work.values()) or 1.0)
        if share >= INFORMED:
            detail = f"{share:.0%} of the work came from routers that knew of its start"
            self._breach("cold_pushed", what.at, ", ".join(sorted(what.work)), box=what.box, detail=detail)

    def _came_close(self, what: str, used: float, limit: float) -> None:
        self.margins[what] = max(self.margins.get(what, 0.0), min(1.0, used / limit) if limit else 0.0)

    def _breach(
        self, what: str, at: float, router: str, request: str = "", box: str = "", detail: str = ""
    ) -> None:
        self.counts[what] += 1
        if len(self.breaches) < NAMED:
            self.breaches.append(Breach(what, at - (self.began or 0.0), router, request, box, detail))

    def _forget(self) -> None:
        """Drop what can no longer matter: an audit of a day must not grow with it."""
        until = self.now - self.window - REMEMBERED
        while self.lives and (first := next(iter(self.lives.values()))).first < until:
            self._judge_open(self.lives.popitem(last=False)[0], first)
        while self.ran and next(iter(self.ran.values()))[0] < until:
            self.ran.popitem(last=False)

    def _judge_open(self, request: str, life: Life) -> None:
        """A request of which no end was seen."""
        if life.deadline is not None and life.ended is None:
            if life.deadline + self.rules.answer_slack < self.now:
                self._unanswered(seen.RequestUnanswered(life.deadline, request, "late"))
                self.lives.pop(request, None)
            else:
                self.seen["open"] += 1

    def verdict(self) -> dict[str, Any]:
        """What was found, once all is taken: `kept`, `breaches` by kind, and each by name; JSON-able."""
        for request, life in list(self.lives.items()):
            self._judge_open(request, life)
        kinds = {what: self.counts[what] for what in RULES}
        rules = dict.fromkeys(RULES.values(), 0)
        for what, count in kinds.items():
            rules[RULES[what]] += count
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
