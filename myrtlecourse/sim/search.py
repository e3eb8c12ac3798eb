"""A guided random search for a schedule of faults that breaks a rule, and the shrinking of what it finds.

Schedules are mutated, and those that came closest to a limit are mutated further: margins guide the search
as coverage guides a fuzzer. A counterexample is reduced for as long as it still breaks the same rule, to
fewer faults, a shorter time and less load (delta debugging, Zeller, one part at a time).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from msgspec.structs import replace

from myrtlecourse.fleet import scenario as schema
from myrtlecourse.fleet.scenario import Fault, Scenario
from myrtlecourse.load.profile import Profile
from myrtlecourse.policy import Router
from myrtlecourse.sim.counterexamples import Counterexample
from myrtlecourse.sim.fleet_simulation import FleetSimulation

POOL_SIZE = 12  # number of schedules closest to a limit that are kept, and from which variants are made
FRESH_SHARE = 0.25  # share of the trials that use a new schedule instead of a variant
MAX_FAULTS = 12
MAX_SHRINK_TRIALS = 60  # trials per counterexample


@dataclass(frozen=True)
class Trial:
    """A schedule that was run, and how close it came to each limit; 1 is a breach."""

    scenario: Scenario
    profile: Profile
    margins: dict[str, float]
    breaches: dict[str, int]

    @property
    def highest_margin(self) -> float:
        """The highest of its margins."""
        highest: float = max(self.margins.values(), default=0.0)
        return highest


def run_trial(scenario: Scenario, profile: Profile, router_class: type[Router]) -> Trial:
    """Run a schedule until a rule is broken or it ends."""
    simulation = FleetSimulation(scenario, profile, router_class=router_class)
    result = simulation.run(until_violation=True)
    broken = {kind: count for kind, count in result.verdict["breaches"].items() if count}
    return Trial(scenario, profile, simulation.margins(), broken)


class Mutator:
    """Makes new schedules of faults, and variants of earlier ones."""

    def __init__(self, base: Scenario, rng: random.Random) -> None:
        self.base = base
        self.rng = rng
        self.servers = list(base.cache_servers())

    def _draw_time(self) -> float:
        return round(self.rng.uniform(0.0, self.base.seconds * 0.8), 3)

    def _draw_duration(self) -> float:
        share: float = 0.5 ** self.rng.uniform(1.0, 7.0)
        return round(self.base.seconds * share, 3)

    def draw_fault(self, earlier_faults: tuple[Fault, ...] = ()) -> Fault:
        """Draw a fault of any kind, often just after another one and at the same server.

        Rules tend to break where two faults meet: a server that is frozen and then crashes, or a return that
        routers do not learn of.
        """
        at, seconds, server = self._draw_time(), self._draw_duration(), self.rng.choice(self.servers)
        if earlier_faults and self.rng.random() < 0.5:
            earlier = self.rng.choice(earlier_faults)
            at = round(min(self.base.seconds, earlier.at + self.rng.uniform(0.0, 2.0)), 3)
            other_server = getattr(earlier, "box", None)
            server = other_server if other_server in self.servers else server
        share = round(self.rng.uniform(0.1, 1.0), 2)
        # writes run at the origin, so faults there are drawn as often as at all servers together
        slow_target = "origin" if self.base.origin is not None and self.rng.random() < 0.5 else server
        fault_makers: list[Callable[[], Fault]] = [
            lambda: schema.Freeze(at=at, box=server, seconds=seconds),
            lambda: schema.Crash(at=at, box=server, seconds=seconds),
            lambda: schema.Replace(
                at=at,
                share=share,
                at_once=self.rng.randint(1, len(self.servers)),
                drain=seconds,
                seconds=self._draw_duration(),
            ),
            lambda: schema.Reset(at=at, box=server),
            lambda: schema.Refuse(at=at, box=server, seconds=seconds),
            lambda: schema.Silence(at=at, box=slow_target, seconds=seconds),
            lambda: schema.Spoilt(at=at, box=server, seconds=seconds, share=share),
            lambda: schema.Slow(at=at, box=slow_target, seconds=seconds, factor=share / 5),
            lambda: schema.IdleDrop(at=at, box=server),
            lambda: schema.DiscoveryAway(at=at, seconds=seconds),
            lambda: schema.HotKey(at=at, seconds=seconds, share=share),
            lambda: schema.Restart(at=at, router=self.rng.randrange(self.base.routers), kill=True),
        ]
        return self.rng.choice(fault_makers)()

    def new_schedule(self) -> Scenario:
        """Return a new schedule of a few faults."""
        faults: tuple[Fault, ...] = ()
        for _ in range(self.rng.randint(1, MAX_FAULTS // 2)):
            faults += (self.draw_fault(faults),)
        return replace(self.base, faults=faults, seed=self.rng.getrandbits(31))

    def mutate(self, scenario: Scenario) -> Scenario:
        """Return a variant of a schedule, with one change."""
        faults = list(scenario.faults)
        match self.rng.randrange(4):
            case 0 if len(faults) < MAX_FAULTS:
                faults.append(self.draw_fault(scenario.faults))
            case 1 if len(faults) > 1:
                faults.pop(self.rng.randrange(len(faults)))
            case 2 if faults:
                index = self.rng.randrange(len(faults))
                moved = max(0.0, round(faults[index].at + self.rng.gauss(0, 0.5), 3))
                faults[index] = replace(faults[index], at=min(moved, self.base.seconds))
            case _:
                return replace(scenario, seed=self.rng.getrandbits(31))
        return replace(scenario, faults=tuple(faults))


@dataclass
class Search:
    """A search over schedules of faults for one scenario's fleet under one load."""

    base: Scenario
    profile: Profile
    seed: int = 1
    router_class: type[Router] = Router
    trial_count: int = 0
    pool: list[Trial] = field(default_factory=list)

    def trials(self) -> Iterator[Trial]:
        """Yield trials without end; the same seed gives the same ones."""
        rng = random.Random(f"{self.seed} search")
        mutator = Mutator(self.base, rng)
        while True:
            is_new = not self.pool or rng.random() < FRESH_SHARE
            scenario = mutator.new_schedule() if is_new else mutator.mutate(rng.choice(self.pool).scenario)
            trial = run_trial(scenario, replace(self.profile, seed=scenario.seed), self.router_class)
            self.trial_count += 1
            self._update_pool(trial)
            yield trial

    def _update_pool(self, trial: Trial) -> None:
        """Keep the trial that is closest by each margin, then those with the highest margins."""
        pool = [*self.pool, trial]
        kinds = sorted({kind for t in pool for kind in t.margins})
        leaders = [max(pool, key=lambda t, k=kind: t.margins.get(k, 0.0)) for kind in kinds]  # type: ignore[misc]
        others = sorted(pool, key=lambda t: -t.highest_margin)
        self.pool = list({id(t): t for t in [*leaders, *others]}.values())[:POOL_SIZE]


def shrink(trial: Trial, router_class: type[Router]) -> Counterexample:
    """Reduce a trial to a counterexample that breaks one of the same rules."""
    kinds = set(trial.breaches)
    trials_left = MAX_SHRINK_TRIALS

    def reproduce(scenario: Scenario, profile: Profile) -> Trial | None:
        nonlocal trials_left
        trials_left -= 1
        found = run_trial(scenario, profile, router_class)
        return found if kinds & set(found.breaches) else None

    progress = True
    while progress and trials_left > 0:
        progress = False
        for scenario, profile in _smaller_variants(trial):
            if trials_left <= 0:
                break
            if (found := reproduce(scenario, profile)) is not None:
                trial, progress = found, True
                break
    return Counterexample(trial.scenario, trial.profile, trial.breaches)


def _smaller_variants(trial: Trial) -> Iterator[tuple[Scenario, Profile]]:
    """Yield the variants that are one step smaller."""
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
    if scenario.routers > 1 and not any(isinstance(f, schema.Restart) for f in faults):
        yield replace(scenario, routers=1), profile
