"""A small fleet of spread nodes over a network that loses, copies, delays and cuts, on a fake clock.

Time is true time; each process has a clock of its own. What `peers/wire.py` drops is dropped here too: words
to and from processes that are over.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from myrtlecourse.peers.seal import SEAL_SIZE
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.codec import SpreadCodec, room
from myrtlecourse.spread.messages import Change, Entry, Heard, Purge, Settings, Site
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.tree import Tree

CONTROLS = ("c1", "c2", "c3")
SITES = (
    Site("s1", "r", tuple(f"a{i}" for i in range(6)), ("p1", "p2")),
    Site("s2", "r", tuple(f"b{i}" for i in range(5)), ("p3",)),
)
SETTINGS = Settings("c1", CONTROLS, SITES, budget=12_000.0, control_budget=40_000.0, rate=50.0)
CODEC = SpreadCodec()


def entry_at(number: int, subjects: int = 5) -> Entry:
    """What the log has under a number: each fourth is a change."""
    key = number.to_bytes(8, "big")
    if number % 4:
        return Purge(key)
    return Change((number % subjects * 37 % 256).to_bytes(1, "big") * 8, key)


@dataclass
class Process:
    """One process of a member."""

    node: Node
    born: float  # true time
    rate: float  # seconds of its clock in one of true time
    started: int  # which process of the member it is
    wakes: int = 0  # number of the last `Wake`
    told: bool = False  # the last `Vouches`
    applied: dict[int, Entry] = field(default_factory=dict)
    forgotten: list[tuple[int, int]] = field(default_factory=list)
    table: dict[bytes, tuple[int, Change]] = field(default_factory=dict)
    restored: int = 0
    top: int = 0  # the highest number that was applied or forgotten

    def follows(self, first: int) -> bool:
        """Whether this number goes on in a lane, or begins one above all others."""
        before = first - 1
        known = not before or before in self.applied or any(f <= before <= t for f, t in self.forgotten)
        return known or first > self.top

    def now(self, at: float) -> float:
        return 100.0 + (at - self.born) * self.rate


class Broken(AssertionError):
    """A property does not hold."""


@dataclass
class Trouble:
    """What the network does."""

    loss: float = 0.0
    copies: float = 0.0
    delay: float = 0.02  # seconds, each datagram's own: so they pass one another
    slow: float = 0.0  # share of datagrams that take up to a second more
    far: frozenset[str] = frozenset()  # members
    more: float = 0.0  # seconds that a datagram from others to these takes more


class World:
    """All processes, the datagrams under way, and the log."""

    def __init__(
        self, seed: int, settings: Settings = SETTINGS, trouble: Trouble | None = None, drift: float = 0.02
    ) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.trouble = trouble or Trouble()
        self.drift = drift
        self.at = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.processes: dict[str, Process] = {}
        self.starts: dict[str, int] = defaultdict(int)
        self.cut: set[str] = set()  # those on the far side
        self.log = 0
        self.root = ""
        self.epoch = 0
        self.done: list[tuple[float, said.Done]] = []
        self.most_done = 0
        self.words: Counter[type] = Counter()  # that were sent
        self.sent: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)  # by process
        self.members = (*settings.control, *(m for s in settings.sites for m in (*s.routers, *s.parts)))
        for name in self.members:
            self.start(name)

    # What happens

    def later(self, after: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.at + after, next(self.order), what))

    def start(self, name: str) -> None:
        """A member's process begins, or begins again with nothing."""
        self.starts[name] += 1
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        settings = replace(self.settings, name=name)
        process = Process(
            Node(settings, 100.0, self.random.getrandbits(32)), self.at, rate, self.starts[name]
        )
        self.processes[name] = process
        self.give(name, said.Woke())
        if name in self.settings.control:
            if self.log:
                self.settle(name, 1, self.log)
            if self.root:
                self.give(name, said.Root(self.epoch, self.root))

    def stop(self, name: str) -> None:
        self.processes.pop(name, None)

    def elect(self, name: str) -> None:
        """Another holds the duty; the one before knows it first, as its lease was over before."""
        self.epoch += 1
        before, self.root = self.root, name
        if before in self.processes and before != name:
            self.give(before, said.Root(self.epoch, ""))
        for control in self.settings.control:
            if control in self.processes:
                self.later(0.0 if control == name else self.random.random() * 0.3, self._tell_root(control))

    def _tell_root(self, control: str) -> Callable[[], None]:
        epoch, root = self.epoch, self.root

        def tell() -> None:
            if control in self.processes and epoch == self.epoch:
                self.give(control, said.Root(epoch, root))

        return tell

    def settle(self, control: str, first: int, last: int) -> None:
        if control in self.processes:
            entries = tuple(entry_at(n) for n in range(first, last + 1))
            self.give(control, said.Settled(self.epoch, first, entries))

    def write(self, count: int) -> None:
        """So many entries more last, and the control machines' heads know it."""
        first, self.log = self.log + 1, self.log + count
        for control in self.settings.control:
            process = self.processes.get(control)
            if process is not None:
                self.settle(control, first, self.log)

    def give(self, name: str, event: said.Event) -> None:
        process = self.processes[name]
        actions = process.node.handle(process.now(self.at), event)
        if sum(isinstance(a, said.Wake) for a in actions) != 1 or not isinstance(actions[-1], said.Wake):
            raise Broken("one Wake, at the end")
        for action in actions:
            self._act(name, process, action)
        self.check_bounds(name, process)

    def _act(self, name: str, process: Process, action: said.Action) -> None:
        match action:
            case said.Say(to, words):
                self._send(name, process, to, words)
            case said.Apply(first, entries):
                self._apply(name, process, first, entries)
            case said.Restore(number, change):
                if change != entry_at(number):
                    raise Broken(f"{name} restores another {number}")
                process.restored += 1
                self._hold(process, number, change)
            case said.Forget(first, last):
                process.forgotten.append((first, last))
                process.top = max(process.top, last)
            case said.Vouches(may):
                process.told = may
            case said.Done():
                self.done.append((self.at, action))
                self.most_done = max(self.most_done, action.number)
                self.check_done(action.number)
            case said.Wake(at):
                process.wakes += 1
                if at < math.inf:
                    self._wake(name, process, process.wakes, at)

    def _apply(self, name: str, process: Process, first: int, entries: tuple[Entry, ...]) -> None:
        if not process.follows(first):
            raise Broken(f"{name} applies {first} out of its turn: {self.status(name)}")
        for number, entry in enumerate(entries, first):
            if number in process.applied:
                raise Broken(f"{name} applies {number} twice")
            if entry != entry_at(number):
                raise Broken(f"{name} applies another {number}")
            process.applied[number] = entry
            process.top = max(process.top, number)
            if isinstance(entry, Change):
                self._hold(process, number, entry)

    @staticmethod
    def _hold(process: Process, number: int, change: Change) -> None:
        if process.table.get(change.subject, (0, change))[0] < number:
            process.table[change.subject] = number, change

    def _wake(self, name: str, process: Process, number: int, at: float) -> None:
        def wake() -> None:
            if self.processes.get(name) is process and process.wakes == number:
                self.give(name, said.Woke())

        self.later(max(0.0, (at - process.now(self.at)) / process.rate) + 1e-6, wake)

    def _send(self, name: str, process: Process, to: str, words: tuple[said.Word, ...]) -> None:
        size = CODEC.size(words)
        if size > room(name):
            raise Broken(f"{name} says {size} bytes at once")
        self.sent[name, process.started].append(
            (process.now(self.at), SEAL_SIZE + HEADER_SIZE + len(name) + size)
        )
        words = CODEC.read(CODEC.parts(words))
        self.words.update(type(word) for word in words)
        if self.random.random() < self.trouble.loss or (name in self.cut) != (to in self.cut):
            return
        receiver = self.processes.get(to)

        def arrive() -> None:
            # the wire takes nothing of or for a process that is over
            taken = receiver is not None and self.processes.get(to) is receiver
            if taken and self.processes.get(name, process) is process:
                self.give(to, Heard(name, words))

        for _ in range(1 + (self.random.random() < self.trouble.copies)):
            delay = self.trouble.delay * (0.2 + 0.8 * self.random.random())
            if self.random.random() < self.trouble.slow:
                delay += self.random.random()
            if to in self.trouble.far and name not in self.trouble.far:
                delay += self.trouble.more
            self.later(delay, arrive)

    # What must hold

    def check_done(self, number: int) -> None:
        """Guards the word `done`: no member that vouches for itself at this moment lacks any of it."""
        for name, process in self.processes.items():
            if process.node.vouches(process.now(self.at)) and process.node.have < number:
                raise Broken(f"{name} vouches with {process.node.have}, {number} is said to be done")

    def check_bounds(self, name: str, process: Process) -> None:
        """Guards a process's memory, after each event that it is given: nothing else changes its state."""
        node = process.node
        if len(node.lanes.ranges) > 8:
            raise Broken(f"{name} has {len(node.lanes.ranges)} lanes")
        if len(node.children.all) > node.tree.children_bound(name):
            raise Broken(f"{name} has {len(node.children.all)} children")
        if len(node.serving.wants) > node.serving.bound or len(node.tail.blocks) > node.tail.most / 256 + 3:
            raise Broken(f"{name} keeps too much")

    def check_bytes(self) -> None:
        """Guards the budget in each second of each process, by its clock: that of the member's next one
        begins anew."""
        for (name, _), sent in self.sent.items():
            budget = self.settings.control_budget if name in self.settings.control else self.settings.budget
            start = spent = 0
            for at, size in sent:
                spent += size
                while sent[start][0] < at - 1.0:
                    spent -= sent[start][1]
                    start += 1
                if spent > budget:
                    raise Broken(f"{name} sends {spent} bytes in a second")

    def run(self, seconds: float, write: int = 0, every: float = 0.1) -> None:
        """Let time pass, with so many entries written each so many seconds."""
        end = self.at + seconds
        if write:

            def more() -> None:
                self.write(write)
                if self.at + every < end:
                    self.later(every, more)

            self.later(every, more)
        while self.events and self.events[0][0] <= end:
            self.at, _, what = heapq.heappop(self.events)
            what()
            self.check_done(self.most_done)
        self.at = end

    def check_all_same(self) -> None:
        """After all was well for long enough."""
        expected: dict[bytes, tuple[int, Change]] = {}
        for number in range(1, self.log + 1):
            entry = entry_at(number)
            if isinstance(entry, Change):
                expected[entry.subject] = number, entry
        for name, process in self.processes.items():
            forgotten = {n for first, last in process.forgotten for n in range(first, last + 1)}
            missing = set(range(1, self.log + 1)) - set(process.applied) - forgotten
            if missing or process.node.have != self.log:
                raise Broken(f"{name} lacks {sorted(missing)[:5]}: {self.status(name)}")
            if process.table != expected:
                raise Broken(f"{name} has another table")
            if not process.node.vouches(process.now(self.at)) or not process.told:
                raise Broken(f"{name} does not vouch: {self.status(name)}")
        if self.done[-1][1].number != self.log or self.done[-1][1].members != len(self.processes):
            raise Broken(f"done is {self.done[-1]}, of {self.log}: {self.status(self.root)}")

    def status(self, name: str) -> dict[str, Any]:
        process = self.processes[name]
        return process.node.status(process.now(self.at))


def tiers(settings: Settings = SETTINGS) -> dict[int, list[str]]:
    tree = Tree(settings)
    found: dict[int, list[str]] = defaultdict(list)
    for site in settings.sites:
        for name in (*site.routers, *site.parts):
            found[tree.tier(name)].append(name)
    return found
