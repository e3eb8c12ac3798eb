"""The rules under bans, drains of the router and changes of settings, alone and in random order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.overload.core import CoreAdmission
from myrtlecourse.policy import Router, tuning
from tests.driver import KEYED, ONCE, READ, Driver, entry, settings
from tests.loopback import needs_sources
from tests.test_rules import CACHE_ASIDE, CHECKS, Random, fleet, groups


def servers_of_keys(d: Driver, count: int = 200) -> list[str | None]:
    """Return the servers of requests for many keys."""
    start = len(d.sends)
    return [d.request(f"s{start + n}", key=f"k{n}", finish=True) for n in range(count)]


@pytest.mark.parametrize("known", [True, False])
def test_a_ban_holds_through_lists_restarts_and_rejoins(known: bool) -> None:
    d = Driver(settings())
    if known:
        d.list(*fleet("a", "b"))
    d.offline("a")
    lists: list[Callable[[], Any]] = [
        lambda: d.list(*fleet("a", "b")),
        lambda: d.list(entry("a", listed_start=d.now), kind=api.ListKind.DELTA),
        lambda: d.list(entry("a", state=api.State.GONE), kind=api.ListKind.DELTA),
        lambda: d.list(entry("a", listed_start=d.now), kind=api.ListKind.DELTA),
        lambda: d.list(*fleet("b")),
        lambda: d.list(*fleet("a", "b"), kind=api.ListKind.SAVED),
    ]
    for change in lists:
        change()
        assert set(servers_of_keys(d, 50)) == {"b"}
        d.now += 0.5
    d.online("a")
    assert set(servers_of_keys(d)) == {"a", "b"}


def test_retries_copies_and_followers_keep_away_from_a_banned_server() -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "b", "o"))
    for n in range(20):
        d.request(f"r{n}", key="k")
    out = next(s[0] for s in d.sends.values())
    d.offline(out)  # from here on, the driver fails on any request to it
    for name in list(d.sends):
        d.end(name, api.Status.RESET if len(name) % 2 else api.Status.MISS)
    d.wait(3.0)
    assert not d.open


def test_with_all_banned_reads_go_on_to_the_origin_and_come_back() -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "b", "o"))
    for name in "ab":
        d.offline(name)
    d.request("r", key="k")
    assert d.sends["r"] == ["o"]
    d.ok("r")
    d.online("a")
    # it is cold, and no other server can take the rest
    first = [d.request(f"f{n}", key=f"k{n}") for n in range(30)]
    assert set(first) == {"a", None} and first.count("a") >= tuning.FREE_COLD_SENDS
    assert all(d.ended[f"f{n}"] == "refused" for n, server in enumerate(first) if server is None)
    d.wait(d.conf.ramp_time + d.conf.fall_window)
    assert set(servers_of_keys(d, 30)) == {"a"}


def test_the_origin_is_no_cache_server_to_be_banned() -> None:
    d = Driver(settings(**CACHE_ASIDE))
    d.list(*fleet("a", "o"))
    d.router.handle(d.now, api.ServerBanned("o"))
    d.request("w", write=True, request_class="keyed")
    assert d.sends["w"] == ["o"]


def test_a_server_given_back_is_cold_and_nothing_learned_of_it_holds() -> None:
    """The list shows its restart seconds later; with all its points at once the server collapsed."""
    d = Driver(settings(ramp_time=10.0, cold_share=0.3))
    d.list(*fleet("a", "b"))
    for _ in range(40):
        servers_of_keys(d, 5)
        d.now += 0.05
    server = d.router.servers["a"]
    server.consecutive_failures, server.excluded_until, server.limit = 9, d.now + 100.0, 1.0
    d.offline("a")
    d.now += 5.0
    d.online("a")
    first = servers_of_keys(d, 400).count("a")
    d.now += 10.0
    assert 0 < first < 0.6 * servers_of_keys(d, 400).count("a")


def test_a_list_that_is_late_does_not_make_a_returned_server_warm() -> None:
    d = Driver(settings(ramp_time=10.0, cold_share=0.3))
    d.list(*fleet("a", "b"))
    d.offline("a")
    d.list(*fleet("b"))
    d.online("a")
    d.now += 1.0
    d.list(*fleet("a", "b"))  # listed again, with an old start time
    first = servers_of_keys(d, 400).count("a")
    d.now += 10.0
    assert 0 < first < 0.7 * servers_of_keys(d, 400).count("a")


def test_a_process_that_learns_late_of_a_return_counts_from_the_call() -> None:
    d = Driver(settings(ramp_time=10.0, cold_share=0.3))
    d.feed(api.BanLifted("a", d.now - 20.0))
    d.list(*fleet("a", "b"))
    assert servers_of_keys(d, 400).count("a") > 400 * 0.35


def test_what_waits_goes_out_when_a_server_is_given_back() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.offline("a")
    d.request("r")
    assert "r" in d.open and "r" not in d.sends
    d.now += 0.1
    d.online("a")
    assert d.sends["r"] == ["a"]


def test_a_router_that_is_not_wanted_refuses_unread_and_says_no_time() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    ask = (d.now, "read", "t", False, False, 2.0, 0.0)
    assert d.router.admission_retry_delay(*ask) is None
    d.feed(api.Serving(False))
    assert d.router.admission_retry_delay(*ask) == 0.0
    d.feed(api.Serving(True))
    assert d.router.admission_retry_delay(*ask) is None


def test_an_open_request_keeps_its_class_old_effect() -> None:
    """With the new effect an open read would not be retried, and an open write executed twice."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("read")
    d.request("once", request_class="once")
    unsafe, safe = replace(READ, effect=api.Effect.UNSAFE), replace(ONCE, effect=api.Effect.SAFE)
    d.retune(settings(classes={"read": unsafe, "once": safe}))
    assert d.end("read", api.Status.RESET) is not None
    assert d.end("once", api.Status.RESET) is None and d.ended["once"] == "failed"
    d.request("new read")
    d.request("new once", request_class="once")
    assert d.end("new read", api.Status.RESET) is None
    assert d.end("new once", api.Status.RESET) is not None


