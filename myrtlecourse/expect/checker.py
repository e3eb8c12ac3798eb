"""Checks expectations by running the decision module through the given states, without I/O.

The routing rules are not modelled a second time: lists, outcomes and bans are passed to the module as a host
does, and the actions of the module are checked.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from myrtlecourse import interface as api
from myrtlecourse.expect.spec import Expectation, Expectations, Given, NamedFleet, Server, Then
from myrtlecourse.policy import Router

NOW = 1_000_000.0  # time in seconds; long after the start of all servers that are not `cold`
ATTEMPT_TIME = 0.01  # seconds that each earlier attempt takes
MAX_REASONS = 5  # failing cases reported per expectation
RouterFactory = Callable[[api.Settings, int, float], Router]


@dataclass(frozen=True)
class Case:
    """The result of one request, for one key and one seed."""

    key: str | None
    seed: int
    sent: tuple[str, ...]  # the server of each attempt
    answer: str  # sent, refused, failed or waits
    retry_after: float = 0.0

    @property
    def last(self) -> str:
        """The server of the attempt after the earlier ones; empty if there was no such attempt."""
        return self.sent[-1] if self.answer == "sent" else ""


@dataclass
class Verdict:
    """The result of checking an expectation."""

    name: str
    holds: bool
    cases: int
    followed: int  # number of cases that were as expected
    why: list[str] = field(default_factory=list)
    spread: dict[str, float] = field(default_factory=dict)


def server_entry(server: Server, given: Given) -> api.ServerEntry:
    """Return a server's entry in discovery's list, in the given state."""
    state = api.State.DRAINING if server.id in given.draining else api.State.READY
    since = NOW if server.id in given.cold else 0.0
    return api.ServerEntry(server.id, state, server.kind, server.zone, server.group, server.weight, since)


def prepare_router(
    settings: api.Settings, fleet: NamedFleet, given: Given, seed: int, make_router: RouterFactory = Router
) -> Router:
    """Return a router in the given state. It first gets a list of all servers, then the changes to it."""
    router = make_router(settings, seed, NOW)
    initial = tuple(
        server_entry(s, Given(given.request_class)) for s in fleet.servers if s.id not in given.cold
    )
    router.handle(NOW, api.ServerList(api.ListKind.FULL, initial))
    current = tuple(server_entry(s, given) for s in fleet.servers if s.id not in given.gone)
    router.handle(NOW, api.ServerList(api.ListKind.FULL, current))
    for server in given.offline:
        router.handle(NOW, api.ServerBanned(server))
    return router


def run_request(router: Router, given: Given, key: str | None, seed: int) -> Case:
    """Run one request, whose earlier attempts end as given."""
    now = NOW
    sent: list[str] = []
    answer, retry_after = "waits", 0.0
    events: list[api.Event] = [api.Request("r", given.request_class, given.time_left, key, None, given.write)]
    outcomes = [api.Status(name) for name in given.earlier]
    while events:
        for action in router.handle(now, events.pop(0)):
            match action:
                case api.Send(request="r"):
                    sent.append(action.server)
                    answer = "sent"
                case api.Refuse(request="r"):
                    answer, retry_after = "refused", action.retry_after
                case api.Fail(request="r"):
                    answer = "failed"
        if answer == "sent" and len(sent) <= len(outcomes):
            now += ATTEMPT_TIME
            answer = "waits"
            events.append(api.Outcome("r", len(sent) - 1, outcomes[len(sent) - 1], False, ATTEMPT_TIME))
    return Case(key, seed, tuple(sent), answer, retry_after)


def withdraw_request(router: Router, case: Case) -> None:
    """Clear a request from the router: its client leaves, and its last attempt counts as not sent."""
    router.handle(NOW, api.ClientGone("r"))
    if case.answer == "sent":
        router.handle(NOW, api.Outcome("r", len(case.sent) - 1, api.Status.NOT_SENT, True))


def mismatch(then: Then, case: Case, servers: dict[str, Server]) -> str:
    """Return why a case is not as expected, or an empty string."""
    answer = then.answer or ("sent" if then.expects_server() else None)
    if answer is not None and case.answer != answer:
        return f"it was {case.answer}, not {answer}"
    if broken := sorted(set(then.never) & set(case.sent)):
        return f"it went to {', '.join(broken)}"
    if then.come_back_at_most is not None and case.retry_after > then.come_back_at_most:
        return f"it may retry only after {case.retry_after:.3f} s"
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
    expectation: Expectation,
    settings: api.Settings,
    fleet: NamedFleet,
    seeds: int,
    make_router: RouterFactory = Router,
) -> Verdict:
    """Check one expectation for all its keys and seeds."""
    servers = {s.id: s for s in fleet.servers}
    verdict = Verdict(expectation.name, True, 0, 0)
    destinations: Counter[str] = Counter()
    for seed in range(seeds):
        router = prepare_router(settings, fleet, expectation.given, seed, make_router)
        for key in expectation.given.expand_keys():
            if expectation.given.earlier:
                # a new router, because outcomes of earlier attempts would affect where the next key goes
                router = prepare_router(settings, fleet, expectation.given, seed, make_router)
            case = run_request(router, expectation.given, key, seed)
            withdraw_request(router, case)
            verdict.cases += 1
            destinations[case.last] += 1
            why = mismatch(expectation.then, case, servers)
            verdict.followed += not why
            if why and expectation.then.share is None and len(verdict.why) < MAX_REASONS:
                path = " then ".join(case.sent) or "nowhere"
                verdict.why.append(f"key {key!r}, seed {seed}: {why} (sent to {path})")
    share = verdict.followed / verdict.cases
    low, high = expectation.then.share or (1.0, 1.0)
    verdict.spread = {
        server: count / verdict.cases for server, count in sorted(destinations.items()) if server
    }
    if not low <= share <= high:
        verdict.holds = False
        if expectation.then.share is not None:
            verdict.why.append(f"it held in {share:.1%} of the cases, not in {low:.1%} to {high:.1%}")
    for server, (lowest, highest) in expectation.then.spread.items():
        share_of_server = verdict.spread.get(server, 0.0)
        if not lowest <= share_of_server <= highest:
            verdict.holds = False
            verdict.why.append(
                f"{server} gets {share_of_server:.1%} of the keys, not {lowest:.1%} to {highest:.1%}"
            )
    return verdict


def check_all(
    expectations: Expectations, settings: api.Settings, make_router: RouterFactory = Router
) -> list[Verdict]:
    """Check all expectations of a file."""
    fleets = expectations.fleets_by_name()
    return [check(e, settings, fleets[e.fleet], expectations.seeds, make_router) for e in expectations.expect]


@dataclass(frozen=True)
class Step:
    """A server in the order in which a key's requests would try servers."""

    server: str
    why: str  # reason why the server is skipped; empty if it can be chosen


