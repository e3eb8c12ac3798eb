"""Sends a share of a stand-in server's answers a second time, some time after the first."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet.ports import ServerConnection
from myrtlecourse.fleet.server_models import Request


class SecondAnswers:
    """The second answers of one server."""

    def __init__(
        self, server: str, generator: random.Random, observe: Callable[[seen.Observation], None]
    ) -> None:
        self.server = server
        self.generator = generator
        self.observe = observe
        self.share = 0.0  # share of answers that are sent twice
        self.latest = 0.0  # seconds after the first answer at which the second is sent at the latest

    def set_share(self, share: float, latest: float) -> None:
        self.share = share
        self.latest = latest

    def after_answer(self, connection: ServerConnection, request: Request, data: bytes) -> None:
        """Decide whether an answer that has just been written will be written again."""
        if not self.share or not data or self.generator.random() >= self.share:
            return
        latest_at = time.monotonic() + self.latest
        delay = self.generator.uniform(0.0, self.latest)
        asyncio.get_running_loop().call_later(delay, self._send_again, connection, request, data, latest_at)

    def _send_again(
        self, connection: ServerConnection, request: Request, data: bytes, latest_at: float
    ) -> None:
        now = time.monotonic()
        # On a busy machine the timer may fire later than the scenario allows.
        if not connection.open or connection.transport.is_closing() or now > latest_at:
            return
        crossed = connection.is_busy()
        self.observe(seen.SecondAnswerSent(now, request.id, self.server, connection.port.router, crossed))
        connection.write(data)
