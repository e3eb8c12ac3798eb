"""Admission control: which commands it admits, and that it recovers."""

from __future__ import annotations

from collections import Counter, deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.overload import core
from myrtlecourse.overload.core import CoreAdmission

AIMS = {"read": 1.2, "book": 0.8}
VALUES = {"read": 3.0, "book": 9.0}
MAX_RETRY_AFTER = 2.0
LONG = 1.0  # seconds of read delay, far over any target
STEP = 0.001


CLASSES = {name: api.RequestClass(name, AIMS[name], value=VALUES[name]) for name in AIMS}


def control() -> CoreAdmission:
    return CoreAdmission(api.Settings(CLASSES, max_retry_after=MAX_RETRY_AFTER))


def offer(
    admission: CoreAdmission, mix: list[tuple[str, str]], seconds: float, read_delay: float
) -> Counter[str]:
    """Offer a repeated mix of (class, tenant), one command per millisecond. Returns the admitted counts."""
    admitted: Counter[str] = Counter()
    start = max(admission.window_end, 1.0)
    for i in range(int(seconds / STEP)):
        request_class, tenant = mix[i % len(mix)]
        if admission.retry_delay(start + i * STEP, request_class, tenant, False, False, read_delay) is None:
            admitted[f"{request_class} {tenant}"] += 1
    return admitted


def test_nothing_is_refused_while_commands_are_taken_at_once() -> None:
    assert sum(offer(control(), [("read", "a"), ("book", "b")], 2.0, 0.001).values()) == 2000


def test_a_full_core_lets_in_little_and_all_again_within_two_seconds() -> None:
    admission = control()
    offer(admission, [("read", "a")], 3.0, LONG)
    assert admission.admitted_share == core.MIN_ADMITTED_SHARE
    offer(admission, [("read", "a")], 2.0, 0.0)
    assert admission.admitted_share == 1.0


def test_a_quiet_time_opens_the_door_too() -> None:
    admission = control()
    offer(admission, [("read", "a")], 3.0, LONG)
    assert admission.retry_delay(admission.window_end + 2.5, "read", "a", False, False, 0.0) is None
    assert admission.admitted_share == 1.0


def test_one_long_turn_refuses_few() -> None:
    """A garbage collection or a long list blocks the event loop once; refusals must not go on after that."""
    admission = control()
    offer(admission, [("read", "a")], 1.0, 0.0)
    offer(admission, [("read", "a")], core.WINDOW, LONG)
    admitted = offer(admission, [("read", "a")], 1.0, 0.0)
    assert sum(admitted.values()) > 900


def test_bookings_come_before_reads_and_reads_are_not_shut_out() -> None:
    admission = control()
    mix = [("book", "a")] + [("read", "a")] * 9
    offer(admission, mix, 0.5, LONG)
    admission.admitted_share = 0.2
    admitted = offer(admission, mix, core.WINDOW * 0.9, 0.0) and offer(
        admission, mix, 0.2, admission.target_delay
    )
    assert admitted["book a"] > 0.9 * 20
    assert 0 < admitted["read a"] < 0.3 * 180


def test_a_booking_asked_again_goes_before_all_others() -> None:
    """The write may have been executed, and its client needs to learn its outcome."""
    admission = control()
    refused = 0
    for i in range(4000):
        now = 1.0 + i * STEP
        admission.retry_delay(now, "read", "a", False, False, LONG)
        admission.retry_delay(now, "book", "a", False, True, LONG)
        refused += (
            i > 2000 and i % 50 == 0 and admission.retry_delay(now, "book", "a", True, True, LONG) is not None
        )
    assert refused <= 4


def test_one_tenant_that_floods_does_not_push_out_the_others() -> None:
    admission = control()
    mix = [("read", "flood")] * 9 + [("read", "small")]
    offer(admission, mix, 1.0, LONG)
    admission.admitted_share = 0.3
    admission._divide()
    shares = {group.tenant: group.admitted_share for group in admission.groups.values()}
    assert shares["small"] == pytest.approx(1.0)
    assert shares["flood"] == pytest.approx((0.3 - 0.1) / 0.9, rel=0.01)


def retry_delays(admission: CoreAdmission, request_class: str, keyed: bool) -> list[float]:
    """Return the sorted retry delays of 400 commands that meet a full core at the same time."""
    delays = [
        admission.retry_delay(admission.window_end, request_class, "a", False, keyed, LONG)
        for _ in range(400)
    ]
    return sorted(p for p in delays if p is not None)


def largest_gap(delays: list[float]) -> float:
    return max(b - a for a, b in zip(delays, delays[1:], strict=False))


