"""Clients in virtual time: the load generator's plan and habits, on the simulator's clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.scenario import RequestClass
from myrtlecourse.load.generator import LINGER
from myrtlecourse.load.profile import Profile
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import PlannedRequest, plan_requests, retry_delay
from myrtlecourse.sim.core import Core, Event
from myrtlecourse.sim.routers import AskedFor, SimRouter
from myrtlecourse.sim.servers import HOP


class Client:
    """One request through all its tries."""

    def __init__(self, clients: Clients, plan: PlannedRequest, number: int) -> None:
        self.clients = clients
        self.plan = plan
        self.number = number
        core = clients.core
        self.due = core.now
        self.until = self.due + plan.request_class.deadline
        self.tries = 0
        self.over = False
        self.name = ""  # of the try that is out
        self.router: SimRouter | None = None
        self.timers = [core.call_at(self.until, self._end, "failed")]
        if plan.client_leaves:
            self.timers.append(core.call_after(plan.request_class.deadline / 2, self._leave))

    def ask(self) -> None:
        """The next try, at the next router."""
        if self.over:
            return
        clients, plan = self.clients, self.plan
        kind = plan.request_class
        router = clients.routers[(self.number + self.tries) % len(clients.routers)]
        self.name = f"{self.number:x}-{self.tries}"
        self.tries += 1
        if not router.taking:
            clients.core.call_after(HOP, self._heard, self.name, "unreachable", 0.0)
            return
        now = clients.core.now
        left = max(0.001, round(self.until - now, 3))
        effect = "free" if not kind.write else "guarded" if kind.keyed else "single_shot"
        key = f"{self.number:x}" if kind.keyed else ""
        clients.observe(seen.RequestSent(now, self.name, router.name, kind.name, now + left, effect, key))
        self.router = router
        hint = kind.hint / 1e6 if kind.hint else None
        told = clients.classes[kind.name]
        name = self.name

        def answer(how: str, pause: float) -> None:
            clients.core.call_after(HOP, self._heard, name, how, pause)

        asked = AskedFor(name, plan.key, told, kind.write, key, left, hint, answer)
        clients.core.call_after(HOP, router.take_or_end, asked)
        clients.core.call_after(left + LINGER, clients.overdue, name)
        clients.open.add(name)

    def _heard(self, name: str, how: str, pause: float) -> None:
        clients = self.clients
        now = clients.core.now
        if how == "ended":
            if name in clients.open:
                clients.observe(seen.RequestUnanswered(now, name, "ended"))
        elif how != "unreachable":
            clients.observe(seen.RequestAnswered(now, name, how))
        clients.open.discard(name)
        if self.over or name != self.name:
            return
        self.router = None
        if how == "served":
            self._end("served")
            return
        word = how if how in ("refused", "unreachable") else "failed"
        wait = retry_delay(
            clients.profile.clients, self.plan.request_class, self.tries, word, pause, clients.chance
        )
        if wait is None or now + wait >= self.until:
            self._end("refused" if how == "refused" else "failed")
        else:
            self.timers.append(clients.core.call_after(wait, self.ask))

    def _leave(self) -> None:
        """Go away without the answer."""
        if self.router is not None and self.name in self.clients.open:
            self.clients.observe(seen.RequestUnanswered(self.clients.core.now, self.name, "left"))
            self.clients.open.discard(self.name)
            self.clients.core.call_after(HOP, self.router.client_gone, self.name)
        self._end("left")

    def _end(self, outcome: str) -> None:
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.cancel()
        kind, plan = self.plan.request_class, self.plan
        took = self.clients.core.now - self.due
        self.clients.record.count_end(plan.at, kind.name, plan.tenant, outcome, took, kind.aim)


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
        self.chance = core.stream("clients")
        self.record = Record()
        self.open: set[str] = set()  # tries that are owed an answer
        self.began = core.now
        self.number = 0
        self.plan: Iterator[PlannedRequest] = plan_requests(profile)
        self._next()

    def _next(self) -> None:
        """Wait for the next arrival: one event at a time, however long the run."""
        plan = next(self.plan, None)
        if plan is not None and plan.at < self.seconds:
            self.arrival: Event = self.core.call_at(self.began + plan.at, self._arrive, plan)

    def _arrive(self, plan: PlannedRequest) -> None:
        client = Client(self, plan, self.number)
        self.number += 1
        self.record.count_start(0.0)
        client.ask()
        self._next()

    def overdue(self, name: str) -> None:
        """The time is over in which an answer could have come."""
        if name in self.open:
            self.open.discard(name)
            self.observe(seen.RequestUnanswered(self.core.now, name, "late"))
