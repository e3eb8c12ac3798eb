"""A stand-in for the network before routers whose address moves: who announced last has it.

Routers announce and withdraw by a line (`announce NAME TERM`, `withdraw NAME`). Clients connect to one port
and come to the holder; with the address their open connections move too, and are reset. Voters' datagrams go
through it, so that segments can be split, one way as well, and what is announced can come late or be lost.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress

from myrtlecourse.fleet.datagram_network import DatagramNetwork, Relays
from myrtlecourse.fleet.reserved_ports import free_address

LONGEST_LINE = 256
CHUNK = 64 * 1024


class AddressSwitch:
    """The network round one service address."""

    def __init__(self, routers: dict[str, tuple[str, int]], seed: int = 1) -> None:
        """Takes where each router listens for clients."""
        self.routers = routers
        self.network = DatagramNetwork(seed)  # of voters' datagrams
        self.relays = Relays(self.network)
        self.ignored_routers: set[str] = set()  # routers whose announcements are lost
        self.announcement_delay = 0.0  # seconds that an announcement takes
        self.holder = ""
        self.history: list[tuple[float, str, str]] = []  # when, what, who
        self.client_routers: dict[asyncio.StreamWriter, str] = {}  # to clients: of which router
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Open its ports."""
        self.control = await asyncio.start_server(self._handle_control, "127.0.0.1", 0, limit=LONGEST_LINE)
        self.control_address: tuple[str, int] = self.control.sockets[0].getsockname()
        self.address = free_address()  # nobody is there yet: who connects is refused
        self.server: asyncio.Server | None = None

    @property
    def voter_addresses(self) -> dict[str, tuple[str, int]]:
        """Where each hears the others."""
        return self.relays.listen_addresses

    def split(self, one: set[str]) -> None:
        """Cut some voters off from the others."""
        self.network.split(self.voter_addresses, one)

    async def _handle_control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A router announces or withdraws."""
        with suppress(ConnectionError, ValueError):
            words = (await reader.readline()).decode("ascii", "replace").split()
            name = words[1] if len(words) > 1 else ""
            if name not in self.routers or words[0] not in ("announce", "withdraw"):
                writer.write(b"no\n")
            else:
                await asyncio.sleep(self.announcement_delay)
                if name not in self.ignored_routers:
                    await self._handle_event(words[0], name)
                writer.write(b"ok\n")
        writer.close()

    async def _handle_event(self, what: str, name: str) -> None:
        self.history.append((time.monotonic(), what, name))
        if what == "announce":
            if self.server is None:
                self.server = await asyncio.start_server(self._relay_client, *self.address, backlog=512)
            self.holder = name
            for client in [w for w, router in self.client_routers.items() if router != name]:
                self._reset(client)
        elif self.holder == name:
            self._release_address()

    def _release_address(self) -> None:
        """Whoever connects is refused: where the address is nobody's, no machine answers for it."""
        self.holder = ""
        if self.server is not None:
            self.server.close()
            self.server = None

    def drop_router(self, name: str) -> None:
        """A router's machine is gone, and with it the connections that it had."""
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
        """A client comes to whoever has the address; without anybody it is refused."""
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
        for each in (router_writer, writer):
            each.close()
        self.client_routers.pop(writer, None)

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(CHUNK):
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """End it."""
        self.control.close()
        self.relays.close()
        self._release_address()
        for task in self.tasks:
            task.cancel()
