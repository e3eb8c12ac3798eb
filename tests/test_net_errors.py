"""System calls fail in the ways that Linux documents: clients are still accepted and requests answered."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from typing import Any

import pytest

from myrtlecourse import interface as api
from myrtlecourse.net import acceptor
from myrtlecourse.net.acceptor import SINGLE_CLIENT_ERRORS
from myrtlecourse.net.pool import LOCAL_SHORTAGE_ERRORS
from myrtlecourse.net.request_log import requests_log
from myrtlecourse.net.transport import Transport
from tests.loopback import (
    HIT,
    Router,
    age_idle_connections,
    command,
    format_address,
    needs_sources,
    read,
    run,
)

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.ECONNREFUSED, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EACCES)


class FailingSocket:
    """A listening socket whose first calls of accept() fail with given errors."""

    def __init__(self, listening: socket.socket, errors: list[int]) -> None:
        self.listening = listening
        self.errors = errors
        self.calls = 0
        self.options_fail = 0  # number of the next accepted sockets that refuse options

    def accept(self) -> tuple[Any, object]:
        self.calls += 1
        if self.errors:
            code = self.errors.pop(0)
            raise OSError(code, os.strerror(code))
        client, address = self.listening.accept()
        if self.options_fail:
            self.options_fail -= 1
            return RefusesOptions(client), address
        return client, address

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listening, name)


class RefusesOptions:
    """An accepted socket whose connection has ended before its options are set."""

    def __init__(self, client: socket.socket) -> None:
        self.client = client

    def setsockopt(self, *_: object) -> None:
        raise OSError(errno.EINVAL, "invalid argument")

    def __getattr__(self, name: str) -> Any:
        return getattr(self.client, name)


async def ping(router: Router) -> bool:
    client = await router.client()
    client.write(command("PING"))
    return bool(await client.resp() == b"PONG")


@pytest.mark.parametrize(
    "code", sorted({*SINGLE_CLIENT_ERRORS, *SHORTAGES}), ids=lambda c: errno.errorcode[c]
)
def test_a_failed_accept_leaves_the_others_let_in_and_does_not_spin(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without descriptors, the accept loop must neither end nor become a busy loop."""
    monkeypatch.setattr(acceptor, "ACCEPT_PAUSE", 0.01)

    async def scenario() -> None:
        async with Router() as router:
            failing: Any = FailingSocket(router.listener.socket, [code, code])
            router.listener.acceptor.listening = failing
            assert await ping(router) and await ping(router)
            assert not failing.errors
            # the failed calls, and for each client one that finds no further client
            assert failing.calls <= 2 + 2 * 2

    run(scenario)


@pytest.mark.parametrize("code", SHORTAGES, ids=lambda c: errno.errorcode[c])
def test_a_shortage_is_waited_out(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    pause = 0.0123  # a value that no other pause has
    monkeypatch.setattr(acceptor, "ACCEPT_PAUSE", pause)
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def noted(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(seconds)

    async def scenario() -> None:
        async with Router() as router:
            monkeypatch.setattr(asyncio, "sleep", noted)
            failing: Any = FailingSocket(router.listener.socket, [code] * 5)
            router.listener.acceptor.listening = failing
            assert await ping(router)
            assert pauses.count(pause) == 5

    run(scenario)


def test_a_failure_that_lasts_is_not_tried_again_without_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor, "ACCEPT_PAUSE", 0.02)

    async def scenario() -> None:
        async with Router() as router:
            failing: Any = FailingSocket(router.listener.socket, [errno.EPERM] * 100_000)
            router.listener.acceptor.listening = failing
            client = await router.client()
            await asyncio.sleep(0.2)
            assert 0 < failing.calls <= 12 * acceptor.MAX_ACCEPTS
            failing.errors.clear()
            client.write(command("PING"))
            assert await client.resp() == b"PONG"

    run(scenario)


def test_a_client_that_is_gone_as_it_is_accepted_costs_itself_alone() -> None:
    async def scenario() -> None:
        async with Router() as router:
            failing: Any = FailingSocket(router.listener.socket, [])
            failing.options_fail = 1
            router.listener.acceptor.listening = failing
            gone = await router.client()
            assert await gone.ended()
            assert await ping(router)
            assert len(router.listener.connections) + len(router.listener.setting_up) <= 1

    run(scenario)


async def with_failed_dial(router: Router, code: int) -> str:
    """Send a read whose first dial fails; return the server that was dialled."""
    loop: Any = asyncio.get_running_loop()
    make = loop.create_connection
    failed: list[str] = []

    async def dial(factory: Any, host: str, port: int, **more: Any) -> Any:
        if not failed:
            failed.append(format_address((host, port)))
            raise OSError(code, os.strerror(code))
        return await make(factory, host, port, **more)

    client = await router.client()
    loop.create_connection = dial
    try:
        client.write(read("r1"))
        cache = await router.cache()
        await cache.resp()
        cache.write(HIT)
        assert await client.resp() == b"value"
    finally:
        loop.create_connection = make
    return next(n for n, p in router.caches.items() if p.address == failed[0])


@pytest.mark.parametrize(
    "code", sorted({*LOCAL_SHORTAGE_ERRORS, *CONNECT_ERRORS}), ids=lambda c: errno.errorcode[c]
)
def test_a_dial_that_fails_is_made_elsewhere_and_own_shortages_count_against_no_server(
    code: int, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(requests_log, "enabled", True)
    caplog.set_level(logging.INFO, "myrtlecourse.requests")
    own = code in LOCAL_SHORTAGE_ERRORS

    async def scenario() -> None:
        async with Router() as router:
            name = await with_failed_dial(router, code)
            assert router.host.router.servers[name].consecutive_failures == (0 if own else 1)

    run(scenario)
    status = api.Status.NOT_SENT if own else api.Status.CONNECT_FAILED
    ends = [r.getMessage() for r in caplog.records if "event=ended" in r.getMessage()]
    assert f"no=0 status={status.value}" in ends[0]


class BrokenTransport:
    """A transport that raises an error at each write, as one does whose handle is closed."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def write(self, data: bytes) -> None:
        raise RuntimeError("the handler is closed")

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


# Guards against a client's connection that is closed because a write to a server raised an error.
def test_an_error_in_a_write_to_a_server_ends_its_attempt_alone() -> None:
    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.open_request("r1")
            cache.write(HIT)
            assert await client.resp() == b"value"
            age_idle_connections(router.servers)
            (idle,) = router.servers.idle
            broken: Any = BrokenTransport(idle.transport)
            idle.transport = broken
            client.write(command("PING") + read("r2"))
            retry = await router.cache()
            assert (await retry.resp())[2] == b"r2"
            retry.write(HIT)
            assert [await client.resp() for _ in range(2)] == [b"PONG", b"value"]
            assert idle not in router.servers.connections

    run(scenario)


# Guards against requests that are lost because an action for another request raised an error.
@needs_sources
def test_an_error_in_one_action_ends_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Router() as router:
            start = router.servers.start_attempt

            def fail_once(*arguments: Any) -> Any:
                monkeypatch.setattr(router.servers, "start_attempt", start)
                raise RuntimeError("an internal error")

            monkeypatch.setattr(router.servers, "start_attempt", fail_once)
            client = await router.client()
            client.write(read("r1", info="c=read,t=x,d=500") + read("r2"))
            cache = await router.cache()
            assert (await cache.resp())[2] == b"r2"
            cache.write(HIT)
            assert isinstance(await client.resp(), Exception)  # at its deadline
            assert await client.resp() == b"value"
            assert not router.host.requests

    run(scenario)
