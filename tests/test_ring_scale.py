"""A list change costs only its own points on the ring and in the totals, not those of the fleet."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.policy import ring as rings
from myrtlecourse.policy import tuning
from myrtlecourse.policy.ring import Ring
from myrtlecourse.policy.sizes import Sizes
from myrtlecourse.policy.state import Server
from tests.driver import Driver, entry
from tests.driver import settings as conf
from tests.loopback import needs_sources
from tests.test_ring import nodes_of

steps = st.lists(st.tuples(st.integers(0, 90), st.integers(0, tuning.POINTS)), max_size=200)


def placed(counts: dict[str, int]) -> list[tuple[int, str]]:
    """Return the points in order by plain sorting, without the bits that the ring does not store."""
    cut = rings.DROPPED_BITS
    return sorted((p >> cut << cut, name) for name, n in counts.items() for p in nodes_of(name, n))


@settings(max_examples=30)
@given(steps, st.booleans())
def test_a_ring_holds_the_points_that_servers_have_whatever_the_way(
    changes: list[tuple[int, int]], at_once: bool
) -> None:
    ring = Ring()
    servers = {n: Server(api.ServerEntry(f"s{n}")) for n in range(91)}
    counts: dict[str, int] = {}
    for number, count in changes:
        counts[f"s{number}"] = count
        if not at_once:
            ring.set_points(servers[number], count)
    if at_once:
        ring.set_all_points([(s, counts.get(s.entry.server, 0)) for s in servers.values()])
    assert [(p, s.entry.server) for p, s in ring.points()] == placed(counts)
    assert ring.point_count == sum(counts.values())
    start = rings.ring_hash("key")[0]
    tour = [server.entry.server for server, _ in ring.walk("key", 10**6)]
    expected = placed(counts)
    at = next((i for i, (p, _) in enumerate(expected) if p >= start), 0)
    assert tour == [name for _, name in expected[at:] + expected[:at]]


@needs_sources
def test_a_change_in_a_large_fleet_places_its_own_points_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each change of one server rebuilt the whole ring and blocked the event loop (issue 48)."""
    hashed: Counter[str] = Counter()
    nodes = rings.kept_nodes

    def counted(server: str, count: int) -> list[int]:
        hashed[server] += 1
        return nodes(server, count)

    d = Driver(conf())
    d.list(*(entry(f"s{n}", weight=1.0 + n % 3 / 10) for n in range(600)))
    monkeypatch.setattr(rings, "kept_nodes", counted)
    whole = [(p, s.entry.server) for p, s in d.router.ring.points()]
    d.list(entry("s7", state=api.State.GONE), entry("new"), kind=api.ListKind.DELTA)
    assert set(hashed) == {"s7", "new"}
    hashed.clear()
    # restarted, with the same points
    d.list(entry("s9", weight=1.0, listed_start=d.now), kind=api.ListKind.DELTA)
    assert not hashed
    d.list(entry("s7", weight=1.1), entry("new", state=api.State.DRAINING), kind=api.ListKind.DELTA)
    assert [(p, s.entry.server) for p, s in d.router.ring.points()] == whole


def test_when_points_count_otherwise_a_few_servers_follow_at_a_time() -> None:
    d = Driver(conf())
    d.list(*(entry(f"s{n}") for n in range(300)))
    before = d.router.ring.point_count
    d.list(entry("large", weight=2.0), kind=api.ListKind.DELTA)  # all others get half as many points now
    placed_now = sum(s.ring_points == tuning.POINTS // 2 for s in d.router.servers.values())
    assert placed_now <= tuning.PLACEMENT_BATCH
    assert before - d.router.ring.point_count < before / 2
    d.wait(1.0)
    assert {s.ring_points for s in d.router.servers.values()} == {tuning.POINTS // 2, tuning.POINTS}
    assert not d.router.stale_points


class Plain:
    """The same totals, computed from scratch each time."""

    def __init__(self) -> None:
        self.sizes: dict[Server, float] = {}

    def largest(self) -> float:
        return max(self.sizes.values(), default=0.0) or 1.0

    def total(self) -> float:
        return sum(size or self.largest() for size in self.sizes.values())


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from([None, 0.0, 0.5, 1.0, 2.0, 3.0])), max_size=60))
def test_sums_of_sizes_are_those_of_the_servers_there(changes: list[tuple[int, Any]]) -> None:
    sizes, plain = Sizes(), Plain()
    servers = [Server(api.ServerEntry(f"s{n}")) for n in range(10)]
    for number, size in changes:
        if size is None:
            sizes.remove(servers[number])
            plain.sizes.pop(servers[number], None)
        else:
            sizes.update(servers[number], size, 0.0)
            plain.sizes[servers[number]] = size
        sizes.refresh()
        assert sizes.total == pytest.approx(plain.total())
        assert sizes.largest == plain.largest()
        assert all(s.size == (size or plain.largest()) for s, size in plain.sizes.items())


def test_failing_servers_are_counted_as_a_look_at_all_would() -> None:
    """Failing servers are tracked, as counting them over the whole fleet at each outcome was slow."""
    generator = random.Random(7)
    d = Driver(conf(max_attempts=1))
    d.list(*(entry(f"s{n}") for n in range(12)))
    for n in range(1500):
        if n % 40 == 0:
            name = f"s{generator.randrange(12)}"
            state = generator.choice([api.State.READY, api.State.DRAINING, api.State.GONE])
            d.list(
                entry(name, state=state, listed_start=generator.choice([0.0, d.now])), kind=api.ListKind.DELTA
            )
        sent = d.request(f"r{n}", key=f"k{n}")
        if sent is not None:
            d.now += 0.01
            d.end(f"r{n}", generator.choice([api.Status.OK, api.Status.RESET, api.Status.RESET]))
        d.wait(0.02)
        expected = {
            s for s in d.router.caches.values() if s.consecutive_failures >= tuning.EXCLUSION_FAILURES
        }
        assert d.router.failing == expected


def test_of_a_server_named_twice_in_one_list_the_last_entry_holds() -> None:
    """A removed server was added again and got requests that nobody served."""
    d = Driver(conf())
    d.list(entry("a"))
    d.list(entry("b"), entry("b", state=api.State.GONE), kind=api.ListKind.DELTA)
    d.list(
        entry("c", state=api.State.DRAINING),
        entry("c"),
        entry("c", state=api.State.DRAINING),
        kind=api.ListKind.DELTA,
    )
    assert set(d.router.caches) == {"a"} and set(d.router.servers) == {"a", "c"}
    assert {server.entry.server for _, server in d.router.ring.points()} == {"a"}
