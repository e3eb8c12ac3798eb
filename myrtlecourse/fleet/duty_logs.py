"""Reads the logs of routers and of their duties' commands as observations for the auditor."""

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
    """Return the command of a duty's steps: it appends the time, the step and the fencing token to a file."""
    line = f'read -r at _ </proc/uptime; echo "$at {duty} {router} $2 $3" >>{folder / STEPS_FILE}'
    return "/bin/sh", "-c", line, "sh"


def read_observations(folder: Path) -> list[seen.Observation]:
    """Return all observations in the order of their times."""
    observations: list[seen.Observation] = []
    for log in folder.glob("router-*.log"):
        text, router = log.read_text(), log.stem
        observations += [
            seen.FollowsHolder(float(at), router, duty, int(token))
            for duty, token, at in FOLLOWS_LINE.findall(text)
        ]
        observations += [
            seen.FollowsNobody(float(at), router, duty) for duty, at in NO_HOLDER_LINE.findall(text)
        ]
        observations += [
            seen.HoldsDuty(float(at), router, duty, int(token)) for duty, token, at in HELD_LINE.findall(text)
        ]
        observations += [seen.HoldsDuty(float(at), router, duty, 0) for duty, at in LOST_LINE.findall(text)]
    steps = folder / STEPS_FILE
    for line in steps.read_text().splitlines() if steps.exists() else []:
        at, duty, router, step, token = line.split()
        observations.append(seen.StepDone(float(at), router, duty, int(step), int(token)))
    # Of two observations of the same time, the end of following a holder comes first.
    return sorted(observations, key=lambda o: (o.at, not isinstance(o, seen.FollowsNobody)))


def holder_of(folder: Path, duty: str) -> str:
    """Return the current holder of a duty according to the routers' logs; empty if there is none."""
    holder = ""
    for observation in read_observations(folder):
        if isinstance(observation, seen.HoldsDuty) and observation.duty == duty:
            if observation.token:
                holder = observation.router
            elif holder == observation.router:
                holder = ""
    return holder
