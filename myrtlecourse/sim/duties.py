"""Duties in virtual time: processes whose clocks drift, a network that loses, and true time beside them.

Each holder does numbered steps: it claims the next one by an order, and does it once a majority has taken
the claim. What no process can know is judged here: whether two are obeyed at one moment, a step is done
twice or forgotten, and how long nobody holds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.core import Core
from myrtlecourse.sim.election import Network, cut_for
from myrtlecourse.sim.machine import Machine

Make = Callable[[said.Settings, dict[str, said.Memory] | None, float, int, int], Duties]
PAUSE = 0.3  # seconds between a holder's steps


class Broken(AssertionError):
    """A rule was broken; the message names it."""


@dataclass
class Claim:
    """A step that a holder has claimed."""

    token: int
    step: int
    number: int  # of the order


def too_few_remember(each: Iterable[Duties | None], settings: said.Settings) -> bool:
    """Whether so many have started without a memory that a state may be lost for good."""
    sure = sum(d is not None and not any(m.fresh for m in d.members.values()) for d in each)
    return sure < settings.majority


class Process(Machine[said.Event]):
    """One router's part: a process that may die, stand still and start again."""

    def __init__(self, world: World, name: str, rate: float, disk: bool) -> None:
        super().__init__(world.core, world.chance, name, rate)
        self.world = world
        self.disk = disk
        self.saved: dict[str, said.Memory] | None = None  # on its disk
        self.duties: Duties | None = None
        self.claims: dict[str, Claim] = {}

    def start(self) -> None:
        """A new process; without a disk it knows nothing."""
        if self.duties is not None:
            return
        self.boots += 1
        seed = self.world.chance.getrandbits(32)
        self.duties = self.world.make(
            self.world.settings(self.name),
            self.saved if self.disk else None,
            self.clock(),
            seed,
            int(10 * self.world.core.now),
        )
        self.post(said.AbilityReported(self.able))

    def kill(self) -> None:
        """The process dies; nothing of it is said to anyone."""
        self.duties = None
        self.claims.clear()
        self.forget()

    def post(self, event: said.Event) -> None:
        """Let its duties hear of something, and carry out what they answer."""
        if self.duties is None:
            return
        if self.stopped:
            self.waiting.append(event)
            return
        for action in self.duties.handle(self.clock(), event):
            self._carry_out(action)
        self.world.check()

    def _carry_out(self, action: said.Action) -> None:
        world = self.world
        match action:
            case said.Save(memories):
                self.saved = dict(memories)
            case said.Send(to, items):
                world.send(self.name, to, items)
            case said.Acquired(duty, token, value):
                world.took(self, duty, token, value)
            case said.Lost(duty):
                self.claims.pop(duty, None)
                world.core.after(0.0, self.post, said.WorkStopped(duty))
            case said.Committed(duty, token, number):
                world.settled(self, duty, token, number)
            case said.Obeys():
                world.obeys(self, action)
            case said.SetTimer(at):
                self.call_at(at, lambda: self.post(said.TimerFired()))

    def claim(self, duty: str, step: int, token: int, boot: int) -> None:
        """Claim a step, if the duty is still held by the same right as when this was planned."""
        if boot != self.boots or self.stopped or self.duties is None:
            if self.stopped and boot == self.boots:
                self.world.core.after(PAUSE, self.claim, duty, step, token, boot)
            return
        # guards the steps: what was planned in an earlier holding would be claimed once more in this one
        if self.duties.acting_token(self.clock(), duty) != token:
            return
        number = self.duties.holdings[duty].number + 1
        self.claims[duty] = Claim(token, step, number)
        self.post(said.SetState(duty, (step,)))


