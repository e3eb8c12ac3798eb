"""Where the compiled form of the sources lies: under a name made of all that it was made from.

So it can't be stale: a source, compiler or interpreter that differs names another folder, which is not there.
"""

from __future__ import annotations

import hashlib
import platform
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "myrtlecourse"
BUILDER = ROOT / "requirements-build.txt"
KEPT = ROOT / "build" / "compiled"
# that a router never imports, and whose libraries it does not install
TOOLS = (
    "address/commands.py",
    "audit",
    "cli.py",
    "duties/commands.py",
    "expect",
    "experiment",
    "fleet",
    "load",
    "scale",
    "sim",
    "soak",
    "spread/commands.py",
    "zones/commands.py",
)


def sources() -> list[Path]:
    """The router's files, in a steady order."""
    tools = [PACKAGE / name for name in TOOLS]
    return sorted(f for f in PACKAGE.rglob("*.py") if not any(f.is_relative_to(t) for t in tools))


def folder() -> Path:
    """The folder that holds the package as compiled from the sources as they are, if it is there."""
    made_from = hashlib.sha256()
    machine = (sys.implementation.cache_tag, platform.machine(), sysconfig.get_config_var("EXT_SUFFIX") or "")
    made_from.update("\0".join(machine).encode())
    for file in (BUILDER, Path(__file__).with_name("build.py"), *sources()):
        text = file.read_bytes()
        made_from.update(f"\0{file.relative_to(ROOT)}\0{len(text)}\0".encode() + text)
    return KEPT / made_from.hexdigest()[:32]


if __name__ == "__main__":
    print(folder())
