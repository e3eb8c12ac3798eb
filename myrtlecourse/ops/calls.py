"""Parses operators' calls and encodes the responses: HTTP/1.1 (RFC 9112), one call per connection; no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

import h11

MAX_HEAD = 8 * 1024  # bytes
MAX_BODY = 4 * 1024  # bytes; no call needs a body
MAX_NAME = 256  # bytes of a name, such as a cache server's id
# prefixes of the paths of calls that have arguments
SERVERS = "/control/cache-servers/"
ZONES = "/control/zones/"
DUTIES = "/control/duties/"
MOVE_TO = "/control/address/move/"
SPREAD = "/control/spread/"
KEY_DIGITS = 16  # hexadecimal digits of a purge's key and of a change's subject
MAX_VALUE_DIGITS = 240  # hexadecimal digits of a change's value
DEFAULT_ORDER_TIME = 600.0  # seconds for which an order on a zone is in force
MAX_ORDER_TIME = 65_000.0
HEX = re.compile(r"[0-9a-fA-F]*")


class Kind(Enum):
    """The kinds of calls."""

    READY = "ready"
    OFFLINE = "offline"
    ONLINE = "online"
    OUT_OF_SERVICE = "out-of-service"
    IN_SERVICE = "in-service"
    ADDRESS = "address"
    MOVE = "move"
    FLEET = "fleet"
    ZONE_OUT = "out"
    ZONE_IN = "in"
    ZONE_HOLD = "hold"
    DUTIES = "duties"
    DUTY_MOVE = "duty move"
    SPREAD = "spread"
    SPREAD_PURGE = "purge"
    SPREAD_SEND = "send"


SPREAD_CALLS = (Kind.SPREAD, Kind.SPREAD_PURGE, Kind.SPREAD_SEND)
ZONE_CALLS = (Kind.ZONE_OUT, Kind.ZONE_IN, Kind.ZONE_HOLD)
READ_CALLS = (Kind.READY, Kind.ADDRESS, Kind.FLEET, Kind.DUTIES, Kind.SPREAD)  # calls that change nothing
PATHS = {
    "/control/ready": Kind.READY,
    "/control/out-of-service": Kind.OUT_OF_SERVICE,
    "/control/in-service": Kind.IN_SERVICE,
    "/control/address": Kind.ADDRESS,
    "/control/address/move": Kind.MOVE,
    "/control/fleet": Kind.FLEET,
    "/control/duties": Kind.DUTIES,
    "/control/spread": Kind.SPREAD,
}


@dataclass(slots=True, frozen=True)
class Call:
    """A valid call."""

    kind: Kind
    server: str = ""  # a cache server's id, a zone, or the router to which the address or a duty is to move
    seconds: float = DEFAULT_ORDER_TIME  # how long an order on a zone is in force
    duty: str = ""  # the duty to move
    key: bytes = b""  # the key of a purge, or the subject of a change
    value: bytes = b""  # the value of a change


@dataclass(slots=True, frozen=True)
class Response:
    """A response to an operator."""

    status: HTTPStatus
    text: str
    allow: str = ""  # the method that is allowed, if the call had another


def parse_call(method: bytes, target: bytes) -> Call | Response:
    """Return the call of a request line, or the response to an invalid one."""
    raw_path, _, query = target.partition(b"?")
    path = raw_path.decode("ascii", "replace")
    kind, name = PATHS.get(path), ""
    if kind is None and path.startswith(MOVE_TO):
        kind, name = Kind.MOVE, path.removeprefix(MOVE_TO)[:MAX_NAME]
    if path.startswith(DUTIES):
        return parse_duty_move(method, path.removeprefix(DUTIES))
    if path.startswith(SPREAD):
        return parse_spread_entry(method, path.removeprefix(SPREAD))
    seconds = DEFAULT_ORDER_TIME
    for prefix, kinds in ((SERVERS, (Kind.OFFLINE, Kind.ONLINE)), (ZONES, ZONE_CALLS)):
        if kind is not None or not path.startswith(prefix):
            continue
        escaped, _, verb = path.removeprefix(prefix).partition("/")
        kind = {k.value: k for k in kinds}.get(verb)
        try:
            raw = unquote_to_bytes(escaped)
            name = raw.decode()
        except UnicodeDecodeError:
            return Response(HTTPStatus.BAD_REQUEST, "the id is not UTF-8")
        if kind is not None and not 0 < len(raw) <= MAX_NAME:
            return Response(HTTPStatus.BAD_REQUEST, f"the id must have 1 to {MAX_NAME} bytes")
    if kind in ZONE_CALLS and query:
        parameter, _, value = query.decode("ascii", "replace").partition("=")
        if parameter != "seconds" or not value.isdigit() or not 1 <= int(value[:9]) <= MAX_ORDER_TIME:
            return Response(HTTPStatus.BAD_REQUEST, f"seconds must be 1 to {MAX_ORDER_TIME:.0f}")
        seconds = float(value)
    if kind is None:
        return Response(HTTPStatus.NOT_FOUND, "no such call")
    allowed = "GET" if kind in READ_CALLS else "PUT"
    if method != allowed.encode():
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, f"this call needs the method {allowed}", allowed)
    return Call(kind, name, seconds)


def parse_duty_move(method: bytes, rest: str) -> Call | Response:
    """Parse the rest of the path of a call that moves a duty: `NAME/move` or `NAME/move/TO`."""
    escaped, _, verb = rest.partition("/")
    verb, _, to = verb.partition("/")
    try:
        duty, to = unquote_to_bytes(escaped).decode(), unquote_to_bytes(to).decode()
    except UnicodeDecodeError:
        return Response(HTTPStatus.BAD_REQUEST, "the name is not UTF-8")
    if verb != "move" or not 0 < len(duty) <= MAX_NAME or len(to) > MAX_NAME:
        return Response(HTTPStatus.NOT_FOUND, "no such call")
    if method != b"PUT":
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, "this call needs the method PUT", "PUT")
    return Call(Kind.DUTY_MOVE, to, duty=duty)


def parse_spread_entry(method: bytes, rest: str) -> Call | Response:
    """Parse the rest of the path of a call for a purge or change: `purge/KEY` or `send/SUBJECT/VALUE`.

    Key, subject and value are hexadecimal digits.
    """
    verb, _, arguments = rest.partition("/")
    key, _, value = arguments.partition("/")
    kind = {k.value: k for k in SPREAD_CALLS[1:]}.get(verb)
    if kind is None or kind is Kind.SPREAD_PURGE and "/" in arguments:
        return Response(HTTPStatus.NOT_FOUND, "no such call")
    if method != b"PUT":
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, "this call needs the method PUT", "PUT")
    if not HEX.fullmatch(key) or len(key) != KEY_DIGITS:
        return Response(HTTPStatus.BAD_REQUEST, f"a key or subject must be {KEY_DIGITS} hexadecimal digits")
    if not HEX.fullmatch(value) or len(value) % 2 or len(value) > MAX_VALUE_DIGITS:
        return Response(
            HTTPStatus.BAD_REQUEST,
            f"a value must be at most {MAX_VALUE_DIGITS} hexadecimal digits, two per byte",
        )
    return Call(kind, key=bytes.fromhex(key), value=bytes.fromhex(value))


class Exchange:
    """One call and its response on a connection."""

    def __init__(self) -> None:
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.call: Call | Response | None = None
        self.size = 0  # bytes received
        self.body_size = 0

    def receive(self, data: bytes) -> Call | Response | None:
        """Receive bytes; an empty `data` is the end of the stream.

        Return the call once it is complete, or the response to an invalid one; None until then.
        """
        self.size += len(data)
        if self.size > MAX_HEAD + MAX_BODY:
            return Response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the request is too large")
        try:
            self.connection.receive_data(data)
            while True:
                event = self.connection.next_event()
                if isinstance(event, h11.Request):
                    self.call = parse_call(bytes(event.method), bytes(event.target))
                    if self.connection.they_are_waiting_for_100_continue:
                        return self.call  # the body would be ignored; the response makes it unnecessary
                elif isinstance(event, h11.Data):
                    self.body_size += len(event.data)
                    if self.body_size > MAX_BODY:
                        return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self.call
                else:
                    return None
        except h11.RemoteProtocolError as e:
            return Response(HTTPStatus.BAD_REQUEST, str(e)[:200])

    def encode(self, response: Response) -> bytes:
        """Return the bytes of the response; none if a response was already sent."""
        body = (response.text + "\n").encode()
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if response.allow:
            headers.append(("Allow", response.allow))
        if self.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        head = h11.Response(
            status_code=response.status, headers=headers, reason=response.status.phrase.encode()
        )
        parts = [self.connection.send(e) for e in (head, h11.Data(data=body), h11.EndOfMessage())]
        return b"".join(p or b"" for p in parts)
