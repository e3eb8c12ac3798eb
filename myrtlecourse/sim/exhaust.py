"""Every schedule of a small world of duties with so many troubles, on the real code; with state hashing.

The usual schedule delivers the oldest message first and lets time pass when none is under way. A deviation is
one trouble: a message is delivered before older ones, held for long, or lost; a timer fires before messages
that have come; a process crashes and starts again, stands still, or is cut off. All schedules with at most so
many deviations, each before any of the first steps, are played to the end (delay-bounded scheduling; Emmi,
Qadeer and Rakamaric, 2011). States that were seen with as many deviations left are not gone into again.
"""

from __future__ import annotations

import hashlib
import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.core import Duties
from myrtlecourse.sim.duties import Broken, Make, too_few_remember

STEP = 0.001  # seconds that a message takes, and a step at least


class Middle:
    """In place of random numbers: the middle of each range, so that schedules alone tell runs apart."""

    def random(self) -> float:
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def getrandbits(self, bits: int) -> int:
        return 1 << bits - 1


@dataclass(slots=True)
class Node:
    """A process."""

    name: str
    rate: float
    duties: Duties | None = None
    saved: dict[str, said.Memory] | None = None
    boots: int = 0
    wake: float = float("inf")  # true time
    until: float = 0.0  # it stands still, or is cut off, or dead, until then
    trouble: str = ""
    claims: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # token, step, number of the order


@dataclass(slots=True)
class Letter:
    """A message under way."""

    sender: str
    to: str
    boot: int
    items: tuple[said.Item, ...]
    held_until: float = 0.0


class Small:
    """A state of the world; pickled to be copied."""

    def __init__(self, settings: said.Settings, make: Make, disks: bool) -> None:
        self.settings = settings
        self.make = make
        self.disks = disks
        self.now = 1.0
        rates = [1 + settings.drift, 1 - settings.drift, 1.0]
        self.nodes = {n: Node(n, rates[i % 3]) for i, n in enumerate(settings.members)}
        self.letters: list[Letter] = []
        self.highest = {d.name: 0 for d in settings.duties}
        self.done: dict[tuple[str, int], int] = {}
        self.lasting = {d.name: 0 for d in settings.duties}
        self.forgot = False
        self.owners: dict[tuple[str, int], tuple[str, int]] = {}
        for node in self.nodes.values():
            self.start(node)

    def clock(self, node: Node) -> float:
        """A process's own clock."""
        return 100.0 + node.rate * self.now

    def start(self, node: Node) -> None:
        """A new process."""
        node.boots += 1
        own = said.Settings(
            **{f: getattr(self.settings, f) for f in said.Settings.__slots__ if f != "name"}, name=node.name
        )
        seed = 10 * node.boots + list(self.nodes).index(node.name)
        saved, floor = node.saved if self.disks else None, int(10 * self.now)
        node.duties = self.make(own, saved, self.clock(node), seed, floor)
        middle: Any = Middle()
        for election in node.duties.elections.values():
            election.random = middle
        self.post(node, said.AbilityReported(True))

    def post(self, node: Node, event: said.Event) -> None:
        """An event for a process."""
        if node.duties is None:
            return
        for action in node.duties.handle(self.clock(node), event):
            self._carry_out(node, action)

    def _carry_out(self, node: Node, action: said.Action) -> None:
        match action:
            case said.Save(memories):
                node.saved = dict(memories)
            case said.Send(to, items):
                self.letters.append(Letter(node.name, to, self.nodes[to].boots, items))
            case said.SetTimer(at):
                node.wake = max(self.now + STEP, (at - 100.0) / node.rate)
            case said.Acquired(duty, token, value):
                self._took(node, duty, token, value)
            case said.Lost(duty):
                node.claims.pop(duty, None)
            case said.Committed(duty, token, number):
                self._settled(node, duty, token, number)
            case said.Obeys(duty, _, token):
                if token < self.highest[duty]:
                    raise Broken(f"stale_obeyed: {node.name} obeys {token} after {self.highest[duty]}")
                self.highest[duty] = token

    def _took(self, node: Node, duty: str, token: int, value: said.Value) -> None:
        owner = self.owners.setdefault((duty, token), (node.name, node.boots))
        if owner != (node.name, node.boots):
            raise Broken(f"token_twice: {token} of {duty} is that of {owner[0]} and {node.name}")
        step = value[0] if value else 0
        if step < self.lasting[duty] and not self.forgot:
            raise Broken(f"forgotten: {duty} goes on from step {step}, after {self.lasting[duty]}")
        assert node.duties is not None
        if duty in node.duties.holdings:
            node.claims[duty] = token, step + 1, node.duties.holdings[duty].number + 1
            self.post(node, said.SetState(duty, (step + 1,)))

    def _settled(self, node: Node, duty: str, token: int, number: int) -> None:
        claim = node.claims.get(duty)
        if claim is None or claim[0] != token or number < claim[2] or node.duties is None:
            return
        del node.claims[duty]
        self.lasting[duty] = max(self.lasting[duty], claim[1])
        if node.duties.acting_token(self.clock(node), duty) == token:
            before = self.done.setdefault((duty, claim[1]), token)
            if before != token and not self.forgot:
                raise Broken(f"done_twice: step {claim[1]} of {duty} by {before} and {token}")

    # Steps

    def parted(self, letter: Letter) -> bool:
        """Whether a cut lies between."""
        return "cut" in (self.nodes[letter.sender].trouble, self.nodes[letter.to].trouble)

    def ready(self) -> list[int]:
        """Letters that may be delivered, the oldest first."""
        return [
            i
            for i, letter in enumerate(self.letters)
            if letter.held_until <= self.now and self.nodes[letter.to].trouble != "stop"
        ]

    def deliver(self, i: int) -> None:
        """One letter comes."""
        letter = self.letters.pop(i)
        node = self.nodes[letter.to]
        if node.duties is not None and node.boots == letter.boot and not self.parted(letter):
            self.post(node, said.MessagesReceived(letter.sender, letter.items))

    def pass_time(self) -> None:
        """On to the next timer, the end of a trouble or of a message's way."""
        due = [(n.wake, "wake", n.name) for n in self.nodes.values() if n.duties and n.trouble != "stop"]
        due += [(n.until, "end", n.name) for n in self.nodes.values() if n.trouble]
        due += [(letter.held_until, "", "") for letter in self.letters if letter.held_until > self.now]
        at, what, name = min(due)
        self.now = max(self.now + STEP, at)
        if what == "end":
            self.mend(self.nodes[name])
        elif what == "wake":
            self.post(self.nodes[name], said.TimerFired())

    def mend(self, node: Node) -> None:
        """A trouble is over."""
        trouble, node.trouble = node.trouble, ""
        if trouble == "crash":
            self.start(node)
        elif trouble == "stop":
            self.post(node, said.TimerFired())

    def hurt(self, node: Node, trouble: str, seconds: float) -> None:
        """A trouble begins."""
        node.trouble, node.until = trouble, self.now + seconds
        if trouble == "crash":
            node.duties = None
            node.claims.clear()
            node.wake = float("inf")
            if not self.disks:
                self.forgot = self.forgot or too_few_remember(
                    [n.duties for n in self.nodes.values()], self.settings
                )

    def check(self) -> None:
        """Raises Broken."""
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
                raise Broken(f"two_obeyed: {acting} act for {duty.name}, {sorted(tokens)} are obeyed")

    def usual(self) -> None:
        """What happens when nothing goes wrong."""
        ready = self.ready()
        if ready:
            self.now += STEP
            self.deliver(ready[0])
        else:
            self.pass_time()
        self.check()

    def deviations(self) -> Iterator[tuple[Any, ...]]:
        """What may go wrong now."""
        ready = self.ready()
        lease = self.settings.lease
        if ready:
            yield ("wait",)
            yield "lose", ready[0]
            yield "hold", ready[0], 1.2 * lease
            yield "hold", ready[0], 2.5 * lease
            for i in ready[1:4]:
                yield "first", i
        for node in self.nodes.values():
            if not node.trouble and node.duties is not None:
                yield "stop", node.name, 0.6 * lease
                yield "stop", node.name, 2.5 * lease
                yield "cut", node.name, 1.6 * lease
                yield "crash", node.name, 0.1 * lease
                yield "crash", node.name, 1.6 * lease

    def deviate(self, what: tuple[Any, ...]) -> None:
        """Let it go wrong."""
        match what:
            case ("wait",):
                self.pass_time()
            case ("lose", i):
                self.letters.pop(i)
            case ("hold", i, seconds):
                self.letters[i].held_until = self.now + seconds
            case ("first", i):
                self.now += STEP
                self.deliver(i)
            case (trouble, name, seconds):
                self.hurt(self.nodes[name], trouble, seconds)
        self.check()


