"""The dissemination tree, which all members compute on their own."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlecourse.spread.messages import Settings, Site
from myrtlecourse.spread.tree import CONTROL, LEAF, REGION_RELAY, SITE_RELAY, Tree, child_cost

CONTROLS = tuple(f"control-{i:02}" for i in range(20))


def fleet(regions: int, sites: int, routers: int, parts: int) -> tuple[Site, ...]:
    return tuple(
        Site(
            f"s{r}-{s}",
            f"r{r}",
            tuple(f"router-{r}-{s}-{i}" for i in range(routers)),
            tuple(f"part-{r}-{s}-{i}" for i in range(parts)),
        )
        for r in range(regions)
        for s in range(sites)
    )


@st.composite
def small_fleets(draw: st.DrawFn) -> tuple[Site, ...]:
    sizes = st.tuples(st.integers(1, 9), st.integers(0, 5))
    regions = draw(st.lists(st.lists(sizes, min_size=1, max_size=4), min_size=1, max_size=3))
    return tuple(
        Site(
            f"s{r}-{s}",
            f"r{r}",
            tuple(f"router-{r}-{s}-{i}" for i in range(size[0])),
            tuple(f"part-{r}-{s}-{i}" for i in range(size[1])),
        )
        for r, inside in enumerate(regions)
        for s, size in enumerate(inside)
    )


def members(sites: tuple[Site, ...]) -> list[str]:
    return [m for s in sites for m in (*s.routers, *s.parts)]


@settings(max_examples=60)
@given(small_fleets())
def test_all_agree_and_each_has_parents_one_tier_up(sites: tuple[Site, ...]) -> None:
    whole = Tree(Settings(CONTROLS[0], CONTROLS, sites))
    parts = {p for s in sites for p in s.parts}
    for name in members(sites):
        region = next(s.region for s in sites if name in (*s.routers, *s.parts))
        tree = Tree(Settings(name, CONTROLS, tuple(s for s in sites if s.region == region)))
        assert tree.tier(name) == whole.tier(name)
        candidates = tree.candidates(name)
        assert candidates == whole.candidates(name) and candidates
        for parent in candidates:
            assert whole.tier(parent) == whole.tier(name) - 1
            assert whole.may_be_parent(parent, name) and not whole.may_be_parent(name, parent)
            assert parent not in parts and whole.may_have_children(parent)
        assert whole.may_have_children(name) == (tree.max_children(name) > 0)
        assert not any(
            whole.may_be_parent(other, name) for other in members(sites) if other not in candidates
        )


def test_the_fleet_has_half_of_what_each_could_bear() -> None:
    """The target fleet: 16,000 routers and 6,700 cache servers' parts at 650 sites in 43 regions."""
    sites = fleet(43, 15, 25, 10)
    tree = Tree(Settings(CONTROLS[0], CONTROLS, sites))
    tiers = Counter(tree.tier(name) for name in members(sites))
    bound = tree.max_children(next(n for n in members(sites) if tree.tier(n) == REGION_RELAY))
    assert tiers[SITE_RELAY] / tiers[REGION_RELAY] <= bound / 2
    assert tiers[LEAF] / tiers[SITE_RELAY] <= bound / 2
    assert tiers[REGION_RELAY] / len(CONTROLS) <= tree.max_children(CONTROLS[1]) / 2
    first = Counter(tree.candidates(n)[0] for n in members(sites) if tree.tier(n) == REGION_RELAY)
    assert len(first) == len(CONTROLS) and max(first.values()) <= tree.max_children(CONTROLS[1])
    # The maximum number of children is within the budget.
    assert bound * child_cost(tree.settings, len(CONTROLS[0])) <= tree.settings.budget


def test_one_that_goes_moves_few() -> None:
    """A change of the fleet must not rearrange the whole tree."""
    sites = fleet(1, 8, 20, 4)
    gone = sites[0].routers[3]
    fewer = (replace(sites[0], routers=tuple(r for r in sites[0].routers if r != gone)), *sites[1:])
    before, after = (Tree(Settings(CONTROLS[0], CONTROLS, s)) for s in (sites, fewer))
    assert sum(before.tier(n) != after.tier(n) for n in members(fewer)) <= 3


def test_a_site_of_relays_alone_has_its_parts_below_them() -> None:
    sites = (Site("s", "r", ("a",), ("p", "q")),)
    tree = Tree(Settings("p", CONTROLS, sites))
    assert [tree.tier(n) for n in ("a", "p", "q")] == [REGION_RELAY, SITE_RELAY, SITE_RELAY]
    assert tree.candidates("p") == ("a",)
    assert tree.max_children("p") == 0 and not tree.may_be_parent("p", "q")


def test_control_machines_are_below_the_root_and_name_no_candidates() -> None:
    tree = Tree(Settings(CONTROLS[3], CONTROLS, fleet(1, 1, 3, 0)))
    assert tree.tier(CONTROLS[3]) == CONTROL
    assert tree.candidates(CONTROLS[3]) == ()
    assert tree.may_be_parent(CONTROLS[0], CONTROLS[3]) and not tree.may_be_parent(CONTROLS[3], CONTROLS[3])
    with pytest.raises(KeyError):
        tree.tier("nobody")
    assert not tree.may_be_parent(CONTROLS[0], "nobody")


def test_what_a_child_costs_is_counted_in_bytes() -> None:
    """Computed by hand: ten datagrams of 16 + 36 + 20 + 20, 100 keys of 8, five answers of 26."""
    assert child_cost(Settings("c", ("c",), ()), 20) == pytest.approx(920 + 800 + 130)
    # more entries than fit one datagram per pause
    crowded = Settings("c", ("c",), (), rate=1_000.0)
    assert child_cost(crowded, 20) == pytest.approx(1_000 * 8 / 138 * 92 + 8_000 + 130)
