"""What routers and the commands of their duties have written, as observations for the auditor."""

from __future__ import annotations

import re
from pathlib import Path

from myrtlecourse.audit import observations as seen

FOLLOWS_LINE = re.compile(r" duty (\S+): obeys \S+ under token (\d+) from ([\d.]+)$", re.MULTILINE)
NO_HOLDER_LINE = re.compile(r" duty (\S+): obeys nobody since ([\d.]+)$", re.MULTILINE)
HELD_LINE = re.compile(r" duty (\S+): held here under token (\d+), .* at ([\d.]+)$", re.MULTILINE)
LOST_LINE = re.compile(r" duty (\S+): held here no more: .* at ([\d.]+)$", re.MULTILINE)
STEPS_FILE = "steps.log"


def step_command(folder: Path, duty: str, router: str) -> tuple[str, ...]:
    """A duty's command that writes down when it was run, for which step and under which token."""
    line = f'read -r at _ </proc/uptime; echo "$at {duty} {router} $2 $3" >>{folder / STEPS_FILE}'
    return "/bin/sh", "-c", line, "sh"


def read_observations(folder: Path) -> list[seen.Observation]:
    """All of it, in the order of its times."""
    found: list[seen.Observation] = []
    for log in folder.glob("router-*.log"):
        text, router = log.read_text(), log.stem
        found += [
            seen.FollowsHolder(float(at), router, duty, int(token))
            for duty, token, at in FOLLOWS_LINE.findall(text)
        ]
        found += [seen.FollowsNobody(float(at), router, duty) for duty, at in NO_HOLDER_LINE.findall(text)]
        found += [
            seen.HoldsDuty(float(at), router, duty, int(token)) for duty, token, at in HELD_LINE.findall(text)
        ]
        found += [seen.HoldsDuty(float(at), router, duty, 0) for duty, at in LOST_LINE.findall(text)]
    steps = folder / STEPS_FILE
    for line in steps.read_text().splitlines() if steps.exists() else []:
        at, duty, router, step, token = line.split()
        found.append(seen.StepDone(float(at), router, duty, int(step), int(token)))
    # of one moment: an end comes first
    return sorted(found, key=lambda o: (o.at, not isinstance(o, seen.FollowsNobody)))


def holder_of(folder: Path, duty: str) -> str:
    """Who holds a duty now, as routers' logs have it; empty: nobody."""
    holder = ""
    for what in read_observations(folder):
        if isinstance(what, seen.HoldsDuty) and what.duty == duty:
            if what.token:
                holder = what.router
            elif holder == what.router:
                holder = ""
    return holder
