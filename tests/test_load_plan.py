"""The requests that the generator plans: arrivals, mix, profiles and traces; and the record of a run."""

from __future__ import annotations

import json
import pickle
from collections import Counter
from itertools import pairwise
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.load.arrivals import arrival_times
from myrtlecourse.load.profile import (
    Clients,
    Keys,
    Piece,
    Profile,
    ProfileError,
    RequestClass,
    Tenant,
    constant,
    read_profile,
)
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import plan_requests
from myrtlecourse.load.trace import Replay, TraceError, read_trace, replay_requests

SHAPES = [
    Piece(20.0, 300.0),
    Piece(20.0, 50.0, "ramp", 500.0),
    Piece(20.0, 50.0, "step", 500.0),
    Piece(20.0, 50.0, "spike", 2000.0),
    Piece(20.0, 50.0, "wave", 500.0),
    Piece(20.0, 50.0, "bursts", 800.0),
]


def offsets(profile: Profile, share: float = 1.0) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    return np.concatenate(list(arrival_times(profile, np.random.default_rng(7), share)))


@pytest.mark.parametrize("piece", SHAPES, ids=lambda p: p.shape)
def test_each_shape_has_the_arrivals_that_it_says_in_each_second(piece: Piece) -> None:
    at = offsets(Profile((piece,)))
    grid = np.arange(0.0, piece.seconds, 0.0005) + 0.00025
    due = np.array([piece.at(t) for t in grid]).reshape(20, -1).sum(axis=1) * 0.0005
    counted = np.histogram(at, bins=20, range=(0.0, piece.seconds))[0]
    assert np.all(np.diff(at) >= 0)
    assert np.all(np.abs(counted - due) < 5 * np.sqrt(due))
    assert abs(len(at) - due.sum()) < 4 * np.sqrt(due.sum())


@pytest.mark.parametrize("piece", SHAPES, ids=lambda p: p.shape)
def test_even_arrivals_are_as_many_as_due_and_pieces_follow_one_another(piece: Piece) -> None:
    at = offsets(Profile((Piece(5.0, 0.0), piece), arrivals="even"))
    due = sum(piece.at(t) for t in np.arange(0.0, 20.0, 0.0005) + 0.00025) * 0.0005
    assert abs(len(at) - due) <= 1
    assert at[0] >= 5.0 and at[-1] < 25.0


def test_poisson_gaps_are_exponential() -> None:
    gaps = np.diff(offsets(Profile((Piece(100.0, 500.0),))))
    assert gaps.mean() == pytest.approx(1 / 500, rel=0.03)
    assert gaps.std() == pytest.approx(gaps.mean(), rel=0.03)


def test_mix_keys_and_leaving_follow_the_profile_and_the_seed() -> None:
    profile = Profile(
        (Piece(50.0, 1000.0),),
        classes=(RequestClass("read", 9.0), RequestClass("book", 1.0, write=True, keyed=True)),
        tenants=(Tenant("a", 0.7), Tenant("b", 0.3)),
        keys=Keys(count=1000, zipf=1.0),
        clients=Clients(leave=0.1),
    )
    requests = list(plan_requests(profile))
    assert requests == list(plan_requests(profile))
    assert requests[:50] != list(plan_requests(Profile(profile.pieces, seed=2)))[:50]
    total = len(requests)
    assert sum(r.request_class.name == "book" for r in requests) / total == pytest.approx(0.1, abs=0.01)
    assert sum(r.tenant == "b" for r in requests) / total == pytest.approx(0.3, abs=0.01)
    assert sum(r.client_leaves for r in requests) / total == pytest.approx(0.1, abs=0.01)
    counted = Counter(r.key for r in requests)
    harmonic = sum(1 / k for k in range(1, 1001))
    for rank in (1, 2, 10):
        assert counted[f"key-{rank - 1}"] / total == pytest.approx(1 / rank / harmonic, rel=0.15)


def test_popular_keys_move_on() -> None:
    requests = list(plan_requests(Profile((Piece(10.0, 500.0),), keys=Keys(count=10, zipf=3.0, drift=5.0))))
    late = Counter(r.key for r in requests if r.at > 9.8)
    assert late.most_common(1)[0][0] in ("key-49", "key-50")


