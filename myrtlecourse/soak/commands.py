"""The command `myrtlecourse soak`."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path

import click

from myrtlecourse.soak.preload import LibraryError, compile_library
from myrtlecourse.soak.runner import Result, run_seeds, write_results

EXIT_BROKEN = 1  # exit code if a rule was broken or a process failed


@click.command()
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option("--seeds", default=10, show_default=True, help="how many seeds, from the first one on")
@click.option("--seconds", default=14.0, show_default=True, type=click.FloatRange(6.0, 600.0))
@click.option(
    "--side-by-side", default=2, show_default=True, type=click.IntRange(1, 16), help="runs in parallel"
)
@click.option(
    "--keep", type=click.Path(path_type=Path), help="a folder for the logs of runs that broke a rule"
)
@click.option("--json", "out", type=click.Path(path_type=Path), help="a file for all results")
def soak(
    first: int, seeds: int, seconds: float, side_by_side: int, keep: Path | None, out: Path | None
) -> None:
    """Run random scenarios on real routers: one for each seed, always the same for a seed.

    Exits with 1 if any of them broke a rule.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            library = compile_library(folder)
        except LibraryError as e:
            library = None
            click.echo(f"running without failing system calls: {e}")
        results: list[Result] = []
        for result in run_seeds(range(first, first + seeds), seconds, folder, library, side_by_side):
            results.append(result)
            click.echo(result.summary_line())
            case_folder = folder / f"seed-{result.seed}"
            if not result.kept and keep is not None:
                shutil.copytree(case_folder, keep / case_folder.name, dirs_exist_ok=True)
            shutil.rmtree(case_folder, ignore_errors=True)
    if out is not None:
        write_results(results, out)
    broken = [r.seed for r in results if not r.kept]
    click.echo(f"{len(results)} runs, {len(broken)} broke a rule" + (f": {broken}" if broken else ""))
    sys.exit(EXIT_BROKEN if broken else 0)
