"""Simulation of elections in virtual time, with clocks that drift and a network that loses messages.

True time is the simulator's clock, which no instance can read. Each instance has a clock of its own that runs
at its own rate.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlecourse.election import messages
from myrtlecourse.election.core import Election
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.process import SimulatedProcess

MakeElection = Callable[[messages.Settings, messages.Saved, float, int], Election]


@dataclass
class Network:
    """The network between instances, and what can happen to a message in it."""

    loss: float = 0.0
    duplication: float = 0.0  # probability that a message is delivered twice
    # seconds, drawn for each message, so that one message may overtake another
    delay: tuple[float, float] = (0.0005, 0.005)
    # pairs of sender and receiver whose messages are lost
    cut: set[tuple[str, str]] = field(default_factory=set)


class Instance(SimulatedProcess[messages.Event]):
    """One router's process, which takes part in the election and may be killed, stopped and restarted."""

    def __init__(self, simulation: ElectionSimulation, name: str, rate: float, has_disk: bool) -> None:
        super().__init__(simulation.core, simulation.rng, name, rate)
        self.simulation = simulation
        self.has_disk = has_disk
        self.saved = messages.Saved()  # what its disk holds
        self.withdrawal_time = 0.0  # seconds that withdrawing the address takes
        self.election: Election | None = None

    def start(self) -> None:
        """Start a new process; without a disk it remembers nothing."""
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
        """Kill the process; it sends nothing any more."""
        self.election = None
        self.discard_pending()

    def holds(self) -> bool:
        """Return whether the instance holds the address now."""
        return self.election is not None and self.election.holds(self.clock())

    def may_serve(self) -> bool:
        """Return whether the instance would accept a client now: it holds the address, or hands it over."""
        return self.election is not None and self.election.lease_left(self.clock()) > 0.0

    def post(self, event: messages.Event) -> None:
        """Pass an event to the election and carries out its actions; a stopped process gets it later."""
        if self.election is None:
            return
        if self.stopped:
            self.deferred.append(event)
            return
        for action in self.election.handle(self.clock(), event):
            self._carry_out(action)
        self.simulation.check()

    def _carry_out(self, action: messages.Action) -> None:
        simulation = self.simulation
        match action:
            case messages.Save(saved):
                self.saved = saved
                # without a disk a term is forgotten, and the wait after a start protects the vote instead
                if self.has_disk and saved.voted:
                    simulation.votes.setdefault((self.name, saved.term), set()).add(saved.voted)
            case messages.Send(to, message):
                simulation.send(self.name, to, message)
            case messages.Announce(term):
                simulation.announced.append((simulation.core.now, self.name, term))
            case messages.Withdraw(reason):
                simulation.withdrawn.append((simulation.core.now, self.name, reason))
                boot = self.boots
                simulation.core.call_after(self.withdrawal_time, self._withdrawn, boot)
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def _withdrawn(self, boot: int) -> None:
        if boot == self.boots:
            self.post(messages.Withdrawn())


class TwoHolders(AssertionError):
    """Two instances held the address at the same moment of true time."""


class ElectionSimulation:
    """Several instances in one virtual time, connected by one network."""

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
        # voter and term -> the candidates for which the voter stored a vote
        self.votes: dict[tuple[str, int], set[str]] = {}
        drift = self.settings(names[0]).drift
        self.instances = {n: Instance(self, n, 1 + self.rng.uniform(-drift, drift), disks) for n in names}

    def settings(self, name: str) -> messages.Settings:
        """Return the settings of an instance."""
        return messages.Settings(name, self.names, **self.settings_given)  # type: ignore[arg-type]

    def start(self) -> None:
        """Start all instances at once."""
        for instance in self.instances.values():
            instance.start()

    def send(self, sender: str, to: str, message: messages.Message) -> None:
        """Send a message, which may be lost, duplicated, or overtaken by a later one."""
        self.message_count += 1
        network = self.network
        if (sender, to) in network.cut or self.network_rng.random() < network.loss:
            return
        for _ in range(2 if self.network_rng.random() < network.duplication else 1):
            delay = self.network_rng.uniform(*network.delay)
            self.core.call_after(delay, self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message: messages.Message) -> None:
        if (sender, to) not in self.network.cut:
            self.instances[to].post(messages.MessageReceived(sender, message))

    def holders(self) -> list[str]:
        """Return the instances that hold the address at this moment of true time."""
        return [name for name, instance in self.instances.items() if instance.holds()]

    def check(self) -> None:
        """Check that no two instances serve the address and that no voter voted twice in a term. Raises
        TwoHolders or AssertionError. A lease can only end with time, so checking after each event is
        enough."""
        serving = [name for name, instance in self.instances.items() if instance.may_serve()]
        if len(serving) > 1:
            raise TwoHolders(f"{' and '.join(serving)} at {self.core.now - 1000:.3f} s")
        for (voter, term), voted in self.votes.items():
            if len(voted) > 1:
                raise AssertionError(f"{voter} voted for {' and '.join(sorted(voted))} in term {term}")

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.core.run(self.core.now + seconds)

    def run_until_held(self, within: float) -> float | None:
        """Run until some instance holds the address; return how long that took (s).

        Returns None if it takes longer than `within`.
        """
        began = self.core.now
        while self.core.now < began + within:
            if self.holders():
                return self.core.now - began
            self.run(0.01)
        return None


