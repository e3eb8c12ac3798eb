"""Tests of the stand-in fleet's models, without sockets or clock."""

from __future__ import annotations

import math
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.fleet.core_queue import CoreQueue, CoreSpeed, WorkItem
from myrtlecourse.fleet.faults import hot_keys, steps
from myrtlecourse.fleet.registry import Entry, Registry
from myrtlecourse.fleet.scenario import Origin, RequestClass, ScenarioError, ServerKind, read_scenario
from myrtlecourse.fleet.server_models import (
    AnswerKind,
    CacheMemory,
    CacheServerModel,
    OriginModel,
    RandomDraws,
    Request,
    WriteReceipts,
)

READ = RequestClass("read", work=0.1, spread=0.0)
BOOK = RequestClass("book", work=0.1, spread=0.0, effect="guarded", window=5.0)
times = st.floats(0.0, 100.0)
factors = st.floats(0.01, 10.0)


def request(name: str, kind: RequestClass = READ, key: str = "k", **fields: object) -> Request:
    return Request(name, key, kind, "router-0", **fields)  # type: ignore[arg-type]


def box(
    receipts: WriteReceipts | None = None, started: float = -math.inf, **fields: object
) -> CacheServerModel:
    known = receipts or WriteReceipts()
    kind = ServerKind("std", handshake=0.0, **fields)  # type: ignore[arg-type]
    return CacheServerModel("std-0", kind, Rules(), RandomDraws(1), lambda _: known, True, started)


@given(
    times, st.floats(0.05, 1.0), st.floats(0.0, 20.0), st.lists(st.tuples(times, factors), max_size=4), times
)
def test_work_done_and_when_it_is_done_are_inverse(
    started: float, cold: float, warm_up: float, changes: list[tuple[float, float]], after: float
) -> None:
    pace, now = CoreSpeed(2.0, started, cold, warm_up), started
    for pause, factor in changes:
        before = pace.work_done(now + pause)
        now += pause
        pace.set_factor(now, factor)
        assert pace.work_done(now) == pytest.approx(before)
    work = pace.work_done(now + after)
    assert pace.time_of_work(work) == pytest.approx(now + after, abs=1e-6)
    assert pace.work_done(now + after + 1.0) > work


def test_a_core_that_is_halted_ends_nothing_and_goes_on_where_it_stood() -> None:
    queue = CoreQueue(1, 10, CoreSpeed(1.0))
    queue.add(0.0, WorkItem(1.0, 9.0, "a"))
    queue.core_speed.set_factor(0.4, 0.0)
    assert queue.next_end() == math.inf and queue.next_finished(5.0) is None
    queue.core_speed.set_factor(7.0, 1.0)
    assert queue.next_end() == pytest.approx(7.6)
    assert (ended := queue.next_finished(7.6)) is not None and ended.request == "a"


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.floats(0.01, 1.0)), min_size=1, max_size=30), st.integers(1, 4)
)
def test_pieces_end_as_a_queue_before_so_many_cores_has_it(
    arrivals: list[tuple[float, float]], cores: int
) -> None:
    queue, free, now, expected = CoreQueue(cores, 1000, CoreSpeed(1.0)), [0.0] * cores, 0.0, []
    ends: list[float] = []

    def collect(until: float) -> None:
        while (due := queue.next_end()) <= until:
            ended = queue.next_finished(due)
            assert ended is not None
            ends.append(due)

    for pause, work in arrivals:
        now += pause
        collect(now)
        assert queue.add(now, WorkItem(work, math.inf, None))
        first = free.index(min(free))
        free[first] = max(now, free[first]) + work
        expected.append(free[first])
    collect(now + 100.0)
    assert sorted(ends) == pytest.approx(sorted(expected), abs=1e-6)


def test_what_is_cancelled_makes_room_and_never_ends() -> None:
    queue, items = CoreQueue(1, 1, CoreSpeed(1.0)), [WorkItem(1.0, 9.0, i) for i in range(3)]
    assert [queue.add(0.0, p) for p in items] == [True, True, False]
    queue.cancel(0.5, items[0])
    assert queue.size == 1 and queue.next_end() == pytest.approx(1.5)
    queue.cancel(0.5, items[0])
    assert queue.size == 1
    assert queue.add(0.5, items[2])
    queue.cancel(0.6, items[2])
    assert queue.next_finished(1.5) is items[1] and queue.next_end() == math.inf


def test_memory_drops_what_was_used_longest_ago_and_forgets_what_is_old() -> None:
    memory = CacheMemory(100, ttl=10.0)
    memory.put(0.0, "a", 1, 40)
    memory.put(1.0, "b", 1, 40)
    assert memory.get(2.0, "a") == (1, 40)
    memory.put(3.0, "c", 1, 40)
    assert memory.get(4.0, "b") is None and memory.get(4.0, "a") and memory.size == 80
    assert memory.get(10.0, "a") is None and memory.size == 40
    memory.put(11.0, "huge", 1, 101)
    assert memory.get(11.0, "huge") is None


def test_a_miss_is_quick_and_a_hit_is_the_whole_work() -> None:
    server = box(miss=0.1)
    assert server.arrive(0.0, request("r1")) is not None
    assert server.core_queue.next_end() == pytest.approx(0.01)
    ended = server.next_answer(0.01)
    assert ended is not None and ended.kind is AnswerKind.MISS
    server.memory.put(0.02, "k", 7, 300)
    server.arrive(1.0, request("r2"))
    ended = server.next_answer(1.1)
    assert ended is not None and (ended.kind, ended.version, ended.size) == (AnswerKind.HIT, 7, 300)


