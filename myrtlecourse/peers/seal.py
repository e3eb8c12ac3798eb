"""What makes a datagram one of ours: a seal over receiver and body, and numbers that are taken once; no I/O.

The seal is the first 16 bytes of an HMAC-SHA256 (RFC 2104); numbers are remembered in a window as IPsec's are
(RFC 4303, 3.4.3). Bodies are MessagePack.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import msgspec

MAX_DATAGRAM = 256  # bytes of a datagram (PROTOCOL, "Between routers")
SEAL_SIZE = 16  # bytes
MIN_KEY_SIZE = 16  # bytes
REPLAY_WINDOW = 64  # numbers that may be passed by later ones


class Dropped(ValueError):
    """A datagram that is not taken; the message is one of a few words, to be counted by."""


def ident(name: str, size: int = 4) -> int:
    """What a name is in a datagram: a number of so many bytes, over 0."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=size).digest(), "big") or 1


class Seal:
    """Seals and opens datagrams with the key that all have in common."""

    def __init__(self, name: str, key: bytes, accepted_keys: tuple[bytes, ...] = ()) -> None:
        """`name` is the receiver's own. Raises ValueError when a key is too short."""
        self.name = name
        self.set_keys(key, accepted_keys)

    def set_keys(self, key: bytes, accepted_keys: tuple[bytes, ...]) -> None:
        """Seal with a key from now on, and take what is sealed with it or with one of the others.

        A new key goes round in three steps, each at all routers before the next: taken as well, sealed with
        while the old one is taken as well, alone. Raises ValueError when one is too short.
        """
        for each in (key, *accepted_keys):
            if len(each) < MIN_KEY_SIZE:
                raise ValueError(f"the key has {len(each)} bytes, {MIN_KEY_SIZE} are the least")
        self.key = key
        self.keys = (key, *accepted_keys)

    @staticmethod
    def _mac(key: bytes, to: str, body: bytes) -> bytes:
        return hmac.digest(key, to.encode() + b"\0" + body, "sha256")[:SEAL_SIZE]

    def pack(self, to: str, parts: list[Any]) -> bytes:
        """A datagram for `to`."""
        body = msgspec.msgpack.encode(parts)
        return self._mac(self.key, to, body) + body

    def open(self, data: bytes, count: int, version: int) -> list[Any]:
        """The parts of a datagram for this process: `count` of them, the first of them the version.

        Raises:
            Dropped: it is cut, forged, for another, of another version or malformed.
        """
        if not SEAL_SIZE < len(data) <= MAX_DATAGRAM:
            raise Dropped("of a length that none has")
        # before anything of it is read: what is not sealed with the key was made by anybody
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
    """The numbers of one sender's process that have been taken."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0  # the WINDOW numbers up to that, as bits

    def accept(self, number: int) -> None:
        """Guards what is said against repeats. Raises Dropped."""
        age = self.highest - number
        if age >= REPLAY_WINDOW or number <= 0 or (age >= 0 and self.seen >> age & 1):
            raise Dropped("replayed")
        if age < 0:
            self.seen = (self.seen << min(-age, REPLAY_WINDOW)) & (1 << REPLAY_WINDOW) - 1
            self.highest, age = number, 0
        self.seen |= 1 << age
