"""One HTTP/1.1 request and its response at a time, as bytes in and out."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

MAX_HEAD = 16 * 1024
# the plainest responses, read without the state machine, whose cost was that of three requests
HEAD = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2})(?: [ -~]*)?\r\n((?:[!#-'*+.0-9A-Z^-z|~-]+:[\t -~]*\r\n)*)\r\n")
VALUE = re.compile(rb"[!-~]+(?: [!-~]+)*")
FRAMING = (b"transfer-encoding", b"connection", b"upgrade")
BODILESS = (204, 304)
REPORT = re.compile(rb"\r\nserver-load:.*?(?=\r\n)", re.IGNORECASE | re.DOTALL)


class HttpError(Exception):
    """A response that breaks the protocol, the bound on its size, or off."""


@dataclass(slots=True, frozen=True)
class Response:
    """A whole response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """The client's side of one connection."""

    def __init__(self, address: str, max_body: int) -> None:
        self.address = address
        self.max_body = max_body
        self.connection = h11.Connection(h11.CLIENT)
        self.asked: list[
            h11.Event
        ] = []  # what the connection has not been told of, and need not if all is short
        self.short = False  # the last response was read the short way
        self.unread = bytearray()  # the beginning of a head
        self.heads = True  # whether one is still to come
        self.head: h11.Response | None = None
        self.body = bytearray()

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """The bytes of a request."""
        self.short = False
        self.heads = True
        self.head = None
        self.unread.clear()
        self.body.clear()
        fields = [(b"Host", self.address.encode()), *headers]
        if body is not None:
            fields.append((b"Content-Length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self.asked = events
        if method != "GET" or not all(VALUE.fullmatch(value) for _, value in fields):
            return self._tell()
        head = [f"GET {target} HTTP/1.1\r\n".encode()]
        head += [b"%b: %b\r\n" % field for field in fields]
        return b"".join([*head, b"\r\n"])

    def _tell(self) -> bytes:
        """Tell the state machine what was asked; answers with the request's bytes."""
        events, self.asked = self.asked, []
        if events and self.connection.our_state is not h11.IDLE:
            self.connection = h11.Connection(h11.CLIENT)
        return b"".join(self.connection.send(e) or b"" for e in events)

    def _short(self, data: bytes) -> Response | None:
        """A response that is whole and of the plainest form, else None: then the state machine reads it."""
        if (head := HEAD.match(data)) is None:
            return None
        headers: dict[bytes, bytes] = {}
        for line in head[2].split(b"\r\n")[:-1]:
            name, _, value = line.partition(b":")
            name = name.lower()
            if name in headers or name in FRAMING:
                return None
            headers[name] = value.strip()
        length = headers.get(b"content-length", b"")
        if not length.isdigit() or len(length) > 9 or (status := int(head[1])) < 200 or status in BODILESS:
            return None
        body = data[head.end() :]
        if int(length) != len(body) or len(body) > self.max_body:
            return None
        return Response(status, headers, body)

    def _cleaned(self, data: bytes) -> bytes:
        """Heads once they are whole, without the load report, and what follows them.

        Nobody asks for the report, and one that can't be read would spoil a good answer.
        """
        if not self.heads:
            return data
        self.unread += data
        out = b""
        while self.heads and (end := self.unread.find(b"\r\n\r\n") + 4) > 3:
            out += REPORT.sub(b"", bytes(self.unread[:end]))
            self.heads = self.unread[9:10] == b"1"  # another follows after one like 100 Continue
            del self.unread[:end]
        if not self.heads:
            out += bytes(self.unread)
        elif len(self.unread) > MAX_HEAD or not b"HTTP/".startswith(self.unread[:5]):
            raise HttpError(f"no head: {bytes(self.unread[:40])!r}")
        return out

    def receive(self, data: bytes) -> Response | None:
        """Take bytes, none at the connection's end, and answer with the response once it is whole."""
        if self.asked:
            if (response := self._short(data)) is not None:
                self.short = True
                return response
            self._tell()
        return self._by_state(data)

    def _by_state(self, data: bytes) -> Response | None:
        try:
            if not data:
                self.connection.receive_data(b"")
            elif cleaned := self._cleaned(data):
                self.connection.receive_data(cleaned)
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    self.head = event
                    # guards memory: a body said to be too long is refused before it comes
                    if int(dict(event.headers).get(b"content-length", b"0")) > self.max_body:
                        raise HttpError(f"body of over {self.max_body} bytes")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.max_body:
                        raise HttpError(f"body of over {self.max_body} bytes")
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    return Response(self.head.status_code, dict(self.head.headers), bytes(self.body))
                elif not isinstance(event, h11.InformationalResponse):
                    raise HttpError(f"no response but {event!r}")
        except h11.RemoteProtocolError as e:
            raise HttpError(str(e)) from e

    def reusable(self) -> bool:
        """Whether another request may follow."""
        if self.short:
            return True
        ended = self.connection.our_state is self.connection.their_state is h11.DONE
        return ended and not self.connection.trailing_data[0]
