"""The memory that clients of one kind make a router take, and what sound clients get beside them.

It starts one real router with small limits in front of a stand-in fleet. For each kind, many clients press
the router for some seconds beside sound reads at an even rate. Printed are the private memory (resident,
without pages of files) before, at its highest and two seconds after they have left, and how the sound reads
ended.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import os
import shlex
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from uvloop import new_event_loop

from bench import rig
from myrtlecourse.fleet import abusive_clients as abusive
from myrtlecourse.fleet.abusive_clients import LONG_COMMAND, Address, run_clients
from myrtlecourse.net.resp import encode_command

SECONDS = 6.0  # for which clients press the router
SETTLING_TIME = 2.0  # seconds after they have left
SOUND_INTERVAL = 0.02  # seconds between two sound reads
SOUND_DEADLINE_MS = 900
SAMPLE_INTERVAL = 0.01  # seconds between looks at the memory
COMMANDS = 32  # that a client sends behind one another
MEGABYTE = 1024 * 1024
ids = itertools.count()


def read(key: bytes) -> bytes:
    info = b"c=read,t=bench,d=%d" % SOUND_DEADLINE_MS
    return encode_command([b"C.GET", key, b"bench-%d" % next(ids), info])


async def stay_silent(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    try:
        await reader.read()
    finally:
        writer.transport.abort()


async def stop_before_the_end(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(LONG_COMMAND[:-100])
        await reader.read()
    finally:
        writer.transport.abort()


async def read_nothing(address: Address) -> None:
    _, writer = await asyncio.open_connection(*address, limit=1)
    try:
        writer.write(b"".join(read(b"key-%d" % n) for n in range(COMMANDS)))
        await asyncio.sleep(SECONDS)
    finally:
        writer.transport.abort()


KINDS: dict[str, Callable[[Address], Coroutine[Any, Any, None]]] = {
    "silent": stay_silent,
    "half a command, slowly": abusive.write_half,
    "stop within a request": abusive.stop_within_request,
    "leave within a request": abusive.leave_within_request,
    "very many fields": abusive.send_short_fields,
    "all but the end": stop_before_the_end,
    "answers unread": read_nothing,
    "flood": abusive.flood,
}


def private_bytes(process: int) -> int:
    """Return the resident memory of a process without pages of files."""
    resident, shared = Path(f"/proc/{process}/statm").read_text().split()[1:3]
    return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")


async def watch(process: int, highest: list[int]) -> None:
    while True:
        highest[0] = max(highest[0], private_bytes(process))
        await asyncio.sleep(SAMPLE_INTERVAL)


async def ask(address: Address, outcomes: Counter[str]) -> None:
    """Make one sound read on a connection of its own and count how it ended."""
    how = "no answer in time"
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(SOUND_DEADLINE_MS / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(read(b"sound-%d" % (next(ids) % 100)))
                line = await reader.readline()
                how = "served" if line.startswith(b"$") else line.decode().split(" ")[0].strip() or "closed"
            finally:
                writer.transport.abort()
    outcomes[how] += 1


async def ask_evenly(address: Address, outcomes: Counter[str]) -> None:
    asking = []
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        asking.append(asyncio.create_task(ask(address, outcomes)))
        await asyncio.sleep(SOUND_INTERVAL)
    await asyncio.gather(*asking)


async def play(kind: str, address: Address, process: int, number: int) -> None:
    """Play one kind of client against a router and print its row."""
    before, outcomes = private_bytes(process), Counter[str]()
    highest = [before]
    watching = asyncio.create_task(watch(process, highest))
    count = 1 if kind == "flood" else number
    await asyncio.gather(
        run_clients(KINDS[kind], address, count, SECONDS, again=kind != "flood"),
        ask_evenly(address, outcomes),
    )
    await asyncio.sleep(SETTLING_TIME)
    watching.cancel()
    figures = [b / MEGABYTE for b in (before, highest[0], private_bytes(process))]
    print(kind.ljust(24), *(f"{f:6.1f}" for f in figures), dict(outcomes), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=550, help="clients of a kind (default 550)")
    parser.add_argument("--memory", type=int, default=32, help="limits.memory_mb (default 32)")
    parser.add_argument("--sockets", type=int, default=1024, help="limits.sockets (default 1024)")
    parser.add_argument(
        "--router", metavar="COMMAND", help="command of the router (default: this checkout's)"
    )
    options = parser.parse_args()
    command = shlex.split(options.router or f"{shlex.quote(sys.executable)} -B deploy/start.py")
    limits = {"cores": 1.0, "memory_mb": options.memory, "sockets": options.sockets}
    print("kind".ljust(24), "before highest after, MB; sound reads")
    with rig.run_fleet(rig.server_scenario(size=60_000, count=4), {1, 2}) as fleet:
        fleet.begin()
        for kind in KINDS:
            with (
                rig.run_router(command, fleet.configuration, {0}, limits=limits) as (port, router),
                asyncio.Runner(loop_factory=new_event_loop) as runner,
            ):
                runner.run(play(kind, ("127.0.0.1", port), router.pid, options.clients))


if __name__ == "__main__":
    main()
