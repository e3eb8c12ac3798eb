"""Exhaustive exploration of the schedules of a small system of duties, on the real code, with state hashing.

The default schedule delivers the oldest message first and advances the time when none is in transit. A
deviation is one fault: a message is delivered before older ones, delayed for long, or lost; a timer fires
before messages that have arrived; or a process crashes and restarts, is stopped, or is cut off. All schedules
with a limited number of deviations, each before a given step, are run to the end (delay-bounded scheduling;
Emmi, Qadeer and Rakamaric, 2011). States that were already seen with as many deviations remaining are not
explored again.
"""

from __future__ import annotations

import hashlib
import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from myrtlecourse.duties import messages
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.duties import MakeDuties, RuleViolation, too_few_memories

STEP = 0.001  # seconds that a message takes, and the shortest time that a step takes


class MidRangeRandom:
    """Replaces random numbers by the middle of each range, so that runs differ only by their schedules."""

    def random(self) -> float:
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def getrandbits(self, bits: int) -> int:
        return 1 << bits - 1


@dataclass(slots=True)
class Node:
    """A process with its clock, its memory and its current fault."""

    name: str
    rate: float
    duties: Duties | None = None
    saved: dict[str, messages.Memory] | None = None
    boots: int = 0
    wake: float = float("inf")  # true time of its next timer
    fault_until: float = 0.0  # true time at which its fault ends
    fault: str = ""
    # duty -> token, step, and number of the order that claims the step
    claims: dict[str, tuple[int, int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class PendingMessage:
    """A message in transit."""

    sender: str
    to: str
    boot: int
    items: tuple[messages.Item, ...]
    held_until: float = 0.0


class ModelState:
    """A state of the whole system, which is copied by pickling."""

    def __init__(self, settings: messages.Settings, make_duties: MakeDuties, disks: bool) -> None:
        self.settings = settings
        self.make_duties = make_duties
        self.disks = disks
        self.now = 1.0
        rates = [1 + settings.drift, 1 - settings.drift, 1.0]
        self.nodes = {n: Node(n, rates[i % 3]) for i, n in enumerate(settings.members)}
        self.pending: list[PendingMessage] = []
        self.highest_token = {d.name: 0 for d in settings.duties}
        self.steps_done: dict[tuple[str, int], int] = {}
        self.committed_steps = {d.name: 0 for d in settings.duties}
        self.memory_lost = False
        self.token_owners: dict[tuple[str, int], tuple[str, int]] = {}
        for node in self.nodes.values():
            self.start(node)

    def clock(self, node: Node) -> float:
        """Return the time on a process's own clock."""
        return 100.0 + node.rate * self.now

    def start(self, node: Node) -> None:
        """Start a new process."""
        node.boots += 1
        own_settings = messages.Settings(
            **{f: getattr(self.settings, f) for f in messages.Settings.__slots__ if f != "name"},
            name=node.name,
        )
        seed = 10 * node.boots + list(self.nodes).index(node.name)
        saved, floor = node.saved if self.disks else None, int(10 * self.now)
        node.duties = self.make_duties(own_settings, saved, self.clock(node), seed, floor)
        mid_range: Any = MidRangeRandom()
        for election in node.duties.elections.values():
            election.random = mid_range
        self.post(node, messages.AbilityReported(True))

    def post(self, node: Node, event: messages.Event) -> None:
        """Pass an event to a process and carries out its actions."""
        if node.duties is None:
            return
        for action in node.duties.handle(self.clock(node), event):
            self._carry_out(node, action)

    def _carry_out(self, node: Node, action: messages.Action) -> None:
        match action:
            case messages.Save(memories):
                node.saved = dict(memories)
            case messages.Send(to, items):
                self.pending.append(PendingMessage(node.name, to, self.nodes[to].boots, items))
            case messages.SetTimer(at):
                node.wake = max(self.now + STEP, (at - 100.0) / node.rate)
            case messages.Acquired(duty, token, value):
                self._on_acquired(node, duty, token, value)
            case messages.Lost(duty):
                node.claims.pop(duty, None)
            case messages.Committed(duty, token, number):
                self._on_committed(node, duty, token, number)
            case messages.Obeys(duty, _, token):
                if token < self.highest_token[duty]:
                    raise RuleViolation(
                        f"stale_obeyed: {node.name} obeys {token} after {self.highest_token[duty]}"
                    )
                self.highest_token[duty] = token

    def _on_acquired(self, node: Node, duty: str, token: int, value: messages.Value) -> None:
        owner = self.token_owners.setdefault((duty, token), (node.name, node.boots))
        if owner != (node.name, node.boots):
            raise RuleViolation(f"token_twice: {token} of {duty} is that of {owner[0]} and {node.name}")
        step = value[0] if value else 0
        if step < self.committed_steps[duty] and not self.memory_lost:
            raise RuleViolation(
                f"forgotten: {duty} goes on from step {step}, after {self.committed_steps[duty]}"
            )
        assert node.duties is not None
        if duty in node.duties.holdings:
            node.claims[duty] = token, step + 1, node.duties.holdings[duty].number + 1
            self.post(node, messages.SetState(duty, (step + 1,)))

    def _on_committed(self, node: Node, duty: str, token: int, number: int) -> None:
        claim = node.claims.get(duty)
        if claim is None or claim[0] != token or number < claim[2] or node.duties is None:
            return
        del node.claims[duty]
        self.committed_steps[duty] = max(self.committed_steps[duty], claim[1])
        if node.duties.acting_token(self.clock(node), duty) == token:
            earlier_token = self.steps_done.setdefault((duty, claim[1]), token)
            if earlier_token != token and not self.memory_lost:
                raise RuleViolation(f"done_twice: step {claim[1]} of {duty} by {earlier_token} and {token}")

    # Steps

    def is_cut(self, message: PendingMessage) -> bool:
        """Return whether the sender or the receiver of a message is cut off."""
        return "cut" in (self.nodes[message.sender].fault, self.nodes[message.to].fault)

    def deliverable(self) -> list[int]:
        """Return the indices of the messages that may be delivered, the oldest first."""
        return [
            i
            for i, message in enumerate(self.pending)
            if message.held_until <= self.now and self.nodes[message.to].fault != "stop"
        ]

    def deliver(self, i: int) -> None:
        """Deliver one message."""
        message = self.pending.pop(i)
        node = self.nodes[message.to]
        if node.duties is not None and node.boots == message.boot and not self.is_cut(message):
            self.post(node, messages.MessagesReceived(message.sender, message.items))

    def advance_time(self) -> None:
        """Advance the time to the next timer, end of a fault, or end of a delay."""
        due = [(n.wake, "wake", n.name) for n in self.nodes.values() if n.duties and n.fault != "stop"]
        due += [(n.fault_until, "end", n.name) for n in self.nodes.values() if n.fault]
        due += [(message.held_until, "", "") for message in self.pending if message.held_until > self.now]
        at, deviation, name = min(due)
        self.now = max(self.now + STEP, at)
        if deviation == "end":
            self.end_fault(self.nodes[name])
        elif deviation == "wake":
            self.post(self.nodes[name], messages.TimerFired())

    def end_fault(self, node: Node) -> None:
        """End a process's fault."""
        fault, node.fault = node.fault, ""
        if fault == "crash":
            self.start(node)
        elif fault == "stop":
            self.post(node, messages.TimerFired())

    def start_fault(self, node: Node, fault: str, seconds: float) -> None:
        """Start a fault of a process that lasts some seconds."""
        node.fault, node.fault_until = fault, self.now + seconds
        if fault == "crash":
            node.duties = None
            node.claims.clear()
            node.wake = float("inf")
            if not self.disks:
                self.memory_lost = self.memory_lost or too_few_memories(
                    [n.duties for n in self.nodes.values()], self.settings
                )

    def check(self) -> None:
        """Check that no two holders act or are obeyed. Raises RuleViolation."""
        for duty in self.settings.duties:
            acting, tokens = [], set()
            for node in self.nodes.values():
                if node.duties is not None:
                    now = self.clock(node)
                    if node.duties.acting_token(now, duty.name) is not None:
                        acting.append(node.name)
                    if (obeyed := node.duties.order_in_force(now, duty.name)) is not None:
                        tokens.add(obeyed.token)
            if len(acting) > 1 or len(tokens) > 1:
                raise RuleViolation(f"two_obeyed: {acting} act for {duty.name}, {sorted(tokens)} are obeyed")

    def default_step(self) -> None:
        """Take the next step of the default schedule."""
        deliverable = self.deliverable()
        if deliverable:
            self.now += STEP
            self.deliver(deliverable[0])
        else:
            self.advance_time()
        self.check()

    def deviations(self) -> Iterator[tuple[Any, ...]]:
        """Yield the deviations that are possible now."""
        deliverable = self.deliverable()
        lease = self.settings.lease
        if deliverable:
            yield ("wait",)
            yield "lose", deliverable[0]
            yield "hold", deliverable[0], 1.2 * lease
            yield "hold", deliverable[0], 2.5 * lease
            for i in deliverable[1:4]:
                yield "first", i
        for node in self.nodes.values():
            if not node.fault and node.duties is not None:
                yield "stop", node.name, 0.6 * lease
                yield "stop", node.name, 2.5 * lease
                yield "cut", node.name, 1.6 * lease
                yield "crash", node.name, 0.1 * lease
                yield "crash", node.name, 1.6 * lease

    def apply(self, deviation: tuple[Any, ...]) -> None:
        """Apply a deviation."""
        match deviation:
            case ("wait",):
                self.advance_time()
            case ("lose", i):
                self.pending.pop(i)
            case ("hold", i, seconds):
                self.pending[i].held_until = self.now + seconds
            case ("first", i):
                self.now += STEP
                self.deliver(i)
            case (fault, name, seconds):
                self.start_fault(self.nodes[name], fault, seconds)
        self.check()


@dataclass
class Exploration:
    """The result of an exploration."""

    states: int = 0  # visited states, without those that hashing skipped
    schedules: int = 0
    broken: str = ""
    # the deviations that lead to the violation, each with the step before which it happens
    path: tuple[Any, ...] = ()

    @property
    def kept(self) -> bool:
        """Whether no rule was violated."""
        return not self.broken


def explore(
    settings: messages.Settings,
    make_duties: MakeDuties = Duties,
    disks: bool = True,
    deviations: int = 1,
    deviations_before: int = 60,
    steps: int = 150,
    max_states: int = 10_000_000,
    skip: int = 0,
) -> Exploration:
    """Run all schedules with at most `deviations` deviations, for `steps` steps each.

    Deviations happen before step `deviations_before`. The exploration starts `skip` steps after each duty has
    got a holder; `max_states` limits the number of states.
    """
    state_at_start = ModelState(settings, make_duties, disks)
    for _ in range(3000):
        state_at_start.default_step()
        if (
            all(
                any(
                    n.duties and n.duties.acting_token(state_at_start.clock(n), d.name)
                    for n in state_at_start.nodes.values()
                )
                for d in settings.duties
            )
            and not state_at_start.pending
        ):
            break
    for _ in range(skip):
        state_at_start.default_step()
    result, seen = Exploration(), dict[bytes, int]()
    stack: list[tuple[int, int, bytes, tuple[Any, ...]]] = [(0, 0, pickle.dumps(state_at_start), ())]
    while stack and result.states < max_states:
        deviations_used, step, packed, path = stack.pop()
        state: ModelState = pickle.loads(packed)
        result.schedules += 1
        try:
            for at in range(step, steps):
                if deviations_used < deviations and at < deviations_before:
                    packed = pickle.dumps(state)
                    key = hashlib.blake2b(packed, digest_size=12).digest()
                    if seen.get(key, -1) >= deviations - deviations_used:
                        break
                    seen[key] = deviations - deviations_used
                    result.states += 1
                    for deviation in state.deviations():
                        varied_state: ModelState = pickle.loads(packed)
                        try:
                            varied_state.apply(deviation)
                        except RuleViolation:
                            path = (*path, (at, *deviation))
                            raise
                        stack.append(
                            (
                                deviations_used + 1,
                                at + 1,
                                pickle.dumps(varied_state),
                                (*path, (at, *deviation)),
                            )
                        )
                else:
                    result.states += 1
                state.default_step()
        except RuleViolation as e:
            result.broken, result.path = str(e), path
            break
    return result
