"""A guided random search for a schedule of faults that breaks a rule, and its shrinking.

Schedules are mutated; those that came closest to a limit are mutated further (a search by novelty of the
margins, as fuzzers do with coverage). What is found is made smaller as long as it still breaks the same rule:
fewer faults, less time, less load (Zeller's delta debugging, one part at a time).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from msgspec.structs import replace

from myrtlecourse.fleet import scenario as told
from myrtlecourse.fleet.scenario import Fault, Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.policy import Router
from myrtlecourse.sim.counterexamples import Counterexample
from myrtlecourse.sim.fleet_simulation import FleetSimulation

KEPT = 12  # schedules that came closest, from which new ones are made
FRESH = 0.25  # of the trials that begin anew
MOST_FAULTS = 12
SHRINKS = 60  # trials at most, to make a find smaller


@dataclass(frozen=True)
class Trial:
    """One schedule and how close it came: 1 is a breach."""

    scenario: Scenario
    profile: Profile
    margins: dict[str, float]
    breaches: dict[str, int]

    @property
    def highest_margin(self) -> float:
        """The highest of its margins."""
        found: float = max(self.margins.values(), default=0.0)
        return found


def play(scenario: Scenario, profile: Profile, router_class: type[Router]) -> Trial:
    """Play a schedule until a rule is broken or it is over."""
    world = FleetSimulation(scenario, profile, router_class=router_class)
    result = world.run(until_violation=True)
    broken = {kind: count for kind, count in result.verdict["breaches"].items() if count}
    return Trial(scenario, profile, world.margins(), broken)


class Mutator:
    """Makes new schedules from old ones."""

    def __init__(self, base: Scenario, chance: random.Random) -> None:
        self.base = base
        self.chance = chance
        self.boxes = list(base.boxes())

    def _at(self) -> float:
        return round(self.chance.uniform(0.0, self.base.seconds * 0.8), 3)

    def _lasts(self) -> float:
        part: float = 0.5 ** self.chance.uniform(1.0, 7.0)
        return round(self.base.seconds * part, 3)

    def fault(self, others: tuple[Fault, ...] = ()) -> Fault:
        """A fault of any kind, anywhere and at any time; often just after another, and at the same box.

        Rules break where two things meet: a box that stands still and then dies, a return unheard of.
        """
        at, seconds, box = self._at(), self._lasts(), self.chance.choice(self.boxes)
        if others and self.chance.random() < 0.5:
            other = self.chance.choice(others)
            at = round(min(self.base.seconds, other.at + self.chance.uniform(0.0, 2.0)), 3)
            there = getattr(other, "box", None)
            box = there if there in self.boxes else box
        share = round(self.chance.uniform(0.1, 1.0), 2)
        # the origin is where writes run: what happens there is worth as much as all boxes together
        slowed = "origin" if self.base.origin is not None and self.chance.random() < 0.5 else box
        makers: list[Callable[[], Fault]] = [
            lambda: told.Freeze(at=at, box=box, seconds=seconds),
            lambda: told.Crash(at=at, box=box, seconds=seconds),
            lambda: told.Replace(
                at=at,
                share=share,
                at_once=self.chance.randint(1, len(self.boxes)),
                drain=seconds,
                seconds=self._lasts(),
            ),
            lambda: told.Reset(at=at, box=box),
            lambda: told.Refuse(at=at, box=box, seconds=seconds),
            lambda: told.Silence(at=at, box=slowed, seconds=seconds),
            lambda: told.Spoilt(at=at, box=box, seconds=seconds, share=share),
            lambda: told.Slow(at=at, box=slowed, seconds=seconds, factor=share / 5),
            lambda: told.IdleDrop(at=at, box=box),
            lambda: told.DiscoveryAway(at=at, seconds=seconds),
            lambda: told.HotKey(at=at, seconds=seconds, share=share),
            lambda: told.Restart(at=at, router=self.chance.randrange(self.base.routers), kill=True),
        ]
        return self.chance.choice(makers)()

    def fresh(self) -> Scenario:
        """A schedule of a few faults."""
        faults: tuple[Fault, ...] = ()
        for _ in range(self.chance.randint(1, MOST_FAULTS // 2)):
            faults += (self.fault(faults),)
        return replace(self.base, faults=faults, seed=self.chance.getrandbits(31))

    def near(self, scenario: Scenario) -> Scenario:
        """A schedule a little unlike another."""
        faults = list(scenario.faults)
        match self.chance.randrange(4):
            case 0 if len(faults) < MOST_FAULTS:
                faults.append(self.fault(scenario.faults))
            case 1 if len(faults) > 1:
                faults.pop(self.chance.randrange(len(faults)))
            case 2 if faults:
                place = self.chance.randrange(len(faults))
                moved = max(0.0, round(faults[place].at + self.chance.gauss(0, 0.5), 3))
                faults[place] = replace(faults[place], at=min(moved, self.base.seconds))
            case _:
                return replace(scenario, seed=self.chance.getrandbits(31))
        return replace(scenario, faults=tuple(faults))


@dataclass
class Search:
    """A search over schedules of one scenario's fleet under one load."""

    base: Scenario
    profile: Profile
    seed: int = 1
    router_class: type[Router] = Router
    trial_count: int = 0
    pool: list[Trial] = field(default_factory=list)

    def trials(self) -> Iterator[Trial]:
        """One trial after another, without end; the same seed gives the same ones."""
        chance = random.Random(f"{self.seed} search")
        mutator = Mutator(self.base, chance)
        while True:
            anew = not self.pool or chance.random() < FRESH
            scenario = mutator.fresh() if anew else mutator.near(chance.choice(self.pool).scenario)
            trial = play(scenario, replace(self.profile, seed=scenario.seed), self.router_class)
            self.trial_count += 1
            self._keep(trial)
            yield trial

    def _keep(self, trial: Trial) -> None:
        """Keep the closest by each margin first, then by the highest of all."""
        pool = [*self.pool, trial]
        kinds = sorted({kind for t in pool for kind in t.margins})
        leaders = [max(pool, key=lambda t, k=kind: t.margins.get(k, 0.0)) for kind in kinds]  # type: ignore[misc]
        others = sorted(pool, key=lambda t: -t.highest_margin)
        self.pool = list({id(t): t for t in [*leaders, *others]}.values())[:KEPT]


