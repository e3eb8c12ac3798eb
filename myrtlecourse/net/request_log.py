"""The request log: what happened to each request, by its id, and why; off by default.

`MYRTLECOURSE_LOG=requests` in the environment turns it on. Each line consists of `id=... event=...` and
further names and values, so that one id can be followed through the logs of all routers. While it is off, it
costs one check of a flag.
"""

from __future__ import annotations

import logging
import os
from enum import Enum

VARIABLE = "MYRTLECOURSE_LOG"
REQUESTS_VALUE = "requests"
log = logging.getLogger("myrtlecourse.requests")


class CloseReason(Enum):
    """Why this router closes a connection, or finds it closed."""

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
    """Writes one line per event."""

    def __init__(self) -> None:
        self.enabled = os.environ.get(VARIABLE, "") == REQUESTS_VALUE

    def event(self, request_id: str, event: str, **fields: object) -> None:
        """Log an event of a request; to be called only while the log is enabled."""
        text = "".join(f" {name}={_format_value(value)}" for name, value in fields.items())
        log.info("id=%s event=%s%s", request_id, event, text)

    def connection_closed(
        self, peer: str, address: object, reason: CloseReason, open_answers: int, **fields: object
    ) -> None:
        """Log that a connection is closed while `open_answers` answers are still due on it."""
        if self.enabled:
            self.event(
                "-", "closed", peer=peer, at=address, why=repr(reason.value), owed=open_answers, **fields
            )


requests_log = RequestLog()


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4f}"
    return str(value.value) if isinstance(value, Enum) else str(value)
