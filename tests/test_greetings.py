"""Processes of an election know one another's start before the first message that counts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from myrtlecourse.address.driver import AddressDriver
from myrtlecourse.duties import messages as duties
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.election import messages as election
from myrtlecourse.fleet.reserved_ports import free_address
from myrtlecourse.peers.peer_socket import Endpoint
from tests.loopback import run

MEMBERS = ("a", "b", "c")
KEY = b"a common key of voters"
Driver = AddressDriver | DutyDriver


class SilentLink:
    """A link that nobody asks."""

    async def announce(self, term: int) -> None:
        return

    async def withdraw(self) -> None:
        return


async def drained() -> None:
    return


def make_driver(kind: str, name: str, peers: dict[str, Endpoint], folder: Path) -> Driver:
    if kind == "duties":
        settings = duties.Settings(name, MEMBERS, MEMBERS, (duties.Duty("x"),))
        return DutyDriver(settings, peers, (KEY, ()), folder / name, lambda: True)
    return AddressDriver(
        election.Settings(name, MEMBERS),
        peers,
        KEY,
        SilentLink(),
        folder / name,
        lambda: True,
        lambda here: None,
        drained,
    )


# Guards against a first question for a vote that is dropped, which left an address unheld for longer.
@pytest.mark.parametrize("kind", ["address", "duties"])
def test_two_voters_know_each_other_before_one_asks_the_other_for_its_vote(kind: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        peers = {name: free_address() for name in MEMBERS}
        drivers = [make_driver(kind, name, peers, tmp_path) for name in ("b", "c")]
        for driver in drivers:
            await driver.start(peers[driver.settings.name], shared=False)
        b, c = (driver.wire for driver in drivers)
        async with asyncio.timeout(drivers[0].settings.lease / 2):  # nobody asks for a vote within a lease
            while b.senders["c"].start != c.start or c.senders["b"].start != b.start:
                await asyncio.sleep(0.01)
        for driver in drivers:
            await driver.close()

    run(scenario)


# Guards against a process of an upgrade that waits for good for an address that is of another machine.
@pytest.mark.parametrize("kind", ["address", "duties"])
def test_an_address_that_can_never_be_had_is_refused_at_the_start(kind: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        driver = make_driver(kind, "b", dict.fromkeys(MEMBERS, ("127.0.0.1", 1)), tmp_path)
        with pytest.raises(OSError, match="assign"):
            await driver.start(("192.0.2.1", 7), shared=True)
        await driver.close()

    run(scenario)
