"""Attempts on cache servers, which speak RESP2."""

from __future__ import annotations

from typing import Any

import hiredis

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE, Command
from brackenwalk.net.pool import Answer, Connection, MalformedAnswer, Pool

MAX_ANSWER = MAX_VALUE + 4096  # the value and what stands round it
NOT_YET = object()


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = hiredis.Reader(notEnoughData=NOT_YET)
        self.received = 0

    def encode(self, command: Command, time_left: float) -> bytes:
        self.received = 0
        parts: tuple[Any, ...] = (command.verb, command.key, command.request, command.info_for(time_left))
        if command.value is not None:
            parts += (command.value,)
        return bytes(hiredis.pack_command(parts))

    def decode(self, data: bytes) -> Answer | None:
        self.received += len(data)
        if self.received > MAX_ANSWER:
            raise MalformedAnswer("longer than any value")
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except (hiredis.ProtocolError, MemoryError) as e:
            raise MalformedAnswer(str(e)) from e
        if reply is NOT_YET:
            return None
        if isinstance(reply, hiredis.ReplyError):
            return (Status.FULL if str(reply).split(" ")[0] == "BUSY" else Status.ERROR), b""
        if not isinstance(reply, list) or not reply:
            raise MalformedAnswer(repr(reply)[:80])
        if reply[0] is None:
            return Status.MISS, b""
        if not isinstance(reply[0], bytes):
            raise MalformedAnswer(repr(reply)[:80])
        return Status.OK, reply[0]

    def reusable(self) -> bool:
        return not self.reader.has_data()
