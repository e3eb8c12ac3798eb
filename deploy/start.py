"""Starts the router from the compiled form of its current sources if it exists, else from the sources."""

from __future__ import annotations

import os
import signal
import sys

for each in (signal.SIGTERM, signal.SIGINT):  # a router that is told to end before it begins owes nothing
    signal.signal(each, lambda *_: os._exit(0))

import compiled  # noqa: E402

target = compiled.folder()
sys.path[0] = str(target if target.exists() else compiled.ROOT)

from myrtlecourse.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
