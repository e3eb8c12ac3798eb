"""A cache box on sockets: RESP2 in and out, with what it does left to `box.py`."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.box import Box, Ended, How, Request
from myrtlecourse.fleet.ports import Port, Served
from myrtlecourse.fleet.scenario import RequestClass, Scenario
from myrtlecourse.fleet.station import Piece
from myrtlecourse.net.command import MAX_VALUE, Command, CommandError, read_command
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError, split_command

MAX_ITEMS = 16
SWEEP = 0.25  # seconds between looks for idle connections
BUSY = b"-BUSY\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
SAID = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n", b"INFO": b"-NOPERM\r\n"}


def value_for(request: str, version: int, size: int) -> bytes:
    """A value of about so many bytes that names the request it was made for."""
    return f"{request} v{version} ".encode().ljust(size, b".")


def request_of(command: Command, classes: dict[str, RequestClass], router: str, fresh: bool) -> Request:
    """A router's command as the models take it."""
    kind = classes.get(command.info.get("c", ""))
    if kind is None:
        raise CommandError(f"unknown class {command.info.get('c')!r}")
    return Request(
        id=command.request_id.decode(),
        key=command.key.decode("latin-1"),
        request_class=kind,
        router=router,
        write=command.is_write,
        idempotency=command.info.get("k", ""),
        time_left=command.deadline_ms / 1000,
        fresh=fresh,
    )


def sent(request: Request, box: str, began: float, group: str) -> seen.AttemptReceived:
    """What the auditor is told of an attempt."""
    kind = request.request_class
    return seen.AttemptReceived(
        time.monotonic(),
        request.id,
        box,
        request.router,
        began,
        kind.effect,
        group,
        kind.window if request.idempotency else 0.0,
        request.idempotency,
        began + request.time_left,
    )


class BoxConnection(Served):
    """A router's connection to a box: commands in order, each answered before the next begins."""

    def __init__(self, port: Port, server: BoxServer) -> None:
        super().__init__(port)
        self.server = server
        self.reader = Reader(MAX_ITEMS, MAX_VALUE, MAX_VALUE + 8192)
        self.began = 0.0  # when the first byte of the next command came
        self.commands: deque[tuple[Message, float]] = deque()
        self.piece: Piece | None = None  # the attempt that is out
        self.fresh = True

    def busy(self) -> bool:
        return self.piece is not None or bool(self.commands) or bool(self.reader.buffer)

    def took(self, data: bytes, began: float) -> None:
        if not self.reader.buffer:
            self.began = began
            if not self.busy() and (parts := split_command(data)) is not None:
                self._begin(list(parts), began)
                return
        self.reader.feed(data)
        try:
            while (message := self.reader.next_message()) is not INCOMPLETE:
                self.commands.append((message, self.began))
                self.began = began
        except RespError:
            self.write(b"-SYNTAX\r\n")
            self.close()
            return
        self._next()

    def _next(self) -> None:
        while self.piece is None and self.commands:
            self._begin(*self.commands.popleft())

    def _begin(self, message: Message, began: float) -> None:
        if isinstance(message, list) and message and isinstance(message[0], bytes):
            said = SAID.get(message[0].upper())
            if said is not None:
                self.write(said)
                return
        try:
            command = read_command(message)
            request = request_of(command, self.server.classes, self.port.router, self.fresh)
        except CommandError as e:
            self.write(f"-ERR {e}\r\n".encode())
            return
        self.fresh = False
        self.piece = self.server.take(self, request, began)

    def answer(self, data: bytes) -> None:
        """The answer of the attempt that was out."""
        self.piece = None
        self.write(data)
        self._next()

    def ended(self) -> None:
        if self.piece is not None:
            self.server.left(self.piece)
            self.piece = None


