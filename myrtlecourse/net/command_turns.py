"""Turns of clients' connections that have sent more commands than are processed at once.

A connection on which commands keep coming would take the whole core: its bytes are there already, while
the commands of others have yet to be read. So a connection gets a turn of a few commands, and then waits
behind the others that have some left. One turn is taken in each iteration of the event loop, which reads the
input of all other connections in between.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

FIRST_COMMANDS = 4  # commands that are processed as they are read, without waiting for a turn
TURN_COMMANDS = 16  # commands of one turn


class TurnTaker(Protocol):
    """A connection with commands that have been read and not been processed."""

    def take_turn(self) -> None:
        """Process up to `TURN_COMMANDS` commands."""


class CommandTurns:
    """The connections that wait for a turn, in the order in which they get it."""

    def __init__(self) -> None:
        self.waiting: dict[TurnTaker, None] = {}
        self.scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Have a connection wait behind the others; one that waits already keeps its place."""
        self.waiting[connection] = None
        self._schedule()

    def remove(self, connection: TurnTaker) -> None:
        """Remove a connection that has ended."""
        self.waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self.waiting and not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self.scheduled = False
        connection = next(iter(self.waiting), None)
        if connection is not None:
            del self.waiting[connection]
            connection.take_turn()
        self._schedule()
