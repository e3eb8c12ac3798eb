"""Elections in virtual time: instances whose clocks drift, a network that loses, and true time beside them.

True time is the simulator's; no instance knows it. Each sees its own clock, which runs at a rate of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlecourse.election import messages
from myrtlecourse.election.core import Election
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.machine import Machine

MakeElection = Callable[[messages.Settings, messages.Saved, float, int], Election]


@dataclass
class Network:
    """What becomes of a message on its way."""

    loss: float = 0.0
    duplication: float = 0.0  # chance that it comes once more
    delay: tuple[float, float] = (0.0005, 0.005)  # seconds; those of two messages differ, so that they pass
    cut: set[tuple[str, str]] = field(default_factory=set)  # from whom to whom nothing comes through


class Instance(Machine[messages.Event]):
    """One router's part: a process that may die, stand still and start again."""

    def __init__(self, simulation: ElectionSimulation, name: str, rate: float, has_disk: bool) -> None:
        super().__init__(simulation.core, simulation.rng, name, rate)
        self.simulation = simulation
        self.has_disk = has_disk
        self.saved = messages.Saved()  # on its disk
        self.withdrawal_time = 0.0  # seconds that a withdrawal takes
        self.election: Election | None = None

    def start(self) -> None:
        """A new process; without a disk it knows nothing."""
        if self.election is not None:
            return
        self.boots += 1
        saved = self.saved if self.has_disk else messages.Saved()
        seed = self.simulation.rng.getrandbits(32)
        self.election = self.simulation.make_election(
            self.simulation.settings(self.name), saved, self.clock(), seed
        )
        self.post(messages.AbilityReported(self.able))

    def kill(self) -> None:
        """The process dies; nothing of it is said to anyone."""
        self.election = None
        self.forget()

    def holds(self) -> bool:
        """Whether it would accept a client now."""
        return self.election is not None and self.election.holds(self.clock())

    def post(self, event: messages.Event) -> None:
        """Let its election hear of something, and carry out what it answers."""
        if self.election is None:
            return
        if self.stopped:
            self.waiting.append(event)
            return
        for action in self.election.handle(self.clock(), event):
            self._carry_out(action)
        self.simulation.check()

    def _carry_out(self, action: messages.Action) -> None:
        simulation = self.simulation
        match action:
            case messages.Save(saved):
                self.saved = saved
                if (
                    self.has_disk and saved.voted
                ):  # without one a term is forgotten; what lasts then is the wait
                    simulation.votes.setdefault((self.name, saved.term), set()).add(saved.voted)
            case messages.Send(to, message):
                simulation.send(self.name, to, message)
            case messages.Announce(term):
                simulation.announced.append((simulation.core.now, self.name, term))
            case messages.Withdraw(why):
                simulation.withdrawn.append((simulation.core.now, self.name, why))
                boot = self.boots
                simulation.core.after(self.withdrawal_time, self._withdrawn, boot)
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def _withdrawn(self, boot: int) -> None:
        if boot == self.boots:
            self.post(messages.Withdrawn())


class TwoHolders(AssertionError):
    """Two instances held the address at one moment of true time."""