def test_reads_are_kept_away_for_long_while_the_core_stays_full() -> None:
    """With short delays, retries came back until the core did nothing but refuse them."""
    admission = control()
    offer(admission, [("read", "a")], 3.0, LONG)
    delays = retry_delays(admission, "read", False)
    assert delays[0] >= MAX_RETRY_AFTER / 2 and delays[-1] <= MAX_RETRY_AFTER
    # spread out: clients with equal delays would retry at the same time and fill the core again
    assert largest_gap(delays) < 0.1 * MAX_RETRY_AFTER / 2


def test_a_booking_comes_back_soon_enough_to_be_in_time() -> None:
    admission = control()
    offer(admission, [("book", "a")], 3.0, LONG)
    delays = retry_delays(admission, "book", True)
    middle = core.RETRY_AFTER_SHARE * AIMS["book"] * (1 - core.MIN_ADMITTED_SHARE)
    assert delays[0] < 0.55 * middle and 1.45 * middle < delays[-1] < AIMS["book"] / 2
    assert largest_gap(delays) < 0.1 * middle


def test_names_of_tenants_do_not_fill_the_memory() -> None:
    admission = control()
    for i in range(20_000):
        admission.retry_delay(1.0 + i / 100_000, "read", f"t{i}", False, False, 0.0)
    assert len(admission.groups) <= core.MAX_TENANTS + 1
    for i in range(100):
        admission.retry_delay(2.0 + i * core.WINDOW, "read", "t", False, False, 0.0)
    assert len(admission.groups) == 1


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.3),  # seconds since the previous command
            st.sampled_from(["read", "book", "unknown"]),
            st.sampled_from(["a", "b", ""]),
            st.booleans(),
            st.floats(0.0, 3.0),  # read delay
        ),
        min_size=1,
        max_size=300,
    )
)
def test_whatever_comes_the_door_stays_in_its_bounds_and_opens_again(
    commands: list[tuple[float, str, str, bool, float]],
) -> None:
    admission = control()
    now = 0.0
    for gap, request_class, tenant, is_retry, read_delay in commands:
        now += gap
        delay = admission.retry_delay(
            now, request_class, tenant, is_retry, request_class == "book", read_delay
        )
        assert delay is None or 0.0 <= delay <= MAX_RETRY_AFTER
        assert core.MIN_ADMITTED_SHARE <= admission.admitted_share <= 1.0
        assert all(0.0 <= group.admitted_share <= 1.0 + 1e-9 for group in admission.groups.values())
    for _ in range(50):
        now += core.WINDOW
        admission.retry_delay(now, "read", "a", False, False, 0.0)
    assert admission.admitted_share == 1.0


@given(st.integers(1, 30), st.integers(1, 30), st.integers(1, 30))
def test_no_class_or_tenant_is_starved_for_ever(first: int, second: int, third: int) -> None:
    admission = control()
    mix = [("read", "a")] * first + [("book", "a")] * second + [("read", "b")] * third
    admitted = offer(admission, mix, 20.0, LONG)
    assert all(admitted[f"{c} {t}"] > 0 for c, t in set(mix))


def served_in_time(admission: CoreAdmission | None, load: float, refusal: float) -> float:
    """Simulate a core that can serve 1,000 requests a second; a refusal takes `refusal` seconds.

    Each client retries twice without an answer. Returns the share of the capacity that is served in time over
    the second half of 20 s.
    """
    work, patience, aim = 0.001, 0.5, AIMS["read"]
    gap = work / load
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
        read_delay = now - came
        delay = (
            admission.retry_delay(now, "read", "a", tries > 0, False, read_delay)
            if admission is not None
            else None
        )
        if delay is not None:
            now += refusal
            if tries < 2 and now + delay < first + 2 * aim:  # later, its client has given up
                again.append((now + delay, first, tries + 1))
            continue
        now += work  # spent whether or not the client still waits
        if read_delay > patience:
            if tries < 2:
                again.append((came + patience, first, tries + 1))
        elif now - first <= aim and now > 10.0:
            served += 1
    return served * work / 10.0


@pytest.mark.parametrize(
    ("load", "refusal", "kept"),
    # in the last case a refusal costs a quarter of an answer, as in real overloads of a core
    [(2.0, 0.05, 0.75), (4.0, 0.05, 0.55), (1.2, 0.25, 0.6)],
)
def test_the_collapse_comes_without_the_door_and_not_with_it(
    load: float, refusal: float, kept: float
) -> None:
    assert served_in_time(None, load, refusal / 1000) < 0.2
    assert served_in_time(control(), load, refusal / 1000) > kept
