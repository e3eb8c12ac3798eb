"""A client's command: its parts, their validation, and the form in which it is forwarded."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from myrtlecourse.net.client_memory import CommandMemory

MAX_VALUE = 4 * 1024 * 1024  # bytes of a value that a client sends
MAX_BUFFERED_ANSWER = 64 * 1024  # bytes of an answer that is buffered whole; longer ones are streamed
MAX_KEY = 1024
MAX_INFO = 1024
MAX_DEADLINE_MS = 600_000
VISIBLE_ASCII = re.compile(rb"[!-~]+")
# Paths of the origin itself, and dot segments, which URL parsers remove: as keys, these would become requests
# for something else.
RESERVED_KEYS = (b".", b"..", b"stats", b"health/live")


class CommandError(ValueError):
    """A command that can't be accepted; the message is sent to the client."""


class Command:
    """A read or write as a client sent it.

    The names and values are kept as text: of a thousand bytes, a dictionary would take thirty times as many.
    """

    __slots__ = ("deadline_ms", "info_text", "key", "memory", "request_id", "value", "verb")

    def __init__(
        self,
        verb: bytes,
        key: bytes,
        request_id: bytes,
        info: dict[str, str] | bytes,
        deadline_ms: int,
        value: bytes | None = None,
    ) -> None:
        self.verb = verb
        self.key = key
        self.request_id = request_id
        self.info_text = info if isinstance(info, bytes) else encode_info(info)
        self.deadline_ms = deadline_ms
        self.value = value
        self.memory: CommandMemory | None = None  # what it takes of the memory that clients may use

    @property
    def is_write(self) -> bool:
        return self.value is not None

    @property
    def info(self) -> dict[str, str]:
        """The names and values, as a new dictionary."""
        pairs = (pair.partition("=") for pair in self.info_text.decode().split(","))
        return {name: value for name, _, value in pairs}

    def size(self) -> int:
        """Return the bytes of the parts."""
        return len(self.key) + len(self.request_id) + len(self.info_text) + len(self.value or b"")

    def release_memory(self) -> None:
        """Free the memory that the command takes, as it is not forwarded any more."""
        if self.memory is not None:
            self.memory.release()

    def encode_info(self, time_left: float) -> bytes:
        """Encode the names and values in their order; `d` becomes the milliseconds the router will wait."""
        return encode_info(self.info | {"d": str(max(1, int(time_left * 1000)))})


def encode_info(info: dict[str, str]) -> bytes:
    """Encode names and values in the form of a command."""
    return ",".join(f"{name}={value}" for name, value in info.items()).encode()


def read_info(text: bytes) -> dict[str, str]:
    """Parse the names and values that follow the request id.

    Raises:
        CommandError: the names and values are malformed.
    """
    # A line break would be forwarded to the origin as another header or request.
    if len(text) > MAX_INFO or not VISIBLE_ASCII.fullmatch(text):
        raise CommandError("names and values must be visible ASCII, 1024 bytes at most")
    info: dict[str, str] = {}
    for pair in text.decode().split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in info:
            raise CommandError(f"not a new name with its value: {pair[:40]}")
        info[name] = value
    return info


def read_command(parts: object) -> Command:
    """Validate the parts of a read or write.

    Raises:
        CommandError: the command can't be accepted.
    """
    if not isinstance(parts, list) or not parts:
        raise CommandError("a command is an array of bulk strings")
    for part in parts:
        if not isinstance(part, bytes):
            raise CommandError("a command is an array of bulk strings")
    verb = parts[0].upper()
    if verb not in (b"C.GET", b"C.SET"):
        raise CommandError(f"unknown command {parts[0][:20]!r}")
    if len(parts) != (4 if verb == b"C.GET" else 5):
        raise CommandError(f"wrong number of arguments for {verb.decode()}")
    key, request_id = parts[1], parts[2]
    if not 0 < len(key) <= MAX_KEY or key in RESERVED_KEYS:
        raise CommandError("key is empty, too long or reserved")
    if len(request_id) > 64 or not VISIBLE_ASCII.fullmatch(request_id):
        raise CommandError("request id must be visible ASCII, 64 bytes at most")
    info = read_info(parts[3])
    deadline = info.get("d", "")
    # The limit bounds how long a request is kept: with distant deadlines, memory would fill with requests
    # that were answered long ago.
    if not deadline.isdigit() or len(deadline) > 9 or int(deadline) > MAX_DEADLINE_MS:
        raise CommandError("d must be a whole number of milliseconds, 600000 at most")
    value = parts[4] if verb == b"C.SET" else None
    if value is not None and len(value) > MAX_VALUE:
        raise CommandError("value is longer than 4194304 bytes")
    return Command(parts[0], key, request_id, parts[3], int(deadline), value)
