"""Leaving zones as a fleet: the exit rule, the merge of states, and how the decision module obeys orders."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from itertools import pairwise, permutations
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse import interface as api
from myrtlecourse.config import Config, ConfigError, read_config
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.interface import Reachability
from myrtlecourse.load.profile import Profile
from myrtlecourse.operators import read_operators
from myrtlecourse.peers.gossip_socket import GossipSocket
from myrtlecourse.peers.records import MAX_PAYLOAD_SIZE, Record, encoded_size
from myrtlecourse.peers.seal import Dropped, Seal, ident
from myrtlecourse.policy import Router, tuning
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from myrtlecourse.zones import exit_rule
from myrtlecourse.zones.agent import Agent, AgentSettings
from myrtlecourse.zones.core import (
    IGNORED_AFTER_STALL,
    MAX_RECORD_AGE,
    NO_PEERS_GRACE,
    ORIGIN,
    PROBES_PER_SECOND,
    ZoneCoordinator,
    ZonesError,
)
from myrtlecourse.zones.exit_rule import ALL_ROUTERS, MIN_OUT, Evidence, ZoneHealth, ZoneMode, ZoneState
from myrtlecourse.zones.setup import make_gossip_socket
from myrtlecourse.zones.tallies import (
    FAILURES_TTL,
    LONG_PERIODS,
    PERIOD,
    AttemptCounts,
    Tally,
    decode_tallies,
    encode_tallies,
)
from myrtlecourse.zones.tiers import Tiers
from tests.driver import Driver, entry
from tests.driver import settings as conf
from tests.loopback import needs_sources

counts = st.integers(0, 20)
tallies = st.builds(Tally, counts, counts, counts, counts, counts, counts, counts)
standings = st.builds(
    ZoneState,
    st.integers(0, 3),
    st.sampled_from(ZoneMode),
    st.integers(0, exit_rule.MAX_FLAPS),
    st.integers(0, 2),
)


@given(standings, standings, standings)
def test_registers_merge_the_same_in_any_order_and_any_number_of_times(
    a: ZoneState, b: ZoneState, c: ZoneState
) -> None:
    results = set()
    for x, y, z in permutations((a, b, c)):
        results.add(x.merged(y).merged(z))
        results.add(x.merged(y.merged(z)).merged(y))
    assert len(results) == 1
    assert exit_rule.decode_state(a.encode(), a.ordered_by) == a


@given(st.dictionaries(st.integers(1, 65_535), tallies, max_size=40), st.integers(0, MAX_PAYLOAD_SIZE))
def test_tallies_come_as_they_went_and_within_their_room(each: dict[int, Tally], room: int) -> None:
    numbers = encode_tallies(each, room)
    assert sum(map(encoded_size, numbers)) <= max(1, room)
    decoded, rest = decode_tallies((*numbers, 5, 6))
    assert rest == (5, 6)
    assert all(decoded[zone] == each[zone] for zone in decoded)


@given(st.lists(st.integers(0, 2**32), max_size=60))
def test_numbers_that_say_nothing_are_taken_for_nothing(numbers: list[int]) -> None:
    zones = ZoneCoordinator("a", "north", 0.0)
    zones.receive_record(1.0, Record(5, 1, 1, 2, tuple(numbers), 1.0))
    zones.tick(1.0, [Record(5, 1, 1, 2, tuple(numbers), 1.0)], {zones.home: 2}, True)
    assert len(zones.registers) <= 64


def test_counts_go_with_their_periods() -> None:
    own = AttemptCounts(100.0)
    own.add(100.0, 7, Reachability.ANSWERED)
    own.add(100.3, 7, Reachability.SILENT)
    assert own.tallies(100.3)[7] == Tally(1, 0, 1, 1, 0, 1, 1)
    assert own.tallies(100.8)[7] == Tally(0, 0, 0, 1, 0, 1, 1)
    assert own.tallies(100.3 + LONG_PERIODS * PERIOD) == {7: Tally(failures_in_row=1)}
    assert own.tallies(100.3 + FAILURES_TTL + 0.1) == {}
    own.add(1000.0, 7, Reachability.REFUSED)
    assert own.tallies(1000.0)[7] == Tally(0, 1, 0, 0, 1, 0, 1)


@pytest.mark.parametrize(
    ("evidence", "health"),
    [
        (Evidence(2, 0, 0), ZoneHealth.UNKNOWN),
        (Evidence(20, 0, 0), ZoneHealth.HEALTHY),
        (Evidence(1, 20, 0, 3), ZoneHealth.REFUSED),
        (Evidence(1, 2, 20, 3), ZoneHealth.SILENT),
        (Evidence(10, 10, 0, 3), ZoneHealth.HALF_DEAD),
        (Evidence(10, 0, 10, 3), ZoneHealth.SLOW),
    ],
)
def test_what_it_looks_like_in_a_word(evidence: Evidence, health: ZoneHealth) -> None:
    assert exit_rule.zone_health(evidence) is health


def test_half_a_zone_or_a_slow_one_is_not_left_and_one_witness_does_not_do() -> None:
    assert exit_rule.is_unreachable(Evidence(0, 9, 0, 2), 6) and exit_rule.is_unreachable(
        Evidence(0, 0, 9, 2), 6
    )
    assert not exit_rule.is_unreachable(Evidence(0, 50, 0, 1), 6)
    # the answers are from before each router banned the servers by itself
    few = Evidence(40, 2, 3, 3, failures_in_row=5, routers_failing=3)
    assert exit_rule.is_unreachable(few, 6) and not exit_rule.is_unreachable(
        replace(few, answered_short=1), 6
    )
    assert not exit_rule.is_unreachable(replace(few, routers_failing=1), 6)
    # two routers have been answered since
    assert not exit_rule.is_unreachable(replace(few, routers_answered=2), 6)
    assert exit_rule.is_unreachable(Evidence(0, 50, 0, 1), 1)  # the only router of its zone
    assert not exit_rule.is_unreachable(Evidence(10, 10, 0, 6), 6) and not exit_rule.is_unreachable(
        Evidence(10, 0, 20, 6), 6
    )
    own, rest = Evidence(0, 0, 0), Evidence(0, 20, 0, 4)
    # routers without attempts of their own follow the fleet
    assert exit_rule.exit_evidence(own, rest, 3, 9) is rest
    assert exit_rule.exit_evidence(Evidence(9, 0, 0), rest, 3, 9) is None  # routers that reach the zone stay
    seldom = Evidence(1, 0, 0, answered_long=1)  # a single answer suffices to stay
    assert exit_rule.exit_evidence(seldom, rest, 3, 9) is None
    assert exit_rule.exit_evidence(replace(seldom, failures_in_row=2, routers_failing=1), rest, 3, 9) is rest


class Fleet:
    """Coordinators of several routers, which receive one another's records at once, on one clock."""

    def __init__(self, *homes: str) -> None:
        self.now = 1000.0
        self.each = {f"r{i}": ZoneCoordinator(f"r{i}", home, self.now) for i, home in enumerate(homes)}
        self.number = 0
        for zones in self.each.values():
            zones.set_zone_sizes({"north": 2, "south": 2, "west": 2})

    def attempts(self, zone: str, reach: Reachability, *names: str, times: int = 3) -> None:
        for name in names or self.each:
            for _ in range(times):
                self.each[name].attempt_ended(self.now, zone, reach)

    def run(self, seconds: float, apart: tuple[str, ...] = ()) -> None:
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.number += 1
            records = {
                name: Record(z.own_id, 1, self.number, z.home, z.payload(self.now), self.now)
                for name, z in self.each.items()
            }
            members = {z.home: sum(o.home == z.home for o in self.each.values()) for z in self.each.values()}
            for name, zones in self.each.items():
                side = [r for n, r in records.items() if n != name and (n in apart) is (name in apart)]
                for record in side:
                    zones.receive_record(self.now, record)
                zones.tick(self.now, side, members, True)

    def left(self) -> dict[str, frozenset[str]]:
        return {name: z.current_order.zones for name, z in self.each.items()}


