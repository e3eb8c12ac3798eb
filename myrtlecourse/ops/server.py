"""The operators' address: a small HTTP server on the event loop that also serves clients.

An operator must get a response within a second. So the server has descriptors of its own, and neither many
clients nor idle callers delay a call; the event loop's lag is far shorter than a second.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import chain
from typing import cast

from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.transport import Transport
from myrtlecourse.ops.calls import Call, Exchange, Response

# open connections; beyond that one that was answered is closed, else the oldest without a complete call
MAX_CALLERS = 12
CALL_TIMEOUT = 2.0  # seconds from the start of a connection in which the call must arrive completely
LINGER_TIMEOUT = 1.0  # seconds for a caller to read the response and close the connection
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class OpsServer:
    """Accepts connections of operators."""

    def __init__(self, handle_call: Callable[[Call], Awaitable[Response]]) -> None:
        self.handle_call = handle_call
        self.callers: dict[Caller, None] = {}  # open connections, the oldest first
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to listen, and return the address; for port 0 the system chooses one. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), *address, backlog=128)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def add_caller(self, caller: Caller) -> None:
        """Add a connection, and close one if there are too many, as idle callers could use up descriptors."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            answered_callers = (c for c in self.callers if c.answered)
            without_call = (c for c in self.callers if not c.call_complete)
            next(chain(answered_callers, without_call), caller).transport.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()


class Caller(asyncio.Protocol):
    """A connection of an operator, for one call."""

    def __init__(self, server: OpsServer) -> None:
        self.server = server
        self.exchange = Exchange()
        self.call_complete = False  # whether the call has arrived completely
        self.answered = False  # whether the response was sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.server.add_caller(self)
        timeout = Response(HTTPStatus.REQUEST_TIMEOUT, "no complete call arrived in time")
        self.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT, self._respond, timeout)

    def data_received(self, data: bytes) -> None:
        if self.call_complete:
            return
        call = self.exchange.receive(data)
        if isinstance(call, Call):
            self.call_complete = True
            task = asyncio.get_running_loop().create_task(self._handle_call(call))
            self.server.tasks.add(task)
            task.add_done_callback(self.server.tasks.discard)
        elif call is not None:
            self._respond(call)

    async def _handle_call(self, call: Call) -> None:
        try:
            response = await self.server.handle_call(call)
        except Exception:
            # an operator must get a response whatever went wrong, instead of a timeout
            log.exception("call %s %s", call.kind.value, call.server)
            response = Response(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error; see the log")
        # the platform queries often; only failures and calls that name a server are useful to operators later
        level = logging.INFO if response.status is not HTTPStatus.OK or call.server else logging.DEBUG
        bounded.log(
            level,
            "operators' call %s %.80r: %d %s",
            call.kind.value,
            call.server,
            response.status,
            response.text,
        )
        self._respond(response)

    def eof_received(self) -> bool:
        """Keep the connection open for the response if the caller half-closes it after its call."""
        return self.call_complete and not self.answered

    def _respond(self, response: Response) -> None:
        if self.answered:
            return
        self.call_complete = self.answered = True
        self.timer.cancel()
        if self.transport.is_closing():
            return
        self.transport.write(self.exchange.encode(response))
        # only the sending side is closed: to close a connection with unread bytes would reset it, and the
        # response might be lost
        self.transport.write_eof()
        self.timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.server.callers.pop(self, None)
