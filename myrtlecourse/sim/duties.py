"""Simulation of duties in virtual time, with clocks that drift and a network that loses messages.

Each holder does numbered steps: it claims the next one by an order, and does it once a majority has accepted
the claim. The simulation judges what no process can know: whether orders of two holders are obeyed at the
same moment, whether a step is done twice or forgotten, and how long a duty has no holder.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from myrtlecourse.duties import messages
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.election import Network, links_to_cut
from myrtlecourse.sim.process import SimulatedProcess

MakeDuties = Callable[[messages.Settings, dict[str, messages.Memory] | None, float, int, int], Duties]
STEP_PAUSE = 0.3  # seconds between a holder's steps


class RuleViolation(AssertionError):
    """A rule was violated; the message names it."""


@dataclass
class Claim:
    """A step that a holder has claimed."""

    token: int
    step: int
    number: int  # number of the order that claims the step


def too_few_memories(all_duties: Iterable[Duties | None], settings: messages.Settings) -> bool:
    """Return whether so many processes have started without a memory that a state may be lost for good."""
    remembering = sum(d is not None and not any(m.fresh for m in d.members.values()) for d in all_duties)
    return remembering < settings.majority


class Process(SimulatedProcess[messages.Event]):
    """One router's process, which takes part in the duties and may be killed, stopped and restarted."""

    def __init__(self, simulation: DutySimulation, name: str, rate: float, has_disk: bool) -> None:
        super().__init__(simulation.core, simulation.rng, name, rate)
        self.simulation = simulation
        self.has_disk = has_disk
        self.saved: dict[str, messages.Memory] | None = None  # what its disk holds
        self.duties: Duties | None = None
        self.claims: dict[str, Claim] = {}

    def start(self) -> None:
        """Start a new process; without a disk it remembers nothing."""
        if self.duties is not None:
            return
        self.boots += 1
        seed = self.simulation.rng.getrandbits(32)
        self.duties = self.simulation.make_duties(
            self.simulation.settings(self.name),
            self.saved if self.has_disk else None,
            self.clock(),
            seed,
            int(10 * self.simulation.core.now),
        )
        self.post(messages.AbilityReported(self.able))

    def kill(self) -> None:
        """Kill the process; it sends nothing any more."""
        self.duties = None
        self.claims.clear()
        self.discard_pending()

    def post(self, event: messages.Event) -> None:
        """Pass an event to the duties and carries out their actions; a stopped process gets it later."""
        if self.duties is None:
            return
        if self.stopped:
            self.deferred.append(event)
            return
        for action in self.duties.handle(self.clock(), event):
            self._carry_out(action)
        self.simulation.check()

    def _carry_out(self, action: messages.Action) -> None:
        simulation = self.simulation
        match action:
            case messages.Save(memories):
                self.saved = dict(memories)
            case messages.Send(to, items):
                simulation.send(self.name, to, items)
            case messages.Acquired(duty, token, value):
                simulation.on_acquired(self, duty, token, value)
            case messages.Lost(duty):
                self.claims.pop(duty, None)
                simulation.core.call_after(0.0, self.post, messages.WorkStopped(duty))
            case messages.Committed(duty, token, number):
                simulation.on_committed(self, duty, token, number)
            case messages.Obeys():
                simulation.on_obeys(self, action)
            case messages.SetTimer(at):
                self.call_at(at, lambda: self.post(messages.TimerFired()))

    def claim(self, duty: str, step: int, token: int, boot: int) -> None:
        """Claim a step, if the duty is still held under the token for which this was scheduled."""
        if boot != self.boots or self.stopped or self.duties is None:
            if self.stopped and boot == self.boots:
                self.simulation.core.call_after(STEP_PAUSE, self.claim, duty, step, token, boot)
            return
        # a claim that was scheduled while the duty was held earlier must not claim the step a second time
        if self.duties.acting_token(self.clock(), duty) != token:
            return
        number = self.duties.holdings[duty].number + 1
        self.claims[duty] = Claim(token, step, number)
        self.post(messages.SetState(duty, (step,)))


