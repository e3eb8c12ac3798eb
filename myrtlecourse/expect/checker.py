"""Drives the decision module through states that are described, and says what it did; no I/O.

There is no second model of the ring here: lists, outcomes and operators' orders go in as a host would hand
them, and what comes out are the module's own actions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from myrtlecourse import interface as api
from myrtlecourse.expect.spec import Expectation, Expectations, FleetOf, Given, Server, Then
from myrtlecourse.policy import Router

NOW = 1_000_000.0  # seconds; long after any start that is not given
OUTCOME = 0.01  # seconds that each earlier attempt took
NAMED = 5  # failing cases told of one expectation
Make = Callable[[api.Settings, int, float], Router]


@dataclass(frozen=True)
class Case:
    """What became of one key with one seed."""

    key: str | None
    seed: int
    sent: tuple[str, ...]  # where each attempt went
    answer: str  # sent, refused, failed or waits
    come_back: float = 0.0

    @property
    def last(self) -> str:
        """Where the attempt in question went; empty when it was not made."""
        return self.sent[-1] if self.answer == "sent" else ""


@dataclass
class Verdict:
    """Whether an expectation holds."""

    name: str
    holds: bool
    cases: int
    followed: int  # cases in which it did
    why: list[str] = field(default_factory=list)
    spread: dict[str, float] = field(default_factory=dict)


def entry(server: Server, given: Given) -> api.ServerEntry:
    """A server's line in the list, as the given state has it."""
    state = api.State.DRAINING if server.id in given.draining else api.State.READY
    since = NOW if server.id in given.cold else 0.0
    return api.ServerEntry(server.id, state, server.kind, server.zone, server.group, server.weight, since)


def stand(settings: api.Settings, fleet: FleetOf, given: Given, seed: int, make: Make = Router) -> Router:
    """A router in the given state: it has known all servers, and then heard what became of some."""
    router = make(settings, seed, NOW)
    before = tuple(entry(s, Given(given.request_class)) for s in fleet.servers if s.id not in given.cold)
    router.handle(NOW, api.ServerList(api.ListKind.FULL, before))
    now = tuple(entry(s, given) for s in fleet.servers if s.id not in given.gone)
    router.handle(NOW, api.ServerList(api.ListKind.FULL, now))
    for server in given.offline:
        router.handle(NOW, api.ServerBanned(server))
    return router


def play(router: Router, given: Given, key: str | None, seed: int) -> Case:
    """One request, through the earlier endings of its attempts."""
    now = NOW
    sent: list[str] = []
    answer, come_back = "waits", 0.0
    events: list[api.Event] = [api.Request("r", given.request_class, given.time_left, key, None, given.write)]
    ends = [api.Status(name) for name in given.earlier]
    while events:
        for action in router.handle(now, events.pop(0)):
            match action:
                case api.Send(request="r"):
                    sent.append(action.server)
                    answer = "sent"
                case api.Refuse(request="r"):
                    answer, come_back = "refused", action.retry_after
                case api.Fail(request="r"):
                    answer = "failed"
        if answer == "sent" and len(sent) <= len(ends):
            now += OUTCOME
            answer = "waits"
            events.append(api.Outcome("r", len(sent) - 1, ends[len(sent) - 1], False, OUTCOME))
    return Case(key, seed, tuple(sent), answer, come_back)


def take_back(router: Router, case: Case) -> None:
    """Leave nothing of a request with the router: its client has gone, and its attempt was never made."""
    router.handle(NOW, api.ClientGone("r"))
    if case.answer == "sent":
        router.handle(NOW, api.Outcome("r", len(case.sent) - 1, api.Status.NOT_SENT, True))


def follows(then: Then, case: Case, servers: dict[str, Server]) -> str:
    """Why a case is not what must follow; empty when it is."""
    answer = then.answer or ("sent" if then.says_where() else None)
    if answer is not None and case.answer != answer:
        return f"it was {case.answer}, not {answer}"
    if broken := sorted(set(then.never) & set(case.sent)):
        return f"it went to {', '.join(broken)}"
    if then.come_back_at_most is not None and case.come_back > then.come_back_at_most:
        return f"it was told to come back after {case.come_back:.3f} s"
    if not case.last:
        return ""
    server = servers[case.last]
    if then.to and server.id not in then.to:
        return f"it went to {server.id}"
    if then.zone is not None and server.zone != then.zone:
        return f"it went to {server.id} in zone {server.zone or 'none'}"
    if then.kind is not None and server.kind != then.kind:
        return f"it went to {server.id} of kind {server.kind or 'none'}"
    return ""


