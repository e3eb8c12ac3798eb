"""Tests runs at scale without processes: scenarios, plans, limits, results, and hollow members."""

from __future__ import annotations

import asyncio
import math
import resource
import signal
import subprocess
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.session import operators_file
from myrtlecourse.scale import plan as planning
from myrtlecourse.scale import run
from myrtlecourse.scale.commands import check_writable, scale
from myrtlecourse.scale.guard import MAX_PROCESSES, MB, ResourceLimitError, ResourceLimits, usage_of
from myrtlecourse.scale.hollow import Counts, HollowJob, HollowMember, InForceRecord
from myrtlecourse.scale.machine import (
    CpuUsage,
    ProcessStat,
    calibrate,
    machine_memory,
    others_share,
    process_tree,
)
from myrtlecourse.scale.plan import make_plan
from myrtlecourse.scale.run_results import InForceTimes, in_force_times, quantile
from myrtlecourse.scale.scenario import MemberPlace, Scenario, ScenarioError, read_scenario
from myrtlecourse.scale.stand_in_fleet import ListChange, ScaleFleet

TIMEOUT = 60.0  # seconds until a test that waits for an event fails


def write_scenario(folder: Path, text: str) -> Path:
    path = folder / "some.toml"
    path.write_text(text)
    return path


BAD = [
    ("hollow = 0", "$.hollow", ">= 1"),
    ("hollow = 20001", "$.hollow", "<= 20000"),
    ("per_process = 0", "$.per_process", ">= 1"),
    ("routers = 41", "$.routers", "<= 40"),
    ("rate = 0.0", "$.rate", "> 0"),
    ("seconds = 0.5", "$.seconds", ">= 1"),
    ("regions = 65", "$.regions", "<= 64"),
    ("hollow = 'many'", "$.hollow", "Expected `int`"),
    ("members = 3", "unknown field `members`", ""),
    ("regions = 3\nzones = 2\nsites = 9", "zones", "regions <= zones <= sites"),
    ("zones = 65\nsites = 65", "zones", "64 of a region"),
    ("hollow = 1000\n[peers]", "hollow", "1000 members at most"),
    ("hollow = 10\nper_process = 5\nfaults = [{what='kill', at=1, process=2}]", "faults[0]", "2 processes"),
    ("faults = [{what='restart', at=1, share=0.0}]", "$.faults[0].share", "> 0"),
    ("faults = [{what='explode', at=1}]", "$.faults[0].what", "explode"),
    ("faults = [{what='crash', at=1, box='std-9', seconds=1}]", "faults[0]", "no box is named"),
    ("kinds = []", "$.kinds", "length >= 1"),
    ("hollow 3", "some.toml", ""),
]


