"""Servers and the origin in virtual time: connections, latency and faults around the fleet's models."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.core_queue import CoreQueue, WorkItem
from myrtlecourse.fleet.server_models import Answer, AnswerKind, CacheServerModel, OriginModel, Request
from myrtlecourse.interface import Status
from myrtlecourse.sim.core import Core, Event

if TYPE_CHECKING:
    from myrtlecourse.sim.routers import Attempt

HOP = 0.0002  # seconds that a message takes between two processes of one machine


class Model(Protocol):
    """What a node needs of its model of a server or the origin."""

    core_queue: CoreQueue

    def arrive(self, now: float, request: Request) -> WorkItem | None: ...
    def next_answer(self, now: float) -> Answer | None: ...


class Node:
    """A server or the origin, as routers reach it over the network."""

    def __init__(
        self,
        core: Core,
        name: str,
        model: Model,
        latencies: dict[str, float],
        idle_timeout: float,
        group: Callable[[Request], str],
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.core = core
        self.name = name
        self.model = model
        self.latencies = latencies  # router -> seconds one way
        self.idle_timeout = idle_timeout  # seconds after which an idle connection is closed
        self.group = group
        self.observe = observe
        self.idle_connections: dict[str, list[float]] = {}  # router -> times at which they became idle
        self.running: dict[Request, Attempt] = {}  # accepted attempts, in the order of arrival
        self.held_attempts: list[Attempt] = []  # attempts that arrived while the node was frozen or cut off
        self.held_answers: list[tuple[Attempt, Status]] = []  # answers that wait for the end of a cut
        self.timer: Event | None = None
        self.up = True
        self.refusing = False
        self.frozen = False
        self.is_cut = False
        self.cut_routers: set[str] = set()  # routers whose path to this node is cut
        self.reset_share = 0.0  # share of answers that are replaced by a reset
        self.rng = core.stream(f"spoilt {name}")
        self.on_answer: Callable[[Node, Answer], None] = lambda node, answer: None
        self.on_collapse: Callable[[Node], None] = lambda node: None
        self.useful_work = 0.0  # core-seconds spent on requests that were answered

    def connect(self, attempt: Attempt) -> None:
        """Start an attempt of a router, on an idle connection or a new one."""
        router = attempt.router.name
        idle = self.idle_connections.get(router, [])
        while idle and self.core.now - idle[0] >= self.idle_timeout:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            attempt.new_connection = True
            if self._is_cut_from(router):
                self.observe(seen.UnreachableDial(self.core.now, router, self.name))
                self.core.call_after(attempt.router.settings.dial_timeout, attempt.end, Status.CONNECT_FAILED)
                return
            if not self.up or self.refusing:
                self.observe(seen.UnreachableDial(self.core.now, router, self.name))
                self.core.call_after(HOP, attempt.end, Status.CONNECT_FAILED)
                return
        attempt.transmitted_at = self.core.now
        self.core.call_after(HOP + self.latencies[router], self.arrive, attempt)

    def arrive(self, attempt: Attempt) -> None:
        """Handle the arrival of an attempt's last byte."""
        if not self.up:
            self.core.call_after(HOP, attempt.end, Status.RESET)
            return
        if self.frozen or self._is_cut_from(attempt.router.name):
            self.held_attempts.append(attempt)
            return
        now, request = self.core.now, attempt.request()
        kind = request.request_class
        window = kind.window if request.idempotency else 0.0
        group = self.group(request)
        self.observe(
            seen.AttemptReceived(
                now,
                request.id,
                self.name,
                request.router,
                attempt.transmitted_at,
                kind.effect,
                group,
                window,
                request.idempotency,
            )
        )
        work_item = self.model.arrive(now, request)
        if isinstance(self.model, CacheServerModel) and self.model.overload_by_router is not None:
            self.observe(seen.ColdServerOverloaded(now, self.name, self.model.overload_by_router))
            self.terminate()
            self.on_collapse(self)
            attempt.end(Status.RESET)
            return
        if work_item is None:
            self.observe(seen.NeverRan(now, request.id, self.name))
            self._answer(attempt, Status.FULL)
            return
        attempt.work_item = work_item
        self.running[request] = attempt
        self.reschedule()

    def reschedule(self) -> None:
        """Set the timer to the time at which the next item of work ends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.model.core_queue.next_end()) < math.inf:
            self.timer = self.core.call_at(due, self._handle_ended_work)

    def _handle_ended_work(self) -> None:
        self.timer = None
        now = self.core.now
        while (answer := self.model.next_answer(now)) is not None:
            attempt = self.running.pop(answer.request, None)
            if answer.executed:
                self.observe(
                    seen.WriteExecuted(now, answer.request.id, self.name, answer.request.idempotency)
                )
            if answer.kind in (AnswerKind.MISS, AnswerKind.BUSY):
                self.observe(seen.NeverRan(now, answer.request.id, self.name))
            self.on_answer(self, answer)
            if attempt is not None:
                work_item, attempt.work_item = attempt.work_item, None
                if answer.kind is not AnswerKind.MISS and work_item is not None:
                    self.useful_work += work_item.work
                self._answer(attempt, self._status(answer))
        self.reschedule()

    def _status(self, answer: Answer) -> Status:
        match answer.kind:
            case AnswerKind.MISS:
                return Status.MISS
            case AnswerKind.BUSY:
                return Status.FULL
            case AnswerKind.ERROR:
                return Status.ERROR
        return Status.RESET if self.reset_share and self.rng.random() < self.reset_share else Status.OK

    def _answer(self, attempt: Attempt, status: Status) -> None:
        if self._is_cut_from(attempt.router.name):
            self.held_answers.append((attempt, status))
            return
        router = attempt.router.name
        if status is not Status.RESET:
            self.idle_connections.setdefault(router, []).append(self.core.now)
        self.core.call_after(HOP + self.latencies[router], attempt.end, status)

    def on_router_left(self, attempt: Attempt) -> None:
        """Handle a router that stops waiting for an attempt; the node learns it one latency later."""
        self.core.call_after(HOP + self.latencies[attempt.router.name], self._cancel_work, attempt)

    def _cancel_work(self, attempt: Attempt) -> None:
        if self.frozen or self._is_cut_from(attempt.router.name):
            return  # the node never learns that the router left, and continues the accepted work
        work_item, attempt.work_item = attempt.work_item, None
        if work_item is not None and isinstance(work_item.request, Request):
            self.running.pop(work_item.request, None)
            if isinstance(self.model, OriginModel):
                self.model.abandon(self.core.now, work_item)
            else:
                self.model.core_queue.cancel(self.core.now, work_item)
            self.reschedule()

    def freeze(self, frozen: bool) -> None:
        """Freeze the process, or resume it with the attempts that arrived in the meantime."""
        self.frozen = frozen
        self.set_speed(0.0 if frozen else 1.0)
        self._deliver_held_attempts()

    def cut(self, cut: bool) -> None:
        """Cut the node off the network, or reconnect it; what was sent in the meantime then arrives."""
        self.is_cut = cut
        self._deliver_held()

    def cut_from(self, routers: tuple[str, ...], cut: bool) -> None:
        """Cut the node off some routers only, or reconnect it with them."""
        self.cut_routers = self.cut_routers | set(routers) if cut else self.cut_routers - set(routers)
        self._deliver_held()

    def _is_cut_from(self, router: str) -> bool:
        return self.is_cut or router in self.cut_routers

    def _deliver_held(self) -> None:
        self._deliver_held_attempts()
        answers, self.held_answers = self.held_answers, []
        for attempt, status in answers:
            self._answer(attempt, status)

    def _deliver_held_attempts(self) -> None:
        if not self.frozen:
            attempts, self.held_attempts = self.held_attempts, []
            for attempt in attempts:
                self.arrive(attempt)

    def set_speed(self, factor: float) -> None:
        """Set the speed of its cores, as a multiple of their normal speed."""
        self.model.core_queue.core_speed.set_factor(self.core.now, factor)
        self.reschedule()

    def reset(self) -> None:
        """Reset all connections and cancels the work on their requests."""
        self.idle_connections.clear()
        attempts, self.running = list(self.running.values()) + self.held_attempts, {}
        self.held_attempts = []
        for attempt in attempts:
            if attempt.work_item is not None:
                self.model.core_queue.cancel(self.core.now, attempt.work_item)
                attempt.work_item = None
            self.core.call_after(HOP, attempt.end, Status.RESET)
        self.reschedule()

    def terminate(self) -> None:
        """End the process."""
        self.up = False
        self.frozen = False
        self.reset()
        self.model.core_queue.clear()
        self.reschedule()
