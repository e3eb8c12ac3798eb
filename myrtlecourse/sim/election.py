"""Elections in virtual time: instances whose clocks drift, a network that loses, and true time beside them.

True time is the simulator's; no instance knows it. Each sees its own clock, which runs at a rate of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlecourse.election import messages as said
from myrtlecourse.election.core import Election
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.machine import Machine

Make = Callable[[said.Settings, said.Saved, float, int], Election]


@dataclass
class Network:
    """What becomes of a message on its way."""

    loss: float = 0.0
    twice: float = 0.0  # chance that it comes once more
    delay: tuple[float, float] = (0.0005, 0.005)  # seconds; those of two messages differ, so that they pass
    cut: set[tuple[str, str]] = field(default_factory=set)  # from whom to whom nothing comes through


class Instance(Machine[said.Event]):
    """One router's part: a process that may die, stand still and start again."""

    def __init__(self, world: Elections, name: str, rate: float, disk: bool) -> None:
        super().__init__(world.core, world.chance, name, rate)
        self.world = world
        self.disk = disk
        self.saved = said.Saved()  # on its disk
        self.slow = 0.0  # seconds that a withdrawal takes
        self.election: Election | None = None

    def start(self) -> None:
        """A new process; without a disk it knows nothing."""
        if self.election is not None:
            return
        self.boots += 1
        saved = self.saved if self.disk else said.Saved()
        seed = self.world.chance.getrandbits(32)
        self.election = self.world.make(self.world.settings(self.name), saved, self.clock(), seed)
        self.post(said.AbilityReported(self.able))

    def kill(self) -> None:
        """The process dies; nothing of it is said to anyone."""
        self.election = None
        self.forget()

    def holds(self) -> bool:
        """Whether it would accept a client now."""
        return self.election is not None and self.election.holds(self.clock())

    def post(self, event: said.Event) -> None:
        """Let its election hear of something, and carry out what it answers."""
        if self.election is None:
            return
        if self.stopped:
            self.waiting.append(event)
            return
        for action in self.election.handle(self.clock(), event):
            self._carry_out(action)
        self.world.check()

    def _carry_out(self, action: said.Action) -> None:
        world = self.world
        match action:
            case said.Save(saved):
                self.saved = saved
                if self.disk and saved.voted:  # without one a term is forgotten; what lasts then is the wait
                    world.votes.setdefault((self.name, saved.term), set()).add(saved.voted)
            case said.Send(to, message):
                world.send(self.name, to, message)
            case said.Announce(term):
                world.announced.append((world.core.now, self.name, term))
            case said.Withdraw(why):
                world.withdrawn.append((world.core.now, self.name, why))
                boot = self.boots
                world.core.after(self.slow, self._withdrawn, boot)
            case said.SetTimer(at):
                self.call_at(at, lambda: self.post(said.TimerFired()))

    def _withdrawn(self, boot: int) -> None:
        if boot == self.boots:
            self.post(said.Withdrawn())


class TwoHolders(AssertionError):
    """Two instances held the address at one moment of true time."""