def explain(settings: api.Settings, fleet: NamedFleet, given: Given, key: str) -> list[Step]:
    """Return the order in which a key's requests would try servers, and why others are skipped.

    This uses the decision module alone: the server that it chooses is banned, and the request is run again.
    """
    all_steps = [Step(s.id, _reason_skipped(s, given, settings)) for s in fleet.servers]
    absent = [s for s in all_steps if s.why]
    visited: list[Step] = []
    banned = given.offline
    for _ in fleet.servers:
        state = replace(given, offline=banned, earlier=())
        case = run_request(prepare_router(settings, fleet, state, 0), state, key, 0)
        if case.answer != "sent" or case.last in banned:
            break
        visited.append(Step(case.last, ""))
        banned = (*banned, case.last)
    visited_names = {step.server for step in visited}
    return visited + [step for step in absent if step.server not in visited_names]


def _reason_skipped(server: Server, given: Given, settings: api.Settings) -> str:
    if settings.cache_aside and server.kind == settings.origin_kind:
        return "the origin, off the ring"
    for why, names in (("gone", given.gone), ("draining", given.draining), ("offline", given.offline)):
        if server.id in names:
            return why
    return ""


def moved_keys(
    settings: api.Settings, old: NamedFleet, new: NamedFleet, keys: Given
) -> tuple[int, Counter[tuple[str, str]]]:
    """Return the number of keys, and how many of them move from one server to another with a new fleet."""
    before, after = prepare_router(settings, old, keys, 0), prepare_router(settings, new, keys, 0)
    count = 0
    moves: Counter[tuple[str, str]] = Counter()
    for key in keys.expand_keys():
        count += 1
        old_server, new_server = (_chosen_server(router, keys, key) for router in (before, after))
        if old_server != new_server:
            moves[old_server, new_server] += 1
    return count, moves


def _chosen_server(router: Router, keys: Given, key: str | None) -> str:
    case = run_request(router, keys, key, 0)
    withdraw_request(router, case)
    return case.last