def test_attempts_that_get_fewer_bind_new_requests_alone() -> None:
    d = Driver(settings(max_attempts=4))
    d.list(*fleet("a", "b", "c"))
    d.request("old")
    d.retune(settings(max_attempts=1))
    assert d.end("old", api.Status.RESET) is not None
    d.request("new")
    assert d.end("new", api.Status.RESET) is None


def test_a_dropped_class_ends_with_its_last_request() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("old", request_class="keyed")
    d.retune(settings(classes={"read": READ}))
    assert d.end("old", api.Status.RESET) is not None
    d.ok("old")


def test_what_was_learned_survives_new_settings() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    servers_of_keys(d, 50)
    before = [(s.limit, s.evidence.usual_latency, s.ring_points) for s in d.router.servers.values()]
    d.retune(settings(classes={"read": replace(READ, aim=0.5), "more": KEYED}))
    assert [(s.limit, s.evidence.usual_latency, s.ring_points) for s in d.router.servers.values()] == before
    assert d.router.min_aim == 0.5


def test_another_kind_for_the_origin_makes_servers_what_they_are() -> None:
    d = Driver(settings(cache_aside=True, origin_kind="origin"))
    d.list(*fleet("a", "o"))
    d.retune(settings(cache_aside=False))
    assert {s.is_cache for s in d.router.servers.values()} == {True}
    assert set(servers_of_keys(d, 100)) == {"a", "o"}


def test_the_door_takes_new_classes_and_keeps_what_it_let_in() -> None:
    admission = CoreAdmission(settings())
    admission.admitted_share = 0.5
    d = Driver(settings())
    d.router.admission = admission
    d.retune(settings(classes={"new": api.RequestClass("new", aim=0.2, value=7.0)}, max_retry_after=3.0))
    assert admission.aims == {"new": 0.2} and admission.values == {"new": 7.0}
    assert (admission.admitted_share, admission.max_retry_after) == (0.5, 3.0)


class Service(Random):
    """Random legal events, with operators' orders in between."""

    def step(self, data: st.DataObject, n: int) -> None:
        move = data.draw(st.sampled_from(["usual"] * 5 + ["offline", "online", "retune", "serving"]))
        if move == "offline":
            self.offline(data.draw(st.sampled_from("abcd")))
        elif move == "online":
            self.online(data.draw(st.sampled_from("abcd")))
        elif move == "serving":
            self.feed(api.Serving(data.draw(st.booleans())))
        elif move == "retune":
            kinds = groups(data.draw(st.sampled_from(list(api.DedupGroup))))
            effect = data.draw(st.sampled_from(list(api.Effect)))
            changed = {name: replace(c, effect=effect, repeat_window=0.5) for name, c in kinds.items()}
            kept = data.draw(st.lists(st.sampled_from(sorted(kinds)), min_size=1, unique=True))
            self.retune(
                replace(
                    self.conf,
                    classes={name: changed[name] for name in kept},
                    max_attempts=data.draw(st.sampled_from([1, 2, 6])),
                    hedging=data.draw(st.booleans()),
                )
            )
        else:
            super().step(data, n)


def drive(data: st.DataObject, make: type[Router] = Router) -> None:
    conf = settings(
        classes=groups(data.draw(st.sampled_from(list(api.DedupGroup)))),
        hedging=True,
        may_cancel=data.draw(st.booleans()),
        max_attempts=data.draw(st.sampled_from([1, 3, 6])),
        **(CACHE_ASIDE if data.draw(st.booleans()) else {}),
    )
    d = Service(conf, make=make)
    d.list(*fleet("a", "b", "c", "d", "o"), kind=api.ListKind.SAVED)
    for n in range(data.draw(st.integers(5, 40))):
        d.step(data, n)
    d.wait(10.0)
    assert not d.open and not d.router.requests


@CHECKS
@given(st.data())
def test_rules_hold_whatever_operators_order(data: st.DataObject) -> None:
    drive(data)


class ForgetsBans(Router):
    """Broken on purpose: a full list ends every ban."""

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FULL:
            self.banned.clear()
            for server in self.servers.values():
                server.banned = False
        super()._on_list(event)


class Retroactive(Router):
    """Broken on purpose: new settings apply to open requests."""

    def _on_settings_changed(self, settings: api.Settings) -> None:
        super()._on_settings_changed(settings)
        for pending in self.requests.values():
            pending.settings = settings
            pending.request_class = settings.classes.get(pending.request_class.name, pending.request_class)


@needs_sources
@pytest.mark.parametrize("broken", [ForgetsBans, Retroactive])
def test_the_property_test_catches_a_wrong_module(broken: type[Router]) -> None:
    @CHECKS
    @given(st.data())
    def attempt(data: st.DataObject) -> None:
        drive(data, broken)

    with pytest.raises(AssertionError):
        attempt()
