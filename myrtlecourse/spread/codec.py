"""What members of a spread say as the parts of datagrams; no I/O.

A word is its kind's number and its fields. Runs of purges are one string of bytes, KEY a purge: a number and
a head for each would double what a purge costs.
"""

from __future__ import annotations

from itertools import groupby
from typing import Annotated, Any, ClassVar

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.peers.seal import MAX_DATAGRAM, SEAL_SIZE, Dropped
from myrtlecourse.peers.wire import HEADER_SIZE
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.messages import KEY, LARGEST, LONGEST_VALUE, MOST_RANGES, Change, Entry, Purge, Word

LONGEST_LEASE = 1_000_000  # milliseconds that a parent may grant
MOST_WANTED = 4_096  # entries that one `Want` may ask for
SUM = 4  # bytes of a digest's sum

Number = Annotated[int, Meta(ge=0, le=LARGEST)]
First = Annotated[int, Meta(ge=1, le=LARGEST)]
Members = Annotated[int, Meta(ge=0, le=said.MOST_MEMBERS + said.MOST_CONTROL)]
Key = Annotated[bytes, Meta(min_length=KEY, max_length=KEY)]
After = Annotated[bytes, Meta(max_length=KEY)]  # a subject, or none
Value = Annotated[bytes, Meta(max_length=LONGEST_VALUE)]
Keys = Annotated[bytes, Meta(min_length=KEY, max_length=MAX_DATAGRAM)]  # of a run of purges


class _Change(Struct, array_like=True, forbid_unknown_fields=True):
    """In a datagram. A class, as msgspec 0.23 crashes the process over `bytes | tuple[bytes, bytes]` with
    lengths checked."""

    subject: Key
    value: Value


class _Row(Struct, array_like=True, forbid_unknown_fields=True):
    number: First
    subject: Key
    value: Value


Entries = Annotated[tuple[Keys | _Change, ...], Meta(max_length=MAX_DATAGRAM)]


class Shape(Struct, array_like=True, forbid_unknown_fields=True):
    """A word in a datagram: its fields, in their order in `messages`."""

    word: ClassVar[Any]


class _News(Shape, tag=0):
    word = said.News
    epoch: Number
    first: First
    entries: Entries


class _Beat(Shape, tag=1):
    word = said.Beat
    epoch: Number
    last: Number
    echo: Number
    good_for: Annotated[int, Meta(ge=0, le=LONGEST_LEASE)]


class _Report(Shape, tag=2):
    word = said.Report
    stamp: Number
    epoch: Number
    have: Number
    done: Number
    below: Members
    away: Members
    behind: Annotated[int, Meta(ge=0, lt=2**32)]


class _Leave(Shape, tag=3):
    word = said.Leave


class _Full(Shape, tag=4):
    word = said.Full


class _Want(Shape, tag=5):
    word = said.Want
    first: First
    count: Annotated[int, Meta(ge=1, le=MOST_WANTED)]


class _Beyond(Shape, tag=6):
    word = said.Beyond
    oldest: First


class _Digest(Shape, tag=7):
    word = said.Digest
    upto: First
    sums: Annotated[bytes, Meta(min_length=SUM * MOST_RANGES, max_length=SUM * MOST_RANGES)]


class _Rows(Shape, tag=8):
    word = said.Rows
    range: Annotated[int, Meta(ge=0, lt=MOST_RANGES)]
    rows: Annotated[tuple[_Row, ...], Meta(max_length=MAX_DATAGRAM)]
    more: bool


class _Same(Shape, tag=9):
    word = said.Same
    upto: First


class _Survey(Shape, tag=10):
    word = said.Survey
    epoch: Number
    after: Number


class _Written(Shape, tag=11):
    word = said.Written
    epoch: Number
    first: First
    under: Number
    entries: Entries
    last: Number
    settled: Number


class _Keep(Shape, tag=12):
    word = said.Keep
    epoch: Number
    first: First
    entries: Entries
    settled: Number


class _Kept(Shape, tag=13):
    word = said.Kept
    epoch: Number
    last: Number


class _Outdated(Shape, tag=14):
    word = said.Outdated
    epoch: Number


class _Fetch(Shape, tag=15):
    word = said.Fetch
    epoch: Number
    after: After


