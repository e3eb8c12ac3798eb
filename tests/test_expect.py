"""Expectations: the example holds for the decision module and fails for faulty ones."""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.expect.checker import check, check_all, explain, moved_keys, prepare_router, run_request
from myrtlecourse.expect.spec import (
    Expectation,
    Expectations,
    ExpectError,
    Given,
    contradictions,
    read_expectations,
)
from myrtlecourse.policy import Router
from myrtlecourse.policy.state import PendingRequest, Server
from myrtlecourse.settings import read_settings
from tests.loopback import needs_sources

ROOT = Path(__file__).parent.parent
EXAMPLE = read_expectations(ROOT / "demo/expect.toml")
SETTINGS = read_settings(orjson.loads((ROOT / "demo/settings.json").read_bytes()))
TODAY = EXAMPLE.fleets_by_name()["today"]


def with_seeds(expectations: Expectations = EXAMPLE, seeds: int = 2) -> Expectations:
    return msgspec.structs.replace(expectations, seeds=seeds)


def test_the_example_holds() -> None:
    assert not contradictions(EXAMPLE, SETTINGS)
    assert [v.name for v in check_all(with_seeds(seeds=5), SETTINGS) if not v.holds] == []


class ForgetsDrains(Router):
    def _on_list(self, event: api.ServerList) -> None:
        ready = tuple(replace(e, state=api.State.READY) for e in event.entries)
        super()._on_list(api.ServerList(event.kind, ready))


class ForgetsBans(Router):
    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [] if isinstance(event, api.ServerBanned) else super().handle(now, event)


class OriginOnTheRing(Router):
    def _is_origin(self, entry: api.ServerEntry) -> bool:
        return False


class NoWeights(Router):
    def _on_list(self, event: api.ServerList) -> None:
        even = tuple(replace(e, weight=9.0 if e.server == "a-0" else 1.0) for e in event.entries)
        super()._on_list(api.ServerList(event.kind, even))


class ColdIsWarm(Router):
    def _usable_share(self, server: Server) -> float:
        return 1.0


class RepeatsAll(Router):
    def _class_permits(self, pending: PendingRequest, server: Server | None) -> bool:
        return True


class NeverRepeats(Router):
    def _class_permits(self, pending: PendingRequest, server: Server | None) -> bool:
        return not pending.attempts


class IgnoresMisses(Router):
    def _after_failure(self, pending: PendingRequest, event: api.Outcome) -> None:
        self._finish(pending)


class ReadsAtTheOrigin(Router):
    def _on_request(self, request: api.Request) -> None:
        super()._on_request(api.Request(request.request, request.request_class, 1.0, request.key, None, True))


class WritesOnTheRing(Router):
    def _on_request(self, request: api.Request) -> None:
        super()._on_request(api.Request(request.request, request.request_class, 1.0, request.key))


class OneServer(Router):
    def _choose_server(self, pending: PendingRequest) -> Server | None:
        return next(iter(self.caches.values()), None)


class Refuses(Router):
    def _on_request(self, request: api.Request) -> None:
        self.actions.append(api.Refuse(request.request))


@needs_sources
@pytest.mark.parametrize(
    "wrong",
    [
        ForgetsDrains,
        ForgetsBans,
        OriginOnTheRing,
        NoWeights,
        ColdIsWarm,
        RepeatsAll,
        NeverRepeats,
        IgnoresMisses,
        ReadsAtTheOrigin,
        WritesOnTheRing,
        OneServer,
        Refuses,
    ],
)
def test_the_example_catches_a_wrong_module(wrong: type[Router]) -> None:
    failed = [v for v in check_all(with_seeds(seeds=1), SETTINGS, wrong) if not v.holds]
    assert failed and all(v.why for v in failed)


def expectation(given: dict[str, Any], then: dict[str, Any], name: str = "e") -> Expectation:
    table = {"class": "timetable-read", "keys": ["k"], **given}
    return msgspec.convert({"name": name, "fleet": "today", "given": table, "then": then}, Expectation)


def expectations_of(*expectations: Expectation) -> Expectations:
    return Expectations((TODAY,), expectations, 1)