SIX_ROUTERS = ("north", "north", "south", "south", "west", "west")


@pytest.mark.parametrize("reach", [Reachability.REFUSED, Reachability.SILENT])
def test_a_dead_zone_is_left_by_all_also_by_those_that_have_not_met_it(reach: Reachability) -> None:
    fleet = Fleet(*SIX_ROUTERS)
    fleet.attempts("south", reach, "r0", "r2", "r3")
    fleet.run(0.3)
    assert set(fleet.left().values()) == {frozenset({"south"})}
    assert fleet.each["r5"].current_order.trial_interval == 2 / PROBES_PER_SECOND


def test_a_router_that_alone_can_t_reach_a_zone_takes_nobody_with_it_and_is_told_so() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    for _ in range(15):
        fleet.attempts("south", Reachability.SILENT, "r0")
        fleet.attempts("south", Reachability.ANSWERED, "r1", "r2", "r3", "r4", "r5")
        fleet.run(0.2)
    assert set(fleet.left().values()) == {frozenset()}
    assert ident("south", 2) in fleet.each["r0"].isolated_from
    assert any("alone" in c.text for c in fleet.each["r0"].changes)
    assert not any("alone" in c.text for c in fleet.each["r1"].changes)


def test_a_cut_is_left_by_those_that_it_cuts_off_alone() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    for _ in range(5):
        fleet.attempts(ORIGIN, Reachability.REFUSED, "r2", "r3")
        fleet.attempts("north", Reachability.REFUSED, "r2", "r3")
        fleet.attempts(ORIGIN, Reachability.ANSWERED, "r0", "r1", "r4", "r5")
        fleet.attempts("north", Reachability.ANSWERED, "r0", "r1", "r4", "r5")
        fleet.run(0.2)
    given = {
        name: (z.current_order.zones, z.current_order.origin_unreachable) for name, z in fleet.each.items()
    }
    assert given["r2"] == given["r3"] == (frozenset({"north"}), True)
    assert {given[n] for n in ("r0", "r1", "r4", "r5")} == {(frozenset(), False)}


