"""The commands `myrtlecourse experiment run` and `compare`: their options and their output."""

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
from myrtlecourse.experiment.runs import list_runs, run_all
from myrtlecourse.experiment.store import Store, StoreError
from myrtlecourse.fleet.scenario import ScenarioError
from myrtlecourse.load.commands import EXIT_UNUSABLE, RunByDefault, write_json
from myrtlecourse.load.profile import ProfileError

SHOWN = ("goodput", "p99_ms", "refused", "fetches", "breaches")


@click.group(cls=RunByDefault)
def experiment() -> None:
    """Compare settings in the simulator, over grids or samples, on the same seeds.

    \b
    myrtlecourse experiment limits.toml --workers 4 --html limits.html
    myrtlecourse experiment compare before.sqlite after.sqlite

    Results are stored in a file next to the plan, under a digest of sources and inputs: no run is repeated,
    and an experiment that was killed continues. `myrtlecourse experiment run --help` lists the options.
    """


@experiment.command("run")
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=os.cpu_count() or 1,
    help="processes (default: one per core)",
)
@click.option("--results", type=click.Path(path_type=Path), help="SQLite file (default: PLAN.sqlite)")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the table to this file")
@click.option("--png", "png_file", type=click.Path(path_type=Path), help="write the charts to this file")
@click.option(
    "--html", "html_file", type=click.Path(path_type=Path), help="write a page with both to this file"
)
@click.option("--quiet", is_flag=True, help="show no progress")
def run_plan(
    plan: Path,
    workers: int,
    results: Path | None,
    json_file: Path | None,
    png_file: Path | None,
    html_file: Path | None,
    quiet: bool,
) -> None:
    """Run a plan and print how each point differs from the baseline, the first value of each factor.

    Exit code 0, 1 if a run broke a rule, 2 if the plan can't be executed.
    """
    console = Console(stderr=True)
    try:
        experiment_plan = read_plan(plan)
        all_runs = list_runs(experiment_plan, plan)
        store = Store(results or plan.with_suffix(".sqlite"))
        columns = (BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
        with Progress(*columns, console=console, disable=quiet, transient=True) as bar:
            task = bar.add_task("runs")
            runs_done = run_all(
                all_runs, store, workers, lambda done, total: bar.update(task, completed=done, total=total)
            )
        result_rows = rows(experiment_plan, all_runs, store)
        store.close()
    except (PlanError, ScenarioError, ProfileError, StoreError) as e:
        console.print(f"myrtlecourse experiment: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    show(experiment_plan, result_rows, Console())
    console.print(f"{runs_done:,} runs played, {len(all_runs) - runs_done:,} were known", highlight=False)
    if json_file is not None:
        write_json(
            json_file,
            {
                "factors": [f.path for f in experiment_plan.factors],
                "rows": [r.to_json() for r in result_rows],
            },
        )
    if png_file is not None or html_file is not None:
        from myrtlecourse.experiment.page import page, write_png  # noqa: PLC0415  (takes a second to import)

        if png_file is not None:
            write_png(png_file, experiment_plan, result_rows)
        if html_file is not None:
            html_file.write_text(page(experiment_plan, result_rows, f"Experiment {plan.stem}"))
    sys.exit(1 if any(r.values["breaches"].mean for r in result_rows) else 0)


def show(plan: Plan, result_rows: list[Row], console: Console) -> None:
    """Print the means of all rows, and the differences from the baseline with their intervals."""
    table = Table(
        box=SIMPLE_HEAD, title=f"Means over {plan.seeds} seeds (difference, 95% interval; * leaves out 0)"
    )
    for factor in plan.factors:
        table.add_column(factor.path.rpartition(".")[2], no_wrap=True)
    for measure in SHOWN:
        table.add_column(measure, justify="right")
    for row in result_rows:
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
    """Compare the results of two files at the points that both have, paired by seed."""
    try:
        comparisons = compare(Store(first, must_exist=True), Store(second, must_exist=True))
    except StoreError as e:
        click.echo(f"myrtlecourse experiment compare: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        differences = [
            {"point": p, "measure": m, "difference": [e.mean, e.low, e.high]} for p, m, e in comparisons
        ]
        click.echo(msgspec.json.encode(differences))
        return
    table = Table(box=SIMPLE_HEAD)
    for column in ("point", "measure", "difference", "95% interval"):
        table.add_column(column)
    for point, measure, change in comparisons:
        star = "*" if change.clear else ""
        table.add_row(point, measure, f"{change.mean:+.4g}{star}", f"{change.low:+.4g} to {change.high:+.4g}")
    Console().print(table)