@pytest.mark.parametrize(("text", "location", "bounds"), BAD)
def test_a_bad_scenario_is_one_line_and_starts_nothing(
    text: str, location: str, bounds: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = write_scenario(tmp_path, text)
    for more in ([], ["--plan"]):
        result = CliRunner().invoke(scale, ["run", str(path), *more])
        assert result.exit_code == 2
        assert result.stdout == ""
        assert len(result.stderr.strip().splitlines()) == 1
        assert str(path) in result.stderr and location in result.stderr and bounds in result.stderr


def _refuse(*_: Any, **__: Any) -> None:
    raise AssertionError("a process was started")


def test_what_can_not_be_written_is_one_line_and_starts_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = write_scenario(tmp_path, "hollow = 2")
    file = tmp_path / "file"
    file.touch()
    for options in (
        ["--json", str(tmp_path / "nowhere" / "results.json")],
        ["--json", str(tmp_path)],
        ["--folder", str(file / "below")],
    ):
        result = CliRunner().invoke(scale, ["run", str(path), "--quiet", *options])
        assert result.exit_code == 2, result.output
        assert result.stderr.count("\n") == 1 and options[1] in result.stderr
    assert not list(tmp_path.glob("*.json"))
    result = CliRunner().invoke(scale, ["run", str(tmp_path / "absent.toml")])
    assert result.exit_code == 2 and "absent.toml" in result.stderr


def test_looking_whether_results_can_be_written_leaves_no_file_and_harms_none(tmp_path: Path) -> None:
    absent, there = tmp_path / "absent.json", tmp_path / "there.json"
    there.write_text("kept")
    for file in (absent, there):
        check_writable(tmp_path / "seen", file)
    assert not absent.exists() and there.read_text() == "kept"


def test_a_plan_starts_nothing_and_names_what_it_would(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = write_scenario(tmp_path, "hollow = 250\nper_process = 100\nrouters = 2\n[peers]")
    result = CliRunner().invoke(scale, ["run", str(path), "--plan"])
    assert result.exit_code == 0, result.output
    run_plan = make_plan(read_scenario(path))
    assert f"{run_plan.processes} processes (limit {MAX_PROCESSES})" in result.stdout
    assert f"{run_plan.memory / MB:,.0f} MB expected" in result.stdout


def test_what_takes_too_much_is_not_begun(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = write_scenario(tmp_path, "hollow = 20000")
    for more in ([], ["--plan"]):
        result = CliRunner().invoke(scale, ["run", str(path), "--memory-mb", "1000", *more])
        assert result.exit_code == 2
        assert "memory: the run would take" in result.stderr and "the limit is 1,000 MB" in result.stderr
        assert result.stderr.count("\n") == 1


def test_no_more_than_the_most_processes_are_begun() -> None:
    limits = ResourceLimits(10**15)
    others = make_plan(Scenario(hollow=1)).processes - 1
    make_plan(Scenario(hollow=MAX_PROCESSES - others, per_process=1)).check_limits(limits)
    with pytest.raises(ResourceLimitError, match=f"processes: the run would take {MAX_PROCESSES + 1}"):
        make_plan(Scenario(hollow=MAX_PROCESSES - others + 1, per_process=1)).check_limits(limits)


def test_sockets_are_bounded_by_what_a_process_may_open(monkeypatch: pytest.MonkeyPatch) -> None:
    run_plan = make_plan(Scenario(hollow=300, per_process=300))
    limits = ResourceLimits(10**12)
    run_plan.check_limits(limits)
    largest = max(part.sockets for part in run_plan.groups)
    monkeypatch.setattr(resource, "getrlimit", lambda _: (largest, largest))
    run_plan.check_limits(limits)
    monkeypatch.setattr(resource, "getrlimit", lambda _: (largest - 1, largest - 1))
    with pytest.raises(ResourceLimitError, match=f"sockets: .* {largest}, and the limit is {largest - 1}"):
        run_plan.check_limits(limits)


@st.composite
def scenarios(draw: st.DrawFn) -> Scenario:
    regions = draw(st.integers(1, 8))
    zones = draw(st.integers(regions, regions * 8))
    return Scenario(
        seed=draw(st.integers(0, 9)),
        regions=regions,
        zones=zones,
        sites=draw(st.integers(zones, 100)),
        hollow=draw(st.integers(1, 300)),
        per_process=draw(st.integers(1, 100)),
        routers=draw(st.integers(1, 5)),
    )


@given(scenarios())
def test_each_member_has_one_process_one_site_one_zone_and_one_region(scenario: Scenario) -> None:
    groups = scenario.members_by_process()
    places = [place for group in groups for place in group]
    assert len(groups) == scenario.processes == planning.make_plan(scenario).groups[3].processes
    assert all(1 <= len(group) <= scenario.per_process for group in groups)
    assert [p.number for p in places] == list(range(scenario.routers, scenario.members))
    zones: dict[str, str] = {}
    for place in places:
        assert zones.setdefault(place.site, place.zone) == place.zone
    assert {p.zone for p in places} <= set(scenario.zone_names())
    assert len(zones) == min(scenario.sites, scenario.hollow)


@given(scenarios(), st.floats(0.01, 1.0))
def test_restarts_take_their_share_of_the_hollow_members(scenario: Scenario, share: float) -> None:
    changed = msgspec.structs.replace(
        scenario, faults=msgspec.convert(({"what": "restart", "at": 1, "share": share},), type=FAULTS)
    )
    [(at, numbers)] = changed.restarts()
    assert at == 1.0 and len(numbers) == max(1, round(scenario.hollow * share))
    assert all(scenario.routers <= number < scenario.members for number in numbers)
    assert changed.restarts() == [(at, numbers)]


FAULTS = next(f.type for f in msgspec.structs.fields(Scenario) if f.name == "faults")


def test_real_routers_are_told_of_the_whole_fleet_and_its_regions() -> None:
    fleet = Scenario(regions=2, zones=5, sites=9, hollow=7, peers=msgspec.convert({}, PEERS)).fleet_scenario()
    assert fleet.zones == ("zone-0", "zone-1", "zone-2", "zone-3", "zone-4")
    assert fleet.peers is not None
    assert fleet.peers.regions == {
        "region-0": ("zone-0", "zone-2", "zone-4"),
        "region-1": ("zone-1", "zone-3"),
    }
    assert Scenario().fleet_scenario().peers is None


def test_a_zone_is_missed_by_chance_hardly_ever_before_the_auditor_blames_a_router() -> None:
    boxes = msgspec.convert({"kinds": [{"name": "std", "boxes": 60}]}, Scenario).kinds
    for zones in (1, 2, 12, 60, 138):
        fleet = Scenario(zones=zones, sites=zones, regions=min(zones, 43), kinds=boxes).fleet_scenario()
        sends, used_zones = fleet.rules.zone_sends, min(zones, 60)
        assert sends >= 60.0
        assert used_zones == 1 or used_zones * (1 - 1 / used_zones) ** sends <= 1e-9


PEERS = next(f.type for f in msgspec.structs.fields(Scenario) if f.name == "peers")


def test_more_members_servers_and_peers_are_foretold_to_take_more() -> None:
    small = make_plan(Scenario(hollow=100)).memory
    assert make_plan(Scenario(hollow=200)).memory > small
    boxes = msgspec.convert({"kinds": [{"name": "std", "boxes": 500}]}, Scenario).kinds
    assert make_plan(Scenario(hollow=100, kinds=boxes)).memory > small
    assert make_plan(Scenario(hollow=100, peers=msgspec.convert({}, PEERS))).memory > small


def test_a_guard_allows_its_bounds_and_no_more() -> None:
    limits = ResourceLimits(memory=10 * MB, processes=3)
    limits.require(10 * MB, 3, "it would take")
    with pytest.raises(ResourceLimitError, match="memory: it would take 11 MB, and the limit is 10 MB"):
        limits.require(11 * MB, 3, "it would take")
    with pytest.raises(ResourceLimitError, match="processes: it would take 4, and the limit is 3"):
        limits.require(10 * MB, 4, "it would take")
    half = machine_memory() // 2
    assert ResourceLimits.of_machine().memory == ResourceLimits.of_machine(10 * half).memory == half
    assert ResourceLimits.of_machine(MB).memory == MB


def test_a_tree_is_all_that_descends_and_nothing_else() -> None:
    parents = {1: 0, 2: 1, 3: 2, 4: 2, 5: 4, 6: 1, 7: 6}
    table = {pid: ProcessStat(parent, 0.0, 0.0, 10**pid) for pid, parent in parents.items()}
    assert process_tree(2, table) == {2, 3, 4, 5}
    assert process_tree(9, table) == set()
    assert usage_of(process_tree(6, table), table) == (10**6 + 10**7, 2)


def test_what_others_use_is_what_is_left_of_the_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("os.cpu_count", lambda: 8)
    before = CpuUsage(time=10.0, machine_s=100.0, own_s=5.0)
    assert others_share(before, CpuUsage(20.0, 100.0 + 48.0, 5.0 + 40.0)) == pytest.approx(0.1)
    assert others_share(before, CpuUsage(20.0, 100.0 + 39.0, 5.0 + 40.0)) == 0.0  # clock ticks are rounded
    assert others_share(before, before) == 0.0


def test_this_machine_can_be_measured() -> None:
    use = CpuUsage.now()
    assert calibrate() > 0.0
    later = CpuUsage.now()
    assert later.own_s >= use.own_s > 0.0 and later.machine_s >= use.machine_s > 0.0


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM])
def test_a_run_that_is_told_to_end_does_so_at_its_next_look(
    how: signal.Signals, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ended: list[bool] = []
    monkeypatch.setattr(run, "adopt_orphans", lambda: None)
    monkeypatch.setattr(run, "end_descendants", lambda: ended.append(True))
    monkeypatch.setattr(run, "calibrate", lambda: signal.raise_signal(how))
    monkeypatch.setattr(run, "ChildProcess", _Silent)
    before = signal.getsignal(how)
    with pytest.raises(run.ScaleError, match=f"^ended by {how.name} while starting$"):
        run.Run(Scenario(), tmp_path, "", ResourceLimits(10**15), lambda now: None).execute()
    assert ended == [True] and signal.getsignal(how) is before


class _Silent:
    """A child process that never starts."""

    def __init__(self, name: str, *_: Any) -> None:
        self.name = name


# When a change is in force


def test_a_change_is_in_force_once_a_member_has_its_state_or_a_later_one() -> None:
    changes = [
        ListChange(1.0, "a", "terminating", 5),
        ListChange(2.0, "a", "terminated", 5),
        ListChange(9.0, "a", "in_service", 7),
    ]
    records = [
        InForceRecord(1.5, 1, "a", "terminating", 5),
        InForceRecord(2.25, 1, "a", "terminated", 5),
        InForceRecord(4.0, 2, "a", "terminated", 0),  # has missed the previous state
        InForceRecord(5.0, 3, "a", "in_service", 5),  # another process under that name: none of these changes
        InForceRecord(9.5, 3, "a", "in_service", 7),
        InForceRecord(4.0, 4, "a", "terminated", 5),  # of a process that was killed
    ]
    times = in_force_times(changes, records, {1, 2, 3})
    assert times == InForceTimes(3, 3, reached=7, missing=2, p50_s=2.0, p99_s=8.5, last_s=8.5)


def test_what_is_seen_before_a_change_is_not_its_effect() -> None:
    times = in_force_times(
        [ListChange(3.0, "a", "terminated", 0)], [InForceRecord(2.0, 1, "a", "terminated", 0)], {1}
    )
    assert (times.reached, times.missing, times.p50_s) == (0, 1, None)


@given(
    st.lists(st.tuples(st.floats(0, 9), st.sampled_from("ab"), st.integers(0, 2)), max_size=8),
    st.lists(
        st.tuples(st.floats(0, 9), st.integers(1, 3), st.sampled_from("ab"), st.integers(0, 2)), max_size=20
    ),
)
def test_no_change_is_lost_or_counted_twice(changes: list[Any], records: list[Any]) -> None:
    times = in_force_times(
        [ListChange(at, name, "in_service", since) for at, name, since in changes],
        [InForceRecord(at, member, name, "in_service", since) for at, member, name, since in records],
        {1, 2},
    )
    assert times.reached + times.missing == times.changes * 2 == len(changes) * 2
    assert times.missing >= 0
    if times.reached:
        assert times.p50_s is not None and times.p99_s is not None and times.last_s is not None
        assert 0.0 <= times.p50_s <= times.p99_s <= times.last_s <= 9.0


@given(st.lists(st.floats(0, 1), min_size=1).map(sorted), st.floats(0.01, 1.0))
def test_a_quantile_is_the_least_that_so_many_are_not_above(ordered: list[float], share: float) -> None:
    value = quantile(ordered, share)
    assert value in ordered
    assert value == ordered[math.ceil(share * len(ordered)) - 1]
    assert quantile([], share) is None


# Hollow members in one event loop with their stand-in fleet


class HollowFleet:
    """A stand-in fleet without routers, with its hollow members."""

    def __init__(self, folder: Path, **fields: Any) -> None:
        self.folder = folder
        self.scenario = msgspec.convert({"hollow": 3, "per_process": 2} | fields, Scenario)
        self.log = seen.ObservationLog(folder / "fleet.jsonl")
        self.counts = Counts()

    async def __aenter__(self) -> HollowFleet:
        self.fleet = ScaleFleet(self.scenario, self.log, for_hollow=True)
        await self.fleet.listen()
        peers = self.fleet.scenario.peers
        operators = None
        if peers is not None:
            operators = operators_file(peers, None, self.fleet.duty_relays, self.folder, "hollow")
        ports = [self.fleet.discovery.ports[f"hollow-{n}"].number for n in range(2)]
        shared = self.fleet.configuration(0)
        self.members: list[tuple[MemberPlace, HollowJob, HollowMember]] = []
        for number, group in enumerate(self.scenario.members_by_process()):
            job = HollowJob(
                shared | {"discovery": f"127.0.0.1:{ports[number]}"},
                *(self.fleet.gossip_addresses, operators, group, (), self.folder / "log"),
            )
            for place in group:
                self.members.append((place, job, HollowMember(place, job, self.counts)))
        for _, _, member in self.members:
            await member.start(restarted=False)
        return self

    async def until(self, true: Any) -> None:
        async with asyncio.timeout(TIMEOUT):
            while not true():
                await asyncio.sleep(0.01)

    async def __aexit__(self, *error: object) -> None:
        for _, _, member in self.members:
            member.close()
        self.fleet.close()
        await asyncio.sleep(0)
        self.log.close()


def test_hollow_members_take_changes_from_discovery_and_are_not_judged(tmp_path: Path) -> None:
    async def play() -> None:
        async with HollowFleet(tmp_path) as hollow:
            fleet, counts = hollow.fleet, hollow.counts
            await hollow.until(lambda: len(fleet.discovery.waiting) == 3)  # all members watch the list
            assert not counts.in_force  # the initial list is not a change
            fleet.begin()
            entry = fleet.layout.entries["std-1"]
            for status in ("terminating", "terminated"):
                fleet.discovery.schedule(0.0, replace(entry, status=status))
                await hollow.until(
                    lambda status=status: sum(r.status == status for r in counts.in_force) == 3
                )
            for _, _, member in hollow.members:
                assert "std-1" not in member.host.router.servers and "std-2" in member.host.router.servers
            times = in_force_times(fleet.changes, counts.in_force, {1, 2, 3})
            assert (times.changes, times.reached, times.missing) == (2, 6, 0)
            assert fleet.calls["hollow"] >= 3 and not fleet.calls["router"]
            assert fleet.bytes_in["hollow"] > 0 and fleet.bytes_out["hollow"] > 0

    asyncio.run(play())
    kinds = {type(each) for each in seen.read_log(tmp_path / "fleet.jsonl")}
    assert seen.ListChanged in kinds and not kinds & {seen.DiscoveryCall, seen.ListEntrySent}


def test_a_hollow_member_that_begins_anew_has_the_list_first_given_and_then_the_change(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with HollowFleet(tmp_path) as hollow:
            counts = hollow.counts
            entry = replace(hollow.fleet.layout.entries["std-1"], status="terminated")
            hollow.fleet.discovery.schedule(0.0, entry)
            await hollow.until(lambda: len(counts.in_force) == 3)
            place, job, former = hollow.members.pop(0)
            former.host.timers.call_later(3600.0, lambda _: None, None)
            timer = former.host.timers.loop_timer
            former.close()
            restarted = HollowMember(place, job, counts)
            hollow.members.append((place, job, restarted))
            await restarted.start(restarted=True)
            assert "std-1" in restarted.host.router.servers
            await hollow.until(lambda: len(counts.in_force) == 4)
            assert counts.in_force[-1].member == place.number
            assert "std-1" not in restarted.host.router.servers
            # nothing of the stopped member may act: it would call discovery and listen beside the new one
            assert timer is not None and timer.cancelled()

    asyncio.run(play())


def test_hollow_members_gossip_with_all_others_by_the_real_code(tmp_path: Path) -> None:
    async def play() -> None:
        async with HollowFleet(tmp_path, peers={"interval": 0.1}, regions=2, zones=2, sites=2) as hollow:
            agents = [m.gossip_socket.agent for _, _, m in hollow.members if m.gossip_socket is not None]
            assert len(agents) == 3
            await hollow.until(lambda: all(a.gossip.member_counts(0.0).total() >= 3 for a in agents))
            assert hollow.counts.datagrams_in >= 3
            assert hollow.counts.datagram_bytes_in > hollow.counts.datagrams_in
            for _, _, member in hollow.members:
                datagrams, size = member.sent_totals()
                assert 0 < datagrams < size
            assert {a.settings.zone for a in agents} == {"zone-0", "zone-1"}
            assert all(len(a.settings.members) == 4 for a in agents)  # the real router is one of them

    asyncio.run(play())


def test_a_scenario_file_is_read_whole() -> None:
    scenario = read_scenario(Path(__file__).parent.parent / "demo" / "scale.toml")
    assert 200 <= scenario.hollow <= 400 and scenario.routers == 2 and scenario.peers is not None
    with pytest.raises(ScenarioError, match="nowhere.toml: No such file"):
        read_scenario(Path("nowhere.toml"))