class Elections:
    """Some instances on one clock."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        make: Make = Election,
        disks: bool = True,
        **settings: float | bool,
    ) -> None:
        self.core = Core(seed)
        self.chance = self.core.stream("instances")
        self.ways = self.core.stream("network")
        self.make = make
        self.names = names
        self.figures = settings
        self.network = Network()
        self.messages = 0
        self.announced: list[tuple[float, str, int]] = []
        self.withdrawn: list[tuple[float, str, str]] = []
        self.votes: dict[tuple[str, int], set[str]] = {}  # by voter and term, as saved
        drift = self.settings(names[0]).drift
        self.instances = {n: Instance(self, n, 1 + self.chance.uniform(-drift, drift), disks) for n in names}

    def settings(self, name: str) -> said.Settings:
        """The settings of an instance."""
        return said.Settings(name, self.names, **self.figures)  # type: ignore[arg-type]

    def start(self) -> None:
        """All at once."""
        for instance in self.instances.values():
            instance.start()

    def send(self, sender: str, to: str, message: said.Message) -> None:
        """A message on its way, which may be lost, come twice, or be passed by a later one."""
        self.messages += 1
        network = self.network
        if (sender, to) in network.cut or self.ways.random() < network.loss:
            return
        for _ in range(2 if self.ways.random() < network.twice else 1):
            delay = self.ways.uniform(*network.delay)
            self.core.after(delay, self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message: said.Message) -> None:
        if (sender, to) not in self.network.cut:
            self.instances[to].post(said.MessageReceived(sender, message))

    def holders(self) -> list[str]:
        """Who holds the address at this moment of true time."""
        return [name for name, instance in self.instances.items() if instance.holds()]

    def check(self) -> None:
        """Raises TwoHolders. A lease only ends as time goes, so that a look after each event is enough."""
        holders = self.holders()
        if len(holders) > 1:
            raise TwoHolders(f"{' and '.join(holders)} at {self.core.now - 1000:.3f} s")
        for (voter, term), voted in self.votes.items():
            if len(voted) > 1:
                raise AssertionError(f"{voter} voted for {' and '.join(sorted(voted))} in term {term}")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.core.run(self.core.now + seconds)

    def settle(self, within: float) -> float | None:
        """Seconds until somebody holds the address, or None if nobody does within that time."""
        began = self.core.now
        while self.core.now < began + within:
            if self.holders():
                return self.core.now - began
            self.run(0.01)
        return None


TROUBLES = (
    "kill",
    "kill",
    "stop",
    "cut",
    "cut_one_way",
    "split",
    "stop_cut",
    "unwell",
    "move",
    "all",
    "lossy",
)


def trouble(world: Elections, chance: random.Random, longest: float) -> str:
    """Let one thing go wrong, and be well again after a while; answers with what it was."""
    what = chance.choice(TROUBLES)
    names = list(world.names)
    holders = world.holders()
    # the holder is the one whose troubles matter most
    name = holders[0] if holders and chance.random() < 0.6 else chance.choice(names)
    instance, after, core = world.instances[name], chance.uniform(0.0, longest), world.core
    match what:
        case "kill":
            instance.kill()
            core.after(after, instance.start)
        case "stop":
            instance.stop()
            core.after(after, instance.go_on)
        case "stop_cut":
            # what came meanwhile is read, and nothing that it says then comes through
            instance.stop()
            core.after(chance.uniform(0.2, world.settings(name).lease), _go_on_alone, instance, after)
        case "unwell":
            instance.able = False
            instance.post(said.AbilityReported(False))
            core.after(after, _well, instance)
        case "move":
            instance.slow = chance.choice((0.0, 0.05, 0.5))
            instance.post(said.Move(chance.choice([*names, ""])))
        case "all":
            for each in world.instances.values():
                each.kill()
                core.after(chance.uniform(0.0, after), each.start)
        case "lossy":
            world.network.loss, world.network.twice = chance.choice(((0.3, 0.0), (0.3, 0.3), (0.05, 0.5)))
            world.network.delay = chance.choice(((0.0005, 0.005), (0.0, 0.4)))
        case _:
            cut = cut_for(names, name, what, chance)
            world.network.cut |= cut
            core.after(after, world.network.cut.difference_update, cut)
    return f"{core.now - 1000:.2f} {what} {name}"


def _go_on_alone(instance: Instance, seconds: float) -> None:
    world = instance.world
    cut = cut_for(list(world.names), instance.name, "cut", world.chance)
    instance.go_on()
    world.network.cut |= cut
    world.core.after(seconds, world.network.cut.difference_update, cut)


def _well(instance: Instance) -> None:
    instance.able = True
    instance.post(said.AbilityReported(True))


def cut_for(names: list[str], name: str, what: str, chance: random.Random) -> set[tuple[str, str]]:
    """The ways, from whom to whom, that a trouble of this name cuts."""
    others = [n for n in names if n != name]
    if what == "cut_one_way":
        ways = [(name, o) for o in others]
        return set(ways if chance.random() < 0.5 else [(o, s) for s, o in ways])
    if what == "cut":
        return {(name, o) for o in others} | {(o, name) for o in others}
    part = set(chance.sample(names, len(names) // 2))
    return {(a, b) for a in names for b in names if (a in part) is not (b in part)}


def schedule(world: Elections, seconds: float, longest: float = 4.0) -> list[str]:
    """Play a random schedule of troubles; answers with what happened. Raises TwoHolders."""
    chance = world.core.stream("troubles")
    world.start()
    told, until = [], world.core.now + seconds
    while world.core.now < until:
        world.run(chance.expovariate(1.0))
        told.append(trouble(world, chance, longest))
    return told


def well_again(world: Elections) -> None:
    """The end of all troubles."""
    world.network.cut.clear()
    world.network.loss = world.network.twice = 0.0
    world.network.delay = (0.0005, 0.005)
    for instance in world.instances.values():
        if instance.stopped:
            instance.go_on()
        instance.start()
        instance.slow = 0.0
        if not instance.able:
            _well(instance)
