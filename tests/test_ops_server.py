"""The operators' address: an answer stands whatever crosses it, forced while the call is carried out."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest

from myrtlecourse.ops.calls import Call, Response
from myrtlecourse.ops.server import OpsServer
from tests.loopback import run

TURNS = 50  # of the event loop, in which whatever has come is seen


@pytest.mark.parametrize("crossing", ["bytes behind the call", "a half-close"])
def test_an_operator_s_answer_stands(crossing: str) -> None:
    """It was reset over what came behind the call, or closed on with no word."""

    async def scenario() -> None:
        with socket.socket() as caller:
            caller.setblocking(False)

            async def carry_out(call: Call) -> Response:
                if crossing == "a half-close":
                    caller.shutdown(socket.SHUT_WR)
                    for _ in range(TURNS):
                        await asyncio.sleep(0)
                else:
                    caller.send(b"x" * 1000)
                return Response(HTTPStatus.OK, "ready")

            server = OpsServer(carry_out)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, await server.start(("127.0.0.1", 0)))
            caller.send(b"GET /control/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            got = b""
            while data := await loop.sock_recv(caller, 65536):  # up to an end in good order
                got += data
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"ready\n")
            server.close()

    run(scenario)
