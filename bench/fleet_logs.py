"""Counts what many routers' logs say, second by second over the whole fleet.

Each `*.log` of a folder is one router's; a line begins with the seconds since its start. Lines that differ in
numbers, quotes and names alone are of one kind. What one router logs now and then shows here as a herd: so
many routers in the same second.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

LINE = re.compile(r"(\d+\.\d+) .*? (?:DEBUG|INFO|WARNING|ERROR|CRITICAL) (.*)")
VARIES = re.compile(r"\d[\d.:]*")
KINDS = 1000  # that are told apart; the rest counts as one, so that a log of noise costs no memory
OTHERS = "(other kinds)"


def count(logs: Iterable[tuple[str, Iterable[str]]]) -> dict[str, dict[int, tuple[int, int]]]:
    """Lines and routers by kind and second, of each router's name and log; other lines are left out."""
    lines: dict[str, Counter[int]] = defaultdict(Counter)
    routers: dict[str, dict[int, set[str]]] = defaultdict(lambda: defaultdict(set))
    for router, log in logs:
        for line in log:
            if (found := LINE.match(line)) is None:
                continue
            kind = VARIES.sub("#", found[2])[:100]
            if kind not in lines and len(lines) >= KINDS:
                kind = OTHERS
            second = int(float(found[1]))
            lines[kind][second] += 1
            routers[kind][second].add(router)
    return {
        kind: {s: (n, len(routers[kind][s])) for s, n in sorted(at.items())} for kind, at in lines.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path, help="the folder that holds the logs, one a router")
    parser.add_argument("--least", type=int, default=2, help="routers in one second for a row (2)")
    options = parser.parse_args()
    files = sorted(options.folder.glob("*.log"))
    if not files:
        print(f"fleet_logs: {options.folder} holds no *.log", file=sys.stderr)
        return 2
    logs = ((f.stem, f.open(encoding="utf-8", errors="replace")) for f in files)
    print(f"{'second':>6} {'lines':>6} {'routers':>7} of {len(files)}")
    for kind, at in sorted(count(logs).items(), key=lambda row: -sum(n for n, _ in row[1].values())):
        print(kind)
        for second, (lines, routers) in at.items():
            if routers >= options.least:
                print(f"{second:6} {lines:6} {routers:7}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