def test_a_zone_that_is_back_is_returned_to_after_its_hold_and_flapping_makes_that_longer() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    outs = []
    for _ in range(3):
        for _ in range(6):  # counts from before the return must not matter
            fleet.attempts("south", Reachability.REFUSED, times=1)
            fleet.run(0.2)
        assert set(fleet.left().values()) == {frozenset({"south"})}
        began = max(z.registers[z.home, ident("south", 2)].since for z in fleet.each.values())
        while any(fleet.left().values()):
            fleet.attempts("south", Reachability.ANSWERED, "r0", "r2", "r4", times=1)
            fleet.run(0.5)
        outs.append(fleet.now - began)
    assert outs[0] >= MIN_OUT and outs[1] >= 2 * MIN_OUT and outs[2] >= 4 * MIN_OUT
    assert outs[0] <= MIN_OUT + LONG_PERIODS * PERIOD + 1.0


def test_a_trial_that_comes_through_is_followed_by_more_of_them_soon() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    fleet.attempts("south", Reachability.REFUSED)
    fleet.run(MIN_OUT + 1.0)
    seldom = fleet.each["r0"].current_order.trial_interval
    fleet.attempts("south", Reachability.ANSWERED, "r1", times=1)
    fleet.run(0.2)
    assert fleet.left()["r0"] and fleet.each["r0"].current_order.trial_interval <= seldom / 2
    fleet.run(LONG_PERIODS * PERIOD + 1.0)
    assert fleet.left()["r0"] and fleet.each["r0"].current_order.trial_interval == seldom


def test_trials_that_fail_keep_it_out_and_what_came_before_brings_nobody_back() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    fleet.attempts("south", Reachability.ANSWERED, times=30)
    fleet.run(0.6)
    for _ in range(20):
        fleet.attempts("south", Reachability.REFUSED, times=1)
        fleet.run(0.5)
    assert set(fleet.left().values()) == {frozenset({"south"})}
    assert {z.registers[z.home, ident("south", 2)].state.epoch for z in fleet.each.values()} == {1}


def test_a_split_takes_nobody_out_who_can_reach_the_zone() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    for _ in range(10):
        fleet.attempts("south", Reachability.REFUSED, "r0", "r2", "r4")
        fleet.attempts("south", Reachability.ANSWERED, "r1", "r3", "r5")
        fleet.run(0.2, apart=("r0", "r2", "r4"))
    left = fleet.left()
    assert {left[n] for n in ("r0", "r2", "r4")} == {frozenset({"south"})}
    for _ in range(5):  # after the split: the others' state must not make those leave that reach the zone
        fleet.attempts("south", Reachability.ANSWERED, "r1", "r3", "r5")
        fleet.run(0.2)
        left = fleet.left()
        assert {left[n] for n in ("r1", "r3", "r5")} == {frozenset()}


def test_who_hears_nobody_goes_by_itself_again() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    fleet.attempts("south", Reachability.REFUSED)
    fleet.run(0.3)
    zones = fleet.each["r0"]
    assert zones.current_order.zones
    zones.tick(fleet.now, [], {zones.home: 1}, peers_heard=False)
    assert zones.current_order.zones  # during the grace time, the order stays
    zones.tick(fleet.now + NO_PEERS_GRACE, [], {zones.home: 1}, peers_heard=False)
    assert zones.current_order == api.ZoneExit(
        spill_limit=zones.spill, trial_interval=zones.current_order.trial_interval, paced_return=True
    )


def test_a_process_that_stood_still_counts_nothing_of_that_time() -> None:
    zones = ZoneCoordinator("r0", "north", 1000.0)
    zones.set_zone_sizes({"south": 2})
    zones.attempt_ended(1000.0, "south", Reachability.REFUSED)
    zones.process_stalled(1005.0)
    for _ in range(50):  # attempts that timed out because of the stall
        zones.attempt_ended(1005.1, "south", Reachability.SILENT)
    assert zones.counts.tallies(1005.1) == {}
    zones.attempt_ended(1005.0 + IGNORED_AFTER_STALL, "south", Reachability.SILENT)
    assert zones.counts.tallies(1005.6)


