"""An event loop with a virtual clock and connections in memory, for tests of exact times.

The clock stands still while callbacks are ready and then jumps to the next timer, so that results don't
depend on the speed of the machine. A scenario that would wait forever fails at once.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any, cast

Address = tuple[str, int]
Factory = Callable[[], asyncio.BaseProtocol]


class VirtualClock(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is scheduled any more")
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class ConnectionEnd(asyncio.Transport):
    """One end of a connection; the other end receives its data in the next iteration of the event loop."""

    def __init__(self, loop: VirtualTimeLoop, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = cast(asyncio.Protocol, protocol)
        self.other: ConnectionEnd
        self.closing = False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.loop.call_soon(self.other._received, bytes(data))

    def _received(self, data: bytes) -> None:
        if not self.closing:
            self.protocol.data_received(data)

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        """Closes the connection; the other end first receives what was written, then the stream's end."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, None)
            self.loop.call_soon(self.other._ended)

    def abort(self) -> None:
        self.close()

    def _ended(self) -> None:
        if not self.closing and not self.protocol.eof_received():
            self.close()


class Server:
    """A server, which also stands in for its only socket."""

    def __init__(self, loop: VirtualTimeLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.sockets = [self]

    def getsockname(self) -> Address:
        return self.address

    def close(self) -> None:
        self.loop.listening.pop(self.address, None)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, for `loopback.run`."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.listening: dict[Address, Factory] = {}
        self.ports = 0
        super().__init__(self.clock)

    def time(self) -> float:
        return self.clock.now

    async def create_server(  # type: ignore[override]
        self, factory: Factory, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        self.ports += 1
        address = host, port or self.ports
        self.listening[address] = factory
        return Server(self, address)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        if (host, port) not in self.listening:
            raise ConnectionRefusedError(f"{host}:{port}")
        here, there = ConnectionEnd(self, factory()), ConnectionEnd(self, self.listening[host, port]())
        here.other, there.other = there, here
        there.protocol.connection_made(there)
        here.protocol.connection_made(here)
        return here, here.protocol
