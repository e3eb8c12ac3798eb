"""A small fleet of tree nodes with virtual time, over a network that loses, duplicates, delays and
partitions.

Time is true time; each process has a clock of its own. As in `peers/wire.py`, messages from and to processes
that have ended are dropped.
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
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.codec import SpreadCodec, max_payload
from myrtlecourse.spread.messages import Change, Entry, Purge, Received, Settings, Site
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
    """Return the log entry with a number; every fourth one is a change."""
    key = number.to_bytes(8, "big")
    if number % 4:
        return Purge(key)
    return Change((number % subjects * 37 % 256).to_bytes(1, "big") * 8, key)


@dataclass
class Process:
    """One process of a member."""

    node: Node
    started_at: float  # true time
    rate: float  # seconds of its clock per second of true time
    ordinal: int  # ordinal of the process among the member's processes
    wakes: int = 0  # number of the last `SetTimer`
    lease_valid: bool = False  # the last `LeaseChanged`
    applied: dict[int, Entry] = field(default_factory=dict)
    purged: list[tuple[int, int]] = field(default_factory=list)
    table: dict[bytes, tuple[int, Change]] = field(default_factory=dict)
    restored: int = 0
    top: int = 0  # the highest number that was applied or assumed purged

    def follows(self, first: int) -> bool:
        """Return whether this number extends a range of applied numbers, or begins one above all others."""
        before = first - 1
        known = not before or before in self.applied or any(f <= before <= t for f, t in self.purged)
        return known or first > self.top

    def now(self, at: float) -> float:
        return 100.0 + (at - self.started_at) * self.rate


class Broken(AssertionError):
    """Raised when a property is violated."""


@dataclass
class NetworkFaults:
    """The faults of the network."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay: float = 0.02  # seconds, drawn per datagram, so datagrams overtake each other
    slow: float = 0.0  # share of datagrams that take up to a second longer
    distant: frozenset[str] = frozenset()  # members of a distant site
    extra_delay: float = 0.0  # additional seconds for a datagram from other members to these


