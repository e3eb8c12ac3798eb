"""Where the address is announced and withdrawn: one narrow interface, and its two sides.

A link may take its time, fail, or lose what it was told: the lease protects, not the link.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

log = logging.getLogger(__name__)
LONGEST_ANSWER = 64  # bytes


class LinkError(RuntimeError):
    """The link did not do it; the message says why."""


class Link(Protocol):
    """What makes the address this machine's in the eyes of the network."""

    async def announce(self, term: int) -> None:
        """The address is here from now on. May be repeated. Raises LinkError."""

    async def withdraw(self) -> None:
        """It is not. May be repeated. Raises LinkError."""


class CommandLink:
    """A command of the operator's, given `announce TERM` or `withdraw`: exit code 0 is yes."""

    def __init__(self, command: tuple[str, ...], timeout: float) -> None:
        self.command = command
        self.timeout = timeout

    async def announce(self, term: int) -> None:
        await self._run("announce", str(term))

    async def withdraw(self) -> None:
        await self._run("withdraw")

    async def _run(self, *words: str) -> None:
        try:
            process = await asyncio.create_subprocess_exec(
                *self.command, *words, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL
            )
        except OSError as e:
            raise LinkError(f"{self.command[0]}: {e}") from e
        try:
            code = await asyncio.wait_for(process.wait(), self.timeout)
        except TimeoutError:
            # guards the next word: a command that hangs would hold it up for good
            process.kill()
            await process.wait()
            raise LinkError(f"{self.command[0]} {words[0]}: not done in {self.timeout:g} s") from None
        if code != 0:
            raise LinkError(f"{self.command[0]} {words[0]}: exit code {code}")


class SwitchLink:
    """A switch that takes a line, `announce NAME TERM` or `withdraw NAME`, and answers `ok`."""

    def __init__(self, address: tuple[str, int], name: str, timeout: float) -> None:
        self.address = address
        self.name = name
        self.timeout = timeout

    async def announce(self, term: int) -> None:
        await self._say(f"announce {self.name} {term}\n")

    async def withdraw(self) -> None:
        await self._say(f"withdraw {self.name}\n")

    async def _say(self, line: str) -> None:
        try:
            async with asyncio.timeout(self.timeout):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(line.encode())
                    answer = await reader.read(LONGEST_ANSWER)
                finally:
                    writer.close()
        except (OSError, TimeoutError) as e:
            raise LinkError(f"switch: {e!r}") from e
        if answer.strip() != b"ok":
            raise LinkError(f"switch: {answer!r}")


class LinkUpdater:
    """Tells a link what holds now, one after the other, and again until it has heard.

    Only the last word counts: what was overtaken before it was told is not told any more.
    """

    AGAIN = 0.2  # seconds before a word is said again that was not heard

    def __init__(self, link: Link) -> None:
        self.link = link
        self.wanted: int | None = None  # the term to be announced, or None: withdrawn
        self.told: int | None = None
        self.changed = asyncio.Event()
        self.failures = 0
        self.task: asyncio.Task[None] | None = None

    def request(self, term: int | None) -> None:
        """Announce in a term, or withdraw."""
        self.wanted = term
        self.changed.set()
        if self.task is None:
            self.task = asyncio.create_task(self._tell())

    async def _tell(self) -> None:
        while True:
            self.changed.clear()
            wanted = self.wanted
            if wanted != self.told:
                try:
                    await (self.link.withdraw() if wanted is None else self.link.announce(wanted))
                    self.told = wanted
                    self.failures = 0
                except LinkError as e:
                    self.failures += 1
                    log.warning(
                        "the address was not %s: %s", "withdrawn" if wanted is None else "announced", e
                    )
                    await asyncio.sleep(self.AGAIN)
                    continue
            if not self.changed.is_set():
                await self.changed.wait()

    def close(self) -> None:
        """Say nothing more."""
        if self.task is not None:
            self.task.cancel()
