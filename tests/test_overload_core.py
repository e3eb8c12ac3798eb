"""The door before the core: who is let in, and that it opens again."""

from __future__ import annotations

from collections import Counter, deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.overload import core
from myrtlecourse.overload.core import CoreControl

AIMS = {"read": 1.2, "book": 0.8}
WORTHS = {"read": 3.0, "book": 9.0}
MOST_PAUSE = 2.0
LONG = 1.0  # seconds unread: far over any target
STEP = 0.001


CLASSES = {name: api.RequestClass(name, AIMS[name], value=WORTHS[name]) for name in AIMS}


def control() -> CoreControl:
    return CoreControl(api.Settings(CLASSES, max_retry_after=MOST_PAUSE))


def offer(door: CoreControl, mix: list[tuple[str, str]], seconds: float, waited: float) -> Counter[str]:
    """Offer a mix of (class, tenant) over and over, a command a millisecond; counts those let in."""
    let_in: Counter[str] = Counter()
    start = max(door.window, 1.0)
    for i in range(int(seconds / STEP)):
        request_class, tenant = mix[i % len(mix)]
        if door.retry_delay(start + i * STEP, request_class, tenant, False, False, waited) is None:
            let_in[f"{request_class} {tenant}"] += 1
    return let_in


def test_nothing_is_refused_while_commands_are_taken_at_once() -> None:
    assert sum(offer(control(), [("read", "a"), ("book", "b")], 2.0, 0.001).values()) == 2000


def test_a_full_core_lets_in_little_and_all_again_within_two_seconds() -> None:
    door = control()
    offer(door, [("read", "a")], 3.0, LONG)
    assert door.share == core.LEAST
    offer(door, [("read", "a")], 2.0, 0.0)
    assert door.share == 1.0


def test_a_quiet_time_opens_the_door_too() -> None:
    door = control()
    offer(door, [("read", "a")], 3.0, LONG)
    assert door.retry_delay(door.window + 2.5, "read", "a", False, False, 0.0) is None
    assert door.share == 1.0


def test_one_long_turn_refuses_few() -> None:
    """The collector or a long list stops the loop once; that is no reason to turn clients away for long."""
    door = control()
    offer(door, [("read", "a")], 1.0, 0.0)
    offer(door, [("read", "a")], core.WINDOW, LONG)
    let_in = offer(door, [("read", "a")], 1.0, 0.0)
    assert sum(let_in.values()) > 900


def test_bookings_come_before_reads_and_reads_are_not_shut_out() -> None:
    door = control()
    mix = [("book", "a")] + [("read", "a")] * 9
    offer(door, mix, 0.5, LONG)
    door.share = 0.2
    let_in = offer(door, mix, core.WINDOW * 0.9, 0.0) and offer(door, mix, 0.2, door.target)
    assert let_in["book a"] > 0.9 * 20
    assert 0 < let_in["read a"] < 0.3 * 180


def test_a_booking_asked_again_goes_before_all_others() -> None:
    """It may have run: whoever is turned away, its client is owed what became of it."""
    door = control()
    refused = 0
    for i in range(4000):
        now = 1.0 + i * STEP
        door.retry_delay(now, "read", "a", False, False, LONG)
        door.retry_delay(now, "book", "a", False, True, LONG)
        refused += (
            i > 2000 and i % 50 == 0 and door.retry_delay(now, "book", "a", True, True, LONG) is not None
        )
    assert refused <= 4


def test_one_tenant_that_floods_does_not_push_out_the_others() -> None:
    door = control()
    mix = [("read", "flood")] * 9 + [("read", "small")]
    offer(door, mix, 1.0, LONG)
    door.share = 0.3
    door._deal()
    shares = {lane.tenant: lane.share for lane in door.lanes.values()}
    assert shares["small"] == pytest.approx(1.0)
    assert shares["flood"] == pytest.approx((0.3 - 0.1) / 0.9, rel=0.01)


def told_to_come_back(door: CoreControl, request_class: str, keyed: bool) -> list[float]:
    """When 400 commands at one moment of a full core may come back, in order, without those let in."""
    pauses = [door.retry_delay(door.window, request_class, "a", False, keyed, LONG) for _ in range(400)]
    return sorted(p for p in pauses if p is not None)


def largest_gap(told: list[float]) -> float:
    return max(b - a for a, b in zip(told, told[1:], strict=False))


