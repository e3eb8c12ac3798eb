"""Gossip between routers: sealed datagrams, merging records, and membership."""

from __future__ import annotations

import random
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.peers.gossip import MAX_DELAY, STALL_THRESHOLD, TICK_INTERVAL, Gossip, State
from myrtlecourse.peers.records import (
    EPOCH,
    MAX_AGE,
    MAX_PAYLOAD_SIZE,
    Record,
    decode_record,
    encoded_size,
    start_number,
)
from myrtlecourse.peers.seal import MAX_DATAGRAM, Dropped, ReplayWindow, Seal, ident

KEY = b"a common key of routers"
WALL = EPOCH + 1000.0
records = st.builds(
    Record,
    st.just(7),
    st.integers(1, 3),
    st.integers(1, 4),
    st.just(9),
    st.tuples(st.integers(0, 3)),
    st.sampled_from([1.0, 2.0, 3.0]),
)


def identity(record: Record) -> tuple[int, int]:
    """Return what identifies a record among those of one router."""
    return record.start, record.number


@given(records, records, records)
def test_merging_is_commutative_associative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    def with_payload(r: Record) -> Record:  # a router makes one payload for each number
        return Record(r.owner, r.start, r.number, r.zone, (r.start * 10 + r.number,), r.made_at)

    a, b, c = with_payload(a), with_payload(b), with_payload(c)
    assert a.merged(a) == a
    assert a.merged(b) == b.merged(a)
    assert a.merged(b).merged(c) == a.merged(b.merged(c))
    assert identity(a.merged(b)) == max(identity(a), identity(b))


@given(
    st.integers(1, 2**32 - 1),
    st.integers(1, 2**31),
    st.integers(1, 2**31),
    st.lists(st.integers(0, 2**32 - 1), max_size=36),
    st.floats(0.0, 100.0),
)
def test_a_record_comes_as_it_went_and_within_its_width(
    owner: int, start: int, number: int, payload: list[int], age: float
) -> None:
    record = Record(owner, start, number, 3, tuple(payload), 50.0 - age)
    decoded = decode_record(record.encode(50.0), 50.0)
    assert (decoded.owner, decoded.start, decoded.number, decoded.payload) == (
        owner,
        start,
        number,
        tuple(payload),
    )
    assert abs(decoded.made_at - record.made_at) <= 0.06 or age * 10 > MAX_AGE
    sealed = Seal("b", KEY).pack("b", record.encode(50.0))
    assert len(sealed) <= 16 + record.max_size + 2


@pytest.mark.parametrize(
    "parts",
    [
        None,
        [],
        [1, 1, 1, 1, 1],
        [1, 1, 1, 1, 1, "x"],
        [1, 1, 1, 1, 1, [-1]],
        [1, 1, 1, 1, 1, [2**41]],
        [1, 1, 1, 1, 1, [True]],
        [0, 1, 1, 1, 1, []],
        [1, 1, 1, 1, MAX_AGE + 1, []],
        [1, 1, 1, 1, 1, [0] * 1000],
    ],
)
def test_what_is_no_record_is_dropped(parts: object) -> None:
    with pytest.raises(Dropped, match="malformed"):
        decode_record(parts, 0.0)


@given(st.lists(st.integers(1, 200), min_size=1, max_size=100))
def test_a_number_is_taken_once_whatever_the_order(numbers: list[int]) -> None:
    window, accepted = ReplayWindow(), []
    for number in numbers:
        try:
            window.accept(number)
        except Dropped:
            continue
        accepted.append(number)
    assert len(set(accepted)) == len(accepted) and max(numbers) in accepted