def shrink(trial: Trial, router_class: type[Router]) -> Counterexample:
    """The same breach with as little as can be."""
    kinds = set(trial.breaches)
    left = SHRINKS

    def still(scenario: Scenario, profile: Profile) -> Trial | None:
        nonlocal left
        left -= 1
        found = play(scenario, profile, router_class)
        return found if kinds & set(found.breaches) else None

    progress = True
    while progress and left > 0:
        progress = False
        for scenario, profile in _smaller(trial):
            if left <= 0:
                break
            if (found := still(scenario, profile)) is not None:
                trial, progress = found, True
                break
    return Counterexample(trial.scenario, trial.profile, trial.breaches)


def _smaller(trial: Trial) -> Iterator[tuple[Scenario, Profile]]:
    """What is a step smaller."""
    scenario, profile = trial.scenario, trial.profile
    faults = scenario.faults
    for i in range(len(faults)):
        yield replace(scenario, faults=faults[:i] + faults[i + 1 :]), profile
    if scenario.seconds > 2.0:
        yield replace(scenario, seconds=round(scenario.seconds / 2, 3)), profile
        yield replace(scenario, seconds=round(scenario.seconds * 0.85, 3)), profile
    if all(p.rate > 4.0 for p in profile.pieces):
        pieces = tuple(replace(p, rate=p.rate / 2, to=p.to and p.to / 2) for p in profile.pieces)
        yield scenario, replace(profile, pieces=pieces)
    if scenario.routers > 1 and not any(isinstance(f, told.Restart) for f in faults):
        yield replace(scenario, routers=1), profile
