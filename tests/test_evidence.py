"""What outcomes prove: losses and stalls are not slowness, and only answers show how long answers take."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlecourse import evidence
from myrtlecourse import interface as api
from myrtlecourse.evidence import Evidence, Latencies, Verdict
from myrtlecourse.policy import Router
from tests.driver import Driver, entry
from tests.driver import settings as conf

OK, TIMEOUT, CANCELLED, FULL = api.Status.OK, api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.FULL
CACHE_ASIDE = {"cache_aside": True, "origin_kind": "origin"}


def known(usual: float = 0.05) -> Evidence:
    """Return the evidence of a server that has answered with its usual latency until time 100."""
    known = Evidence()
    for n in range(20):
        known.record_send(99.0 + n / 20)
        assert known.judge(99.0 + n / 20 + usual, 99.0 + n / 20, OK, usual) is Verdict.ANSWERED
    return known


@pytest.mark.parametrize("status", [TIMEOUT, CANCELLED])
def test_what_others_have_overtaken_is_lost(status: api.Status) -> None:
    server = known()
    server.record_send(100.0)
    server.record_send(100.1)
    assert not server.is_lost(100.4, 100.0)  # old enough, but no later attempt has been answered
    server.judge(100.15, 100.1, OK, 0.05)
    assert server.is_lost(100.4, 100.0) and not server.is_lost(100.2, 100.0)
    before = server.usual_latency
    assert server.judge(102.0, 100.0, status, 2.0) is Verdict.LOST
    assert server.usual_latency == before


@pytest.mark.parametrize("status", [TIMEOUT, CANCELLED])
def test_a_client_that_leaves_before_an_answer_was_due_says_nothing(status: api.Status) -> None:
    """Deadlines of a few ms made an origin that takes 50 ms look as fast as these deadlines."""
    server = known()
    server.record_send(100.0)
    before = server.usual_latency
    assert server.judge(100.01, 100.0, status, 0.01) is Verdict.INCONCLUSIVE
    assert server.usual_latency == before


def test_a_stall_that_ends_counts_once_however_much_it_held_up() -> None:
    """All answers delayed by a stall arrived at once, and the origin looked too slow for seconds."""
    server = known()
    for n in range(30):
        server.record_send(100.0 + n / 1000)
    verdicts = [server.judge(101.0, 100.0 + n / 1000, OK, 1.0) for n in range(30)]
    assert verdicts == [Verdict.ANSWERED] + [Verdict.STALLED] * 29
    assert server.usual_latency <= 0.05 + evidence.SMOOTHING * (evidence.MAX_SAMPLE_FACTOR - 1) * 0.05 + 1e-9
    server.record_send(101.0)
    assert server.judge(101.05, 101.0, OK, 0.05) is Verdict.ANSWERED


def test_a_server_that_has_become_slow_is_known_as_slow() -> None:
    """The opposite case: constantly slow answers don't count as a stall for ever."""
    server, now = known(), 100.0
    for _ in range(20):
        server.record_send(now)
        server.judge(now + 1.0, now, OK, 1.0)
        now += 1.0
    assert server.usual_latency > 0.9


def test_early_in_the_day_nothing_is_lost() -> None:
    server = Evidence()
    server.record_send(0.0)
    assert server.overdue_after() == 0.0 and not server.is_lost(50.0, 0.0)
    assert server.judge(50.0, 0.0, TIMEOUT, 50.0) is Verdict.STALLED and server.usual_latency == 0.0


@given(st.lists(st.floats(0.0005, 10.0), min_size=1, max_size=200), st.floats(0.001, 12.0))
def test_the_chance_is_the_share_of_the_samples_to_within_a_bucket(
    samples: list[float], within: float
) -> None:
    known = Latencies()
    for sample in samples:
        known.add(sample)
    weights = [evidence.SAMPLE_DECAY**-n for n in range(len(samples))]

    def share(limit: float) -> float:
        return sum(w for s, w in zip(samples, weights, strict=True) if s <= limit) / sum(weights)

    chance = known.share_within(within)
    below, above = within / evidence.BUCKET_RATIO - 1e-9, within * evidence.BUCKET_RATIO + 1e-9
    assert share(below) - 1e-6 <= chance <= (share(above) if within > evidence.FIRST_BUCKET else 1.0) + 1e-6
    assert known.share_within(within) <= known.share_within(within * 2) + 1e-9


