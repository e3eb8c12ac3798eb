"""Real routers as processes in front of a stand-in fleet: started, ended, killed and restarted."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from datetime import datetime
from pathlib import Path
from typing import Any

from myrtlecourse.audit import observations as seen
from myrtlecourse.fleet import abusive_clients as abusive
from myrtlecourse.fleet.faults import Step

# The same as `run` in the deploy file. SIGHUP is ignored at first, so that a new configuration during a
# start does not end the process.
COMMAND = shlex.join(["sh", "-c", f"trap '' HUP; exec {shlex.quote(sys.executable)} -m myrtlecourse"])
START_TIME = 30.0  # seconds until a router listens
LONGEST_DEADLINE = 3.0  # seconds; longer deadlines don't delay the end of a router (PROTOCOL)
KILL_GRACE = 0.7  # seconds from SIGTERM to SIGKILL in addition to the longest deadline
PARTIAL_COMMAND = b"*4\r\n$5\r\nC.GET\r\n$3\r\nke"
# a read of a class that no settings name; clients that leave send several at once
UNUSABLE_COMMAND = b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$7\r\nc=,d=99\r\n"
UNUSABLE_AT_ONCE = 20
RETURN_PAUSE = 0.02  # seconds until a client that has left connects again
LISTENING = b"listening on "
TAKES_CALLS = b"operators call "
CALL_TIME = 1.0  # seconds in which a call must be answered
MEMORY_INTERVAL = 0.2  # seconds between looks at the memory of a process
MEGABYTE = 1024 * 1024  # bytes
# by the action of a step: a kind of client, and whether it comes again
ABUSIVE_CLIENTS: dict[str, tuple[abusive.Client, bool]] = {
    "crowd_writing": (abusive.write_half, False),
    "crowd_flooding": (abusive.flood, False),
    "crowd_stopping": (abusive.stop_within_request, True),
    "crowd_interrupting": (abusive.leave_within_request, True),
    "crowd_fields": (abusive.send_short_fields, True),
    "crowd_reading": (abusive.read_key_slowly, True),
}
SIGNAL_PAUSE = 0.02  # seconds between two signals of a series
READY_TIME = 6.0  # seconds in which the new process of an upgrade must be ready
RETURN_LINE = re.compile(r"^(\S+ \S+) INFO zones coming back: (.*)$", re.MULTILINE)
EXIT_LINE = re.compile(r"^(\S+ \S+) INFO zones left: (.*)$", re.MULTILINE)


class RouterError(RuntimeError):
    """A router did not start, or exited unexpectedly; the message holds the end of its log."""


class Router:
    """One router's process; each start uses the same name and address."""

    def __init__(
        self, name: str, command: str, folder: Path, observe: Callable[[seen.Observation], None]
    ) -> None:
        self.name = name
        self.command = command
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.observe = observe
        self.process: asyncio.subprocess.Process | None = None
        # The process that an upgrade replaces.
        self.previous_process: asyncio.subprocess.Process | None = None
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.should_run = False  # False before the start and once the process was asked to end
        self.end_time = LONGEST_DEADLINE + KILL_GRACE  # seconds from SIGTERM to SIGKILL
        self.crashes = 0
        self.memory_limit = 0  # bytes of a process; 0 before it is configured
        self.highest_memory = 0  # bytes that a process has had
        self.temporary_folder = folder / f"{name}.tmp"  # shared by this router's processes
        # The socket that this router's processes inherit if the scenario upgrades routers.
        self.listening_socket: socket.socket | None = None
        self.ops: tuple[str, int] | None = None
        self.operators_file: Path | None = None
        # Seconds from the start of each upgrade until the new process was ready.
        self.ready_delays: list[float] = []

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write the configuration file as the platform does, with the address of earlier starts."""
        listen = f"{self.address[0]}:{self.address[1]}"
        self.memory_limit = configuration["limits"]["memory_mb"] * MEGABYTE
        longest = max(request_class["giveUp"] for request_class in configuration["settings"]["classes"])
        self.end_time = min(LONGEST_DEADLINE, longest) + KILL_GRACE
        self.config.write_text(json.dumps(configuration | {"listen": listen}))

    def open_listening_socket(self) -> None:
        """Open a listening socket that this router's processes inherit, so that any of them may accept."""
        self.listening_socket = socket.create_server(self.address, backlog=512)
        self.address = self.listening_socket.getsockname()
        self.temporary_folder.mkdir(exist_ok=True)

    def _environment(self) -> dict[str, str]:
        environment = os.environ | {"RELAY_CONFIG": str(self.config)}
        if self.operators_file is not None:
            environment["MYRTLECOURSE_FILE"] = str(self.operators_file)
        if self.listening_socket is not None:
            environment["RELAY_LISTEN_FD"] = str(self.listening_socket.fileno())
            environment["TMPDIR"] = str(self.temporary_folder)
        return environment

    async def start(self, replaced: asyncio.subprocess.Process | None = None) -> None:
        """Start the process and wait until it listens and, if operators call it, accepts their calls.

        Returns early if it is told to end meanwhile and ends with 0.

        Raises:
            RouterError: it did not start.
        """
        written = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            process = self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.command),
                env=self._environment(),
                pass_fds=() if self.listening_socket is None else (self.listening_socket.fileno(),),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if replaced is None:
            # Observed before the process can send anything: knowledge of the previous process does not apply
            # to this one.
            self.observe(seen.RouterUp(time.monotonic(), self.name))
        self.should_run = True
        until = time.monotonic() + START_TIME
        expected_line = LISTENING if self.listening_socket is None else TAKES_CALLS
        while expected_line not in (text := self.log.read_bytes()[written:]):
            told_to_end = process is not self.process or not self.should_run
            if told_to_end and process.returncode == 0:
                return
            if process.returncode is not None or time.monotonic() > until:
                raise RouterError(f"{self.name} did not start:\n{text.decode(errors='replace')[-2000:]}")
            await asyncio.sleep(0.02)
        host, _, port = text.split(LISTENING)[1].split()[0].decode().rpartition(":")
        self.address = host, int(port)
        if TAKES_CALLS in text:
            host, _, port = text.split(TAKES_CALLS)[1].split()[0].decode().rpartition(":")
            self.ops = host, int(port)
        self.watch = asyncio.create_task(self._watch(process))
        self.memory_watch = asyncio.create_task(self._watch_memory(process))

    def pids(self) -> list[int]:
        """Return the ids of the running processes: two during an upgrade."""
        running = [p for p in (self.process, self.previous_process) if p is not None and p.returncode is None]
        return [p.pid for p in running]

    async def call(self, method: str, path: str) -> int:
        """Make an operator's call and return its status. Raises RouterError, OSError or TimeoutError."""
        if self.ops is None:
            raise RouterError(f"{self.name} accepts no operators' calls")
        async with asyncio.timeout(CALL_TIME):
            reader, writer = await asyncio.open_connection(*self.ops)
            writer.write(f"{method} /control/{path} HTTP/1.1\r\nHost: {self.name}\r\n\r\n".encode())
            answer = await reader.read()
            writer.close()
        return int(answer.split(b" ", 2)[1])

    async def upgrade(self) -> None:
        """Start a second process and ask the old one to end once the new one is ready.

        Clients and servers see one router throughout, so nothing is observed. Raises RouterError.
        """
        old, began = self.process, time.monotonic()
        self.previous_process = old
        await self.start(replaced=old)
        while await self.call("GET", "ready") != 200:
            if time.monotonic() > began + READY_TIME:
                raise RouterError(
                    f"{self.name}: the new process was not ready within {READY_TIME:g} s of an upgrade"
                )
            await asyncio.sleep(0.05)
        self.ready_delays.append(time.monotonic() - began)
        if old is not None and old.returncode is None:
            old.terminate()
            try:
                await asyncio.wait_for(old.wait(), self.end_time)
            except TimeoutError:
                old.kill()
                await old.wait()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Report an unexpected exit of the process; the auditor then counts its requests as lost."""
        await process.wait()
        if self.should_run and process is self.process:
            self.crashes += 1
            self.observe(seen.RouterDown(time.monotonic(), self.name, False))

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        """Record the most memory that the process has had, which the kernel keeps, until it ends."""
        while process.returncode is None:
            self.highest_memory = max(self.highest_memory, highest_memory(process.pid))
            await asyncio.sleep(MEMORY_INTERVAL)

    def stall(self, stopped: bool) -> None:
        """Stop the process (SIGSTOP), or resume it."""
        if self.process is not None:
            self._signal(self.process, signal.SIGSTOP if stopped else signal.SIGCONT)

    def reload(self) -> None:
        """Tell the process to reload its configuration."""
        if self.process is not None:
            self._signal(self.process, signal.SIGHUP)

    @staticmethod
    def _signal(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
        """Send a signal to a running process.

        This does not use the process object, which polls for the end of the process and so takes its exit
        code from the event loop.
        """
        if process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)

    async def _signal_series(self, process: asyncio.subprocess.Process, count: int) -> None:
        """Send SIGHUP and SIGTERM in turn, in quick succession, while the process ends."""
        for number in range(count):
            self._signal(process, signal.SIGTERM if number % 2 else signal.SIGHUP)
            await asyncio.sleep(SIGNAL_PAUSE)

    async def open_idle_clients(self, clients: int, begun: bool, seconds: float) -> None:
        """Connect many clients at once that send nothing or half a command and stay for `seconds`."""
        connections = [self._idle_client(begun, seconds) for _ in range(clients)]
        await asyncio.gather(*connections, return_exceptions=True)

    async def open_leaving_clients(self, clients: int, seconds: float) -> None:
        """Have clients connect, send unusable commands, leave at once and come again, for `seconds`."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._leaving_client(end) for _ in range(clients)))

    async def _leaving_client(self, end: float) -> None:
        while time.monotonic() < end:
            with suppress(OSError):
                async with asyncio.timeout(max(0.0, end - time.monotonic())):
                    _, writer = await asyncio.open_connection(*self.address)
                    writer.write(UNUSABLE_COMMAND * UNUSABLE_AT_ONCE)
                    writer.close()
            await asyncio.sleep(RETURN_PAUSE)

    async def _idle_client(self, begun: bool, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                if begun:
                    writer.write(PARTIAL_COMMAND)
                while await reader.read(1024):
                    pass
            finally:
                writer.close()

    async def end(self, kill: bool, signals: int = 0) -> None:
        """Kill the process, or ask it to end and send further signals; SIGKILL follows after `end_time`."""
        if self.process is None or self.process.returncode is not None:
            return
        self.should_run = False
        series = asyncio.create_task(self._signal_series(self.process, signals))
        if kill:
            self.observe(seen.RouterDown(time.monotonic(), self.name, True))
            self._signal(self.process, signal.SIGKILL)
        else:
            self._signal(self.process, signal.SIGTERM)
        try:
            self.crashes += await asyncio.wait_for(self.process.wait(), self.end_time) != 0 and not kill
        except TimeoutError:
            self._signal(self.process, signal.SIGKILL)
            await self.process.wait()
        series.cancel()
        now = time.monotonic()
        self.observe(seen.RouterExited(now, self.name) if kill else seen.RouterDown(now, self.name, False))


def highest_memory(process: int) -> int:
    """Return the most resident memory in bytes that a process has had; 0 if it has ended."""
    try:
        status = Path(f"/proc/{process}/status").read_text()
    except OSError:
        return 0
    _, found, rest = status.partition("VmHWM:")
    return int(rest.split()[0]) * 1024 if found else 0


def zone_returns(log: Path) -> list[tuple[float, dict[str, float]]]:
    """Return the logged shares of returning zones, with times on the machine's monotonic clock."""
    offset = time.time() - time.monotonic()
    result = []
    for at, shares in RETURN_LINE.findall(log.read_text()):
        wall = datetime.strptime(at, "%Y-%m-%d %H:%M:%S,%f").timestamp()
        words = [] if shares == "none" else [word.rpartition("=") for word in shares.split()]
        result.append((wall - offset, {zone: float(share) for zone, _, share in words}))
    return result


def zone_exits(log: Path) -> list[tuple[float, frozenset[str]]]:
    """Return the logged zones that a router excludes, with times on the machine's monotonic clock."""
    offset = time.time() - time.monotonic()
    result = []
    for at, names in EXIT_LINE.findall(log.read_text()):
        wall = datetime.strptime(at, "%Y-%m-%d %H:%M:%S,%f").timestamp()
        result.append((wall - offset, frozenset(names.split(", ")) - {"none"}))
    return result


class Routers:
    """All routers of a fleet."""

    def __init__(
        self, names: list[str], command: str, folder: Path, observe: Callable[[seen.Observation], None]
    ) -> None:
        self.members = [Router(name, command, folder, observe) for name in names]
        self.tasks: set[asyncio.Task[None]] = set()
        self.faults: list[str] = []

    async def start(
        self, configuration: Callable[[int], dict[str, Any]], operators: Callable[[str], Path] | None = None
    ) -> None:
        """Start all routers concurrently; `operators` returns the operators' file of each."""
        for number, router in enumerate(self.members):
            if operators is not None:
                router.operators_file = operators(router.name)
            if "ops" in configuration(number):
                router.open_listening_socket()
            router.configure(configuration(number))
        await asyncio.gather(*(router.start() for router in self.members))
        for number, router in enumerate(self.members):  # with the address that each has from now on
            router.configure(configuration(number))

    def apply_step(self, step: Step) -> None:
        """Apply a step to its router: a signal, idle clients, a restart or an upgrade."""
        router = self.members[int(step.target.rpartition("-")[2])]
        if step.action == "go_on":
            router.stall(False)  # even if it was asked to end since: nothing else would resume it
            # It was stopped until now, which may be later than planned if this process was held up.
            router.observe(seen.RouterStalled(time.monotonic(), router.name, 0.0))
            return
        if not router.should_run:
            return  # the router is already ending or starting
        if step.action == "reload":
            router.reload()
            return
        if step.action == "crowd_leaving":
            self.run_in_background(router.open_leaving_clients(round(step.value), step.duration))
            return
        if step.action in ABUSIVE_CLIENTS:
            client, again = ABUSIVE_CLIENTS[step.action]
            count, seconds = round(step.value), step.duration
            self.run_in_background(abusive.run_clients(client, router.address, count, seconds, again))
            return
        if step.action in ("crowd", "crowd_begun"):
            self.run_in_background(
                router.open_idle_clients(round(step.value), step.action == "crowd_begun", step.duration)
            )
            return
        if step.action == "upgrade":
            self.run_in_background(self._upgrade(router))
            return
        if step.action == "stall":
            router.observe(seen.RouterStalled(time.monotonic(), router.name, step.duration))
            router.stall(True)
            return
        router.should_run = False
        self.run_in_background(self._restart(router, step))

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; `end` waits for it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _upgrade(self, router: Router) -> None:
        try:
            await router.upgrade()
        except (RouterError, OSError, ValueError, TimeoutError) as e:
            self.faults.append(f"{router.name}: upgrade: {e!r}")

    async def _restart(self, router: Router, step: Step) -> None:
        try:
            await router.end(kill=step.action == "kill", signals=round(step.value))
            await router.start()
        except RouterError as e:
            self.faults.append(str(e))

    async def end(self) -> None:
        """End all routers."""
        if self.tasks:
            await asyncio.wait(self.tasks)
        await asyncio.gather(*(router.end(kill=False) for router in self.members))

    def failures(self) -> list[str]:
        """Return what went wrong with the processes themselves."""
        crashed = [
            f"{r.name} exited unexpectedly or with a nonzero code ({r.crashes} times): see {r.log}"
            for r in self.members
            if r.crashes
        ]
        over = [
            f"{r.name} had {r.highest_memory / MEGABYTE:.1f} MB of {r.memory_limit / MEGABYTE:.0f}"
            for r in self.members
            if r.highest_memory > r.memory_limit
        ]
        return self.faults + crashed + over