class ElectionSimulation:
    """Some instances on one clock."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        make_election: MakeElection = Election,
        disks: bool = True,
        **settings: float | bool,
    ) -> None:
        self.core = Core(seed)
        self.rng = self.core.stream("instances")
        self.network_rng = self.core.stream("network")
        self.make_election = make_election
        self.names = names
        self.settings_given = settings
        self.network = Network()
        self.message_count = 0
        self.announced: list[tuple[float, str, int]] = []
        self.withdrawn: list[tuple[float, str, str]] = []
        self.votes: dict[tuple[str, int], set[str]] = {}  # by voter and term, as saved
        drift = self.settings(names[0]).drift
        self.instances = {n: Instance(self, n, 1 + self.rng.uniform(-drift, drift), disks) for n in names}

    def settings(self, name: str) -> messages.Settings:
        """The settings of an instance."""
        return messages.Settings(name, self.names, **self.settings_given)  # type: ignore[arg-type]

    def start(self) -> None:
        """All at once."""
        for instance in self.instances.values():
            instance.start()

    def send(self, sender: str, to: str, message: messages.Message) -> None:
        """A message on its way, which may be lost, come twice, or be passed by a later one."""
        self.message_count += 1
        network = self.network
        if (sender, to) in network.cut or self.network_rng.random() < network.loss:
            return
        for _ in range(2 if self.network_rng.random() < network.duplication else 1):
            delay = self.network_rng.uniform(*network.delay)
            self.core.after(delay, self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message: messages.Message) -> None:
        if (sender, to) not in self.network.cut:
            self.instances[to].post(messages.MessageReceived(sender, message))

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

    def run_until_held(self, within: float) -> float | None:
        """Seconds until somebody holds the address, or None if nobody does within that time."""
        began = self.core.now
        while self.core.now < began + within:
            if self.holders():
                return self.core.now - began
            self.run(0.01)
        return None


FAULTS = ("kill", "kill", "stop", "cut", "cut_one_way", "split", "stop_cut", "unwell", "move", "all", "lossy")


def inject_fault(simulation: ElectionSimulation, rng: random.Random, longest: float) -> str:
    """Let one thing go wrong, and be well again after a while; answers with what it was."""
    fault = rng.choice(FAULTS)
    names = list(simulation.names)
    holders = simulation.holders()
    # the holder is the one whose troubles matter most
    name = holders[0] if holders and rng.random() < 0.6 else rng.choice(names)
    instance, after, core = simulation.instances[name], rng.uniform(0.0, longest), simulation.core
    match fault:
        case "kill":
            instance.kill()
            core.after(after, instance.start)
        case "stop":
            instance.stop()
            core.after(after, instance.go_on)
        case "stop_cut":
            # what came meanwhile is read, and nothing that it says then comes through
            instance.stop()
            core.after(rng.uniform(0.2, simulation.settings(name).lease), _go_on_alone, instance, after)
        case "unwell":
            instance.able = False
            instance.post(messages.AbilityReported(False))
            core.after(after, _make_able, instance)
        case "move":
            instance.withdrawal_time = rng.choice((0.0, 0.05, 0.5))
            instance.post(messages.Move(rng.choice([*names, ""])))
        case "all":
            for each in simulation.instances.values():
                each.kill()
                core.after(rng.uniform(0.0, after), each.start)
        case "lossy":
            simulation.network.loss, simulation.network.duplication = rng.choice(
                ((0.3, 0.0), (0.3, 0.3), (0.05, 0.5))
            )
            simulation.network.delay = rng.choice(((0.0005, 0.005), (0.0, 0.4)))
        case _:
            cut = links_to_cut(names, name, fault, rng)
            simulation.network.cut |= cut
            core.after(after, simulation.network.cut.difference_update, cut)
    return f"{core.now - 1000:.2f} {fault} {name}"


def _go_on_alone(instance: Instance, seconds: float) -> None:
    simulation = instance.simulation
    cut = links_to_cut(list(simulation.names), instance.name, "cut", simulation.rng)
    instance.go_on()
    simulation.network.cut |= cut
    simulation.core.after(seconds, simulation.network.cut.difference_update, cut)


def _make_able(instance: Instance) -> None:
    instance.able = True
    instance.post(messages.AbilityReported(True))


def links_to_cut(names: list[str], name: str, fault: str, rng: random.Random) -> set[tuple[str, str]]:
    """The ways, from whom to whom, that a trouble of this name cuts."""
    others = [n for n in names if n != name]
    if fault == "cut_one_way":
        links = [(name, o) for o in others]
        return set(links if rng.random() < 0.5 else [(o, s) for s, o in links])
    if fault == "cut":
        return {(name, o) for o in others} | {(o, name) for o in others}
    part = set(rng.sample(names, len(names) // 2))
    return {(a, b) for a in names for b in names if (a in part) is not (b in part)}


def run_random_faults(simulation: ElectionSimulation, seconds: float, longest: float = 4.0) -> list[str]:
    """Play a random schedule of troubles; answers with what happened. Raises TwoHolders."""
    rng = simulation.core.stream("troubles")
    simulation.start()
    faults, until = [], simulation.core.now + seconds
    while simulation.core.now < until:
        simulation.run(rng.expovariate(1.0))
        faults.append(inject_fault(simulation, rng, longest))
    return faults


def end_faults(simulation: ElectionSimulation) -> None:
    """The end of all troubles."""
    simulation.network.cut.clear()
    simulation.network.loss = simulation.network.duplication = 0.0
    simulation.network.delay = (0.0005, 0.005)
    for instance in simulation.instances.values():
        if instance.stopped:
            instance.go_on()
        instance.start()
        instance.withdrawal_time = 0.0
        if not instance.able:
            _make_able(instance)
