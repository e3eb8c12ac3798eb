"""The preload library that makes system calls of routers fail: compiled when wanted, loaded by a command."""

from __future__ import annotations

import shlex
import shutil
import subprocess
from pathlib import Path

from myrtlecourse.soak.draw import SystemFaults

SOURCE = Path(__file__).with_name("system_faults.c")
COMPILE_TIME = 60.0  # seconds
STARTED = 1.0  # seconds of a process's life in which no call fails: the start itself is not the subject


class LibraryError(RuntimeError):
    """The library can't be made; the message says why."""


def compiled(folder: Path) -> Path:
    """The library, compiled into a folder.

    Raises:
        LibraryError: there is no C compiler, or it refused the source.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise LibraryError("no C compiler is installed")
    library = folder / "system_faults.so"
    command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=COMPILE_TIME, check=False)
    if done.returncode:
        raise LibraryError(f"{compiler}: {done.stderr.strip()[-500:]}")
    return library


def loaded(command: str, library: Path, faults: SystemFaults, seed: int) -> str:
    """A command whose process has the library loaded."""
    steps = ",".join(f"{at:.3f}:{seconds:.3f}" for at, seconds in faults.steps)
    variables = [
        f"LD_PRELOAD={library}",
        f"SOAK_SEED={seed}",
        f"SOAK_PER_MILLION={faults.per_million}",
        f"SOAK_AFTER={STARTED}",
        f"SOAK_STEPS={steps}",
    ]
    return shlex.join(["env", *variables]) + " " + command
