"""A process of a run: told what to do over a pipe, it says `ready`, what it does, and at last `ended`.

It has a session of its own, so that Ctrl-C reaches only whoever started the run; the end of the pipe tells
it that that one is gone.
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
    """One such process, seen by whoever started it."""

    def __init__(self, name: str, log: Path, role: Callable[..., None], *arguments: Any) -> None:
        """Start it: `role`, a function of a module, is called there with the arguments and the pipe.

        What Python says of its end goes to the log, so that whoever started the run reads one clear error.
        """
        self.name = name
        self.connection, theirs = multiprocessing.Pipe()
        with theirs, log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-c", f"from {__name__} import run_child; run_child({theirs.fileno()})"],
                pass_fds=(theirs.fileno(),),
                stdin=subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,
            )
        self.send((role, arguments))
        self.ended = False  # as it was to

    def has_died(self) -> bool:
        """Whether it has ended before its time, and all that it said is read."""
        if self.ended or self.process.poll() is None:
            return False
        return self.connection.closed or not self.connection.poll()

    def send(self, word: Any) -> None:
        """Say something to it; one that is gone is noticed by the end of its words."""
        with suppress(BrokenPipeError, ConnectionResetError):
            self.connection.send(word)

    def kill(self) -> None:
        """Kill it, which is no fault."""
        self.ended = True
        self.process.kill()
        self.process.wait()
        self.connection.close()


def run_child(descriptor: int) -> None:
    """The whole of such a process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    # guards whoever hears this process: the pipe would not end with it while a router of its own has it too
    os.set_inheritable(descriptor, False)
    words: Connection = Connection(descriptor)
    try:
        role, arguments = words.recv()
        role(*arguments, words)
    except EOFError:
        return  # whoever started the run is gone
    except Exception as e:
        with suppress(BrokenPipeError):
            words.send(("fault", f"{type(e).__name__}: {e}"))


async def wait_for_end(words: Connection, begin: Callable[[], None]) -> None:
    """Wait until it is told to end, or nobody is there to tell; `begin` is called when that is told."""
    loop, over = asyncio.get_running_loop(), asyncio.Event()

    def hear() -> None:
        try:
            word = words.recv()
        except (EOFError, ConnectionResetError):
            word = END
        if word == BEGIN:
            begin()
        else:
            loop.remove_reader(words.fileno())
            over.set()

    loop.add_reader(words.fileno(), hear)
    await over.wait()
