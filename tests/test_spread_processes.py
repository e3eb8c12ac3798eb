"""Real processes that carry changes and purges, with faults between them.

No test depends on timing, as the machines that run them may be busy.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.codec import SpreadCodec
from tests.spread_fleet import CONTROL, EAST, FIGURES, GROUPS, KEY, NAMES, PARTS, Fleet, fleet, until

pytestmark = pytest.mark.processes
STOPPED = 3.0  # seconds
CUT = 10 * FIGURES["lease"]


def run_with_faults(folder: Path, faults: Callable[[Fleet], Awaitable[None]]) -> None:
    """Start a fleet, inject faults and check the whole fleet again."""

    async def scenario() -> None:
        async with fleet(folder) as deployment:
            await faults(deployment)
            await deployment.check_complete()

    asyncio.run(scenario())


def test_parents_that_die_or_stand_still_and_members_that_start_anew(tmp_path: Path) -> None:
    async def faults(deployment: Fleet) -> None:
        parent = await deployment.parent_of(PARTS[0])
        assert parent in EAST
        deployment.processes[parent].process.kill()
        await deployment.processes[parent].process.wait()
        other = next(name for name in EAST if name != parent)
        await deployment.send(20)
        end = asyncio.get_running_loop().time() + 60.0
        while await deployment.parent_of(PARTS[0]) != other:
            assert asyncio.get_running_loop().time() < end
            await asyncio.sleep(0.05)
        await deployment.start(parent)
        await deployment.check_complete()

        parent = await deployment.parent_of(PARTS[1])
        process = deployment.processes[parent].process
        process.send_signal(signal.SIGSTOP)
        number = await deployment.send(20)
        await asyncio.sleep(STOPPED)
        process.send_signal(signal.SIGCONT)
        await deployment.check_complete()
        assert number > 0

        some = random.Random(2).sample(GROUPS["west"], 2) + random.Random(2).sample(PARTS, 1)
        for group in ("parts", "west"):
            await deployment.member_processes[group].command("kill", *(n for n in some if n in GROUPS[group]))
        await deployment.send(5)
        for group in ("parts", "west"):
            await deployment.member_processes[group].command(
                "start", *(n for n in some if n in GROUPS[group])
            )
        await deployment.check_complete()
        assert all(len(deployment.members()[name]) == 2 for name in some)

    run_with_faults(tmp_path, faults)


def test_a_region_that_is_cut_off_and_a_network_that_loses_and_forges(tmp_path: Path) -> None:
    async def faults(deployment: Fleet) -> None:
        west = GROUPS["west"]
        deployment.ways.cut(
            "west", {(g, n) for g in GROUPS for n in NAMES if (g == "west") is not (n in west)}
        )
        number = await deployment.send(20)
        # Completion continues without members that know that they are cut off.
        await until(
            lambda: watermark(deployment) >= number, lambda: f"done {watermark(deployment)} of {number}"
        )
        assert all(deployment.members()[name][-1].covered < number for name in west)
        await asyncio.sleep(CUT)
        await deployment.send(20)
        deployment.ways.cut("west", ())
        await deployment.check_complete()

        deployment.ways.loss, deployment.ways.copies, deployment.ways.jitter = 0.1, 0.2, 0.05
        await deployment.send(60)
        await deployment.check_complete()
        deployment.ways.loss = deployment.ways.copies = deployment.ways.jitter = 0.0

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            forger = Wire("c1", NAMES, KEY, 1, SpreadCodec())
            for name in NAMES:
                cut = forger.pack(name, (msg.Heartbeat(2**40, 2**40, 0, 1000),))[:-1]
                for data in (b"", b"x", os.urandom(16), os.urandom(200), os.urandom(1400), cut):
                    stranger.sendto(data, deployment.heard_at[name])
        await deployment.check_complete()
        for name in ("c1", EAST[0], PARTS[0], west[0]):
            dropped = (await deployment.status(name))["dropped"]
            assert dropped["forged or cut"] >= 1 and dropped["of a length that none has"] >= 1

    def watermark(deployment: Fleet) -> int:
        records = [record for name in CONTROL for record in deployment.members()[name]]
        return max(number for record in records for _, number in record.watermarks)

    run_with_faults(tmp_path, faults)


def test_holders_that_hand_on_or_are_followed_while_they_stand_still(tmp_path: Path) -> None:
    async def faults(deployment: Fleet) -> None:
        first = await deployment.holder()
        sending = asyncio.create_task(deployment.send(60))
        await until(
            lambda: len(deployment.acknowledged) > 10, lambda: f"{len(deployment.acknowledged)} acknowledged"
        )
        second = next(name for name in CONTROL if name != first)
        assert (await deployment.processes[first].call("PUT", f"duties/log/move/{second}"))[0] == 200
        await sending
        assert await deployment.holder(first) != first
        await deployment.check_complete()

        old = await deployment.holder()
        process = deployment.processes[old].process
        process.send_signal(signal.SIGSTOP)
        others = tuple(name for name in CONTROL if name != old)
        await deployment.holder(old, others)
        await deployment.send(20, others)
        # A proposal that arrives while the process is stopped is read when it continues, and must be refused.
        late = asyncio.create_task(deployment.put(old, ("purge", "00" * 8)))
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGCONT)
        assert await late == 0
        name, code, why = deployment.refused[-1]
        assert (name, code) == (old, 503) and "its holder is" in why
        await deployment.check_complete()

        # Operators' calls to a router that only receives, and a reload with settings that can't change at run
        # time.
        router = deployment.processes[EAST[0]]
        assert (await router.call("PUT", "spread/purge/" + "00" * 8))[0] == 503
        assert (await router.call("PUT", "spread/purge/00"))[0] == 400
        file = tmp_path / f"{EAST[0]}.toml"
        file.write_text(file.read_text().replace("lease = 2.0", "lease = 2.1"))
        router.process.send_signal(signal.SIGHUP)
        await router.logged("members and parameters can't change while the process runs")

    run_with_faults(tmp_path, faults)
