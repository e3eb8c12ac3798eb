"""Tests what a slope's child process does and reports, and how the commands run it. No test judges a time."""

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
from myrtlecourse.scale import capacity_results, measuring, slopes
from myrtlecourse.scale.capacity_commands import main
from myrtlecourse.scale.capacity_results import Point
from myrtlecourse.scale.fit import CHECK_FACTOR, MIN_SIZES
from myrtlecourse.scale.measuring import MeasureError
from myrtlecourse.scale.slopes import SPECS, SlopeSpec
from myrtlecourse.zones.agent import Agent
from tests.loopback import needs_sources


@pytest.mark.parametrize("name", SPECS)
def test_every_slope_has_sizes_for_a_fit_and_one_to_foretell(name: str) -> None:
    sizes = SPECS[name].sizes
    assert len(set(sizes)) == len(sizes)
    assert sum(n * CHECK_FACTOR <= max(sizes) for n in sizes) >= MIN_SIZES


@pytest.mark.processes
@pytest.mark.parametrize("name", SPECS)
def test_every_slope_gives_a_cost_for_each_repeat(name: str) -> None:
    costs = SPECS[name].run(min(SPECS[name].sizes), 3)
    assert len(costs) == 3 and all(cost > 0 for cost in costs)


def test_lists_are_spelled_as_discovery_spells_them() -> None:
    entry = Entry("cache-1", "zone-1", "kind-1", 3, 1.0, since=5.0)
    expected = fleet_spelled(entry, "127.0.0.1:1", 0.0)
    assert all(fields.keys() == expected.keys() for fields in slopes.list_entries(3))
    whole, members = slopes.parse_list(slopes.encode_list(slopes.list_entries(300), True))
    assert whole and len({m.entry.server for m in members}) == len({m.address for m in members}) == 300


@settings(max_examples=20)
@given(st.integers(2, 40), st.integers(1, 12))
def test_each_change_takes_one_server_out_or_gives_it_back(size: int, count: int) -> None:
    to = slopes.make_host()
    slopes.apply_answer(to, slopes.encode_list(slopes.list_entries(size), True))
    change = slopes.server_changes(to, size)
    assert len(to.router.caches) == size
    for n in range(count):
        change()
        assert len(to.router.caches) == size - (n + 1) % 2
        assert len(to.router.servers) == size


@needs_sources
def test_a_decision_is_a_request_that_goes_out_and_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[api.Event] = []

    class Watched(policy.Router):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            events.append(event)
            return super().handle(now, event)

    monkeypatch.setattr(policy, "Router", Watched)
    monkeypatch.setattr(slopes, "REQUESTS_PER_REPEAT", 5)
    assert len(slopes.decision(10, 2)) == 2
    assert [type(e) for e in events] == [api.ServerList, *[api.Request, api.Outcome] * 15]


def test_a_member_that_is_watched_knows_its_roster_and_hears_another(monkeypatch: pytest.MonkeyPatch) -> None:
    agents: list[Any] = []
    plain = Agent

    def made(*arguments: Any) -> Any:
        agents.append(plain(*arguments))
        return agents[-1]

    monkeypatch.setattr(slopes, "Agent", made)
    assert slopes.member_cost(30, 1, 4) > 0
    me, other = agents
    assert me.gossip.member_counts(1010.0).total() == 30
    # about one per second
    assert 8 <= me.gossip.datagrams_sent <= 16 and 8 <= other.gossip.datagrams_sent <= 16
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
    sealed = Datagram("a", Seal("x", slopes.GOSSIP_KEY).pack("a", [VERSION, 1, 2, 3, 4, []]))
    again = slopes.reseal(sealed, "b")
    assert Seal("b", slopes.GOSSIP_KEY).open(again, 6, VERSION) == [VERSION, 1, 2, 3, 4, []]
    with pytest.raises(Dropped):
        Seal("a", slopes.GOSSIP_KEY).open(again, 6, VERSION)


def test_a_roster_that_starts_together_gets_to_know_itself() -> None:
    share, sent, octets = measuring.simulate_roster_start(8, 1)
    assert share == 1.0 and 0.5 <= sent <= 3.5 and sent * 40 <= octets <= sent * MAX_DATAGRAM
    assert measuring.simulate_roster_start(8, 1) == (share, sent, octets)


@pytest.mark.processes
def test_a_child_measures_one_size_and_tells_form_and_calibration() -> None:
    form, point = measuring.measure_point("list.bytes", 105, "")
    assert form == "sources" and point.size == 105 and point.calibration > 0
    assert point.values == (float(len(slopes.encode_list(slopes.list_entries(105), True))),) * 3


