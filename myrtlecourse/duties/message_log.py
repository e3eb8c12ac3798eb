"""Log of the messages by which the holders of duties are elected and send orders; off by default.

`MYRTLECOURSE_LOG=elections` in the environment turns it on. Each line contains one message that this process
sent or received, so that the lines of all routers together show which vote each router granted or denied.
"""

from __future__ import annotations

import logging
import os
import time

from myrtlecourse.duties.messages import Item
from myrtlecourse.net.request_log import VARIABLE

ELECTIONS = "elections"
log = logging.getLogger("myrtlecourse.elections")


class MessageLog:
    """Logs one line for each message, with the duty's number and this machine's monotonic time in seconds."""

    def __init__(self) -> None:
        self.on = os.environ.get(VARIABLE, "") == ELECTIONS

    def sent(self, receiver: str, items: tuple[Item, ...]) -> None:
        """Log messages that are sent now, or as soon as the memory file has been written."""
        self._write("to", receiver, items)

    def received(self, sender: str, items: tuple[Item, ...]) -> None:
        """Log messages that have arrived and are about to be handled."""
        self._write("from", sender, items)

    def _write(self, direction: str, peer: str, items: tuple[Item, ...]) -> None:
        if not self.on:
            return
        for duty, message in items:
            log.info("at=%.4f duty=%d %s=%s %s", time.monotonic(), duty, direction, peer, message)
