"""Small fleets in virtual time with random faults, and faulty variants that the judge must detect."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest

from myrtlecourse.sim.spread import SpreadSimulation
from myrtlecourse.sim.spread_faults import end_faults, run_random_faults
from myrtlecourse.sim.spread_judge import Judge, RuleViolation
from myrtlecourse.sim.topology import lay_out_sites
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.messages import Purge
from myrtlecourse.spread.tree import Tree
from tests.wrong_spread import FAULTY_NODES, FAULTY_REPLICAS

SITES = lay_out_sites(regions=3, sites=5, routers=25, parts=10)
FIGURES: dict[str, Any] = {"tail": 200, "control_tail": 400}
SECONDS = 8.0  # with faults
LOAD = 20.0  # purges per second
# The seed to try first. Which faults a seed produces changes with each change of the code under test.
WRONG = {
    "counts_no_child": 1,
    "grants_the_late": 1,
    "forgets_the_silent": 3,
    "lease_from_the_answer": 4,
    "vouches_for_ever": 4,
    "grants_more_than_it_has": 1,
    "speaks_at_once": 2,
    "applies_again": 1,
    "settles_alone": 8,
    "forgets_its_disk": 2,
}


def running_simulation(seed: int, **more: Any) -> SpreadSimulation:
    """Return a running fleet of 38 members."""
    simulation = SpreadSimulation(SITES, 3, seed, 1_000, **(FIGURES | more))
    simulation.start(1.0)
    simulation.run(1.0)
    assert simulation.run_until_consistent(20.0) is not None
    return simulation


def run_with_faults(simulation: SpreadSimulation, seconds: float = SECONDS) -> list[str]:
    """Inject faults under load, then check that all members recover and agree."""
    simulation.schedule_load(LOAD, 1.0, seconds)
    faults = run_random_faults(simulation, seconds)
    end_faults(simulation)
    assert simulation.run_until_consistent(60.0) is not None, faults
    simulation.check_consistency()
    simulation.run(3.0)
    assert simulation.judge.watermark == len(simulation.judge.log) - 1, faults
    return faults


@pytest.mark.parametrize("seed", (1, 2, 5, 6, 13, 14))
def test_rules_hold_under_troubles(seed: int) -> None:
    run_with_faults(running_simulation(seed))


def test_all_agree_on_the_tree_whatever_their_names() -> None:
    sites = lay_out_sites(regions=3, sites=12, routers=300, parts=120)
    simulation = SpreadSimulation(sites, 3, 1, 10)
    of_all = Tree(simulation.settings(simulation.control[0], simulation.member_list[0].place))
    for member in simulation.member_list:
        own = Tree(simulation.settings(member.name, member.place))
        assert own.tier(member.name) == of_all.tier(member.name), member.name
        assert all(of_all.may_be_parent(parent, member.name) for parent in own.candidates(member.name)), (
            member.name
        )


def test_same_seed_plays_the_same() -> None:
    first, second = running_simulation(1), running_simulation(1)
    assert run_with_faults(first, 4.0) == run_with_faults(second, 4.0)
    assert first.core.events_run == second.core.events_run and first.bytes == second.bytes
    np.testing.assert_array_equal(first.judge.applied_at, second.judge.applied_at)


def test_each_member_keeps_a_narrow_budget() -> None:
    simulation = running_simulation(3, budget=7_000.0, control_budget=36_000.0)
    simulation.network.loss = 0.05
    before = len(simulation.second_totals)
    simulation.schedule_load(100.0, 1.0, 5.0)
    simulation.run(5.0)
    most = np.diff([second[0] for second in simulation.second_totals[before:]], axis=0).max(axis=0)
    assert most[: len(simulation.control)].max() <= 36_000
    assert most[len(simulation.control) :].max() <= 7_000
    assert simulation.run_until_consistent(10.0) is not None
    simulation.check_consistency()


@pytest.mark.parametrize("name", WRONG)
def test_wrong_forms_are_caught(name: str) -> None:
    variant: dict[str, Any] = (
        {"make_node": FAULTY_NODES[name]} if name in FAULTY_NODES else {"make_replica": FAULTY_REPLICAS[name]}
    )
    for seed in (WRONG[name], *range(1, 9)):
        try:
            run_with_faults(running_simulation(seed, **variant))
        except RuleViolation:
            return
    pytest.fail("no violation with nine seeds")


# The judge itself

KEYS = [Purge(bytes([i]) * msg.KEY_BYTES) for i in range(9)]


def judge() -> Judge:
    """Return a judge of two members with five committed entries."""
    result = Judge(2, 8)
    result.on_committed(1, tuple(KEYS[:5]))
    return result


def test_judge_sees_an_entry_applied_twice() -> None:
    tested = judge()
    tested.on_applied(0, 1, tuple(KEYS[:3]), 1.0)
    with pytest.raises(RuleViolation, match="twice"):
        tested.on_applied(0, 3, tuple(KEYS[2:4]), 1.1)


def test_judge_sees_another_entry_under_a_number() -> None:
    tested = judge()
    with pytest.raises(RuleViolation, match="two_entries"):
        tested.on_committed(5, (KEYS[6],))
    with pytest.raises(RuleViolation, match="other_entries"):
        tested.on_applied(1, 2, (KEYS[2],), 1.0)
    with pytest.raises(RuleViolation, match="gap"):
        tested.on_committed(7, (KEYS[7],))
    with pytest.raises(RuleViolation, match="other_entries"):
        tested.on_applied(1, 5, (KEYS[4], KEYS[5]), 1.0)  # the sixth is not committed yet


def test_judge_sees_what_was_acknowledged_and_is_not_kept() -> None:
    tested = judge()
    with pytest.raises(RuleViolation, match="not_lasting"):
        tested.on_acknowledged(2, KEYS[7], 0.0, 1.0)
    tested.on_acknowledged(6, KEYS[5], 0.0, 1.0)
    with pytest.raises(RuleViolation, match="not_lasting"):
        tested.on_committed(6, (KEYS[6],))


def test_judge_counts_up_to_the_first_gap() -> None:
    tested = judge()
    tested.on_applied(0, 1, tuple(KEYS[:2]), 1.0)
    tested.on_applied(0, 4, (KEYS[3],), 1.0)
    assert tested.applied_until[0] == 2
    assert tested.on_watermark(2, 1.0) == [1]
    assert tested.on_watermark(3, 1.0) == [0, 1]
    tested.on_assumed_purged(1, 1, 5)
    tested.on_applied(0, 3, (KEYS[2],), 1.1)
    assert list(tested.applied_until) == [4, 5]
    tested.on_start(1)
    assert tested.applied_until[1] == 0
    with pytest.raises(RuleViolation, match="done_ahead"):
        tested.on_watermark(6, 2.0)
