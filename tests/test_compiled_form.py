"""Each module that the build compiles is one that tests import, so that `make test-compiled` plays it."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = "import build; print(*(f.relative_to(build.compiled.ROOT) for f in build.compiled.sources()))"


def module_name(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(file: Path) -> set[str]:
    """Return the names of what a file imports; a name may be a module or something in one."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
    return names


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
