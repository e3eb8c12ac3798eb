"""Tree nodes, alone and as a small fleet in virtual time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.applied_ranges import AppliedRanges, Range
from myrtlecourse.spread.children import Child, Children
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.parent import Parent
from myrtlecourse.spread.send_window import SendWindow
from tests.spread_world import CONTROLS, SETTINGS, SITES, Broken, NetworkFaults, Simulation, tiers


def test_without_faults_all_is_applied_everywhere_and_known_to_be() -> None:
    simulation = Simulation(1)
    simulation.elect("c1")
    simulation.run(5.0)
    simulation.run(5.0, write=5)
    written = simulation.time
    simulation.run(2.0)
    simulation.check_all_same()
    simulation.check_bytes()
    assert simulation.watermarks[-1][0] <= written + 1.7
    assert not any(p.purged for p in simulation.processes.values())


def run_with_faults(seed: int) -> Simulation:
    """Run a fleet with random faults, then without faults for long enough to recover."""
    chance = random.Random(seed)
    faults = NetworkFaults(
        loss=chance.choice([0.0, 0.01, 0.05, 0.2]),
        duplicates=chance.choice([0.0, 0.05]),
        delay=chance.choice([0.01, 0.05, 0.15]),
        slow=chance.choice([0.0, 0.01, 0.1]),
    )
    simulation = Simulation(seed, faults=faults)
    simulation.elect(chance.choice(CONTROLS))
    simulation.run(2.0)

    def start(name: str) -> None:
        if name not in simulation.processes:
            simulation.start(name)

    for _ in range(chance.randrange(1, 6)):
        fault = chance.randrange(4)
        if fault == 0:
            name = chance.choice([m for m in simulation.members if m != simulation.root])
            simulation.stop(name)
            simulation.schedule(chance.choice([0.01, 0.5, 3.0]), partial(start, name))
        elif fault == 1:
            simulation.partition = set(chance.sample(simulation.members, chance.randrange(1, 8)))
            simulation.schedule(chance.choice([0.5, 3.0]), simulation.partition.clear)
        elif fault == 2:
            simulation.elect(chance.choice([c for c in CONTROLS if c in simulation.processes]))
        simulation.run(chance.choice([0.3, 1.0, 3.0]), write=chance.choice([0, 1, 5]))
    simulation.faults = NetworkFaults()
    simulation.run(4.0)
    simulation.partition = set()
    simulation.run(25.0)
    simulation.write(3)
    simulation.run(3.0)
    simulation.check_all_same()
    simulation.check_bytes()
    return simulation


@pytest.mark.parametrize("seed", range(8))
def test_random_troubles_break_no_property_and_all_are_the_same_after(seed: int) -> None:
    run_with_faults(seed)


def run_with_delays(seed: int) -> None:
    """Delay datagrams to one site more and more, then cut it off."""
    distant = frozenset(SITES[1].routers + SITES[1].parts)
    simulation = Simulation(seed)
    simulation.elect("c1")
    for extra_delay in (0.0, 0.25, 0.5, 0.75, 1.0):
        simulation.faults = NetworkFaults(distant=distant, extra_delay=extra_delay)
        simulation.run(3.0, write=1)
    simulation.partition = set(distant)
    simulation.run(4.0, write=1)
    simulation.partition = set()
    simulation.faults = NetworkFaults()
    simulation.run(15.0)
    simulation.write(3)
    simulation.run(3.0)
    simulation.check_all_same()
    simulation.check_bytes()


@pytest.mark.parametrize("seed", range(2))
def test_a_lease_is_over_in_time_however_long_answers_were_under_way(seed: int) -> None:
    run_with_delays(seed)


def test_beyond_the_tail_a_member_forgets_and_takes_the_table() -> None:
    simulation = Simulation(2, settings=replace(SETTINGS, tail=100))
    simulation.elect("c1")
    simulation.run(3.0, write=2)
    (away, *_) = tiers()[3]
    simulation.partition = {away}
    simulation.run(14.0, write=5)
    simulation.partition = set()
    simulation.run(10.0, write=2)
    simulation.run(5.0)
    simulation.check_all_same()
    simulation.check_bytes()
    assert {name for name, p in simulation.processes.items() if p.purged} == {away}
    assert simulation.processes[away].restored
    assert all(
        simulation.message_counts[word]
        for word in (
            msg.RetransmitRequest,
            msg.EntriesDropped,
            msg.TableDigest,
            msg.TableRows,
            msg.TableInSync,
        )
    )


def root_says_done_at_once(patch: pytest.MonkeyPatch) -> None:
    """A new root that does not wait for the previous root's leases to expire."""
    patch.setattr(Node, "_announce_watermark", lambda self: announce(self, at_once=True))


