"""Attempts on cache servers, which speak RESP2."""

from __future__ import annotations

import re

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_GATHERED, Command
from myrtlecourse.net.connection import Answer, Connection, MalformedAnswer
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.resp import NOT_YET, ErrorLine, Reader, RespError, pack

MAX_ITEMS = 16  # of an answer's three and of whatever stands in a load report's place
MAX_ANSWER = MAX_GATHERED + 8192  # the value and what stands round it
LONG = re.compile(rb"\*3\r\n\$([0-9]{5,9})\r\n")
LONGEST_HEAD = len(b"*3\r\n$999999999\r\n")
BEFORE_TAIL = b"*3\r\n$0\r\n"  # with what stands behind a value, an answer that the reader checks
HIT = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
AFTER_HIT = b"\r\n$3\r\nhit\r\n$-1\r\n"
BUSY = re.compile(r"BUSY(?: [\w.]+=[\w.]+(?:,[\w.]+=[\w.]+)*)?")  # with a load report, perhaps
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(MAX_ITEMS, MAX_GATHERED, MAX_ANSWER)
        self.left = 0  # bytes of a long value that are still to come
        self.last = b""  # its last byte

    def encode(self, command: Command, time_left: float) -> bytes:
        parts = [command.verb, command.key, command.request, command.info_for(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return pack(parts)

    def decode(self, data: bytes) -> Answer | None:
        if self.length:
            return self._long(data)
        if 0 < len(self.reader.buffer) < LONGEST_HEAD:  # the head may come in pieces
            data = bytes(self.reader.buffer) + data
            self.reader.buffer.clear()
        if not self.reader.buffer and (head := LONG.match(data)) is not None:
            length = int(head[1])
            if MAX_GATHERED < length <= self.pool.max_passed:
                self.length = self.left = length
                return self._long(data[head.end() :])
        return self._short(data)

    def _long(self, data: bytes) -> Answer | None:
        """A value too long to be gathered: pieces as they come, but its last byte only with what follows.

        Guards the client: a length that does not fit is known before the value looks whole.
        """
        if self.left:
            part, data = data[: self.left], data[self.left :]
            self.left -= len(part)
            if self.left:
                self.pieces.append(part)  # as it is, without a copy
                return None
            self.pieces.append(part[:-1])
            self.last = part[-1:]
            self.reader.feed(BEFORE_TAIL)
        answer = self._short(data)
        if answer is not None:
            if answer[0] is not Status.OK:
                raise MalformedAnswer("not the end of a value")
            self.pieces.append(self.last)
            self.last = b""
        return answer

    def _short(self, data: bytes) -> Answer | None:
        # nearly all answers are one of these, whole; the reader is as strict, and slower
        if not self.reader.buffer and (whole := HIT.match(data)) is not None:
            start, end = whole.end(), len(data) - len(AFTER_HIT)
            if end - start == int(whole[1]) <= MAX_GATHERED and data.endswith(AFTER_HIT):
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
                # guards against a second effect: half a line before it, or more behind it, and which of them
                # answers this request can't be told, nor that it never ran
                if BUSY.fullmatch(text) is not None and not self.reader.buffer:
                    return Status.FULL, b""
                if text.startswith("ERR"):
                    return Status.ERROR, b""
            case [bytes(value), bytes() | None, _]:
                return Status.OK, value
            case [None, bytes() | None, _]:
                return Status.MISS, b""
        if reply is NOT_YET:
            return None
        raise MalformedAnswer(f"not an answer: {repr(reply)[:80]}")

    def reusable(self) -> bool:
        return not self.reader.buffer
