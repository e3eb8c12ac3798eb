"""The log of requests: what became of each by its id, and why; off unless operators turn it on.

`MYRTLECOURSE_LOG=requests` in the environment turns it on. Each line is `id=... event=...` and further names
and values, so that one id can be followed through the logs of all routers. Off, it costs a look at a flag.
"""

from __future__ import annotations

import logging
import os
from enum import Enum

VARIABLE = "MYRTLECOURSE_LOG"
REQUESTS_VALUE = "requests"
log = logging.getLogger("myrtlecourse.requests")


class CloseReason(Enum):
    """Why a connection is closed by this router, or found closed."""

    CLIENT_LEFT = "client left"
    IDLE = "idle for too long"
    NO_ROOM = "descriptors are wanted for others"
    ENDING = "this process ends or is emptied"
    AFTER_ERROR = "after an error"
    INCOMPLETE_ANSWER = "a long answer can't be finished"
    UNEXPECTED_BYTES = "bytes that nobody asked for"
    ANSWER_NOT_READ = "its client takes nothing"
    LINGER_ENDED = "closed before, and read for long enough"
    INTERNAL_ERROR = "a fault in this router"
    ABANDONED = "its attempt is given up"
    UNUSABLE_ANSWER = "its answer can't be used"
    PEER_CLOSED = "its server closed it, or was found to have"
    OTHER_PROCESS = "another process is at its address"
    NOT_WRITTEN = "its request could not be written in time"


class RequestLog:
    """Writes one line an event."""

    def __init__(self) -> None:
        self.enabled = os.environ.get(VARIABLE, "") == REQUESTS_VALUE

    def event(self, request: str, event: str, **more: object) -> None:
        """Something happened to a request; to be called only while the log is on."""
        told = "".join(f" {name}={_format_value(value)}" for name, value in more.items())
        log.info("id=%s event=%s%s", request, event, told)

    def connection_closed(self, peer: str, address: object, why: CloseReason, owed: int) -> None:
        """A connection to a client or server is closed, and `owed` answers were still to come on it."""
        if self.enabled:
            log.info("id=- event=closed peer=%s at=%s why=%r owed=%d", peer, address, why.value, owed)


requests_log = RequestLog()  # of this process


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4f}"
    return str(value.value) if isinstance(value, Enum) else str(value)
