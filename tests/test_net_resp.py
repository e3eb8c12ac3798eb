"""The RESP reader returns complete messages however they are split, and buffers nothing beyond its limits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.resp import (
    INCOMPLETE,
    MAX_SHORT_BULK,
    ErrorLine,
    Reader,
    RespError,
    encode_command,
    split_command,
)

MESSAGES = [
    (b"*3\r\n$5\r\nva\r\nl\r\n$3\r\nhit\r\n$-1\r\n", [b"va\r\nl", b"hit", None]),
    (b"*3\r\n$0\r\n\r\n$-1\r\n*2\r\n:-7\r\n+x\r\n", [b"", None, [-7, "x"]]),
    (b"-BUSY 12\r\n", ErrorLine("BUSY 12")),
    (b"*0\r\n", []),
    (b"*-1\r\n", None),
]


def reader() -> Reader:
    return Reader(max_items=4, max_bulk=100, max_message=250)


@pytest.mark.parametrize("step", [1, 2, 3, 1000])
def test_messages_are_read_however_they_come(step: int) -> None:
    stream, read = b"".join(m[0] for m in MESSAGES), []
    got = reader()
    for start in range(0, len(stream), step):
        got.feed(stream[start : start + step])
        while (message := got.next_message()) is not INCOMPLETE:
            read.append(message)
    assert read == [m[1] for m in MESSAGES] and not got.buffer


def test_what_is_packed_is_read() -> None:
    got = reader()
    got.feed(encode_command([b"C.GET", b"", b"\r\n"]))
    assert got.next_message() == [b"C.GET", b"", b"\r\n"]


@pytest.mark.parametrize(
    "data",
    [
        b"$101\r\n",
        b"$3000000000\r\n",
        b"$99999999999\r\n",
        b"*5\r\n",
        b"*100000000\r\n",
        b"*3\r\n$90\r\n" + b"x" * 90 + b"\r\n$90\r\n" + b"x" * 90 + b"\r\n$90\r\n",
        b"$-2\r\n",
        b"$+1\r\n",
        b"$1_0\r\n",
        b"$\r\n",
        b":1.5\r\n",
        b"$3\r\nvalu",  # longer than announced
        b"$3\r\nval\n",
        b"$5\r\nval\r\n$-1\r\n",  # shorter than announced
        b"*1\r\n" * 6,
        b"-" + b"x" * 1026,
        b"$" + b"1" * 22,
        b"+a\nb\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"\x00",
        b"(12\r\n",
    ],
)
def test_what_is_malformed_or_too_large_is_refused_at_once(data: bytes) -> None:
    """Waiting for the rest would hold memory, or the request until its deadline."""
    got = reader()
    got.feed(data)
    with pytest.raises(RespError):
        got.next_message()


@given(
    st.one_of(
        st.lists(st.binary(max_size=12), max_size=9).map(encode_command),
        st.lists(
            st.sampled_from(
                [b"*4\r\n", b"*1\r\n", b"$1\r\n", b"$4\r\nPING\r\n", b"a", b"\r\n", b"\n", b"$-1"]
            )
        ).map(b"".join),
    )
)
def test_the_short_way_reads_what_the_reader_reads_or_nothing(data: bytes) -> None:
    parts = split_command(data)
    if parts is not None:
        whole = Reader(max_items=16, max_bulk=100, max_message=2000)
        whole.feed(data)
        assert whole.next_message() == parts and not whole.buffer


def test_the_short_way_knows_usual_commands() -> None:
    assert split_command(encode_command([b"C.GET", b"k", b"r1", b"c=read"])) == [
        b"C.GET",
        b"k",
        b"r1",
        b"c=read",
    ]
    assert split_command(encode_command([b"PING"])) == [b"PING"]
    assert split_command(encode_command([b"PING"]) * 2) is None  # two commands are left to the reader


def limited_reader() -> Reader:
    return Reader(max_items=4, max_bulk=2 * MAX_SHORT_BULK, max_message=10**6, long_item=1)


# Guards against memory for strings that no valid command has: only a value may be long (incident 78).
@pytest.mark.parametrize("header", [b"*2\r\n$%d\r\n", b"*2\r\n$1\r\nx\r\n*1\r\n$%d\r\n"])
def test_only_the_long_item_may_be_long(header: bytes) -> None:
    got = limited_reader()
    got.feed(header % (MAX_SHORT_BULK + 1))
    with pytest.raises(RespError):
        got.next_message()


def test_the_long_item_may_be_long() -> None:
    got, value = limited_reader(), bytes(2 * MAX_SHORT_BULK)
    got.feed(encode_command([b"x", value]))
    assert got.next_message() == [b"x", value]
