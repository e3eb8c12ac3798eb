"""`myrtlecourse search-duties`: runs elections and duties under random faults, or explores all small
schedules."""

from __future__ import annotations

import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from myrtlecourse.duties.messages import Duty, Settings
from myrtlecourse.load.commands import write_json
from myrtlecourse.sim import election
from myrtlecourse.sim.duties import DutySimulation, RuleViolation, end_faults, run_random_faults
from myrtlecourse.sim.exhaust import explore

EXIT_VIOLATION = 1  # exit code if a rule was violated
NAMES = ("a", "b", "c", "d", "e")
VOTERS = NAMES[:3]
DUTIES = (Duty("x"), Duty("y", ("d", "a")), Duty("z", orders=False))
FAULT_SECONDS = 30.0  # virtual seconds of a random schedule


def small_settings() -> Settings:
    """Return the settings of three voters and two duties, each with two of the voters as candidates."""
    duties = (Duty("x", ("a", "b"), good_for=1.0), Duty("y", ("b", "a"), good_for=1.0))
    times = {"heartbeat": 0.5, "lease": 1.6, "settle": 0.0, "unheard": 2.0, "brake": 2.0}
    return Settings("a", VOTERS, VOTERS, duties, **times)


def random_duties(seed: int, disks: bool) -> str:
    """Run one random schedule of faults on duties; return the violation, or an empty string."""
    simulation = DutySimulation(NAMES, seed, DUTIES, VOTERS, disks=disks)
    try:
        run_random_faults(simulation, FAULT_SECONDS)
        end_faults(simulation)
        settings = simulation.settings("a")
        bound = 3 * settings.lease + settings.settle + max(settings.longest_vacancy(d) for d in DUTIES)
        if simulation.run_until_held(bound) is None:
            return f"a duty without a holder {bound:.1f} s after the last fault"
    except RuleViolation as e:
        return str(e)
    return ""


def random_election(seed: int, disks: bool) -> str:
    """Run one random schedule of faults on an election; return the violation, or an empty string."""
    simulation = election.ElectionSimulation(VOTERS if seed % 2 else NAMES, seed, disks=disks)
    try:
        election.run_random_faults(simulation, FAULT_SECONDS)
    except AssertionError as e:
        return str(e)
    return ""


@click.command("search-duties")
@click.option(
    "--seconds", type=click.FloatRange(0.0), default=60.0, show_default=True, help="duration of the search"
)
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="seed of the first schedule"
)
@click.option("--elections", is_flag=True, help="search elections of the service address in place of duties")
@click.option(
    "--all",
    "troubles",
    type=click.IntRange(1, 4),
    help="explore all schedules of a small fleet with so many faults",
)
@click.option(
    "--first",
    type=click.IntRange(1),
    default=60,
    show_default=True,
    help="step before which these faults happen",
)
@click.option(
    "--skip",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="steps to run before the first of them",
)
@click.option("--disks/--no-disks", default=True, help="whether processes keep their memory over a restart")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the result to this file")
def search_duties(
    seconds: float,
    seed: int,
    elections: bool,
    troubles: int | None,
    first: int,
    skip: int,
    disks: bool,
    json_file: Path | None,
) -> None:
    """Look for a schedule in which two holders are obeyed, a step is done twice or forgotten, or a duty has
    no holder.

    \b
    myrtlecourse search-duties --seconds 600
    myrtlecourse search-duties --elections --no-disks
    myrtlecourse search-duties --all 2 --first 24

    Exit code 0 if nothing was found, 1 if a rule was violated. The seed or the steps that are printed
    reproduce the violation.
    """
    result: dict[str, Any]
    if troubles is not None:
        found = explore(
            small_settings(), disks=disks, deviations=troubles, deviations_before=first, skip=skip
        )
        result = asdict(found)
        click.echo(
            f"{found.states:,} states, {found.schedules:,} schedules; "
            + (found.broken or "no violation found")
        )
        for step in found.path:
            click.echo(f"  before step {step[0]}: {' '.join(map(str, step[1:]))}")
        broken = bool(found.broken)
    else:
        until, schedule_count, violation = time.monotonic() + seconds, 0, ""
        run_schedule = random_election if elections else random_duties
        while time.monotonic() < until and not violation:
            violation = run_schedule(seed + schedule_count, disks)
            schedule_count += 1
        result = {
            "schedules": schedule_count,
            "broken": violation,
            "seed": seed + schedule_count - 1 if violation else None,
        }
        click.echo(
            f"{schedule_count:,} schedules; "
            + (f"{violation}, by --seed {seed + schedule_count - 1}" if violation else "no violation found")
        )
        broken = bool(violation)
    if json_file is not None:
        write_json(json_file, result)
    sys.exit(EXIT_VIOLATION if broken else 0)
