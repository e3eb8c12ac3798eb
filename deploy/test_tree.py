"""Makes the folder against which tests of the compiled form run, and prints its name.

It has the compiled package as it is deployed, and the sources of the tools, which are not compiled but used
by tests. Child processes find the package there as well if `PYTHONPATH` names the folder.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import compiled


def make(target: Path) -> None:
    """Make the folder anew.

    Raises:
        FileNotFoundError: the package was not compiled.
    """
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(compiled.folder(), target)
    for name in compiled.TOOLS:
        source, copy = compiled.PACKAGE / name, target / compiled.PACKAGE.name / name
        if source.is_dir():
            shutil.copytree(source, copy, ignore=shutil.ignore_patterns("__pycache__"), dirs_exist_ok=True)
        else:
            shutil.copy(source, copy)


if __name__ == "__main__":
    folder = compiled.ROOT / "build" / "compiled-tests"
    make(folder)
    print(folder)
