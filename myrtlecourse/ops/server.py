"""The operators' address: a small HTTP server beside the clients' listener.

It runs on the same event loop: its room is its own, so that neither full tables of clients nor callers that
say nothing keep an operator waiting, and a turn of the loop is far shorter than the second that is owed.
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
from myrtlecourse.ops.calls import Answer, Call, Exchange

MOST_CALLERS = 12  # connections held; one more costs the one that has said nothing whole for longest
HEAD_TIME = 2.0  # seconds for a whole call to come
LINGER = 1.0  # seconds for a caller to take its answer, and to close
log = logging.getLogger(__name__)
bounded = RateLimitedLog(log)


class OpsServer:
    """Listens for operators."""

    def __init__(self, carry_out: Callable[[Call], Awaitable[Answer]]) -> None:
        self.carry_out = carry_out
        self.callers: dict[Caller, None] = {}  # in the order in which they came
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; answers with the address, which may have been left to the system."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), *address, backlog=128)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def welcome(self, caller: Caller) -> None:
        """Guards the descriptors against callers that only hold their connection."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            answered = (c for c in self.callers if c.settled)
            waiting = (c for c in self.callers if not c.asked)
            next(chain(answered, waiting), caller).transport.abort()

    def close(self) -> None:
        """Listen no more."""
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()


class Caller(asyncio.Protocol):
    """One operator's connection, for one call."""

    def __init__(self, server: OpsServer) -> None:
        self.server = server
        self.exchange = Exchange()
        self.asked = False  # whether the call is whole
        self.settled = False  # whether it has its answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.server.welcome(self)
        late = Answer(HTTPStatus.REQUEST_TIMEOUT, "no whole call came")
        self.timer = asyncio.get_running_loop().call_later(HEAD_TIME, self._settle, late)

    def data_received(self, data: bytes) -> None:
        if self.asked:
            return
        call = self.exchange.receive(data)
        if isinstance(call, Call):
            self.asked = True
            task = asyncio.get_running_loop().create_task(self._carry_out(call))
            self.server.tasks.add(task)
            task.add_done_callback(self.server.tasks.discard)
        elif call is not None:
            self._settle(call)

    async def _carry_out(self, call: Call) -> None:
        try:
            answer = await self.server.carry_out(call)
        except Exception:
            # guards the operator: whatever went wrong is a no, and not a second of silence
            log.exception("call %s %s", call.kind.value, call.server)
            answer = Answer(HTTPStatus.INTERNAL_SERVER_ERROR, "this went wrong; the log has more")
        # asked often by the platform; what changes something is for staff to find again
        level = logging.INFO if answer.status is not HTTPStatus.OK or call.server else logging.DEBUG
        bounded.log(
            level, "operators' call %s %.80r: %d %s", call.kind.value, call.server, answer.status, answer.text
        )
        self._settle(answer)

    def eof_received(self) -> bool:
        """A caller may half-close once its call is whole: it is still owed the answer."""
        return self.asked and not self.settled

    def _settle(self, answer: Answer) -> None:
        if self.settled:
            return
        self.asked = self.settled = True
        self.timer.cancel()
        if self.transport.is_closing():
            return
        self.transport.write(self.exchange.answer(answer))
        # guards the answer: a close over what came behind the call resets the connection, and takes it along
        self.transport.write_eof()
        self.timer = asyncio.get_running_loop().call_later(LINGER, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.server.callers.pop(self, None)