class Simulation:
    """All processes, the datagrams in flight, and the log."""

    def __init__(
        self,
        seed: int,
        settings: Settings = SETTINGS,
        faults: NetworkFaults | None = None,
        drift: float = 0.02,
    ) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.faults = faults or NetworkFaults()
        self.drift = drift
        self.time = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.processes: dict[str, Process] = {}
        self.starts: dict[str, int] = defaultdict(int)
        self.partition: set[str] = set()  # members on the other side of a partition
        self.log_end = 0
        self.root = ""
        self.epoch = 0
        self.watermarks: list[tuple[float, msg.Watermark]] = []
        self.highest_watermark = 0
        self.message_counts: Counter[type] = Counter()  # number of sent messages by type
        # by process: the time and size of each datagram
        self.sent: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        self.members = (*settings.control, *(m for s in settings.sites for m in (*s.routers, *s.parts)))
        for name in self.members:
            self.start(name)

    # Events

    def schedule(self, after: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.time + after, next(self.order), what))

    def start(self, name: str) -> None:
        """Start a member's process, which has no state of earlier ones."""
        self.starts[name] += 1
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        settings = replace(self.settings, name=name)
        process = Process(
            Node(settings, 100.0, self.random.getrandbits(32)), self.time, rate, self.starts[name]
        )
        self.processes[name] = process
        self.post(name, msg.TimerFired())
        if name in self.settings.control:
            if self.log_end:
                self.commit(name, 1, self.log_end)
            if self.root:
                self.post(name, msg.Leadership(self.epoch, self.root))

    def stop(self, name: str) -> None:
        self.processes.pop(name, None)

    def elect(self, name: str) -> None:
        """Make another control node the leader. The former leader learns it first, because its lease has
        ended before."""
        self.epoch += 1
        before, self.root = self.root, name
        if before in self.processes and before != name:
            self.post(before, msg.Leadership(self.epoch, ""))
        for control in self.settings.control:
            if control in self.processes:
                self.schedule(
                    0.0 if control == name else self.random.random() * 0.3, self._tell_root(control)
                )

    def _tell_root(self, control: str) -> Callable[[], None]:
        epoch, leader = self.epoch, self.root

        def tell() -> None:
            if control in self.processes and epoch == self.epoch:
                self.post(control, msg.Leadership(epoch, leader))

        return tell

    def commit(self, control: str, first: int, last: int) -> None:
        if control in self.processes:
            entries = tuple(entry_at(n) for n in range(first, last + 1))
            self.post(control, msg.Committed(self.epoch, first, entries))

    def write(self, count: int) -> None:
        """Commit entries and report them to all control nodes."""
        first, self.log_end = self.log_end + 1, self.log_end + count
        for control in self.settings.control:
            process = self.processes.get(control)
            if process is not None:
                self.commit(control, first, self.log_end)

    def post(self, name: str, event: msg.Event) -> None:
        process = self.processes[name]
        actions = process.node.handle(process.now(self.time), event)
        if sum(isinstance(a, msg.SetTimer) for a in actions) != 1 or not isinstance(
            actions[-1], msg.SetTimer
        ):
            raise Broken("each list of actions must end with its only SetTimer")
        for action in actions:
            self._carry_out(name, process, action)
        self.check_bounds(name, process)

    def _carry_out(self, name: str, process: Process, action: msg.Action) -> None:
        match action:
            case msg.Send(to, messages):
                self._send(name, process, to, messages)
            case msg.Apply(first, entries):
                self._apply(name, process, first, entries)
            case msg.Restore(number, change):
                if change != entry_at(number):
                    raise Broken(f"{name} restores a wrong change {number}")
                process.restored += 1
                self._keep_change(process, number, change)
            case msg.AssumePurged(first, last):
                process.purged.append((first, last))
                process.top = max(process.top, last)
            case msg.LeaseChanged(valid):
                process.lease_valid = valid
            case msg.Watermark():
                self.watermarks.append((self.time, action))
                self.highest_watermark = max(self.highest_watermark, action.number)
                self.check_done(action.number)
            case msg.SetTimer(at):
                process.wakes += 1
                if at < math.inf:
                    self._wake(name, process, process.wakes, at)

    def _apply(self, name: str, process: Process, first: int, entries: tuple[Entry, ...]) -> None:
        if not process.follows(first):
            raise Broken(f"{name} applies {first} out of order: {self.status(name)}")
        for number, entry in enumerate(entries, first):
            if number in process.applied:
                raise Broken(f"{name} applies {number} twice")
            if entry != entry_at(number):
                raise Broken(f"{name} applies a wrong entry {number}")
            process.applied[number] = entry
            process.top = max(process.top, number)
            if isinstance(entry, Change):
                self._keep_change(process, number, entry)

    @staticmethod
    def _keep_change(process: Process, number: int, change: Change) -> None:
        if process.table.get(change.subject, (0, change))[0] < number:
            process.table[change.subject] = number, change

    def _wake(self, name: str, process: Process, number: int, at: float) -> None:
        def wake() -> None:
            if self.processes.get(name) is process and process.wakes == number:
                self.post(name, msg.TimerFired())

        self.schedule(max(0.0, (at - process.now(self.time)) / process.rate) + 1e-6, wake)

    def _send(self, name: str, process: Process, to: str, messages: tuple[msg.Message, ...]) -> None:
        size = CODEC.size(messages)
        if size > max_payload(name):
            raise Broken(f"{name} sends {size} bytes in one datagram")
        self.sent[name, process.ordinal].append(
            (process.now(self.time), SEAL_SIZE + HEADER_SIZE + len(name) + size)
        )
        messages = CODEC.read(CODEC.parts(messages))
        self.message_counts.update(type(word) for word in messages)
        if self.random.random() < self.faults.loss or (name in self.partition) != (to in self.partition):
            return
        receiver = self.processes.get(to)

        def arrive() -> None:
            # The wire drops datagrams from and to processes that have ended.
            same_process = receiver is not None and self.processes.get(to) is receiver
            if same_process and self.processes.get(name, process) is process:
                self.post(to, Received(name, messages))

        for _ in range(1 + (self.random.random() < self.faults.duplicates)):
            delay = self.faults.delay * (0.2 + 0.8 * self.random.random())
            if self.random.random() < self.faults.slow:
                delay += self.random.random()
            if to in self.faults.distant and name not in self.faults.distant:
                delay += self.faults.extra_delay
            self.schedule(delay, arrive)

    # Properties

    def check_done(self, number: int) -> None:
        """Check that no member with a lease at this moment lacks an entry up to the watermark."""
        for name, process in self.processes.items():
            if process.node.has_lease(process.now(self.time)) and process.node.applied_until < number:
                raise Broken(
                    f"{name} has a lease and {process.node.applied_until}, "
                    f"but {number} is reported as applied everywhere"
                )

    def check_bounds(self, name: str, process: Process) -> None:
        """Check that a process's memory is bounded. This is done after each event, as nothing else changes
        its state."""
        node = process.node
        if len(node.applied.ranges) > 8:
            raise Broken(f"{name} has {len(node.applied.ranges)} ranges")
        if len(node.children.by_name) > node.tree.max_children(name):
            raise Broken(f"{name} has {len(node.children.by_name)} children")
        if (
            len(node.repairs.entry_requests) > node.repairs.max_requesters
            or len(node.suffix.blocks) > node.suffix.capacity / 256 + 3
        ):
            raise Broken(f"{name} keeps more than its bounds")

    def check_bytes(self) -> None:
        """Check that no process exceeds its send budget in any second of its own clock; a member's next
        process starts again from zero."""
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
        """Let time pass, and write entries at regular intervals."""
        end = self.time + seconds
        if write:

            def more() -> None:
                self.write(write)
                if self.time + every < end:
                    self.schedule(every, more)

            self.schedule(every, more)
        while self.events and self.events[0][0] <= end:
            self.time, _, call = heapq.heappop(self.events)
            call()
            self.check_done(self.highest_watermark)
        self.time = end

    def check_all_same(self) -> None:
        """Check that all members agree, after a sufficiently long time without faults."""
        expected: dict[bytes, tuple[int, Change]] = {}
        for number in range(1, self.log_end + 1):
            entry = entry_at(number)
            if isinstance(entry, Change):
                expected[entry.subject] = number, entry
        for name, process in self.processes.items():
            purged = {n for first, last in process.purged for n in range(first, last + 1)}
            missing = set(range(1, self.log_end + 1)) - set(process.applied) - purged
            if missing or process.node.applied_until != self.log_end:
                raise Broken(f"{name} lacks {sorted(missing)[:5]}: {self.status(name)}")
            if process.table != expected:
                raise Broken(f"{name} has a different table")
            if not process.node.has_lease(process.now(self.time)) or not process.lease_valid:
                raise Broken(f"{name} has no lease: {self.status(name)}")
        if self.watermarks[-1][1].number != self.log_end or self.watermarks[-1][1].members != len(
            self.processes
        ):
            raise Broken(
                f"the watermark is {self.watermarks[-1]}, of {self.log_end}: {self.status(self.root)}"
            )

    def status(self, name: str) -> dict[str, Any]:
        process = self.processes[name]
        return process.node.status(process.now(self.time))


def tiers(settings: Settings = SETTINGS) -> dict[int, list[str]]:
    tree = Tree(settings)
    members: dict[int, list[str]] = defaultdict(list)
    for site in settings.sites:
        for name in (*site.routers, *site.parts):
            members[tree.tier(name)].append(name)
    return members
