"""What a slope's child does and tells, and how the commands carry runs out; no test judges a time."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse import policy
from myrtlecourse.fleet.registry import Entry
from myrtlecourse.fleet.registry import entry_to_json as fleet_spelled
from myrtlecourse.peers.gossip import VERSION, Datagram
from myrtlecourse.peers.seal import MAX_DATAGRAM, Dropped, Seal
from myrtlecourse.scale import measuring, results, slopes
from myrtlecourse.scale.capacity_commands import main
from myrtlecourse.scale.fit import CHECK, LEAST_SIZES
from myrtlecourse.scale.measuring import MeasureError
from myrtlecourse.scale.results import Point
from myrtlecourse.scale.slopes import SPECS, Spec
from myrtlecourse.zones.agent import Agent


@pytest.mark.parametrize("name", SPECS)
def test_every_slope_has_sizes_for_a_fit_and_one_to_foretell(name: str) -> None:
    sizes = SPECS[name].sizes
    assert len(set(sizes)) == len(sizes)
    assert sum(n * CHECK <= max(sizes) for n in sizes) >= LEAST_SIZES


@pytest.mark.processes
@pytest.mark.parametrize("name", SPECS)
def test_every_slope_gives_a_cost_for_each_repeat(name: str) -> None:
    found = SPECS[name].run(min(SPECS[name].sizes), 3)
    assert len(found) == 3 and all(cost > 0 for cost in found)


def test_lists_are_spelled_as_discovery_spells_them() -> None:
    entry = Entry("cache-1", "zone-1", "kind-1", 3, 1.0, since=5.0)
    told = fleet_spelled(entry, "127.0.0.1:1", 0.0)
    assert all(line.keys() == told.keys() for line in slopes.lines(3))
    whole, members = slopes.parse(slopes.spelled(slopes.lines(300), True))
    assert whole and len({m.entry.server for m in members}) == len({m.address for m in members}) == 300


@settings(max_examples=20)
@given(st.integers(2, 40), st.integers(1, 12))
def test_each_change_takes_one_server_out_or_gives_it_back(size: int, count: int) -> None:
    to = slopes.host()
    slopes.told(to, slopes.spelled(slopes.lines(size), True))
    change = slopes.changes(to, size)
    assert len(to.router.caches) == size
    for n in range(count):
        change()
        assert len(to.router.caches) == size - (n + 1) % 2
        assert len(to.router.servers) == size


def test_a_decision_is_a_request_that_goes_out_and_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[api.Event] = []

    class Watched(policy.Router):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            events.append(event)
            return super().handle(now, event)

    monkeypatch.setattr(policy, "Router", Watched)
    monkeypatch.setattr(slopes, "REQUESTS", 5)
    assert len(slopes.decision(10, 2)) == 2
    assert [type(e) for e in events] == [api.ServerList, *[api.Request, api.Outcome] * 15]


def test_a_member_that_is_watched_knows_its_roster_and_hears_another(monkeypatch: pytest.MonkeyPatch) -> None:
    agents: list[Any] = []
    plain = Agent

    def made(*arguments: Any) -> Any:
        agents.append(plain(*arguments))
        return agents[-1]

    monkeypatch.setattr(slopes, "Agent", made)
    assert slopes.watched(30, 1, 4) > 0
    me, other = agents
    assert me.gossip.member_counts(1010.0).total() == 30
    assert 8 <= me.gossip.sent <= 16 and 8 <= other.gossip.sent <= 16  # about one a second
    assert me.gossip.peers_heard and not me.gossip.dropped


def test_sealed_datagrams_of_the_slope_are_nearly_as_long_as_they_may_be(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lengths = []
    plain = Seal.open

    def opened(self: Seal, data: bytes, count: int, version: int) -> list[Any]:
        lengths.append(len(data))
        return plain(self, data, count, version)

    monkeypatch.setattr(Seal, "open", opened)
    slopes.seal_cost(True)(3, 2)
    assert len(lengths) == 6 and MAX_DATAGRAM - 10 <= min(lengths) <= max(lengths) <= MAX_DATAGRAM


def test_a_datagram_that_is_readdressed_says_the_same() -> None:
    sealed = Datagram("a", Seal("x", slopes.KEY).pack("a", [VERSION, 1, 2, 3, 4, []]))
    again = slopes.readdressed(sealed, "b")
    assert Seal("b", slopes.KEY).open(again, 6, VERSION) == [VERSION, 1, 2, 3, 4, []]
    with pytest.raises(Dropped):
        Seal("a", slopes.KEY).open(again, 6, VERSION)


def test_a_roster_that_starts_together_gets_to_know_itself() -> None:
    share, sent, octets = measuring.together(8, 1)
    assert share == 1.0 and 0.5 <= sent <= 3.5 and sent * 40 <= octets <= sent * MAX_DATAGRAM
    assert measuring.together(8, 1) == (share, sent, octets)


@pytest.mark.processes
def test_a_child_measures_one_size_and_tells_form_and_calibration() -> None:
    form, found = measuring.point("list.bytes", 105, "")
    assert form == "sources" and found.size == 105 and found.calibration > 0
    assert found.values == (float(len(slopes.spelled(slopes.lines(105), True))),) * 3


@pytest.mark.processes
def test_a_compiled_form_is_what_the_child_imports(tmp_path: Path) -> None:
    package = tmp_path / "myrtlecourse"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "interface.py").write_text("raise SystemExit('the other form')")
    with pytest.raises(MeasureError, match="list.bytes at 105: ended with 1: the other form"):
        measuring.point("list.bytes", 105, str(tmp_path))


@pytest.mark.processes
@pytest.mark.parametrize(
    ("code", "named"),
    [
        ("import sys; sys.exit('so it went')", "x: ended with 1: so it went"),
        ("import os; os.kill(os.getpid(), 9)", "x: ended with -9"),
        ("import threading; threading.Event().wait()", "x: not over after 0.5 s"),
    ],
)
def test_a_run_that_gives_no_figure_says_why(code: str, named: str) -> None:
    with pytest.raises(MeasureError, match=named):
        measuring.carried_out([sys.executable, "-c", code], "x", 0.5 if "wait" in code else 20.0)


@pytest.mark.processes
def test_what_a_child_says_must_be_a_figure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(measuring, "BOOT", "print('nothing')")
    with pytest.raises(MeasureError, match="list.bytes at 105"):
        measuring.point("list.bytes", 105, "")


SHORT = Spec("what", "servers", "s", (1, 2, 3, 4, 5, 20), 3, lambda size, repeats: [1.0] * repeats)


def small(monkeypatch: pytest.MonkeyPatch, forms: tuple[str, ...] = ("sources",) * 6) -> None:
    """Slopes that take no time: their points are made up."""
    monkeypatch.setitem(SPECS, "list.parse", SHORT)

    def point(name: str, size: int, compiled: str) -> tuple[Any, Point]:
        return forms[SHORT.sizes.index(size)], Point(size, (1.0 * size,) * 3, 0.002, 0.0)

    monkeypatch.setattr(measuring, "point", point)


def test_the_command_keeps_what_the_file_has_of_other_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    small(monkeypatch)
    monkeypatch.setattr(measuring, "SEEDS", 3)
    file = tmp_path / "x.json"
    for names in (("known", "--members", "4"), ("list.parse",), ("list.parse",)):
        done = CliRunner().invoke(main, ["slopes", *names, "--out", str(file)])
        assert done.exit_code == 0, done.output
    assert (
        "list.parse (sources): n, held out 0.0%; at 20 foretold 20" in done.output and "counts" in done.output
    )
    found = results.read(file)
    assert [s.name for s in found.slopes] == ["list.parse"]
    assert [m.name for m in found.measures] == ["known.share_4", "known.datagrams_4", "known.bytes_4"]
    assert found.slopes[0].repeats[20] == (20.0, 20.0, 20.0)


def test_forms_are_not_mixed_in_a_slope(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    small(monkeypatch, ("sources",) * 5 + ("compiled",))
    done = CliRunner().invoke(main, ["slopes", "list.parse", "--out", str(tmp_path / "x.json")])
    assert done.exit_code == 1 and "list.parse: some sizes ran compiled" in done.output
    assert results.read(tmp_path / "x.json").slopes == ()


def test_a_real_routers_rates_are_those_that_the_bench_wrote(monkeypatch: pytest.MonkeyPatch) -> None:
    def bench(command: list[str], what: str, seconds: float) -> bytes:
        start = command[command.index("--router") + 1]
        assert "myrtlecourse.__main__" in start and "/compiled" in start
        size = command[command.index("--value") + 1]
        each = {"64": [1e-4, 1.1e-4, 1.2e-4], "262144": [2e-3] * 3}[size]
        told = {size: {"rates": {}, "core_seconds_each": {"bare relay": [1e-5, 2e-5, 3e-5], start: each}}}
        Path(command[command.index("--json") + 1]).write_bytes(orjson.dumps(told))
        return b""

    monkeypatch.setattr(measuring, "carried_out", bench)
    found = {m.name: m for name in measuring.ROUTER for m in measuring.router(name, "/compiled")}
    assert found["router.router_requests"].value == pytest.approx(1 / 1.1e-4, rel=1e-4)
    assert found["router.router_bytes"].value == pytest.approx(262_144 / 2e-3, rel=1e-4)
    assert found["router.relay_requests"].value == pytest.approx(50_000)
    assert {m.form for m in found.values()} == {"compiled"} and len(found) == 4
