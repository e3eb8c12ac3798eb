"""Names the folder of the compiled modules by a hash of all inputs of the compilation.

With another source, compiler or interpreter the folder has another name, so a stale result is never used.
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
OUTPUT = ROOT / "build" / "compiled"
# modules that a router never imports, and whose libraries are not installed with it
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
    """Return the source files of the router, sorted."""
    tools = [PACKAGE / name for name in TOOLS]
    return sorted(f for f in PACKAGE.rglob("*.py") if not any(f.is_relative_to(t) for t in tools))


def folder() -> Path:
    """Return the folder for the package compiled from the current sources; it may not exist."""
    inputs = hashlib.sha256()
    tags = (sys.implementation.cache_tag, platform.machine(), sysconfig.get_config_var("EXT_SUFFIX") or "")
    inputs.update("\0".join(tags).encode())
    for file in (BUILDER, Path(__file__).with_name("build.py"), *sources()):
        text = file.read_bytes()
        inputs.update(f"\0{file.relative_to(ROOT)}\0{len(text)}\0".encode() + text)
    return OUTPUT / inputs.hexdigest()[:32]


if __name__ == "__main__":
    print(folder())
