"""A network between routers that loses, delays, duplicates and cuts datagrams, and its sockets.

The fate of each datagram is drawn from the seed without I/O, both for sockets and for virtual time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import cast

from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.reserved_ports import ReservedPort, reserve

Direction = tuple[str, str]  # sender and receiver


class DatagramNetwork:
    """Decides the fate of each datagram."""

    def __init__(self, seed: int = 1) -> None:
        self.generator = random.Random(f"{seed} ways")
        self.cuts: dict[str, frozenset[Direction]] = {}  # by name of the cut: directions without delivery
        self.loss = 0.0  # share of datagrams that are lost
        self.copies = 0.0  # share of datagrams that arrive twice
        self.delay = 0.0  # minimum delay in seconds
        # Upper bound in seconds of an additional random delay of each datagram, which reorders datagrams.
        self.jitter = 0.0

    def cut(self, name: str, directions: Iterable[Direction]) -> None:
        """Cut some directions under a name; an empty `directions` ends that cut."""
        self.cuts[name] = frozenset(directions)
        if not self.cuts[name]:
            del self.cuts[name]

    def split(self, names: Iterable[str], one_side: set[str]) -> None:
        """Partition the network between the routers of one side and all others, in both directions."""
        all_names = list(names)
        self.cut(
            "split", {(a, b) for a in all_names for b in all_names if (a in one_side) is not (b in one_side)}
        )

    def delivery_delays(self, direction: Direction) -> list[float]:
        """Return the delay in seconds of each copy of a datagram that arrives; empty if it is lost."""
        if any(direction in cut for cut in self.cuts.values()):
            return []
        if self.loss and self.generator.random() < self.loss:
            return []
        times = 2 if self.copies and self.generator.random() < self.copies else 1
        return [self.delay + (self.generator.random() * self.jitter if self.jitter else 0.0)] * times


def apply_split(network: DatagramNetwork, names: Iterable[str], step: Step) -> None:
    """Begin or end a scenario's split; in a one-way split the named routers receive but cannot send."""
    named, all_names = set(step.routers), list(names)
    cut = {(a, b) for a in all_names for b in all_names if (a in named) is not (b in named)}
    if step.value:
        cut = {(a, b) for a, b in cut if a in named}
    network.cut(f"split {sorted(named)} {step.value}", cut if step.action == "split" else ())


class Relay(asyncio.DatagramProtocol):
    """Receives the datagrams of one direction and passes them on as the network decides."""

    def __init__(self, relays: Relays, direction: Direction) -> None:
        self.relays = relays
        self.direction = direction
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio's own class does not inherit from DatagramTransport
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        address = self.relays.listen_addresses[self.direction[1]]
        for pause in self.relays.network.delivery_delays(self.direction):
            if pause:
                self.relays.loop.call_later(pause, self._send, data, address)
            else:
                self._send(data, address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, address)


class Relays:
    """The relays of all directions between routers."""

    def __init__(self, network: DatagramNetwork) -> None:
        self.network = network
        self.listen_addresses: dict[str, tuple[str, int]] = {}  # the address at which each router receives
        # The address to which the first router of a direction sends to reach the second.
        self.send_addresses: dict[Direction, tuple[str, int]] = {}
        self.transports: list[asyncio.DatagramTransport] = []
        self.reserved: list[ReservedPort] = []

    def reserve_addresses(self, names: Iterable[str]) -> dict[str, tuple[str, int]]:
        """Return a free address for each router to receive at.

        Other fleets on this machine do not use these ports until `close`.
        """
        ports = {name: reserve() for name in names}
        self.reserved += ports.values()
        return {name: port.address for name, port in ports.items()}

    async def open(self, listen_addresses: dict[str, tuple[str, int]]) -> None:
        """Open a relay for each pair of routers and direction."""
        self.listen_addresses = listen_addresses
        self.loop = asyncio.get_running_loop()
        for direction in [(a, b) for a in listen_addresses for b in listen_addresses if a != b]:
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda direction=direction: Relay(self, direction),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.transports.append(transport)
            self.send_addresses[direction] = transport.get_extra_info("sockname")

    def close(self) -> None:
        """Close the sockets and release the ports."""
        for transport in self.transports:
            transport.close()
        for port in self.reserved:
            port.release()
