"""RESP2 as bytes in and out: a strict reader that refuses at the header what it would not hold."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

MAX_LINE = 1024  # bytes, of error lines and simple strings
MAX_NUMBER = 20  # bytes of a number or length
MAX_DEPTH = 4
MAX_FAST_PATH_PARTS = 8  # parts of a command that is read the short way
INTEGER = re.compile(rb"-?[0-9]{1,19}")
LENGTH = re.compile(rb"-1|[0-9]{1,10}")


class RespError(ValueError):
    """Bytes that are no RESP2, or announce more than is held: where the next message begins is lost."""


class Sentinel(Enum):
    INCOMPLETE = auto()


INCOMPLETE: Final = Sentinel.INCOMPLETE  # the next message is not whole


@dataclass(slots=True, frozen=True)
class ErrorLine:
    """A reply that begins with `-`."""

    text: str


Message = None | int | str | bytes | ErrorLine | list["Message"]


def encode_command(parts: Sequence[bytes]) -> bytes:
    """A command: an array of bulk strings."""
    return b"".join([b"*%d\r\n" % len(parts), *(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)])


def split_command(data: bytes) -> list[bytes] | None:
    """The parts of `data` if it is one whole array of bulk strings with no line end in any, else None.

    Nearly all commands are. What this does not know is not wrong: it is for a `Reader`, which is slower.
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
    """Takes bytes as they come and gives whole messages: bulk strings as bytes, simple ones as text."""

    def __init__(self, max_items: int, max_bulk: int, max_message: int) -> None:
        self.max_items = max_items
        self.max_bulk = max_bulk
        self.max_message = max_message
        self.buffer = bytearray()
        self.announced_size = 0  # bytes that a message which is not whole has at least

    def feed(self, data: bytes | memoryview) -> None:
        self.buffer += data

    def next_message(self) -> Message | Literal[Sentinel.INCOMPLETE]:
        """The next whole message; it is read from its start each time, as nearly all come in one piece."""
        if not self.buffer:
            return INCOMPLETE
        try:
            message, end = self._read(0, 0)
        except IndexError:
            return INCOMPLETE
        self.announced_size = 0
        del self.buffer[:end]
        return message

    def _line(self, start: int, longest: int) -> tuple[bytes, int]:
        """The line that begins there, and where the next thing does."""
        end = self.buffer.find(b"\r\n", start, start + longest + 2)
        if end < 0:
            if len(self.buffer) - start > longest + 1:
                raise RespError("line is too long")
            raise IndexError
        return bytes(self.buffer[start:end]), end + 2

    def _number(self, form: re.Pattern[bytes], start: int) -> tuple[int, int]:
        line, end = self._line(start, MAX_NUMBER)
        if not form.fullmatch(line):
            raise RespError("number can't be read")
        return int(line), end

    def _read(self, start: int, depth: int) -> tuple[Message, int]:
        """The message that begins there and its end; an IndexError if it is not whole."""
        kind = self.buffer[start]
        start += 1
        if kind == 0x24:  # $
            return self._bulk(start)
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

    def _bulk(self, start: int) -> tuple[bytes | None, int]:
        length, start = self._number(LENGTH, start)
        if length < 0:
            return None, start
        end = start + length
        # guards memory: what is said to be too long is refused before it comes, whether it comes or not
        if length > self.max_bulk or end > self.max_message:
            raise RespError("string is too long")
        self.announced_size = end + 2
        tail = self.buffer[end : end + 2]
        # guards against a length that does not fit: the value would be another, and what follows it noise
        if tail != b"\r\n"[: len(tail)]:
            raise RespError("length does not fit")
        if len(tail) < 2:
            raise IndexError
        return bytes(self.buffer[start:end]), end + 2

    def _array(self, start: int, depth: int) -> tuple[list[Message] | None, int]:
        count, start = self._number(LENGTH, start)
        if count < 0:
            return None, start
        # guards memory and stack against arrays that are announced and never come
        if count > self.max_items or depth >= MAX_DEPTH:
            raise RespError("array is too long or too deep")
        items: list[Message] = []
        for _ in range(count):
            item, start = self._read(start, depth + 1)
            items.append(item)
        return items, start