def test_records_that_are_old_say_nothing() -> None:
    zones = ZoneCoordinator("r0", "north", 1000.0)
    zones.set_zone_sizes({"south": 2})
    bad = encode_tallies({ident("south", 2): Tally(0, 9, 0, 0, 9, 0)}, MAX_PAYLOAD_SIZE)
    stale = [Record(i, 1, 1, zones.home, bad, 1000.0 - MAX_RECORD_AGE - 0.1) for i in (5, 6, 7)]
    for record in stale:
        zones.receive_record(1000.0, record)
    zones.tick(1000.0, stale, {zones.home: 4}, True)
    assert not zones.current_order.zones


def test_doubts_of_some_that_are_no_news_take_no_newcomer_out() -> None:
    """Restarted routers left four zones and the origin on others' single failures, which were seconds old."""
    zones = ZoneCoordinator("r0", "north", 1000.0)
    zones.set_zone_sizes({"south": 2})
    doubt = encode_tallies({ident("south", 2): Tally(0, 0, 0, 9, 0, 1, 1)}, MAX_PAYLOAD_SIZE)
    for age in (1.0, 0.2):
        records = [Record(i, 1, int(1 / age), zones.home, doubt, 1000.0 - age) for i in range(5, 12)]
        records += [
            Record(
                i,
                1,
                int(1 / age),
                zones.home,
                encode_tallies({ident("south", 2): Tally(answered_long=5)}, MAX_PAYLOAD_SIZE),
                999.8,
            )
            for i in range(12, 16)
        ]
        for record in records:
            zones.receive_record(1000.0, record)
        zones.tick(1000.0, records, {zones.home: 12}, True)
        assert not zones.current_order.zones


def test_an_operator_s_order_holds_everywhere_until_it_ends_and_by_whom_is_known() -> None:
    fleet = Fleet(*SIX_ROUTERS)
    fleet.each["r4"].order_zone(fleet.now, "south", ZoneMode.ORDERED_OUT, 5.0)
    fleet.attempts("south", Reachability.ANSWERED, times=5)
    fleet.run(0.3)
    assert set(fleet.left().values()) == {frozenset({"south"})}
    assert fleet.each["r0"].current_order.forced_zones == frozenset({"south"})
    assert fleet.each["r0"].registers[ALL_ROUTERS, ident("south", 2)].state.ordered_by == ident("r4")
    fleet.run(5.5)
    assert set(fleet.left().values()) == {frozenset()}
    fleet.attempts("south", Reachability.REFUSED)
    fleet.each["r1"].order_zone(fleet.now, "south", ZoneMode.ORDERED_IN, 5.0)
    fleet.run(0.3)
    assert set(fleet.left().values()) == {frozenset()}  # in use, whatever the evidence is
    with pytest.raises(ZonesError, match="nowhere"):
        fleet.each["r1"].order_zone(fleet.now, "nowhere", ZoneMode.ORDERED_OUT, 5.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["north", "south"]), st.sampled_from(Reachability), st.sampled_from(SIX_ROUTERS)
        ),
        max_size=60,
    ),
    st.randoms(use_true_random=False),
)
def test_routers_of_a_zone_that_have_heard_the_same_say_the_same(
    ends: list[tuple[str, Reachability, str]], chance: object
) -> None:
    """The order and the number of copies of the records make no difference."""
    senders = [ZoneCoordinator(f"s{i}", home, 1000.0) for i, home in enumerate(SIX_ROUTERS)]
    for i, (zone, reach, _) in enumerate(ends):
        senders[i % 6].set_zone_sizes({"north": 2, "south": 2})
        senders[i % 6].attempt_ended(1000.0, zone, reach)
    records = [Record(z.own_id, 1, 1, z.home, z.payload(1000.1), 1000.1) for z in senders]
    found = set()
    for name in ("a", "b"):
        zones = ZoneCoordinator(name, "north", 1000.0)
        zones.set_zone_sizes({"north": 2, "south": 2, "west": 2})
        shuffled = records * 2
        chance.shuffle(shuffled)  # type: ignore[attr-defined]
        for record in shuffled:
            zones.receive_record(1000.1, record)
        zones.tick(1000.1, records, {zones.home: 3, 1: 4}, True)
        found.add(zones.current_order)
    assert len(found) == 1


# The decision module


def server_entries(**zones: str) -> tuple[api.ServerEntry, ...]:
    return tuple(entry(name, zone=zone) for name, zone in zones.items())


FOUR_SERVERS = server_entries(a="north", b="north", c="south", d="south")


def driver(**changes: object) -> Driver:
    d = Driver(conf(**changes))
    d.list(*FOUR_SERVERS)
    return d


def servers_used(d: Driver, count: int) -> set[str]:
    found = set()
    for i in range(count):
        name = f"{len(d.sends)}-{len(d.ended)}"
        server = d.request(name, key=f"k{i}")
        if server:
            found.add(server)
            d.end(name, api.Status.OK)
    return found