@dataclass
class Found:
    """What an exhaustive look came to."""

    states: int = 0  # different ones
    schedules: int = 0
    broken: str = ""
    path: tuple[Any, ...] = ()  # the deviations that lead there: after how many steps, which

    @property
    def kept(self) -> bool:
        return not self.broken


def explore(
    settings: said.Settings,
    make: Make = Duties,
    disks: bool = True,
    deviations: int = 1,
    first: int = 60,
    steps: int = 150,
    most: int = 10_000_000,
    skip: int = 0,
) -> Found:
    """Play all schedules with so many deviations among the `first` steps, each of them `steps` long.

    Begins so many steps (`skip`) after each duty has its holder. `most` bounds the states.
    """
    world = Small(settings, make, disks)
    for _ in range(3000):
        world.usual()
        if (
            all(
                any(n.duties and n.duties.acting_token(world.clock(n), d.name) for n in world.nodes.values())
                for d in settings.duties
            )
            and not world.letters
        ):
            break
    for _ in range(skip):
        world.usual()
    found, seen = Found(), dict[bytes, int]()
    stack: list[tuple[int, int, bytes, tuple[Any, ...]]] = [(0, 0, pickle.dumps(world), ())]
    while stack and found.states < most:
        used, step, packed, path = stack.pop()
        state: Small = pickle.loads(packed)
        found.schedules += 1
        try:
            for at in range(step, steps):
                if used < deviations and at < first:
                    packed = pickle.dumps(state)
                    key = hashlib.blake2b(packed, digest_size=12).digest()
                    if seen.get(key, -1) >= deviations - used:
                        break
                    seen[key] = deviations - used
                    found.states += 1
                    for what in state.deviations():
                        other: Small = pickle.loads(packed)
                        try:
                            other.deviate(what)
                        except Broken:
                            path = (*path, (at, *what))
                            raise
                        stack.append((used + 1, at + 1, pickle.dumps(other), (*path, (at, *what))))
                else:
                    found.states += 1
                state.usual()
        except Broken as e:
            found.broken, found.path = str(e), path
            break
    return found
