"""The work of holders of duties that operators define: they run commands.

Each command gets the token as an argument, so that the systems it acts on can compare it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from myrtlecourse.duties import messages
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.duties.steps import StepAction, Steps, StepTask

log = logging.getLogger(__name__)


class CommandRunner:
    """Runs one command at a time, and kills one that exceeds the timeout."""

    def __init__(self, duty: str, command: tuple[str, ...], timeout: float) -> None:
        self.duty = duty
        self.command = command
        self.timeout = timeout
        self.child: asyncio.subprocess.Process | None = None

    async def run(self, *arguments: str) -> bool:
        """Run the command with these arguments; return whether it exited with code 0 in time."""
        try:
            child = await asyncio.create_subprocess_exec(
                *self.command, *arguments, stdin=asyncio.subprocess.DEVNULL, start_new_session=True
            )
        except OSError as e:
            log.error("duty %s: %s: %s", self.duty, self.command[0], e.strerror)
            return False
        self.child = child
        try:
            async with asyncio.timeout(self.timeout):
                code = await child.wait()
        except TimeoutError:
            log.error(
                "duty %s: %s exceeded its timeout of %g s and is killed",
                self.duty,
                " ".join(arguments),
                self.timeout,
            )
            self.kill_running()
            await child.wait()
            return False
        finally:
            self.child = None
        if code:
            log.error("duty %s: %s exited with code %d", self.duty, " ".join(arguments), code)
        return code == 0

    def kill_running(self) -> None:
        """Kill the command that runs now, if any."""
        if self.child is not None and self.child.returncode is None:
            with suppress(ProcessLookupError):
                self.child.kill()


class StepWork:
    """A duty in numbered steps: runs `COMMAND step NUMBER TOKEN` for each."""

    def __init__(self, driver: DutyDriver, duty: str, every: float, commands: CommandRunner) -> None:
        self.driver = driver
        self.duty = duty
        self.steps = Steps(every)
        self.commands = commands
        self.running: set[asyncio.Task[None]] = set()

    def on_acquired(self, token: int, value: messages.Value) -> None:
        self._do(self.steps.on_acquired(time.monotonic(), time.time(), token, value))

    def on_lost(self) -> None:
        self.steps.on_lost()
        self.commands.kill_running()

    def on_committed(self, token: int, number: int) -> None:
        self._do(self.steps.on_committed(token, number))

    def poll(self) -> None:
        holding = self.driver.duties.holdings.get(self.duty)
        if holding is not None:
            self._do(self.steps.tick(time.monotonic(), time.time(), holding.number))

    def _do(self, tasks: list[StepTask]) -> None:
        for task in tasks:
            if task.action is StepAction.UNFINISHED:
                log.warning(
                    "duty %s: step %d was started by another holder, not known to have finished",
                    self.duty,
                    task.step,
                )
            elif task.action is StepAction.SET_STATE:
                with suppress(messages.DutiesError):  # the duty was lost in the meantime
                    self.driver.post(messages.SetState(self.duty, task.value))
            else:
                step_run = asyncio.create_task(self._run(task.step, self.steps.token))
                self.running.add(step_run)
                step_run.add_done_callback(self.running.discard)

    async def _run(self, step: int, token: int) -> None:
        # checked right before the step, as this process may have been stopped since the claim was committed
        if self.driver.acting_token(self.duty) == token:
            await self.commands.run("step", str(step), str(token))
            self._do(self.steps.on_finished(token))

    async def close(self) -> None:
        self.commands.kill_running()
        if self.running:
            await asyncio.wait(self.running)


class HoldWork:
    """A duty without steps: runs `COMMAND take TOKEN` when it is acquired, and `COMMAND leave TOKEN` before
    another router may hold it."""

    def __init__(self, driver: DutyDriver, duty: str, commands: CommandRunner) -> None:
        self.driver = driver
        self.duty = duty
        self.commands = commands
        self.token = 0  # the token of the current or last holding
        self.current: asyncio.Task[None] | None = None

    def on_acquired(self, token: int, value: messages.Value) -> None:
        self.token = token
        self._run_after_previous(self._run_take(token))

    def on_lost(self) -> None:
        self.commands.kill_running()
        self._run_after_previous(self._run_leave(self.token))

    def _run_after_previous(self, work: Coroutine[Any, Any, None]) -> None:
        previous = self.current

        async def run_after() -> None:
            if previous is not None:
                await previous
            await work

        self.current = asyncio.create_task(run_after())

    async def _run_take(self, token: int) -> None:
        if self.driver.acting_token(self.duty) == token:
            await self.commands.run("take", str(token))

    async def _run_leave(self, token: int) -> None:
        await self.commands.run("leave", str(token))
        self.driver.post(messages.WorkStopped(self.duty))

    def on_committed(self, token: int, number: int) -> None:
        """Do nothing, as the duty has no orders."""

    def poll(self) -> None:
        """Do nothing, as no work is timed."""

    async def close(self) -> None:
        if self.current is not None:
            await self.current
