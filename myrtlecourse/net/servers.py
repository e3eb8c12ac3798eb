"""Attempts on cache servers, which speak RESP2."""

from __future__ import annotations

import re

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_BUFFERED_ANSWER, Command
from myrtlecourse.net.connection import Answer, Connection, MalformedAnswer
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.resp import INCOMPLETE, ErrorLine, Reader, RespError, encode_command

MAX_ITEMS = 16  # of an answer's three and of whatever stands in a load report's place
MAX_ANSWER = MAX_BUFFERED_ANSWER + 8192  # the value and what stands round it
LONG_VALUE_HEADER = re.compile(rb"\*3\r\n\$([0-9]{5,9})\r\n")
MAX_VALUE_HEADER = len(b"*3\r\n$999999999\r\n")
EMPTY_VALUE_HEADER = b"*3\r\n$0\r\n"  # with what stands behind a value, an answer that the reader checks
HIT_HEADER = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
HIT_TRAILER = b"\r\n$3\r\nhit\r\n$-1\r\n"
BUSY_LINE = re.compile(r"BUSY(?: [\w.]+=[\w.]+(?:,[\w.]+=[\w.]+)*)?")  # with a load report, perhaps
MISS_ANSWER = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(MAX_ITEMS, MAX_BUFFERED_ANSWER, MAX_ANSWER)
        self.value_left = 0  # bytes of a long value that are still to come
        self.last_byte = b""  # its last byte

    def encode(self, command: Command, time_left: float) -> bytes:
        parts = [command.verb, command.key, command.request_id, command.encode_info(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return encode_command(parts)

    def decode(self, data: bytes) -> Answer | None:
        if self.stream_length:
            return self._decode_long(data)
        if 0 < len(self.reader.buffer) < MAX_VALUE_HEADER:  # the head may come in pieces
            data = bytes(self.reader.buffer) + data
            self.reader.buffer.clear()
        if not self.reader.buffer and (head := LONG_VALUE_HEADER.match(data)) is not None:
            length = int(head[1])
            if MAX_BUFFERED_ANSWER < length <= self.pool.max_streamed:
                self.stream_length = self.value_left = length
                return self._decode_long(data[head.end() :])
        return self._decode_short(data)

    def _decode_long(self, data: bytes) -> Answer | None:
        """A value too long to be gathered: pieces as they come, but its last byte only with what follows.

        Guards the client: a length that does not fit is known before the value looks whole.
        """
        if self.value_left:
            part, data = data[: self.value_left], data[self.value_left :]
            self.value_left -= len(part)
            if self.value_left:
                self.chunks.append(part)  # as it is, without a copy
                return None
            self.chunks.append(part[:-1])
            self.last_byte = part[-1:]
            self.reader.feed(EMPTY_VALUE_HEADER)
        answer = self._decode_short(data)
        if answer is not None:
            if answer[0] is not Status.OK:
                raise MalformedAnswer("not the end of a value")
            self.chunks.append(self.last_byte)
            self.last_byte = b""
        return answer

    def _decode_short(self, data: bytes) -> Answer | None:
        # nearly all answers are one of these, whole; the reader is as strict, and slower
        if not self.reader.buffer and (whole := HIT_HEADER.match(data)) is not None:
            start, end = whole.end(), len(data) - len(HIT_TRAILER)
            if end - start == int(whole[1]) <= MAX_BUFFERED_ANSWER and data.endswith(HIT_TRAILER):
                return Status.OK, data[start:end]
        elif data == MISS_ANSWER and not self.reader.buffer:
            return Status.MISS, b""
        self.reader.feed(data)
        try:
            reply = self.reader.next_message()
        except RespError as e:
            raise MalformedAnswer(str(e)) from e
        # nothing is asked of the third item: a report that can't be read does not spoil the value
        match reply:
            case ErrorLine(text):
                # guards against a second effect: half a line before it, or more behind it, and which of them
                # answers this request can't be told, nor that it never ran
                if BUSY_LINE.fullmatch(text) is not None and not self.reader.buffer:
                    return Status.FULL, b""
                if text.startswith("ERR"):
                    return Status.ERROR, b""
            case [bytes(value), bytes() | None, _]:
                return Status.OK, value
            case [None, bytes() | None, _]:
                return Status.MISS, b""
        if reply is INCOMPLETE:
            return None
        raise MalformedAnswer(f"not an answer: {repr(reply)[:80]}")

    def reusable(self) -> bool:
        return not self.reader.buffer
