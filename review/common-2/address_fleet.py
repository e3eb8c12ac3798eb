"""Three routers that elect the holder of the service address (docs/address.md), their servers and network."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

from harness import (
    START_TIME,
    CacheServer,
    CannotRun,
    Case,
    Discovery,
    Network,
    Origin,
    Router,
    free_port,
    settings,
)

NAMES = ("a", "b", "c")
COMMAND = Path(__file__).resolve().parent / "holder_command.py"
FILE = """
[address]
name = "{name}"
peers = [{peers}]
key_file = "{folder}/key"
votes_file = "{folder}/votes-{name}"
command = ["{python}", "-S", "-E", "{command}", "{folder}/commands", "{name}"]
heartbeat = 0.2
lease = 0.8
settle = 0.5
"""
# docs/address.md: (lease + (voters + 2) * heartbeat) * (1 + drift) / (1 - drift), with the figures above
LONGEST_VACANCY = (0.8 + (3 + 2) * 0.2) * 1.02 / 0.98


class AddressFleet:
    """The routers a, b and c; `a` is the most preferred."""

    def __init__(
        self, case: Case, read: Callable[..., tuple[float, bytes]], write: Callable[..., tuple[float, bytes]]
    ) -> None:
        self.case, self.read, self.write = case, read, write
        self.network = Network(case.record)
        self.routers: dict[str, Router] = {}

    async def prepare(self, hold_sockets: bool = False) -> None:
        """Start the servers and make the routers' files; the routers are not started."""
        case, network = self.case, self.network
        discovery = Discovery()
        for number in range(3):
            cache = CacheServer(f"cache-{number}", case.record, self.read)
            await cache.start()
            discovery.add(f"s-{number}", cache.address)
        origin = Origin(case.record, self.write)
        await origin.start()
        discovery.add("o-1", origin.address, kind="origin")
        await discovery.start()
        for name in NAMES:
            await network.add(name)
        (case.folder / "key").write_bytes(b"one key of this case")
        for name in NAMES:
            # a router listens at its own address in this table; those of the others are doors of the network
            addresses = {n: network.own[n] if n == name else network.at[n] for n in NAMES}
            peers = ", ".join(
                f'{{name = "{n}", at = "{host}:{port}"}}' for n, (host, port) in addresses.items()
            )
            file = FILE.format(
                name=name, peers=peers, folder=case.folder, python=sys.executable, command=COMMAND
            )
            configuration = {
                "discovery": discovery.address,
                "known": discovery.list(),
                "settings": settings(),
                "ops": f"127.0.0.1:{free_port()}",
            }
            self.routers[name] = case.router(name, configuration, file)
            if hold_sockets:
                self.routers[name].hold_socket()

    async def start(self) -> Router:
        """Start the routers, and return the one that holds the address; the others stand by."""
        for router in self.routers.values():
            await router.start()
        for router in self.routers.values():
            await router.until_log("operators call")
        end = time.monotonic() + START_TIME
        while time.monotonic() < end:
            for router in self.routers.values():
                if await router.ping():
                    self.case.record(f"{router.name} answers PING with +PONG: it holds the address")
                    return router
            await asyncio.sleep(0.05)
        raise CannotRun("no router got the address")

    def write_down_commands(self) -> None:
        """Add what the link's command noted to the record."""
        file, record = self.case.folder / "commands", self.case.record
        for line in file.read_text().splitlines() if file.exists() else []:
            at, _, rest = line.partition(" ")
            record.file.write(f"{float(at) - record.began:9.3f} command ran: {rest}\n")
