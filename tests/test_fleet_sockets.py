"""The stand-in fleet on sockets, with a deliberately wrong router and with a correct one."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.load.generator import Generator
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.requests import plan_requests
from tests.loopback import run
from tests.wrong_router import WrongRouter

SCENARIO = {
    "kinds": [{"name": "b", "boxes": 2, "cores": 2, "connections": 200}],
    "discovery": {"notice": 0.0, "added": 0.0},
    "rules": {"drain_grace": 0.2, "fall_window": 0.3},
    "classes": [
        {"name": "read", "work": 0.002, "deadline": 0.5, "size": 300},
        {"name": "write", "work": 0.002, "deadline": 2, "effect": "single_shot"},
        {"name": "book", "work": 0.002, "deadline": 2, "effect": "guarded", "window": 0.2},
    ],
}
READS = {"name": "read", "deadline": 0.5}
WRITES = {"name": "write", "deadline": 2.0, "write": True}
BOOKS = {"name": "book", "deadline": 2.0, "write": True, "keyed": True}


async def audited(
    way: str, kind: dict[str, Any], faults: list[dict[str, Any]] | None = None, seconds: float = 0.4
) -> tuple[dict[str, int], Generator]:
    """Return the breaches by kind of a router that is wrong in one way, and the load generator."""
    told: list[seen.Observation] = []
    fleet = Fleet(msgspec.convert(SCENARIO | {"faults": faults or []}, Scenario), told.append)
    await fleet.listen()
    router = WrongRouter(fleet, way)
    address = await router.listen()
    profile = msgspec.convert({"pieces": [{"seconds": seconds, "rate": 20}], "classes": [kind]}, Profile)
    generator = Generator(profile, plan_requests(profile), [address], observe=told.append)
    told.append(seen.RouterUp(0.0, router.name))
    fleet.begin()
    await generator.run()
    await router.close()
    fleet.close()
    auditor = Auditor(fleet.scenario.rules)
    for each in sorted(told, key=lambda o: o.at):
        auditor.judge(each)
    assert auditor.seen["asked"] and auditor.seen["sent"] or way == "makes_values"
    return {k: n for k, n in auditor.verdict()["breaches"].items() if n}, generator


@pytest.mark.parametrize(
    ("way", "kind", "breaches"),
    [
        ("loses", READS, {"lost"}),
        ("answers_nothing", READS, {"lost"}),
        ("answers_late", READS, {"late"}),
        ("answers_twice", READS, {"answered_twice"}),
        ("makes_values", READS, {"foreign"}),
        ("sends_after_end", READS, {"sent_after_end", "told_too_long"}),
        ("sends_twice", WRITES, {"repeated", "ran_twice"}),
        ("sends_again_too_late", BOOKS, {"repeated", "ran_twice", "told_too_long"}),
        ("refuses_what_ran", WRITES, {"refused_after_send"}),
    ],
)
def test_a_wrong_router_is_caught(way: str, kind: dict[str, Any], breaches: set[str]) -> None:
    async def scenario() -> None:
        found, _ = await audited(way, kind)
        assert set(found) == breaches

    run(scenario)


def test_a_router_that_sends_to_a_drained_box_is_caught() -> None:
    async def scenario() -> None:
        drain = {"what": "replace", "at": 0.0, "box": "b-0", "drain": 60, "seconds": 1}
        found, _ = await audited("ignores_drains", READS, [drain], seconds=1.2)
        assert set(found) == {"sent_to_drained"}

    run(scenario)


def test_routers_that_push_a_cold_box_over_are_caught() -> None:
    async def scenario() -> None:
        crash = {"what": "crash", "at": 0.0, "box": "b-0", "seconds": 0.05}
        slow = {"name": "read", "work": 0.2, "deadline": 1.0}
        SCENARIO["classes"], before = [slow], SCENARIO["classes"]
        try:
            found, _ = await audited("pushes_cold_boxes", READS | {"deadline": 4.0}, [crash], seconds=0.6)
        finally:
            SCENARIO["classes"] = before
        assert set(found) == {"cold_pushed"}

    run(scenario)


@pytest.mark.parametrize("kind", [READS, WRITES, BOOKS])
def test_an_honest_router_is_not_accused(kind: dict[str, Any]) -> None:
    async def scenario() -> None:
        found, generator = await audited("honest", kind)
        counts = generator.record.all.counts
        assert not found and counts["served"] == counts["scheduled"] > 0

    run(scenario)
