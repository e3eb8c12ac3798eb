"""The origin on sockets: speaks HTTP/1.1 and leaves its behaviour to the model in `server_models.py`."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from urllib.parse import unquote

import h11

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.cache_server import attempt_received, parse_request, value_for
from myrtlecourse.fleet.core_queue import WorkItem
from myrtlecourse.fleet.layout import ORIGIN as NAME
from myrtlecourse.fleet.ports import Port, ServerConnection
from myrtlecourse.fleet.scenario import RequestClass, Scenario
from myrtlecourse.fleet.second_answers import SecondAnswers
from myrtlecourse.fleet.server_models import Answer, AnswerKind, OriginModel, Request
from myrtlecourse.net.command import MAX_VALUE, Command, CommandError, read_info

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class HttpConnection(ServerConnection):
    """An HTTP/1.1 connection of a stand-in server: reads whole requests and answers each once."""

    def __init__(self, port: Port) -> None:
        super().__init__(port)
        self.http = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.body = b""
        self.began = 0.0  # arrival time of the first byte of the current request
        self.answer_owed = False

    def is_busy(self) -> bool:
        return self.answer_owed or self.head is not None

    def on_request(self, head: h11.Request, body: bytes) -> None:
        """Handle a request that has arrived completely."""
        raise NotImplementedError

    def on_data(self, data: bytes, began: float) -> None:
        if not self.is_busy():
            self.began = began
        try:
            self.http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as e:
            self.reply(e.error_status_hint, str(e).encode(), [(b"Connection", b"close")])

    def _read(self) -> None:
        while self.open:
            event = self.http.next_event()
            match event:
                case h11.Request():
                    self.head, self.body = event, b""
                case h11.Data():
                    self.body += event.data
                    if len(self.body) > MAX_VALUE:
                        raise h11.RemoteProtocolError("body is too long", 413)
                case h11.EndOfMessage():
                    head, self.head = self.head, None
                    assert head is not None
                    self.answer_owed = True
                    self.on_request(head, self.body)
                case _:
                    return  # no more data, or the last answer is still owed

    def reply(
        self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None
    ) -> bytes:
        """Answer the current request and return the bytes written; none if the connection has ended."""
        if self.transport.is_closing() or not self.open:
            return b""
        length = [(b"Content-Length", b"%d" % len(body))]
        answer = h11.Response(
            status_code=status, headers=length + (headers or []), reason=REASONS.get(status, b"")
        )
        data = self.http.send(answer) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.answer_owed = False
        self.write(data)
        if self.http.our_state is h11.MUST_CLOSE or self.http.our_state is h11.ERROR:
            self.close()
        elif self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._read()
        return data


class OriginConnection(HttpConnection):
    """A router's connection to the origin."""

    def __init__(self, port: Port, server: OriginServer) -> None:
        super().__init__(port)
        self.server = server
        self.current_item: WorkItem | None = None

    def on_request(self, head: h11.Request, body: bytes) -> None:
        headers = dict(head.headers)
        if head.target in (b"/health/live", b"/stats"):
            self.reply(200, b"ok")
            return
        try:
            info = read_info(headers.get(b"request-info", b""))
            key, name = unquote(head.target[1:].decode("ascii")).encode(), headers.get(b"request-id", b"")
            if head.method not in (b"GET", b"PUT") or not name or not info.get("d", "").isdigit():
                raise CommandError("not a fetch or a write")
            value = body if head.method == b"PUT" else None
            command = Command(head.method, key, name, info, int(info["d"]), value)
            request = parse_request(command, self.server.classes, self.port.router, False)
        except CommandError as e:
            self.reply(400, str(e).encode())
            return
        self.current_item = self.server.accept(self, request, self.began)

    def on_closed(self) -> None:
        if self.current_item is not None:
            self.server.abandon(self.current_item)
            self.current_item = None


class OriginServer:
    """The origin with its ports and the effects of faults on it."""

    def __init__(
        self,
        model: OriginModel,
        scenario: Scenario,
        observe: Callable[[seen.Observation], None],
        on_answer: Callable[[Answer], None],
    ) -> None:
        self.model = model
        self.classes: dict[str, RequestClass] = {c.name: c for c in scenario.classes}
        self.observe = observe
        self.on_answer = on_answer
        self.second_answers = SecondAnswers(
            NAME, random.Random(f"{scenario.seed} second answers {NAME}"), observe
        )
        self.connections: dict[Request, OriginConnection] = {}
        self.ports: dict[str, Port] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()

    async def listen(self, routers: dict[str, float]) -> None:
        """Listen for each router; `routers` gives the one-way delay to each in seconds."""
        for router, delay in routers.items():
            max_connections = self.model.origin.connections
            self.ports[router] = Port(
                router, delay, max_connections, lambda port: OriginConnection(port, self)
            )
            await self.ports[router].listen()

    def accept(self, connection: OriginConnection, request: Request, began: float) -> WorkItem | None:
        """Accept a fully received fetch or write. Return None if it has been answered already."""
        now = time.monotonic()
        self.observe(attempt_received(request, NAME, began, request.request_class.group))
        item = self.model.arrive(now, request)
        if item is None:
            self.observe(seen.NeverRan(now, request.id, NAME))
            data = connection.reply(503, b"", [(b"Not-Started", b"1")])
            self.second_answers.after_answer(connection, request, data)
            return None
        self.connections[request] = connection
        self._schedule()
        return item

    def abandon(self, item: WorkItem) -> None:
        """Handle a router that stopped waiting for an attempt."""
        assert isinstance(item.request, Request)
        self.connections.pop(item.request, None)
        self.model.abandon(time.monotonic(), item)
        self._schedule()

    def _schedule(self) -> None:
        due = self.model.core_queue.next_end()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf:
            self.timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._work)

    def _work(self) -> None:
        self.timer = None
        now = time.monotonic()
        while (answer := self.model.next_answer(now)) is not None:
            connection = self.connections.pop(answer.request, None)
            if answer.executed:
                self.observe(seen.WriteExecuted(now, answer.request.id, NAME, answer.request.idempotency))
            self.on_answer(answer)
            if connection is None:
                continue
            connection.current_item = None
            if answer.kind is AnswerKind.ERROR:
                data = connection.reply(500, b"failed")
            else:
                data = connection.reply(200, value_for(answer.request.id, answer.version, answer.size))
            self.second_answers.after_answer(connection, answer.request, data)
        self._schedule()

    def set_speed(self, factor: float) -> None:
        """Multiply the normal speed by `factor`."""
        self.model.core_queue.core_speed.set_factor(time.monotonic(), factor)
        self._schedule()

    def drop_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for port in self.ports.values():
            port.drop_idle(time.monotonic() - self.model.origin.idle)

    def close(self) -> None:
        """Stop the timer and release the ports."""
        if self.timer is not None:
            self.timer.cancel()
        for port in self.ports.values():
            port.close()