@pytest.mark.parametrize(
    ("given", "then", "why"),
    [
        ({"class": "x"}, {"to": ["a-0"]}, "no class"),
        ({}, {"to": ["x"]}, "has no x"),
        ({"draining": ["x"]}, {"never": ["a-0"]}, "has no x"),
        ({}, {"to": ["a-0"], "never": ["a-0"]}, "allows no server"),
        ({}, {"to": ["a-0"], "zone": "cork"}, "allows no server"),
        ({}, {"zone": "galway"}, "allows no server"),
        ({"gone": ["a-0"]}, {"to": ["a-0"]}, "all that it allows is gone"),
        ({"gone": ["a-0"], "offline": ["a-1"]}, {"to": ["a-0", "a-1"]}, "all that it allows"),
        ({"earlier": ["reset"] * 6}, {"to": ["a-0"]}, "all that the settings allow"),
        ({}, {"to": ["a-0"], "answer": "refused"}, "goes nowhere"),
        ({}, {"come_back_at_most": 1.0}, "only what is refused"),
        ({}, {"share": [0.9, 0.1]}, "from more to less"),
        ({}, {"spread": {"a-0": [0.6, 1.0], "a-1": [0.6, 1.0]}}, "more than everything"),
        ({"keys": ["k{5..4}"]}, {"to": ["a-0"]}, "empty"),
        ({"keys": ["k{0..9999999}"]}, {"to": ["a-0"]}, "over 1,000,000"),
    ],
)
def test_what_no_router_can_meet_is_found_before_anything_is_tried(
    given: dict[str, Any], then: dict[str, Any], why: str
) -> None:
    (found,) = contradictions(expectations_of(expectation(given, then)), SETTINGS)
    assert why in found.why and found.first == found.second == "e"


def test_two_that_exclude_each_other_are_named_both() -> None:
    one, other = expectation({}, {"to": ["a-0"]}, "one"), expectation({}, {"zone": "cork"}, "other")
    (found,) = contradictions(expectations_of(one, other), SETTINGS)
    assert (found.first, found.second) == ("one", "other")
    elsewhere = expectation({"keys": ["another"]}, {"zone": "cork"}, "other")
    assert not contradictions(expectations_of(one, elsewhere), SETTINGS)


IDS = [s.id for s in TODAY.servers]
SOME = st.lists(st.sampled_from(IDS), unique=True, max_size=3)


@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis_given(SOME, SOME, SOME, st.sampled_from([None, "dublin", "cork"]), SOME, SOME)
def test_a_contradiction_is_one_by_exhaustive_search_and_none_is_missed(
    to: list[str],
    never: list[str],
    gone: list[str],
    zone: str | None,
    other_to: list[str],
    draining: list[str],
) -> None:
    """Compares with a check of each server: whether both expectations allow it in the same state."""
    state = {"gone": gone, "draining": draining}
    then = {"to": to, "never": never, **({"zone": zone} if zone else {})}
    one, other = expectation(state, then, "one"), expectation(state, {"to": other_to}, "other")
    unavailable = {*gone, *draining}

    def allows(server: str, which: Expectation) -> bool:
        entry = next(s for s in TODAY.servers if s.id == server)
        wanted = which.then
        return (
            (not wanted.to or server in wanted.to)
            and server not in wanted.never
            and (wanted.zone is None or entry.zone == wanted.zone)
        )

    found = contradictions(expectations_of(one, other), SETTINGS)
    about_servers = [e for e in (one, other) if e.then.expects_server()]
    impossible = [e for e in about_servers if not any(allows(s, e) for s in IDS if s not in unavailable)]
    assert {c.first for c in found if c.first == c.second} == {e.name for e in impossible}
    if len(about_servers) == 2 and not impossible:
        together = any(allows(s, one) and allows(s, other) for s in IDS)
        assert bool(found) is not together


def test_a_share_is_over_all_seeds_and_an_absence_of_one_means_always() -> None:
    some = check(
        expectation({"keys": ["k{0..49}"]}, {"to": ["a-0"], "share": [0.05, 0.6]}), SETTINGS, TODAY, 2
    )
    assert some.holds and some.cases == 100 and 0 < some.followed < 100
    always = check(expectation({"keys": ["k{0..49}"]}, {"to": ["a-0"]}), SETTINGS, TODAY, 2)
    assert not always.holds and re.search(r"key 'k\d+', seed \d: it went to", always.why[0])
    none = check(
        expectation({"keys": ["k{0..49}"]}, {"to": ["a-0"], "share": [0.99, 1.0]}), SETTINGS, TODAY, 2
    )
    assert not none.holds and "of the cases" in none.why[0]


