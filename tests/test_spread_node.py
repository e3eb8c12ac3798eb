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
from tests.spread_world import CONTROLS, SETTINGS, SITES, Broken, Trouble, World, tiers


def test_without_faults_all_is_applied_everywhere_and_known_to_be() -> None:
    world = World(1)
    world.elect("c1")
    world.run(5.0)
    world.run(5.0, write=5)
    written = world.at
    world.run(2.0)
    world.check_all_same()
    world.check_bytes()
    assert world.done[-1][0] <= written + 1.7
    assert not any(p.forgotten for p in world.processes.values())


def play(seed: int) -> World:
    """Run a fleet with random faults, then without faults for long enough to recover."""
    chance = random.Random(seed)
    trouble = Trouble(
        loss=chance.choice([0.0, 0.01, 0.05, 0.2]),
        copies=chance.choice([0.0, 0.05]),
        delay=chance.choice([0.01, 0.05, 0.15]),
        slow=chance.choice([0.0, 0.01, 0.1]),
    )
    world = World(seed, trouble=trouble)
    world.elect(chance.choice(CONTROLS))
    world.run(2.0)

    def start(name: str) -> None:
        if name not in world.processes:
            world.start(name)

    for _ in range(chance.randrange(1, 6)):
        what = chance.randrange(4)
        if what == 0:
            name = chance.choice([m for m in world.members if m != world.root])
            world.stop(name)
            world.later(chance.choice([0.01, 0.5, 3.0]), partial(start, name))
        elif what == 1:
            world.cut = set(chance.sample(world.members, chance.randrange(1, 8)))
            world.later(chance.choice([0.5, 3.0]), world.cut.clear)
        elif what == 2:
            world.elect(chance.choice([c for c in CONTROLS if c in world.processes]))
        world.run(chance.choice([0.3, 1.0, 3.0]), write=chance.choice([0, 1, 5]))
    world.trouble = Trouble()
    world.run(4.0)
    world.cut = set()
    world.run(25.0)
    world.write(3)
    world.run(3.0)
    world.check_all_same()
    world.check_bytes()
    return world


@pytest.mark.parametrize("seed", range(8))
def test_random_troubles_break_no_property_and_all_are_the_same_after(seed: int) -> None:
    play(seed)


def play_far(seed: int) -> None:
    """Delay datagrams to one site more and more, then cut it off."""
    far = frozenset(SITES[1].routers + SITES[1].parts)
    world = World(seed)
    world.elect("c1")
    for more in (0.0, 0.25, 0.5, 0.75, 1.0):
        world.trouble = Trouble(far=far, more=more)
        world.run(3.0, write=1)
    world.cut = set(far)
    world.run(4.0, write=1)
    world.cut = set()
    world.trouble = Trouble()
    world.run(15.0)
    world.write(3)
    world.run(3.0)
    world.check_all_same()
    world.check_bytes()


@pytest.mark.parametrize("seed", range(2))
def test_a_lease_is_over_in_time_however_long_answers_were_under_way(seed: int) -> None:
    play_far(seed)


def test_beyond_the_tail_a_member_forgets_and_takes_the_table() -> None:
    world = World(2, settings=replace(SETTINGS, tail=100))
    world.elect("c1")
    world.run(3.0, write=2)
    (away, *_) = tiers()[3]
    world.cut = {away}
    world.run(14.0, write=5)
    world.cut = set()
    world.run(10.0, write=2)
    world.run(5.0)
    world.check_all_same()
    world.check_bytes()
    assert {name for name, p in world.processes.items() if p.forgotten} == {away}
    assert world.processes[away].restored
    assert all(
        world.words[word]
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
    patch.setattr(Node, "_announce_watermark", lambda self: tell(self, at_once=True))


def tell(self: Node, at_once: bool) -> None:
    done, _ = self.children.advance_watermark(self.now, self.applied_until)
    if done > self.announced_watermark:
        self.announced_watermark = done
        self.actions.append(msg.Watermark(done, *self.children.member_counts(self.now)))


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
    beat = Parent.on_heartbeat

    def late(self: Parent, now: float, sender: str, word: msg.Heartbeat, granted_until: float) -> str:
        if word.echo in self.sent_reports:
            self.sent_reports[word.echo] = now
        return beat(self, now, sender, word, granted_until)

    patch.setattr(Parent, "on_heartbeat", late)


def spends_what_it_likes(patch: pytest.MonkeyPatch) -> None:
    """A node with an unlimited send budget."""
    patch.setattr(SendWindow, "available", lambda self, now: math.inf)


def applies_copies(patch: pytest.MonkeyPatch) -> None:
    """A node that applies duplicates."""
    patch.setattr(AppliedRanges, "acceptable", lambda self, first, last: (first, last))


def fills_holes_in_any_order(patch: pytest.MonkeyPatch) -> None:
    """A node that applies entries within a gap out of order."""
    room = AppliedRanges.acceptable

    def early(self: AppliedRanges, first: int, last: int) -> Range | None:
        if first > self.highest or self.range_end(first):
            return room(self, first, last)
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
            play(seed)


def test_a_lease_from_the_answer_on_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    lease_runs_from_the_answer(monkeypatch)
    for seed in range(2):
        with pytest.raises(Broken, match=AHEAD):
            play_far(seed)
