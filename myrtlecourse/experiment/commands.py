"""`myrtlecourse experiment`: its options, and what it prints."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeRemainingColumn
from rich.table import Table

from myrtlecourse.experiment.analysis import Row, compare, rows
from myrtlecourse.experiment.plan import Plan, PlanError, read_plan
from myrtlecourse.experiment.runs import run_all, runs
from myrtlecourse.experiment.store import Store, StoreError
from myrtlecourse.fleet.scenario import ScenarioError
from myrtlecourse.load.commands import EXIT_UNUSABLE, RunByDefault, write_json
from myrtlecourse.load.profile import ProfileError

SHOWN = ("goodput", "p99_ms", "refused", "fetches", "breaches")


@click.group(cls=RunByDefault)
def experiment() -> None:
    """Try settings in the simulator, over grids or samples, on paired seeds.

    \b
    myrtlecourse experiment limits.toml --workers 4 --html limits.html
    myrtlecourse experiment compare before.sqlite after.sqlite

    Results are kept in a file beside the plan, under the digest of sources and inputs: nothing is run twice,
    and a run that was stopped or killed goes on. `myrtlecourse experiment run --help` lists the options.
    """


@experiment.command("run")
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=os.cpu_count() or 1,
    help="processes (default: one a core)",
)
@click.option("--results", type=click.Path(path_type=Path), help="SQLite file (default: PLAN.sqlite)")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the table there")
@click.option("--png", "png_file", type=click.Path(path_type=Path), help="draw the pictures there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page with both there")
@click.option("--quiet", is_flag=True, help="no progress")
def run_plan(
    plan: Path,
    workers: int,
    results: Path | None,
    json_file: Path | None,
    png_file: Path | None,
    html_file: Path | None,
    quiet: bool,
) -> None:
    """Carry out a plan and print how each point differs from the baseline, the first value of each factor.

    Exit code 0; 1 when a run broke a rule; 2 when the plan can't be carried out.
    """
    console = Console(stderr=True)
    try:
        told = read_plan(plan)
        todo = runs(told, plan)
        store = Store(results or plan.with_suffix(".sqlite"))
        columns = (BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
        with Progress(*columns, console=console, disable=quiet, transient=True) as bar:
            task = bar.add_task("runs")
            played = run_all(todo, store, workers, lambda d, of: bar.update(task, completed=d, total=of))
        found = rows(told, todo, store)
        store.close()
    except (PlanError, ScenarioError, ProfileError, StoreError) as e:
        console.print(f"myrtlecourse experiment: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    show(told, found, Console())
    console.print(f"{played:,} runs played, {len(todo) - played:,} were known", highlight=False)
    if json_file is not None:
        write_json(json_file, {"factors": [f.path for f in told.factors], "rows": [r.told() for r in found]})
    if png_file is not None or html_file is not None:
        from myrtlecourse.experiment.page import page, write_png  # noqa: PLC0415  (takes a second to import)

        if png_file is not None:
            write_png(png_file, told, found)
        if html_file is not None:
            html_file.write_text(page(told, found, f"Experiment {plan.stem}"))
    sys.exit(1 if any(r.values["breaches"].mean for r in found) else 0)


def show(plan: Plan, found: list[Row], console: Console) -> None:
    """Print the rows: means, and differences from the baseline with their intervals."""
    table = Table(
        box=SIMPLE_HEAD, title=f"Means over {plan.seeds} seeds (difference, 95% interval; * leaves out 0)"
    )
    for factor in plan.factors:
        table.add_column(factor.path.rpartition(".")[2], no_wrap=True)
    for measure in SHOWN:
        table.add_column(measure, justify="right")
    for row in found:
        cells = [str(v) for v in row.point]
        for measure in SHOWN:
            mean, change = row.values[measure], row.differences[measure]
            text = f"{mean.mean:.4g}"
            if change.low or change.high:
                star = "*" if change.clear else ""
                text += f"\n{change.mean:+.2g}{star}\n{change.low:+.2g} to {change.high:+.2g}"
            cells.append(text)
        table.add_row(*cells)
    console.print(table)


@experiment.command("compare")
@click.argument("first", type=click.Path(path_type=Path))
@click.argument("second", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def compare_results(first: Path, second: Path, as_json: bool) -> None:
    """Set the results of two files side by side: points that stand in both, paired by seed."""
    try:
        found = compare(Store(first, must_exist=True), Store(second, must_exist=True))
    except StoreError as e:
        click.echo(f"myrtlecourse experiment compare: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        told = [{"point": p, "measure": m, "difference": [e.mean, e.low, e.high]} for p, m, e in found]
        click.echo(msgspec.json.encode(told))
        return
    table = Table(box=SIMPLE_HEAD)
    for column in ("point", "measure", "difference", "95% interval"):
        table.add_column(column)
    for point, measure, change in found:
        star = "*" if change.clear else ""
        table.add_row(point, measure, f"{change.mean:+.4g}{star}", f"{change.low:+.4g} to {change.high:+.4g}")
    Console().print(table)
