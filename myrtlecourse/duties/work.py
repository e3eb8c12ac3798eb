"""What holders of the operators' own duties do: commands, each told the token, so that others can compare."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.keeper import Keeper
from myrtlecourse.duties.steps import Do, Steps, What

log = logging.getLogger(__name__)


class Commands:
    """Runs a command, one after the other, and ends one that takes too long."""

    def __init__(self, duty: str, command: tuple[str, ...], timeout: float) -> None:
        self.duty = duty
        self.command = command
        self.timeout = timeout
        self.child: asyncio.subprocess.Process | None = None

    async def run(self, *words: str) -> bool:
        """Whether it ended with code 0 in time."""
        try:
            child = await asyncio.create_subprocess_exec(
                *self.command, *words, stdin=asyncio.subprocess.DEVNULL, start_new_session=True
            )
        except OSError as e:
            log.error("duty %s: %s: %s", self.duty, self.command[0], e.strerror)
            return False
        self.child = child
        try:
            async with asyncio.timeout(self.timeout):
                code = await child.wait()
        except TimeoutError:
            log.error("duty %s: %s took over %g s and is ended", self.duty, " ".join(words), self.timeout)
            self.end()
            await child.wait()
            return False
        finally:
            self.child = None
        if code:
            log.error("duty %s: %s ended with code %d", self.duty, " ".join(words), code)
        return code == 0

    def end(self) -> None:
        """End what runs."""
        if self.child is not None and self.child.returncode is None:
            with suppress(ProcessLookupError):
                self.child.kill()


class StepWork:
    """A duty in numbered steps: `COMMAND step NUMBER TOKEN`."""

    def __init__(self, keeper: Keeper, duty: str, every: float, commands: Commands) -> None:
        self.keeper = keeper
        self.duty = duty
        self.steps = Steps(every)
        self.commands = commands
        self.tasks: set[asyncio.Task[None]] = set()

    def took(self, token: int, value: said.Value) -> None:
        self._do(self.steps.took(time.monotonic(), time.time(), token, value))

    def lost(self) -> None:
        self.steps.lost()
        self.commands.end()

    def settled(self, token: int, number: int) -> None:
        self._do(self.steps.settled(token, number))

    def look(self) -> None:
        lead = self.keeper.duties.leads.get(self.duty)
        if lead is not None:
            self._do(self.steps.tick(time.monotonic(), time.time(), lead.number))

    def _do(self, each: list[Do]) -> None:
        for do in each:
            if do.what is What.LEFT:
                log.warning("duty %s: step %d was begun elsewhere, its end not told", self.duty, do.step)
            elif do.what is What.PLACE:
                with suppress(said.DutiesError):  # lost since
                    self.keeper.post(said.Place(self.duty, do.value))
            else:
                task = asyncio.create_task(self._run(do.step, self.steps.token))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _run(self, step: int, token: int) -> None:
        # the last look: between the claim and here this process may have stood still
        if self.keeper.may(self.duty) == token:
            await self.commands.run("step", str(step), str(token))
            self._do(self.steps.done(token))

    async def close(self) -> None:
        self.commands.end()
        if self.tasks:
            await asyncio.wait(self.tasks)


class HoldWork:
    """A duty that is held: `COMMAND take TOKEN`, and `COMMAND leave TOKEN` before anybody else may."""

    def __init__(self, keeper: Keeper, duty: str, commands: Commands) -> None:
        self.keeper = keeper
        self.duty = duty
        self.commands = commands
        self.token = 0  # that it was taken with
        self.task: asyncio.Task[None] | None = None

    def took(self, token: int, value: said.Value) -> None:
        self.token = token
        self._next(self._take(token))

    def lost(self) -> None:
        self.commands.end()
        self._next(self._leave(self.token))

    def _next(self, work: Coroutine[Any, Any, None]) -> None:
        before = self.task

        async def after() -> None:
            if before is not None:
                await before
            await work

        self.task = asyncio.create_task(after())

    async def _take(self, token: int) -> None:
        if self.keeper.may(self.duty) == token:
            await self.commands.run("take", str(token))

    async def _leave(self, token: int) -> None:
        await self.commands.run("leave", str(token))
        self.keeper.post(said.Stopped(self.duty))

    def settled(self, token: int, number: int) -> None:
        """It orders nothing."""

    def look(self) -> None:
        """It has nothing due."""

    async def close(self) -> None:
        if self.task is not None:
            await self.task
