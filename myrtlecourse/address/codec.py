"""The election's messages as the parts of a datagram; no I/O."""

from __future__ import annotations

from dataclasses import astuple, fields
from typing import Any

from myrtlecourse.election import messages as said
from myrtlecourse.peers.seal import Dropped

KINDS: dict[str, type[said.Message]] = {
    "ask": said.Ask,
    "grant": said.Grant,
    "deny": said.Deny,
    "beat": said.Beat,
    "renew": said.Renew,
    "release": said.Release,
    "take": said.Take,
    "invite": said.Invite,
}
NAMES = {kind: name for name, kind in KINDS.items()}


class ElectionCodec:
    """Of voters."""

    def parts(self, message: said.Message) -> list[Any]:
        """The kind's name and the fields."""
        return [NAMES[type(message)], *astuple(message)]

    def read(self, parts: list[Any]) -> said.Message:
        """The message, checked. Raises Dropped."""
        kind = KINDS.get(parts[0]) if isinstance(parts[0], str) else None
        if kind is None or len(parts) != 1 + len(fields(kind)):
            raise Dropped("malformed")
        wanted = [bool if f.type == "bool" else int for f in fields(kind)]
        if any(type(value) is not want for value, want in zip(parts[1:], wanted, strict=True)):
            raise Dropped("malformed")
        return kind(*parts[1:])
