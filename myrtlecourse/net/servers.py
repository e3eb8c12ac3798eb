"""Connections to cache servers, which speak RESP2."""

from __future__ import annotations

import re
from typing import ClassVar

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_BUFFERED_ANSWER, Command
from myrtlecourse.net.connection import Answer, Connection, MalformedAnswer
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.resp import INCOMPLETE, ErrorLine, Reader, RespError, encode_command

MAX_ITEMS = 16  # items of an answer, which has three, or of an array in place of its load report
MAX_ANSWER = MAX_BUFFERED_ANSWER + 8192  # the value and the rest of the answer
LONG_VALUE_HEADER = re.compile(rb"\*3\r\n\$([0-9]{5,9})\r\n")
MAX_VALUE_HEADER = len(b"*3\r\n$999999999\r\n")
EMPTY_VALUE_HEADER = b"*3\r\n$0\r\n"  # with the bytes after a streamed value it forms an answer to be checked
HIT_HEADER = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
HIT_TRAILER = b"\r\n$3\r\nhit\r\n$-1\r\n"
BUSY_LINE = re.compile(r"BUSY(?: [\w.]+=[\w.]+(?:,[\w.]+=[\w.]+)*)?")  # with an optional load report
MISS_ANSWER = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


class CacheConnection(Connection):
    """A connection to a cache server."""

    # Cache servers take many connections, so that others can carry requests meanwhile.
    usual_reuse_delay: ClassVar[float] = 0.025

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(MAX_ITEMS, MAX_BUFFERED_ANSWER, MAX_ANSWER)
        self.value_remaining = 0  # bytes of a long value that have not arrived yet
        self.last_byte = b""  # the last byte of the long value

    def encode(self, command: Command, time_left: float) -> bytes:
        parts = [command.verb, command.key, command.request_id, command.encode_info(time_left)]
        if command.value is not None:
            parts.append(command.value)
        return encode_command(parts)

    def decode(self, data: bytes) -> Answer | None:
        if self.stream_length:
            return self._decode_long(data)
        if 0 < len(self.reader.buffer) < MAX_VALUE_HEADER:  # the header may arrive in parts
            data = bytes(self.reader.buffer) + data
            self.reader.buffer.clear()
        if not self.reader.buffer and (header := LONG_VALUE_HEADER.match(data)) is not None:
            length = int(header[1])
            if MAX_BUFFERED_ANSWER < length <= self.pool.max_streamed:
                self.stream_length = self.value_remaining = length
                return self._decode_long(data[header.end() :])
        return self._decode_short(data)

    def _decode_long(self, data: bytes) -> Answer | None:
        """Decode a value too long to be buffered into chunks, but hold its last byte until the answer ends.

        A wrong length is thereby found before the value looks complete to the client.
        """
        if self.value_remaining:
            part, data = data[: self.value_remaining], data[self.value_remaining :]
            self.value_remaining -= len(part)
            if self.value_remaining:
                self.chunks.append(part)  # passed on without a copy
                return None
            self.chunks.append(part[:-1])
            self.last_byte = part[-1:]
            self.reader.feed(EMPTY_VALUE_HEADER)
        answer = self._decode_short(data)
        if answer is not None:
            if answer[0] is not Status.OK:
                raise MalformedAnswer("the end of a streamed value is malformed")
            self.chunks.append(self.last_byte)
            self.last_byte = b""
        return answer

    def _decode_short(self, data: bytes) -> Answer | None:
        # Nearly all answers are one of these two and arrive whole; the reader below is as strict but slower.
        if not self.reader.buffer and (hit := HIT_HEADER.match(data)) is not None:
            start, end = hit.end(), len(data) - len(HIT_TRAILER)
            if end - start == int(hit[1]) <= MAX_BUFFERED_ANSWER and data.endswith(HIT_TRAILER):
                return Status.OK, data[start:end]
        elif data == MISS_ANSWER and not self.reader.buffer:
            return Status.MISS, b""
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except RespError as e:
            raise MalformedAnswer(str(e)) from e
        # The third item is not checked: a malformed load report does not invalidate the value.
        match message:
            case ErrorLine(text):
                # With bytes before or after the line, it is unclear which of them answer this request, and so
                # whether it was executed. It must not be reported as not executed then, or a repeat could
                # execute it twice.
                if BUSY_LINE.fullmatch(text) is not None and not self.reader.buffer:
                    return Status.FULL, b""
                if text.startswith("ERR"):
                    return Status.ERROR, b""
            case [bytes(value), bytes() | None, _]:
                return Status.OK, value
            case [None, bytes() | None, _]:
                return Status.MISS, b""
        if message is INCOMPLETE:
            return None
        raise MalformedAnswer(f"not a valid answer: {repr(message)[:80]}")

    def incomplete_size(self) -> int:
        return max(self.reader.announced_size, len(self.reader.buffer))

    def reusable(self) -> bool:
        return not self.reader.buffer
