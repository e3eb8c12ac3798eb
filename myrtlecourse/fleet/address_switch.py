"""A stand-in for the network in front of routers that share a moving service address.

Routers announce and withdraw the address with a line (`announce NAME TERM`, `withdraw NAME`); the last router
to announce it holds it. Clients connect to one port and reach the holder; when the address moves, their open
connections are reset. Datagrams of voters pass through relays, so that the network can be partitioned in both
directions or in one. Announcements can be delayed or lost.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress

from myrtlecourse.fleet.datagram_network import DatagramNetwork, Relays
from myrtlecourse.fleet.reserved_ports import free_address

MAX_LINE_LENGTH = 256  # bytes of an announcement
CHUNK = 64 * 1024  # bytes read at a time


class AddressSwitch:
    """The network around one service address."""

    def __init__(self, routers: dict[str, tuple[str, int]], seed: int = 1) -> None:
        """Create the network; `routers` gives the address at which each router listens for clients."""
        self.routers = routers
        self.network = DatagramNetwork(seed)  # carries the datagrams of voters
        self.relays = Relays(self.network)
        self.ignored_routers: set[str] = set()  # routers whose announcements are lost
        self.announcement_delay = 0.0  # seconds until an announcement takes effect
        self.holder = ""
        self.history: list[tuple[float, str, str]] = []  # time, event and router
        # The router to which each client is connected.
        self.client_routers: dict[asyncio.StreamWriter, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Open the ports."""
        self.control = await asyncio.start_server(self._handle_control, "127.0.0.1", 0, limit=MAX_LINE_LENGTH)
        self.control_address: tuple[str, int] = self.control.sockets[0].getsockname()
        # Connections are refused until the first announcement, as nobody listens at the address.
        self.address = free_address()
        self.server: asyncio.Server | None = None

    @property
    def voter_addresses(self) -> dict[str, tuple[str, int]]:
        """The address at which each voter receives the others' datagrams."""
        return self.relays.listen_addresses

    def split(self, one_side: set[str]) -> None:
        """Partition the network between the voters of one side and all others; an empty side ends that."""
        self.network.split(self.voter_addresses, one_side)

    async def _handle_control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a router's announcement or withdrawal."""
        with suppress(ConnectionError, ValueError):
            fields = (await reader.readline()).decode("ascii", "replace").split()
            name = fields[1] if len(fields) > 1 else ""
            if name not in self.routers or fields[0] not in ("announce", "withdraw"):
                writer.write(b"no\n")
            else:
                await asyncio.sleep(self.announcement_delay)
                if name not in self.ignored_routers:
                    await self._handle_event(fields[0], name)
                writer.write(b"ok\n")
        writer.close()

    async def _handle_event(self, event: str, name: str) -> None:
        self.history.append((time.monotonic(), event, name))
        if event == "announce":
            if self.server is None:
                self.server = await asyncio.start_server(self._relay_client, *self.address, backlog=512)
            self.holder = name
            for client in [w for w, router in self.client_routers.items() if router != name]:
                self._reset(client)
        elif self.holder == name:
            self._release_address()

    def _release_address(self) -> None:
        """Refuse connections: without a holder, no machine answers for the address."""
        self.holder = ""
        if self.server is not None:
            self.server.close()
            self.server = None

    def drop_router(self, name: str) -> None:
        """Handle the loss of a router's machine: its connections are reset."""
        if self.holder == name:
            self._release_address()
        for client in [w for w, router in self.client_routers.items() if router == name]:
            self._reset(client)

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        peer: socket.socket = writer.get_extra_info("socket")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def _relay_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay a client's connection to the holder; without a holder it is reset."""
        name = self.holder
        self.client_routers[writer] = name
        try:
            router_reader, router_writer = await asyncio.open_connection(*self.routers[name])
        except (KeyError, OSError):
            self._reset(writer)
            self.client_routers.pop(writer, None)
            return
        copies = [
            asyncio.create_task(self._copy(reader, router_writer)),
            asyncio.create_task(self._copy(router_reader, writer)),
        ]
        self.tasks |= set(copies)
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for task in copies:
            self.tasks.discard(task)
            task.cancel()
        for stream_writer in (router_writer, writer):
            stream_writer.close()
        self.client_routers.pop(writer, None)

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(CHUNK):
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Close all ports and connections."""
        self.control.close()
        self.relays.close()
        self._release_address()
        for task in self.tasks:
            task.cancel()