def test_nothing_new_goes_to_a_zone_that_is_left_but_trials_and_all_comes_back() -> None:
    d = driver()
    assert servers_used(d, 40) == {"a", "b", "c", "d"}
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=100.0, trial_interval=1e9))
    assert servers_used(d, 40) == {"a", "b"}
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=100.0, trial_interval=0.001))
    d.now += 10.0
    assert {"c", "d"} & servers_used(d, 40)
    d.feed(api.ZoneExit())
    d.now += 1.0
    assert servers_used(d, 60) == {"a", "b", "c", "d"}


def test_a_forced_zone_gets_no_trial() -> None:
    d = driver()
    d.feed(
        api.ZoneExit(
            frozenset({"south"}), forced_zones=frozenset({"south"}), spill_limit=100.0, trial_interval=0.001
        )
    )
    d.now += 10.0
    assert servers_used(d, 60) == {"a", "b"}


def test_with_all_zones_left_it_stays_where_it_is() -> None:
    d = driver()
    d.feed(api.ZoneExit(frozenset({"north", "south"}), spill_limit=100.0, trial_interval=1e9))
    assert servers_used(d, 40) == {"a", "b", "c", "d"}


def test_servers_that_have_started_since_are_not_meant() -> None:
    d = driver()
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=100.0, trial_interval=1e9))
    d.now += 5.0
    d.list(
        FOUR_SERVERS[0], FOUR_SERVERS[1], FOUR_SERVERS[2], entry("d", zone="south", listed_start=d.now - 1.0)
    )
    d.now += 20.0  # past the slow start
    assert servers_used(d, 60) == {"a", "b", "d"}


def test_a_router_that_lists_the_zone_only_now_leaves_it_too() -> None:
    d = Driver(conf())
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=100.0, trial_interval=1e9))
    d.list(*FOUR_SERVERS)
    assert servers_used(d, 40) <= {"a", "b"}


@given(st.integers(0, 2**16), st.floats(1.0, 4.0), st.integers(50, 400))
def test_what_moves_stays_in_its_bound_and_every_request_has_its_answer(
    seed: int, spill: float, count: int
) -> None:
    d = Driver(conf(), seed)
    d.list(*FOUR_SERVERS)
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=spill, trial_interval=1e9))
    stays = moved = 0
    for i in range(count):
        key = f"{seed}-{i}"
        server = d.request(f"q{i}", key=key)
        held = d.router.requests.get(f"q{i}")
        if server:
            assert held is not None
            moved, stays = moved + held.displaced, stays + (not held.displaced)
            d.end(f"q{i}", api.Status.OK)
        assert f"q{i}" in d.ended
        assert moved <= 16 + (spill - 1.0) * stays
    assert stays > 0


def test_least_worth_first_is_refused_with_a_time_to_come_back() -> None:
    d = driver(max_retry_after=2.0)
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=1.0, trial_interval=1e9))
    refused = {"read": 0, "keyed": 0}
    for i in range(60):
        kind = "read" if i % 2 else "keyed"
        if d.request(f"q{i}", request_class=kind, key=f"k{i}"):
            d.end(f"q{i}", api.Status.OK)
        else:
            refused[kind] += 1
            assert any(isinstance(a, api.Refuse) and a.retry_after >= 0.25 for a in d.last)
    assert refused["read"] > refused["keyed"]


def test_what_is_out_there_is_asked_for_again_at_once() -> None:
    d = driver()
    for i in range(6):
        d.request(f"q{i}", key=f"k{i}")
    out = [name for name, sent in d.sends.items() if sent[-1] in ("c", "d")]
    assert out
    d.feed(api.ZoneExit(frozenset({"south"}), spill_limit=100.0, trial_interval=1e9))
    again = [name for name in out if d.sends[name][-1] in ("a", "b")]
    assert again and all(len(d.sends[name]) == 2 for name in again)


def test_an_origin_out_of_reach_is_asked_by_trials_alone_while_hits_go_on() -> None:
    d = Driver(conf(cache_aside=True, origin_kind="origin"))
    d.list(*FOUR_SERVERS, entry("o", kind="origin", zone="north"))
    d.feed(api.ZoneExit(origin_unreachable=True, trial_interval=1e9))
    for i in range(10):
        d.request(f"q{i}", key=f"k{i}")
        d.end(f"q{i}", api.Status.MISS if i % 2 else api.Status.OK)
        if i % 2:  # it waits, but is refused early enough for a retry elsewhere
            assert f"q{i}" in d.open
            d.wait(0.9)
        assert d.ended[f"q{i}"] == ("refused" if i % 2 else "served")
    assert not any("o" in sent for sent in d.sends.values())
    d.feed(api.ZoneExit())
    d.now += 1.1  # routers resume at different times
    d.request("later", key="x")
    d.end("later", api.Status.MISS)
    assert d.sends["later"][-1] == "o"


