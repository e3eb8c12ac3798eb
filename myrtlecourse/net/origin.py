"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from typing import ClassVar
from urllib.parse import quote_from_bytes

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_BUFFERED_ANSWER, Command
from myrtlecourse.net.connection import Answer, Connection, MalformedAnswer
from myrtlecourse.net.http import HttpClient, HttpError, Response
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.reuse_delay import MIN_REUSE_DELAY


class OriginConnection(Connection):
    """A connection to the origin.

    The origin sends the length of an answer, or ends a short answer with an orderly close. An answer that
    ends with a reset may be incomplete and counts as failed.
    """

    # The origin is slow by design, and takes a limited number of connections from all routers.
    max_reuse_wait: ClassVar[float] = MIN_REUSE_DELAY

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.http_client = HttpClient(address, MAX_BUFFERED_ANSWER, pool.max_streamed)

    def encode(self, command: Command, time_left: float) -> bytes:
        # All but unreserved characters are escaped, so that no key can form another path or a query.
        target = "/" + quote_from_bytes(command.key, safe="")
        headers = [(b"Request-Id", command.request_id), (b"Request-Info", command.encode_info(time_left))]
        return self.http_client.request("PUT" if command.is_write else "GET", target, headers, command.value)

    def decode(self, data: bytes) -> Answer | None:
        try:
            response = self.http_client.receive(data)
        except HttpError as e:
            raise MalformedAnswer(str(e)) from e
        if self.http_client.streamed_length:
            self.stream_length = self.http_client.streamed_length
            self.chunks += self.http_client.chunks
            self.http_client.chunks.clear()
        return None if response is None else self._answer_of(response)

    def decode_end(self) -> Answer | None:
        try:
            response = self.http_client.receive(b"")
        except HttpError:
            return None  # the answer ended before its announced length; `connection_lost` handles that
        return None if response is None else self._answer_of(response)

    def _answer_of(self, response: Response) -> Answer:
        if response.status == 200:
            return Status.OK, response.body
        # If more bytes follow, it is unclear which of them answer this request; then it must not be reported
        # as not executed, or a repeat could execute it twice.
        not_started = (
            not self.http_client.has_trailing_bytes()
            and response.status in (503, 504)
            and response.headers.get(b"not-started") == b"1"
        )
        return (Status.FULL if not_started else Status.ERROR), b""

    def incomplete_size(self) -> int:
        return self.http_client.incomplete_size()

    def reusable(self) -> bool:
        return self.http_client.reusable()
