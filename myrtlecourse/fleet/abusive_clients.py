"""Clients that make a router hold memory or use its core: each by requests that are valid at first sight."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from myrtlecourse.net.resp import encode_command

VALUE_SIZE = 60_000  # bytes of a long command's value
LARGE_VALUE_SIZE = 255 * 1024  # bytes of the value of a request that is not sent whole
PIECE_SIZE = 3_000  # bytes that a client that writes slowly writes at once
PIECE_PAUSE = 0.05  # seconds between two of them
LONG_COMMAND = encode_command([b"C.SET", b"large", b"abusive", b"c=read,d=900", b"x" * VALUE_SIZE])
LARGE_COMMAND = encode_command([b"C.SET", b"large", b"abusive", b"c=read,d=900", b"x" * LARGE_VALUE_SIZE])
FLOOD = encode_command([b"PING"]) * 200
FIELDS = (
    b"c=read,d=900" + b",a=" * 1_398_000
)  # names and values of nearly 4 MiB, which a bulk string may have
ANSWERS_READ = 65_536  # bytes that are read at once
PATIENCE = 3.3  # seconds after which a client that waits for an error or a close leaves
RETURN_PAUSE = 0.02  # seconds until a client that has left comes again
SLOW_READ = 1024  # bytes that a slow reader takes at once
SLOW_READ_PAUSE = 0.3  # seconds between two of them
RECEIVE_BUFFER = 4096  # bytes of the receive buffer of a slow reader's socket
READ_DEADLINE_MS = 2500
ids = itertools.count()

Address = tuple[str, int]
Client = Callable[[Address], Coroutine[Any, Any, None]]


def new_id() -> bytes:
    """Return an id for a request that no other process uses."""
    return b"%x-%x" % (os.getpid(), next(ids))


def encode_write(size: int, request_class: bytes = b"read", deadline_ms: int = READ_DEADLINE_MS) -> bytes:
    """Encode a keyed write of a value of `size` bytes, with an id of its own."""
    name = new_id()
    info = b"c=%b,t=t,d=%d,k=%b" % (request_class, deadline_ms, name)
    return encode_command([b"C.SET", b"key-" + name, name, info, b"x" * size])


def encode_read(key: bytes, request_class: bytes = b"read", deadline_ms: int = READ_DEADLINE_MS) -> bytes:
    """Encode a read, with an id of its own."""
    return encode_command([b"C.GET", key, new_id(), b"c=%b,t=t,d=%d" % (request_class, deadline_ms)])


async def connect(address: Address, receive_buffer: int | None = None) -> socket.socket:
    """Return a connected socket that does not block."""
    client = socket.socket()
    client.setblocking(False)
    if receive_buffer is not None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    try:
        await asyncio.get_running_loop().sock_connect(client, address)
    except BaseException:
        client.close()
        raise
    return client


async def read_to_the_end(client: socket.socket) -> None:
    """Read until the router ends the connection."""
    while await asyncio.get_running_loop().sock_recv(client, ANSWERS_READ):
        pass


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


async def stop_within_request(address: Address) -> None:
    """Send most of a large request, wait for an error or a close, and leave after a while."""
    with await connect(address) as client, suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE):
            await asyncio.get_running_loop().sock_sendall(client, LARGE_COMMAND[: LARGE_VALUE_SIZE * 3 // 4])
            await read_to_the_end(client)


async def leave_within_request(address: Address) -> None:
    """Send most of a large request and leave at once."""
    with await connect(address) as client:
        await asyncio.get_running_loop().sock_sendall(client, LARGE_COMMAND[: LARGE_VALUE_SIZE * 3 // 4])
        await asyncio.sleep(RETURN_PAUSE)


async def send_short_fields(address: Address) -> None:
    """Send a read with a million names and values, and read what it gets."""
    with await connect(address) as client:
        command = encode_command([b"C.GET", b"key", new_id(), FIELDS])
        await asyncio.get_running_loop().sock_sendall(client, command)
        await read_to_the_end(client)


async def read_slowly(address: Address, command: bytes) -> None:
    """Send a read and take its answer slowly, up to its end."""
    with await connect(address, RECEIVE_BUFFER) as client:
        await asyncio.get_running_loop().sock_sendall(client, command)
        while await asyncio.get_running_loop().sock_recv(client, SLOW_READ):
            await asyncio.sleep(SLOW_READ_PAUSE)


async def read_key_slowly(address: Address) -> None:
    """Read any key, and take the answer slowly."""
    await read_slowly(address, encode_read(b"slowly-" + new_id()))


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


async def run_clients(client: Client, address: Address, count: int, seconds: float, again: bool) -> None:
    """Run `count` clients of a kind at once for `seconds`; each may come `again` when it has ended."""

    async def play() -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    with suppress(OSError):
                        await client(address)
                    if not again:
                        return
                    await asyncio.sleep(RETURN_PAUSE)

    await asyncio.gather(*(play() for _ in range(count)))