@pytest.mark.processes
def test_a_compiled_form_is_what_the_child_imports(tmp_path: Path) -> None:
    package = tmp_path / "myrtlecourse"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "interface.py").write_text("raise SystemExit('the other form')")
    with pytest.raises(MeasureError, match="list.bytes at 105: exited with 1: the other form"):
        measuring.measure_point("list.bytes", 105, str(tmp_path))


@pytest.mark.processes
@pytest.mark.parametrize(
    ("code", "named"),
    [
        ("import sys; sys.exit('so it went')", "x: exited with 1: so it went"),
        ("import os; os.kill(os.getpid(), 9)", "x: exited with -9"),
        ("import threading; threading.Event().wait()", "x: timed out after 0.5 s"),
    ],
)
def test_a_run_that_gives_no_figure_says_why(code: str, named: str) -> None:
    with pytest.raises(MeasureError, match=named):
        measuring.run_command([sys.executable, "-c", code], "x", 0.5 if "wait" in code else 20.0)


@pytest.mark.processes
def test_what_a_child_says_must_be_a_figure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(measuring, "CHILD_CODE", "print('nothing')")
    with pytest.raises(MeasureError, match="list.bytes at 105"):
        measuring.measure_point("list.bytes", 105, "")


SHORT_SLOPE = SlopeSpec("what", "servers", "s", (1, 2, 3, 4, 5, 20), 3, lambda size, repeats: [1.0] * repeats)


def patch_slopes(monkeypatch: pytest.MonkeyPatch, forms: tuple[str, ...] = ("sources",) * 6) -> None:
    """Replace a slope by one whose points are made up, so that it takes no time."""
    monkeypatch.setitem(SPECS, "list.parse", SHORT_SLOPE)

    def point(name: str, size: int, compiled: str) -> tuple[Any, Point]:
        return forms[SHORT_SLOPE.sizes.index(size)], Point(size, (1.0 * size,) * 3, 0.002, 0.0)

    monkeypatch.setattr(measuring, "measure_point", point)


def test_the_command_keeps_what_the_file_has_of_other_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch_slopes(monkeypatch)
    monkeypatch.setattr(measuring, "SEEDS", 3)
    file = tmp_path / "x.json"
    for names in (("known", "--members", "4"), ("list.parse",), ("list.parse",)):
        done = CliRunner().invoke(main, ["slopes", *names, "--out", str(file)])
        assert done.exit_code == 0, done.output
    assert (
        "list.parse (sources): n, held out 0.0%; at 20 foretold 20" in done.output and "counts" in done.output
    )
    stored = capacity_results.read_file(file)
    assert [s.name for s in stored.slopes] == ["list.parse"]
    assert [m.name for m in stored.measures] == ["known.share_4", "known.datagrams_4", "known.bytes_4"]
    assert stored.slopes[0].repeats[20] == (20.0, 20.0, 20.0)


def test_forms_are_not_mixed_in_a_slope(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    patch_slopes(monkeypatch, ("sources",) * 5 + ("compiled",))
    done = CliRunner().invoke(main, ["slopes", "list.parse", "--out", str(tmp_path / "x.json")])
    assert done.exit_code == 1 and "list.parse: some sizes ran compiled" in done.output
    assert capacity_results.read_file(tmp_path / "x.json").slopes == ()


def test_a_real_routers_rates_are_those_that_the_bench_wrote(monkeypatch: pytest.MonkeyPatch) -> None:
    def bench(command: list[str], what: str, seconds: float) -> bytes:
        start = command[command.index("--router") + 1]
        assert "myrtlecourse.__main__" in start and "/compiled" in start
        size = command[command.index("--value") + 1]
        core_seconds = {"64": [1e-4, 1.1e-4, 1.2e-4], "262144": [2e-3] * 3}[size]
        results = {
            size: {"rates": {}, "core_seconds_each": {"bare relay": [1e-5, 2e-5, 3e-5], start: core_seconds}}
        }
        Path(command[command.index("--json") + 1]).write_bytes(orjson.dumps(results))
        return b""

    monkeypatch.setattr(measuring, "run_command", bench)
    measures = {
        m.name: m for name in measuring.ROUTER_MEASURES for m in measuring.measure_router(name, "/compiled")
    }
    assert measures["router.router_requests"].value == pytest.approx(1 / 1.1e-4, rel=1e-4)
    assert measures["router.router_bytes"].value == pytest.approx(262_144 / 2e-3, rel=1e-4)
    assert measures["router.relay_requests"].value == pytest.approx(50_000)
    assert {m.form for m in measures.values()} == {"compiled"} and len(measures) == 4
