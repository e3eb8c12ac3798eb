"""Operators' work on a stand-in fleet: upgrades and bans in a scenario, judged with the rest."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from myrtlecourse import interface as api
from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor, Rules
from myrtlecourse.fleet.faults import steps
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import run_with_load
from myrtlecourse.load.profile import Profile
from myrtlecourse.policy import Router
from myrtlecourse.sim.fleet_simulation import FleetSimulation
from tests.loopback import needs_sources

FAULTS = [
    {"what": "hand", "at": 1.0, "box": "std-1", "seconds": 4.0},
    {"what": "upgrade", "at": 2.0, "router": 0},
]
SCENARIO: dict[str, Any] = {
    "seconds": 8.0,
    "kinds": [{"name": "std", "boxes": 3, "cores": 4, "cold": 0.5, "warm_up": 1.0}],
    "classes": [{"name": "read", "work": 0.002, "aim": 0.5, "deadline": 1.0}],
    "faults": FAULTS,
}
PROFILE = {"pieces": [{"seconds": 7.0, "rate": 60}], "classes": [{"name": "read", "deadline": 1.0}]}


def scenario(**changes: Any) -> Scenario:
    return msgspec.convert(SCENARIO | changes, Scenario)


def test_a_hand_is_three_steps_and_an_upgrade_one() -> None:
    told = scenario()
    assert [(s.at, s.action, s.target) for s in steps(told)] == [
        (1.0, "offline", "std-1"),
        (2.0, "upgrade", "router-0"),
        (4.2, "bounce", "std-1"),
        (5.0, "online", "std-1"),
    ]
    assert told.has_operator_work() and not scenario(faults=[]).has_operator_work()


@pytest.mark.parametrize(
    ("fault", "said"),
    [
        ({"what": "hand", "at": 1.0, "box": "std-9"}, "no box is named"),
        ({"what": "upgrade", "at": 1.0, "router": 1}, "1 routers"),
        ({"what": "upgrade", "at": 1.0}, "router"),
    ],
)
def test_impossible_work_is_named(fault: dict[str, Any], said: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=said):
        scenario(faults=[fault])


def sent(at: float, box: str) -> seen.AttemptReceived:
    return seen.AttemptReceived(at, f"r{at}", box, "n", at, "free")


@pytest.mark.parametrize(("at", "breaches"), [(9.0, 0), (11.9, 0), (12.2, 1), (14.0, 1), (20.1, 0)])
def test_the_auditor_holds_a_router_to_its_yes(at: float, breaches: int) -> None:
    """Bans apply whatever the list says, after the grace period, until a call lifts them."""
    auditor = Auditor(Rules())
    told: list[seen.Observation] = [
        seen.RouterUp(1.0, "n"),
        seen.BanAcknowledged(10.0, "n", "a"),
        seen.ListEntrySent(11.0, "n", "a", "in_service", 11.0),
        seen.BanAcknowledged(11.5, "n", "a"),  # calls that ban may be repeated; the first one counts
        seen.BanAcknowledged(20.0, "n", "a", back=True),
        sent(at, "a"),
        sent(at + 0.1, "b"),
    ]
    for each in sorted(told, key=lambda o: o.at):
        auditor.judge(each)
    assert auditor.verdict()["breaches"]["sent_to_banned"] == breaches


def test_the_simulator_plays_operators_work_and_keeps_the_rules() -> None:
    world = FleetSimulation(scenario(), msgspec.convert(PROFILE, Profile))
    world.run()
    verdict = world.auditor.verdict()
    assert verdict["kept"] and verdict["seen"]["banned"] == 2
    assert world.auditor.started["std-1"] > 0  # it was restarted


class Deaf(Router):
    """A deliberately broken policy: ignores bans."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [] if isinstance(event, api.ServerBanned) else super().handle(now, event)


@needs_sources
def test_the_simulator_catches_a_module_that_is_deaf_to_bans() -> None:
    world = FleetSimulation(scenario(), msgspec.convert(PROFILE, Profile), router_class=Deaf)
    world.run()
    assert world.auditor.verdict()["breaches"]["sent_to_banned"] > 0


@pytest.mark.processes
def test_real_routers_are_upgraded_under_load_with_a_box_taken_out(tmp_path: Path) -> None:
    outcome = run_with_load(
        scenario(), msgspec.convert(PROFILE, Profile), tmp_path, COMMAND, 1, lambda at, counts: None
    )
    assert outcome.verdict["kept"], outcome.verdict["named"]
    assert not outcome.faults
    counts = outcome.record.all.counts
    assert counts["served"] >= 0.95 * counts["scheduled"] > 0
    assert outcome.service is not None
    assert len(outcome.service["yes_s"]) == 1 and outcome.service["unanswered"] == 0
    assert outcome.verdict["seen"]["banned"] == 2
