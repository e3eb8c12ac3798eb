"""Tests that an operator gets the response whatever arrives while the call is carried out."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest

from myrtlecourse.ops.calls import Call, Response
from myrtlecourse.ops.server import OpsServer
from tests.loopback import run

ITERATIONS = 50  # of the event loop, by which all that arrived has been processed


@pytest.mark.parametrize("crossing", ["bytes behind the call", "a half-close"])
def test_an_operator_s_answer_stands(crossing: str) -> None:
    """The connection was reset because of bytes after the call, or closed without a response."""

    async def scenario() -> None:
        with socket.socket() as caller:
            caller.setblocking(False)

            async def handle_call(call: Call) -> Response:
                if crossing == "a half-close":
                    caller.shutdown(socket.SHUT_WR)
                    for _ in range(ITERATIONS):
                        await asyncio.sleep(0)
                else:
                    caller.send(b"x" * 1000)
                return Response(HTTPStatus.OK, "ready")

            server = OpsServer(handle_call)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, await server.start(("127.0.0.1", 0)))
            caller.send(b"GET /control/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            received = b""
            while data := await loop.sock_recv(caller, 65536):  # until a regular end of the stream
                received += data
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ready\n")
            server.close()

    run(scenario)