def test_one_key_s_walk_is_what_the_module_does_with_each_server_out() -> None:
    steps = explain(SETTINGS, TODAY, Given("timetable-read", draining=("a-1",)), "pupil-7")
    order = [s.server for s in steps if not s.why]
    assert [(s.server, s.why) for s in steps if s.why] == [("a-1", "draining")]
    assert order[-1] == "bookings" and sorted(order[:-1]) == ["a-0", "a-2", "b-0"]
    for banned_count in range(len(order)):
        given = Given("timetable-read", draining=("a-1",), offline=tuple(order[:banned_count]))
        if "bookings" not in order[:banned_count]:
            assert (
                run_request(prepare_router(SETTINGS, TODAY, given, 0), given, "pupil-7", 0).last
                == order[banned_count]
            )


def test_a_new_server_takes_keys_and_moves_no_others() -> None:
    keys = Given("timetable-read", ("k{0..1999}",))
    count, moves = moved_keys(SETTINGS, TODAY, EXAMPLE.fleets_by_name()["tomorrow"], keys)
    assert count == 2000 and 200 < moves.total() < 800
    assert {to for _, to in moves} == {"b-1"}
    assert moved_keys(SETTINGS, TODAY, TODAY, keys)[1].total() == 0


def test_keys_of_a_pattern_are_all_there() -> None:
    given = Given("timetable-read", ("a{8..11}z", "b"))
    assert list(given.expand_keys()) == ["a8z", "a9z", "a10z", "a11z", "b"] and given.count() == 5
    assert list(Given("timetable-read").expand_keys()) == [None]


@pytest.mark.parametrize(
    ("old", "new", "text"),
    [
        ("seeds = 20", "seeds = 0", "seeds"),
        ("seeds = 20", "sees = 20", "sees"),
        ('earlier = ["miss"]', 'earlier = ["lost"]', "earlier"),
        ('name = "tomorrow"', 'name = "today"', "appears twice"),
        ('id = "a-1", kind', 'id = "a-0", kind', "listed twice"),
        ('then = {to = ["bookings"]}', 'then = {too = ["bookings"]}', "too"),
        ("[[fleets]]", "[[fleets]", "expect.toml"),
    ],
)
def test_a_file_that_can_t_be_read_is_named_with_its_place(
    old: str, new: str, text: str, tmp_path: Path
) -> None:
    path = tmp_path / "expect.toml"
    path.write_text((ROOT / "demo/expect.toml").read_text().replace(old, new, 1))
    with pytest.raises(ExpectError, match=text):
        read_expectations(path)
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(ExpectError):
        read_expectations(path)


def command(*words: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "myrtlecourse", "expect", *words], cwd=ROOT, capture_output=True, check=False
    )


@pytest.mark.processes
def test_the_command_line_tells_what_fails_and_ends_so(tmp_path: Path) -> None:
    path = tmp_path / "expect.toml"
    text = (ROOT / "demo/expect.toml").read_text()
    text = text[: text.index("[[expect]]")].replace("seeds = 20", "seeds = 1")
    bad = (
        '[[expect]]\nname = "no"\nfleet = "today"\ngiven = {class = "timetable-read", keys = ["k"]}\nthen = '
    )
    places = ("--settings", "demo/settings.json")
    path.write_text(text + bad + '{to = ["bookings"]}\n')
    failed = command("check", str(path), *places)
    assert failed.returncode == 1 and b"FAILS" in failed.stdout and b"it went to" in failed.stdout
    path.write_text(text + bad + '{to = ["x"]}\n')
    contradicted = command("check", str(path), *places, "--json")
    assert contradicted.returncode == 1 and orjson.loads(contradicted.stdout)["contradictions"]
    assert command("check", str(tmp_path / "none"), *places).returncode == 2
    explained = command("explain", "demo/expect.toml", "pupil-7", "--fleet", "today", *places, "--json")
    assert explained.returncode == 0 and len(orjson.loads(explained.stdout)) == len(IDS)
    differs = command(
        "diff", "demo/expect.toml", "today", "tomorrow", "--keys", "k{0..99}", *places, "--json"
    )
    assert orjson.loads(differs.stdout)["keys"] == 100
