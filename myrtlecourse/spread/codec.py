"""Encodes and decodes the messages between members as parts of datagrams; no I/O.

A message is the number of its kind followed by its fields. Consecutive purges are one byte string of
KEY_BYTES per purge, because a number and a header for each would double the size of a purge.
"""

from __future__ import annotations

from itertools import groupby
from typing import Annotated, Any, ClassVar

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.peers.message_schema import read_values
from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE, Dropped
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.messages import (
    DIGEST_RANGES,
    KEY_BYTES,
    MAX_NUMBER,
    MAX_VALUE_BYTES,
    Change,
    Entry,
    Message,
    Purge,
)

MAX_LEASE_MS = 1_000_000  # milliseconds that a parent may grant
MAX_REQUESTED_ENTRIES = 4_096  # entries that one `RetransmitRequest` may ask for
CHECKSUM_BYTES = 4  # bytes of a digest's checksum

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
First = Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
Members = Annotated[int, Meta(ge=0, le=msg.MAX_MEMBERS + msg.MAX_CONTROL_NODES)]
Key = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
SubjectOrNone = Annotated[bytes, Meta(max_length=KEY_BYTES)]  # a subject, or empty
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
Keys = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=MAX_DATAGRAM)]  # of consecutive purges


class _Change(Struct, array_like=True, forbid_unknown_fields=True):
    """A change in a datagram. It is a class because msgspec 0.23 crashes the process when it decodes a union
    of bytes and a tuple of bytes with length constraints."""

    subject: Key
    value: Value


class _Row(Struct, array_like=True, forbid_unknown_fields=True):
    number: First
    subject: Key
    value: Value


Entries = Annotated[tuple[Keys | _Change, ...], Meta(max_length=MAX_DATAGRAM)]


class WireMessage(Struct, array_like=True, forbid_unknown_fields=True):
    """A message in a datagram: its fields in the order that they have in `messages`."""

    message_type: ClassVar[Any]


class _EntryBatch(WireMessage, tag=0):
    message_type = msg.EntryBatch
    epoch: Number
    first: First
    entries: Entries


class _Heartbeat(WireMessage, tag=1):
    message_type = msg.Heartbeat
    epoch: Number
    last: Number
    echo: Number
    good_for: Annotated[int, Meta(ge=0, le=MAX_LEASE_MS)]


class _Report(WireMessage, tag=2):
    message_type = msg.Report
    stamp: Number
    epoch: Number
    have: Number
    done: Number
    below: Members
    away: Members
    behind: Annotated[int, Meta(ge=0, lt=2**32)]


class _Leave(WireMessage, tag=3):
    message_type = msg.Leave


class _NoCapacity(WireMessage, tag=4):
    message_type = msg.NoCapacity


class _RetransmitRequest(WireMessage, tag=5):
    message_type = msg.RetransmitRequest
    first: First
    count: Annotated[int, Meta(ge=1, le=MAX_REQUESTED_ENTRIES)]


class _EntriesDropped(WireMessage, tag=6):
    message_type = msg.EntriesDropped
    oldest: First


class _TableDigest(WireMessage, tag=7):
    message_type = msg.TableDigest
    upto: First
    sums: Annotated[
        bytes, Meta(min_length=CHECKSUM_BYTES * DIGEST_RANGES, max_length=CHECKSUM_BYTES * DIGEST_RANGES)
    ]


class _TableRows(WireMessage, tag=8):
    message_type = msg.TableRows
    range: Annotated[int, Meta(ge=0, lt=DIGEST_RANGES)]
    rows: Annotated[tuple[_Row, ...], Meta(max_length=MAX_DATAGRAM)]
    more: bool


class _TableInSync(WireMessage, tag=9):
    message_type = msg.TableInSync
    upto: First


class _Prepare(WireMessage, tag=10):
    message_type = msg.Prepare
    epoch: Number
    after: Number


class _PrepareReply(WireMessage, tag=11):
    message_type = msg.PrepareReply
    epoch: Number
    first: First
    under: Number
    entries: Entries
    last: Number
    settled: Number


class _Append(WireMessage, tag=12):
    message_type = msg.Append
    epoch: Number
    first: First
    entries: Entries
    settled: Number


class _AppendReply(WireMessage, tag=13):
    message_type = msg.AppendReply
    epoch: Number
    last: Number


class _StaleEpoch(WireMessage, tag=14):
    message_type = msg.StaleEpoch
    epoch: Number


class _SnapshotRequest(WireMessage, tag=15):
    message_type = msg.SnapshotRequest
    epoch: Number
    after: SubjectOrNone


