"""Tests of how a router stops to hold the service address, by real routers on loopback."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.loopback import TIMEOUT, read, run
from tests.test_address import THREE, AddressFleet, places, status
from tests.test_service import Process

CLIENTS = 6
PAUSE = 0.02  # seconds between the requests of one client
LONG_REQUEST = 0.2  # seconds for which a request still goes on when the holder is to give up the address
READY_TIME = 6.0  # seconds in which the new process of an upgrade says that it is ready
TRIES = 2  # a client repeats once what a router closed on unread


class NewConnections:
    """Clients that open a connection to the service address for each request."""

    def __init__(self, fleet: AddressFleet) -> None:
        self.fleet = fleet
        self.served = 0
        self.refused = 0
        self.unanswered: list[float] = []  # when a request found its connections closed without an answer
        self.count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            self.count += 1
            await self._ask(f"request-{self.count}")
            await asyncio.sleep(PAUSE)

    async def _ask(self, request: str) -> None:
        for _ in range(TRIES):
            try:
                client = await self.fleet.client()
            except OSError:
                return  # nobody has the address: the request was never sent
            try:
                client.write(read(request))
                answer = await client.resp()
            except (AssertionError, OSError):
                continue
            finally:
                client.close()
            self.served += answer == b"value"
            self.refused += answer != b"value"
            return
        self.unanswered.append(time.monotonic())


async def give_up(fleet: AddressFleet, holder: str, how: str) -> None:
    """Have the holder give up the service address."""
    router = fleet.routers[holder]
    if how == "SIGTERM":
        router.process.send_signal(signal.SIGTERM)
        return
    assert (await router.call("PUT", how))[0] == 200


# Guards against a holder that closes new connections unread while it hands the service address over.
@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
@pytest.mark.parametrize("how", ["SIGTERM", "address/move", "out-of-service"])
def test_new_connections_are_answered_while_the_address_is_handed_over(
    how: str, duty: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty) as fleet:
            first = await fleet.holder()
            await fleet.wait_for_promises(first)
            requests = NewConnections(fleet)
            clients = [asyncio.create_task(requests.run()) for _ in range(CLIENTS)]
            await asyncio.sleep(0.3)
            assert requests.served and not requests.unanswered
            busy = await fleet.client()
            fleet.cluster.slow["long"] = asyncio.Event()
            busy.write(read("long"))
            while not any(request == "long" for _, request in fleet.cluster.seen):
                await asyncio.sleep(0.001)
            began = time.monotonic()
            await give_up(fleet, first, how)
            asyncio.get_running_loop().call_later(LONG_REQUEST, fleet.cluster.slow["long"].set)
            assert await busy.resp() == b"value"
            second = await fleet.holder(first)
            served = requests.served
            while requests.served == served:  # the next holder serves
                await asyncio.sleep(0.01)
            for client in clients:
                client.cancel()
            for client in clients:
                with suppress(asyncio.CancelledError):
                    await client
            assert second in THREE
            assert not [f"{at - began:.3f} s" for at in requests.unanswered]
            assert not requests.refused
            if how == "SIGTERM":
                async with asyncio.timeout(TIMEOUT):
                    assert await fleet.routers[first].process.wait() == 0

    run(scenario)


async def wait_until_ready(process: Process) -> None:
    async with asyncio.timeout(READY_TIME):
        while (await process.call("GET", "ready"))[0] != 200:
            await asyncio.sleep(0.02)


# Guards against a new process that can't start beside the holder, or closes connections that are for it.
@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
def test_an_upgrade_of_the_holder_hands_over_and_the_new_process_takes_part(
    duty: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty, inherit=True) as fleet:
            first = await fleet.holder()
            await fleet.wait_for_promises(first)
            requests = NewConnections(fleet)
            clients = [asyncio.create_task(requests.run()) for _ in range(CLIENTS)]
            old = fleet.routers[first]
            new = await fleet.start(first)
            await wait_until_ready(new)
            await asyncio.sleep(0.3)  # both processes have the socket
            assert requests.served and fleet.switch.holder == first
            old.process.send_signal(signal.SIGTERM)
            second = await fleet.holder(first)
            async with asyncio.timeout(TIMEOUT):
                assert await old.process.wait() == 0
                while (await status(new))["word_given_to"] != second:
                    await asyncio.sleep(0.01)
                while (await fleet.routers[second].call("PUT", f"address/move/{first}"))[0] != 200 or (
                    await fleet.holder(second)
                ) != first:
                    await asyncio.sleep(0.1)
            served = requests.served
            while requests.served == served:
                await asyncio.sleep(0.01)
            for client in clients:
                client.cancel()
            assert not requests.unanswered and not requests.refused

    run(scenario)
