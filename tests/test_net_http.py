"""Responses parsed on the fast path are the same as those parsed by h11."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlecourse.net.http import HttpClient, HttpError, Response

FIELDS = [(b"Request-Id", b"r1"), (b"Request-Info", b"c=read,d=500")]
LINES = st.sampled_from(
    [
        b"Content-Length: 5\r\n",
        b"content-length:5\r\n",
        b"Content-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Not-Started: 1\r\n",
        b"X: a b \r\n",
        b"Bad Name: x\r\n",
        b": x\r\n",
        b" folded\r\n",
        b"Server-Load: \x00\r\n",
    ]
)
HEADS = st.sampled_from(
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503 x\r\n", b"HTTP/1.1 204\r\n", b"HTTP/1.0 200 OK\r\n"]
)


def client_with_request() -> HttpClient:
    client = HttpClient("127.0.0.1:1", 100)
    client.request("GET", "/k", FIELDS)
    return client


def receive_with_h11(data: bytes) -> Response | None | str:
    client = client_with_request()
    client._send_to_h11()
    try:
        return client.receive(data)
    except HttpError as e:
        return str(e)


@given(HEADS, st.lists(LINES, max_size=4), st.sampled_from([b"value", b"val", b"value and more", b""]))
def test_the_short_way_agrees_with_the_state_machine(head: bytes, lines: list[bytes], body: bytes) -> None:
    data = head + b"".join(lines) + b"\r\n" + body
    client = client_with_request()
    try:
        response: Response | None | str = client.receive(data)
    except HttpError as e:
        response = str(e)
    expected = receive_with_h11(data)
    if client.plain_response is not None and isinstance(expected, Response):
        assert response == expected
    assert isinstance(response, Response) == isinstance(expected, Response)


@given(st.lists(st.integers(1, 40), max_size=6))
def test_a_response_in_any_pieces_is_the_same(cuts: list[int]) -> None:
    data = b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nvalue"
    client, response = client_with_request(), None
    for cut in [*cuts, len(data)]:
        part, data = data[:cut], data[cut:]
        if part:
            assert response is None
            response = client.receive(part)
    assert response is not None and response.body == b"value"
    assert client.plain_response is not None and client.reusable()


def test_a_long_body_is_handed_out_in_pieces() -> None:
    client = HttpClient("127.0.0.1:1", 10, 20)
    client.request("GET", "/k", FIELDS)
    assert client.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"a" * 12) is None
    assert client.streamed_length == 20 and client.chunks == [b"a" * 12]
    response = client.receive(b"b" * 8)
    assert response is not None and not response.body and client.chunks == [b"a" * 12, b"b" * 8]
    client.request("GET", "/k", FIELDS)
    with pytest.raises(HttpError):
        client.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n")


def test_a_plain_response_is_read_the_short_way_and_the_connection_serves_on() -> None:
    client = client_with_request()
    plain = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue"
    assert client.receive(plain) == Response(200, {b"content-length": b"5"}, b"value")
    assert client.plain_response is not None and client.reusable()
    client.request("PUT", "/k", FIELDS, b"slot")
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n0\r\n\r\n"
    response = client.receive(chunked)
    assert response is not None and response.body == b"va" and client.reusable()


def test_the_request_is_the_same_either_way() -> None:
    client, with_h11 = HttpClient("127.0.0.1:1", 100), HttpClient("127.0.0.1:1", 100)
    fast = client.request("GET", "/k", FIELDS)
    with_h11.request("GET", "/k", FIELDS)
    assert fast == with_h11._send_to_h11()