class Group:
    """Routers on one clock, with a network that a test controls."""

    def __init__(self, count: int, interval: float = 1.0, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.names = tuple(f"r{i}" for i in range(count))
        self.now = 100.0
        self.interval = interval
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.stopped: set[str] = set()
        self.each = {name: self.make(name) for name in self.names}
        self.sent: list[tuple[str, str, bytes]] = []
        self.waiting: dict[str, list[bytes]] = {name: [] for name in self.names}

    def make(self, name: str) -> Gossip:
        zone = f"z{self.names.index(name) % 2}"
        seed = self.chance.getrandbits(32)
        return Gossip(name, self.names, zone, KEY, self.now, WALL + self.now, seed, self.interval)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_INTERVAL)):
            self.now += TICK_INTERVAL
            for name, gossip in self.each.items():
                if name in self.stopped:
                    continue
                for data in self.waiting[name]:
                    self.give(name, data)
                self.waiting[name] = []
                for datagram in gossip.tick(self.now, WALL + self.now, lambda: (1,)):
                    assert len(datagram.data) <= MAX_DATAGRAM
                    self.sent.append((name, datagram.to, datagram.data))
                    if (name, datagram.to) not in self.cut and self.chance.random() >= self.loss:
                        self.waiting[datagram.to].append(datagram.data)

    def give(self, name: str, data: bytes) -> None:
        with suppress(Dropped):
            self.each[name].receive(data, self.now, WALL + self.now)

    def states(self, name: str) -> dict[str, State]:
        gossip = self.each[name]
        return {m.name: gossip.state(m, self.now) for m in gossip.members.values()}


@pytest.mark.parametrize("count", [2, 6, 60])
def test_all_know_of_all_and_hear_when_one_ends(count: int) -> None:
    group = Group(count)
    group.run(30.0)
    alive = [sum(s is State.ALIVE for s in group.states(n).values()) for n in group.names]
    assert min(alive) >= 0.95 * count
    group.stopped = {"r1"}
    group.run(4 * 1.0 * max(1.3, count / 8) * 4 + 10)
    assert all(group.states(n)["r1"] is State.GONE for n in group.names if n != "r1")
    group.stopped = set()
    group.run(30.0)
    assert sum(group.states(n)["r1"] is State.ALIVE for n in group.names) >= 0.95 * count


def test_a_word_that_is_urgent_comes_to_all_within_half_a_second() -> None:
    group = Group(60)
    group.run(20.0)
    before = len(group.sent)
    number = group.each["r0"].record_number
    first = group.each["r0"]
    first.spread_urgently(group.now)
    heard: set[str] = set()
    for _ in range(8):
        group.run(TICK_INTERVAL)
        for name, gossip in group.each.items():
            record = gossip.members[first.own_id].record
            if name not in heard and record is not None and record.number > number:
                heard.add(name)
                gossip.spread_urgently(group.now)
    assert len(heard) >= 0.95 * 60
    assert len(group.sent) - before < 60 * 3 * 9


def test_one_way_cuts_are_passed_by_the_others() -> None:
    group = Group(6)
    group.run(10.0)
    group.cut = {("r0", "r1")}
    group.run(60.0)
    assert group.states("r1")["r0"] is State.ALIVE


@pytest.mark.parametrize("loss", [0.3, 0.5])
def test_loss_makes_nobody_gone(loss: float) -> None:
    group = Group(12)
    group.loss = loss
    group.run(60.0)
    for name in group.names:
        assert State.GONE not in group.states(name).values()


def test_a_router_that_stood_still_believes_nothing_until_it_hears_somebody() -> None:
    group = Group(6)
    group.run(10.0)
    assert group.each["r0"].peers_heard
    group.stopped = {"r0"}
    group.run(5.0)
    group.cut = {(n, "r0") for n in group.names}
    group.waiting["r0"].clear()
    group.stopped = set()
    group.run(TICK_INTERVAL)
    assert group.each["r0"].stalls == 1 and not group.each["r0"].peers_heard
    group.cut = set()
    group.run(3.0)
    assert group.each["r0"].peers_heard


def test_what_lay_in_a_queue_meanwhile_is_as_old_as_it_is() -> None:
    a, b = Group(2).each.values()
    (datagram,) = a.tick(105.0, WALL + 105.0, lambda: (1,))
    (record,) = b.receive(datagram.data, 109.0, WALL + 109.0)
    assert record.made_at == pytest.approx(105.0, abs=0.11)
    (datagram,) = a.tick(107.0, WALL + 107.0, lambda: (1,))
    with pytest.raises(Dropped, match="too late"):
        b.receive(datagram.data, 107.0, WALL + 107.0 + MAX_DELAY + 0.2)


