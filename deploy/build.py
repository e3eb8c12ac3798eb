"""Prepares a router's folder: its virtual environment and, if there is a C compiler, its compiled modules.

Run from any folder with the system's Python. Steps that are up to date are skipped. A failed compilation does
not fail the build: the router then runs from its sources, and reports that in its log.
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
# not compiled, as nothing would be gained: modules that run rarely, serve another host, or use a library that
# returns other types than it declares
UNCOMPILED = (
    "__init__.py",
    "__main__.py",
    "config.py",
    "subsystems.py",
    "service.py",
    "early_signals.py",
    "program.py",
    "wirehost.py",
    "net/http.py",
    "net/discovery.py",
    "ops/calls.py",
    "ops/server.py",
    "operators.py",
    "durable_files.py",
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
    "address/driver.py",
    "address/link.py",
    "address/setup.py",
    "address/votes.py",
    "address/codec.py",
    "election/schema.py",
    "peers/message_schema.py",
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
    "spread/retransmit_queue.py",
    "spread/replica.py",
    "spread/replica_events.py",
    "spread/retransmit_requests.py",
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
output, *modules = sys.argv[1:]
setup(name="compiled", ext_modules=mypycify(modules), script_args=["build_ext", "--build-lib", output])
"""


def install(requirements: str) -> None:
    """Install the packages that a file lists, unless they were already installed from the same contents."""
    file = compiled.ROOT / requirements
    stamp = VENV / f".{requirements}.sha256"
    digest = hashlib.sha256(file.read_bytes()).hexdigest()
    if not stamp.exists() or stamp.read_text() != digest:
        pip = [PYTHON, "-m", "pip", "-q", "--disable-pip-version-check", "install", "-r", file]
        subprocess.run(pip, check=True)
        stamp.write_text(digest)


def compile_package(target: Path) -> None:
    """Compile into a folder beside the target and rename it, so that an interrupted build is never used."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as scratch:
        copy, output = Path(scratch, "source"), Path(scratch, "made")
        unwanted = shutil.ignore_patterns("__pycache__", *compiled.TOOLS)
        shutil.copytree(compiled.PACKAGE, copy / compiled.PACKAGE.name, ignore=unwanted)
        for file in (
            "pyproject.toml",
            "README.md",
        ):  # the type checker's settings are in the first, which names the second
            shutil.copy(compiled.ROOT / file, copy)
        uncompiled = {compiled.PACKAGE / name for name in UNCOMPILED}
        modules = [str(f.relative_to(compiled.ROOT)) for f in compiled.sources() if f not in uncompiled]
        subprocess.run(
            [PYTHON, "-c", SCRIPT, output, *modules],
            cwd=copy,
            check=True,
            stdout=subprocess.DEVNULL,
            env=os.environ | {"MYPYC_OPT_LEVEL": "2"},
        )
        for name in UNCOMPILED:
            shutil.copy(copy / compiled.PACKAGE.name / name, output / compiled.PACKAGE.name / name)
        output.rename(target)


def main() -> None:
    if not PYTHON.exists():
        subprocess.run([sys.executable, "-m", "venv", VENV], check=True)
    install("requirements.txt")
    try:
        install("requirements-fleet.txt")
    except subprocess.CalledProcessError as e:
        print(f"the router will start without an operators' file only: {e}", file=sys.stderr)
    target = compiled.folder()
    if target.exists():
        return
    try:
        install("requirements-build.txt")
        compile_package(target)
    except (subprocess.CalledProcessError, OSError) as e:
        print(f"compilation failed, the router will run from its sources: {e}", file=sys.stderr)
        return
    for old in target.parent.iterdir():
        if old != target:
            shutil.rmtree(old, ignore_errors=True)


if __name__ == "__main__":
    main()
