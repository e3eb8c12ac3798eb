"""Each module that the build compiles is one that tests import, so that `make test-compiled` plays it."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
IMPORT_FROM = re.compile(r"^ *from (myrtlecourse[\w.]*) import (\([^)]*\)|[^\n]*)", re.MULTILINE)
IMPORT = re.compile(r"^ *import (myrtlecourse[\w.]*)", re.MULTILINE)
LIST = "import build; print(*(f.relative_to(build.compiled.ROOT) for f in build.compiled.sources()))"


def module_name(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(file: Path) -> set[str]:
    """Return the names of what a file imports; a name may be a module or something in one.

    Read by patterns, not by `ast`: Python 3.11's fails at times where garbage is collected meanwhile.
    """
    names: set[str] = set()
    for module, listed in IMPORT_FROM.findall(file.read_text()):
        names |= {module, *(f"{module}.{name}" for name in re.findall(r"\w+", listed))}
    return names | set(IMPORT.findall(file.read_text()))


# Guards against modules that ship compiled and that no test plays in that form.
@pytest.mark.processes
def test_every_module_of_the_build_is_imported_by_a_test() -> None:
    listed = subprocess.run(
        [sys.executable, "-c", LIST], cwd=ROOT / "deploy", capture_output=True, text=True, check=True
    ).stdout
    built = {module_name(ROOT / name): ROOT / name for name in listed.split()}
    pending = {name for file in (ROOT / "tests").glob("*.py") for name in imported(file)}
    reached: set[str] = set()
    while pending:
        name = pending.pop()
        if name in built and name not in reached:
            reached.add(name)
            pending |= imported(built[name]) - reached
    packages = {name for name, file in built.items() if file.name == "__init__.py"}
    assert not sorted(built.keys() - reached - packages)
