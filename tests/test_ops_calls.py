"""Tests of the parser of operators' calls and of the encoded responses."""

from __future__ import annotations

from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.ops.calls import MAX_BODY, MAX_HEAD, MAX_NAME, Call, Exchange, Kind, Response


def sent(method: str, path: str, *headers: str) -> bytes:
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: r", *headers, "", ""]).encode()


@pytest.mark.parametrize(
    ("data", "call"),
    [
        (sent("GET", "/control/ready"), Call(Kind.READY)),
        (sent("PUT", "/control/out-of-service"), Call(Kind.OUT_OF_SERVICE)),
        (sent("PUT", "/control/in-service", "Content-Length: 0"), Call(Kind.IN_SERVICE)),
        (sent("PUT", "/control/cache-servers/s-1/offline"), Call(Kind.OFFLINE, "s-1")),
        (sent("PUT", "/control/cache-servers/s%2F1%20%C3%A9/online"), Call(Kind.ONLINE, "s/1 é")),
        (sent("PUT", "/control/cache-servers/s-1/online?now"), Call(Kind.ONLINE, "s-1")),
        (sent("PUT", "/control/in-service", "Content-Length: 2") + b"{}", Call(Kind.IN_SERVICE)),
        (sent("GET", "/control/fleet"), Call(Kind.FLEET)),
        (sent("PUT", "/control/zones/a%20b/out?seconds=30"), Call(Kind.ZONE_OUT, "a b", 30.0)),
        (sent("PUT", "/control/zones/a/in"), Call(Kind.ZONE_IN, "a")),
        (sent("PUT", "/control/zones/a/hold?seconds=5"), Call(Kind.ZONE_HOLD, "a", 5.0)),
    ],
)
def test_a_call_is_known_whole_and_cut_anywhere(data: bytes, call: Call) -> None:
    assert Exchange().receive(data) == call
    for cut in range(1, len(data)):
        exchange = Exchange()
        first = exchange.receive(data[:cut])
        assert first is None and exchange.receive(data[cut:]) == call


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (sent("GET", "/"), 404),
        (sent("GET", "/control/counters"), 404),
        (sent("PUT", "/control/cache-servers/s-1"), 404),
        (sent("PUT", "/control/cache-servers/a/b/offline"), 404),
        (sent("PUT", "/control/cache-servers//offline"), 400),
        (sent("PUT", "/control/cache-servers/%FF/offline"), 400),
        (sent("PUT", f"/control/cache-servers/{'x' * (MAX_NAME + 1)}/offline"), 400),
        (sent("PUT", "/control/zones/a"), 404),
        (sent("PUT", "/control/zones/a/out?seconds=0"), 400),
        (sent("PUT", "/control/zones/a/out?seconds=1e9"), 400),
        (sent("PUT", "/control/zones/a/in?for=5"), 400),
        (sent("GET", "/control/zones/a/out"), 405),
        (sent("POST", "/control/ready"), 405),
        (sent("GET", "/control/cache-servers/s-1/offline"), 405),
        (sent("GET", "/control/ready", "X: " + "x" * (MAX_HEAD + MAX_BODY)), 431),
        (sent("GET", "/control/ready", "no header"), 400),
        (b"\x16\x03\x01\x00", 400),
        (b"PING\r\n\r\n", 400),
        (b"x" * (MAX_HEAD + 1), 400),
        (sent("PUT", "/control/in-service", "Content-Length: 5000") + b"x" * 5000, 413),
    ],
)
def test_what_is_no_call_is_answered_no(data: bytes, status: int) -> None:
    exchange = Exchange()
    response = exchange.receive(data)
    assert isinstance(response, Response) and response.status == status
    assert exchange.encode(response).startswith(b"HTTP/1.1 %d " % status)


def test_a_caller_that_waits_for_a_word_before_its_body_gets_the_answer() -> None:
    exchange = Exchange()
    call = exchange.receive(sent("PUT", "/control/in-service", "Content-Length: 2", "Expect: 100-continue"))
    assert call == Call(Kind.IN_SERVICE)
    assert exchange.encode(Response(HTTPStatus.OK, "done")).startswith(b"HTTP/1.1 200 OK\r\n")


def test_a_wrong_method_is_told_the_right_one() -> None:
    exchange = Exchange()
    response = exchange.receive(sent("GET", "/control/in-service"))
    assert isinstance(response, Response) and b"Allow: PUT" in exchange.encode(response)


@given(st.lists(st.binary(min_size=1, max_size=200), max_size=5))
def test_no_bytes_raise(pieces: list[bytes]) -> None:
    exchange = Exchange()
    for piece in pieces:
        if (response := exchange.receive(piece)) is not None:
            if isinstance(response, Response):
                exchange.encode(response)
            break
