"""Clients that press a router: they write long commands slowly and stop, or send commands at full speed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from myrtlecourse.net.resp import encode_command

VALUE_SIZE = 60_000  # bytes of a long command's value
PIECE_SIZE = 3_000  # bytes that a client that writes slowly writes at once
PIECE_PAUSE = 0.05  # seconds between two of them
LONG_COMMAND = encode_command([b"C.SET", b"pressed", b"pressing", b"c=read,d=900", b"x" * VALUE_SIZE])
FLOOD = encode_command([b"PING"]) * 200
ANSWERS_READ = 65_536  # bytes that are read at once

Address = tuple[str, int]


async def write_half(address: Address) -> None:
    """Write half of a long command slowly, and stay until the router ends the connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for start in range(0, len(LONG_COMMAND) // 2, PIECE_SIZE):
            if writer.is_closing():
                return
            writer.write(LONG_COMMAND[start : start + PIECE_SIZE])
            await asyncio.sleep(PIECE_PAUSE)
        while await reader.read(ANSWERS_READ):
            pass
    finally:
        writer.transport.abort()


async def flood(address: Address) -> None:
    """Send commands at full speed and read the answers, until cancelled."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        while not writer.is_closing():
            writer.write(FLOOD)
            await writer.drain()
            await reader.read(ANSWERS_READ)
    finally:
        writer.transport.abort()


async def press(
    client: Callable[[Address], Coroutine[Any, Any, None]], address: Address, count: int, seconds: float
) -> None:
    """Have `count` clients press a router at once for `seconds`."""

    async def play() -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                await client(address)

    await asyncio.gather(*(play() for _ in range(count)))
