"""A cache server on sockets: speaks RESP2 and leaves its behaviour to the model in `server_models.py`."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Callable

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.core_queue import WorkItem
from myrtlecourse.fleet.ports import Port, ServerConnection
from myrtlecourse.fleet.scenario import RequestClass, Scenario
from myrtlecourse.fleet.second_answers import SecondAnswers
from myrtlecourse.fleet.server_models import Answer, AnswerKind, CacheServerModel, Request
from myrtlecourse.net.command import MAX_VALUE, Command, CommandError, read_command
from myrtlecourse.net.resp import INCOMPLETE, Message, Reader, RespError, split_command

MAX_ITEMS = 16  # items of a command
SWEEP_INTERVAL = 0.25  # seconds between checks for idle connections
BUSY = b"-BUSY\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
FIXED_REPLIES = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n", b"INFO": b"-NOPERM\r\n"}


def value_for(request: str, version: int, size: int) -> bytes:
    """Return a value of about `size` bytes that names the request it was made for."""
    return f"{request} v{version} ".encode().ljust(size, b".")


def parse_request(
    command: Command, classes: dict[str, RequestClass], router: str, new_connection: bool
) -> Request:
    """Return a router's command as a request to a model. Raises CommandError."""
    request_class = classes.get(command.info.get("c", ""))
    if request_class is None:
        raise CommandError(f"unknown class {command.info.get('c')!r}")
    return Request(
        id=command.request_id.decode(),
        key=command.key.decode("latin-1"),
        request_class=request_class,
        router=router,
        write=command.is_write,
        idempotency=command.info.get("k", ""),
        time_left=command.deadline_ms / 1000,
        new_connection=new_connection,
    )


def attempt_received(request: Request, server: str, began: float, group: str) -> seen.AttemptReceived:
    """Return the observation that an attempt has arrived at a server."""
    request_class = request.request_class
    return seen.AttemptReceived(
        time.monotonic(),
        request.id,
        server,
        request.router,
        began,
        request_class.effect,
        group,
        request_class.window if request.idempotency else 0.0,
        request.idempotency,
        began + request.time_left,
    )


class CacheServerConnection(ServerConnection):
    """A router's connection to a cache server: commands are answered in order, one at a time."""

    def __init__(self, port: Port, server: CacheServer) -> None:
        super().__init__(port)
        self.server = server
        self.reader = Reader(MAX_ITEMS, MAX_VALUE, MAX_VALUE + 8192)
        self.began = 0.0  # time of the first byte of the next command
        self.commands: deque[tuple[Message, float]] = deque()
        self.current_item: WorkItem | None = None  # the attempt that is being served
        self.first_attempt = True

    def is_busy(self) -> bool:
        return self.current_item is not None or bool(self.commands) or bool(self.reader.buffer)

    def on_data(self, data: bytes, began: float) -> None:
        if not self.reader.buffer:
            self.began = began
            if not self.is_busy() and (parts := split_command(data)) is not None:
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
        while self.current_item is None and self.commands:
            self._begin(*self.commands.popleft())

    def _begin(self, message: Message, began: float) -> None:
        if isinstance(message, list) and message and isinstance(message[0], bytes):
            fixed_reply = FIXED_REPLIES.get(message[0].upper())
            if fixed_reply is not None:
                self.write(fixed_reply)
                return
        try:
            command = read_command(message)
            request = parse_request(command, self.server.classes, self.port.router, self.first_attempt)
        except CommandError as e:
            self.write(f"-ERR {e}\r\n".encode())
            return
        self.first_attempt = False
        self.current_item = self.server.accept(self, request, began)

    def send_answer(self, data: bytes) -> None:
        """Write the answer to the current attempt and begin the next command."""
        self.current_item = None
        self.write(data)
        self._next()

    def on_closed(self) -> None:
        if self.current_item is not None:
            self.server.abandon(self.current_item)
            self.current_item = None


