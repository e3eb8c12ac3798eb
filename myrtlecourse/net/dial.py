"""Dials: opens a connection within a time limit, and never gives up one that its protocol has been told of.

An event loop closes the transport of a connection when the task that opens it is cancelled. While the loop is
held up, the connection can come up as the time limit ends, so that its protocol already uses it. The event
loop in C then closes it without telling the protocol.
"""

from __future__ import annotations

import asyncio
from typing import Protocol


class DialledConnection(Protocol):
    """The protocol of a connection that is dialled. If `dial_given_up`, it has to abort its transport as soon
    as it is told of it."""

    connected: bool  # whether it has been told of its transport
    dial_given_up: bool


async def open_in_time(
    connection: DialledConnection, protocol: asyncio.BaseProtocol, address: tuple[str, int], timeout: float
) -> None:
    """Open a connection with its protocol.

    Raises:
        OSError: it could not be opened.
        TimeoutError: it did not come up within `timeout` seconds.
    """
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout, give_up, connection, asyncio.current_task())
    try:
        await loop.create_connection(lambda: protocol, *address)
    except asyncio.CancelledError:
        if not connection.dial_given_up:
            raise
        raise TimeoutError from None
    finally:
        timer.cancel()


def give_up(connection: DialledConnection, dial: asyncio.Task[None] | None) -> None:
    """Give up a dial unless its connection is up; the dial ends by itself then."""
    if not connection.connected:
        connection.dial_given_up = True
        if dial is not None:
            dial.cancel()
