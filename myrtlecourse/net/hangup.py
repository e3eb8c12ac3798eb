"""Watches the connections of clients that are not read: for hang-ups, and for since when input lies unread.

The event loop reports the end of a connection only where it reads, and the end lies behind all unread bytes.
A client that is not read (its pipeline is full, a long value waits for memory, it takes its answers slowly, a
long answer goes out to it, or it has sent an error) could be gone for seconds, while attempts would begin for
nobody. A command that it sends meanwhile ages without being seen.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

POLL_INTERVAL = 0.02  # seconds; each attempt checks again just before it begins
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class UnreadConnection(Protocol):
    """A connection that is not read at present."""

    descriptor: int

    def on_hang_up(self) -> None:
        """Handle that the client has closed the connection."""

    def on_unread_input(self, since: float) -> None:
        """Handle that input lies unread, which may have come at `since` on the event loop's clock."""


def has_hung_up(descriptor: int) -> bool:
    """Return whether the other side has closed a connection, even behind unread bytes."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    try:
        return any(events & HANG_UP_EVENTS for _, events in poll.poll(0))
    except OSError:  # the kernel lacks memory for the poll: nothing is known
        return False


class HangUpMonitor:
    """Polls the connections that are not read; has no overhead while there are none."""

    def __init__(self) -> None:
        self.poller = select.poll()
        self.connections: dict[int, UnreadConnection] = {}  # the monitored connections, by descriptor
        self.timer: asyncio.TimerHandle | None = None
        self.polled_at = 0.0  # on the event loop's clock

    def add(self, connection: UnreadConnection) -> None:
        """Monitor a connection that is no longer read."""
        self.connections[connection.descriptor] = connection
        self.poller.register(connection.descriptor, select.POLLRDHUP | select.POLLIN)
        if self.timer is None:
            self._schedule_poll()

    def _schedule_poll(self) -> None:
        loop = asyncio.get_running_loop()
        self.polled_at = loop.time()
        self.timer = loop.call_later(POLL_INTERVAL, self._poll)

    def remove(self, connection: UnreadConnection) -> None:
        """Stop monitoring a connection that is read again or has ended, before its descriptor is closed."""
        descriptor = connection.descriptor
        if self.connections.get(descriptor) is connection:
            del self.connections[descriptor]
            self.poller.unregister(descriptor)

    def _poll(self) -> None:
        self.timer = None
        try:
            found = self.poller.poll(0)
        except OSError:  # the kernel lacks memory for the poll: the next one comes soon
            found = []
        for descriptor, events in found:
            connection = self.connections.get(descriptor)
            if connection is None:
                continue
            if events & HANG_UP_EVENTS:
                connection.on_hang_up()
            else:
                self.poller.modify(descriptor, select.POLLRDHUP)  # the first input is the oldest
                connection.on_unread_input(self.polled_at)
        if self.connections:
            self._schedule_poll()

    def close(self) -> None:
        """Stop polling."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
