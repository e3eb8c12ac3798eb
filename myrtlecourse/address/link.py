"""Announces and withdraws the service address on the network, by an operator's command or through a switch.

A link may be slow, fail or lose a request: safety depends only on the lease, not on the link.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

log = logging.getLogger(__name__)
MAX_RESPONSE = 64  # bytes


class LinkError(RuntimeError):
    """Raised if the address could not be announced or withdrawn; the message says why."""


class Link(Protocol):
    """Tells the network whether to direct the traffic for the address to this machine."""

    async def announce(self, term: int) -> None:
        """Announce that this machine has the address. Idempotent. Raises LinkError."""

    async def withdraw(self) -> None:
        """Announce that this machine no longer has the address. Idempotent. Raises LinkError."""


class CommandLink:
    """Runs an operator's command with `announce TERM` or `withdraw`; exit code 0 means success."""

    def __init__(self, command: tuple[str, ...], timeout: float) -> None:
        self.command = command
        self.timeout = timeout

    async def announce(self, term: int) -> None:
        await self._run("announce", str(term))

    async def withdraw(self) -> None:
        await self._run("withdraw")

    async def _run(self, *arguments: str) -> None:
        try:
            process = await asyncio.create_subprocess_exec(
                *self.command, *arguments, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL
            )
        except OSError as e:
            raise LinkError(f"{self.command[0]}: {e}") from e
        try:
            code = await asyncio.wait_for(process.wait(), self.timeout)
        except TimeoutError:
            # a command that hangs would block all later ones
            process.kill()
            await process.wait()
            raise LinkError(f"{self.command[0]} {arguments[0]}: not done in {self.timeout:g} s") from None
        if code != 0:
            raise LinkError(f"{self.command[0]} {arguments[0]}: exit code {code}")


class SwitchLink:
    """Sends a line `announce NAME TERM` or `withdraw NAME` to a switch, which responds `ok`."""

    def __init__(self, address: tuple[str, int], name: str, timeout: float) -> None:
        self.address = address
        self.name = name
        self.timeout = timeout

    async def announce(self, term: int) -> None:
        await self._send(f"announce {self.name} {term}\n")

    async def withdraw(self) -> None:
        await self._send(f"withdraw {self.name}\n")

    async def _send(self, line: str) -> None:
        try:
            async with asyncio.timeout(self.timeout):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(line.encode())
                    response = await reader.read(MAX_RESPONSE)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as e:
            raise LinkError(f"switch: {e!r}") from e
        if response.strip() != b"ok":
            raise LinkError(f"switch: {response!r}")


class LinkUpdater:
    """Brings a link to the state that was requested last, with one change at a time and retries after errors.

    A request is skipped if a later one replaces it before it was started.
    """

    RETRY_PAUSE = 0.2  # seconds

    def __init__(self, link: Link) -> None:
        self.link = link
        self.requested: int | None = None  # the term to announce; None: withdraw the address
        self.applied: int | None = None  # the term that the link has announced; None: none
        self.changed = asyncio.Event()
        self.up_to_date = asyncio.Event()  # set while the link has applied what was requested last
        self.up_to_date.set()
        self.failures = 0  # consecutive errors of the link
        self.task: asyncio.Task[None] | None = None

    def request(self, term: int | None) -> None:
        """Request to announce the address in a term or, with None, to withdraw it."""
        self.requested = term
        self.up_to_date.clear()
        self.changed.set()
        if self.task is None:
            self.task = asyncio.create_task(self._apply())

    async def _apply(self) -> None:
        while True:
            self.changed.clear()
            requested = self.requested
            if requested != self.applied:
                try:
                    await (self.link.withdraw() if requested is None else self.link.announce(requested))
                    self.applied = requested
                    self.failures = 0
                except LinkError as e:
                    self.failures += 1
                    log.warning(
                        "the service address was not %s: %s",
                        "withdrawn" if requested is None else "announced",
                        e,
                    )
                    await asyncio.sleep(self.RETRY_PAUSE)
                    continue
            if not self.changed.is_set():
                self.up_to_date.set()
                await self.changed.wait()

    def close(self) -> None:
        """Stop; pending requests are dropped, and later ones are ignored."""
        if self.task is not None:
            self.task.cancel()