def test_workers_share_the_whole_rate() -> None:
    profile = Profile((Piece(20.0, 1000.0),))
    parts = [len(list(plan_requests(profile, worker, 4))) for worker in range(4)]
    assert sum(parts) == pytest.approx(20_000, rel=0.03)
    assert all(part == pytest.approx(5000, rel=0.08) for part in parts)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("", "pieces"),
        ("pieces = []", "pieces"),
        ('pieces = [{seconds = 1, rate = 1, shape = "zigzag"}]', "$.pieces[0].shape"),
        ("pieces = [{seconds = 1, rate = 1, speed = 3}]", "speed"),
        ("pieces = [{seconds = -1, rate = 1}]", "$.pieces[0].seconds"),
        ('pieces = [{seconds = 1, rate = 1, shape = "ramp"}]', "`to`"),
        ("pieces = [{seconds = 1, rate = 1}]\ntenants = [{name = 'a,b'}]", "$.tenants[0].name"),
        ("pieces = [{seconds = 1, rate = 1}]\nclasses = [{name = 'a', keyed = true}]", "class a"),
        ("pieces = [{seconds = 1, rate = 1}]\nclasses = [{name = 'a', share = 0}]", "classes"),
        ("pieces = [{seconds = 1, rate = 1}]\ntenants = [{name = 'a'}, {name = 'a'}]", "tenants"),
        ("pieces = [", "Invalid value"),
    ],
)
def test_a_profile_that_cant_be_used_names_its_field(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "profile.toml"
    file.write_text(text)
    with pytest.raises(ProfileError) as caught:
        read_profile(file)
    assert named in str(caught.value) and str(file) in str(caught.value)


def test_a_constant_rate_is_checked_too() -> None:
    with pytest.raises(ProfileError, match="rate"):
        constant(1e9, 1.0)


GOOD = {"at": 0.0, "class": "read", "tenant": "a", "key": "k"}


def trace(folder: Path, *rows: object) -> Path:
    file = folder / "trace.jsonl"
    file.write_text("\n".join(r if isinstance(r, str) else json.dumps(r) for r in rows))
    return file


@pytest.mark.parametrize(
    ("rows", "named"),
    [
        ([], "no request"),
        ([GOOD, '{"at": 1.0, "class": "re'], ":2:"),  # cut short
        ([GOOD | {"at": 2.0}, GOOD | {"at": 1.0}], ":2: `at` is 1, after 2"),
        ([GOOD, GOOD | {"colour": "red"}], ":2:"),
        ([GOOD | {"key": "two words"}], ":1:"),
        ([GOOD | {"at": -1}], ":1:"),
        ([GOOD, "x" * 70_000], ":2: longer"),
    ],
)
def test_a_trace_that_cant_be_used_names_its_line(tmp_path: Path, rows: list[object], named: str) -> None:
    with pytest.raises(TraceError, match=None) as caught:
        list(read_trace(trace(tmp_path, *rows)))
    assert named in str(caught.value)


def test_a_trace_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(TraceError, match="none.jsonl"):
        list(read_trace(tmp_path / "none.jsonl"))


def test_a_trace_is_replayed_faster_looped_and_by_several_workers(tmp_path: Path) -> None:
    file = trace(tmp_path, *(GOOD | {"at": i / 10, "key": f"k{i}", "write": i % 3 == 0} for i in range(11)))
    replay = Replay(file, speed=2.0, loops=2, classes=(RequestClass("read", deadline=7.0),))
    whole = list(replay_requests(replay))
    assert [r.at for r in whole] == pytest.approx([i / 20 for i in (*range(11), *range(10, 21))])
    assert all(r.request_class.deadline == 7.0 for r in whole)
    assert sum(r.request_class.write for r in whole) == 8
    parts = [r for worker in range(3) for r in replay_requests(replay, worker, 3)]
    assert sorted(parts, key=lambda r: (r.at, r.key)) == sorted(whole, key=lambda r: (r.at, r.key))


@given(st.lists(st.tuples(st.sampled_from(["served", "refused", "left"]), st.floats(0.0, 30.0)), max_size=60))
def test_records_merge_to_the_record_of_all_also_from_another_process(ends: list[tuple[str, float]]) -> None:
    whole, parts = Record(), [Record(), Record()]
    for i, (outcome, latency) in enumerate(ends):
        for record in (whole, parts[i % 2]):
            record.count_start(latency / 1000)
            record.count_end(float(i), "read", f"t{i % 3}", outcome, latency, 1.0)
    merged = Record()
    for part in parts:
        merged.merge(pickle.loads(pickle.dumps(part)))
    assert merged.figures(2.0) == whole.figures(2.0)
    assert whole.all.counts["scheduled"] == len(ends)


def test_quantiles_are_within_three_digits() -> None:
    record = Record()
    for i in range(1, 10_001):
        record.count_end(0.0, "read", "a", "served", i / 1000, 5.0)
    quantiles = record.figures(1.0)["latency_ms"]
    for name, value in {"p50": 5000, "p90": 9000, "p99": 9900, "p999": 9990, "max": 10_000}.items():
        assert quantiles[name] == pytest.approx(value, rel=0.002)
    assert record.all.counts["in_time"] == 5000
    assert all(a <= b for a, b in pairwise([quantiles[n] for n in ("p50", "p90", "p99", "p999", "max")]))