class World:
    """Some processes on one clock."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        duties: tuple[said.Duty, ...],
        voters: tuple[str, ...],
        make: Make = Duties,
        disks: bool = True,
        **figures: float,
    ) -> None:
        self.core = Core(seed)
        self.chance = self.core.stream("processes")
        self.ways = self.core.stream("network")
        self.make = make
        self.names = names
        self.duties = duties
        self.voters = voters
        self.figures = figures
        self.network = Network()
        self.datagrams = 0
        self.events = 0
        self.looks_every = 1  # events between two looks at all: in a large world each would cost too much
        self.items = 0
        self.highest = {d.name: 0 for d in duties}  # token obeyed
        self.done: dict[tuple[str, int], int] = {}  # by duty and step: the token
        self.lasting = {d.name: 0 for d in duties}  # the last step whose claim was settled
        self.history: list[tuple[float, str, str, int]] = []  # when, who took which duty, token
        self.stale_obeyed = 0
        drift = self.settings(names[0]).drift
        self.processes = {n: Process(self, n, 1 + self.chance.uniform(-drift, drift), disks) for n in names}
        self.disks = disks
        self.forgot = False  # so many have restarted without a disk that a state may be lost

    def settings(self, name: str) -> said.Settings:
        """The settings of a process."""
        return said.Settings(name, self.names, self.voters, self.duties, **self.figures)

    def start(self) -> None:
        """All at once."""
        for process in self.processes.values():
            process.start()

    def send(self, sender: str, to: str, items: tuple[said.Item, ...]) -> None:
        """A datagram on its way, which may be lost, come twice, or be passed by a later one."""
        self.datagrams += 1
        self.items += len(items)
        network = self.network
        if (sender, to) in network.cut or self.ways.random() < network.loss:
            return
        boot = self.processes[to].boots
        for _ in range(2 if self.ways.random() < network.twice else 1):
            delay = self.ways.uniform(*network.delay)
            self.core.after(delay, self._deliver, sender, to, items, boot)

    def _deliver(self, sender: str, to: str, items: tuple[said.Item, ...], boot: int) -> None:
        process = self.processes[to]
        # what was sealed for a process before is not taken by the next
        if (sender, to) not in self.network.cut and process.boots == boot:
            process.post(said.MessagesReceived(sender, items))

    # What is judged

    def took(self, process: Process, duty: str, token: int, value: said.Value) -> None:
        """Somebody acts from now on."""
        self.history.append((self.core.now, process.name, duty, token))
        step = value[0] if value else 0
        if process.duties is not None and (holding := process.duties.holdings.get(duty)) is not None:
            self.forgot = self.forgot or holding.state_uncertain
        if step < self.lasting[duty] and not self.forgot:
            raise Broken(f"forgotten: {duty} goes on from step {step}, after {self.lasting[duty]}")
        if next(d.orders for d in self.duties if d.name == duty):
            self.core.after(PAUSE, process.claim, duty, step + 1, token, process.boots)

    def settled(self, process: Process, duty: str, token: int, number: int) -> None:
        """A claim will not be forgotten: now its step may be done."""
        claim = process.claims.get(duty)
        if claim is None or claim.token != token or number < claim.number or process.duties is None:
            return
        self.lasting[duty] = max(self.lasting[duty], claim.step)
        del process.claims[duty]
        if process.duties.acting_token(process.clock(), duty) == token:
            before = self.done.get((duty, claim.step))
            if before is not None and not self.forgot:
                raise Broken(f"done_twice: step {claim.step} of {duty} by {before} and {token}")
            self.done[duty, claim.step] = token
        self.core.after(PAUSE, process.claim, duty, claim.step + 1, token, process.boots)

    def obeys(self, process: Process, order: said.Obeys) -> None:
        """A member obeys from now on."""
        if order.token < self.highest[order.duty]:
            raise Broken(f"stale_obeyed: {process.name} obeys {order.token} after {self.highest[order.duty]}")
        self.highest[order.duty] = order.token

    def check(self) -> None:
        """Raises Broken. Leases and orders only end as time goes: a look after each event is enough."""
        self.events += 1
        if self.events % self.looks_every:
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
                raise Broken(f"two_hold: {' and '.join(acting)} act for {duty.name}")
            if len(tokens) > 1:
                raise Broken(f"two_obeyed: orders of {sorted(tokens)} for {duty.name}")

    def holder(self, duty: str) -> str:
        """Who acts for a duty at this moment of true time; empty: nobody."""
        for process in self.processes.values():
            if process.duties is not None and process.duties.acting_token(process.clock(), duty) is not None:
                return process.name
        return ""

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.core.run(self.core.now + seconds)

    def settle(self, within: float) -> float | None:
        """Seconds until all duties have somebody, or None if one has nobody within that time."""
        began = self.core.now
        while self.core.now < began + within:
            if all(self.holder(d.name) for d in self.duties):
                return self.core.now - began
            self.run(0.01)
        return None


TROUBLES = (
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


def trouble(world: World, chance: random.Random, longest: float) -> str:
    """Let one thing go wrong, and be well again after a while; answers with what it was."""
    what = chance.choice((*TROUBLES, "all") if world.disks else TROUBLES)
    names = list(world.names)
    holders = [h for d in world.duties if (h := world.holder(d.name))]
    name = chance.choice(holders) if holders and chance.random() < 0.6 else chance.choice(names)
    process, after, core = world.processes[name], chance.uniform(0.0, longest), world.core
    match what:
        case "kill":
            _kill(world, process)
            core.after(after, process.start)
        case "stop":
            process.stop()
            core.after(after, process.go_on)
        case "stop_cut":
            # it wakes with what came meanwhile, and nothing that it says then comes through
            process.stop()
            core.after(chance.uniform(0.2, 4.0), _go_on_alone, process, after)
        case "unwell":
            process.able = False
            process.post(said.AbilityReported(False))
            core.after(after, _well, process)
        case "move":
            if process.duties is not None and not process.stopped:
                for duty in world.duties:
                    if process.duties.acting_token(process.clock(), duty.name) is not None:
                        others = [n for n in (*duty.candidates(world.names), "") if n != name]
                        process.post(said.Move(duty.name, chance.choice(others)))
        case "all":
            for each in world.processes.values():
                each.kill()
                core.after(chance.uniform(0.0, after), each.start)
        case "lossy":
            world.network.loss, world.network.twice = chance.choice(((0.3, 0.0), (0.3, 0.3), (0.05, 0.5)))
            world.network.delay = chance.choice(((0.0005, 0.005), (0.0, 0.4), (0.0, 3.0)))
        case _:
            cut = cut_for(names, name, what, chance)
            world.network.cut |= cut
            core.after(after, world.network.cut.difference_update, cut)
    return f"{core.now - 1000:.2f} {what} {name}"


def _go_on_alone(process: Process, seconds: float) -> None:
    world = process.world
    cut = cut_for(list(world.names), process.name, "cut", world.chance)
    process.go_on()
    world.network.cut |= cut
    world.core.after(seconds, world.network.cut.difference_update, cut)


def _kill(world: World, process: Process) -> None:
    process.kill()
    if not world.disks:
        left = [p.duties for p in world.processes.values()]
        world.forgot = world.forgot or too_few_remember(left, world.settings(process.name))


def _well(process: Process) -> None:
    process.able = True
    process.post(said.AbilityReported(True))


def schedule(world: World, seconds: float, longest: float = 5.0) -> list[str]:
    """Play a random schedule of troubles; answers with what happened. Raises Broken."""
    chance = world.core.stream("troubles")
    world.start()
    told, until = [], world.core.now + seconds
    while world.core.now < until:
        world.run(chance.expovariate(0.8))
        told.append(trouble(world, chance, longest))
    return told


def well_again(world: World) -> None:
    """The end of all troubles."""
    world.network.cut.clear()
    world.network.loss = world.network.twice = 0.0
    world.network.delay = (0.0005, 0.005)
    for process in world.processes.values():
        if process.stopped:
            process.go_on()
        process.start()
        if not process.able:
            _well(process)
