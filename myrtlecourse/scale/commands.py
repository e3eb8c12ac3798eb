"""`myrtlecourse scale`: its commands and their options."""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from myrtlecourse.audit.observations import ObservationError
from myrtlecourse.fleet.commands import EXIT_RULE_BROKEN, show_verdict
from myrtlecourse.fleet.routers import COMMAND
from myrtlecourse.load.commands import EXIT_UNUSABLE, write_json
from myrtlecourse.scale.capacity_commands import register
from myrtlecourse.scale.figures import Results
from myrtlecourse.scale.guard import MB, Guard, GuardError
from myrtlecourse.scale.plan import Plan, plan
from myrtlecourse.scale.run import Now, Run, ScaleError
from myrtlecourse.scale.scenario import ScenarioError, read_scenario

PAUSE = 5.0  # seconds between two progress lines where no terminal shows them


@click.group()
def scale() -> None:
    """What a member of a large fleet costs, by hollow members beside real routers."""


register(scale)


def show_plan(made: Plan, guard: Guard, console: Console) -> None:
    """Print what would be started."""
    table = Table(title="What is started")
    for name in ("processes of", "processes", "members", "memory, MB", "sockets of one, at most"):
        table.add_column(name, justify="left" if name == "processes of" else "right")
    for part in made.parts:
        counts = (part.processes, part.members, round(part.memory / MB), part.sockets)
        table.add_row(part.what, *(f"{count:,}" for count in counts))
    console.print(table)
    console.print(
        f"{made.processes} processes (bound {guard.processes}), {made.memory / MB:,.0f} MB foretold "
        f"(bound {guard.memory / MB:,.0f} MB)",
        highlight=False,
    )


def show_results(results: Results, console: Console) -> None:
    """Print the figures."""
    table = Table(title=f"One member, over {results.seconds:.1f} s")
    table.add_column("")
    for role in results.roles:
        table.add_column(role, justify="right")
    told = results.roles.values()

    def row(name: str, texts: list[str]) -> None:
        table.add_row(name, *texts)

    row("members", [f"{r.members:,}" for r in told])
    row("of a core", [f"{100 * r.cpu_per_member_second:.2f}%" for r in told])
    row("memory, MB", [f"{r.memory_mb:.2f}" for r in told])
    row(
        "list, bytes/s in, out",
        [f"{r.list_bytes_in_per_s:,.0f}, {r.list_bytes_out_per_s:,.0f}" for r in told],
    )
    row("datagrams/s in, out", [_pair(r.datagrams_in_per_s, r.datagrams_out_per_s) for r in told])
    row("their bytes/s in, out", [_pair(r.datagram_bytes_in_per_s, r.datagram_bytes_out_per_s) for r in told])
    row("list calls, all", [f"{r.list_calls:,}" for r in told])
    console.print(table)
    times = results.roles["hollow"].in_force
    if times is not None and times.p50_s is not None:
        console.print(
            f"{times.changes} changes of the list in force at {times.members:,} hollow members: "
            f"p50 {times.p50_s:.3f} s, p99 {times.p99_s:.3f} s, last {times.last_s:.3f} s; "
            f"{times.missing:,} not by the end",
            highlight=False,
        )
    machine = results.machine
    console.print(
        f"calibration loop {1000 * machine.calibration.unit_s:.1f} ms; others used "
        f"{machine.others_share:.0%} of the machine{': it was shared' if machine.shared else ''}; at most "
        f"{results.most_memory_mb:,.0f} MB in {results.most_processes} processes; the busiest of hollow "
        f"members used {results.busiest_hollow_process:.0%} of a core",
        highlight=False,
    )
    for name in results.killed:
        console.print(f"killed by the scenario: {name}", highlight=False)


def _pair(one: float | None, other: float | None) -> str:
    return "not measured" if one is None or other is None else f"{one:,.1f}, {other:,.1f}"


class Progress:
    """One line that changes in a terminal, elsewhere one every few seconds."""

    def __init__(self, console: Console, quiet: bool, seconds: float) -> None:
        self.console = console
        self.quiet = quiet
        self.seconds = seconds
        self.last = -PAUSE
        self.doing = ""

    def __call__(self, now: Now) -> None:
        if self.quiet or (now.doing == self.doing and time.monotonic() - self.last < PAUSE):
            return
        self.last, self.doing = time.monotonic(), now.doing
        told = f"{now.memory / MB:,.0f} MB in {now.processes} processes"
        if now.counts:
            told += "".join(
                f", {name} {now.counts.get(name, 0):,}" for name in ("served", "refused", "failed")
            )
        line = f"{now.doing}: {now.at:.0f} of {self.seconds:g} s, {told}"
        self.console.print(line, highlight=False, markup=False, soft_wrap=True)


def check_writable(folder: Path, json_file: Path | None) -> None:
    """Raises OSError where results could not be written later."""
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryFile(dir=folder):
        pass
    if json_file is not None:
        there = json_file.exists()
        with json_file.open("ab"):
            pass
        if not there:
            json_file.unlink()


@scale.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--plan", "only_plan", is_flag=True, help="print what would be started, and start nothing")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the results there")
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="for observations, configurations and logs; else a temporary one, told at the start",
)
@click.option("--router", "command", default=COMMAND, help="how to start a real one; it is told RELAY_CONFIG")
@click.option(
    "--memory-mb",
    type=click.IntRange(1),
    help="that all processes may take; at most, and by itself, half of the machine's",
)
@click.option("--quiet", is_flag=True, help="no progress")
def run_scale(
    scenario: Path,
    only_plan: bool,
    json_file: Path | None,
    folder: Path | None,
    command: str,
    memory_mb: int | None,
    quiet: bool,
) -> None:
    """Run hollow members beside real routers under load, and tell what one costs (docs/scale.md).

    Exit code 0; 1 when a rule was broken, a router ended by itself, or the run did not come to its end; 2
    when it could not begin.
    """
    console = Console(stderr=True)

    def give_up(why: object, code: int) -> None:
        console.print(f"myrtlecourse scale: {why}", markup=False, highlight=False, soft_wrap=True)
        sys.exit(code)

    guard = Guard.of_machine(None if memory_mb is None else memory_mb * MB)
    try:
        told = read_scenario(scenario)
        made = plan(told)
        if only_plan:
            show_plan(made, guard, Console())
        made.allow(guard)
        if only_plan:
            return
        where = folder or Path(tempfile.mkdtemp(prefix="myrtlecourse-"))
        check_writable(where, json_file)
    except (ScenarioError, GuardError) as e:
        give_up(e, EXIT_UNUSABLE)
    except OSError as e:
        give_up(f"{e.filename}: {e.strerror}", EXIT_UNUSABLE)
    for old in where.glob("*.jsonl"):  # of an earlier run: they would be judged with this one
        old.unlink()
    if folder is None:
        console.print(f"observations and logs go to {where}", markup=False, highlight=False, soft_wrap=True)
    look_on: Callable[[Now], None] = Progress(console, quiet, told.seconds)
    try:
        results = Run(told, where, command, guard, look_on).play()
    except (ScaleError, GuardError, ObservationError) as e:
        give_up(e, EXIT_RULE_BROKEN)
    results = msgspec.structs.replace(results, command=["myrtlecourse", *sys.argv[1:]])
    show_results(results, Console())
    show_verdict(results.verdict, Console())
    for fault in results.router_faults:
        console.print(fault, markup=False, highlight=False)
    if json_file is not None:
        write_json(json_file, results)
    sys.exit(0 if results.verdict["kept"] and not results.router_faults else EXIT_RULE_BROKEN)
