"""Prepares a router's folder: its virtual environment and, where a C compiler is, its modules compiled.

Run from anywhere with the system's Python. What is up to date is left as it is. A module that can't be
compiled ends the build well all the same: the router then runs from its sources, and says so in its log.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import compiled

VENV = compiled.ROOT / ".venv"
PYTHON = VENV / "bin" / "python"
# run once, for another host, or round a library that gives other types than it declares: nothing to gain
PLAIN = (
    "__main__.py",
    "config.py",
    "beyond.py",
    "service.py",
    "reload_signal.py",
    "wirehost.py",
    "net/http.py",
    "net/discovery.py",
    "ops/calls.py",
    "ops/server.py",
    "operators.py",
    "checked.py",
    "duties/codec.py",
    "duties/core.py",
    "duties/driver.py",
    "duties/holding.py",
    "duties/member.py",
    "duties/memory.py",
    "duties/message_log.py",
    "duties/messages.py",
    "duties/setup.py",
    "duties/steps.py",
    "duties/command_work.py",
    "address/duty.py",
    "address/keeper.py",
    "address/link.py",
    "address/setup.py",
    "address/votes.py",
    "address/codec.py",
    "peers/peer_socket.py",
    "peers/gossip.py",
    "peers/records.py",
    "peers/seal.py",
    "peers/gossip_socket.py",
    "peers/wire.py",
    "spread/applied_file.py",
    "spread/applied_ranges.py",
    "spread/change_table.py",
    "spread/children.py",
    "spread/codec.py",
    "spread/driver.py",
    "spread/leader.py",
    "spread/log_duty.py",
    "spread/log_file.py",
    "spread/log_suffix.py",
    "spread/messages.py",
    "spread/node.py",
    "spread/parent.py",
    "spread/repair.py",
    "spread/replica.py",
    "spread/replica_events.py",
    "spread/retransmission.py",
    "spread/send_window.py",
    "spread/setup.py",
    "spread/tree.py",
    "zones/agent.py",
    "zones/core.py",
    "zones/tallies.py",
    "zones/pace.py",
    "zones/returns.py",
    "zones/setup.py",
    "zones/tiers.py",
    "zones/exit_rule.py",
    "election/core.py",
)
SCRIPT = """
import sys
from mypyc.build import mypycify
from setuptools import setup
made, *modules = sys.argv[1:]
setup(name="compiled", ext_modules=mypycify(modules), script_args=["build_ext", "--build-lib", made])
"""


def install(requirements: str) -> None:
    """Install what a file lists, unless just that has been."""
    file = compiled.ROOT / requirements
    stamp = VENV / f".{requirements}.sha256"
    digest = hashlib.sha256(file.read_bytes()).hexdigest()
    if not stamp.exists() or stamp.read_text() != digest:
        pip = [PYTHON, "-m", "pip", "-q", "--disable-pip-version-check", "install", "-r", file]
        subprocess.run(pip, check=True)
        stamp.write_text(digest)


def compile_package(target: Path) -> None:
    """Compile into a folder beside the target and rename it: one that was cut short is never taken."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as scratch:
        copy, made = Path(scratch, "source"), Path(scratch, "made")
        unwanted = shutil.ignore_patterns("__pycache__", *compiled.TOOLS)
        shutil.copytree(compiled.PACKAGE, copy / compiled.PACKAGE.name, ignore=unwanted)
        for file in ("pyproject.toml", "README.md"):  # the checker's settings, and what they name
            shutil.copy(compiled.ROOT / file, copy)
        plain = {compiled.PACKAGE / name for name in PLAIN}
        modules = [str(f.relative_to(compiled.ROOT)) for f in compiled.sources() if f not in plain]
        subprocess.run(
            [PYTHON, "-c", SCRIPT, made, *modules],
            cwd=copy,
            check=True,
            stdout=subprocess.DEVNULL,
            env=os.environ | {"MYPYC_OPT_LEVEL": "2"},
        )
        for name in PLAIN:
            shutil.copy(compiled.PACKAGE / name, made / compiled.PACKAGE.name / name)
        made.rename(target)


def main() -> None:
    if not PYTHON.exists():
        subprocess.run([sys.executable, "-m", "venv", VENV], check=True)
    install("requirements.txt")
    target = compiled.folder()
    if target.exists():
        return
    try:
        install("requirements-build.txt")
        compile_package(target)
    except (subprocess.CalledProcessError, OSError) as e:
        print(f"not compiled, the router will run from its sources: {e}", file=sys.stderr)
        return
    for old in target.parent.iterdir():
        if old != target:
            shutil.rmtree(old, ignore_errors=True)


if __name__ == "__main__":
    main()
