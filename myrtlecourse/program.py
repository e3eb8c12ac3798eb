"""Runs a router's process: reads its configuration, and sets up its log and event loop."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys

from myrtlecourse import policy
from myrtlecourse.config import Config, ConfigError, read_config, read_file
from myrtlecourse.net.process_memory import Allocator
from myrtlecourse.service import Service, inherited_socket, shared_folder

try:
    from uvloop import new_event_loop
except ImportError:  # uvloop is optional; Python's own event loop does
    from asyncio import new_event_loop  # type: ignore[assignment]


async def serve(config: Config, path: str, inherited: int | None) -> None:
    """Serve clients until SIGTERM. Raises ConfigError."""
    # orders arrive only at the operators' address, so without one there are none to store
    folder = shared_folder() if config.ops is not None else None
    await Service(config, path, inherited, folder).run()


def main() -> int:
    """Run one router and return its exit code."""
    # the objects of a request are freed by reference counting, so the search for cycles may run less often:
    # it used a tenth of a core
    gc.set_threshold(10_000, 10, 10)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG", "")
    Allocator().prefer_returning()
    try:
        config = read_config(read_file(path))
        inherited = inherited_socket()
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            form = "from its sources" if str(policy.__file__).endswith(".py") else "compiled"
            loop = type(runner.get_loop()).__module__.partition(".")[0]
            logging.info("running %s, on the event loop of %s", form, loop)
            runner.run(serve(config, path, inherited))
    except ConfigError as e:
        print(f"myrtlecourse: {e}", file=sys.stderr)
        return 2
    return 0
