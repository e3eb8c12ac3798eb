"""Attempts on cache servers, which speak RESP2."""

from __future__ import annotations

import re

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE, Command
from brackenwalk.net.pool import Answer, Connection, MalformedAnswer, Pool
from brackenwalk.net.resp import NOT_YET, ErrorLine, Reader, RespError, pack

MAX_ITEMS = 16  # of an answer's three and of whatever stands in a load report's place
MAX_ANSWER = MAX_VALUE + 8192  # the value and what stands round it
HIT = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
AFTER_HIT = b"\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(MAX_ITEMS, MAX_VALUE, MAX_ANSWER)

    def encode(self, command: Command, time_left: float) -> bytes:
        parts = [command.verb, command.key, command.request, command.info_for(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return pack(parts)

    def decode(self, data: bytes) -> Answer | None:
        # nearly all answers are one of these, whole; the reader is as strict, and slower
        if not self.reader.buffer and (whole := HIT.match(data)) is not None:
            start, end = whole.end(), len(data) - len(AFTER_HIT)
            if end - start == int(whole[1]) <= MAX_VALUE and data.endswith(AFTER_HIT):
                return Status.OK, data[start:end]
        elif data == MISS and not self.reader.buffer:
            return Status.MISS, b""
        self.reader.feed(data)
        try:
            reply = self.reader.next()
        except RespError as e:
            raise MalformedAnswer(str(e)) from e
        # nothing is asked of the third item: a report that can't be read does not spoil the value
        match reply:
            case ErrorLine(text):
                return (Status.FULL if text.split(" ")[0] == "BUSY" else Status.ERROR), b""
            case [bytes(value), bytes() | None, _]:
                return Status.OK, value
            case [None, bytes() | None, _]:
                return Status.MISS, b""
        if reply is NOT_YET:
            return None
        raise MalformedAnswer(f"not an answer: {repr(reply)[:80]}")

    def reusable(self) -> bool:
        return not self.reader.buffer