def test_reads_are_kept_away_for_long_while_the_core_stays_full() -> None:
    """Those that come back soon are refused again, until refusing is all that a core does."""
    door = control()
    offer(door, [("read", "a")], 3.0, LONG)
    told = told_to_come_back(door, "read", False)
    assert told[0] >= MOST_PAUSE / 2 and told[-1] <= MOST_PAUSE
    # spread: clients told the same time come back in step, and fill the core again
    assert largest_gap(told) < 0.1 * MOST_PAUSE / 2


def test_a_booking_comes_back_soon_enough_to_be_in_time() -> None:
    door = control()
    offer(door, [("book", "a")], 3.0, LONG)
    told = told_to_come_back(door, "book", True)
    middle = core.COME_BACK * AIMS["book"] * (1 - core.LEAST)
    assert told[0] < 0.55 * middle and 1.45 * middle < told[-1] < AIMS["book"] / 2
    assert largest_gap(told) < 0.1 * middle


def test_names_of_tenants_do_not_fill_the_memory() -> None:
    door = control()
    for i in range(20_000):
        door.retry_delay(1.0 + i / 100_000, "read", f"t{i}", False, False, 0.0)
    assert len(door.lanes) <= core.MOST_TENANTS + 1
    for i in range(100):
        door.retry_delay(2.0 + i * core.WINDOW, "read", "t", False, False, 0.0)
    assert len(door.lanes) == 1


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.3),  # until the next
            st.sampled_from(["read", "book", "unknown"]),
            st.sampled_from(["a", "b", ""]),
            st.booleans(),
            st.floats(0.0, 3.0),  # unread
        ),
        min_size=1,
        max_size=300,
    )
)
def test_whatever_comes_the_door_stays_in_its_bounds_and_opens_again(
    commands: list[tuple[float, str, str, bool, float]],
) -> None:
    door = control()
    now = 0.0
    for gap, request_class, tenant, again, waited in commands:
        now += gap
        pause = door.retry_delay(now, request_class, tenant, again, request_class == "book", waited)
        assert pause is None or 0.0 <= pause <= MOST_PAUSE
        assert core.LEAST <= door.share <= 1.0
        assert all(0.0 <= lane.share <= 1.0 + 1e-9 for lane in door.lanes.values())
    for _ in range(50):
        now += core.WINDOW
        door.retry_delay(now, "read", "a", False, False, 0.0)
    assert door.share == 1.0


@given(st.integers(1, 30), st.integers(1, 30), st.integers(1, 30))
def test_no_class_or_tenant_is_starved_for_ever(first: int, second: int, third: int) -> None:
    door = control()
    mix = [("read", "a")] * first + [("book", "a")] * second + [("read", "b")] * third
    let_in = offer(door, mix, 20.0, LONG)
    assert all(let_in[f"{c} {t}"] > 0 for c, t in set(mix))


def served_in_time(door: CoreControl | None, times: float, refusal: float) -> float:
    """One core by a fake clock: 1,000 requests a second fit, a refusal takes so many seconds.

    Each client asks again twice when it is not answered.

    Answers with the share of the capacity that is served in time over the second half of 20 s.
    """
    work, patience, aim = 0.001, 0.5, AIMS["read"]
    gap = work / times
    arrivals: deque[tuple[float, float, int]] = deque((i * gap, i * gap, 0) for i in range(int(20.0 / gap)))
    again: list[tuple[float, float, int]] = []
    now = 0.0
    served = 0
    while arrivals or again:
        again.sort(reverse=True)
        source = again if again and (not arrivals or again[-1][0] <= arrivals[0][0]) else None
        came, first, tries = again.pop() if source is not None else arrivals.popleft()
        if came > 20.0:
            break
        now = max(now, came)
        waited = now - came
        pause = door.retry_delay(now, "read", "a", tries > 0, False, waited) if door is not None else None
        if pause is not None:
            now += refusal
            if tries < 2 and now + pause < first + 2 * aim:  # by then its client has given up for good
                again.append((now + pause, first, tries + 1))
            continue
        now += work  # spent whether or not its client still waits
        if waited > patience:
            if tries < 2:
                again.append((came + patience, first, tries + 1))
        elif now - first <= aim and now > 10.0:
            served += 1
    return served * work / 10.0


@pytest.mark.parametrize(
    ("times", "refusal", "kept"),
    # the last: a refusal costs a quarter of an answer, as on the days that fill a core
    [(2.0, 0.05, 0.75), (4.0, 0.05, 0.55), (1.2, 0.25, 0.6)],
)
def test_the_collapse_comes_without_the_door_and_not_with_it(
    times: float, refusal: float, kept: float
) -> None:
    assert served_in_time(None, times, refusal / 1000) < 0.2
    assert served_in_time(control(), times, refusal / 1000) > kept
