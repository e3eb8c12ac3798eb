"""The origin on sockets: HTTP/1.1 in and out, with what it does left to `box.py`."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from urllib.parse import unquote

import h11

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.box import Ended, How, OriginStore, Request
from myrtlecourse.fleet.box_server import request_of, sent, value_for
from myrtlecourse.fleet.layout import ORIGIN as NAME
from myrtlecourse.fleet.ports import Port, Served
from myrtlecourse.fleet.scenario import RequestClass, Scenario
from myrtlecourse.fleet.station import Piece
from myrtlecourse.net.command import MAX_VALUE, Command, CommandError, read_info

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class HttpConnection(Served):
    """An HTTP/1.1 connection of a stand-in: whole requests in, one answer each."""

    def __init__(self, port: Port) -> None:
        super().__init__(port)
        self.http = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.body = b""
        self.began = 0.0
        self.owed = False

    def busy(self) -> bool:
        return self.owed or self.head is not None

    def asked(self, head: h11.Request, body: bytes) -> None:
        """A request has come whole."""
        raise NotImplementedError

    def took(self, data: bytes, began: float) -> None:
        if not self.busy():
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
                    self.owed = True
                    self.asked(head, self.body)
                case _:
                    return  # no more has come, or the last answer is still owed

    def reply(self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None) -> None:
        """Answer what was asked."""
        if self.transport.is_closing() or not self.open:
            return
        length = [(b"Content-Length", b"%d" % len(body))]
        answer = h11.Response(
            status_code=status, headers=length + (headers or []), reason=REASONS.get(status, b"")
        )
        data = self.http.send(answer) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.owed = False
        self.write(data)
        if self.http.our_state is h11.MUST_CLOSE or self.http.our_state is h11.ERROR:
            self.close()
        elif self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._read()


class OriginConnection(HttpConnection):
    """A router's connection to the origin."""

    def __init__(self, port: Port, server: OriginServer) -> None:
        super().__init__(port)
        self.server = server
        self.piece: Piece | None = None

    def asked(self, head: h11.Request, body: bytes) -> None:
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
            request = request_of(command, self.server.classes, self.port.router, False)
        except CommandError as e:
            self.reply(400, str(e).encode())
            return
        self.piece = self.server.take(self, request, self.began)

    def ended(self) -> None:
        if self.piece is not None:
            self.server.left(self.piece)
            self.piece = None


class OriginServer:
    """The origin, its ports, and what faults do to it."""

    def __init__(
        self,
        store: OriginStore,
        scenario: Scenario,
        observe: Callable[[seen.Observation], None],
        answered: Callable[[Ended], None],
    ) -> None:
        self.store = store
        self.classes: dict[str, RequestClass] = {c.name: c for c in scenario.classes}
        self.observe = observe
        self.answered = answered
        self.senders: dict[Request, OriginConnection] = {}
        self.ports: dict[str, Port] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()

    async def listen(self, routers: dict[str, float]) -> None:
        """Listen for each router, which is so many seconds away."""
        for router, delay in routers.items():
            most = self.store.origin.connections
            self.ports[router] = Port(router, delay, most, lambda port: OriginConnection(port, self))
            await self.ports[router].listen()

    def take(self, connection: OriginConnection, request: Request, began: float) -> Piece | None:
        """A fetch or a write has come whole; None when it has been answered."""
        now = time.monotonic()
        self.observe(sent(request, NAME, began, request.request_class.group))
        piece = self.store.arrive(now, request)
        if piece is None:
            self.observe(seen.NeverRan(now, request.id, NAME))
            connection.reply(503, b"", [(b"Not-Started", b"1")])
            return None
        self.senders[request] = connection
        self._schedule()
        return piece

    def left(self, piece: Piece) -> None:
        """The router waits no more."""
        assert isinstance(piece.request, Request)
        self.senders.pop(piece.request, None)
        self.store.left(time.monotonic(), piece)
        self._schedule()

    def _schedule(self) -> None:
        due = self.store.station.due()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due < math.inf:
            self.timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._work)

    def _work(self) -> None:
        self.timer = None
        now = time.monotonic()
        while (ended := self.store.ended(now)) is not None:
            connection = self.senders.pop(ended.request, None)
            if ended.ran:
                self.observe(seen.WriteExecuted(now, ended.request.id, NAME, ended.request.idempotency))
            self.answered(ended)
            if connection is None:
                continue
            connection.piece = None
            if ended.how is How.ERROR:
                connection.reply(500, b"failed")
            else:
                connection.reply(200, value_for(ended.request.id, ended.version, ended.size))
        self._schedule()

    def pace(self, factor: float) -> None:
        """It works so many times as fast."""
        self.store.station.pace.change(time.monotonic(), factor)
        self._schedule()

    def drop_idle(self) -> None:
        """Close what has stood idle for too long."""
        for port in self.ports.values():
            port.drop_idle(time.monotonic() - self.store.origin.idle)

    def close(self) -> None:
        """The stand-in ends."""
        if self.timer is not None:
            self.timer.cancel()
        for port in self.ports.values():
            port.close()
