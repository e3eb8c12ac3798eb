"""Tests of the router's program: its configuration and its signals."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from myrtlecourse import program
from myrtlecourse.config import read_config
from myrtlecourse.net.pool import parse_address
from myrtlecourse.net.servers import CacheConnection
from tests.loopback import HIT, TIMEOUT, Link, Peer, command, format_address, http, read, run
from tests.test_net_discovery import ENTRY, list_message
from tests.test_wirehost import CONF

KNOWN = {"index": 41, "snapshot": True, "endpoints": [ENTRY]}
GOOD: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": KNOWN,
    "settings": CONF,
}


def test_a_configuration_is_read() -> None:
    config = read_config(orjson.dumps(GOOD))
    assert (config.listen, config.discovery) == (("127.0.0.1", 6379), "127.0.0.1:8500")
    assert (config.seed, config.sockets, config.known_index) == (0x8C1F30D27A5BE964, 1024, 41)
    assert [m.entry.server for m in config.known] == ["s-1"]
    assert config.settings.classes["pay"].repeat_window == 5.0


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": None}, "listen"),
        ({"discovery": "127.0.0.1:x"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": 3}, "limits"),
        ({"known": None}, "known"),
        ({"known": {**KNOWN, "index": "x"}}, "known.index"),
        ({"known": {**KNOWN, "endpoints": [{}]}}, "known.endpoints[0].status"),
        ({"settings": None}, "conf"),
        ({"settings": {**CONF, "classes": []}}, "classes"),
        ({"settings": {**CONF, "limits": {"dialTimeout": "x"}}}, "limits.dialTimeout"),
    ],
)
def test_an_unusable_configuration_ends_the_start_in_one_line(
    change: dict[str, Any],
    field: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**GOOD, **change}))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    assert program.main() == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert field in line


@pytest.mark.parametrize("text", [None, b"", b"{", b"[]"])
def test_no_configuration_ends_the_start_in_one_line(
    text: bytes | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_bytes(text)
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    assert program.main() == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_an_address_in_use_ends_the_start_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps({**GOOD, "listen": format_address(occupied.getsockname())}))
        monkeypatch.setenv("RELAY_CONFIG", str(path))
        assert program.main() == 2
    assert capsys.readouterr().err.splitlines()[-1].startswith("myrtlecourse: listen: ")


async def ready(address: tuple[str, int]) -> Link:
    """Returns a client's connection on which the router has answered."""
    client = Link(*await asyncio.open_connection(*address))
    client.write(command("PING"))
    assert await client.resp() == b"PONG"
    return client


async def listening(log: asyncio.StreamReader | None) -> tuple[str, int]:
    """Returns the address on which the program listens, from its log."""
    assert log is not None
    while (match := re.search(rb"listening on ([0-9.]+:\d+)", await log.readline())) is None:
        assert not log.at_eof()
    return parse_address(match[1].decode())


@asynccontextmanager
async def program_run(config: dict[str, Any], path: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs the program with a configuration."""
    path.write_bytes(orjson.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "myrtlecourse",
        env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def configured(cache: Peer, discovery: Peer, mode: str) -> dict[str, Any]:
    """Returns a configuration that lists one cache server."""
    line = {**ENTRY, "address": cache.address, "type": "std", "since_ms": 0}
    return {
        **GOOD,
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "settings": {**CONF, "membershipMode": mode},
        "known": {"index": 1, "snapshot": True, "endpoints": [line]},
    }


@pytest.mark.processes
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_the_program_serves_and_ends_on_sigterm_when_nothing_is_owed(mode: str, tmp_path: Path) -> None:
    """A router that ends too early loses accepted requests; one that ends too late is killed with them."""

    async def scenario() -> None:
        async with (
            Peer() as cache,
            Peer() as discovery,
            program_run(configured(cache, discovery, mode), tmp_path / "config.json") as process,
        ):
            watch = await discovery.link()
            assert "after=1&" in (await watch.http())[0]
            watch.write(http("200 OK", list_message(2, False)))
            address = await listening(process.stderr)
            client = await ready(address)
            client.write(read("r1"))
            served = await cache.link()
            await served.resp()
            process.send_signal(signal.SIGTERM)
            late = await ready(address)
            assert await late.ended()
            served.write(HIT)
            assert await client.resp() == b"value"
            async with asyncio.timeout(TIMEOUT):
                assert await process.wait() == 0

    run(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_sighup_moves_the_watch_twice_under_load(mode: str, tmp_path: Path) -> None:
    """An unhandled signal kills the router; a watch of the old discovery would miss drains at the new one."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        async with Peer() as cache, Peer() as first, Peer() as second, Peer() as third:
            config = configured(cache, first, mode)
            async with program_run(config, path) as process:
                old, address = await first.link(), await listening(process.stderr)
                await old.http()
                client = await ready(address)
                client.write(read("r0"))
                served = await cache.link()
                for number, discovery in enumerate((second, third), 1):
                    await served.resp()
                    path.write_bytes(orjson.dumps({**config, "discovery": discovery.address}))
                    process.send_signal(signal.SIGHUP)
                    watch = await discovery.link()
                    assert (await watch.http())[0] == "GET /registry/instances HTTP/1.1"
                    assert await old.ended()
                    watch.write(http("200 OK", list_message(7, True, *config["known"]["endpoints"])))
                    old = await discovery.link()
                    assert "after=7&" in (await old.http())[0]
                    served.write(HIT)
                    assert await client.resp() == b"value"
                    await asyncio.sleep(
                        CacheConnection.usual_reuse_delay
                    )  # so that the next request takes this connection too
                    client.write(read(f"r{number}"))
                path.write_bytes(b"{")
                process.send_signal(signal.SIGHUP)
                assert process.stderr is not None
                while b"configuration not taken" not in await process.stderr.readline():
                    assert not process.stderr.at_eof()
                await served.resp()
                served.write(HIT)
                assert await client.resp() == b"value"
                old.write(http("200 OK", list_message(8, False)))
                assert "after=8&" in (await (await third.link()).http())[0]

    run(scenario)
