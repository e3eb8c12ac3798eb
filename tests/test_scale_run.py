"""Scale runs without processes: scenarios, plans, bounds, figures, and hollow members in one loop."""

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
from myrtlecourse.scale.figures import InForceTimes, in_force_times, quantile
from myrtlecourse.scale.ground import Change, Ground
from myrtlecourse.scale.guard import MB, MOST_PROCESSES, Guard, GuardError, taken
from myrtlecourse.scale.hollow import Counts, HollowMember, InForce, Job
from myrtlecourse.scale.machine import Process, Use, calibrate, machine_memory, others_share, tree
from myrtlecourse.scale.plan import plan
from myrtlecourse.scale.scenario import Place, Scenario, ScenarioError, read_scenario

PATIENCE = 60.0  # seconds until a test that waits for an event fails


def written(folder: Path, text: str) -> Path:
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


@pytest.mark.parametrize(("text", "place", "bounds"), BAD)
def test_a_bad_scenario_is_one_line_and_starts_nothing(
    text: str, place: str, bounds: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = written(tmp_path, text)
    for more in ([], ["--plan"]):
        told = CliRunner().invoke(scale, ["run", str(path), *more])
        assert told.exit_code == 2
        assert told.stdout == ""
        assert len(told.stderr.strip().splitlines()) == 1
        assert str(path) in told.stderr and place in told.stderr and bounds in told.stderr


def _refuse(*_: Any, **__: Any) -> None:
    raise AssertionError("a process was started")


def test_what_can_not_be_written_is_one_line_and_starts_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = written(tmp_path, "hollow = 2")
    file = tmp_path / "file"
    file.touch()
    for options in (
        ["--json", str(tmp_path / "nowhere" / "results.json")],
        ["--json", str(tmp_path)],
        ["--folder", str(file / "below")],
    ):
        told = CliRunner().invoke(scale, ["run", str(path), "--quiet", *options])
        assert told.exit_code == 2, told.output
        assert told.stderr.count("\n") == 1 and options[1] in told.stderr
    assert not list(tmp_path.glob("*.json"))
    told = CliRunner().invoke(scale, ["run", str(tmp_path / "absent.toml")])
    assert told.exit_code == 2 and "absent.toml" in told.stderr


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
    path = written(tmp_path, "hollow = 250\nper_process = 100\nrouters = 2\n[peers]")
    told = CliRunner().invoke(scale, ["run", str(path), "--plan"])
    assert told.exit_code == 0, told.output
    made = plan(read_scenario(path))
    assert f"{made.processes} processes (bound {MOST_PROCESSES})" in told.stdout
    assert f"{made.memory / MB:,.0f} MB foretold" in told.stdout


def test_what_takes_too_much_is_not_begun(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subprocess, "Popen", _refuse)
    path = written(tmp_path, "hollow = 20000")
    for more in ([], ["--plan"]):
        told = CliRunner().invoke(scale, ["run", str(path), "--memory-mb", "1000", *more])
        assert told.exit_code == 2
        assert "memory: the run would take" in told.stderr and "the bound is 1,000 MB" in told.stderr
        assert told.stderr.count("\n") == 1


def test_no_more_than_the_most_processes_are_begun() -> None:
    guard = Guard(10**15)
    others = plan(Scenario(hollow=1)).processes - 1
    plan(Scenario(hollow=MOST_PROCESSES - others, per_process=1)).allow(guard)
    with pytest.raises(GuardError, match=f"processes: the run would take {MOST_PROCESSES + 1}"):
        plan(Scenario(hollow=MOST_PROCESSES - others + 1, per_process=1)).allow(guard)


def test_sockets_are_bounded_by_what_a_process_may_open(monkeypatch: pytest.MonkeyPatch) -> None:
    made = plan(Scenario(hollow=300, per_process=300))
    guard = Guard(10**12)
    made.allow(guard)
    most = max(part.sockets for part in made.parts)
    monkeypatch.setattr(resource, "getrlimit", lambda _: (most, most))
    made.allow(guard)
    monkeypatch.setattr(resource, "getrlimit", lambda _: (most - 1, most - 1))
    with pytest.raises(GuardError, match=f"sockets: .* {most}, and the bound is {most - 1}"):
        made.allow(guard)


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
    groups = scenario.groups()
    places = [place for group in groups for place in group]
    assert len(groups) == scenario.processes == planning.plan(scenario).parts[3].processes
    assert all(1 <= len(group) <= scenario.per_process for group in groups)
    assert [p.number for p in places] == list(range(scenario.routers, scenario.members))
    zones: dict[str, str] = {}
    for place in places:
        assert zones.setdefault(place.site, place.zone) == place.zone
    assert {p.zone for p in places} <= set(scenario.zone_names())
    assert len(zones) == min(scenario.sites, scenario.hollow)


@given(scenarios(), st.floats(0.01, 1.0))
def test_restarts_take_their_share_of_the_hollow_members(scenario: Scenario, share: float) -> None:
    told = msgspec.structs.replace(
        scenario, faults=msgspec.convert(({"what": "restart", "at": 1, "share": share},), type=FAULTS)
    )
    [(at, numbers)] = told.restarts()
    assert at == 1.0 and len(numbers) == max(1, round(scenario.hollow * share))
    assert all(scenario.routers <= number < scenario.members for number in numbers)
    assert told.restarts() == [(at, numbers)]


FAULTS = next(f.type for f in msgspec.structs.fields(Scenario) if f.name == "faults")


def test_real_routers_are_told_of_the_whole_fleet_and_its_regions() -> None:
    told = Scenario(regions=2, zones=5, sites=9, hollow=7, peers=msgspec.convert({}, PEERS)).fleet()
    assert told.zones == ("zone-0", "zone-1", "zone-2", "zone-3", "zone-4")
    assert told.peers is not None
    assert told.peers.regions == {
        "region-0": ("zone-0", "zone-2", "zone-4"),
        "region-1": ("zone-1", "zone-3"),
    }
    assert Scenario().fleet().peers is None


def test_a_zone_is_missed_by_chance_hardly_ever_before_the_auditor_blames_a_router() -> None:
    boxes = msgspec.convert({"kinds": [{"name": "std", "boxes": 60}]}, Scenario).kinds
    for zones in (1, 2, 12, 60, 138):
        told = Scenario(zones=zones, sites=zones, regions=min(zones, 43), kinds=boxes).fleet()
        sends, there = told.rules.zone_sends, min(zones, 60)
        assert sends >= 60.0
        assert there == 1 or there * (1 - 1 / there) ** sends <= 1e-9


PEERS = next(f.type for f in msgspec.structs.fields(Scenario) if f.name == "peers")


def test_more_members_servers_and_peers_are_foretold_to_take_more() -> None:
    small = plan(Scenario(hollow=100)).memory
    assert plan(Scenario(hollow=200)).memory > small
    boxes = msgspec.convert({"kinds": [{"name": "std", "boxes": 500}]}, Scenario).kinds
    assert plan(Scenario(hollow=100, kinds=boxes)).memory > small
    assert plan(Scenario(hollow=100, peers=msgspec.convert({}, PEERS))).memory > small


def test_a_guard_allows_its_bounds_and_no_more() -> None:
    guard = Guard(memory=10 * MB, processes=3)
    guard.allow(10 * MB, 3, "it would take")
    with pytest.raises(GuardError, match="memory: it would take 11 MB, and the bound is 10 MB"):
        guard.allow(11 * MB, 3, "it would take")
    with pytest.raises(GuardError, match="processes: it would take 4, and the bound is 3"):
        guard.allow(10 * MB, 4, "it would take")
    half = machine_memory() // 2
    assert Guard.of_machine().memory == Guard.of_machine(10 * half).memory == half
    assert Guard.of_machine(MB).memory == MB


def test_a_tree_is_all_that_descends_and_nothing_else() -> None:
    parents = {1: 0, 2: 1, 3: 2, 4: 2, 5: 4, 6: 1, 7: 6}
    table = {pid: Process(parent, 0.0, 0.0, 10**pid) for pid, parent in parents.items()}
    assert tree(2, table) == {2, 3, 4, 5}
    assert tree(9, table) == set()
    assert taken(tree(6, table), table) == (10**6 + 10**7, 2)


def test_what_others_use_is_what_is_left_of_the_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("os.cpu_count", lambda: 8)
    before = Use(at=10.0, machine=100.0, own=5.0)
    assert others_share(before, Use(20.0, 100.0 + 48.0, 5.0 + 40.0)) == pytest.approx(0.1)
    assert others_share(before, Use(20.0, 100.0 + 39.0, 5.0 + 40.0)) == 0.0  # clock ticks round
    assert others_share(before, before) == 0.0


def test_this_machine_can_be_measured() -> None:
    use = Use.now()
    assert calibrate() > 0.0
    later = Use.now()
    assert later.own >= use.own > 0.0 and later.machine >= use.machine > 0.0


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM])
def test_a_run_that_is_told_to_end_does_so_at_its_next_look(
    how: signal.Signals, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ended: list[bool] = []
    monkeypatch.setattr(run, "adopt_orphans", lambda: None)
    monkeypatch.setattr(run, "end_all", lambda: ended.append(True))
    monkeypatch.setattr(run, "calibrate", lambda: signal.raise_signal(how))
    monkeypatch.setattr(run, "Child", _Silent)
    before = signal.getsignal(how)
    with pytest.raises(run.ScaleError, match=f"^ended by {how.name} while starting$"):
        run.Run(Scenario(), tmp_path, "", Guard(10**15), lambda now: None).play()
    assert ended == [True] and signal.getsignal(how) is before


class _Silent:
    """A process that was never started."""

    def __init__(self, name: str, *_: Any) -> None:
        self.name = name


# When a change is in force


def test_a_change_is_in_force_once_a_member_has_its_state_or_a_later_one() -> None:
    changes = [
        Change(1.0, "a", "terminating", 5),
        Change(2.0, "a", "terminated", 5),
        Change(9.0, "a", "in_service", 7),
    ]
    records = [
        InForce(1.5, 1, "a", "terminating", 5),
        InForce(2.25, 1, "a", "terminated", 5),
        InForce(4.0, 2, "a", "terminated", 0),  # it never saw the one before
        InForce(5.0, 3, "a", "in_service", 5),  # another process of that name: no change of these
        InForce(9.5, 3, "a", "in_service", 7),
        InForce(4.0, 4, "a", "terminated", 5),  # of a process that was killed
    ]
    told = in_force_times(changes, records, {1, 2, 3})
    assert told == InForceTimes(3, 3, reached=7, missing=2, p50_s=2.0, p99_s=8.5, last_s=8.5)


def test_what_is_seen_before_a_change_is_not_its_effect() -> None:
    told = in_force_times([Change(3.0, "a", "terminated", 0)], [InForce(2.0, 1, "a", "terminated", 0)], {1})
    assert (told.reached, told.missing, told.p50_s) == (0, 1, None)


@given(
    st.lists(st.tuples(st.floats(0, 9), st.sampled_from("ab"), st.integers(0, 2)), max_size=8),
    st.lists(
        st.tuples(st.floats(0, 9), st.integers(1, 3), st.sampled_from("ab"), st.integers(0, 2)), max_size=20
    ),
)
def test_no_change_is_lost_or_counted_twice(changes: list[Any], records: list[Any]) -> None:
    told = in_force_times(
        [Change(at, name, "in_service", since) for at, name, since in changes],
        [InForce(at, member, name, "in_service", since) for at, member, name, since in records],
        {1, 2},
    )
    assert told.reached + told.missing == told.changes * 2 == len(changes) * 2
    assert told.missing >= 0
    if told.reached:
        assert told.p50_s is not None and told.p99_s is not None and told.last_s is not None
        assert 0.0 <= told.p50_s <= told.p99_s <= told.last_s <= 9.0


@given(st.lists(st.floats(0, 1), min_size=1).map(sorted), st.floats(0.01, 1.0))
def test_a_quantile_is_the_least_that_so_many_are_not_above(ordered: list[float], share: float) -> None:
    found = quantile(ordered, share)
    assert found in ordered
    assert found == ordered[math.ceil(share * len(ordered)) - 1]
    assert quantile([], share) is None


# Hollow members in one loop with what they stand before


class Stand:
    """A ground without routers, and hollow members before it."""

    def __init__(self, folder: Path, **told: Any) -> None:
        self.folder = folder
        self.scenario = msgspec.convert({"hollow": 3, "per_process": 2} | told, Scenario)
        self.log = seen.ObservationLog(folder / "fleet.jsonl")
        self.counts = Counts()

    async def __aenter__(self) -> Stand:
        self.ground = Ground(self.scenario, self.log, of_hollow=True)
        await self.ground.listen()
        peers = self.ground.scenario.peers
        operators = None
        if peers is not None:
            operators = operators_file(peers, None, self.ground.duty_relays, self.folder, "hollow")
        ports = [self.ground.discovery.ports[f"hollow-{n}"].number for n in range(2)]
        shared = self.ground.configuration(0)
        self.members: list[tuple[Place, Job, HollowMember]] = []
        for number, group in enumerate(self.scenario.groups()):
            job = Job(
                shared | {"discovery": f"127.0.0.1:{ports[number]}"},
                *(self.ground.heard, operators, group, (), self.folder / "log"),
            )
            for place in group:
                self.members.append((place, job, HollowMember(place, job, self.counts)))
        for _, _, member in self.members:
            await member.start(again=False)
        return self

    async def until(self, true: Any) -> None:
        async with asyncio.timeout(PATIENCE):
            while not true():
                await asyncio.sleep(0.01)

    async def __aexit__(self, *error: object) -> None:
        for _, _, member in self.members:
            member.close()
        self.ground.close()
        await asyncio.sleep(0)
        self.log.close()


def test_hollow_members_take_changes_from_discovery_and_are_not_judged(tmp_path: Path) -> None:
    async def play() -> None:
        async with Stand(tmp_path) as stand:
            ground, counts = stand.ground, stand.counts
            await stand.until(lambda: len(ground.discovery.waiting) == 3)  # all of them watch
            assert not counts.in_force  # what they were started with is no change
            ground.begin()
            entry = ground.layout.entries["std-1"]
            for status in ("terminating", "terminated"):
                ground.discovery.schedule(0.0, replace(entry, status=status))
                await stand.until(lambda status=status: sum(r.status == status for r in counts.in_force) == 3)
            for _, _, member in stand.members:
                assert "std-1" not in member.host.router.servers and "std-2" in member.host.router.servers
            told = in_force_times(ground.changes, counts.in_force, {1, 2, 3})
            assert (told.changes, told.reached, told.missing) == (2, 6, 0)
            assert ground.calls["hollow"] >= 3 and not ground.calls["router"]
            assert ground.bytes_in["hollow"] > 0 and ground.bytes_out["hollow"] > 0

    asyncio.run(play())
    kinds = {type(each) for each in seen.read_log(tmp_path / "fleet.jsonl")}
    assert seen.ListChanged in kinds and not kinds & {seen.DiscoveryCall, seen.ListEntrySent}


def test_a_hollow_member_that_begins_anew_has_the_list_first_given_and_then_the_change(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with Stand(tmp_path) as stand:
            counts = stand.counts
            entry = replace(stand.ground.layout.entries["std-1"], status="terminated")
            stand.ground.discovery.schedule(0.0, entry)
            await stand.until(lambda: len(counts.in_force) == 3)
            place, job, former = stand.members.pop(0)
            former.host.timers.call_later(3600.0, lambda _: None, None)
            armed = former.host.timers.loop_timer
            former.close()
            again = HollowMember(place, job, counts)
            stand.members.append((place, job, again))
            await again.start(again=True)
            assert "std-1" in again.host.router.servers
            await stand.until(lambda: len(counts.in_force) == 4)
            assert counts.in_force[-1].member == place.number
            assert "std-1" not in again.host.router.servers
            # nothing of the former life acts: it would ask discovery, and listen, beside the new one
            assert armed is not None and armed.cancelled()

    asyncio.run(play())


def test_hollow_members_gossip_with_all_others_by_the_real_code(tmp_path: Path) -> None:
    async def play() -> None:
        async with Stand(tmp_path, peers={"interval": 0.1}, regions=2, zones=2, sites=2) as stand:
            agents = [m.speaker.agent for _, _, m in stand.members if m.speaker is not None]
            assert len(agents) == 3
            await stand.until(lambda: all(a.gossip.member_counts(0.0).total() >= 3 for a in agents))
            assert stand.counts.datagrams_in >= 3
            assert stand.counts.datagram_bytes_in > stand.counts.datagrams_in
            for _, _, member in stand.members:
                datagrams, size = member.sent()
                assert 0 < datagrams < size
            assert {a.settings.zone for a in agents} == {"zone-0", "zone-1"}
            assert all(len(a.settings.members) == 4 for a in agents)  # the real router among them

    asyncio.run(play())


def test_a_scenario_file_is_read_whole() -> None:
    told = read_scenario(Path(__file__).parent.parent / "demo" / "scale.toml")
    assert 200 <= told.hollow <= 400 and told.routers == 2 and told.peers is not None
    with pytest.raises(ScenarioError, match="nowhere.toml: No such file"):
        read_scenario(Path("nowhere.toml"))
