"""The command `myrtlecourse scale`."""

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
from myrtlecourse.scale.guard import MB, ResourceLimitError, ResourceLimits
from myrtlecourse.scale.plan import Plan, make_plan
from myrtlecourse.scale.run import Run, RunStatus, ScaleError
from myrtlecourse.scale.run_results import Results
from myrtlecourse.scale.scenario import ScenarioError, read_scenario

PROGRESS_INTERVAL = 5.0  # seconds between two progress lines


@click.group()
def scale() -> None:
    """Measure what a member of a large fleet costs, with hollow members beside real routers."""


register(scale)


def show_plan(run_plan: Plan, limits: ResourceLimits, console: Console) -> None:
    """Print what a run would start."""
    table = Table(title="Processes to start")
    for name in ("processes of", "processes", "members", "memory, MB", "sockets of one, at most"):
        table.add_column(name, justify="left" if name == "processes of" else "right")
    for group in run_plan.groups:
        counts = (group.processes, group.members, round(group.memory / MB), group.sockets)
        table.add_row(group.name, *(f"{count:,}" for count in counts))
    console.print(table)
    console.print(
        f"{run_plan.processes} processes (limit {limits.processes}), {run_plan.memory / MB:,.0f} MB expected "
        f"(limit {limits.memory / MB:,.0f} MB)",
        highlight=False,
    )


def show_results(results: Results, console: Console) -> None:
    """Print the results of a run."""
    table = Table(title=f"One member, over {results.seconds:.1f} s")
    table.add_column("")
    for role in results.roles:
        table.add_column(role, justify="right")
    roles = results.roles.values()

    def row(name: str, texts: list[str]) -> None:
        table.add_row(name, *texts)

    row("members", [f"{r.members:,}" for r in roles])
    row("of a core", [f"{100 * r.cpu_per_member_second:.2f}%" for r in roles])
    row("memory, MB", [f"{r.memory_mb:.2f}" for r in roles])
    row(
        "list, bytes/s in, out",
        [f"{r.list_bytes_in_per_s:,.0f}, {r.list_bytes_out_per_s:,.0f}" for r in roles],
    )
    row("datagrams/s in, out", [_pair(r.datagrams_in_per_s, r.datagrams_out_per_s) for r in roles])
    row(
        "their bytes/s in, out", [_pair(r.datagram_bytes_in_per_s, r.datagram_bytes_out_per_s) for r in roles]
    )
    row("list calls, all", [f"{r.list_calls:,}" for r in roles])
    console.print(table)
    times = results.roles["hollow"].in_force
    if times is not None and times.p50_s is not None:
        console.print(
            f"{times.changes} changes of the list in force at {times.members:,} hollow members: "
            f"p50 {times.p50_s:.3f} s, p99 {times.p99_s:.3f} s, last {times.last_s:.3f} s; "
            f"{times.missing:,} not in force by the end",
            highlight=False,
        )
    machine = results.machine
    console.print(
        f"calibration loop {1000 * machine.calibration.unit_s:.1f} ms; other processes used "
        f"{machine.others_share:.0%} of the machine"
        f"{', which marks the run as shared' if machine.shared else ''}; at most "
        f"{results.most_memory_mb:,.0f} MB in {results.most_processes} processes; the busiest process of "
        f"hollow members used {results.busiest_hollow_process:.0%} of a core",
        highlight=False,
    )
    for name in results.killed:
        console.print(f"killed by the scenario: {name}", highlight=False)


def _pair(first: float | None, second: float | None) -> str:
    return "not measured" if first is None or second is None else f"{first:,.1f}, {second:,.1f}"


class Progress:
    """Prints progress at intervals, and whenever the run enters another phase."""

    def __init__(self, console: Console, quiet: bool, seconds: float) -> None:
        self.console = console
        self.quiet = quiet
        self.seconds = seconds
        self.printed_at = -PROGRESS_INTERVAL
        self.phase = ""

    def __call__(self, status: RunStatus) -> None:
        if self.quiet or (
            status.phase == self.phase and time.monotonic() - self.printed_at < PROGRESS_INTERVAL
        ):
            return
        self.printed_at, self.phase = time.monotonic(), status.phase
        text = f"{status.memory / MB:,.0f} MB in {status.processes} processes"
        if status.counts:
            text += "".join(
                f", {name} {status.counts.get(name, 0):,}" for name in ("served", "refused", "failed")
            )
        line = f"{status.phase}: {status.elapsed:.0f} of {self.seconds:g} s, {text}"
        self.console.print(line, highlight=False, markup=False, soft_wrap=True)


def check_writable(folder: Path, json_file: Path | None) -> None:
    """Raise OSError if the results could not be written at the end of the run."""
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryFile(dir=folder):
        pass
    if json_file is not None:
        existed = json_file.exists()
        with json_file.open("ab"):
            pass
        if not existed:
            json_file.unlink()


@scale.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--plan", "only_plan", is_flag=True, help="print what would be started, without starting it")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="file for the results")
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="folder for observations, configurations and logs (default: a temporary one, which is printed)",
)
@click.option(
    "--router", "command", default=COMMAND, help="command that starts a real router; it gets RELAY_CONFIG"
)
@click.option(
    "--memory-mb",
    type=click.IntRange(1),
    help="memory limit for all processes; the default and the maximum are half of the machine's memory",
)
@click.option("--quiet", is_flag=True, help="print no progress")
def run_scale(
    scenario: Path,
    only_plan: bool,
    json_file: Path | None,
    folder: Path | None,
    command: str,
    memory_mb: int | None,
    quiet: bool,
) -> None:
    """Run hollow members beside real routers under load, and print what one member costs (docs/scale.md).

    Exit code 0; 1 when a rule was broken, a router ended by itself, or the run did not complete; 2 when it
    could not start.
    """
    console = Console(stderr=True)

    def give_up(reason: object, code: int) -> None:
        console.print(f"myrtlecourse scale: {reason}", markup=False, highlight=False, soft_wrap=True)
        sys.exit(code)

    limits = ResourceLimits.of_machine(None if memory_mb is None else memory_mb * MB)
    try:
        loaded = read_scenario(scenario)
        run_plan = make_plan(loaded)
        if only_plan:
            show_plan(run_plan, limits, Console())
        run_plan.check_limits(limits)
        if only_plan:
            return
        output_folder = folder or Path(tempfile.mkdtemp(prefix="myrtlecourse-"))
        check_writable(output_folder, json_file)
    except (ScenarioError, ResourceLimitError) as e:
        give_up(e, EXIT_UNUSABLE)
    except OSError as e:
        give_up(f"{e.filename}: {e.strerror}", EXIT_UNUSABLE)
    # observations of an earlier run would be audited together with those of this run
    for observations in output_folder.glob("*.jsonl"):
        observations.unlink()
    if folder is None:
        console.print(
            f"observations and logs go to {output_folder}", markup=False, highlight=False, soft_wrap=True
        )
    on_status: Callable[[RunStatus], None] = Progress(console, quiet, loaded.seconds)
    try:
        results = Run(loaded, output_folder, command, limits, on_status).execute()
    except (ScaleError, ResourceLimitError, ObservationError) as e:
        give_up(e, EXIT_RULE_BROKEN)
    results = msgspec.structs.replace(results, command=["myrtlecourse", *sys.argv[1:]])
    show_results(results, Console())
    show_verdict(results.verdict, Console())
    for fault in results.router_faults:
        console.print(fault, markup=False, highlight=False)
    if json_file is not None:
        write_json(json_file, results)
    sys.exit(0 if results.verdict["kept"] and not results.router_faults else EXIT_RULE_BROKEN)
