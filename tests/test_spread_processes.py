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


def played(folder: Path, faults: Callable[[Fleet], Awaitable[None]]) -> None:
    """Start a fleet, inject faults and check the whole fleet again."""

    async def scenario() -> None:
        async with fleet(folder) as there:
            await faults(there)
            await there.whole()

    asyncio.run(scenario())


def test_parents_that_die_or_stand_still_and_members_that_start_anew(tmp_path: Path) -> None:
    async def faults(there: Fleet) -> None:
        parent = await there.parent_of(PARTS[0])
        assert parent in EAST
        there.processes[parent].process.kill()
        await there.processes[parent].process.wait()
        other = next(name for name in EAST if name != parent)
        await there.send(20)
        end = asyncio.get_running_loop().time() + 60.0
        while await there.parent_of(PARTS[0]) != other:
            assert asyncio.get_running_loop().time() < end
            await asyncio.sleep(0.05)
        await there.start(parent)
        await there.whole()

        parent = await there.parent_of(PARTS[1])
        process = there.processes[parent].process
        process.send_signal(signal.SIGSTOP)
        number = await there.send(20)
        await asyncio.sleep(STOPPED)
        process.send_signal(signal.SIGCONT)
        await there.whole()
        assert number > 0

        some = random.Random(2).sample(GROUPS["west"], 2) + random.Random(2).sample(PARTS, 1)
        for group in ("parts", "west"):
            await there.hollow[group].order("kill", *(n for n in some if n in GROUPS[group]))
        await there.send(5)
        for group in ("parts", "west"):
            await there.hollow[group].order("start", *(n for n in some if n in GROUPS[group]))
        await there.whole()
        assert all(len(there.members()[name]) == 2 for name in some)

    played(tmp_path, faults)


def test_a_region_that_is_cut_off_and_a_network_that_loses_and_forges(tmp_path: Path) -> None:
    async def faults(there: Fleet) -> None:
        west = GROUPS["west"]
        there.ways.cut("west", {(g, n) for g in GROUPS for n in NAMES if (g == "west") is not (n in west)})
        number = await there.send(20)
        # Completion continues without members that know that they are cut off.
        await until(lambda: told(there) >= number, lambda: f"done {told(there)} of {number}")
        assert all(there.members()[name][-1].covered < number for name in west)
        await asyncio.sleep(CUT)
        await there.send(20)
        there.ways.cut("west", ())
        await there.whole()

        there.ways.loss, there.ways.copies, there.ways.spread = 0.1, 0.2, 0.05
        await there.send(60)
        await there.whole()
        there.ways.loss = there.ways.copies = there.ways.spread = 0.0

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            forger = Wire("c1", NAMES, KEY, 1, SpreadCodec())
            for name in NAMES:
                cut = forger.pack(name, (msg.Heartbeat(2**40, 2**40, 0, 1000),))[:-1]
                for data in (b"", b"x", os.urandom(16), os.urandom(200), os.urandom(1400), cut):
                    stranger.sendto(data, there.heard_at[name])
        await there.whole()
        for name in ("c1", EAST[0], PARTS[0], west[0]):
            dropped = (await there.status(name))["dropped"]
            assert dropped["forged or cut"] >= 1 and dropped["of a length that none has"] >= 1

    def told(there: Fleet) -> int:
        lives = [life for name in CONTROL for life in there.members()[name]]
        return max(number for life in lives for _, number in life.done)

    played(tmp_path, faults)


def test_holders_that_hand_on_or_are_followed_while_they_stand_still(tmp_path: Path) -> None:
    async def faults(there: Fleet) -> None:
        first = await there.holder()
        sending = asyncio.create_task(there.send(60))
        await until(lambda: len(there.acknowledged) > 10, lambda: f"{len(there.acknowledged)} acknowledged")
        second = next(name for name in CONTROL if name != first)
        assert (await there.processes[first].call("PUT", f"duties/log/move/{second}"))[0] == 200
        await sending
        assert await there.holder(first) != first
        await there.whole()

        old = await there.holder()
        process = there.processes[old].process
        process.send_signal(signal.SIGSTOP)
        others = tuple(name for name in CONTROL if name != old)
        await there.holder(old, others)
        await there.send(20, others)
        # A proposal that arrives while the process is stopped is read when it continues, and must be refused.
        late = asyncio.create_task(there.put(old, ("purge", "00" * 8)))
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGCONT)
        assert await late == 0
        name, code, why = there.refused[-1]
        assert (name, code) == (old, 503) and "its holder is" in why
        await there.whole()

        # Operators' calls to a router that only receives, and a reload with settings that can't change at run
        # time.
        router = there.processes[EAST[0]]
        assert (await router.call("PUT", "spread/purge/" + "00" * 8))[0] == 503
        assert (await router.call("PUT", "spread/purge/00"))[0] == 400
        file = tmp_path / f"{EAST[0]}.toml"
        file.write_text(file.read_text().replace("lease = 2.0", "lease = 2.1"))
        router.process.send_signal(signal.SIGHUP)
        await router.logged("members and figures can't be others while a process runs")

    played(tmp_path, faults)