def test_the_watch_is_told_once_of_each_attempt() -> None:
    reported: list[tuple[str, bool, Reachability]] = []

    class Watch:
        def attempt_ended(
            self,
            now: float,
            zone: str,
            origin: bool,
            reach: Reachability,
            pressed: bool = False,
            missed: bool = False,
        ) -> None:
            reported.append((zone, origin, reach))

        def servers_listed(self, zones: Mapping[str, int]) -> None:
            raise AssertionError("the host calls this")

    d = driver()
    d.router.observer = Watch()
    for i, status in enumerate(
        (api.Status.OK, api.Status.CONNECT_FAILED, api.Status.RESET, api.Status.ERROR)
    ):
        d.request(f"q{i}", key="k")
        d.end(f"q{i}", status)
    assert [reach for _, _, reach in reported[:4]] == [
        Reachability.ANSWERED,
        Reachability.REFUSED,
        Reachability.REFUSED,
        Reachability.ANSWERED,
    ]
    assert {zone for zone, _, _ in reported} <= {"north", "south"} and not any(o for _, o, _ in reported)


# Whole fleets in virtual time, with the same modules


def world(faults: list[dict[str, Any]], **changes: Any) -> FleetSimulation:
    plain = {
        "seconds": 14.0,
        "routers": 12,
        "zones": ["north", "south", "west", "east"],
        "delay": 0.002,
        "kinds": [{"name": "std", "boxes": 12, "cores": 4, "cold": 0.5, "warm_up": 2}],
        "origin": {"slots": 24, "time": 0.02, "queue": 100},
        "discovery": {"notice": 60.0, "silent_notice": 60.0},
        "classes": [{"name": "read", "work": 0.02, "aim": 0.5, "deadline": 1.5}],
        "rules": {"zone_dials": 20.0, "zone_spill": 3.0},
        "peers": {"loss": 0.3, "copies": 0.2, "spread": 0.02},
        "faults": faults,
    }
    load = {
        "pieces": [{"seconds": 13.0, "rate": 300}],
        "classes": [{"name": "read", "aim": 0.5, "deadline": 1.5}],
    }
    scenario = msgspec.convert(plain | changes, Scenario)
    return FleetSimulation(scenario, msgspec.convert(load | {"keys": {"count": 200}}, Profile))


def last_zones_left(played: FleetSimulation) -> dict[str, frozenset[str]]:
    peer_network = played.routers[0].peer_network
    assert peer_network is not None
    return {who: zones for _, who, zones, _ in peer_network.zone_exits}


def test_two_zones_at_once_are_left_and_one_with_its_routers_and_the_list_s_silence() -> None:
    lasting = {"at": 4.0, "seconds": 20.0}
    faults = [{"what": "crash", "zone": z, **lasting} for z in ("south", "west")]
    faults.append({"what": "discovery_away", **lasting})
    played = world(faults)
    result = played.run()
    assert result.verdict["kept"], result.verdict["named"]
    assert set(last_zones_left(played).values()) == {frozenset({"south", "west"})}


def test_half_a_zone_or_a_slow_one_is_left_by_nobody() -> None:
    boxes = [f"std-{i}" for i in range(12) if i % 4 == 1]
    faults = [{"what": "slow", "at": 4.0, "box": box, "seconds": 6.0, "factor": 0.3} for box in boxes]
    faults.append({"what": "crash", "at": 4.0, "box": "std-0", "seconds": 20.0})
    played = world(faults)
    result = played.run()
    assert result.verdict["kept"], result.verdict["named"]
    assert not any(last_zones_left(played).values())


def test_a_fleet_of_one_zone_has_nowhere_to_go_and_stays() -> None:
    played = world([{"what": "crash", "zone": "north", "at": 4.0, "seconds": 3.0}], zones=["north"])
    result = played.run()
    assert result.verdict["breaches"]["lost"] == 0 and result.verdict["breaches"]["late"] == 0
    assert result.record.all.counts["served"] > 0.6 * result.record.all.counts["scheduled"]


