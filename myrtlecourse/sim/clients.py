"""Clients in virtual time: the load generator's schedule and retries, on the simulator's clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.scenario import RequestClass
from myrtlecourse.load.generator import LINGER
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import PlannedRequest, plan_requests, retry_delay
from myrtlecourse.sim.core import Core, Event
from myrtlecourse.sim.routers import ClientRequest, SimRouter
from myrtlecourse.sim.servers import HOP


class Client:
    """One planned request with all its tries."""

    def __init__(self, clients: Clients, plan: PlannedRequest, number: int) -> None:
        self.clients = clients
        self.plan = plan
        self.number = number
        core = clients.core
        self.due_at = core.now
        self.deadline = self.due_at + plan.request_class.deadline
        self.tries = 0
        self.ended = False
        self.name = ""  # of the current try
        self.router: SimRouter | None = None
        self.timers = [core.call_at(self.deadline, self._end, "failed")]
        if plan.client_leaves:
            self.timers.append(core.call_after(plan.request_class.deadline / 2, self._leave))

    def send(self) -> None:
        """Send the next try, to the next router."""
        if self.ended:
            return
        clients, plan = self.clients, self.plan
        kind = plan.request_class
        router = clients.routers[(self.number + self.tries) % len(clients.routers)]
        self.name = f"{self.number:x}-{self.tries}"
        self.tries += 1
        if not router.accepting:
            clients.core.call_after(HOP, self._on_answer, self.name, "unreachable", 0.0)
            return
        now = clients.core.now
        time_left = max(0.001, round(self.deadline - now, 3))
        effect = "free" if not kind.write else "guarded" if kind.keyed else "single_shot"
        key = f"{self.number:x}" if kind.keyed else ""
        clients.observe(
            seen.RequestSent(now, self.name, router.name, kind.name, now + time_left, effect, key)
        )
        self.router = router
        hint = kind.hint / 1e6 if kind.hint else None
        scenario_class = clients.classes[kind.name]
        name = self.name

        def answer(outcome: str, retry_after: float) -> None:
            clients.core.call_after(HOP, self._on_answer, name, outcome, retry_after)

        request = ClientRequest(name, plan.key, scenario_class, kind.write, key, time_left, hint, answer)
        clients.core.call_after(HOP, router.receive, request)
        clients.core.call_after(time_left + LINGER, clients.expire, name)
        clients.unanswered.add(name)

    def _on_answer(self, name: str, outcome: str, retry_after: float) -> None:
        clients = self.clients
        now = clients.core.now
        if outcome == "ended":
            if name in clients.unanswered:
                clients.observe(seen.RequestUnanswered(now, name, "ended"))
        elif outcome != "unreachable":
            clients.observe(seen.RequestAnswered(now, name, outcome))
        clients.unanswered.discard(name)
        if self.ended or name != self.name:
            return
        self.router = None
        if outcome == "served":
            self._end("served")
            return
        reason = outcome if outcome in ("refused", "unreachable") else "failed"
        wait = retry_delay(
            clients.profile.clients, self.plan.request_class, self.tries, reason, retry_after, clients.rng
        )
        if wait is None or now + wait >= self.deadline:
            self._end("refused" if outcome == "refused" else "failed")
        else:
            self.timers.append(clients.core.call_after(wait, self.send))

    def _leave(self) -> None:
        """Disconnect without waiting for the answer."""
        if self.router is not None and self.name in self.clients.unanswered:
            self.clients.observe(seen.RequestUnanswered(self.clients.core.now, self.name, "left"))
            self.clients.unanswered.discard(self.name)
            self.clients.core.call_after(HOP, self.router.client_gone, self.name)
        self._end("left")

    def _end(self, outcome: str) -> None:
        if self.ended:
            return
        self.ended = True
        for timer in self.timers:
            timer.cancel()
        kind, plan = self.plan.request_class, self.plan
        latency = self.clients.core.now - self.due_at
        self.clients.record.count_end(plan.at, kind.name, plan.tenant, outcome, latency, kind.aim)


class Clients:
    """All clients of a run."""

    def __init__(
        self,
        core: Core,
        profile: Profile,
        classes: dict[str, RequestClass],
        routers: list[SimRouter],
        observe: Callable[[seen.Observation], None],
        seconds: float,
    ) -> None:
        self.core = core
        self.profile = profile
        self.classes = classes
        self.routers = routers
        self.observe = observe
        self.seconds = seconds
        self.rng = core.stream("clients")
        self.record = Record()
        self.unanswered: set[str] = set()  # names of tries that must still get an answer
        self.started_at = core.now
        self.next_number = 0
        self.plan: Iterator[PlannedRequest] = plan_requests(profile)
        self._schedule_next()

    def _schedule_next(self) -> None:
        """Schedule the next arrival only, so that memory does not grow with the length of the run."""
        plan = next(self.plan, None)
        if plan is not None and plan.at < self.seconds:
            self.arrival: Event = self.core.call_at(self.started_at + plan.at, self._arrive, plan)

    def _arrive(self, plan: PlannedRequest) -> None:
        client = Client(self, plan, self.next_number)
        self.next_number += 1
        self.record.count_start(0.0)
        client.send()
        self._schedule_next()

    def expire(self, name: str) -> None:
        """Report a try as unanswered once its answer would come too late."""
        if name in self.unanswered:
            self.unanswered.discard(name)
            self.observe(seen.RequestUnanswered(self.core.now, name, "late"))