FAULTS = ("kill", "kill", "stop", "cut", "cut_one_way", "split", "stop_cut", "unwell", "move", "all", "lossy")


def inject_fault(simulation: ElectionSimulation, rng: random.Random, longest: float) -> str:
    """Inject one fault, which ends after a while; return a line that describes it."""
    fault = rng.choice(FAULTS)
    names = list(simulation.names)
    holders = simulation.holders()
    # faults of the holder are drawn most often, as they matter most
    name = holders[0] if holders and rng.random() < 0.6 else rng.choice(names)
    instance, after, core = simulation.instances[name], rng.uniform(0.0, longest), simulation.core
    match fault:
        case "kill":
            instance.kill()
            core.call_after(after, instance.start)
        case "stop":
            instance.stop()
            core.call_after(after, instance.resume)
        case "stop_cut":
            # the instance handles what arrived meanwhile, but nothing that it then sends is delivered
            instance.stop()
            core.call_after(rng.uniform(0.2, simulation.settings(name).lease), _go_on_alone, instance, after)
        case "unwell":
            instance.able = False
            instance.post(messages.AbilityReported(False))
            core.call_after(after, _make_able, instance)
        case "move":
            instance.withdrawal_time = rng.choice((0.0, 0.05, 0.5))
            instance.post(messages.Move(rng.choice([*names, ""])))
        case "all":
            for other in simulation.instances.values():
                other.kill()
                core.call_after(rng.uniform(0.0, after), other.start)
        case "lossy":
            simulation.network.loss, simulation.network.duplication = rng.choice(
                ((0.3, 0.0), (0.3, 0.3), (0.05, 0.5))
            )
            simulation.network.delay = rng.choice(((0.0005, 0.005), (0.0, 0.4)))
        case _:
            cut = links_to_cut(names, name, fault, rng)
            simulation.network.cut |= cut
            core.call_after(after, simulation.network.cut.difference_update, cut)
    return f"{core.now - 1000:.2f} {fault} {name}"


def _go_on_alone(instance: Instance, seconds: float) -> None:
    """Resume a stopped instance, cut off from all others for some seconds."""
    simulation = instance.simulation
    cut = links_to_cut(list(simulation.names), instance.name, "cut", simulation.rng)
    instance.resume()
    simulation.network.cut |= cut
    simulation.core.call_after(seconds, simulation.network.cut.difference_update, cut)


def _make_able(instance: Instance) -> None:
    instance.able = True
    instance.post(messages.AbilityReported(True))


def links_to_cut(names: list[str], name: str, fault: str, rng: random.Random) -> set[tuple[str, str]]:
    """Return the links, as pairs of sender and receiver, that a fault of this kind cuts."""
    others = [n for n in names if n != name]
    if fault == "cut_one_way":
        links = [(name, o) for o in others]
        return set(links if rng.random() < 0.5 else [(o, s) for s, o in links])
    if fault == "cut":
        return {(name, o) for o in others} | {(o, name) for o in others}
    one_side = set(rng.sample(names, len(names) // 2))
    return {(a, b) for a in names for b in names if (a in one_side) is not (b in one_side)}


def run_random_faults(simulation: ElectionSimulation, seconds: float, longest: float = 4.0) -> list[str]:
    """Run with random faults for some seconds; return a line for each. Raises TwoHolders."""
    rng = simulation.core.stream("troubles")
    simulation.start()
    faults, until = [], simulation.core.now + seconds
    while simulation.core.now < until:
        simulation.run(rng.expovariate(1.0))
        faults.append(inject_fault(simulation, rng, longest))
    return faults


def end_faults(simulation: ElectionSimulation) -> None:
    """End all faults."""
    simulation.network.cut.clear()
    simulation.network.loss = simulation.network.duplication = 0.0
    simulation.network.delay = (0.0005, 0.005)
    for instance in simulation.instances.values():
        if instance.stopped:
            instance.resume()
        instance.start()
        instance.withdrawal_time = 0.0
        if not instance.able:
            _make_able(instance)
