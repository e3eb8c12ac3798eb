"""Converts the election's messages to the parts of a datagram and back; no I/O."""

from __future__ import annotations

from dataclasses import astuple, fields
from typing import Any

from myrtlecourse.election import messages
from myrtlecourse.peers.seal import Dropped

MESSAGE_TYPES: dict[str, type[messages.Message]] = {
    "ask": messages.Ask,
    "grant": messages.Grant,
    "deny": messages.Deny,
    "beat": messages.Beat,
    "renew": messages.Renew,
    "release": messages.Release,
    "take": messages.Take,
    "invite": messages.Invite,
}
TYPE_NAMES = {type_: name for name, type_ in MESSAGE_TYPES.items()}


class ElectionCodec:
    """The codec for datagrams between voters, for `peers.wire.Wire`."""

    def parts(self, message: messages.Message) -> list[Any]:
        """Return the name of the message's type and the values of its fields."""
        return [TYPE_NAMES[type(message)], *astuple(message)]

    def read(self, parts: list[Any]) -> messages.Message:
        """Return the message, after a check of its type and fields. Raises Dropped."""
        message_type = MESSAGE_TYPES.get(parts[0]) if isinstance(parts[0], str) else None
        if message_type is None or len(parts) != 1 + len(fields(message_type)):
            raise Dropped("malformed")
        field_types = [bool if f.type == "bool" else int for f in fields(message_type)]
        if any(type(value) is not type_ for value, type_ in zip(parts[1:], field_types, strict=True)):
            raise Dropped("malformed")
        return message_type(*parts[1:])
