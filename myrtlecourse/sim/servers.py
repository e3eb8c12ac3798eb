"""Boxes and the origin in virtual time: connections, distance and faults round the fleet's models."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.box import Box, Ended, How, OriginStore, Request
from myrtlecourse.fleet.station import Piece, Station
from myrtlecourse.interface import Status
from myrtlecourse.sim.core import Core, Event

if TYPE_CHECKING:
    from myrtlecourse.sim.routers import Attempt

HOP = 0.0002  # seconds that a message takes between two processes of one machine


class Model(Protocol):
    """What a node needs of the model it stands round."""

    station: Station

    def arrive(self, now: float, request: Request) -> Piece | None: ...
    def ended(self, now: float) -> Ended | None: ...


class Node:
    """A box or the origin, as routers reach it."""

    def __init__(
        self,
        core: Core,
        name: str,
        model: Model,
        distances: dict[str, float],
        idle: float,
        group: Callable[[Request], str],
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.core = core
        self.name = name
        self.model = model
        self.distances = distances
        self.idle = idle  # seconds after which an idle connection is closed
        self.group = group
        self.observe = observe
        self.kept: dict[str, list[float]] = {}  # idle connections of each router: since when
        self.out: dict[Request, Attempt] = {}  # in the order in which they came
        self.held: list[Attempt] = []  # come while it stood still or was cut off
        self.unsent: list[tuple[Attempt, Status]] = []  # answers that a cut holds up
        self.timer: Event | None = None
        self.up = True
        self.refusing = False
        self.frozen = False
        self.is_cut = False
        self.unreached: set[str] = set()  # routers whose way here is cut
        self.spoilt = 0.0
        self.chance = core.stream(f"spoilt {name}")
        self.answered: Callable[[Node, Ended], None] = lambda node, ended: None
        self.fell: Callable[[Node], None] = lambda node: None
        self.work = 0.0  # seconds of a core that answered requests

    def connect(self, attempt: Attempt) -> None:
        """A router sends an attempt: on a kept connection, or a new one."""
        router = attempt.router.name
        kept = self.kept.get(router, [])
        while kept and self.core.now - kept[0] >= self.idle:
            kept.pop(0)
        if kept:
            kept.pop()
        else:
            attempt.fresh = True
            if self._cut_from(router):
                self.observe(seen.UnreachableDial(self.core.now, router, self.name))
                self.core.call_after(attempt.router.settings.dial_timeout, attempt.end, Status.CONNECT_FAILED)
                return
            if not self.up or self.refusing:
                self.observe(seen.UnreachableDial(self.core.now, router, self.name))
                self.core.call_after(HOP, attempt.end, Status.CONNECT_FAILED)
                return
        attempt.began = self.core.now
        self.core.call_after(HOP + self.distances[router], self.arrive, attempt)

    def arrive(self, attempt: Attempt) -> None:
        """Its last byte has come."""
        if not self.up:
            self.core.call_after(HOP, attempt.end, Status.RESET)
            return
        if self.frozen or self._cut_from(attempt.router.name):
            self.held.append(attempt)
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
                attempt.began,
                kind.effect,
                group,
                window,
                request.idempotency,
            )
        )
        piece = self.model.arrive(now, request)
        if isinstance(self.model, Box) and self.model.fallen is not None:
            self.observe(seen.ColdServerOverloaded(now, self.name, self.model.fallen))
            self.end()
            self.fell(self)
            attempt.end(Status.RESET)
            return
        if piece is None:
            self.observe(seen.NeverRan(now, request.id, self.name))
            self._answer(attempt, Status.FULL)
            return
        attempt.piece = piece
        self.out[request] = attempt
        self.schedule()

    def schedule(self) -> None:
        """Come back when the next piece of work ends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.model.station.due()) < math.inf:
            self.timer = self.core.call_at(due, self._work)

    def _work(self) -> None:
        self.timer = None
        now = self.core.now
        while (ended := self.model.ended(now)) is not None:
            attempt = self.out.pop(ended.request, None)
            if ended.ran:
                self.observe(seen.WriteExecuted(now, ended.request.id, self.name, ended.request.idempotency))
            if ended.how in (How.MISS, How.BUSY):
                self.observe(seen.NeverRan(now, ended.request.id, self.name))
            self.answered(self, ended)
            if attempt is not None:
                piece, attempt.piece = attempt.piece, None
                if ended.how is not How.MISS and piece is not None:
                    self.work += piece.work
                self._answer(attempt, self._status(ended))
        self.schedule()

    def _status(self, ended: Ended) -> Status:
        match ended.how:
            case How.MISS:
                return Status.MISS
            case How.BUSY:
                return Status.FULL
            case How.ERROR:
                return Status.ERROR
        return Status.RESET if self.spoilt and self.chance.random() < self.spoilt else Status.OK

    def _answer(self, attempt: Attempt, status: Status) -> None:
        if self._cut_from(attempt.router.name):
            self.unsent.append((attempt, status))
            return
        router = attempt.router.name
        if status is not Status.RESET:
            self.kept.setdefault(router, []).append(self.core.now)
        self.core.call_after(HOP + self.distances[router], attempt.end, status)

    def left(self, attempt: Attempt) -> None:
        """The router waits no more; the box hears of it a little later."""
        self.core.call_after(HOP + self.distances[attempt.router.name], self._left, attempt)

    def _left(self, attempt: Attempt) -> None:
        if self.frozen or self._cut_from(attempt.router.name):
            return  # what it does with what came before, it does
        piece, attempt.piece = attempt.piece, None
        if piece is not None and isinstance(piece.request, Request):
            self.out.pop(piece.request, None)
            if isinstance(self.model, OriginStore):
                self.model.left(self.core.now, piece)
            else:
                self.model.station.cancel(self.core.now, piece)
            self.schedule()

    def freeze(self, frozen: bool) -> None:
        """Stand still, or go on with what came meanwhile."""
        self.frozen = frozen
        self.pace(0.0 if frozen else 1.0)
        self._take_held()

    def cut(self, cut: bool) -> None:
        """Cut the network, or mend it: what was sent meanwhile comes through."""
        self.is_cut = cut
        self._mended()

    def part(self, routers: tuple[str, ...], cut: bool) -> None:
        """The same for the way from some routers."""
        self.unreached = self.unreached | set(routers) if cut else self.unreached - set(routers)
        self._mended()

    def _cut_from(self, router: str) -> bool:
        return self.is_cut or router in self.unreached

    def _mended(self) -> None:
        self._take_held()
        unsent, self.unsent = self.unsent, []
        for attempt, status in unsent:
            self._answer(attempt, status)

    def _take_held(self) -> None:
        if not self.frozen:
            held, self.held = self.held, []
            for attempt in held:
                self.arrive(attempt)

    def pace(self, factor: float) -> None:
        """Its cores work so many times as fast."""
        self.model.station.pace.change(self.core.now, factor)
        self.schedule()

    def reset(self) -> None:
        """All connections are reset; what is worked on is given up."""
        self.kept.clear()
        out, self.out = list(self.out.values()) + self.held, {}
        self.held = []
        for attempt in out:
            if attempt.piece is not None:
                self.model.station.cancel(self.core.now, attempt.piece)
                attempt.piece = None
            self.core.call_after(HOP, attempt.end, Status.RESET)
        self.schedule()

    def end(self) -> None:
        """The process ends."""
        self.up = False
        self.frozen = False
        self.reset()
        self.model.station.clear()
        self.schedule()