def announce(self: Node, at_once: bool) -> None:
    watermark, _ = self.children.advance_watermark(self.now, self.applied_until)
    if watermark > self.announced_watermark:
        self.announced_watermark = watermark
        self.actions.append(msg.Watermark(watermark, *self.children.member_counts(self.now)))


def done_ignores_the_children(patch: pytest.MonkeyPatch) -> None:
    """A node that reports its own progress for its whole subtree."""
    patch.setattr(Children, "lowest_acknowledged", lambda self, now, applied_until: (applied_until, 0))


def counts_nobody_after_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A node that grants leases but only counts children that hold back the watermark in order to get one."""
    grant = Children.grant

    def forgets(self: Children, now: float, child: Child, left: float, epoch: int) -> int:
        good_for = grant(self, now, child, left, epoch)
        child.counted_until = now
        return good_for

    patch.setattr(Children, "grant", forgets)


def counts_no_grant_of_a_process_before(patch: pytest.MonkeyPatch) -> None:
    """A node that forgets members whose lease derives from a grant to a child's previous process."""
    patch.setattr(Children, "_add_lease_floor", lambda self, now, done, until: None)


def admits_before_it_has_caught_up(patch: pytest.MonkeyPatch) -> None:
    """A node that grants a lease to a child which lacks entries up to the watermark."""

    def grant(self: Children, now: float, child: Child, left: float, epoch: int) -> int:
        if child.epoch < epoch or left <= 0:
            return 0
        good_for = int(left / self.clock_ratio * 1000)
        child.counted_until = max(child.counted_until, now + good_for / 1000 * self.clock_ratio)
        return good_for

    patch.setattr(Children, "grant", grant)


def lease_runs_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A node whose lease starts when the answer arrives instead of when the report was sent."""
    on_heartbeat = Parent.on_heartbeat

    def late(self: Parent, now: float, sender: str, heartbeat: msg.Heartbeat, granted_until: float) -> str:
        if heartbeat.echo in self.sent_reports:
            self.sent_reports[heartbeat.echo] = now
        return on_heartbeat(self, now, sender, heartbeat, granted_until)

    patch.setattr(Parent, "on_heartbeat", late)


def spends_what_it_likes(patch: pytest.MonkeyPatch) -> None:
    """A node with an unlimited send budget."""
    patch.setattr(SendWindow, "available", lambda self, now: math.inf)


def applies_copies(patch: pytest.MonkeyPatch) -> None:
    """A node that applies duplicates."""
    patch.setattr(AppliedRanges, "acceptable", lambda self, first, last: (first, last))


def fills_holes_in_any_order(patch: pytest.MonkeyPatch) -> None:
    """A node that applies entries within a gap out of order."""
    acceptable = AppliedRanges.acceptable

    def early(self: AppliedRanges, first: int, last: int) -> Range | None:
        if first > self.highest or self.range_end(first):
            return acceptable(self, first, last)
        return first, min(last, next(start for start, _ in self.ranges if start > first) - 1)

    patch.setattr(AppliedRanges, "acceptable", early)


AHEAD = "reported as applied everywhere"


@pytest.mark.parametrize(
    ("wrong", "breach", "seeds"),
    [
        (done_ignores_the_children, AHEAD, (0, 1)),
        (counts_nobody_after_the_answer, AHEAD, (0, 1)),
        (root_says_done_at_once, AHEAD, (2,)),
        (counts_no_grant_of_a_process_before, AHEAD, (3,)),
        (admits_before_it_has_caught_up, AHEAD, (0, 1, 5)),
        (spends_what_it_likes, "bytes in a second", (0,)),
        (applies_copies, "twice", (0, 2, 3)),
        (fills_holes_in_any_order, "out of order", (0, 1)),
    ],
)
def test_a_wrong_form_is_caught(
    wrong: Callable[[pytest.MonkeyPatch], None],
    breach: str,
    seeds: tuple[int, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wrong(monkeypatch)
    for seed in seeds:
        with pytest.raises(Broken, match=breach):
            run_with_faults(seed)


def test_a_lease_from_the_answer_on_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    lease_runs_from_the_answer(monkeypatch)
    for seed in range(2):
        with pytest.raises(Broken, match=AHEAD):
            run_with_delays(seed)
