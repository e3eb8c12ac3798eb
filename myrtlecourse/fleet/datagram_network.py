"""The ways of datagrams from one router to another: lost, late, copied, cut; and their sockets.

What becomes of a datagram is drawn by the seed without I/O, for sockets and for virtual time alike.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import cast

from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.reserved_ports import ReservedPort, reserve

Direction = tuple[str, str]  # from whom to whom


class DatagramNetwork:
    """What becomes of what is sent."""

    def __init__(self, seed: int = 1) -> None:
        self.chance = random.Random(f"{seed} ways")
        self.cuts: dict[str, frozenset[Direction]] = {}  # by a name for each: nothing comes through on these
        self.loss = 0.0  # share of datagrams
        self.copies = 0.0  # share that comes once more
        self.delay = 0.0  # seconds at least
        self.jitter = 0.0  # seconds more at most: those of two differ, so that they pass one another

    def cut(self, name: str, directions: Iterable[Direction]) -> None:
        """Cut some ways; with none, mend what was cut under that name."""
        self.cuts[name] = frozenset(directions)
        if not self.cuts[name]:
            del self.cuts[name]

    def split(self, names: Iterable[str], one: set[str]) -> None:
        """Cut some routers off from the others, both ways."""
        each = list(names)
        self.cut("split", {(a, b) for a in each for b in each if (a in one) is not (b in one)})

    def delivery_delays(self, direction: Direction) -> list[float]:
        """Seconds after which a datagram comes, once for each time that it does."""
        if any(direction in cut for cut in self.cuts.values()):
            return []
        if self.loss and self.chance.random() < self.loss:
            return []
        times = 2 if self.copies and self.chance.random() < self.copies else 1
        return [self.delay + (self.chance.random() * self.jitter if self.jitter else 0.0)] * times


def apply_split(directions: DatagramNetwork, names: Iterable[str], step: Step) -> None:
    """Let a scenario's split begin or end; one way, those it names hear and are not heard."""
    some, each = set(step.routers), list(names)
    cut = {(a, b) for a in each for b in each if (a in some) is not (b in some)}
    if step.value:
        cut = {(a, b) for a, b in cut if a in some}
    directions.cut(f"split {sorted(some)} {step.value}", cut if step.action == "split" else ())


class Relay(asyncio.DatagramProtocol):
    """The socket of one way."""

    def __init__(self, relays: Relays, direction: Direction) -> None:
        self.relays = relays
        self.direction = direction
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # the loop's own is none by name

    def datagram_received(self, data: bytes, addr: object) -> None:
        there = self.relays.listen_addresses[self.direction[1]]
        for pause in self.relays.network.delivery_delays(self.direction):
            if pause:
                self.relays.loop.call_later(pause, self._send, data, there)
            else:
                self._send(data, there)

    def _send(self, data: bytes, there: tuple[str, int]) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, there)


class Relays:
    """A socket for each way."""

    def __init__(self, directions: DatagramNetwork) -> None:
        self.network = directions
        self.listen_addresses: dict[str, tuple[str, int]] = {}  # where each router hears the others
        self.send_addresses: dict[Direction, tuple[str, int]] = {}  # where to send for another
        self.transports: list[asyncio.DatagramTransport] = []
        self.reserved: list[ReservedPort] = []

    def reserve_addresses(self, names: Iterable[str]) -> dict[str, tuple[str, int]]:
        """An address for each router to hear the others at, free just now.

        Each is kept from other fleets on this machine until these relays end.
        """
        found = {name: reserve() for name in names}
        self.reserved += found.values()
        return {name: each.address for name, each in found.items()}

    async def open(self, listen_addresses: dict[str, tuple[str, int]]) -> None:
        """Open a way between any two."""
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
        """End them."""
        for transport in self.transports:
            transport.close()
        for each in self.reserved:
            each.release()
