"""Attempts on the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote_from_bytes

from myrtlecourse.interface import Status
from myrtlecourse.net.command import MAX_GATHERED, Command
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
        self.client = HttpClient(address, MAX_GATHERED, pool.max_passed)

    def encode(self, command: Command, time_left: float) -> bytes:
        # guards against a key that spells another path or a query: all but unreserved letters is escaped
        target = "/" + quote_from_bytes(command.key, safe="")
        headers = [(b"Request-Id", command.request), (b"Request-Info", command.info_for(time_left))]
        return self.client.request("PUT" if command.write else "GET", target, headers, command.value)

    def decode(self, data: bytes) -> Answer | None:
        try:
            response = self.client.receive(data)
        except HttpError as e:
            raise MalformedAnswer(str(e)) from e
        if self.client.passing:
            self.length = self.client.passing
            self.pieces += self.client.pieces
            self.client.pieces.clear()
        return None if response is None else self._answer(response)

    def decode_end(self) -> Answer | None:
        try:
            response = self.client.receive(b"")
        except HttpError:
            return None  # within a length that was given: the connection's end tells of it
        return None if response is None else self._answer(response)

    def _answer(self, response: Response) -> Answer:
        if response.status == 200:
            return Status.OK, response.body
        # guards against a second effect: with more behind it, which of the two answers this can't be told
        not_started = (
            not self.client.more_came()
            and response.status in (503, 504)
            and response.headers.get(b"not-started") == b"1"
        )
        return (Status.FULL if not_started else Status.ERROR), b""

    def reusable(self) -> bool:
        return self.client.reusable()
