"""One worker of the load generator: sends each request when it is due (open-loop load).

Latency is measured from when a request was due. A tool that waits for an answer before it sends the next
request, or that measures from when it managed to send, leaves out exactly the requests that a stall delays
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
from myrtlecourse.load.client import ClientPool, ConnectionBroken, PendingCommand
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import PlannedRequest, repeatable, retry_delay
from myrtlecourse.net.resp import ErrorLine, Message, encode_command

# Seconds after a request's deadline for which an observed client still listens, to tell whether the answer is
# late or lost.
LINGER = 1.0
MAX_BURST = 256  # overdue requests that are sent before answers are read


def parse_retry_after(line: str) -> float | None:
    """Return the seconds that a refusal asks its client to wait, or None if the error is no refusal."""
    code, _, retry_after = line.partition(" ")
    if code != "BUSY":
        return None
    return int(retry_after) / 1000 if retry_after.isdigit() and len(retry_after) <= 9 else 0.0


class Try:
    """One try of a request, under an id of its own; reports its observations."""

    def __init__(self, request: ClientRequest, name: str, router: int, deadline_ms: int) -> None:
        self.request = request
        self.name = name
        self.router = router
        self.deadline_ms = deadline_ms
        self.command: PendingCommand | None = None
        self.observed = False  # whether its RequestSent was reported
        self.ended = False  # whether the client has stopped waiting

    def on_written(self) -> None:
        """Report that the command was written."""
        observe = self.request.generator.observe
        if observe is not None:
            self.observed = True
            now, request_class = time.monotonic(), self.request.plan.request_class
            effect = (
                "free" if not request_class.write else "guarded" if request_class.keyed else "single_shot"
            )
            key = self.request.name if request_class.keyed else ""
            until = now + self.deadline_ms / 1000
            observe(
                seen.RequestSent(
                    now, self.name, f"router-{self.router}", request_class.name, until, effect, key
                )
            )

    def on_reply(self, answer: Message | BaseException, reused: bool) -> None:
        """Handle the answer or the error."""
        command, self.command = self.command, None
        if self.observed:
            self._observe_reply(answer, reused, 0.0 if command is None else command.answered_at)
        if not self.ended:
            self.ended = True
            self.request.on_reply(answer, reused)

    def _observe_reply(self, answer: Message | BaseException, reused: bool, arrived: float) -> None:
        """Report the answer, whose last byte arrived at `arrived`, or the error."""
        observe, now = self.request.generator.observe, time.monotonic()
        assert observe is not None
        value = served_value(answer)
        if value is not None:
            made = value.startswith(self.name.encode() + b" ")
            observe(seen.RequestAnswered(now, self.name, "served", made, arrived))
        elif isinstance(answer, BaseException):
            observe(seen.RequestUnanswered(now, self.name, "ended", reused))
        else:
            refused = isinstance(answer, ErrorLine) and parse_retry_after(answer.text) is not None
            how = "refused" if refused else "failed"
            observe(seen.RequestAnswered(now, self.name, how, arrived=arrived))

    def end(self, how: str) -> None:
        """Stop waiting; an observed client still listens for LINGER seconds after its deadline."""
        self.ended = True
        generator = self.request.generator
        if self.command is None:
            return
        if how == "late" and self.observed:
            generator.lingering.add(self)
            generator.loop.call_later(LINGER, self._leave, how)
        else:
            self._leave(how)

    def _leave(self, how: str) -> None:
        """Close the connection of an unanswered try and report it."""
        generator = self.request.generator
        if self.command is not None:
            if generator.observe is not None and self.observed:
                generator.observe(seen.RequestUnanswered(time.monotonic(), self.name, how))
            self.command.abandon()
        generator.lingering.discard(self)
        generator.check_drained()


def served_value(answer: Message | BaseException) -> bytes | None:
    """Return the value of an answer, or None if the request was not served."""
    if isinstance(answer, list) and answer:
        answer = answer[0]
    return answer if isinstance(answer, bytes) else None


class ClientRequest:
    """One request with all its tries; it ends exactly once."""

    def __init__(self, generator: Generator, plan: PlannedRequest, number: int) -> None:
        self.generator = generator
        self.plan = plan
        self.due = generator.began + plan.at
        self.deadline = self.due + plan.request_class.deadline
        self.number = number
        self.tries = 0
        self.sent_again = False
        self.name = f"{generator.name}{number:x}"  # prefix of the ids of its tries, and the idempotency key
        self.current_try: Try | None = None
        loop = generator.loop
        self.timers = [loop.call_at(self.deadline, self.end, "failed")]
        if plan.client_leaves:
            self.timers.append(loop.call_at(self.due + plan.request_class.deadline / 2, self.end, "left"))

    def send(self, fresh: bool = False) -> None:
        """Start the next try, under a new id."""
        generator, plan, request_class = self.generator, self.plan, self.plan.request_class
        name = f"{self.name}-{self.tries}{'f' if fresh else ''}"
        time_left = max(1, round((self.deadline - generator.loop.time()) * 1000))
        info = f"c={request_class.name},t={plan.tenant},d={time_left}"
        if request_class.keyed:
            info += f",k={self.name}"
        if request_class.hint:
            info += f",h={request_class.hint}"
        if self.tries:
            info += ",r=1"
        parts = [
            b"C.SET" if request_class.write else b"C.GET",
            plan.key.encode(),
            name.encode(),
            info.encode(),
        ]
        if request_class.write:
            parts.append(b"v" * request_class.size)
        self.tries += 1
        # round robin over the routers, as by a load balancer; a retry goes to the next router
        router = (self.number + self.tries - 1) % len(generator.pools)
        self.current_try = current = Try(self, name, router, time_left)
        current.command = generator.pools[router].submit(
            name, encode_command(parts), current.on_reply, current.on_written, fresh
        )

    def on_reply(self, answer: Message | BaseException, reused: bool) -> None:
        """Handle the answer or the error of the current try."""
        self.current_try = None
        if served_value(answer) is not None:
            self.end("served")
            return
        retry_after = parse_retry_after(answer.text) if isinstance(answer, ErrorLine) else None
        request_class = self.plan.request_class
        unreachable = isinstance(answer, OSError) and not isinstance(answer, ConnectionBroken)
        how = "refused" if retry_after is not None else "unreachable" if unreachable else "failed"
        if (
            isinstance(answer, ConnectionError)
            and reused
            and repeatable(request_class)
            and not self.sent_again
        ):
            # The router may have closed the idle connection while the request was in transit, and then never
            # read it. The request is sent once more, on a new connection.
            self.sent_again = True
            self.tries -= 1
            self.send(fresh=True)
            return
        clients, rng = self.generator.profile.clients, self.generator.random
        wait = retry_delay(clients, request_class, self.tries, how, retry_after, rng)
        retry_at = math.inf if wait is None else self.generator.loop.time() + wait
        if retry_at >= self.deadline:
            self.end("refused" if retry_after is not None else "failed")
        else:
            self.timers.append(self.generator.loop.call_at(retry_at, self.send))

    def end(self, outcome: str) -> None:
        """Record the outcome, unless the request has ended before."""
        if self not in self.generator.in_flight:
            return
        self.generator.in_flight.discard(self)
        for timer in self.timers:
            timer.cancel()
        if self.current_try is not None:
            self.current_try.end("left" if outcome == "left" else "late")
        request_class = self.plan.request_class
        took = self.generator.loop.time() - self.due
        self.generator.record.count_end(
            self.plan.at, request_class.name, self.plan.tenant, outcome, took, request_class.aim
        )
        self.generator.check_drained()


class Generator:
    """Sends planned requests to the routers by round robin; `observe` is called with what its clients see."""

    def __init__(
        self,
        profile: Profile,
        plan: Iterable[PlannedRequest],
        addresses: Sequence[tuple[str, int]],
        name: str = "w0-",
        observe: Callable[[seen.Observation], None] | None = None,
    ) -> None:
        self.profile = profile
        self.plan = plan
        self.name = name  # prefix of the ids of its requests; unique among workers and runs
        self.random = random.Random(f"{profile.seed} {name}")
        self.observe = observe
        self.pools = [
            ClientPool(address, profile.clients.connections, partial(self._report_unexpected, i))
            for i, address in enumerate(addresses)
        ]
        self.record = Record()
        self.in_flight: set[ClientRequest] = set()
        self.lingering: set[Try] = set()
        self.drained = asyncio.Event()
        self.stopped = False
        self.began = 0.0
        self.loop = asyncio.get_running_loop()

    def _report_unexpected(self, router: int, last: str) -> None:
        if self.observe is not None:
            self.observe(seen.UnexpectedBytes(time.monotonic(), f"router-{router}", last))

    def check_drained(self) -> None:
        """Signal `drained` once no request is in flight."""
        if not self.in_flight and not self.lingering:
            self.drained.set()

    def stop(self) -> None:
        """Send no new requests; those in flight still run until their answer or deadline."""
        self.stopped = True

    async def run(self, duration: float | None = None, tick: Callable[[], None] = lambda: None) -> float:
        """Send all planned requests, or those of the first `duration` seconds; return how long it took.

        `tick` is called several times a second.
        """
        self.began = self.loop.time()
        burst = 0
        for number, plan in enumerate(self.plan):
            if self.stopped or duration is not None and plan.at >= duration:
                break
            due = self.began + plan.at
            while (early := due - self.loop.time()) > 0 and not self.stopped:
                burst = 0
                await asyncio.sleep(min(early, 0.1))  # short, so that a stop takes effect at once
                tick()
            burst += 1
            if burst >= MAX_BURST:  # behind schedule: let the event loop read answers
                burst = 0
                await asyncio.sleep(0)
            request = ClientRequest(self, plan, number)
            self.in_flight.add(request)
            self.record.count_start(max(0.0, self.loop.time() - due))
            request.send()
        while self.in_flight or self.lingering:
            self.drained.clear()
            await self.drained.wait()
        took = self.loop.time() - self.began
        for pool in self.pools:
            self.record.exhausted |= pool.exhausted
            pool.close()
        return took