class _SnapshotRows(WireMessage, tag=16):
    message_type = msg.SnapshotRows
    epoch: Number
    upto: Number
    after: SubjectOrNone
    rows: Annotated[tuple[_Row, ...], Meta(max_length=MAX_DATAGRAM)]
    more: bool


# The tags are part of the wire format: new messages are added at the end.
WireMessages = (
    _EntryBatch
    | _Heartbeat
    | _Report
    | _Leave
    | _NoCapacity
    | _RetransmitRequest
    | _EntriesDropped
    | _TableDigest
    | _TableRows
    | _TableInSync
    | _Prepare
    | _PrepareReply
    | _Append
    | _AppendReply
    | _StaleEpoch
    | _SnapshotRequest
    | _SnapshotRows
)
WIRE_TYPES: dict[type[Any], type[WireMessage]] = {s.message_type: s for s in WireMessages.__args__}
TAGS = {message: shape.__struct_config__.tag for message, shape in WIRE_TYPES.items()}
WIRE_FIELDS = {message: shape.__struct_fields__ for message, shape in WIRE_TYPES.items()}


def max_payload(name: str) -> int:
    """Return how many bytes the parts of a datagram from this sender may take; equals
    `Wire.max_message_size`."""
    return MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - len(name.encode())


def encode_entries(entries: tuple[Entry, ...]) -> list[Any]:
    """Encode entries as parts: consecutive purges as one byte string, each change as subject and value."""
    parts: list[Any] = []
    for kind, run in groupby(entries, type):
        if kind is Purge:
            parts.append(b"".join(e.key for e in run if isinstance(e, Purge)))
        else:
            parts += [(e.subject, e.value) for e in run if isinstance(e, Change)]
    return parts


def decode_entries(parts: tuple[bytes | _Change, ...]) -> tuple[Entry, ...]:
    """Decode entries. Raises Dropped when they are malformed."""
    entries: list[Entry] = []
    for part in parts:
        if isinstance(part, _Change):
            entries.append(Change(part.subject, part.value))
        elif len(part) % KEY_BYTES:
            raise Dropped("malformed")
        else:
            entries += [Purge(part[i : i + KEY_BYTES]) for i in range(0, len(part), KEY_BYTES)]
    return tuple(entries)


class SpreadCodec:
    """Encodes and decodes the messages of tree nodes and control nodes."""

    def parts(self, messages: tuple[Message, ...]) -> list[Any]:
        """Return the parts that a datagram carries."""
        return [self._part(message) for message in messages]

    def size(self, messages: tuple[Message, ...]) -> int:
        """Return how many bytes the messages take in a datagram, to compare with `max_payload`."""
        return len(msgspec.msgpack.encode(self.parts(messages)))

    @staticmethod
    def _part(message: Message) -> list[Any]:
        kind = type(message)
        part = [TAGS[kind], *(getattr(message, f) for f in WIRE_FIELDS[kind])]
        if isinstance(message, msg.EntryBatch | msg.Append | msg.PrepareReply):
            part[WIRE_FIELDS[kind].index("entries") + 1] = encode_entries(message.entries)
        elif isinstance(message, msg.TableDigest):
            part[2] = b"".join(s.to_bytes(CHECKSUM_BYTES, "big") for s in message.sums)
        elif isinstance(message, msg.TableRows | msg.SnapshotRows):
            part[WIRE_FIELDS[kind].index("rows") + 1] = [
                (number, c.subject, c.value) for number, c in message.rows
            ]
        return part

    def read(self, parts: list[Any]) -> tuple[Message, ...]:
        """Decode and validate messages. Raises Dropped when they are malformed."""
        decoded = read_values(parts, tuple[WireMessages, ...])
        return tuple(self._message(each) for each in decoded)

    @staticmethod
    def _message(decoded: Any) -> Message:
        values = {f: getattr(decoded, f) for f in decoded.__struct_fields__}
        if "entries" in values:
            values["entries"] = decode_entries(values["entries"])
        elif isinstance(decoded, _SnapshotRequest | _SnapshotRows) and len(decoded.after) not in (
            0,
            KEY_BYTES,
        ):
            raise Dropped("malformed")
        elif isinstance(decoded, _TableDigest):
            sums = decoded.sums
            values["sums"] = tuple(
                int.from_bytes(sums[i : i + CHECKSUM_BYTES], "big")
                for i in range(0, len(sums), CHECKSUM_BYTES)
            )
        elif isinstance(decoded, _TableRows | _SnapshotRows):
            values["rows"] = tuple((row.number, Change(row.subject, row.value)) for row in decoded.rows)
        message: Message = decoded.message_type(**values)
        return message
