"""A real router process between a test's clients and its scripted cache server and origin."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from myrtlecourse.net.pool import parse_address
from tests.loopback import Peer
from tests.test_main import GOOD
from tests.test_net_discovery import ENTRY
from tests.test_wirehost import CONF

LEAST_MEMORY_MB = 32  # the least that the operators' pages name
DESCRIPTORS = 1024
ONCE = {"name": "once", "aim": 1.0, "giveUp": 3.0, "effect": "single_shot"}


class Servers:
    """A cache server and an origin, whose connections are handed to the test, and a silent discovery."""

    def __init__(self) -> None:
        self.cache, self.origin, self.discovery = Peer(), Peer(), Peer()

    def configuration(self) -> dict[str, Any]:
        """Return the configuration of a router in front of them."""
        entries = [
            {**ENTRY, "name": "cache", "address": self.cache.address, "type": "std", "since_ms": 0},
            {**ENTRY, "name": "origin", "address": self.origin.address, "type": "store", "since_ms": 0},
        ]
        return {
            **GOOD,
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "settings": {**CONF, "classes": [*CONF["classes"], ONCE]},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
        }


@dataclass
class RouterProcess:
    """A running router."""

    process: asyncio.subprocess.Process
    address: tuple[str, int]
    log: Path


@asynccontextmanager
async def started(
    configuration: dict[str, Any], folder: Path, log: str = "requests"
) -> AsyncIterator[RouterProcess]:
    """Start a router process, which logs each request unless told otherwise; it is killed at the end."""
    path, file = folder / "config.json", folder / "router.log"
    path.write_bytes(orjson.dumps(configuration))
    variables = {**os.environ, "RELAY_CONFIG": str(path), "MYRTLECOURSE_LOG": log}
    with file.open("wb") as out:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "myrtlecourse", env=variables, stdout=out, stderr=out
        )
    try:
        while b"listening on " not in (text := file.read_bytes()):
            assert process.returncode is None, text.decode()[-2000:]
            await asyncio.sleep(0.02)
        address = parse_address(text.split(b"listening on ")[1].split()[0].decode())
        yield RouterProcess(process, address, file)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
