"""The UDP socket for sealed messages between processes, and one timer; drivers derive from it."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.peers.seal import Dropped
from myrtlecourse.peers.wire import Control, Wire

LISTEN_RETRY = 0.2  # seconds between attempts to get an address that another process still has
bounded = RateLimitedLog(logging.getLogger(__name__))
Endpoint = tuple[str, int]
Message = TypeVar("Message")


class PeerSocket(asyncio.DatagramProtocol, Generic[Message]):
    """Sends and receives datagrams and answers greetings; subclasses implement `message_received`."""

    def __init__(self, wire: Wire[Message], peers: dict[str, Endpoint]) -> None:
        self.wire = wire
        self.peers = peers
        self.loop: asyncio.AbstractEventLoop
        self.transport: asyncio.DatagramTransport | None = None
        self.listening = asyncio.Event()  # set from when the socket is open for the first time
        self.timer: asyncio.TimerHandle | None = None
        self.sent = self.bytes_sent = 0
        self.greeted_starts: dict[str, int] = {}  # member -> the start whose greeting was answered last

    def message_received(self, sender: str, message: Message) -> None:
        """Process a message, which was sealed for this process and is passed on once."""
        raise NotImplementedError

    async def listen(self, bind: Endpoint) -> Endpoint:
        """Open the socket and return its address.

        Raises:
            OSError: the address can't be used.
        """
        self.loop = asyncio.get_running_loop()
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=bind)
        self.transport = transport
        self.listening.set()
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    @staticmethod
    def check_address(bind: Endpoint) -> None:
        """Check an address that another process of this router may have.

        Raises:
            OSError: the address can't be used, for another reason than that a process has it.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(bind)
            except OSError as e:
                if e.errno != errno.EADDRINUSE:
                    raise

    async def listen_when_free(self, bind: Endpoint) -> Endpoint:
        """Open the socket once no other process has its address, as during an upgrade, and return it.

        What this process relies on of the other one, such as its votes, must be read after that: until then
        the other process may promise more. Why the address can't be used is not told apart, as not every
        event loop says so.
        """
        logged = ""
        while True:
            try:
                return await self.listen(bind)
            except OSError as e:
                if str(e) != logged:
                    logged = str(e)
                    bounded.log(logging.INFO, "not listening for other routers yet: %s", e)
            await asyncio.sleep(LISTEN_RETRY)

    def send(self, to: str, data: bytes) -> None:
        """Send a datagram to a member, if its address is known; it may be lost."""
        if self.transport is not None and to in self.peers:
            self.sent += 1
            self.bytes_sent += len(data)
            self.transport.sendto(data, self.peers[to])

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            sender, message = self.wire.open(data)
        except Dropped as e:
            bounded.log(logging.WARNING, "dropped a datagram from %s:%s: %s", addr[0], addr[1], e)
            return
        if message is Control.STALE:
            self.greet(sender)
        elif message is Control.GREETING:
            start = self.wire.senders[sender].start
            if self.greeted_starts.get(sender) != start:  # its process does not know this one yet
                self.greeted_starts[sender] = start
                self.greet(sender)
        elif not isinstance(message, Control):
            self.message_received(sender, message)

    def greet(self, member: str) -> None:
        """Tell a member the start of this process, without which it would drop this one's first message."""
        self.send(member, self.wire.hello(member))

    def greet_all(self) -> None:
        """Greet all other members."""
        for member in self.wire.senders:
            self.greet(member)

    def error_received(self, exc: Exception) -> None:
        bounded.log(logging.INFO, "another router can't be reached: %s", exc)

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call `call` at a time on the monotonic clock, never for infinity; replaces the call set before."""
        if self.timer is not None:
            self.timer.cancel()
        if at < float("inf"):
            self.timer = self.loop.call_later(max(0.0, at - time.monotonic()), call)

    def close_socket(self) -> None:
        """Close the socket and cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