class BoxServer:
    """A box, its ports, and what faults do to it."""

    def __init__(
        self,
        box: Box,
        scenario: Scenario,
        group: Callable[[RequestClass], str],
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.box = box
        self.classes = {c.name: c for c in scenario.classes}
        self.group = group
        self.observe = observe
        self.chance = random.Random(f"{scenario.seed} spoilt {box.name}")
        self.spoilt = 0.0  # share of answers
        self.senders: dict[Request, BoxConnection] = {}
        self.ports: dict[str, Port] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.missed: Callable[[str, BoxServer], None] = lambda request, server: None
        self.fell: Callable[[BoxServer], None] = lambda server: None
        self.loop = asyncio.get_running_loop()
        self.up = True
        self.swept = self.loop.call_later(SWEEP, self._sweep)

    async def listen(self, routers: dict[str, float]) -> None:
        """Listen for each router, which is so many seconds away."""
        for router, delay in routers.items():
            most = self.box.kind.connections
            self.ports[router] = Port(router, delay, most, lambda port: BoxConnection(port, self))
            await self.ports[router].listen()

    def take(self, connection: BoxConnection, request: Request, began: float) -> Piece | None:
        """An attempt has come whole; None when it has been answered."""
        now = time.monotonic()
        self.observe(sent(request, self.box.name, began, self.group(request.request_class)))
        piece = self.box.arrive(now, request)
        if self.box.fallen is not None:
            self.observe(seen.ColdServerOverloaded(now, self.box.name, self.box.fallen))
            self.end()
            self.fell(self)
            return None
        if piece is None:
            self.observe(seen.NeverRan(now, request.id, self.box.name))
            connection.write(BUSY)
            return None
        self.senders[request] = connection
        self._schedule()
        return piece

    def left(self, piece: Piece) -> None:
        """The router waits no more."""
        assert isinstance(piece.request, Request)
        self.senders.pop(piece.request, None)
        self.box.station.cancel(time.monotonic(), piece)
        self._schedule()

    def _schedule(self) -> None:
        due = self.box.station.due()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf:
            self.timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._work)

    def _work(self) -> None:
        """Answer all that has ended."""
        self.timer = None
        now = time.monotonic()
        while (ended := self.box.ended(now)) is not None:
            connection = self.senders.pop(ended.request, None)
            if ended.ran:
                self.observe(
                    seen.WriteExecuted(now, ended.request.id, self.box.name, ended.request.idempotency)
                )
            if ended.how in (How.MISS, How.BUSY):
                self.observe(seen.NeverRan(now, ended.request.id, self.box.name))
            if ended.how is How.MISS:
                self.missed(ended.request.id, self)
            if connection is not None:
                self._answer(connection, ended)
        self._schedule()

    def _answer(self, connection: BoxConnection, ended: Ended) -> None:
        match ended.how:
            case How.BUSY:
                answer = BUSY
            case How.MISS:
                answer = MISS
            case How.ERROR:
                answer = b"-ERR failed\r\n"
            case _:
                value = value_for(ended.request.id, ended.version, ended.size)
                answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
                if self.spoilt and self.chance.random() < self.spoilt:
                    self._spoil(connection, answer)
                    return
        connection.answer(answer)

    def _spoil(self, connection: BoxConnection, answer: bytes) -> None:
        """An answer that is none, in one of several ways."""
        way = self.chance.randrange(4)
        spoilt = (
            answer[: len(answer) // 2],
            b"*3\r\n$3000000000\r\n",
            answer[:4] + b"$2" + answer[4:],
            b"\x00?!\r\n",
        )
        connection.answer(spoilt[way])
        connection.close()

    def _sweep(self) -> None:
        """Close what has stood idle for too long."""
        if not self.ports or not next(iter(self.ports.values())).frozen:
            for port in self.ports.values():
                port.drop_idle(time.monotonic() - self.box.kind.idle)
        self.swept = self.loop.call_later(SWEEP, self._sweep)

    def freeze(self, frozen: bool) -> None:
        """The process stands still, or goes on."""
        now = time.monotonic()
        self.box.station.pace.change(now, 0.0 if frozen else 1.0)
        for port in self.ports.values():
            port.freeze(frozen)
        self._schedule()

    def pace(self, factor: float) -> None:
        """Its cores work so many times as fast."""
        self.box.station.pace.change(time.monotonic(), factor)
        self._schedule()

    def end(self) -> None:
        """The process ends."""
        self.up = False
        self.senders.clear()
        self.box.station.clear()
        self._schedule()
        for port in self.ports.values():
            port.end()

    async def start(self) -> float:
        """A new process, empty and cold; answers with the time of its start. What has fallen stays down."""
        now = time.monotonic()
        if self.up or self.box.fallen is not None:
            return self.box.started
        self.box.start(now)
        self.observe(seen.ServerStarted(now, self.box.name))
        self.up = True
        for port in self.ports.values():
            await port.listen()
        return now

    def close(self) -> None:
        """The stand-in ends."""
        self.swept.cancel()
        self.end()
        for port in self.ports.values():
            port.close()
