"""Messages of the spread survive encoding and decoding, or are dropped."""

from __future__ import annotations

from typing import Any, get_args

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.peers.seal import Dropped
from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.codec import (
    MAX_LEASE_MS,
    MAX_REQUESTED_ENTRIES,
    WIRE_TYPES,
    SpreadCodec,
    max_payload,
)
from myrtlecourse.spread.messages import (
    DIGEST_RANGES,
    KEY_BYTES,
    MAX_NUMBER,
    MAX_VALUE_BYTES,
    Change,
    Message,
    Purge,
)

KEYS = st.binary(min_size=KEY_BYTES, max_size=KEY_BYTES)
CHANGES = st.builds(Change, KEYS, st.binary(max_size=MAX_VALUE_BYTES))
ENTRIES = st.lists(st.builds(Purge, KEYS) | CHANGES, max_size=20).map(tuple)
NUMBERS = st.integers(0, MAX_NUMBER)
FIRST = st.integers(1, MAX_NUMBER)
MEMBERS = st.integers(0, msg.MAX_MEMBERS)
ROWS = st.lists(st.tuples(FIRST, CHANGES), max_size=4).map(tuple)
AFTER = KEYS | st.just(b"")
SUMS = st.lists(st.integers(0, 2**32 - 1), min_size=DIGEST_RANGES, max_size=DIGEST_RANGES).map(tuple)
WORDS: st.SearchStrategy[Message] = st.one_of(
    st.builds(msg.EntryBatch, NUMBERS, FIRST, ENTRIES),
    st.builds(msg.Heartbeat, NUMBERS, NUMBERS, NUMBERS, st.integers(0, MAX_LEASE_MS)),
    st.builds(msg.Report, NUMBERS, NUMBERS, NUMBERS, NUMBERS, MEMBERS, MEMBERS, st.integers(0, 2**32 - 1)),
    st.builds(msg.Leave),
    st.builds(msg.NoCapacity),
    st.builds(msg.RetransmitRequest, FIRST, st.integers(1, MAX_REQUESTED_ENTRIES)),
    st.builds(msg.EntriesDropped, FIRST),
    st.builds(msg.TableDigest, FIRST, SUMS),
    st.builds(msg.TableRows, st.integers(0, DIGEST_RANGES - 1), ROWS, st.booleans()),
    st.builds(msg.TableInSync, FIRST),
    st.builds(msg.Prepare, NUMBERS, NUMBERS),
    st.builds(msg.PrepareReply, NUMBERS, FIRST, NUMBERS, ENTRIES, NUMBERS, NUMBERS),
    st.builds(msg.Append, NUMBERS, FIRST, ENTRIES, NUMBERS),
    st.builds(msg.AppendReply, NUMBERS, NUMBERS),
    st.builds(msg.StaleEpoch, NUMBERS),
    st.builds(msg.SnapshotRequest, NUMBERS, AFTER),
    st.builds(msg.SnapshotRows, NUMBERS, NUMBERS, AFTER, ROWS, st.booleans()),
)
PLAIN: st.SearchStrategy[Any] = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.binary(max_size=20)
    | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=9) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=30,
)
CODEC = SpreadCodec()


def sent(words: tuple[Message, ...]) -> Any:
    """Return the parts as they are decoded from a datagram."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(CODEC.parts(words)))


@given(st.lists(WORDS, max_size=5).map(tuple))
def test_what_is_read_is_what_was_said(words: tuple[Message, ...]) -> None:
    assert CODEC.read(sent(words)) == words
    assert CODEC.size(words) == len(msgspec.msgpack.encode(CODEC.parts(words)))


def test_each_word_has_a_shape() -> None:
    """A message without a wire type would crash its sender. This happened when a control node came back."""
    assert set(WIRE_TYPES) == set(get_args(Message))


def is_in_bounds(value: Any) -> bool:
    if isinstance(value, tuple):
        return all(map(is_in_bounds, value))
    if isinstance(value, int):
        return 0 <= value <= MAX_NUMBER
    if isinstance(value, Purge):
        return len(value.key) == KEY_BYTES
    return not isinstance(value, Change) or (
        len(value.subject) == KEY_BYTES and len(value.value) <= MAX_VALUE_BYTES
    )


@given(st.lists(PLAIN, max_size=4))
def test_anything_is_read_or_dropped(parts: list[Any]) -> None:
    try:
        words = CODEC.read(parts)
    except Dropped:
        return
    for word in words:
        assert all(is_in_bounds(getattr(word, f)) for f in word.__dataclass_fields__)


@given(WORDS, st.data())
def test_a_word_with_another_value_is_read_whole_or_dropped(word: Message, data: st.DataObject) -> None:
    """Covers each field: no other type and no other number of fields is accepted."""
    part = sent((word,))[0]
    place = data.draw(st.integers(0, len(part)))
    changed = [*part[:place], data.draw(PLAIN), *part[place + data.draw(st.integers(0, 1)) :]]
    try:
        (read,) = CODEC.read([changed])
    except Dropped:
        return
    assert sent((read,)) == [changed]


@pytest.mark.parametrize(
    "part",
    [
        [],
        [99],
        [-1],
        [3, 0],  # `Leave` has no fields
        [5, 0, 1],  # entries are numbered from 1
        [5, 1, 0],
        [5, 1, MAX_REQUESTED_ENTRIES + 1],
        [5, True, 1],
        [5, 1.0, 1],
        [1, 1, 1, 1, MAX_LEASE_MS + 1],
        [1, 1, 1, MAX_NUMBER + 1, 1],
        [0, 1, 1, [b"1234567"]],
        [0, 1, 1, [b"123456789"]],
        [0, 1, 1, [b""]],
        [0, 1, 1, [[b"12345678", bytes(MAX_VALUE_BYTES + 1)]]],
        [0, 1, 1, [[b"12345678"]]],
        [0, 1, 1, ["12345678"]],
        [7, 1, bytes(63)],
        [8, DIGEST_RANGES, [], False],
        [8, 0, [], 0],
        [8, 0, [[0, b"12345678", b""]], False],
    ],
)
def test_what_no_member_says_is_dropped(part: list[Any]) -> None:
    with pytest.raises(Dropped):
        CODEC.read([part])


def test_a_purge_among_others_costs_its_key() -> None:
    twenty, ten = (CODEC.size((msg.EntryBatch(7, 9, (Purge(bytes(8)),) * n),)) for n in (20, 10))
    assert twenty - ten == 10 * KEY_BYTES


@given(st.integers(1, 64), st.lists(WORDS, min_size=1, max_size=4).map(tuple))
def test_what_fits_the_room_fits_a_datagram(length: int, words: tuple[Message, ...]) -> None:
    name = "n" * length
    wire = Wire(name, (name, "other"), bytes(32), 2**63, CODEC)
    wire.sent_number = 2**60
    assert wire.max_message_size == max_payload(name)
    if CODEC.size(words) <= max_payload(name):
        assert len(wire.pack("other", words)) <= 256