@given(st.lists(st.floats(0.0005, 10.0), min_size=1, max_size=100), st.floats(0.05, 0.95))
def test_a_quantile_holds_its_share(samples: list[float], share: float) -> None:
    known = Latencies()
    for sample in samples:
        known.add(sample)
    assert known.share_within(known.quantile(share)) >= share - 1e-6


def test_a_long_day_does_not_overflow_the_weights() -> None:
    known = Latencies()
    for n in range(200_000):
        known.add(0.01 if n < 199_900 else 0.1)
    assert known.share_within(0.02) < 0.2 and known.share_within(0.2) == pytest.approx(1.0)


class Fetches:
    """Misses at a steady rate against an origin that answers in about 50 ms and loses some requests."""

    def __init__(self, lost: float, seed: int) -> None:
        self.lost = lost
        self.random = random.Random(seed)
        classes = {"read": api.RequestClass("read", 1.2)}
        self.router = Router(conf(**CACHE_ASIDE, classes=classes), seed, 0.0)
        self.events: list[tuple[float, int, api.Event]] = []
        self.count = 0
        self.sent: dict[tuple[str, int], tuple[float, str]] = {}
        self.attempts: dict[str, int] = {}
        self.open: set[str] = set()
        self.served = 0

    def at(self, when: float, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, event))

    def run(self, until: float) -> list[float]:
        """Run until a time. Returns the origin's limit after each event."""
        limits = []
        while self.events and self.events[0][0] <= until:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, api.Outcome):
                key = (event.request, event.attempt)
                if key not in self.sent:
                    continue
                sent_at, _ = self.sent.pop(key)
                closed = event.request not in self.open or event.status is OK
                if event.status is OK and event.request in self.open:
                    self.open.remove(event.request)
                    self.served += 1
                event = api.Outcome(*key, event.status, closed, now - sent_at)
            for action in self.router.handle(now, event):
                self.carry_out(now, action)
            origin = self.router.servers["o"]
            out = sum(a.holds_slot for a in self.router.attempts.values() if a.server is origin)
            assert origin.in_flight == out, "slots in use are not the attempts that may still be answered"
            limits.append(origin.limit)
        return limits

    def carry_out(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.at(now + action.delay, api.TimerFired(action.timer))
        elif isinstance(action, (api.Refuse, api.Fail)):
            self.open.remove(action.request)
        elif isinstance(action, api.Cancel):
            self.at(now, api.Outcome(action.request, action.attempt, CANCELLED))
        elif isinstance(action, api.Send):
            name = action.request
            number = self.attempts[name] = self.attempts.get(name, -1) + 1
            self.sent[name, number] = (now, action.server)
            self.at(now + 2.5, api.Outcome(name, number, TIMEOUT))
            if action.server == "a":
                self.at(now + 0.002, api.Outcome(name, number, api.Status.MISS))
            elif self.random.random() >= self.lost:
                self.at(now + self.random.uniform(0.03, 0.07), api.Outcome(name, number, OK))


def play(lost: float, seed: int) -> tuple[float, float]:
    """Return the origin's mean limit in 4 s of 400 fetches a second, and the share of requests served."""
    day = Fetches(lost, seed)
    list_ = api.ServerList(api.ListKind.FULL, (entry("a"), entry("o", kind="origin")))
    day.router.handle(0.0, list_)
    day.router.servers["a"].limit = 1e6
    total = 1600
    for n in range(total):
        day.open.add(f"r{n}")
        day.at(n / 400, api.Request(f"r{n}", "read", 2.5, f"k{n}"))
    limits = day.run(4.0)
    day.run(20.0)
    assert day.router.servers["o"].in_flight == 0 and not day.open, "a slot is never released"
    late = limits[len(limits) // 4 :]
    return sum(late) / len(late), day.served / total


@settings(max_examples=8, deadline=None)
@given(st.floats(0.0, 0.3), st.integers(0, 1000))
def test_whatever_share_is_lost_the_limit_stays_within_a_third(lost: float, seed: int) -> None:
    """Eight lost fetches a second kept the origin's limit at a tenth of its capacity."""
    clean, _ = play(0.0, seed)
    limit, served = play(lost, seed)
    assert limit >= clean / 3
    assert served >= 1 - lost - 0.05


def test_a_lost_fetch_gives_its_place_back_and_is_asked_for_again() -> None:
    d = Driver(conf(**CACHE_ASIDE))
    d.list(entry("a"), entry("o", kind="origin"))
    origin = d.router.servers["o"]
    origin.evidence.usual_latency = 0.02
    d.request("r1", key="k1")
    d.end("r1", api.Status.MISS)
    d.now += 0.01
    d.request("r2", key="k2")
    d.end("r2", api.Status.MISS)
    d.now += 0.02
    d.end("r2", OK, latency=0.02)
    assert origin.in_flight == 1
    d.wait(0.2)
    assert d.sends["r1"] == ["a", "o", "o"] and origin.in_flight == 1
    d.ok("r1")
    assert origin.in_flight == 0 and not d.router.requests


def test_misses_of_one_key_share_one_fetch_and_ask_where_it_was_stored() -> None:
    """While misses exceeded the origin's capacity, one key was fetched dozens of times at once."""
    d = Driver(conf(**CACHE_ASIDE))
    d.list(entry("a"), entry("o", kind="origin"))
    for n in range(4):
        d.request(f"r{n}", key="k")
        d.end(f"r{n}", api.Status.MISS)
    assert [d.sends[f"r{n}"] for n in range(4)] == [["a", "o"], ["a"], ["a"], ["a"]]
    d.ok("r0")
    assert [d.sends[f"r{n}"] for n in range(1, 4)] == [["a", "a"]] * 3
    d.end("r1", api.Status.MISS)  # it was not stored after all
    assert d.sends["r1"] == ["a", "a", "o"]
    for n in range(1, 4):
        d.ok(f"r{n}")
    assert not d.router.queue.fetches and not d.router.requests


@pytest.mark.parametrize("how", ["failed", "gone", "lost"])
def test_those_who_wait_for_a_fetch_go_on_when_it_comes_to_nothing(how: str) -> None:
    d = Driver(conf(**CACHE_ASIDE, max_attempts=2))
    d.list(entry("a"), entry("o", kind="origin"))
    d.router.servers["o"].evidence.usual_latency = 0.02
    for n in range(3):
        d.request(f"r{n}", key="k")
        d.end(f"r{n}", api.Status.MISS)
    if how == "failed":
        d.end("r0", api.Status.ERROR)
    elif how == "gone":
        d.finish("r0", "gone")
        d.feed(api.ClientGone("r0"))
    else:
        d.now += 0.01
        d.request("other", key="k9")
        d.end("other", api.Status.MISS)
        d.ok("other")
        d.wait(0.2)
    assert d.sends["r1"] == ["a", "o"] and d.sends["r2"] == ["a"]
    d.wait(3.0)
    assert not d.open and not d.router.queue.fetches


def test_places_that_are_all_held_by_what_is_lost_come_free_by_a_trial() -> None:
    """At a limit of four, nothing could overtake four lost fetches, and all waited until their deadline."""
    d = Driver(conf(**CACHE_ASIDE))
    d.list(entry("a"), entry("o", kind="origin"))
    for n in range(6):
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", api.Status.MISS)
    assert [len(d.sends[f"r{n}"]) for n in range(6)] == [2, 2, 2, 2, 1, 1]
    d.wait(0.3)
    assert [len(d.sends[f"r{n}"]) for n in range(6)] == [2, 2, 2, 2, 2, 1]
    d.end("r4", api.Status.OK, latency=0.02)
    assert d.sends["r5"] == ["a", "o"] or d.router.servers["o"].in_flight <= 4
    d.wait(0.2)
    assert d.router.servers["o"].in_flight <= 5 and len(d.sends["r5"]) >= 2
    d.wait(3.0)
    assert not d.open and d.router.servers["o"].in_flight == 0
