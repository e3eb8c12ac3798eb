"""Encoding of members' messages as the parts of datagrams; no I/O.

A datagram holds as many messages as fit. Heartbeats of the same moment, and their answers, share a number and
are encoded together, so that one more duty adds a few bytes and no datagram.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from myrtlecourse.duties import messages
from myrtlecourse.duties.messages import Item, Message
from myrtlecourse.election import messages as election
from myrtlecourse.election import schema
from myrtlecourse.peers.message_schema import MessageSchema, Number, read_values
from myrtlecourse.peers.seal import Dropped

StateNumber = Annotated[int, Meta(ge=0, lt=messages.STATE_NUMBER_LIMIT)]
State = Annotated[tuple[StateNumber, ...], Meta(max_length=messages.MAX_STATE_LENGTH)]
# datagrams carry the index of a schema, so new ones must be added at the end
SCHEMAS: tuple[MessageSchema[Any], ...] = (
    *(schema.BEAT, schema.RENEW, schema.ASK, schema.GRANT, schema.DENY),
    *(schema.RELEASE, schema.TAKE, schema.INVITE),
    MessageSchema(messages.Survey, tuple[Number]),
    MessageSchema(messages.Known, tuple[Number, Number, Number, bool, Number, State]),
    MessageSchema(messages.Order, tuple[Number, Number, Number, Number, State]),
    MessageSchema(messages.Taken, tuple[Number, Number, bool, Number]),
    MessageSchema(messages.Outdated, tuple[Number]),
)
KINDS: tuple[type[Message], ...] = tuple(each.message_type for each in SCHEMAS)
KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
GROUPED = (election.Beat, election.Renew)  # encoded as their number, followed by each duty with its term


def encoded_groups(items: tuple[Item, ...]) -> Iterator[tuple[list[Any], int]]:
    """Yield the encoded messages, each with the count of its items; messages that share a number are one."""
    grouped: dict[tuple[int, int], list[Any]] = {}
    for duty, message in items:
        kind = KIND_NUMBERS[type(message)]
        if isinstance(message, GROUPED):
            grouped.setdefault((kind, message.number), [kind, message.number]).extend((duty, message.term))
    yield from ((encoded, (len(encoded) - 2) // 2) for encoded in grouped.values())
    for duty, message in items:
        if not isinstance(message, GROUPED):
            kind = KIND_NUMBERS[type(message)]
            yield [kind, duty, *SCHEMAS[kind].values(message)], 1


def split(items: tuple[Item, ...], max_size: int) -> Iterator[tuple[Item, ...]]:
    """Split items into datagrams whose encoded messages take at most `max_size` bytes each."""
    codec, remaining = DutyCodec(), list(items)
    while remaining:
        count = len(remaining)
        while count > 1 and len(msgspec.msgpack.encode(codec.parts(tuple(remaining[:count])))) > max_size:
            count -= max(1, count // 4)
        yield tuple(remaining[:count])
        del remaining[:count]


class DutyCodec:
    """Encodes and decodes the messages of members."""

    def parts(self, message: tuple[Item, ...]) -> list[Any]:
        """Return the parts of a datagram."""
        return [encoded for encoded, _ in encoded_groups(message)]

    def read(self, parts: list[Any]) -> tuple[Item, ...]:
        """Return the messages after checking them. Raises Dropped."""
        items: list[Item] = []
        for encoded in parts:
            if not isinstance(encoded, list) or len(encoded) < 2 or type(encoded[0]) is not int:
                raise Dropped("malformed")
            if not 0 <= encoded[0] < len(KINDS):
                raise Dropped("malformed")
            items += self._read(SCHEMAS[encoded[0]], encoded[1:])
        return tuple(items)

    @staticmethod
    def _read(message_schema: MessageSchema[Any], values: list[Any]) -> list[Item]:
        """Return the items of one encoded message after checking them. Raises Dropped."""
        kind = message_schema.message_type
        if kind in GROUPED:
            number, *pairs = read_values(values, tuple[Number, ...])
            if len(pairs) % 2:
                raise Dropped("malformed")
            return [(duty, kind(term, number)) for duty, term in zip(pairs[::2], pairs[1::2], strict=True)]
        (duty,) = read_values(values[:1], tuple[Number])
        return [(duty, message_schema.read(values[1:]))]