class CacheServer:
    """A cache server with its ports and the effects of faults on it."""

    def __init__(
        self,
        model: CacheServerModel,
        scenario: Scenario,
        group: Callable[[RequestClass], str],
        observe: Callable[[seen.Observation], None],
    ) -> None:
        self.model = model
        self.classes = {c.name: c for c in scenario.classes}
        self.group = group
        self.observe = observe
        self.generator = random.Random(f"{scenario.seed} spoilt {model.name}")
        self.corrupt_share = 0.0  # share of answers that are corrupted
        self.second_answers = SecondAnswers(
            model.name, random.Random(f"{scenario.seed} second answers {model.name}"), observe
        )
        self.connections: dict[Request, CacheServerConnection] = {}
        self.ports: dict[str, Port] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.on_miss: Callable[[str, CacheServer], None] = lambda request, server: None
        self.on_collapse: Callable[[CacheServer], None] = lambda server: None
        self.loop = asyncio.get_running_loop()
        self.running = True
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    async def listen(self, routers: dict[str, float]) -> None:
        """Listen for each router; `routers` gives the one-way delay to each in seconds."""
        for router, delay in routers.items():
            max_connections = self.model.kind.connections
            self.ports[router] = Port(
                router, delay, max_connections, lambda port: CacheServerConnection(port, self)
            )
            await self.ports[router].listen()

    def accept(self, connection: CacheServerConnection, request: Request, began: float) -> WorkItem | None:
        """Accept a fully received attempt. Return None if it has been answered already."""
        now = time.monotonic()
        self.observe(attempt_received(request, self.model.name, began, self.group(request.request_class)))
        item = self.model.arrive(now, request)
        if self.model.overload_by_router is not None:
            self.observe(seen.ColdServerOverloaded(now, self.model.name, self.model.overload_by_router))
            self.stop()
            self.on_collapse(self)
            return None
        if item is None:
            self.observe(seen.NeverRan(now, request.id, self.model.name))
            connection.write(BUSY)
            self.second_answers.after_answer(connection, request, BUSY)
            return None
        self.connections[request] = connection
        self._schedule()
        return item

    def abandon(self, item: WorkItem) -> None:
        """Cancel an attempt whose router no longer waits."""
        assert isinstance(item.request, Request)
        self.connections.pop(item.request, None)
        self.model.core_queue.cancel(time.monotonic(), item)
        self._schedule()

    def _schedule(self) -> None:
        due = self.model.core_queue.next_end()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf:
            self.timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._work)

    def _work(self) -> None:
        """Send the answers of all attempts whose work has ended."""
        self.timer = None
        now = time.monotonic()
        while (answer := self.model.next_answer(now)) is not None:
            connection = self.connections.pop(answer.request, None)
            if answer.executed:
                self.observe(
                    seen.WriteExecuted(now, answer.request.id, self.model.name, answer.request.idempotency)
                )
            if answer.kind in (AnswerKind.MISS, AnswerKind.BUSY):
                self.observe(seen.NeverRan(now, answer.request.id, self.model.name))
            if answer.kind is AnswerKind.MISS:
                self.on_miss(answer.request.id, self)
            if connection is not None:
                self._answer(connection, answer)
        self._schedule()

    def _answer(self, connection: CacheServerConnection, answer: Answer) -> None:
        match answer.kind:
            case AnswerKind.BUSY:
                reply = BUSY
            case AnswerKind.MISS:
                reply = MISS
            case AnswerKind.ERROR:
                reply = b"-ERR failed\r\n"
            case _:
                value = value_for(answer.request.id, answer.version, answer.size)
                reply = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
                if self.corrupt_share and self.generator.random() < self.corrupt_share:
                    self._send_corrupt(connection, reply)
                    return
        connection.send_answer(reply)
        self.second_answers.after_answer(connection, answer.request, reply)

    def _send_corrupt(self, connection: CacheServerConnection, reply: bytes) -> None:
        """Send a corrupt answer of one of four kinds and close the connection."""
        index = self.generator.randrange(4)
        corrupt_answers = (
            reply[: len(reply) // 2],
            b"*3\r\n$3000000000\r\n",
            reply[:4] + b"$2" + reply[4:],
            b"\x00?!\r\n",
        )
        connection.send_answer(corrupt_answers[index])
        connection.close()

    def _sweep(self) -> None:
        """Close connections that have been idle for too long."""
        if not self.ports or not next(iter(self.ports.values())).frozen:
            for port in self.ports.values():
                port.drop_idle(time.monotonic() - self.model.kind.idle)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def freeze(self, frozen: bool) -> None:
        """Freeze the process, or resume it."""
        now = time.monotonic()
        self.model.core_queue.core_speed.set_factor(now, 0.0 if frozen else 1.0)
        for port in self.ports.values():
            port.freeze(frozen)
        self._schedule()

    def set_speed(self, factor: float) -> None:
        """Multiply the normal speed of the cores by `factor`."""
        self.model.core_queue.core_speed.set_factor(time.monotonic(), factor)
        self._schedule()

    def stop(self) -> None:
        """Stop the process: all connections are reset and queued work is lost."""
        self.running = False
        self.connections.clear()
        self.model.core_queue.clear()
        self._schedule()
        for port in self.ports.values():
            port.stop()

    async def start(self) -> float:
        """Start a new process, empty and cold, and return its start time. A collapsed server stays down."""
        now = time.monotonic()
        if self.running or self.model.overload_by_router is not None:
            return self.model.started_at
        self.model.start(now)
        self.observe(seen.ServerStarted(now, self.model.name))
        self.running = True
        for port in self.ports.values():
            await port.listen()
        return now

    def close(self) -> None:
        """Stop the server and release its ports."""
        self.sweep_timer.cancel()
        self.stop()
        for port in self.ports.values():
            port.close()
