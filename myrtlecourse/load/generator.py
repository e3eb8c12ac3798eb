"""One worker of the generator: sends each request at its time, whatever became of those before.

Latency counts from when a request should have been sent. A tool that waits for an answer before it asks
again, or that counts from when it got round to sending, leaves out just the requests that a stall holds up
("coordinated omission").
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from myrtlecourse.audit import observations as seen
from myrtlecourse.load.client import Broken, ClientPool, Wanted
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import Planned, comes_back, repeatable
from myrtlecourse.net.resp import ErrorLine, Message, encode_command

LINGER = 1.0  # seconds after its time in which an observed client still listens: is the answer late, or lost?
MOST_AT_ONCE = 256  # requests that are due and go out before answers are looked at


def come_back(line: str) -> float | None:
    """Seconds that a refusal asks its client to stay away; None when the line is no refusal."""
    word, _, pause = line.partition(" ")
    if word != "BUSY":
        return None
    return int(pause) / 1000 if pause.isdigit() and len(pause) <= 9 else 0.0


class Try:
    """One try under an id of its own, and what is told of it to those who observe."""

    def __init__(self, asked: Asked, name: str, router: int, deadline_ms: int) -> None:
        self.asked = asked
        self.name = name
        self.router = router
        self.deadline_ms = deadline_ms
        self.wanted: Wanted | None = None
        self.seen = False  # it has been written
        self.over = False

    def written(self) -> None:
        """Its last byte is out."""
        observe = self.asked.generator.observe
        if observe is not None:
            self.seen = True
            now, kind = time.monotonic(), self.asked.plan.request_class
            effect = "free" if not kind.write else "guarded" if kind.keyed else "single_shot"
            key = self.asked.name if kind.keyed else ""
            until = now + self.deadline_ms / 1000
            observe(seen.Asked(now, self.name, f"router-{self.router}", kind.name, until, effect, key))

    def heard(self, answer: Message | BaseException, kept: bool) -> None:
        """Its answer, or what went wrong."""
        observe, self.wanted = self.asked.generator.observe, None
        if observe is not None and self.seen:
            now = time.monotonic()
            value = served_value(answer)
            if value is not None:
                made = value.startswith(self.name.encode() + b" ")
                observe(seen.Answered(now, self.name, "served", made))
            elif isinstance(answer, BaseException):
                observe(seen.Unanswered(now, self.name, "ended", kept))
            else:
                refused = isinstance(answer, ErrorLine) and come_back(answer.text) is not None
                observe(seen.Answered(now, self.name, "refused" if refused else "failed"))
        if not self.over:
            self.over = True
            self.asked.heard(answer, kept)

    def end(self, how: str) -> None:
        """Its client waits no more: it goes away, but first listens a little if it is observed."""
        self.over = True
        generator = self.asked.generator
        if self.wanted is None:
            return
        if how == "late" and self.seen:
            generator.lingering.add(self)
            generator.loop.call_later(LINGER, self._leave, how)
        else:
            self._leave(how)

    def _leave(self, how: str) -> None:
        generator = self.asked.generator
        if self.wanted is not None:
            if generator.observe is not None and self.seen:
                generator.observe(seen.Unanswered(time.monotonic(), self.name, how))
            self.wanted.abandon()
        generator.lingering.discard(self)
        generator.look()


def served_value(answer: Message | BaseException) -> bytes | None:
    """The value of a served answer."""
    if isinstance(answer, list) and answer:
        answer = answer[0]
    return answer if isinstance(answer, bytes) else None


class Asked:
    """One request through all its tries: it ends once."""

    def __init__(self, generator: Generator, plan: Planned, number: int) -> None:
        self.generator = generator
        self.plan = plan
        self.due = generator.began + plan.at
        self.until = self.due + plan.request_class.deadline
        self.number = number
        self.tries = 0
        self.sent_again = False
        self.name = f"{generator.name}{number:x}"  # begins the ids of its tries, and is its idempotency key
        self.out: Try | None = None
        loop = generator.loop
        self.timers = [loop.call_at(self.until, self.end, "failed")]
        if plan.leaves:
            self.timers.append(loop.call_at(self.due + plan.request_class.deadline / 2, self.end, "left"))

    def send(self, fresh: bool = False) -> None:
        """The next try, under a new id."""
        generator, plan, kind = self.generator, self.plan, self.plan.request_class
        name = f"{self.name}-{self.tries}{'f' if fresh else ''}"
        left = max(1, round((self.until - generator.loop.time()) * 1000))
        info = f"c={kind.name},t={plan.tenant},d={left}"
        if kind.keyed:
            info += f",k={self.name}"
        if kind.hint:
            info += f",h={kind.hint}"
        if self.tries:
            info += ",r=1"
        parts = [b"C.SET" if kind.write else b"C.GET", plan.key.encode(), name.encode(), info.encode()]
        if kind.write:
            parts.append(b"v" * kind.size)
        self.tries += 1
        # in turns, as a front deals out connections; a further try goes to the next router
        router = (self.number + self.tries - 1) % len(generator.pools)
        self.out = out = Try(self, name, router, left)
        out.wanted = generator.pools[router].ask(name, encode_command(parts), out.heard, out.written, fresh)

    def heard(self, answer: Message | BaseException, kept: bool) -> None:
        """What came of the latest try."""
        self.out = None
        if served_value(answer) is not None:
            self.end("served")
            return
        pause = come_back(answer.text) if isinstance(answer, ErrorLine) else None
        kind = self.plan.request_class
        unreachable = isinstance(answer, OSError) and not isinstance(answer, Broken)
        how = "refused" if pause is not None else "unreachable" if unreachable else "failed"
        if isinstance(answer, ConnectionError) and kept and repeatable(kind) and not self.sent_again:
            # a connection closed between requests may cross one that was not read: once more, on a new one
            self.sent_again = True
            self.tries -= 1
            self.send(fresh=True)
            return
        clients, chance = self.generator.profile.clients, self.generator.random
        wait = comes_back(clients, kind, self.tries, how, pause, chance)
        again = math.inf if wait is None else self.generator.loop.time() + wait
        if again >= self.until:
            self.end("refused" if pause is not None else "failed")
        else:
            self.timers.append(self.generator.loop.call_at(again, self.send))

    def end(self, outcome: str) -> None:
        """The end, once."""
        if self not in self.generator.out:
            return
        self.generator.out.discard(self)
        for timer in self.timers:
            timer.cancel()
        if self.out is not None:
            self.out.end("left" if outcome == "left" else "late")
        kind = self.plan.request_class
        took = self.generator.loop.time() - self.due
        self.generator.record.ended(self.plan.at, kind.name, self.plan.tenant, outcome, took, kind.aim)
        self.generator.look()


class Generator:
    """Plays planned requests against routers, in turns; what its clients see is told to `observe`."""

    def __init__(
        self,
        profile: Profile,
        plan: Iterable[Planned],
        addresses: Sequence[tuple[str, int]],
        name: str = "w0-",
        observe: Callable[[seen.Observation], None] | None = None,
    ) -> None:
        self.profile = profile
        self.plan = plan
        self.name = name  # begins the ids of its requests: unlike those of other workers and runs
        self.random = random.Random(f"{profile.seed} {name}")
        self.observe = observe
        self.pools = [
            ClientPool(address, profile.clients.connections, partial(self._unasked, i))
            for i, address in enumerate(addresses)
        ]
        self.record = Record()
        self.out: set[Asked] = set()
        self.lingering: set[Try] = set()
        self.drained = asyncio.Event()
        self.stopped = False
        self.began = 0.0
        self.loop = asyncio.get_running_loop()

    def _unasked(self, router: int, last: str) -> None:
        if self.observe is not None:
            self.observe(seen.Unasked(time.monotonic(), f"router-{router}", last))

    def look(self) -> None:
        """Something has ended: is that all?"""
        if not self.out and not self.lingering:
            self.drained.set()

    def stop(self) -> None:
        """Send nothing new; what is out still gets its answer or its time."""
        self.stopped = True

    async def run(self, duration: float | None = None, tick: Callable[[], None] = lambda: None) -> float:
        """Send all that is planned, or so many seconds of it; answers with the seconds that it took."""
        self.began = self.loop.time()
        at_once = 0
        for number, plan in enumerate(self.plan):
            if self.stopped or duration is not None and plan.at >= duration:
                break
            due = self.began + plan.at
            while (early := due - self.loop.time()) > 0 and not self.stopped:
                at_once = 0
                await asyncio.sleep(min(early, 0.1))  # short, so that a stop is not waited for
                tick()
            at_once += 1
            if at_once >= MOST_AT_ONCE:  # behind its time: answers must be read all the same
                at_once = 0
                await asyncio.sleep(0)
            asked = Asked(self, plan, number)
            self.out.add(asked)
            self.record.started(max(0.0, self.loop.time() - due))
            asked.send()
        while self.out or self.lingering:
            self.drained.clear()
            await self.drained.wait()
        took = self.loop.time() - self.began
        for pool in self.pools:
            self.record.exhausted |= pool.exhausted
            pool.close()
        return took
