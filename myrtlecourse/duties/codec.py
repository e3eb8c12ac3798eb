"""Encoding of members' messages as the parts of datagrams; no I/O.

A datagram holds as many messages as fit. Heartbeats of the same moment, and their answers, share a number and
are encoded together, so that one more duty adds a few bytes and no datagram.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import astuple, fields
from typing import Any

import msgspec

from myrtlecourse.duties import messages
from myrtlecourse.duties.messages import Item, Message
from myrtlecourse.election import messages as election
from myrtlecourse.peers.seal import Dropped

# datagrams carry the index of a kind, so new kinds must be added at the end
KINDS: tuple[type[Message], ...] = (
    *(election.Beat, election.Renew, election.Ask, election.Grant, election.Deny),
    *(election.Release, election.Take, election.Invite),
    *(messages.Survey, messages.Known, messages.Order, messages.Taken, messages.Outdated),
)
KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
GROUPED = (election.Beat, election.Renew)  # encoded as their number, followed by each duty with its term
INTEGER_LIMIT = 2**63


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
            yield [KIND_NUMBERS[type(message)], duty, *astuple(message)], 1


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
            items += self._read(KINDS[encoded[0]], encoded[1:])
        return tuple(items)

    def _read(self, kind: type[Message], values: list[Any]) -> list[Item]:
        """Return the items of one encoded message after checking them. Raises Dropped."""
        if issubclass(kind, GROUPED):
            if len(values) % 2 == 0 or any(type(v) is not int or not 0 <= v < INTEGER_LIMIT for v in values):
                raise Dropped("malformed")
            each = zip(values[1::2], values[2::2], strict=True)
            return [(duty, kind(term, values[0])) for duty, term in each]
        kind_fields = fields(kind)
        if len(values) != 1 + len(kind_fields) or type(values[0]) is not int:
            raise Dropped("malformed")
        checked = [self._value(f.type, value) for f, value in zip(kind_fields, values[1:], strict=True)]
        return [(values[0], kind(*checked))]

    @staticmethod
    def _value(wanted: Any, value: Any) -> Any:
        """Return the value of a field after checking it. Raises Dropped."""
        if wanted == "Value":
            if not isinstance(value, list) or len(value) > messages.MAX_STATE_LENGTH:
                raise Dropped("malformed")
            if any(type(v) is not int or not 0 <= v < messages.STATE_NUMBER_LIMIT for v in value):
                raise Dropped("malformed")
            return tuple(value)
        kind = bool if wanted == "bool" else int
        if type(value) is not kind or not 0 <= value < INTEGER_LIMIT:
            raise Dropped("malformed")
        return value