def test_forged_replayed_foreign_and_former_datagrams_are_dropped_and_counted() -> None:
    group = Group(3)
    a, b = group.each["r0"], group.each["r1"]

    def next_datagram(gossip: Gossip, to: str) -> bytes:
        gossip.due = -1.0
        while True:
            for datagram in gossip.tick(group.now, WALL + group.now, lambda: (1,)):
                if datagram.to == to:
                    return datagram.data
            group.now += TICK_INTERVAL
            gossip.due = -1.0

    data = next_datagram(a, "r1")
    b.receive(data, group.now, WALL + group.now)
    with pytest.raises(Dropped, match="replayed"):
        b.receive(data, group.now, WALL + group.now)
    with pytest.raises(Dropped, match="forged"):
        group.each["r2"].receive(next_datagram(a, "r1"), group.now, WALL + group.now)
    with pytest.raises(Dropped, match="forged"):
        b.receive(next_datagram(a, "r1")[:-1] + b"x", group.now, WALL + group.now)
    old = next_datagram(a, "r1")
    group.now += 1.0
    later = Gossip("r0", group.names, "z0", KEY, group.now, WALL + group.now, 5)
    b.receive(next_datagram(later, "r1"), group.now, WALL + group.now)
    with pytest.raises(Dropped, match="over"):
        b.receive(old, group.now, WALL + group.now)
    stranger = Gossip("x", ("x", "r1"), "z0", KEY, group.now, WALL + group.now, 5)
    with pytest.raises(Dropped, match="no member"):
        b.receive(next_datagram(stranger, "r1"), group.now, WALL + group.now)
    assert b.dropped.total() == 4 and group.each["r2"].dropped.total() == 1


@given(st.binary(max_size=300))
def test_noise_is_dropped(noise: bytes) -> None:
    with pytest.raises(Dropped):
        Group(2).each["r0"].receive(noise, 100.0, WALL)


def test_a_budget_of_bytes_is_kept_however_much_there_is_to_say() -> None:
    group = Group(30)
    for gossip in group.each.values():
        gossip.budget = gossip.byte_credit = 1000.0
    group.run(5.0)
    before = group.each["r3"].bytes_sent
    for _ in range(100):
        group.each["r3"].spread_urgently(group.now)
        group.run(TICK_INTERVAL)
    assert group.each["r3"].bytes_sent - before <= 11 * 1000.0


def test_members_that_can_t_be_told_apart_are_refused() -> None:
    with pytest.raises(ValueError, match="among them"):
        Gossip("x", ("a", "b"), "z", KEY, 0.0, WALL, 1)
    with pytest.raises(ValueError, match="bytes"):
        Gossip("a", ("a", "b"), "z", b"short", 0.0, WALL, 1)
    assert ident("a") != ident("b") and 0 < ident("zone", 2) < 65_536


def test_numbers_take_the_bytes_that_are_reckoned() -> None:
    import msgspec  # noqa: PLC0415  (only for this comparison)

    for number in (0, 127, 128, 255, 256, 65_535, 65_536, 2**32 - 1, 2**32):
        assert len(msgspec.msgpack.encode(number)) == encoded_size(number)
    assert MAX_PAYLOAD_SIZE < MAX_DATAGRAM and start_number(EPOCH) == 1 and STALL_THRESHOLD > TICK_INTERVAL


def test_clocks_that_run_apart_by_a_few_percent_change_nothing() -> None:
    group = Group(6)
    rates = dict(zip(group.names, (0.98, 1.02, 1.0, 0.98, 1.02, 1.0), strict=True))
    ticks = {name: gossip.tick for name, gossip in group.each.items()}
    receivers = {name: gossip.receive for name, gossip in group.each.items()}
    for name, gossip in group.each.items():
        rate = rates[name]
        gossip.tick = lambda now, wall, make_payload, t=ticks[name], r=rate: t(now * r, wall, make_payload)  # type: ignore[method-assign,misc]
        gossip.receive = lambda data, now, wall, t=receivers[name], r=rate: t(data, now * r, wall)  # type: ignore[method-assign,misc]
    group.run(300.0)
    for name, gossip in group.each.items():
        states = [gossip.state(m, group.now * rates[name]) for m in gossip.members.values()]
        assert states == [State.ALIVE] * 6


def test_another_version_is_dropped_and_counted() -> None:
    group = Group(2)
    datagram = Seal("r1", KEY).pack("r1", [99, 1, 1, 1, 1, []])
    with pytest.raises(Dropped, match="version"):
        group.each["r1"].receive(datagram, group.now, WALL)
