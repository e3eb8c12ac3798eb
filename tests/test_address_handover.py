"""Tests of how a router stops to hold the service address, by real routers on loopback."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import TIMEOUT, Link, read, run
from tests.test_address import THREE, AddressFleet, places, status
from tests.test_service import Process

CLIENTS = 6
PAUSE = 0.02  # seconds between the requests of one client
LONG_REQUEST = 0.2  # seconds for which a request still goes on when the holder is to give up the address
READY_TIME = 6.0  # seconds in which the new process of an upgrade says that it is ready
SLOW_ANSWER = 0.05  # seconds
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


class SlowAnswers(dict[str, asyncio.Event]):
    """Has the cache servers answer each request after a short time."""

    def __contains__(self, request: object) -> bool:
        return True

    def __missing__(self, request: str) -> asyncio.Event:
        answered = asyncio.Event()
        asyncio.get_running_loop().call_later(SLOW_ANSWER, answered.set)
        return answered


class PipeliningClients:
    """Clients of one router that always have commands out on their connections, so that none is ever idle."""

    def __init__(self) -> None:
        self.late = False  # whether another router holds the address
        self.answers: dict[str, Any] = {}

    async def run(self, number: int, client: Link) -> None:
        """Send commands until the connection ends."""
        requests: deque[str] = deque()
        answering = asyncio.create_task(self._receive(client, requests))
        for count in itertools.count():
            if answering.done():
                return
            requests.append(f"{'late' if self.late else 'early'}-{number}-{count}")
            client.write(read(requests[-1]))
            await asyncio.sleep(SLOW_ANSWER / 5)

    async def _receive(self, client: Link, requests: deque[str]) -> None:
        with suppress(AssertionError, OSError):
            while True:
                answer = await client.resp()
                self.answers[requests.popleft()] = answer


# Guards against a holder that goes on taking commands on open connections once its lease is over.
@pytest.mark.processes
@pytest.mark.parametrize("duty", [False, True], ids=["by itself", "as a duty"])
def test_a_holder_whose_lease_is_over_takes_no_commands_on_open_connections(
    duty: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with places(tmp_path, duty) as fleet:
            first = await fleet.holder()
            await fleet.wait_for_promises(first)
            fleet.cluster.slow = SlowAnswers()
            clients = PipeliningClients()
            links = [
                Link(*await asyncio.open_connection(*fleet.switch.routers[first])) for _ in range(CLIENTS)
            ]
            running = [asyncio.create_task(clients.run(n, link)) for n, link in enumerate(links)]
            await asyncio.sleep(0.2)
            assert clients.answers
            fleet.switch.ignored_routers.add(first)  # the withdrawal is lost, too
            fleet.switch.split({first})
            await fleet.holder(first)
            clients.late = True
            await asyncio.wait(running, timeout=2.0)
            late = {request: answer for request, answer in clients.answers.items() if request[0] == "l"}
            assert all("BUSY" in str(answer) for answer in late.values())
            assert not [request for _, request in fleet.cluster.seen if request.startswith("late")]
            for task in running:
                task.cancel()

    run(scenario)


# Guards against requests closed on unread where the address has nowhere to go, or its next holder ends too.
@pytest.mark.processes
@pytest.mark.parametrize("pause", [0.0, 0.2], ids=["at once", "one after another"])
def test_routers_that_are_told_to_end_together_answer_what_comes_and_end(
    pause: float, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with places(tmp_path) as fleet:
            first = await fleet.holder()
            await fleet.wait_for_promises(first)
            requests = NewConnections(fleet)
            clients = [asyncio.create_task(requests.run()) for _ in range(CLIENTS)]
            await asyncio.sleep(0.2)
            for name in (first, *(n for n in THREE if n != first)):
                fleet.routers[name].process.send_signal(signal.SIGTERM)
                await asyncio.sleep(pause)
            async with asyncio.timeout(TIMEOUT):
                assert [await r.process.wait() for r in fleet.routers.values()] == [0, 0, 0]
            for client in clients:
                client.cancel()
            assert requests.served and not requests.unanswered and not requests.refused

    run(scenario)
