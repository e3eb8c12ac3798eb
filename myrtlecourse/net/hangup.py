"""Clients that have hung up, also while they are not read: the end of a connection lies behind unread bytes.

The event loop tells of an end only where it reads. A client that is not read (its pipeline is full, a long
value waits for room, it takes its answers slowly, or it has sent an error) could be gone for seconds, and
attempts would begin for nobody.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

POLL_INTERVAL = 0.02  # seconds between looks; attempts ask anew just before they begin
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class UnreadConnection(Protocol):
    """A connection that is not read for now."""

    descriptor: int

    def on_hang_up(self) -> None:
        """Its client has closed it."""


def has_hung_up(descriptor: int) -> bool:
    """Whether the other side has closed a connection, whatever lies unread before its end."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    try:
        return any(events & HANG_UP_EVENTS for _, events in poll.poll(0))
    except OSError:  # no memory for a look: nothing is known
        return False


class HangUpMonitor:
    """Looks after the connections that are not read; costs nothing while there are none."""

    def __init__(self) -> None:
        self.poller = select.poll()
        self.connections: dict[int, UnreadConnection] = {}  # by descriptor
        self.timer: asyncio.TimerHandle | None = None

    def add(self, connection: UnreadConnection) -> None:
        """A connection is not read from now on."""
        self.connections[connection.descriptor] = connection
        self.poller.register(connection.descriptor, select.POLLRDHUP)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(POLL_INTERVAL, self._poll)

    def remove(self, connection: UnreadConnection) -> None:
        """It is read again, or has ended; to be called before its descriptor is closed."""
        descriptor = connection.descriptor
        if self.connections.get(descriptor) is connection:
            del self.connections[descriptor]
            self.poller.unregister(descriptor)

    def _poll(self) -> None:
        self.timer = None
        try:
            found = self.poller.poll(0)
        except OSError:  # no memory for a look: the next one comes soon
            found = []
        for descriptor, events in found:
            connection = self.connections.get(descriptor)
            if connection is not None and events & HANG_UP_EVENTS:
                connection.on_hang_up()
        if self.connections:
            self.timer = asyncio.get_running_loop().call_later(POLL_INTERVAL, self._poll)

    def close(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
