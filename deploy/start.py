"""Starts the router from the compiled form of its current sources if it exists, else from the sources."""

from __future__ import annotations

import sys

import compiled

target = compiled.folder()
sys.path[0] = str(target if target.exists() else compiled.ROOT)

from myrtlecourse.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
