"""What operators ordered: as values, in the shared file, and what two processes make of it."""

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
from myrtlecourse.ops.lives import LEAST, Claim, Lives, share
from myrtlecourse.ops.orders import KEPT, Listed, Orders, OrdersError, changes, from_table, to_table
from myrtlecourse.ops.store import Store


def test_calls_out_may_be_repeated_and_one_back_ends_the_ban() -> None:
    once = Orders().offline("a", 1.0)
    assert once.offline("a", 2.0) is once
    back = once.online("a", 3.0)
    assert not back.bans and back.returned == {"a": 3.0} and back.revision == 2
    assert back.online("a", 4.0) is back


def test_too_many_bans_are_a_no(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_BANS", 2)
    full = Orders().offline("a", 1.0).offline("b", 1.0)
    assert full.offline("a", 2.0) is full
    with pytest.raises(OrdersError, match="2 cache servers"):
        full.offline("c", 2.0)


def test_service_is_left_and_resumed_once() -> None:
    out = Orders().service(True)
    assert out.out_of_service and out.service(True) is out
    assert not out.service(False).out_of_service


CALLS = st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0, 2 * KEPT)), max_size=12)


@given(CALLS, st.integers(0, 12))
def test_whoever_looks_late_holds_the_same_bans(calls: list[tuple[str, bool, float]], seen: int) -> None:
    """A process that missed some revisions hears of each ban and each end of one, and of no other."""
    orders = early = Orders()
    for i, (server, out, now) in enumerate(sorted(calls, key=lambda c: c[2])):
        orders = orders.offline(server, now) if out else orders.online(server, now)
        if i < seen:
            early = orders
    held = set(early.bans)
    for event in changes(early, orders):
        if isinstance(event, api.ServerBanned):
            held.add(event.server)
        else:
            assert event.server not in orders.bans
            held.discard(event.server)
    assert held == set(orders.bans)
    assert not list(changes(orders, orders))


@given(CALLS, st.booleans())
def test_orders_survive_their_form_in_the_file(calls: list[tuple[str, bool, float]], out: bool) -> None:
    orders = Orders().service(out)
    for server, off, now in calls:
        orders = orders.offline(server, now) if off else orders.online(server, now)
    assert from_table(orjson.loads(orjson.dumps(to_table(orders)))) == orders


def test_ids_that_were_listed_are_remembered_and_others_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_LISTED", 2)
    listed = Listed()
    listed.note([("a", True), ("o", False)])
    assert listed.why_not("a") == "" and "origin" in listed.why_not("o")
    assert listed.why_not("x") == "no list has named this id"
    listed.note([("a", True), ("b", True)])
    assert listed.why_not("a") == "" and listed.why_not("o")  # o is forgotten, as it was named longest ago


def change(store: Store, server: str) -> None:
    asyncio.run(store.change(lambda o: o.offline(server, 5.0)))


def test_what_one_process_is_told_binds_the_other(tmp_path: Path) -> None:
    one, other = Store(tmp_path), Store(tmp_path)
    change(one, "a")
    change(other, "b")  # which has not looked since
    assert set(other.orders.bans) == {"a", "b"}
    assert one.refresh() and set(one.orders.bans) == {"a", "b"}
    assert not one.refresh()
    late = Store(tmp_path)
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
    store = Store(tmp_path)
    assert not store.refresh() and store.orders == Orders()
    assert "can't be used" in caplog.text
    change(store, "a")  # and it is replaced by the next order
    assert Store(tmp_path).refresh()


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
    store = Store(tmp_path)
    change(store, "a")
    assert "a" in store.orders.bans and "without the lock" in caplog.text
    os.close(lock)


def test_an_order_that_can_t_be_kept_is_a_no(tmp_path: Path) -> None:
    store = Store(tmp_path / "gone")
    with pytest.raises(OrdersError, match="can't be kept"):
        change(store, "a")
    assert not store.orders.bans


def test_without_a_folder_orders_are_held_in_memory() -> None:
    store = Store(None)
    change(store, "a")
    assert "a" in store.orders.bans and not store.refresh()


def test_a_process_that_lives_is_seen_and_one_that_died_is_cleared_away(tmp_path: Path) -> None:
    one, other = Lives(tmp_path), Lives(tmp_path)
    one.claim(200)
    assert other.others() == [Claim(one.born, 200)]
    os.close(one.file)  # as its death would
    assert other.others() == [] and not one.path.exists()
    other.end()
    assert not list(tmp_path.iterdir())


@given(st.integers(200, 2000), st.integers(0, 800), st.integers(0, 800), st.booleans())
def test_both_together_stay_within_the_total(total: int, old_has: int, new_has: int, ending: bool) -> None:
    old = share(total, min(old_has, total), ending, 1, [Claim(2, 0)])
    new = share(total, new_has, False, 2, [Claim(1, old)])
    assert old <= total and new >= LEAST
    assert old + new <= max(total, old + LEAST)
    assert share(total, new_has, False, 2, []) == total
