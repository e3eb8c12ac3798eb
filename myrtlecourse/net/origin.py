"""Attempts on the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote_from_bytes

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_BUFFERED_ANSWER, Command
from myrtlecourse.net.connection import Answer, Connection, MalformedAnswer
from myrtlecourse.net.http import HttpClient, HttpError, Response
from myrtlecourse.net.pool import Pool


class OriginConnection(Connection):
    """A connection to the origin.

    It gives the length of what it sends, or ends a short answer by closing in good order. One that ends by a
    reset may be cut short, and counts as broken.
    """

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.http_client = HttpClient(address, MAX_BUFFERED_ANSWER, pool.max_streamed)

    def encode(self, command: Command, time_left: float) -> bytes:
        # guards against a key that spells another path or a query: all but unreserved letters is escaped
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
            return None  # within a length that was given: the connection's end tells of it
        return None if response is None else self._answer_of(response)

    def _answer_of(self, response: Response) -> Answer:
        if response.status == 200:
            return Status.OK, response.body
        # guards against a second effect: with more behind it, which of the two answers this can't be told
        not_started = (
            not self.http_client.has_trailing_bytes()
            and response.status in (503, 504)
            and response.headers.get(b"not-started") == b"1"
        )
        return (Status.FULL if not_started else Status.ERROR), b""

    def reusable(self) -> bool:
        return self.http_client.reusable()
