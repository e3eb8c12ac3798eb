"""Tests of stand-in servers' ports: reserved while nothing listens, also across quick starts and stops."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from myrtlecourse.fleet import reserved_ports
from myrtlecourse.fleet.ports import Port, ServerConnection
from myrtlecourse.fleet.reserved_ports import RECENT, ReservedPort, free_address, reserve
from tests.loopback import run


async def connects(port: Port) -> bool:
    """Return whether somebody listens at a port."""
    assert port.reserved is not None
    try:
        _, writer = await asyncio.open_connection(*port.reserved.address)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def test_a_port_that_nobody_listens_at_is_drawn_by_no_other_stand_in(monkeypatch: pytest.MonkeyPatch) -> None:
    """Another fleet must not get the port of a server that is down, or the server cannot restart there."""

    async def scenario() -> None:
        port, other = Port("router-0", 0.0, 10, ServerConnection), Port("router-0", 0.0, 10, ServerConnection)
        await port.listen()
        number = port.number
        port.stop()
        while True:  # until the kernel has released the port itself
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", number))
                    break
                except OSError:
                    await asyncio.sleep(0.01)
        monkeypatch.setattr(reserved_ports, "PORTS", (number, number + 20))
        for _ in range(50):
            drawn = reserve()
            assert drawn.number != number
            drawn.release()
        await other.listen()
        await port.listen()
        assert port.number == number and await connects(port)
        port.close()
        other.close()

    run(scenario)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_somebody_else_has_bound_can_t_be_reserved(kind: socket.SocketKind) -> None:
    with socket.socket(socket.AF_INET, kind) as somebody:
        somebody.bind(("127.0.0.1", 0))
        with pytest.raises(OSError) as told:
            ReservedPort(somebody.getsockname()[1])
        assert told.value.errno == errno.EADDRINUSE


def test_drawing_ends_where_the_system_has_no_more_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuses(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", refuses)
    with pytest.raises(OSError, match="too many"):
        reserve()


def test_what_was_given_lately_is_not_given_again() -> None:
    assert len({free_address() for _ in range(RECENT)}) == RECENT
    free_address()
    assert len(reserved_ports._recent) == RECENT


def test_a_server_that_starts_twice_or_ends_while_it_starts_does_as_it_was_told_last() -> None:
    """Guards against a second start that finds its own port in use, and a stop lost during a start."""

    async def scenario() -> None:
        port = Port("router-0", 0.0, 10, ServerConnection)
        await asyncio.gather(port.listen(), port.listen())
        assert await connects(port)
        for _ in range(5):
            port.stop()
            starting = asyncio.ensure_future(port.listen())
            await asyncio.sleep(0)
            port.stop()
            await starting
            assert not await connects(port)
            starting = asyncio.ensure_future(port.listen())
            await asyncio.sleep(0)
            port.stop()
            await asyncio.gather(starting, port.listen())
            assert await connects(port)
        port.close()

    run(scenario)
