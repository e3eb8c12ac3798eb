"""Words of a spread come through a datagram whole, or are dropped."""

from __future__ import annotations

from typing import Any, get_args

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.peers.seal import Dropped
from myrtlecourse.peers.wire import Wire
from myrtlecourse.spread import messages as said
from myrtlecourse.spread.codec import LONGEST_LEASE, MOST_WANTED, SHAPES, SpreadCodec, room
from myrtlecourse.spread.messages import KEY, LARGEST, LONGEST_VALUE, MOST_RANGES, Change, Purge, Word

KEYS = st.binary(min_size=KEY, max_size=KEY)
CHANGES = st.builds(Change, KEYS, st.binary(max_size=LONGEST_VALUE))
ENTRIES = st.lists(st.builds(Purge, KEYS) | CHANGES, max_size=20).map(tuple)
NUMBERS = st.integers(0, LARGEST)
FIRST = st.integers(1, LARGEST)
MEMBERS = st.integers(0, said.MOST_MEMBERS)
ROWS = st.lists(st.tuples(FIRST, CHANGES), max_size=4).map(tuple)
AFTER = KEYS | st.just(b"")
SUMS = st.lists(st.integers(0, 2**32 - 1), min_size=MOST_RANGES, max_size=MOST_RANGES).map(tuple)
WORDS: st.SearchStrategy[Word] = st.one_of(
    st.builds(said.News, NUMBERS, FIRST, ENTRIES),
    st.builds(said.Beat, NUMBERS, NUMBERS, NUMBERS, st.integers(0, LONGEST_LEASE)),
    st.builds(said.Report, NUMBERS, NUMBERS, NUMBERS, NUMBERS, MEMBERS, MEMBERS, st.integers(0, 2**32 - 1)),
    st.builds(said.Leave),
    st.builds(said.Full),
    st.builds(said.Want, FIRST, st.integers(1, MOST_WANTED)),
    st.builds(said.Beyond, FIRST),
    st.builds(said.Digest, FIRST, SUMS),
    st.builds(said.Rows, st.integers(0, MOST_RANGES - 1), ROWS, st.booleans()),
    st.builds(said.Same, FIRST),
    st.builds(said.Survey, NUMBERS, NUMBERS),
    st.builds(said.Written, NUMBERS, FIRST, NUMBERS, ENTRIES, NUMBERS, NUMBERS),
    st.builds(said.Keep, NUMBERS, FIRST, ENTRIES, NUMBERS),
    st.builds(said.Kept, NUMBERS, NUMBERS),
    st.builds(said.Outdated, NUMBERS),
    st.builds(said.Fetch, NUMBERS, AFTER),
    st.builds(said.Table, NUMBERS, NUMBERS, AFTER, ROWS, st.booleans()),
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


def sent(words: tuple[Word, ...]) -> Any:
    """The parts, as they come out of a datagram."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(CODEC.parts(words)))


@given(st.lists(WORDS, max_size=5).map(tuple))
def test_what_is_read_is_what_was_said(words: tuple[Word, ...]) -> None:
    assert CODEC.read(sent(words)) == words
    assert CODEC.size(words) == len(msgspec.msgpack.encode(CODEC.parts(words)))


def test_each_word_has_a_shape() -> None:
    """One without was a crash of the sender, in the hour in which a control machine came back."""
    assert set(SHAPES) == set(get_args(Word))


def is_in_bounds(value: Any) -> bool:
    if isinstance(value, tuple):
        return all(map(is_in_bounds, value))
    if isinstance(value, int):
        return 0 <= value <= LARGEST
    if isinstance(value, Purge):
        return len(value.key) == KEY
    return not isinstance(value, Change) or (len(value.subject) == KEY and len(value.value) <= LONGEST_VALUE)


@given(st.lists(PLAIN, max_size=4))
def test_anything_is_read_or_dropped(parts: list[Any]) -> None:
    try:
        words = CODEC.read(parts)
    except Dropped:
        return
    for word in words:
        assert all(is_in_bounds(getattr(word, f)) for f in word.__dataclass_fields__)


@given(WORDS, st.data())
def test_a_word_with_another_value_is_read_whole_or_dropped(word: Word, data: st.DataObject) -> None:
    """Guards each field: no other type, no more and no fewer of them."""
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
        [3, 0],  # `Leave` has nothing to say
        [5, 0, 1],  # entries begin with 1
        [5, 1, 0],
        [5, 1, MOST_WANTED + 1],
        [5, True, 1],
        [5, 1.0, 1],
        [1, 1, 1, 1, LONGEST_LEASE + 1],
        [1, 1, 1, LARGEST + 1, 1],
        [0, 1, 1, [b"1234567"]],
        [0, 1, 1, [b"123456789"]],
        [0, 1, 1, [b""]],
        [0, 1, 1, [[b"12345678", bytes(LONGEST_VALUE + 1)]]],
        [0, 1, 1, [[b"12345678"]]],
        [0, 1, 1, ["12345678"]],
        [7, 1, bytes(63)],
        [8, MOST_RANGES, [], False],
        [8, 0, [], 0],
        [8, 0, [[0, b"12345678", b""]], False],
    ],
)
def test_what_no_member_says_is_dropped(part: list[Any]) -> None:
    with pytest.raises(Dropped):
        CODEC.read([part])


def test_a_purge_among_others_costs_its_key() -> None:
    twenty, ten = (CODEC.size((said.News(7, 9, (Purge(bytes(8)),) * n),)) for n in (20, 10))
    assert twenty - ten == 10 * KEY


@given(st.integers(1, 64), st.lists(WORDS, min_size=1, max_size=4).map(tuple))
def test_what_fits_the_room_fits_a_datagram(length: int, words: tuple[Word, ...]) -> None:
    name = "n" * length
    wire = Wire(name, (name, "other"), bytes(32), 2**63, CODEC)
    wire.sent_number = 2**60
    assert wire.max_message_size == room(name)
    if CODEC.size(words) <= room(name):
        assert len(wire.pack("other", words)) <= 256
