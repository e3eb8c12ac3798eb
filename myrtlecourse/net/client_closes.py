"""What a client may still be owed when its connection is closed, by the reason of the close.

Each close of a client's connection is checked here. One whose reason does not allow what is owed is a fault
of this router: it is logged as an error, by which tests and soak runs fail.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

from myrtlecourse.net.request_log import CloseReason, requests_log

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Allowance:
    """What may be owed at a close."""

    answers: float = 0  # commands that were read and have no whole answer in the connection's buffer
    untaken_bytes: float = 0  # bytes that were written and that the client's system has not acknowledged


NOTHING = Allowance()
ANYTHING = Allowance(math.inf, math.inf)
ALLOWANCES = {
    CloseReason.CLIENT_LEFT: ANYTHING,
    CloseReason.IDLE: NOTHING,
    CloseReason.NO_ROOM: NOTHING,
    CloseReason.ENDING: NOTHING,
    CloseReason.AFTER_ERROR: NOTHING,
    CloseReason.INCOMPLETE_ANSWER: Allowance(answers=1),  # the answer that can't be finished
    CloseReason.UNEXPECTED_BYTES: Allowance(untaken_bytes=math.inf),  # its client sends what is not read
    CloseReason.ANSWER_NOT_READ: ANYTHING,
    CloseReason.LINGER_ENDED: NOTHING,
    CloseReason.INTERNAL_ERROR: ANYTHING,  # the fault itself is logged
}


def record_close(descriptor: int, reason: CloseReason, answers: int, untaken_bytes: int) -> None:
    """Record that a client's connection is closed for a reason while something may still be owed on it.

    Args:
        descriptor: the connection's file descriptor.
        reason: why it is closed.
        answers: the number of answers that are owed.
        untaken_bytes: the bytes that the close throws away; 0 for a close after which they are still sent.
    """
    requests_log.connection_closed("client", descriptor, reason, answers)
    allowed = ALLOWANCES.get(reason, NOTHING)
    if answers > allowed.answers or untaken_bytes > allowed.untaken_bytes:
        log.error(
            "closed a client's connection that was owed %d answers and %d bytes: %s",
            answers,
            untaken_bytes,
            reason.value,
        )


def record_unexpected_end(answers: int, error: Exception) -> None:
    """Record that the event loop closed a client's connection by itself, because of an error in its code."""
    log.error("the event loop closed a client's connection that was owed %d answers: %r", answers, error)