class _Table(Shape, tag=16):
    word = said.Table
    epoch: Number
    upto: Number
    after: After
    rows: Annotated[tuple[_Row, ...], Meta(max_length=MAX_DATAGRAM)]
    more: bool


# their numbers are what datagrams carry: new ones come last
Shapes = (
    _News
    | _Beat
    | _Report
    | _Leave
    | _Full
    | _Want
    | _Beyond
    | _Digest
    | _Rows
    | _Same
    | _Survey
    | _Written
    | _Keep
    | _Kept
    | _Outdated
    | _Fetch
    | _Table
)
SHAPES: dict[type[Any], type[Shape]] = {s.word: s for s in Shapes.__args__}
NUMBERS = {word: shape.__struct_config__.tag for word, shape in SHAPES.items()}
FIELDS = {word: shape.__struct_fields__ for word, shape in SHAPES.items()}


def room(name: str) -> int:
    """Bytes that the parts of a datagram of this sender may take, as `Wire.room` has it."""
    return MAX_DATAGRAM - SEAL_SIZE - HEADER_SIZE - len(name.encode())


def packed(entries: tuple[Entry, ...]) -> list[Any]:
    """Entries as parts: each run of purges as one string of bytes, each change as subject and value."""
    parts: list[Any] = []
    for kind, run in groupby(entries, type):
        if kind is Purge:
            parts.append(b"".join(e.key for e in run if isinstance(e, Purge)))
        else:
            parts += [(e.subject, e.value) for e in run if isinstance(e, Change)]
    return parts


def unpacked(parts: tuple[bytes | _Change, ...]) -> tuple[Entry, ...]:
    """The entries. Raises Dropped."""
    entries: list[Entry] = []
    for part in parts:
        if isinstance(part, _Change):
            entries.append(Change(part.subject, part.value))
        elif len(part) % KEY:
            raise Dropped("malformed")
        else:
            entries += [Purge(part[i : i + KEY]) for i in range(0, len(part), KEY)]
    return tuple(entries)


class SpreadCodec:
    """Of members and control machines."""

    def parts(self, message: tuple[Word, ...]) -> list[Any]:
        """What a datagram carries."""
        return [self._part(word) for word in message]

    def size(self, words: tuple[Word, ...]) -> int:
        """Bytes that the words take in a datagram, against `room`."""
        return len(msgspec.msgpack.encode(self.parts(words)))

    @staticmethod
    def _part(word: Word) -> list[Any]:
        kind = type(word)
        part = [NUMBERS[kind], *(getattr(word, f) for f in FIELDS[kind])]
        if isinstance(word, said.News | said.Keep | said.Written):
            part[FIELDS[kind].index("entries") + 1] = packed(word.entries)
        elif isinstance(word, said.Digest):
            part[2] = b"".join(s.to_bytes(SUM, "big") for s in word.sums)
        elif isinstance(word, said.Rows | said.Table):
            part[FIELDS[kind].index("rows") + 1] = [(number, c.subject, c.value) for number, c in word.rows]
        return part

    def read(self, parts: list[Any]) -> tuple[Word, ...]:
        """The words, checked. Raises Dropped."""
        try:
            shapes = msgspec.convert(parts, tuple[Shapes, ...], builtin_types=(bytes,))
        except (msgspec.ValidationError, OverflowError):
            raise Dropped("malformed") from None
        return tuple(self._word(shape) for shape in shapes)

    @staticmethod
    def _word(shape: Any) -> Word:
        values = {f: getattr(shape, f) for f in shape.__struct_fields__}
        if "entries" in values:
            values["entries"] = unpacked(values["entries"])
        elif isinstance(shape, _Fetch | _Table) and len(shape.after) not in (0, KEY):
            raise Dropped("malformed")
        elif isinstance(shape, _Digest):
            sums = shape.sums
            values["sums"] = tuple(int.from_bytes(sums[i : i + SUM], "big") for i in range(0, len(sums), SUM))
        elif isinstance(shape, _Rows | _Table):
            values["rows"] = tuple((row.number, Change(row.subject, row.value)) for row in shape.rows)
        word: Word = shape.word(**values)
        return word