def check(
    each: Expectation, settings: api.Settings, fleet: FleetOf, seeds: int, make: Make = Router
) -> Verdict:
    """Check one expectation over all its keys and seeds."""
    servers = {s.id: s for s in fleet.servers}
    verdict = Verdict(each.name, True, 0, 0)
    places: Counter[str] = Counter()
    for seed in range(seeds):
        router = stand(settings, fleet, each.given, seed, make)
        for key in each.given.each_key():
            if each.given.earlier:
                # how an attempt ended teaches, and must not decide where the next key goes
                router = stand(settings, fleet, each.given, seed, make)
            case = play(router, each.given, key, seed)
            take_back(router, case)
            verdict.cases += 1
            places[case.last] += 1
            why = follows(each.then, case, servers)
            verdict.followed += not why
            if why and each.then.share is None and len(verdict.why) < NAMED:
                path = " then ".join(case.sent) or "nowhere"
                verdict.why.append(f"key {key!r}, seed {seed}: {why} (sent to {path})")
    share = verdict.followed / verdict.cases
    low, high = each.then.share or (1.0, 1.0)
    verdict.spread = {server: count / verdict.cases for server, count in sorted(places.items()) if server}
    if not low <= share <= high:
        verdict.holds = False
        if each.then.share is not None:
            verdict.why.append(f"it followed in {share:.1%} of the cases, not in {low:.1%} to {high:.1%}")
    for server, (least, most) in each.then.spread.items():
        got = verdict.spread.get(server, 0.0)
        if not least <= got <= most:
            verdict.holds = False
            verdict.why.append(f"{server} gets {got:.1%} of the keys, not {least:.1%} to {most:.1%}")
    return verdict


def check_all(told: Expectations, settings: api.Settings, make: Make = Router) -> list[Verdict]:
    """Check all expectations of a file."""
    fleets = told.named()
    return [check(each, settings, fleets[each.fleet], told.seeds, make) for each in told.expect]


@dataclass(frozen=True)
class Step:
    """A server as a key's walk meets it."""

    server: str
    why: str  # it is passed; empty where the walk may end


def explain(settings: api.Settings, fleet: FleetOf, given: Given, key: str) -> list[Step]:
    """The order in which a key would visit servers, and why each is passed.

    Found with the module alone: the first that takes it is taken out, and it is asked again.
    """
    steps = [Step(s.id, _absent(s, given, settings)) for s in fleet.servers]
    absent = [s for s in steps if s.why]
    visited: list[Step] = []
    out = given.offline
    for _ in fleet.servers:
        without = replace(given, offline=out, earlier=())
        case = play(stand(settings, fleet, without, 0), without, key, 0)
        if case.answer != "sent" or case.last in out:
            break
        visited.append(Step(case.last, ""))
        out = (*out, case.last)
    seen = {step.server for step in visited}
    return visited + [step for step in absent if step.server not in seen]


def _absent(server: Server, given: Given, settings: api.Settings) -> str:
    if settings.cache_aside and server.kind == settings.origin_kind:
        return "the origin, off the ring"
    for why, names in (("gone", given.gone), ("draining", given.draining), ("offline", given.offline)):
        if server.id in names:
            return why
    return ""


def moved(
    settings: api.Settings, old: FleetOf, new: FleetOf, keys: Given
) -> tuple[int, Counter[tuple[str, str]]]:
    """How many keys there are, and how many of them go from where to where with another fleet."""
    before, after = stand(settings, old, keys, 0), stand(settings, new, keys, 0)
    count = 0
    ways: Counter[tuple[str, str]] = Counter()
    for key in keys.each_key():
        count += 1
        one, other = (_first(router, keys, key) for router in (before, after))
        if one != other:
            ways[one, other] += 1
    return count, ways


def _first(router: Router, keys: Given, key: str | None) -> str:
    case = play(router, keys, key, 0)
    take_back(router, case)
    return case.last
