"""Converts the election's messages to the parts of a datagram and back; no I/O."""

from __future__ import annotations

from typing import Any

from myrtlecourse.election import messages, schema
from myrtlecourse.peers.message_schema import MessageSchema
from myrtlecourse.peers.seal import Dropped

# the names stand in datagrams
SCHEMAS: dict[str, MessageSchema[Any]] = {
    "ask": schema.ASK,
    "grant": schema.GRANT,
    "deny": schema.DENY,
    "beat": schema.BEAT,
    "renew": schema.RENEW,
    "release": schema.RELEASE,
    "take": schema.TAKE,
    "invite": schema.INVITE,
}
TYPE_NAMES = {each.message_type: name for name, each in SCHEMAS.items()}


class ElectionCodec:
    """The codec for datagrams between voters, for `peers.wire.Wire`."""

    def parts(self, message: messages.Message) -> list[Any]:
        """Return the name of the message's type and the values of its fields."""
        name = TYPE_NAMES[type(message)]
        return [name, *SCHEMAS[name].values(message)]

    def read(self, parts: list[Any]) -> messages.Message:
        """Return the message, after a check of its type and fields. Raises Dropped."""
        message_schema = SCHEMAS.get(parts[0]) if isinstance(parts[0], str) else None
        if message_schema is None:
            raise Dropped("malformed")
        message: messages.Message = message_schema.read(parts[1:])
        return message
