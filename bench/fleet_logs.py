"""Counts what many routers log, second by second over the whole fleet.

Each `*.log` in a folder belongs to one router; a line begins with the seconds since its start. Lines that
only differ in numbers are of one kind. A message that each router logs rarely can still show a herd here,
when many routers log it in the same second.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

LINE = re.compile(r"(\d+\.\d+) .*? (?:DEBUG|INFO|WARNING|ERROR|CRITICAL) (.*)")
VARIABLE_PART = re.compile(r"\d[\d.:]*")
# kinds of lines that are counted separately; all others are counted as one kind, which bounds the memory
MAX_KINDS = 1000
OTHER_KINDS = "(other kinds)"


def count_lines(logs: Iterable[tuple[str, Iterable[str]]]) -> dict[str, dict[int, tuple[int, int]]]:
    """Count the lines and routers of each kind and second, from the name and lines of each router's log.

    Lines without the usual prefix are skipped.
    """
    lines: dict[str, Counter[int]] = defaultdict(Counter)
    routers: dict[str, dict[int, set[str]]] = defaultdict(lambda: defaultdict(set))
    for router, log in logs:
        for line in log:
            if (match := LINE.match(line)) is None:
                continue
            kind = VARIABLE_PART.sub("#", match[2])[:100]
            if kind not in lines and len(lines) >= MAX_KINDS:
                kind = OTHER_KINDS
            second = int(float(match[1]))
            lines[kind][second] += 1
            routers[kind][second].add(router)
    return {
        kind: {s: (n, len(routers[kind][s])) for s, n in sorted(at.items())} for kind, at in lines.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path, help="folder with one log per router")
    parser.add_argument(
        "--least", type=int, default=2, help="minimum number of routers in one second for a row (2)"
    )
    options = parser.parse_args()
    files = sorted(options.folder.glob("*.log"))
    if not files:
        print(f"fleet_logs: {options.folder} contains no *.log", file=sys.stderr)
        return 2
    logs = ((f.stem, f.open(encoding="utf-8", errors="replace")) for f in files)
    print(f"{'second':>6} {'lines':>6} {'routers':>7} of {len(files)}")
    for kind, at in sorted(count_lines(logs).items(), key=lambda row: -sum(n for n, _ in row[1].values())):
        print(kind)
        for second, (lines, routers) in at.items():
            if routers >= options.least:
                print(f"{second:6} {lines:6} {routers:7}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
