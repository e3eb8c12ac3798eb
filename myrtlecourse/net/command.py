"""A client's command: its parts, what is checked of them, and the form in which it goes on."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_VALUE = 4 * 1024 * 1024  # bytes that a client may send
MAX_BUFFERED_ANSWER = (
    64 * 1024
)  # bytes of an answer that is held until it is whole; a longer one passes through
MAX_KEY = 1024
MAX_INFO = 1024
MAX_DEADLINE_MS = 600_000
VISIBLE_ASCII = re.compile(rb"[!-~]+")
# the origin's own paths, and those that a path's readers resolve away: as keys they would be other requests
RESERVED_KEYS = (b".", b"..", b"stats", b"health/live")


class CommandError(ValueError):
    """A command that can't be taken; the message goes to the client."""


@dataclass(slots=True, init=False)
class Command:
    """One read or write, as a client sent it."""

    verb: bytes
    key: bytes
    request_id: bytes
    info: dict[str, str]
    deadline_ms: int
    value: bytes | None

    def __init__(
        self,
        verb: bytes,
        key: bytes,
        request: bytes,
        info: dict[str, str],
        deadline_ms: int,
        value: bytes | None = None,
    ) -> None:
        self.verb = verb
        self.key = key
        self.request_id = request
        self.info = info
        self.deadline_ms = deadline_ms
        self.value = value

    @property
    def is_write(self) -> bool:
        return self.value is not None

    def encode_info(self, time_left: float) -> bytes:
        """The names and values in their order, with `d` telling how long the router will wait."""
        told = self.info | {"d": str(max(1, int(time_left * 1000)))}
        return ",".join(f"{name}={value}" for name, value in told.items()).encode()


def read_info(text: bytes) -> dict[str, str]:
    """The list of names and values after the request's id."""
    # guards the origin: a line break in here would go on as a header or a request of its own
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
    """Check the parts of a read or write."""
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
    key, request = parts[1], parts[2]
    if not 0 < len(key) <= MAX_KEY or key in RESERVED_KEYS:
        raise CommandError("key is empty, too long or reserved")
    if len(request) > 64 or not VISIBLE_ASCII.fullmatch(request):
        raise CommandError("request id must be visible ASCII, 64 bytes at most")
    info = read_info(parts[3])
    deadline = info.get("d", "")
    # bounds how long a request is remembered: without it memory would fill with requests long answered
    if not deadline.isdigit() or len(deadline) > 9 or int(deadline) > MAX_DEADLINE_MS:
        raise CommandError("d must be a whole number of milliseconds, 600000 at most")
    value = parts[4] if verb == b"C.SET" else None
    if value is not None and len(value) > MAX_VALUE:
        raise CommandError("value is longer than 4194304 bytes")
    return Command(parts[0], key, request, info, int(deadline), value)
