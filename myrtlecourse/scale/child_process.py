"""A process of a run, which exchanges messages with its parent over a pipe.

The child sends `ready`, then messages about its work, and finally `ended`. It has a session of its own, so
that Ctrl-C only reaches the parent. It recognizes by the end of the pipe that the parent is gone.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

BEGIN = "begin"
END = "end"


class ChildProcess:
    """The parent's view of one child process."""

    def __init__(self, name: str, log: Path, role: Callable[..., None], *arguments: Any) -> None:
        """Start the process, which calls `role`, a function of a module, with the arguments and the pipe.

        The child's standard error goes to the log, so that the parent can print a single clear error.
        """
        self.name = name
        self.connection, child_end = multiprocessing.Pipe()
        with child_end, log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-c", f"from {__name__} import run_child; run_child({child_end.fileno()})"],
                pass_fds=(child_end.fileno(),),
                stdin=subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,
            )
        self.send((role, arguments))
        self.ended = False  # has ended as planned

    def has_died(self) -> bool:
        """Return whether the process has ended unexpectedly and all its messages have been read."""
        if self.ended or self.process.poll() is None:
            return False
        return self.connection.closed or not self.connection.poll()

    def send(self, message: Any) -> None:
        """Send an object to the process. A process that is gone is noticed when its messages are read."""
        with suppress(BrokenPipeError, ConnectionResetError):
            self.connection.send(message)

    def kill(self) -> None:
        """Kill the process; this does not count as a failure."""
        self.ended = True
        self.process.kill()
        self.process.wait()
        self.connection.close()


def run_child(descriptor: int) -> None:
    """Run the child's side of the protocol, from the first message to the end of the process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    # Subprocesses must not inherit the pipe: the parent would not notice this process's end while a router
    # that it has started still holds the pipe open.
    os.set_inheritable(descriptor, False)
    connection: Connection = Connection(descriptor)
    try:
        role, arguments = connection.recv()
        role(*arguments, connection)
    except EOFError:
        return  # the parent is gone
    except Exception as e:
        with suppress(BrokenPipeError):
            connection.send(("fault", f"{type(e).__name__}: {e}"))


async def wait_for_end(connection: Connection, begin: Callable[[], None]) -> None:
    """Wait for the message to end, or for the end of the pipe; call `begin` on the message to begin."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()

    def read_message() -> None:
        try:
            message = connection.recv()
        except (EOFError, ConnectionResetError):
            message = END
        if message == BEGIN:
            begin()
        else:
            loop.remove_reader(connection.fileno())
            ended.set()

    loop.add_reader(connection.fileno(), read_message)
    await ended.wait()
