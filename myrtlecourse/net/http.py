"""The client side of HTTP/1.1 without I/O, for one request and its response at a time.

Plain responses are parsed by a regular expression; any other goes through the h11 state machine.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

MAX_HEAD = 16 * 1024  # bytes
# matches plain responses, which are parsed without h11, as that took as long as three requests otherwise do
RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.1 ([1-5][0-9]{2})(?: [ -~]*)?\r\n((?:[!#-'*+.0-9A-Z^-z|~-]+:[\t -~]*\r\n)*)\r\n"
)
HEADER_VALUE = re.compile(rb"[!-~]+(?: [!-~]+)*")
FRAMING_HEADERS = (b"transfer-encoding", b"connection", b"upgrade")
KEEP_ALIVE = (b"connection", b"keep-alive")
# The fields that are kept until the body has come: a head may have thousands, on each connection.
KEPT_HEADERS = frozenset({b"content-length", b"not-started"})
BODILESS_STATUSES = (204, 304)
LOAD_REPORT = re.compile(rb"\r\nserver-load:.*?(?=\r\n)", re.IGNORECASE | re.DOTALL)


class HttpError(Exception):
    """A response that violates the protocol, is too long, or ends early."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response; of its headers only `KEPT_HEADERS`, with names in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """The client side of one connection.

    A body announced as longer than `max_body` bytes is not buffered: up to `max_streamed` bytes it is
    appended to `chunks` as it arrives, and the response has an empty body. A longer one is rejected when its
    head arrives.
    """

    def __init__(self, address: str, max_body: int, max_streamed: int = 0) -> None:
        self.address = address
        self.max_body = max_body
        self.max_streamed = max_streamed
        self.connection = h11.Connection(h11.CLIENT)
        # the request, until it is passed to h11, which is not necessary if the response is plain
        self.sent_request: tuple[str, str, list[tuple[bytes, bytes]], bytes | None] | None = None
        self.plain_response: Response | None = None  # the head of a response that is parsed without h11
        self.body_remaining = 0  # bytes of its body that have not arrived yet
        self.has_extra_bytes = False  # whether bytes follow the body
        self.head_buffer = bytearray()  # an incomplete head
        self.head_expected = True
        self.head: Response | None = None  # of a response that h11 parses
        self.body = bytearray()
        self.streamed_length = 0  # length of a body that is appended to `chunks`, or 0
        self.chunks: list[bytes] = []

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """Begin a request and return its bytes."""
        self.plain_response = self.head = None
        self.head_expected = True
        self.has_extra_bytes = False
        self.head_buffer.clear()
        self.body.clear()
        self.streamed_length = 0
        self.chunks.clear()
        fields = [(b"Host", self.address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        self.sent_request = (method, target, fields, body)
        if not all(HEADER_VALUE.fullmatch(value) for _, value in fields):
            return self._send_to_h11()
        head = [f"{method} {target} HTTP/1.1\r\n".encode()]
        head += [b"%b: %b\r\n" % field for field in fields]
        return b"".join([*head, b"\r\n", body or b""])

    def _send_to_h11(self) -> bytes:
        """Pass the request to h11 and return its bytes."""
        if self.sent_request is None:
            return b""
        (method, target, fields, body), self.sent_request = self.sent_request, None
        if self.connection.our_state is not h11.IDLE:
            self.connection = h11.Connection(h11.CLIENT)
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return b"".join(self.connection.send(e) or b"" for e in events)

    def _parse_plain_head(self, data: bytes) -> tuple[Response, int, int] | None:
        """Parse a complete plain head; return it, the length of its body and its offset, else None."""
        if (match := RESPONSE_HEAD.match(data)) is None:
            return None
        headers: dict[bytes, bytes] = {}
        names: set[bytes] = set()
        for line in match[2].split(b"\r\n")[:-1]:
            name, _, value = line.partition(b":")
            name, value = name.lower(), value.strip()
            if name in names or (name in FRAMING_HEADERS and (name, value.lower()) != KEEP_ALIVE):
                return None
            names.add(name)
            if name in KEPT_HEADERS:
                headers[name] = value
        length = headers.get(b"content-length", b"")
        if (
            not length.isdigit()
            or len(length) > 9
            or (status := int(match[1])) < 200
            or status in BODILESS_STATUSES
        ):
            return None
        return Response(status, headers, b""), int(length), match.end()

    def _without_load_report(self, data: bytes) -> bytes:
        """Return complete heads without their load reports, followed by the bytes after them.

        The load report is not used, and a malformed one would invalidate a good answer.
        """
        if not self.head_expected:
            return data
        self.head_buffer += data
        output = b""
        while self.head_expected and (end := self.head_buffer.find(b"\r\n\r\n") + 4) > 3:
            output += LOAD_REPORT.sub(b"", bytes(self.head_buffer[:end]))
            # another head follows one such as 100 Continue
            self.head_expected = self.head_buffer[9:10] == b"1"
            del self.head_buffer[:end]
        if not self.head_expected:
            output += bytes(self.head_buffer)
        elif len(self.head_buffer) > MAX_HEAD or not b"HTTP/".startswith(self.head_buffer[:5]):
            raise HttpError(f"not a response head: {bytes(self.head_buffer[:40])!r}")
        return output

    def receive(self, data: bytes) -> Response | None:
        """Receive bytes, none at the end of the connection; return the response once it is complete.

        Raises:
            HttpError: the response violates the protocol, is too long, or ends early.
        """
        if self.plain_response is not None:
            return self._receive_plain_body(data)
        if self.sent_request is None:
            return self._receive_with_h11(data)
        self.head_buffer += data
        if data and b"\r\n\r\n" not in self.head_buffer and len(self.head_buffer) <= MAX_HEAD:
            if not b"HTTP/1.1 "[: len(self.head_buffer)] == self.head_buffer[:9]:
                raise HttpError(f"not a response head: {bytes(self.head_buffer[:40])!r}")
            return None
        data = bytes(self.head_buffer)
        self.head_buffer.clear()
        if (parsed := self._parse_plain_head(data)) is None:
            self._send_to_h11()
            return self._receive_with_h11(data)
        self.sent_request = None
        self.plain_response, self.body_remaining, start = parsed
        self._begin_body(self.plain_response.status, self.body_remaining)
        return self._receive_plain_body(data[start:])

    def _receive_plain_body(self, data: bytes) -> Response | None:
        assert self.plain_response is not None
        if not data and self.body_remaining:
            if self.head_expected:  # the head arrived without any of the body
                self.head_expected = False
                return None
            raise HttpError("connection ended within the body")
        self.head_expected = False
        self.has_extra_bytes = len(data) > self.body_remaining
        body_part = data[: self.body_remaining]
        self.body_remaining -= len(body_part)
        self._add_body(body_part)
        if self.body_remaining:
            return None
        return Response(self.plain_response.status, self.plain_response.headers, bytes(self.body))

    def _begin_body(self, status: int, length: int) -> None:
        if length <= self.max_body:
            return
        # A body announced as too long is rejected before it arrives, which bounds memory.
        if status != 200 or length > self.max_streamed:
            raise HttpError(f"body of {length} bytes is too long")
        self.streamed_length = length

    def _add_body(self, data: bytes) -> None:
        if self.streamed_length:
            self.chunks.append(data)
            return
        self.body += data
        if len(self.body) > self.max_body:
            raise HttpError(f"body is longer than {self.max_body} bytes")

    def _receive_with_h11(self, data: bytes) -> Response | None:
        try:
            if not data:
                self.connection.receive_data(b"")
            elif cleaned := self._without_load_report(data):
                self.connection.receive_data(cleaned)
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    headers = {name: value for name, value in event.headers if name in KEPT_HEADERS}
                    self.head = Response(event.status_code, headers, b"")
                    self._begin_body(event.status_code, int(headers.get(b"content-length", b"0")))
                elif isinstance(event, h11.Data):
                    self._add_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    return Response(self.head.status, self.head.headers, bytes(self.body))
                elif not isinstance(event, h11.InformationalResponse):
                    raise HttpError(f"expected a response, got {event!r}")
        except h11.RemoteProtocolError as e:
            raise HttpError(str(e)) from e

    def incomplete_size(self) -> int:
        """Return the bytes that the response will take, as far as is known: a body may have no length."""
        if self.plain_response is not None:
            return len(self.body) + self.body_remaining
        return MAX_HEAD if self.head is None else self.max_body

    def has_trailing_bytes(self) -> bool:
        """Return whether bytes followed the response."""
        return (
            self.has_extra_bytes
            if self.plain_response is not None
            else bool(self.connection.trailing_data[0])
        )

    def reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        if self.plain_response is not None:
            return not self.has_trailing_bytes() and not self.body_remaining
        ended = self.connection.our_state is self.connection.their_state is h11.DONE
        return ended and not self.has_trailing_bytes()
