"""RESP2 without I/O: an encoder, and a strict parser with limits.

A message that is too long is rejected as soon as its header has arrived.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

MAX_LINE = 1024  # bytes of an error line or simple string
MAX_NUMBER = 20  # bytes of a number or length
MAX_DEPTH = 4  # levels of nested arrays
MAX_SHORT_BULK = 4096  # bytes of a bulk string where only one item of a message may be long
MAX_FAST_PATH_PARTS = 8  # parts of a command that is parsed on the fast path
INTEGER = re.compile(rb"-?[0-9]{1,19}")
LENGTH = re.compile(rb"-1|[0-9]{1,10}")


class RespError(ValueError):
    """Bytes that are not RESP2, or exceed a limit; the beginning of the next message is unknown."""


class Sentinel(Enum):
    INCOMPLETE = auto()


INCOMPLETE: Final = Sentinel.INCOMPLETE  # the next message has not arrived completely


@dataclass(slots=True, frozen=True)
class ErrorLine:
    """An error reply, which begins with `-`."""

    text: str


Message = None | int | str | bytes | ErrorLine | list["Message"]


def encode_command(parts: Sequence[bytes]) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"".join([b"*%d\r\n" % len(parts), *(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)])


def split_command(data: bytes) -> list[bytes] | None:
    """Return the parts of `data` if it is one complete array of bulk strings without line ends, else None.

    Nearly all commands are such arrays. Any other data may still be valid and is left to a `Reader`, which is
    slower.
    """
    lines = data.split(b"\r\n", 2 * MAX_FAST_PATH_PARTS + 2)
    count = len(lines)
    if count < 4 or count % 2 or lines[-1] or lines[0] != b"*%d" % (count // 2 - 1):
        return None
    for i in range(1, count - 1, 2):
        if lines[i] != b"$%d" % len(lines[i + 1]):
            return None
    return lines[2::2]


class Reader:
    """Parses bytes into messages as they arrive; bulk strings become bytes, simple strings become text."""

    def __init__(self, max_items: int, max_bulk: int, max_message: int, long_item: int | None = None) -> None:
        """Create a parser.

        Args:
            max_items: items of an array.
            max_bulk: bytes of a bulk string.
            max_message: bytes of a message.
            long_item: the only item of a message whose bulk string may exceed `MAX_SHORT_BULK`; None for any.
        """
        self.max_items = max_items
        self.max_bulk = max_bulk
        self.max_message = max_message
        self.long_item = long_item
        self.buffer = bytearray()
        self.announced_size = 0  # the least size in bytes of the incomplete message

    def feed(self, data: bytes | memoryview) -> None:
        self.buffer += data

    def next_message(self) -> Message | Literal[Sentinel.INCOMPLETE]:
        """Return the next complete message, or INCOMPLETE.

        An incomplete message is parsed from its start each time, as nearly all messages arrive at once.

        Raises:
            RespError: the bytes are not RESP2 or exceed a limit.
        """
        if not self.buffer:
            return INCOMPLETE
        try:
            message, end = self._read(0, 0, self.max_bulk)
        except IndexError:
            return INCOMPLETE
        self.announced_size = 0
        del self.buffer[:end]
        return message

    def _line(self, start: int, max_length: int) -> tuple[bytes, int]:
        """Return the line at an offset, and the offset after it; raise IndexError if it is incomplete."""
        end = self.buffer.find(b"\r\n", start, start + max_length + 2)
        if end < 0:
            if len(self.buffer) - start > max_length + 1:
                raise RespError("line is too long")
            raise IndexError
        return bytes(self.buffer[start:end]), end + 2

    def _number(self, pattern: re.Pattern[bytes], start: int) -> tuple[int, int]:
        line, end = self._line(start, MAX_NUMBER)
        if not pattern.fullmatch(line):
            raise RespError("number can't be read")
        return int(line), end

    def _read(self, start: int, depth: int, max_bulk: int) -> tuple[Message, int]:
        """Return the message at an offset, and the offset after it; raise IndexError if it is incomplete."""
        kind = self.buffer[start]
        start += 1
        if kind == 0x24:  # $
            return self._bulk(start, max_bulk)
        if kind == 0x2A:  # *
            return self._array(start, depth)
        if kind == 0x3A:  # :
            return self._number(INTEGER, start)
        if kind not in b"+-":
            raise RespError("not RESP")
        line, end = self._line(start, MAX_LINE)
        if b"\n" in line or b"\r" in line:
            raise RespError("line end within a line")
        text = line.decode("latin-1")
        return (ErrorLine(text) if kind == 0x2D else text), end

    def _bulk(self, start: int, max_bulk: int) -> tuple[bytes | None, int]:
        length, start = self._number(LENGTH, start)
        if length < 0:
            return None, start
        end = start + length
        # A string announced as too long is rejected before it arrives, which bounds memory.
        if length > max_bulk or end > self.max_message:
            raise RespError("string is too long")
        self.announced_size = end + 2
        terminator = self.buffer[end : end + 2]
        # With a wrong length, the value would be a different one, and the bytes after it would be no message.
        if terminator != b"\r\n"[: len(terminator)]:
            raise RespError("length does not fit")
        if len(terminator) < 2:
            raise IndexError
        with memoryview(self.buffer) as view:
            return bytes(view[start:end]), end + 2

    def _array(self, start: int, depth: int) -> tuple[list[Message] | None, int]:
        count, start = self._number(LENGTH, start)
        if count < 0:
            return None, start
        # The limits bound memory and stack depth for arrays that are announced but never arrive.
        if count > self.max_items or depth >= MAX_DEPTH:
            raise RespError("array is too long or too deep")
        items: list[Message] = []
        for index in range(count):
            may_be_long = self.long_item is None or (depth == 0 and index == self.long_item)
            max_bulk = self.max_bulk if may_be_long else MAX_SHORT_BULK
            item, start = self._read(start, depth + 1, max_bulk)
            items.append(item)
        return items, start
