"""Tests of operators' orders as values and in the shared file, and of two processes that share them."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.ops import orders as module
from myrtlecourse.ops.descriptor_claims import MIN_DESCRIPTORS, Claim, DescriptorClaims, descriptor_share
from myrtlecourse.ops.orders import RETURN_MEMORY, Orders, OrdersError, events_between, from_table, to_table
from myrtlecourse.ops.store import OrderStore


def test_calls_out_may_be_repeated_and_one_back_ends_the_ban() -> None:
    once = Orders().with_ban("a", 1.0)
    assert once.with_ban("a", 2.0) is once
    back = once.without_ban("a", 3.0)
    assert not back.bans and back.returned == {"a": 3.0} and back.revision == 2
    assert back.without_ban("a", 4.0) is back


def test_too_many_bans_are_a_no(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_BANS", 2)
    full = Orders().with_ban("a", 1.0).with_ban("b", 1.0)
    assert full.with_ban("a", 2.0) is full
    with pytest.raises(OrdersError, match="2 cache servers"):
        full.with_ban("c", 2.0)


def test_service_is_left_and_resumed_once() -> None:
    out = Orders().with_out_of_service(True)
    assert out.out_of_service and out.with_out_of_service(True) is out
    assert not out.with_out_of_service(False).out_of_service


CALLS = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0, 2 * RETURN_MEMORY)), max_size=12
)


@given(CALLS, st.integers(0, 12))
def test_whoever_looks_late_holds_the_same_bans(calls: list[tuple[str, bool, float]], seen: int) -> None:
    """A process that missed some revisions gets an event for each ban that began or ended, and no other."""
    orders = seen_orders = Orders()
    for i, (server, out, now) in enumerate(sorted(calls, key=lambda c: c[2])):
        orders = orders.with_ban(server, now) if out else orders.without_ban(server, now)
        if i < seen:
            seen_orders = orders
    bans = set(seen_orders.bans)
    for event in events_between(seen_orders, orders):
        if isinstance(event, api.ServerBanned):
            bans.add(event.server)
        else:
            assert event.server not in orders.bans
            bans.discard(event.server)
    assert bans == set(orders.bans)
    assert not list(events_between(orders, orders))


@given(CALLS, st.booleans())
def test_orders_survive_their_form_in_the_file(calls: list[tuple[str, bool, float]], out: bool) -> None:
    orders = Orders().with_out_of_service(out)
    for server, off, now in calls:
        orders = orders.with_ban(server, now) if off else orders.without_ban(server, now)
    assert from_table(orjson.loads(orjson.dumps(to_table(orders)))) == orders


def change(store: OrderStore, server: str) -> None:
    asyncio.run(store.change(lambda o: o.with_ban(server, 5.0)))


def test_what_one_process_is_told_binds_the_other(tmp_path: Path) -> None:
    one, other = OrderStore(tmp_path), OrderStore(tmp_path)
    change(one, "a")
    change(other, "b")  # which has not read the file since
    assert set(other.orders.bans) == {"a", "b"}
    assert one.refresh() and set(one.orders.bans) == {"a", "b"}
    assert not one.refresh()
    late = OrderStore(tmp_path)
    assert late.refresh() and late.orders == one.orders


GOOD = orjson.dumps({"revision": 3, "bans": {}, "returned": {}, "out_of_service": True})


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"\xff" * 100,
        b"[]",
        b'{"version":1}',
        b'{"version":2,"sha256":"","orders":{}}',
        b'{"version":1,"sha256":"x","orders":' + GOOD + b"}",
    ],
)
def test_a_torn_foreign_or_newer_file_is_logged_and_changes_nothing(
    text: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "myrtlecourse-orders.json").write_bytes(text)
    store = OrderStore(tmp_path)
    assert not store.refresh() and store.orders == Orders()
    assert "can't be used" in caplog.text
    change(store, "a")  # the next order replaces the file
    assert OrderStore(tmp_path).refresh()


@pytest.mark.parametrize(
    "table",
    [
        None,
        {},
        {"revision": True, "bans": {}, "returned": {}, "out_of_service": False},
        {"revision": 1, "bans": [], "returned": {}, "out_of_service": False},
        {"revision": 1, "bans": {"a": "now"}, "returned": {}, "out_of_service": False},
        {"revision": 1, "bans": {}, "returned": {"a": True}, "out_of_service": False},
        {"revision": 1, "bans": {}, "returned": {}, "out_of_service": 0},
    ],
)
def test_malformed_orders_are_refused(table: object) -> None:
    with pytest.raises(OrdersError):
        from_table(table)


def test_a_process_that_stands_with_the_lock_holds_up_no_call(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    lock = os.open(tmp_path / "myrtlecourse-orders.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock, fcntl.LOCK_EX)
    store = OrderStore(tmp_path)
    change(store, "a")
    assert "a" in store.orders.bans and "without the lock" in caplog.text
    os.close(lock)


def test_an_order_that_can_t_be_kept_is_a_no(tmp_path: Path) -> None:
    store = OrderStore(tmp_path / "gone")
    with pytest.raises(OrdersError, match="can't be stored"):
        change(store, "a")
    assert not store.orders.bans


def test_without_a_folder_orders_are_held_in_memory() -> None:
    store = OrderStore(None)
    change(store, "a")
    assert "a" in store.orders.bans and not store.refresh()


def test_a_process_that_lives_is_seen_and_one_that_died_is_cleared_away(tmp_path: Path) -> None:
    one, other = DescriptorClaims(tmp_path), DescriptorClaims(tmp_path)
    one.claim(200)
    assert other.others() == [Claim(one.started_ns, 200)]
    os.close(one.file)  # as if the process had died
    assert other.others() == [] and not one.path.exists()
    other.release()
    assert not list(tmp_path.iterdir())


@given(st.integers(200, 2000), st.integers(0, 800), st.integers(0, 800), st.booleans())
def test_both_together_stay_within_the_total(total: int, old_has: int, new_has: int, ending: bool) -> None:
    old = descriptor_share(total, min(old_has, total), ending, 1, [Claim(2, 0)])
    new = descriptor_share(total, new_has, False, 2, [Claim(1, old)])
    assert old <= total and new >= MIN_DESCRIPTORS
    assert old + new <= max(total, old + MIN_DESCRIPTORS)
    assert descriptor_share(total, new_has, False, 2, []) == total
