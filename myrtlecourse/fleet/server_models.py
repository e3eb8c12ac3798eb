"""A cache box, and the origin behind it, as they behave: what they keep, how long they take, when they fall.

No I/O and no clock: times are seconds on the caller's clock, and what is random is drawn from the scenario's
seed and the request's id, so that the same requests meet the same box in a simulator and on sockets.
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

OVERLOAD_SLACK = 0.1  # of the budget of a window, for chance


@dataclass(slots=True, frozen=True, eq=False)
class Request:
    """What comes to a box or the origin: one attempt of a router. Each is itself alone, whatever its id."""

    id: str
    key: str
    request_class: RequestClass
    router: str
    write: bool = False
    idempotency: str = ""  # a keyed write's key
    time_left: float = 1.0  # for which its router will wait
    new_connection: bool = False  # first on a new connection


class AnswerKind(Enum):
    """What a box answers."""

    HIT = "hit"
    MISS = "miss"
    RECEIPT = "receipt"
    ERROR = "error"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer: to which request, what, and the value's version and size."""

    request: Request
    kind: AnswerKind
    version: int = 0
    size: int = 0
    executed: bool = False  # a write took effect, and not only its receipt was found


class WriteReceipts:
    """What a group of servers knows of keyed writes: each key's receipt, for its window."""

    def __init__(self) -> None:
        self.expires_at: OrderedDict[str, float] = OrderedDict()  # by key, until when, oldest first
        self.last_version = 0

    def record_write(self, now: float, key: str, window: float) -> bool:
        """Whether a write with this key runs; a repeat within its window does not. No key: it always does."""
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
    """The values a box keeps: least recently used ones go first (LRU), old ones are not found."""

    def __init__(self, max_bytes: int, ttl: float) -> None:
        self.max_bytes = max_bytes
        self.ttl = ttl
        self.entries: OrderedDict[str, tuple[int, int, float]] = OrderedDict()  # version, bytes, until
        self.size = 0

    def get(self, now: float, key: str) -> tuple[int, int] | None:
        """A value's version and size."""
        found = self.entries.get(key)
        if found is None:
            return None
        if found[2] <= now:
            self.drop(key)
            return None
        self.entries.move_to_end(key)
        return found[:2]

    def put(self, now: float, key: str, version: int, size: int) -> None:
        """Keep a value, in place of what was used longest ago."""
        self.drop(key)
        if size > self.max_bytes:
            return
        self.entries[key] = version, size, now + self.ttl
        self.size += size
        while self.size > self.max_bytes:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        """Forget a value."""
        found = self.entries.pop(key, None)
        if found is not None:
            self.size -= found[1]


class RandomDraws:
    """What chance gives a request: its work and whether it fails. The same id gets the same."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def work_of(self, request: Request) -> float:
        """Lognormal, with the class's mean."""
        kind = request.request_class
        if not kind.work or not kind.spread:
            return kind.work
        chance = random.Random(f"{self.seed} work {request.id}")
        return kind.work * math.exp(chance.gauss(-(kind.spread**2) / 2, kind.spread))

    def should_fail(self, request: Request, where: str, share: float) -> bool:
        """Whether this attempt ends in an error."""
        return bool(share) and random.Random(f"{self.seed} {where} {request.id}").random() < share


class CacheServerModel:
    """One cache box."""

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
        self.receipts = receipts  # of the group that drops each other's repeats of a class
        self.cache_aside = cache_aside  # what it lacks is its router's to get
        self.max_load_ratio = 0.0  # to falling over, 1 at the limit
        self.start(started_at)

    def start(self, now: float) -> None:
        """Begin as a new process: empty and, unless it has run for ever, cold."""
        self.started_at = now
        core_speed = CoreSpeed(self.kind.speed, now, self.kind.cold, self.kind.warm_up)
        self.core_queue = CoreQueue(self.kind.cores, self.kind.queue, core_speed)
        self.memory = CacheMemory(self.kind.memory, self.kind.ttl)
        self.recent_arrivals: deque[tuple[float, str, float]] = (
            deque()
        )  # when, router, work of what came while cold
        self.offered_work = 0.0  # work in that window
        self.overload_by_router: dict[str, float] | None = (
            None  # work of each router in the window in which it fell
        )

    def arrive(self, now: float, request: Request) -> WorkItem | None:
        """Take an attempt whose last byte has come; None: turned away, or it has pushed the box over."""
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
        """Count what reaches a cold box, refused or not; whether that is more than it stands."""
        window = self.rules.fall_window
        if now - self.started_at > self.kind.warm_up + window:
            return False
        self.recent_arrivals.append((now, router, work))
        self.offered_work += work
        while self.recent_arrivals[0][0] < now - window:
            self.offered_work -= self.recent_arrivals.popleft()[2]
        able = self.kind.cores * self.kind.speed * self.core_queue.core_speed.capacity_share(now)
        budget = self.rules.fall_multiple * able * window * (1 + OVERLOAD_SLACK)
        self.max_load_ratio = max(self.max_load_ratio, min(1.0, self.offered_work / budget))
        if self.offered_work <= budget:
            return False
        by_router: dict[str, float] = {}
        for _, sender, each in self.recent_arrivals:
            by_router[sender] = by_router.get(sender, 0.0) + each
        self.overload_by_router = by_router
        return True

    def next_answer(self, now: float) -> Answer | None:
        """The next answer that is ready."""
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
    """The origin: slow, with room for few. It runs writes, and drops the repeats of keyed ones."""

    def __init__(self, origin: Origin, draws: RandomDraws) -> None:
        self.origin = origin
        self.draws = draws
        self.receipts = WriteReceipts()
        self.core_queue = CoreQueue(origin.slots, origin.queue, CoreSpeed(1.0))

    def arrive(self, now: float, request: Request) -> WorkItem | None:
        """Take a fetch or a write whose last byte has come; None when there is no room."""
        kind = request.request_class
        work = self.origin.time * (self.draws.work_of(request) / kind.work if kind.work else 1.0)
        item = WorkItem(work, now + request.time_left, request)
        return item if self.core_queue.add(now, item) else None

    def abandon(self, now: float, item: WorkItem) -> None:
        """Its router waits no more: a fetch ends, a write that has begun goes on."""
        request = item.request
        assert isinstance(request, Request)
        if not request.write or not any(p is item for _, _, p in self.core_queue.running):
            self.core_queue.cancel(now, item)

    def next_answer(self, now: float) -> Answer | None:
        """The next answer that is ready; None when there is none yet."""
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
