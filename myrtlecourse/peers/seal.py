"""Authentication of datagrams between routers, and protection against replays; no I/O.

A datagram carries a seal over its receiver and its body: the first 16 bytes of an HMAC-SHA256 (RFC 2104). Its
number is accepted once, by a sliding window as in IPsec (RFC 4303, 3.4.3). Bodies are MessagePack.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import msgspec

MAX_DATAGRAM = 256  # bytes (PROTOCOL, "Between routers")
SEAL_SIZE = 16  # bytes
MIN_KEY_SIZE = 16  # bytes
REPLAY_WINDOW = 64  # by how much a number may be lower than the highest one received


class Dropped(ValueError):
    """A datagram is not accepted; the message is one of a few fixed reasons, by which drops are counted."""


def ident(name: str, size: int = 4) -> int:
    """Return the number over 0, of `size` bytes, that stands for a name in a datagram."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=size).digest(), "big") or 1


class Seal:
    """Seals and opens datagrams with the key that all routers share."""

    def __init__(self, name: str, key: bytes, accepted_keys: tuple[bytes, ...] = ()) -> None:
        """Use the given keys; `name` is the name under which this process receives datagrams.

        Raises:
            ValueError: a key is too short.
        """
        self.name = name
        self.set_keys(key, accepted_keys)

    def set_keys(self, key: bytes, accepted_keys: tuple[bytes, ...]) -> None:
        """Seal with `key` from now on, and accept what is sealed with it or with one of `accepted_keys`.

        A key is rotated in three steps, each at all routers before the next: the new key is accepted besides
        the old one; it seals while the old one is still accepted; the old one is removed.

        Raises:
            ValueError: a key is too short; nothing has changed then.
        """
        for each in (key, *accepted_keys):
            if len(each) < MIN_KEY_SIZE:
                raise ValueError(f"the key has {len(each)} bytes, at least {MIN_KEY_SIZE} are needed")
        self.key = key
        self.keys = (key, *accepted_keys)

    @staticmethod
    def _mac(key: bytes, to: str, body: bytes) -> bytes:
        return hmac.digest(key, to.encode() + b"\0" + body, "sha256")[:SEAL_SIZE]

    def pack(self, to: str, parts: list[Any]) -> bytes:
        """Return a datagram for `to`."""
        body = msgspec.msgpack.encode(parts)
        return self._mac(self.key, to, body) + body

    def open(self, data: bytes, count: int, version: int) -> list[Any]:
        """Return the `count` parts of a datagram for this process, of which the first is the version.

        Raises:
            Dropped: it is truncated, forged, for another receiver, of another version, or malformed.
        """
        if not SEAL_SIZE < len(data) <= MAX_DATAGRAM:
            raise Dropped("of a length that none has")
        # The seal is checked before the body is parsed, as anybody can send a body without a valid seal.
        seals = [self._mac(key, self.name, data[SEAL_SIZE:]) for key in self.keys]
        if not any(hmac.compare_digest(data[:SEAL_SIZE], seal) for seal in seals):
            raise Dropped("forged or cut")
        try:
            parts = msgspec.msgpack.decode(data[SEAL_SIZE:])
        except msgspec.DecodeError:
            raise Dropped("malformed") from None
        if not isinstance(parts, list) or not parts:
            raise Dropped("malformed")
        if parts[0] != version:
            raise Dropped("of another version")
        if len(parts) != count:
            raise Dropped("malformed")
        return parts


class ReplayWindow:
    """The numbers that were accepted from one sender's process."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0  # bit mask of the REPLAY_WINDOW numbers up to the highest

    def accept(self, number: int) -> None:
        """Accept a number once.

        Raises:
            Dropped: the number was accepted before, or is too old to tell.
        """
        age = self.highest - number
        if age >= REPLAY_WINDOW or number <= 0 or (age >= 0 and self.seen >> age & 1):
            raise Dropped("replayed")
        if age < 0:
            self.seen = (self.seen << min(-age, REPLAY_WINDOW)) & (1 << REPLAY_WINDOW) - 1
            self.highest, age = number, 0
        self.seen |= 1 << age
