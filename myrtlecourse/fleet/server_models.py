"""Models of a cache server and of the origin behind it: stored values, service times, collapse under load.

The models do no I/O and read no clock: times are seconds on the caller's clock. Random values are drawn from
the scenario's seed and the request's id, so that the same requests meet the same behaviour in the simulator
and on sockets.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from myrtlecourse.audit.auditor import Rules
from myrtlecourse.fleet.core_queue import CoreQueue, CoreSpeed, WorkItem
from myrtlecourse.fleet.scenario import Origin, RequestClass, ServerKind

OVERLOAD_SLACK = 0.1  # share by which chance may exceed the work budget of a window


@dataclass(slots=True, frozen=True, eq=False)
class Request:
    """One attempt of a router as it arrives at a server.

    Requests are compared by identity, as two attempts may have the same id.
    """

    id: str
    key: str
    request_class: RequestClass
    router: str
    write: bool = False
    idempotency: str = ""  # idempotency key of a keyed write, or empty
    time_left: float = 1.0  # seconds that the router will wait for the answer
    new_connection: bool = False  # whether it is the first request on its connection


class AnswerKind(Enum):
    """The kinds of answers of a server."""

    HIT = "hit"
    MISS = "miss"
    RECEIPT = "receipt"
    ERROR = "error"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer with the request that it belongs to and the version and size of the value."""

    request: Request
    kind: AnswerKind
    version: int = 0
    size: int = 0
    executed: bool = False  # whether a write took effect; False if its receipt was found


class WriteReceipts:
    """The receipts of keyed writes, shared by a group of servers; each is kept for its class's window."""

    def __init__(self) -> None:
        self.expires_at: OrderedDict[str, float] = OrderedDict()  # by idempotency key, the oldest first
        self.last_version = 0

    def record_write(self, now: float, key: str, window: float) -> bool:
        """Record a write; return whether it is executed, which it is unless its key repeats in the window."""
        while self.expires_at and next(iter(self.expires_at.values())) <= now:
            self.expires_at.popitem(last=False)
        if key and self.expires_at.get(key, -math.inf) > now:
            return False
        self.last_version += 1
        if key:
            self.expires_at[key] = now + window
            self.expires_at.move_to_end(key)
        return True


class CacheMemory:
    """The values of a cache server: evicts the least recently used ones (LRU) and expires old ones."""

    def __init__(self, max_bytes: int, ttl: float) -> None:
        self.max_bytes = max_bytes
        self.ttl = ttl
        # For each key: version, bytes and time of expiry.
        self.entries: OrderedDict[str, tuple[int, int, float]] = OrderedDict()
        self.size = 0

    def get(self, now: float, key: str) -> tuple[int, int] | None:
        """Return the version and size of a value, or None if it is missing or expired."""
        found = self.entries.get(key)
        if found is None:
            return None
        if found[2] <= now:
            self.drop(key)
            return None
        self.entries.move_to_end(key)
        return found[:2]

    def put(self, now: float, key: str, version: int, size: int) -> None:
        """Store a value and evict the least recently used ones that no longer fit."""
        self.drop(key)
        if size > self.max_bytes:
            return
        self.entries[key] = version, size, now + self.ttl
        self.size += size
        while self.size > self.max_bytes:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        """Remove a value."""
        found = self.entries.pop(key, None)
        if found is not None:
            self.size -= found[1]


