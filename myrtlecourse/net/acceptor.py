"""Takes clients from the backlog of a listening socket."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Awaitable, Callable

from myrtlecourse.net.rate_limited_log import RateLimitedLog

MAX_ACCEPTS = 32  # per iteration of the event loop, so that open connections are served in between
# errors of accept() that concern a single pending connection; the next may be fine (see accept(2))
SINGLE_CLIENT_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
ACCEPT_PAUSE = 0.1  # seconds after a failed accept, so that a lack of descriptors causes no busy loop
log = logging.getLogger(__name__)
rate_limited_log = RateLimitedLog(log)


class Acceptor:
    """Accepts clients one after another; each is handed on before the next is accepted."""

    def __init__(self, listening: socket.socket, hand_on: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Create an acceptor.

        Args:
            listening: the listening socket, which does not block.
            hand_on: takes an accepted client, and returns once there is room for the next.
        """
        self.listening = listening
        self.hand_on = hand_on
        self.client_waits = asyncio.Event()
        self.consecutive_failures = 0

    async def run(self) -> None:
        """Accept all waiting clients, up to `MAX_ACCEPTS` in each iteration of the event loop.

        With one per iteration, clients waited in the backlog while iterations grew long, until they had given
        up: their commands were then processed for nobody, and each client retried on a new connection.
        """
        while True:
            try:
                await self._wait_for_clients()
                for _ in range(MAX_ACCEPTS):
                    if not await self._accept_one():
                        break
            except OSError as e:
                # Without this task no client would ever be accepted again, so an error must not end it.
                rate_limited_log.log(logging.WARNING, "could not accept a client: %s", e)
                await asyncio.sleep(ACCEPT_PAUSE)

    async def _wait_for_clients(self) -> None:
        """Wait for a client in the backlog.

        The socket is polled only here: a full router that watched it all the time would run a busy loop.
        """
        loop = asyncio.get_running_loop()
        self.client_waits.clear()
        loop.add_reader(self.listening.fileno(), self.client_waits.set)
        try:
            await self.client_waits.wait()
        finally:
            if self.listening.fileno() >= 0:
                loop.remove_reader(self.listening.fileno())

    async def _accept_one(self) -> bool:
        """Accept a client and hand it on; return False if none is waiting.

        Raises:
            OSError: the system lacks the resources, and an immediate retry would fail as well.
        """
        try:
            client, _ = self.listening.accept()
        except BlockingIOError:
            return False
        except OSError as e:
            self.consecutive_failures += 1
            # If the error turns out to be permanent, the caller's pause prevents a busy loop.
            if e.errno not in SINGLE_CLIENT_ERRORS or self.consecutive_failures % MAX_ACCEPTS == 0:
                raise
            rate_limited_log.log(logging.INFO, "a client's connection ended before it was accepted: %s", e)
            return True
        self.consecutive_failures = 0
        if set_options(client):
            await self.hand_on(client)
        return True


def set_options(client: socket.socket) -> bool:
    """Set the options of an accepted socket; close it and return False if its connection has ended."""
    try:
        client.setblocking(False)
        # Without this option the system delays small answers until the one before is acknowledged; event
        # loops set it only on sockets created with an explicit protocol.
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as e:
        rate_limited_log.log(logging.INFO, "a client's connection ended as it was accepted: %s", e)
        client.close()
        return False
    return True