class IgnoresOrders(Router):
    """A router with a deliberate fault: it ignores orders to leave zones."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [] if isinstance(event, api.ZoneExit) else super().handle(now, event)


@needs_sources
def test_a_fleet_that_goes_on_trying_a_dark_zone_is_caught() -> None:
    faults = [{"what": "crash", "zone": "south", "at": 2.0, "seconds": 20.0}]
    played = world(faults, rules={"zone_dials": 30.0}, routers=40)
    assert played.run().verdict["breaches"]["stayed"] == 0
    wrong = world(faults, rules={"zone_dials": 30.0}, routers=40)
    for router in wrong.routers:
        router.router_class = IgnoresOrders
        router.start(list(wrong.layout.entries.values()))
    assert wrong.run().verdict["breaches"]["stayed"] > 0


# Tiers of preference


REGIONS = {"west": frozenset({"north", "south"}), "east": frozenset({"harbour"})}
weights = st.floats(0.02, 1.0)


@given(
    st.dictionaries(st.sampled_from(["north", "south", "harbour"]), st.integers(1, 9), min_size=2),
    st.dictionaries(st.sampled_from(["north", "south", "harbour"]), st.integers(1, 9), min_size=1),
    *(weights, weights),
    st.floats(1.0, 5.0),
    st.sampled_from(["north", "south", "harbour"]),
)
def test_survivors_of_a_zone_get_no_more_than_the_bound_of_all_routers_together(
    sizes: dict[str, int], routers: dict[str, int], near: float, far: float, bound: float, gone: str
) -> None:
    tiers = Tiers(REGIONS, near, far)
    left = frozenset({gone})
    had = moved = 0.0
    for zone, count in routers.items():
        lost = tiers.lost_share(zone, sizes, left)
        had += count * (1.0 - lost)
        moved += count * (tiers.spill_bound(bound, zone, sizes, left, routers) - 1.0) * (1.0 - lost)
    # This holds only if no router loses all of its load: else no load is left to measure the bound by.
    assert moved <= (bound - 1.0) * had * (1 + 1e-9) + 1e-9
    assert Tiers().spill_bound(bound, "north", sizes, left, routers) == bound


def test_the_own_zone_is_asked_most_and_its_region_takes_over_when_it_is_left() -> None:
    d = Driver(conf())
    d.list(*(entry(f"{zone}-{i}", zone=zone) for zone in ("north", "south", "harbour") for i in range(4)))
    tiers = Tiers(REGIONS, 0.4, 0.1)
    zones = ("north", "south", "harbour")

    def shares() -> dict[str, float]:
        seen = Counter[str]()
        d.now += 2 * tuning.EXCLUSION_TIME  # until servers that are back in use are asked again
        for i in range(600):
            name = f"{d.now}-{i}"
            d.request(name, key=f"k{i}")
            seen[d.sends[name][0].partition("-")[0]] += 1
            d.end(name, api.Status.OK)
        return {zone: seen[zone] / 600 for zone in zones}

    before = shares()
    assert all(share > 0.25 for share in before.values())
    d.feed(api.ZonePreferences({zone: tiers.weight("north", zone) for zone in zones}))
    with_tiers = shares()
    assert with_tiers["north"] == pytest.approx(1.0 / 1.5, abs=0.08)
    assert with_tiers["south"] == pytest.approx(0.4 / 1.5, abs=0.08)
    d.feed(api.ZoneExit(frozenset({"north"}), spill_limit=100.0, trial_interval=1e9))
    left = shares()
    assert left["north"] == 0.0
    assert left["south"] == pytest.approx(0.8, abs=0.1)
    d.feed(api.ZoneExit())
    d.feed(api.ZonePreferences({}))
    assert all(share > 0.25 for share in shares().values())


def test_a_fleet_with_tiers_keeps_its_bound_when_a_zone_is_lost_and_loses_little() -> None:
    peers = {"regions": {"west": ["north", "south"], "east": ["west", "east"]}, "own_region": 0.3}
    faults = [{"what": "crash", "zone": "south", "at": 4.0, "seconds": 20.0}]
    rules = {"zone_dials": 20.0, "zone_spill": 3.0, "zone_sends": 1000.0}
    played = world(faults, peers=peers | {"elsewhere": 0.1}, rules=rules)
    result = played.run()
    assert result.verdict["kept"], result.verdict["named"]
    assert set(last_zones_left(played).values()) == {frozenset({"south"})}
    assert result.record.all.counts["served"] > 0.9 * result.record.all.counts["scheduled"]


def agent_settings(**changes: Any) -> AgentSettings:
    plain = {"name": "a", "members": ("a", "b"), "zone": "north", "key": b"k" * 16}
    return AgentSettings(**(plain | changes))


def test_another_part_is_taken_whole_or_not_at_all() -> None:
    agent = Agent(agent_settings(), 0.0, 0.0, 1)
    agent.servers_listed({"north": 2, "south": 2})
    assert agent.tick(0.1, 0.1).events == []
    tiers = Tiers({}, 1.0, 0.5)
    agent.reconfigure(
        agent_settings(
            members=("a", "b", "c"), spill=2.0, tiers=tiers, accepted_keys=(b"j" * 16,), interval=2.0
        )
    )
    assert agent.tick(0.2, 0.2).events == [api.ZonePreferences({"south": 0.5})]
    assert [m["name"] for m in agent.status(0.2)["members"]] == ["a", "b", "c"]
    assert agent.zones.spill == 2.0 and agent.gossip.interval == 2.0
    before = agent.settings
    wrong = ({"zone": "south"}, {"members": ("b", "c")}, {"key": b"short"}, {"accepted_keys": (b"short",)})
    for change in wrong:
        with pytest.raises(ValueError, match=r"can't change|among|least"):
            agent.reconfigure(agent_settings(**change))
        assert agent.settings is before and len(agent.gossip.members) == 3


def test_a_new_key_goes_round_without_a_word_lost() -> None:
    old, new = b"o" * 16, b"n" * 16
    steps = [(old, ()), (old, (new,)), (new, (old,)), (new, ())]
    for before, after in pairwise(steps):
        for one, other in ((before, after), (after, before)):
            sent = Seal("a", *one).pack("b", [1, 2])
            assert Seal("b", *other).open(sent, 2, 1) == [1, 2]
    with pytest.raises(Dropped, match="forged"):
        Seal("b", *steps[3]).open(Seal("a", *steps[0]).pack("b", [1, 2]), 2, 1)


# The table in the operators' file


VALID_FILE = """
[fleet]
key_file = "KEY"
name = "a"
zone = "north"
peers = [{name = "a", at = "127.0.0.1:7001"}, {name = "b", at = "127.0.0.1:7002"}]
"""


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("[fleet]", "[flet]", "flet"),
        ("zone =", "zones =", "zones"),
        ('zone = "north"', "", "zone"),
        ('name = "a"\nzone', 'name = "x"\nzone', "x is not among them"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "is listed twice"),
        ("127.0.0.1:7002", "127.0.0.1:70020", "port"),
        ('zone = "north"', 'zone = "north"\nspill = 0.5', "spill"),
        ('zone = "north"', 'zone = "north"\ninterval = "x"', "interval"),
        ('zone = "north"', 'zone = "north"\nelsewhere = 0.0', "elsewhere"),
        ('zone = "north"', 'zone = "north"\nregions = {w = ["a"], e = ["b", "a"]}', "is listed twice"),
        ('zone = "north"', 'zone = "north"\nalso_key_files = ["a", "b", "c"]', "also_key_files"),
        ('zone = "north"', 'zone = "north"\nbytes_a_second = 10', "bytes_a_second"),
    ],
)
def test_a_file_that_can_t_hold_is_named_with_its_place(
    old: str, new: str, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "router.toml"
    path.write_text(VALID_FILE)
    table = read_operators(path).fleet
    assert table is not None and table.spill == 3.0
    path.write_text(VALID_FILE.replace(old, new))
    with pytest.raises(ConfigError, match=message) as error:
        read_operators(path)
    assert "router.toml" in str(error.value)


def config(peers_allowed: bool, **more: Any) -> Config:
    settings = {"classes": [{"name": "read"}], "zone": "north", "me": 1, "limits": {"peers": peers_allowed}}
    known = {"index": 1, "snapshot": True, "endpoints": []}
    plain = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "known": known}
    return read_config(json.dumps(plain | {"settings": settings} | more).encode())


def test_routers_talk_only_where_the_settings_allow_it_or_the_file_names_them(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_bytes(b"a common key of routers")
    path = tmp_path / "router.toml"
    path.write_text(f'[fleet]\nkey_file = "{key}"\n')
    table = read_operators(path).fleet
    assert table is not None
    addresses = {"peer_listen": "127.0.0.1:7", "peers": ["127.0.0.1:6", "127.0.0.1:7"]}

    def make(conf: Config) -> GossipSocket | None:
        assert table is not None
        return make_gossip_socket(table, conf, lambda: 0.0, lambda event: None)

    assert make(config(False, **addresses)) is None and make(config(True)) is None
    end = make(config(True, **addresses))
    assert end is not None
    assert (end.agent.settings.name, end.agent.settings.zone, end.bind) == ("1", "north", ("127.0.0.1", 7))
    path.write_text(VALID_FILE.replace("KEY", str(key)))
    table = read_operators(path).fleet
    end = make(config(False))
    assert end is not None and end.bind == ("127.0.0.1", 7001) and set(end.peers) == {"a", "b"}
    key.write_bytes(b"short")
    with pytest.raises(ConfigError, match="fleet"):
        make(config(False))
    with pytest.raises(ConfigError, match=r"peers\[0\]"):
        config(True, peer_listen="127.0.0.1:7", peers=["here"])


OPTIONAL_PACKAGES = ("peers", "zones", "operators", "address", "duties", "election", "checked")


@pytest.mark.processes
def test_without_the_file_nothing_of_it_is_loaded() -> None:
    code = "import sys, myrtlecourse.program; print([m for m in sys.modules if m.startswith('myrtlecourse')])"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "policy.router" in loaded
    assert not any(f"myrtlecourse.{part}" in loaded for part in OPTIONAL_PACKAGES)
