"""One process's end of a wire: its socket, and what every holder of one does with datagrams and a timer."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.peers.wire import Sign, Wire

bounded = RateLimitedLog(logging.getLogger(__name__))
Endpoint = tuple[str, int]
Message = TypeVar("Message")


class End(asyncio.DatagramProtocol, Generic[Message]):
    """Sends, hears and greets; what a message means is in `heard`."""

    def __init__(self, wire: Wire[Message], peers: dict[str, Endpoint]) -> None:
        self.wire = wire
        self.peers = peers
        self.loop: asyncio.AbstractEventLoop
        self.transport: asyncio.DatagramTransport | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.sent = self.bytes_sent = 0

    def heard(self, sender: str, message: Message) -> None:
        """A message has come, sealed for this process and taken once."""
        raise NotImplementedError

    async def listen(self, bind: Endpoint) -> Endpoint:
        """Open the socket; answers with where it is. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=bind)
        self.transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def send(self, to: str, data: bytes) -> None:
        """A datagram for another, if it is known where that is; it may be lost."""
        if self.transport is not None and to in self.peers:
            self.sent += 1
            self.bytes_sent += len(data)
            self.transport.sendto(data, self.peers[to])

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            sender, message = self.wire.open(data)
        except Dropped as e:
            bounded.log(logging.WARNING, "a datagram of %s:%s was dropped: %s", addr[0], addr[1], e)
            return
        if message is Sign.STALE:
            self.send(sender, self.wire.hello(sender))
        elif not isinstance(message, Sign):
            self.heard(sender, message)

    def error_received(self, exc: Exception) -> None:
        bounded.log(logging.INFO, "another router was not reached: %s", exc)

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call when a time on the monotonic clock has come, in place of the call before; infinity: never."""
        if self.wake is not None:
            self.wake.cancel()
        if at < float("inf"):
            self.wake = self.loop.call_later(max(0.0, at - time.monotonic()), call)

    def leave(self) -> None:
        """Close the socket; nothing is called any more."""
        if self.wake is not None:
            self.wake.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