def test_a_repeat_within_its_window_gets_its_receipt_and_does_not_run() -> None:
    receipts = WriteReceipts()
    one, other = box(receipts), box(receipts)
    ran = []
    for at, server, name in ((0.0, one, "r1"), (3.0, other, "r2"), (9.0, one, "r3")):
        server.arrive(at, request(name, BOOK, write=True, idempotency="5c0f"))
        ended = server.next_answer(at + 0.5)
        assert ended is not None and ended.kind is AnswerKind.RECEIPT
        ran.append(ended.executed)
    assert ran == [True, False, True]


def test_what_waited_past_its_deadline_is_turned_away() -> None:
    server = box(cores=1)
    server.memory.put(0.0, "k", 1, 10)
    for name in ("r1", "r2"):
        server.arrive(0.0, request(name, time_left=0.15))
    first, second = server.next_answer(0.1), server.next_answer(0.2)
    assert first and second and (first.kind, second.kind) == (AnswerKind.HIT, AnswerKind.BUSY)


@pytest.mark.parametrize(("times_capacity", "falls"), [(3.0, False), (6.0, True)])
def test_a_cold_box_falls_when_it_is_sent_too_much_also_of_what_it_refuses(
    times_capacity: float, falls: bool
) -> None:
    server = box(started=10.0, cores=2, queue=0, cold=0.5, warm_up=8.0)
    gap = READ.work / (times_capacity * 2 * 0.5)
    for i in range(round(1.5 / gap)):
        server.arrive(10.0 + i * gap, request(f"r{i}"))
    assert (server.overload_by_router is not None) is falls
    if falls:
        assert server.overload_by_router is not None and list(server.overload_by_router) == ["router-0"]


def test_a_warm_box_does_not_fall() -> None:
    server = box(cores=1, queue=0)
    for i in range(1000):
        server.arrive(i * 0.001, request(f"r{i}"))
    assert server.overload_by_router is None


def test_the_origin_finishes_a_write_that_has_begun_though_its_router_left() -> None:
    store = OriginModel(Origin(slots=1, time=0.1, queue=1), RandomDraws(1))
    items = [store.arrive(0.0, request(f"w{i}", BOOK, write=True)) for i in range(3)]
    assert items[0] and items[1] and items[2] is None
    store.abandon(0.05, items[0])
    store.abandon(0.05, items[1])
    ended = store.next_answer(0.1)
    assert ended is not None and ended.request.id == "w0" and ended.executed
    assert store.next_answer(1.0) is None


def test_the_list_is_late_and_tells_each_what_it_has_not_seen() -> None:
    entries = [Entry(n, "a", "std", 0, 1.0) for n in ("b1", "b2")]
    registry = Registry(entries)
    assert registry.entries_after(None) == (True, entries)
    registry.schedule(3.0, replace(entries[0], status="terminated"))
    assert registry.next_change() == 3.0 and not registry.advance(2.9)
    assert [e.name for e in registry.advance(3.0)] == ["b1"]
    assert registry.entries_after(1) == (False, [registry.changes[0][1]])
    assert registry.entries_after(2) == (False, [])
    assert registry.entries_after(None) == (True, entries[1:]) and registry.entries_after(99)[0]


def test_a_scenario_gives_the_same_faults_each_time_and_names_what_is_wrong(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text(
        'kinds = [{name = "a", boxes = 10}]\n'
        'faults = [{what = "replace", at = 5, share = 0.4, at_once = 2, drain = 2, seconds = 1},'
        ' {what = "hot_key", at = 1, seconds = 2, share = 0.5},'
        ' {what = "slow", at = 2, box = "a-3", seconds = 1}]'
    )
    found = steps(read_scenario(file))
    assert found == steps(read_scenario(file))
    drained = [(s.at, s.target) for s in found if s.action == "drain"]
    assert [at for at, _ in drained] == [5, 5, 8, 8] and len({box for _, box in drained}) == 4
    assert [(s.at, s.value) for s in found if s.action == "pace"] == [(2, 0.25), (3, 1.0)]
    assert hot_keys(read_scenario(file))[0].share == 0.5


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('faults = [{what = "freeze", at = 1, box = "none", seconds = 1}]', "faults[0] (freeze)"),
        ('faults = [{what = "silence", at = 1, seconds = 1}]', "needs either `box` or `zone`"),
        ('faults = [{what = "silence", at = 1, seconds = 1, zone = "x"}]', "no zone"),
        ('faults = [{what = "slow", at = 1, seconds = 1, box = "origin"}]', "no box"),
        ('faults = [{what = "restart", at = 1, router = 1}]', "1 routers"),
        ('faults = [{what = "explode", at = 1}]', "faults[0]"),
        ("routers = 0", "routers"),
        ("sead = 4", "sead"),
        ('zones = ["a", "a"]', "zones"),
        ("seconds = ", "s.toml"),
    ],
)
def test_a_scenario_that_cannot_be_played_is_refused_by_name(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "s.toml"
    file.write_text(text)
    with pytest.raises(ScenarioError) as error:
        read_scenario(file)
    assert named in str(error.value) and "s.toml" in str(error.value)
