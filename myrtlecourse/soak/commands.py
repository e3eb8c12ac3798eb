"""`myrtlecourse soak`: its options, and what it prints."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path

import click

from myrtlecourse.soak.library import LibraryError, compiled
from myrtlecourse.soak.play import Result, play_seeds, write

BROKEN = 1  # exit code when a rule was broken or a process was at fault


@click.command()
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option("--seeds", default=10, show_default=True, help="how many seeds, each one after the other")
@click.option("--seconds", default=14.0, show_default=True, type=click.FloatRange(6.0, 600.0))
@click.option(
    "--side-by-side", default=2, show_default=True, type=click.IntRange(1, 16), help="days at a time"
)
@click.option("--keep", type=click.Path(path_type=Path), help="a folder for logs of days that broke a rule")
@click.option("--json", "out", type=click.Path(path_type=Path), help="a file for all results")
def soak(
    first: int, seeds: int, seconds: float, side_by_side: int, keep: Path | None, out: Path | None
) -> None:
    """Play random days on real routers: one for each seed, and the same each time.

    Exit 1 when a rule was broken on any of them.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            library = compiled(folder)
        except LibraryError as e:
            library = None
            click.echo(f"system calls don't fail on these days: {e}")
        results: list[Result] = []
        for result in play_seeds(range(first, first + seeds), seconds, folder, library, side_by_side):
            results.append(result)
            click.echo(result.line())
            day = folder / f"seed-{result.seed}"
            if not result.kept and keep is not None:
                shutil.copytree(day, keep / day.name, dirs_exist_ok=True)
            shutil.rmtree(day, ignore_errors=True)
    if out is not None:
        write(results, out)
    broken = [r.seed for r in results if not r.kept]
    click.echo(f"{len(results)} days, {len(broken)} broke a rule" + (f": {broken}" if broken else ""))
    sys.exit(BROKEN if broken else 0)
