"""Compiles and loads the preload library that makes system calls of routers fail."""

from __future__ import annotations

import shlex
import shutil
import subprocess
from pathlib import Path

from myrtlecourse.soak.cases import SystemFaults

SOURCE = Path(__file__).with_name("system_faults.c")
COMPILE_TIMEOUT = 60.0  # seconds
# seconds after the start of a process in which no call fails, as the start itself is not tested
START_TIME = 1.0


class LibraryError(RuntimeError):
    """The library can't be compiled; the message says why."""


def compile_library(folder: Path) -> Path:
    """Compile the library into a folder and return its path.

    Raises:
        LibraryError: there is no C compiler, or it reports an error.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise LibraryError("no C compiler is installed")
    library = folder / "system_faults.so"
    command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=COMPILE_TIMEOUT, check=False)
    if result.returncode:
        raise LibraryError(f"{compiler}: {result.stderr.strip()[-500:]}")
    return library


def with_library(command: str, library: Path, faults: SystemFaults, seed: int) -> str:
    """Return a shell command that runs `command` with the library loaded."""
    steps = ",".join(f"{at:.3f}:{seconds:.3f}" for at, seconds in faults.steps)
    variables = [
        f"LD_PRELOAD={library}",
        f"SOAK_SEED={seed}",
        f"SOAK_PER_MILLION={faults.per_million}",
        f"SOAK_AFTER={START_TIME}",
        f"SOAK_STEPS={steps}",
    ]
    return shlex.join(["env", *variables]) + " " + command
