"""A long answer streamed to a slow client does not count against its server and occupies no place there."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.policy import tuning
from tests.driver import Driver, entry, settings

OK, TIMEOUT, CANCELLED = api.Status.OK, api.Status.TIMEOUT, api.Status.CANCELLED
STREAM_TIME = 60.0  # seconds: as long as a client may take
ASIDE: dict[str, Any] = {"cache_aside": True, "origin_kind": "origin"}


def one_cache(**changes: Any) -> Driver:
    d = Driver(settings(**changes))
    d.list(entry("a"))
    return d


def start_streams(d: Driver, *names: str) -> None:
    """Start reads of slow clients, which get their first bytes within 50 ms but the last ones much later."""
    for name in names:
        assert d.request(name, time_left=STREAM_TIME) == "a"
        d.now += 0.05
        d.feed(api.Streaming(name, 0))


def test_a_server_whose_long_answers_flow_is_not_silent() -> None:
    """Counted as silent after the shortest latency target, the server would get no requests until the end."""
    d = one_cache()
    start_streams(d, "slow")
    d.wait(1.5)
    assert d.request("usual") == "a"


def test_flows_hold_no_places_at_their_server() -> None:
    """As many slow clients as the initial limit must not keep others from a server that answers in time."""
    d = one_cache()
    limit = d.router.servers["a"].limit
    start_streams(d, *(f"slow{n}" for n in range(3 * int(limit))))
    assert d.router.servers["a"].in_flight == 0 and d.router.servers["a"].limit == limit
    assert d.request("usual") == "a"
    d.ok("usual")
    for name in list(d.sends):
        if name != "usual":
            d.ok(name)
    assert d.router.servers["a"].in_flight == 0


def test_a_silent_server_gets_its_trial_although_an_answer_flows() -> None:
    """The stream must not count as an open trial for as long as its client takes."""
    d = one_cache()
    start_streams(d, "slow")
    assert d.request("lost") == "a"
    d.wait(2.5)
    assert d.request("trial") == "a"


def test_a_flow_does_not_hide_a_server_that_is_silent() -> None:
    """Streamed bytes may have been sent long ago; only a new answer proves that a server responds."""
    d = one_cache()
    start_streams(d, "slow")
    assert d.request("first") == "a"
    d.now += 1.1
    d.ok("slow")
    d.request("second")
    assert d.sends.get("second", []) == [] and d.ended["second"] == "refused"


def test_the_next_fetch_need_not_wait_for_the_client_of_the_one_before() -> None:
    d = Driver(settings(**ASIDE))
    d.list(entry("a"), entry("o", kind="origin"))
    d.router.servers["o"].limit = 1.0
    for n in "12":
        d.request(f"r{n}", key=f"k{n}", time_left=STREAM_TIME)
        d.end(f"r{n}", api.Status.MISS)
    assert d.sends["r1"] == ["a", "o"] and d.sends["r2"] == ["a"]
    d.now += 0.05
    d.feed(api.Streaming("r1", 1))
    assert d.sends["r2"] == ["a", "o"]


@pytest.mark.parametrize("status", [TIMEOUT, CANCELLED])
def test_a_flow_that_is_given_up_takes_no_server_out(status: api.Status) -> None:
    """In a large fleet, a client that left a long answer took its server out and reset its limit."""
    d = Driver(settings(router_count=40))
    d.list(*map(entry, "abcd"))
    key = next(f"k{n}" for n in range(50) if d.request(f"r{n}", key=f"k{n}", finish=True) == "a")
    server = d.router.servers["a"]
    server.limit = 50.0
    d.now += 100.0  # each server is used rarely
    assert d.request("slow", key=key, time_left=STREAM_TIME) == "a"
    d.now += 0.05
    d.feed(api.Streaming("slow", 0))
    d.now += 5.0
    if status is CANCELLED:
        d.finish("slow", "gone")
        d.feed(api.ClientGone("slow"))
    d.end("slow", status, latency=0.05)
    assert server.excluded_until < d.now and server.consecutive_failures == 0 and server.limit == 50.0


@given(
    st.lists(st.tuples(st.floats(0.02, 0.05), st.floats(0.0, STREAM_TIME)), min_size=2, max_size=30),
    st.sampled_from([OK, CANCELLED, TIMEOUT]),
)
def test_how_long_answers_flow_changes_nothing_that_is_known_of_pace(
    answers: list[tuple[float, float]], last: api.Status
) -> None:
    """Compares the same answers received at once and streamed slowly, with any end of the stream."""
    whole, streamed = one_cache(), one_cache()
    ends = []
    for n, (latency, flow) in enumerate(answers):
        for d in (whole, streamed):
            assert d.request(f"r{n}", time_left=3 * STREAM_TIME) == "a"
            d.now += latency
        whole.end(f"r{n}", OK, latency=latency)
        streamed.feed(api.Streaming(f"r{n}", 0))
        ends.append((streamed.now + flow, f"r{n}"))

    def learned(d: Driver) -> list[float]:
        server = d.router.servers["a"]
        known = server.evidence
        pace = (
            known.usual_latency,
            server.latency_ratio,
            d.router.unit_latency,
            known.unanswered_since,
            known.latest_answered_send,
        )
        return [*known.latencies.counts, *pace, server.limit, server.in_flight]

    before = learned(streamed)
    assert before == pytest.approx(learned(whole)) and before[-1] == 0
    for at, name in sorted(ends):
        streamed.now = max(streamed.now, at)
        streamed.end(name, last, latency=streamed.now - 100.0)
    assert learned(streamed) == before


def test_what_lay_unread_in_the_own_process_is_not_of_the_latency() -> None:
    d = one_cache()
    d.request("r", time_left=STREAM_TIME)
    d.now += 0.5
    d.feed(api.Streaming("r", 0, read_delay=0.4))
    assert d.router.servers["a"].latency_ratio == pytest.approx(0.2 * 0.1 / (tuning.CACHE_TARGET * 1.0))
    assert d.router.unit_latency == pytest.approx(0.2 * 0.1)


def test_a_flow_that_breaks_off_counts_as_a_failure_of_its_server() -> None:
    d = one_cache()
    start_streams(d, "slow")
    d.end("slow", api.Status.RESET)
    # the only server is not taken out, as at least half of the fleet would be out
    assert d.router.servers["a"].consecutive_failures == 0
    d.list(entry("a"), entry("b"), entry("c"), kind=api.ListKind.DELTA)
    name = next(n for n in map(str, range(50)) if d.request(n, key=n, time_left=STREAM_TIME) == "a")
    d.feed(api.Streaming(name, 0))
    d.end(name, api.Status.RESET)
    assert d.router.servers["a"].consecutive_failures == 1
