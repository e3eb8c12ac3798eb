"""Draws a random soak case from a seed: a scenario with faults, its load, and failing system calls; no I/O.

Faults overlap: a router is told to end while servers hang, or the server list changes while many connections
arrive. A case stays within what the protocol allows, so that any breach of a rule is a fault of the routers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.fleet import scenario as fleet
from myrtlecourse.load import profile as load

ANSWER_SLACK = 0.5  # seconds by which an answer may exceed its deadline before it counts as late
MARGIN = 1.5  # seconds before the first fault, and after the end of the last one
MAX_DRAWN_FAULTS = 8  # besides those below, each of which a share of the cases has
MAX_FAULTS = MAX_DRAWN_FAULTS + 5
SECOND_ANSWERS_SHARE = 0.4  # servers send second answers
LEAVING_CLIENTS_SHARE = 0.4  # clients send unusable commands and leave while others fill a router
DEDUP_GROUPS: tuple[Literal["all", "zone", "cell"], ...] = ("all", "zone", "cell")
ABUSIVE_CLIENTS_SHARE = 0.4  # clients write long commands slowly, or send commands at full speed
LARGE_REQUESTS_SHARE = 0.5  # clients make a router hold parts of large requests and answers
MEMORY_SIZES = (64, 64, 192)  # megabytes of a router
STOPS_SHARE = 0.4  # a router is stopped again and again
SERVER_COUNTS = (4, 12, 40, 120)  # numbers of cache servers


@dataclass(frozen=True)
class SystemFaults:
    """System calls of routers that fail, and steps of their wall clocks."""

    per_million: int = 0  # number of calls on sockets that fail, out of a million
    # steps of the wall clock: seconds after the start of a process, and the size of the step in seconds
    steps: tuple[tuple[float, float], ...] = ()


@dataclass(frozen=True)
class SoakCase:
    """Everything that is drawn from one seed."""

    seed: int
    scenario: fleet.Scenario
    profile: load.Profile
    system: SystemFaults

    def summary(self) -> str:
        """Return a short description of the case."""
        scenario = self.scenario
        fault_names = ", ".join(str(f.__struct_config__.tag) for f in scenario.faults)
        steps = f", clock {'/'.join(f'{s:+g}' for _, s in self.system.steps)}" if self.system.steps else ""
        size = (
            f"{scenario.routers} routers of {scenario.memory_mb} MB, {len(scenario.cache_servers())} servers"
        )
        return f"{size}: {fault_names}; {self.system.per_million}/million calls fail{steps}"


class CaseGenerator:
    """Draws one case; the order of its draws determines what a seed gives."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(f"{seed} soak")

    def draw(self) -> SoakCase:
        """Draw the case."""
        rng = self.rng
        self.routers = rng.randint(2, 4)
        self.zones = tuple("abc"[: rng.randint(1, 3)])
        self.server_count = rng.choice(SERVER_COUNTS)
        self.deadline = rng.choice([0.4, 0.8, 1.5, 2.5])
        self.window = rng.choice([1.5, 4.0, 15.0])
        self.drain = rng.uniform(2.6, 4.0)
        added = [
            *self._second_answers(),
            *self._leaving_clients(),
            *self._abusive_clients(),
            *self._large_requests(),
            *self._stops(),
        ]
        faults = sorted([*self._faults(), *added], key=lambda f: f.at)
        scenario = fleet.Scenario(
            seconds=self.seconds,
            seed=self.seed,
            routers=self.routers,
            memory_mb=random.Random(f"{self.seed} memory").choice(MEMORY_SIZES),
            zones=self.zones,
            delay=rng.choice([0.0, 0.003]),
            kinds=(self._server_kind(),),
            origin=rng.choice([None, fleet.Origin(slots=16, time=0.03)]),
            discovery=self._discovery(),
            classes=self._classes(),
            rules=Rules(answer_slack=ANSWER_SLACK),
            faults=tuple(faults),
        )
        return SoakCase(self.seed, scenario, self._profile(), self._system())

    def _server_kind(self) -> fleet.ServerKind:
        rng = self.rng
        return fleet.ServerKind(
            "std",
            boxes=self.server_count,
            cores=2,
            cold=rng.uniform(0.3, 0.6),
            warm_up=rng.uniform(2.0, 6.0),
            idle=rng.choice([1.0, 5.0]),
            errors=rng.choice([0.0, 0.01]),
        )

    def _discovery(self) -> fleet.Discovery:
        rng = self.rng
        return fleet.Discovery(
            notice=rng.uniform(0.5, 2.0),
            silent_notice=rng.uniform(3.0, 6.0),
            added=rng.uniform(0.2, 1.0),
            lines_a_second=20.0 * self.server_count * self.routers,
        )

    def _classes(self) -> tuple[fleet.RequestClass, ...]:
        rng, deadline = self.rng, self.deadline
        self.book_group = rng.choice(DEDUP_GROUPS)
        read = fleet.RequestClass("read", work=0.004, aim=deadline / 2, deadline=deadline)
        book = fleet.RequestClass(
            "book",
            work=0.004,
            aim=deadline / 2,
            deadline=deadline,
            effect="guarded",
            group=self.book_group,
            window=self.window,
            worth=3.0,
        )
        once = fleet.RequestClass(
            "once", aim=deadline / 2, deadline=deadline, effect="single_shot", worth=3.0
        )
        return read, book, once

    def _profile(self) -> load.Profile:
        rng, deadline = self.rng, self.deadline
        rate = rng.uniform(15.0, 40.0) * self.routers
        shapes: tuple[Literal["step", "wave", "bursts", "spike"], ...] = ("step", "wave", "bursts", "spike")
        peak = rate * rng.uniform(1.0, 2.5)
        piece = load.Piece(self.seconds - deadline - 0.5, rate, rng.choice(shapes), peak)
        return load.Profile(
            pieces=(piece,),
            seed=self.seed,
            classes=(
                load.RequestClass("read", 8.0, deadline, deadline / 2),
                load.RequestClass(
                    "book", 1.0, deadline, deadline / 2, write=True, keyed=True, group=self.book_group
                ),
                load.RequestClass("once", 0.5, deadline, deadline / 2, write=True),
            ),
            keys=load.Keys(count=rng.choice([50, 2000])),
            clients=load.Clients(retries=rng.randint(0, 2), backoff=0.05, leave=rng.choice([0.0, 0.05, 0.2])),
        )

    def _system(self) -> SystemFaults:
        rng = self.rng
        steps = [(rng.uniform(1.0, self.seconds), rng.choice([-3600.0, -4.0, 2.0, 3600.0]))]
        return SystemFaults(
            per_million=rng.choice([0, 0, 200, 1000, 4000]), steps=tuple(steps) if rng.random() < 0.4 else ()
        )

    # Faults

    def _faults(self) -> list[fleet.Fault]:
        fault_makers: tuple[Callable[[], fleet.Fault], ...] = (
            lambda: fleet.Freeze(self._time(2.0), self._server(), self._duration(0.2, 2.0)),
            lambda: fleet.Crash(self._time(2.0), self._duration(0.5, 3.0), self._server()),
            lambda: fleet.Replace(
                self._time(5.0), share=self._share(), at_once=self._batch_size(), drain=self.drain
            ),
            lambda: fleet.Reset(self._time(), self._server()),
            lambda: fleet.Refuse(self._time(2.0), self._server(), self._duration(0.5, 2.0)),
            lambda: fleet.Silence(self._time(3.0), self._duration(0.5, 4.0), self._server()),
            lambda: fleet.Spoilt(self._time(2.0), self._server(), self._duration(0.5, 3.0)),
            lambda: fleet.Slow(self._time(2.0), self._server(), self._duration(0.5, 3.0)),
            lambda: fleet.IdleDrop(self._time(), self._server()),
            lambda: fleet.DiscoveryAway(self._time(3.0), self._duration(0.5, 5.0)),
            lambda: fleet.Restart(self._time(3.0), self._router(), signals=self._signals()),
            lambda: fleet.Restart(self._time(3.0), self._router(), kill=True),
            lambda: fleet.Stall(self._time(1.0), self._duration(0.05, 0.4), self._router()),
            lambda: fleet.Reload(self._time(), self._router(), self.rng.randint(2, 30), 0.02),
            lambda: fleet.Crowd(
                self._time(2.0), self._duration(0.5, 3.0), self._router(), self._connection_count()
            ),
        )
        count = self.rng.randint(3, MAX_DRAWN_FAULTS)
        return [make_fault() for make_fault in self.rng.choices(fault_makers, k=count)]

    def _second_answers(self) -> list[fleet.Fault]:
        """Draw second answers of all servers, from numbers of their own: a seed's other faults stay."""
        rng = random.Random(f"{self.seed} second answers")
        if rng.random() >= SECOND_ANSWERS_SHARE:
            return []
        at = rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - 2.0))
        return [fleet.SecondAnswers(at, rng.uniform(1.0, self.seconds / 2), share=rng.uniform(0.2, 0.6))]

    def _leaving_clients(self) -> list[fleet.Fault]:
        """Draw a crowd with clients that leave, from numbers of its own."""
        rng = random.Random(f"{self.seed} leaving clients")
        if rng.random() >= LEAVING_CLIENTS_SHARE:
            return []
        seconds = rng.uniform(1.0, min(3.0, self.seconds / 2))
        at = rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - seconds))
        router = rng.randrange(self.routers)
        return [fleet.Crowd(at, seconds, router, clients=rng.choice([600, 1200]), leaving=rng.randint(5, 20))]

    def _abusive_clients(self) -> list[fleet.Fault]:
        """Draw a crowd with clients that write slowly or send at full speed, from numbers of its own."""
        rng = random.Random(f"{self.seed} pressing clients")
        if rng.random() >= ABUSIVE_CLIENTS_SHARE:
            return []
        seconds = rng.uniform(1.0, min(3.0, self.seconds / 2))
        at = rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - seconds))
        router, writing, flooding = rng.randrange(self.routers), rng.choice([50, 300]), rng.randint(0, 2)
        return [fleet.Crowd(at, seconds, router, clients=1, writing=writing, flooding=flooding)]

    def _large_requests(self) -> list[fleet.Fault]:
        """Draw a crowd with clients that make a router hold memory, from numbers of its own."""
        rng = random.Random(f"{self.seed} large requests")
        if rng.random() >= LARGE_REQUESTS_SHARE:
            return []
        seconds = rng.uniform(2.0, min(4.0, self.seconds / 2))
        at = rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - seconds))
        return [
            fleet.Crowd(
                at,
                seconds,
                rng.randrange(self.routers),
                clients=1,
                stopping=rng.choice([0, 100, 500]),
                interrupting=rng.choice([0, 100, 500]),
                fields=rng.choice([0, 5]),
                reading=rng.choice([0, 200]),
            )
        ]

    def _stops(self) -> list[fleet.Fault]:
        """Draw a router that is held up again and again, for about the time limit of its dials."""
        rng = random.Random(f"{self.seed} stops")
        if rng.random() >= STOPS_SHARE:
            return []
        times, pause = rng.randint(3, 8), rng.uniform(0.05, 0.2)
        seconds = rng.uniform(0.2, 0.35)
        longest = times * (seconds + pause)
        at = rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - longest))
        return [fleet.Stall(at, seconds, rng.randrange(self.routers), times=times, pause=pause)]

    def _time(self, reserve: float = 0.0) -> float:
        return self.rng.uniform(MARGIN, max(MARGIN, self.seconds - MARGIN - reserve))

    def _duration(self, shortest: float, longest: float) -> float:
        return self.rng.uniform(shortest, min(longest, self.seconds / 2))

    def _server(self) -> str:
        return f"std-{self.rng.randrange(self.server_count)}"

    def _router(self) -> int:
        return self.rng.randrange(self.routers)

    def _share(self) -> float:
        return self.rng.uniform(0.2, 0.6)

    def _batch_size(self) -> int:
        return max(1, self.server_count // 6)

    def _signals(self) -> int:
        return self.rng.choice([0, 4, 100])

    def _connection_count(self) -> int:
        return self.rng.choice([100, 400, 1200])


def draw_case(seed: int, seconds: float) -> SoakCase:
    """Draw the case of a seed, `seconds` long; the same seed always gives the same case."""
    return CaseGenerator(seed, seconds).draw()
