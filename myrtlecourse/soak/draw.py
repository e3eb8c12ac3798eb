"""One random day of a fleet, drawn by its seed: servers, load, and what goes wrong; no I/O.

Troubles come together: a router is told to end while servers hang, lists change while a crowd comes. A day is
within what the protocol allows, so that any breach of a rule is the routers'.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.fleet import scenario as fleet
from myrtlecourse.load import profile as load

LATE = 0.5  # seconds after its deadline at which a request is lost
QUIET = 1.5  # seconds before the first trouble, and after the last one has ended
MOST_TROUBLES = 8
LISTED = (4, 12, 40, 120)  # cache servers


@dataclass(frozen=True)
class SystemFaults:
    """System calls of routers that fail, and steps of their wall clocks."""

    per_million: int = 0  # of calls on sockets
    steps: tuple[tuple[float, float], ...] = ()  # seconds after a process's start, and by how many


@dataclass(frozen=True)
class Day:
    """All that a seed gives."""

    seed: int
    scenario: fleet.Scenario
    profile: load.Profile
    system: SystemFaults

    def tells(self) -> str:
        """What is played, in a few words."""
        scenario = self.scenario
        troubles = ", ".join(str(f.__struct_config__.tag) for f in scenario.faults)
        steps = f", clock {'/'.join(f'{s:+g}' for _, s in self.system.steps)}" if self.system.steps else ""
        size = f"{scenario.routers} routers, {len(scenario.boxes())} servers"
        return f"{size}: {troubles}; {self.system.per_million}/million calls fail{steps}"


class Drawer:
    """Draws one day."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.seed = seed
        self.seconds = seconds
        self.chance = random.Random(f"{seed} soak")

    def day(self) -> Day:
        """The whole of it."""
        chance = self.chance
        self.routers = chance.randint(2, 4)
        self.zones = tuple("abc"[: chance.randint(1, 3)])
        self.boxes = chance.choice(LISTED)
        self.deadline = chance.choice([0.4, 0.8, 1.5, 2.5])
        self.window = chance.choice([1.5, 4.0, 15.0])
        self.drain = chance.uniform(2.6, 4.0)
        faults = sorted(self._troubles(), key=lambda f: f.at)
        scenario = fleet.Scenario(
            seconds=self.seconds,
            seed=self.seed,
            routers=self.routers,
            zones=self.zones,
            delay=chance.choice([0.0, 0.003]),
            kinds=(self._kind(),),
            origin=chance.choice([None, fleet.Origin(slots=16, time=0.03)]),
            discovery=self._discovery(),
            classes=self._classes(),
            rules=Rules(answer_slack=LATE),
            faults=tuple(faults),
        )
        return Day(self.seed, scenario, self._profile(), self._system())

    def _kind(self) -> fleet.Kind:
        chance = self.chance
        return fleet.Kind(
            "std",
            boxes=self.boxes,
            cores=2,
            cold=chance.uniform(0.3, 0.6),
            warm_up=chance.uniform(2.0, 6.0),
            idle=chance.choice([1.0, 5.0]),
            errors=chance.choice([0.0, 0.01]),
        )

    def _discovery(self) -> fleet.Discovery:
        chance = self.chance
        return fleet.Discovery(
            notice=chance.uniform(0.5, 2.0),
            silent_notice=chance.uniform(3.0, 6.0),
            added=chance.uniform(0.2, 1.0),
            lines_a_second=20.0 * self.boxes * self.routers,
        )

    def _classes(self) -> tuple[fleet.RequestClass, ...]:
        chance, deadline = self.chance, self.deadline
        read = fleet.RequestClass("read", work=0.004, aim=deadline / 2, deadline=deadline)
        book = fleet.RequestClass(
            "book",
            work=0.004,
            aim=deadline / 2,
            deadline=deadline,
            effect="guarded",
            group=chance.choice(["all", "zone", "cell"]),
            window=self.window,
            worth=3.0,
        )
        once = fleet.RequestClass(
            "once", aim=deadline / 2, deadline=deadline, effect="single_shot", worth=3.0
        )
        return read, book, once

    def _profile(self) -> load.Profile:
        chance, deadline = self.chance, self.deadline
        rate = chance.uniform(15.0, 40.0) * self.routers
        shapes: tuple[Literal["step", "wave", "bursts", "spike"], ...] = ("step", "wave", "bursts", "spike")
        peak = rate * chance.uniform(1.0, 2.5)
        piece = load.Piece(self.seconds - deadline - 0.5, rate, chance.choice(shapes), peak)
        return load.Profile(
            pieces=(piece,),
            seed=self.seed,
            classes=(
                load.RequestClass("read", 8.0, deadline, deadline / 2),
                load.RequestClass("book", 1.0, deadline, deadline / 2, write=True, keyed=True),
                load.RequestClass("once", 0.5, deadline, deadline / 2, write=True),
            ),
            keys=load.Keys(count=chance.choice([50, 2000])),
            clients=load.Clients(
                retries=chance.randint(0, 2), backoff=0.05, leave=chance.choice([0.0, 0.05, 0.2])
            ),
        )

    def _system(self) -> SystemFaults:
        chance = self.chance
        steps = [(chance.uniform(1.0, self.seconds), chance.choice([-3600.0, -4.0, 2.0, 3600.0]))]
        return SystemFaults(
            per_million=chance.choice([0, 0, 200, 1000, 4000]),
            steps=tuple(steps) if chance.random() < 0.4 else (),
        )

    # Troubles

    def _troubles(self) -> list[fleet.Fault]:
        makers: tuple[Callable[[], fleet.Fault], ...] = (
            lambda: fleet.Freeze(self._at(2.0), self._box(), self._long(0.2, 2.0)),
            lambda: fleet.Crash(self._at(2.0), self._long(0.5, 3.0), self._box()),
            lambda: fleet.Replace(
                self._at(5.0), share=self._some(), at_once=self._several(), drain=self.drain
            ),
            lambda: fleet.Reset(self._at(), self._box()),
            lambda: fleet.Refuse(self._at(2.0), self._box(), self._long(0.5, 2.0)),
            lambda: fleet.Silence(self._at(3.0), self._long(0.5, 4.0), self._box()),
            lambda: fleet.Spoilt(self._at(2.0), self._box(), self._long(0.5, 3.0)),
            lambda: fleet.Slow(self._at(2.0), self._box(), self._long(0.5, 3.0)),
            lambda: fleet.IdleDrop(self._at(), self._box()),
            lambda: fleet.DiscoveryAway(self._at(3.0), self._long(0.5, 5.0)),
            lambda: fleet.Restart(self._at(3.0), self._router(), signals=self._signals()),
            lambda: fleet.Restart(self._at(3.0), self._router(), kill=True),
            lambda: fleet.Stall(self._at(1.0), self._long(0.05, 0.4), self._router()),
            lambda: fleet.Reload(self._at(), self._router(), self.chance.randint(2, 30), 0.02),
            lambda: fleet.Crowd(self._at(2.0), self._long(0.5, 3.0), self._router(), self._crowd()),
        )
        count = self.chance.randint(3, MOST_TROUBLES)
        return [maker() for maker in self.chance.choices(makers, k=count)]

    def _at(self, room: float = 0.0) -> float:
        return self.chance.uniform(QUIET, max(QUIET, self.seconds - QUIET - room))

    def _long(self, least: float, most: float) -> float:
        return self.chance.uniform(least, min(most, self.seconds / 2))

    def _box(self) -> str:
        return f"std-{self.chance.randrange(self.boxes)}"

    def _router(self) -> int:
        return self.chance.randrange(self.routers)

    def _some(self) -> float:
        return self.chance.uniform(0.2, 0.6)

    def _several(self) -> int:
        return max(1, self.boxes // 6)

    def _signals(self) -> int:
        return self.chance.choice([0, 4, 100])

    def _crowd(self) -> int:
        return self.chance.choice([100, 400, 1200])


def draw(seed: int, seconds: float) -> Day:
    """The day of a seed, `seconds` long; the same each time."""
    return Drawer(seed, seconds).day()