class RandomDraws:
    """Random properties of a request: its work and whether it fails. Equal ids give equal values."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def work_of(self, request: Request) -> float:
        """Return the work of a request in seconds of a core; lognormal with the mean of its class."""
        request_class = request.request_class
        if not request_class.work or not request_class.spread:
            return request_class.work
        generator = random.Random(f"{self.seed} work {request.id}")
        return request_class.work * math.exp(
            generator.gauss(-(request_class.spread**2) / 2, request_class.spread)
        )

    def should_fail(self, request: Request, server: str, share: float) -> bool:
        """Return whether this attempt ends in an error."""
        return bool(share) and random.Random(f"{self.seed} {server} {request.id}").random() < share


class CacheServerModel:
    """Model of one cache server."""

    def __init__(
        self,
        name: str,
        kind: ServerKind,
        rules: Rules,
        draws: RandomDraws,
        receipts: Callable[[RequestClass], WriteReceipts],
        cache_aside: bool = True,
        started_at: float = -math.inf,
    ) -> None:
        self.name = name
        self.kind = kind
        self.rules = rules
        self.draws = draws
        self.receipts = receipts  # returns the receipts of the group that recognises repeats of a class
        self.cache_aside = cache_aside  # whether routers fetch missing values from the origin
        self.max_load_ratio = 0.0  # highest work offered while cold, as a share of what makes it collapse
        self.start(started_at)

    def start(self, now: float) -> None:
        """Start a new process: empty and, unless it started at -inf, cold."""
        self.started_at = now
        core_speed = CoreSpeed(self.kind.speed, now, self.kind.cold, self.kind.warm_up)
        self.core_queue = CoreQueue(self.kind.cores, self.kind.queue, core_speed)
        self.memory = CacheMemory(self.kind.memory, self.kind.ttl)
        # Time, router and work of the latest arrivals at the cold server.
        self.recent_arrivals: deque[tuple[float, str, float]] = deque()
        self.offered_work = 0.0  # work of the arrivals in `recent_arrivals`
        # After a collapse: the work that each router sent in the window before it.
        self.overload_by_router: dict[str, float] | None = None

    def arrive(self, now: float, request: Request) -> WorkItem | None:
        """Queue a fully received attempt. Return None if it is refused or makes the server collapse."""
        work = self.draws.work_of(request)
        if self._overloads(now, request.router, work):
            return None
        if not request.write and self.memory.get(now, request.key) is None and self.cache_aside:
            work *= self.kind.miss
        if request.new_connection:
            work += self.kind.handshake
        item = WorkItem(work, now + request.time_left, request)
        return item if self.core_queue.add(now, item) else None

    def _overloads(self, now: float, router: str, work: float) -> bool:
        """Count an arrival, refused or not, and return whether it makes a cold server collapse."""
        window = self.rules.fall_window
        if now - self.started_at > self.kind.warm_up + window:
            return False
        self.recent_arrivals.append((now, router, work))
        self.offered_work += work
        while self.recent_arrivals[0][0] < now - window:
            self.offered_work -= self.recent_arrivals.popleft()[2]
        capacity = self.kind.cores * self.kind.speed * self.core_queue.core_speed.capacity_share(now)
        budget = self.rules.fall_multiple * capacity * window * (1 + OVERLOAD_SLACK)
        self.max_load_ratio = max(self.max_load_ratio, min(1.0, self.offered_work / budget))
        if self.offered_work <= budget:
            return False
        by_router: dict[str, float] = {}
        for _, sender, item_work in self.recent_arrivals:
            by_router[sender] = by_router.get(sender, 0.0) + item_work
        self.overload_by_router = by_router
        return True

    def next_answer(self, now: float) -> Answer | None:
        """Return the next answer that is ready, or None."""
        item = self.core_queue.next_finished(now)
        if item is None:
            return None
        request = item.request
        assert isinstance(request, Request)
        if self.kind.drops_expired and now > item.deadline:
            return Answer(request, AnswerKind.BUSY)
        if self.draws.should_fail(request, self.name, self.kind.errors):
            return Answer(request, AnswerKind.ERROR)
        if request.write:
            receipts = self.receipts(request.request_class)
            executed = receipts.record_write(now, request.idempotency, request.request_class.window)
            self.memory.drop(request.key)
            return Answer(request, AnswerKind.RECEIPT, receipts.last_version, len(request.id), executed)
        found = self.memory.get(now, request.key)
        if found is not None:
            return Answer(request, AnswerKind.HIT, *found)
        if self.cache_aside:
            return Answer(request, AnswerKind.MISS)
        size = request.request_class.size
        version = self.receipts(request.request_class).last_version
        self.memory.put(now, request.key, version, size)
        return Answer(request, AnswerKind.HIT, version, size)


class OriginModel:
    """Model of the origin: slow, with few slots. It executes writes and recognises repeats of keyed ones."""

    def __init__(self, origin: Origin, draws: RandomDraws) -> None:
        self.origin = origin
        self.draws = draws
        self.receipts = WriteReceipts()
        self.core_queue = CoreQueue(origin.slots, origin.queue, CoreSpeed(1.0))

    def arrive(self, now: float, request: Request) -> WorkItem | None:
        """Queue a fully received fetch or write. Return None if the queue is full."""
        kind = request.request_class
        work = self.origin.time * (self.draws.work_of(request) / kind.work if kind.work else 1.0)
        item = WorkItem(work, now + request.time_left, request)
        return item if self.core_queue.add(now, item) else None

    def abandon(self, now: float, item: WorkItem) -> None:
        """Handle a router that stopped waiting: cancel the item unless it is a write in execution."""
        request = item.request
        assert isinstance(request, Request)
        if not request.write or not any(p is item for _, _, p in self.core_queue.running):
            self.core_queue.cancel(now, item)

    def next_answer(self, now: float) -> Answer | None:
        """Return the next answer that is ready, or None."""
        item = self.core_queue.next_finished(now)
        if item is None:
            return None
        request = item.request
        assert isinstance(request, Request)
        if self.draws.should_fail(request, "origin", self.origin.errors):
            return Answer(request, AnswerKind.ERROR)
        if request.write:
            executed = self.receipts.record_write(now, request.idempotency, request.request_class.window)
            return Answer(request, AnswerKind.RECEIPT, self.receipts.last_version, len(request.id), executed)
        return Answer(request, AnswerKind.HIT, self.receipts.last_version, request.request_class.size)