class DutySimulation:
    """Several processes in one virtual time, connected by one network."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        duties: tuple[messages.Duty, ...],
        voters: tuple[str, ...],
        make_duties: MakeDuties = Duties,
        disks: bool = True,
        **settings_given: float,
    ) -> None:
        self.core = Core(seed)
        self.rng = self.core.stream("processes")
        self.network_rng = self.core.stream("network")
        self.make_duties = make_duties
        self.names = names
        self.duties = duties
        self.voters = voters
        self.settings_given = settings_given
        self.network = Network()
        self.datagrams = 0
        self.events = 0
        # number of events between two checks; a check after each takes too long in a large simulation
        self.check_interval = 1
        self.items = 0  # number of messages in all datagrams
        self.highest_token = {d.name: 0 for d in duties}  # duty -> the highest token that was obeyed
        self.steps_done: dict[tuple[str, int], int] = {}  # duty and step -> the token of the step
        self.committed_steps = {d.name: 0 for d in duties}  # duty -> the last step whose claim was committed
        self.history: list[tuple[float, str, str, int]] = []  # time, process, duty and token of each holding
        self.stale_obeyed = 0
        drift = self.settings(names[0]).drift
        self.processes = {n: Process(self, n, 1 + self.rng.uniform(-drift, drift), disks) for n in names}
        self.disks = disks
        self.memory_lost = False  # True once so many processes lost their memory that a state may be lost

    def settings(self, name: str) -> messages.Settings:
        """Return the settings of a process."""
        return messages.Settings(name, self.names, self.voters, self.duties, **self.settings_given)

    def start(self) -> None:
        """Start all processes at once."""
        for process in self.processes.values():
            process.start()

    def send(self, sender: str, to: str, items: tuple[messages.Item, ...]) -> None:
        """Send a datagram, which may be lost, duplicated, or overtaken by a later one."""
        self.datagrams += 1
        self.items += len(items)
        network = self.network
        if (sender, to) in network.cut or self.network_rng.random() < network.loss:
            return
        boot = self.processes[to].boots
        for _ in range(2 if self.network_rng.random() < network.duplication else 1):
            delay = self.network_rng.uniform(*network.delay)
            self.core.call_after(delay, self._deliver, sender, to, items, boot)

    def _deliver(self, sender: str, to: str, items: tuple[messages.Item, ...], boot: int) -> None:
        process = self.processes[to]
        # a datagram sealed for the previous process is not accepted by the next
        if (sender, to) not in self.network.cut and process.boots == boot:
            process.post(messages.MessagesReceived(sender, items))

    # Rules

    def on_acquired(self, process: Process, duty: str, token: int, value: messages.Value) -> None:
        """Record that a process acts from now on, and that it continues from the last committed step."""
        self.history.append((self.core.now, process.name, duty, token))
        step = value[0] if value else 0
        if process.duties is not None and (holding := process.duties.holdings.get(duty)) is not None:
            self.memory_lost = self.memory_lost or holding.state_uncertain
        if step < self.committed_steps[duty] and not self.memory_lost:
            raise RuleViolation(
                f"forgotten: {duty} goes on from step {step}, after {self.committed_steps[duty]}"
            )
        if next(d.orders for d in self.duties if d.name == duty):
            self.core.call_after(STEP_PAUSE, process.claim, duty, step + 1, token, process.boots)

    def on_committed(self, process: Process, duty: str, token: int, number: int) -> None:
        """Do a step, as its claim is committed."""
        claim = process.claims.get(duty)
        if claim is None or claim.token != token or number < claim.number or process.duties is None:
            return
        self.committed_steps[duty] = max(self.committed_steps[duty], claim.step)
        del process.claims[duty]
        if process.duties.acting_token(process.clock(), duty) == token:
            earlier_token = self.steps_done.get((duty, claim.step))
            if earlier_token is not None and not self.memory_lost:
                raise RuleViolation(f"done_twice: step {claim.step} of {duty} by {earlier_token} and {token}")
            self.steps_done[duty, claim.step] = token
        self.core.call_after(STEP_PAUSE, process.claim, duty, claim.step + 1, token, process.boots)

    def on_obeys(self, process: Process, order: messages.Obeys) -> None:
        """Record that a member obeys an order from now on."""
        if order.token < self.highest_token[order.duty]:
            raise RuleViolation(
                f"stale_obeyed: {process.name} obeys {order.token} after {self.highest_token[order.duty]}"
            )
        self.highest_token[order.duty] = order.token

    def check(self) -> None:
        """Check that no two holders act or are obeyed. Raises RuleViolation. Leases and orders can only end
        with time, so checking after each event is enough."""
        self.events += 1
        if self.events % self.check_interval:
            return
        for duty in self.duties:
            acting, tokens = [], set()
            for process in self.processes.values():
                if process.duties is None:
                    continue
                now = process.clock()
                if process.duties.acting_token(now, duty.name) is not None:
                    acting.append(process.name)
                if (obeyed := process.duties.order_in_force(now, duty.name)) is not None:
                    tokens.add(obeyed.token)
            if len(acting) > 1:
                raise RuleViolation(f"two_hold: {' and '.join(acting)} act for {duty.name}")
            if len(tokens) > 1:
                raise RuleViolation(f"two_obeyed: orders of {sorted(tokens)} for {duty.name}")

    def holder(self, duty: str) -> str:
        """Return the process that acts for a duty at this moment of true time; empty if there is none."""
        for process in self.processes.values():
            if process.duties is not None and process.duties.acting_token(process.clock(), duty) is not None:
                return process.name
        return ""

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.core.run(self.core.now + seconds)

    def run_until_held(self, within: float) -> float | None:
        """Run until all duties have a holder; return how long that took (s).

        Returns None if it takes longer than `within`.
        """
        began = self.core.now
        while self.core.now < began + within:
            if all(self.holder(d.name) for d in self.duties):
                return self.core.now - began
            self.run(0.01)
        return None


FAULTS = (
    "kill",
    "kill",
    "stop",
    "stop",
    "cut",
    "cut_one_way",
    "split",
    "stop_cut",
    "unwell",
    "move",
    "lossy",
)


def inject_fault(simulation: DutySimulation, rng: random.Random, longest: float) -> str:
    """Inject one fault, which ends after a while; return a line that describes it."""
    fault = rng.choice((*FAULTS, "all") if simulation.disks else FAULTS)
    names = list(simulation.names)
    holders = [h for d in simulation.duties if (h := simulation.holder(d.name))]
    name = rng.choice(holders) if holders and rng.random() < 0.6 else rng.choice(names)
    process, after, core = simulation.processes[name], rng.uniform(0.0, longest), simulation.core
    match fault:
        case "kill":
            _kill(simulation, process)
            core.call_after(after, process.start)
        case "stop":
            process.stop()
            core.call_after(after, process.resume)
        case "stop_cut":
            # the process handles what arrived meanwhile, but nothing that it then sends is delivered
            process.stop()
            core.call_after(rng.uniform(0.2, 4.0), _go_on_alone, process, after)
        case "unwell":
            process.able = False
            process.post(messages.AbilityReported(False))
            core.call_after(after, _make_able, process)
        case "move":
            if process.duties is not None and not process.stopped:
                for duty in simulation.duties:
                    if process.duties.acting_token(process.clock(), duty.name) is not None:
                        others = [n for n in (*duty.candidates(simulation.names), "") if n != name]
                        process.post(messages.Move(duty.name, rng.choice(others)))
        case "all":
            for other in simulation.processes.values():
                other.kill()
                core.call_after(rng.uniform(0.0, after), other.start)
        case "lossy":
            simulation.network.loss, simulation.network.duplication = rng.choice(
                ((0.3, 0.0), (0.3, 0.3), (0.05, 0.5))
            )
            simulation.network.delay = rng.choice(((0.0005, 0.005), (0.0, 0.4), (0.0, 3.0)))
        case _:
            cut = links_to_cut(names, name, fault, rng)
            simulation.network.cut |= cut
            core.call_after(after, simulation.network.cut.difference_update, cut)
    return f"{core.now - 1000:.2f} {fault} {name}"


def _go_on_alone(process: Process, seconds: float) -> None:
    """Resume a stopped process, cut off from all others for some seconds."""
    simulation = process.simulation
    cut = links_to_cut(list(simulation.names), process.name, "cut", simulation.rng)
    process.resume()
    simulation.network.cut |= cut
    simulation.core.call_after(seconds, simulation.network.cut.difference_update, cut)


def _kill(simulation: DutySimulation, process: Process) -> None:
    process.kill()
    if not simulation.disks:
        remaining = [p.duties for p in simulation.processes.values()]
        simulation.memory_lost = simulation.memory_lost or too_few_memories(
            remaining, simulation.settings(process.name)
        )


def _make_able(process: Process) -> None:
    process.able = True
    process.post(messages.AbilityReported(True))


def run_random_faults(simulation: DutySimulation, seconds: float, longest: float = 5.0) -> list[str]:
    """Run with random faults for some seconds; return a line for each. Raises RuleViolation."""
    rng = simulation.core.stream("troubles")
    simulation.start()
    faults, until = [], simulation.core.now + seconds
    while simulation.core.now < until:
        simulation.run(rng.expovariate(0.8))
        faults.append(inject_fault(simulation, rng, longest))
    return faults


def end_faults(simulation: DutySimulation) -> None:
    """End all faults."""
    simulation.network.cut.clear()
    simulation.network.loss = simulation.network.duplication = 0.0
    simulation.network.delay = (0.0005, 0.005)
    for process in simulation.processes.values():
        if process.stopped:
            process.resume()
        process.start()
        if not process.able:
            _make_able(process)
