"""Clients that have hung up, also while they are not read: the end of a connection lies behind unread bytes.

The event loop tells of an end only where it reads. A client that is not read (its pipeline is full, a long
value waits for room, it takes its answers slowly, or it has sent an error) could be gone for seconds, and
attempts would begin for nobody.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

LOOK = 0.02  # seconds between looks; attempts ask anew just before they begin
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Unread(Protocol):
    """A connection that is not read for now."""

    descriptor: int

    def hung_up(self) -> None:
        """Its client has closed it."""


def has_hung_up(descriptor: int) -> bool:
    """Whether the other side has closed a connection, whatever lies unread before its end."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    try:
        return any(events & GONE for _, events in poll.poll(0))
    except OSError:  # no memory for a look: nothing is known
        return False


class HangUps:
    """Looks after the connections that are not read; costs nothing while there are none."""

    def __init__(self) -> None:
        self.poll = select.poll()
        self.unread: dict[int, Unread] = {}  # by descriptor
        self.timer: asyncio.TimerHandle | None = None

    def add(self, connection: Unread) -> None:
        """A connection is not read from now on."""
        self.unread[connection.descriptor] = connection
        self.poll.register(connection.descriptor, select.POLLRDHUP)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(LOOK, self._look)

    def remove(self, connection: Unread) -> None:
        """It is read again, or has ended; to be called before its descriptor is closed."""
        descriptor = connection.descriptor
        if self.unread.get(descriptor) is connection:
            del self.unread[descriptor]
            self.poll.unregister(descriptor)

    def _look(self) -> None:
        self.timer = None
        try:
            found = self.poll.poll(0)
        except OSError:  # no memory for a look: the next one comes soon
            found = []
        for descriptor, events in found:
            connection = self.unread.get(descriptor)
            if connection is not None and events & GONE:
                connection.hung_up()
        if self.unread:
            self.timer = asyncio.get_running_loop().call_later(LOOK, self._look)

    def close(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
