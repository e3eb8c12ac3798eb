"""Stalls of processes that observe routers: a router is not accused of what its observer did late."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import select
import shlex
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from uvloop import new_event_loop

from myrtlecourse.audit import observations as seen
from myrtlecourse.audit.auditor import Auditor, Rules
from myrtlecourse.fleet.faults import Step
from myrtlecourse.fleet.loopback_fleet import Fleet
from myrtlecourse.fleet.routers import COMMAND, Routers
from myrtlecourse.fleet.scenario import Scenario
from myrtlecourse.fleet.session import Outcome, run_with_load
from myrtlecourse.load.client import ClientPool
from myrtlecourse.load.profile import Profile
from tests.loopback import run, until
from tests.soak_wrong import VARIANTS, tells_deadlines_late

STALL = 0.3  # seconds; more than a deadline may be told too long
SECONDS = 5.0  # seconds of a run
FLEET, LOAD = 0, 1  # the observing processes, in the order in which a run starts them

SCENARIO: dict[str, Any] = {
    "seconds": SECONDS,
    "routers": 2,
    "kinds": [{"name": "std", "boxes": 4, "cores": 16}],
    "classes": [
        {"name": "read", "work": 0.002, "aim": 0.5, "deadline": 1.5},
        {"name": "short", "work": 0.05, "aim": 0.1, "deadline": STALL / 2},
    ],
    "rules": {"answer_slack": 0.1},
    "origin": {"time": 0.002},
}
PROFILE: dict[str, Any] = {
    "pieces": [{"seconds": SECONDS - 0.5, "rate": 300.0}],
    "classes": [
        {"name": "read", "share": 1.0, "aim": 0.5, "deadline": 1.5},
        {"name": "short", "share": 1.0, "aim": 0.1, "deadline": STALL / 2},
    ],
    "keys": {"count": 100},
}


READ = b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nr1\r\n$13\r\nc=read,d=1000\r\n"
FETCH = b"GET /k HTTP/1.1\r\nHost: origin\r\nRequest-Id: r1\r\nRequest-Info: c=read,d=1000\r\n\r\n"


class Stalls:
    """Stops an observing process several times while a run goes on."""

    def __init__(self, observer: int) -> None:
        self.observer = observer
        self.count = 0
        self.thread = threading.Thread(target=self._stop_again_and_again, daemon=True)

    def on_progress(self, at: float, counts: dict[str, int]) -> None:
        if self.thread.ident is None:
            self.thread.start()

    def _stop_again_and_again(self) -> None:
        children = sorted(multiprocessing.active_children(), key=lambda child: child.pid or 0)
        pid = children[self.observer].pid
        assert pid is not None
        for _ in range(4):
            os.kill(pid, signal.SIGSTOP)
            time.sleep(STALL)
            os.kill(pid, signal.SIGCONT)
            time.sleep(2 * STALL)
            self.count += 1


def play(folder: Path, observer: int, command: str = COMMAND) -> Outcome:
    """Run two routers under load while an observing process is stopped again and again."""
    stalls = Stalls(observer)
    scenario, profile = msgspec.convert(SCENARIO, Scenario), msgspec.convert(PROFILE, Profile)
    outcome = run_with_load(scenario, profile, folder, command, 1, stalls.on_progress)
    stalls.thread.join()
    assert stalls.count == 4
    return outcome


@pytest.mark.processes
@pytest.mark.parametrize("observer", [FLEET, LOAD])
def test_stalls_of_an_observing_process_accuse_no_router(observer: int, tmp_path: Path) -> None:
    outcome = play(tmp_path, observer)
    assert outcome.verdict["kept"], outcome.verdict["named"][:3]
    assert not outcome.faults


@pytest.mark.processes
def test_a_router_that_tells_deadlines_late_is_caught_in_spite_of_stalls(tmp_path: Path) -> None:
    assert tells_deadlines_late in VARIANTS
    command = shlex.join([sys.executable, "-m", "tests.soak_wrong", tells_deadlines_late.__name__])
    outcome = play(tmp_path, FLEET, command)
    served = outcome.record.all.counts["served"]
    assert outcome.verdict["breaches"]["told_too_long"] >= 0.9 * served > 0


# guards against answers that count as late, or as after a client's end, for when they were read
def test_an_answer_counts_from_its_arrival_at_a_client_that_was_held_up() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            pool = ClientPool(server.getsockname(), 1)
            answered = asyncio.get_running_loop().create_future()
            command = pool.submit("r1", b"PING\r\n", lambda answer, _: answered.set_result(answer))
            peer = await asyncio.to_thread(lambda: server.accept()[0])
            await asyncio.to_thread(peer.recv, 100)
            peer.send(b"+PONG\r\n")
            sent_at = time.monotonic()
            time.sleep(STALL)  # blocks the event loop
            await answered
            assert abs(command.answered_at - sent_at) < STALL / 3
            pool.close()
            peer.close()

    run(scenario)


# guards against a transport that writes later, so that deadlines count from before the write
def test_a_command_is_written_when_it_counts_as_written() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            pool = ClientPool(server.getsockname(), 1)
            peers: list[socket.socket] = []
            unread: list[bool] = []

            def on_written() -> None:
                peers.append(server.accept()[0])
                unread.append(bool(select.select(peers, [], [], STALL)[0]))

            pool.submit("r1", b"PING\r\n", lambda answer, _: None, on_written)
            await until(lambda: bool(unread))
            assert unread == [True]
            pool.close()
            peers[0].close()

    run(scenario, new_event_loop)


# guards against attempts that count from when a held-up server or origin read them
@pytest.mark.parametrize("box", ["std-0", "origin"])
def test_an_attempt_counts_from_its_arrival_at_a_server_that_was_held_up(box: str) -> None:
    async def scenario() -> None:
        observed: list[seen.Observation] = []
        fleet = Fleet(msgspec.convert(SCENARIO, Scenario), observed.append)
        await fleet.listen()
        assert fleet.origin is not None
        ports = fleet.origin.ports if box == "origin" else fleet.cache_servers[box].ports
        port = next(iter(ports.values())).number
        with socket.create_connection(("127.0.0.1", port)) as connection:
            await asyncio.sleep(0.05)
            connection.send(FETCH if box == "origin" else READ)
            sent_at = time.monotonic()
            time.sleep(STALL)  # blocks the event loop
            await until(lambda: any(isinstance(o, seen.AttemptReceived) for o in observed))
        attempt = next(o for o in observed if isinstance(o, seen.AttemptReceived))
        assert abs(attempt.began - sent_at) < STALL / 3 and attempt.at > sent_at + STALL / 2
        fleet.close()

    run(scenario)


def fetches(times: list[float], read_at: float = 0.0) -> dict[str, int]:
    """Return the breaches of fetches that reach the origin at given times, read at once or at `read_at`."""
    auditor = Auditor(Rules(origin_rate=10.0))
    for number, arrived in enumerate(times):
        at = max(arrived, read_at)
        auditor.judge(seen.AttemptReceived(at, f"r{number}", "origin", "n1", arrived, "free"))
    return {what: count for what, count in auditor.verdict()["breaches"].items() if count}


# guards against an origin that reads at once what came while it was held up, and seems to be asked too much
def test_fetches_count_from_their_arrival_at_an_origin_that_was_held_up() -> None:
    arrivals = [number * 0.11 for number in range(30)]
    assert fetches(arrivals) == fetches(arrivals, 1.5) == {}


def test_too_many_fetches_are_caught_at_an_origin_that_was_held_up_whatever_their_order() -> None:
    arrivals = [number * 0.05 for number in range(30)]
    assert fetches(arrivals) == fetches(arrivals, 1.0) == {"origin_over": 1}
    assert fetches(arrivals[::-1], 2.0) == {"origin_over": 1}


def test_the_end_of_a_stop_is_observed_when_the_router_is_resumed(tmp_path: Path) -> None:
    observed: list[seen.Observation] = []
    routers = Routers(["router-0"], COMMAND, tmp_path, observed.append)
    before = time.monotonic()
    routers.apply_step(Step(0.0, "go_on", "router-0"))
    resumed = observed[0]
    assert isinstance(resumed, seen.RouterStalled) and resumed.seconds == 0
    assert before <= resumed.at <= time.monotonic()


def stop_and_answer(resumed_at: float) -> dict[str, int]:
    """Return the breaches of a router that was to be stopped for 0.2 s and answered when it was resumed."""
    auditor = Auditor(Rules())
    auditor.judge(seen.RouterStalled(0.0, "n1", 0.2))
    auditor.judge(seen.RequestSent(0.3, "r1", "n1", "read", 0.8, "free"))
    if resumed_at:
        auditor.judge(seen.RouterStalled(resumed_at, "n1", 0.0))
    auditor.judge(seen.RequestAnswered(1.0, "r1", "served"))
    return {what: count for what, count in auditor.verdict()["breaches"].items() if count}


# guards against a router that seems late because a held-up fleet resumed it later than planned
def test_a_router_that_was_resumed_late_counts_as_stopped_until_then() -> None:
    assert stop_and_answer(0.9) == {}
    assert stop_and_answer(0.0) == stop_and_answer(0.25) == {"late": 1}
