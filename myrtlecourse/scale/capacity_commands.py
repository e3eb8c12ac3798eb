"""The commands `slopes` and `page`, which measure what grows with the fleet and generate docs/CAPACITY.md."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from myrtlecourse.load.commands import EXIT_UNUSABLE
from myrtlecourse.scale import calibration, measuring
from myrtlecourse.scale.capacity_results import (
    Measure,
    Results,
    ResultsError,
    Slope,
    merge_results,
    read_file,
    read_folder,
    write_file,
)
from myrtlecourse.scale.fit import check
from myrtlecourse.scale.measuring import MeasureError
from myrtlecourse.scale.page import PICTURE, render_page
from myrtlecourse.scale.slopes import SPECS

EXIT_NOT_MEASURED = 1
OTHER_MEASURES = (*measuring.ROUTER_MEASURES, "known")  # measurements that are not slopes


def shared_mark(others: float) -> str:
    """Return a remark for a measurement on a shared machine."""
    return ", shared machine" if calibration.is_shared(others) else ""


def slope_line(slope: Slope) -> str:
    """Return a line with a slope's law, its prediction for the largest size, and the cost measured there."""
    fitted, validation = check(slope.repeats)
    predicted = validation.predicted
    interval = f"{predicted.value:.4g} {slope.unit} ({predicted.low:.4g} to {predicted.high:.4g})"
    verdict = "counts" if validation.holds else "does not hold"
    return (
        f"{slope.name} ({slope.form}): {fitted.law.name}, held out {fitted.held_out:.1%}; "
        f"at {validation.size:,} foretold {interval}, measured {validation.measured:.4g}: "
        f"{verdict}{shared_mark(slope.others)}"
    )


def measure_line(measure: Measure) -> str:
    """Return a line with a measure's value and interval."""
    interval = f"{measure.value:.4g} {measure.unit} ({measure.low:.4g} to {measure.high:.4g})"
    return f"{measure.name} ({measure.form}): {interval}{shared_mark(measure.others)}"


@click.command("slopes")
@click.argument("names", nargs=-1, required=True, type=click.Choice([*SPECS, *OTHER_MEASURES]))
@click.option(
    "--compiled",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="folder with the compiled form, as `python deploy/compiled.py` prints it (default: the sources)",
)
@click.option(
    "--members",
    type=click.IntRange(2, measuring.ROSTER_SIZES[-1]),
    multiple=True,
    default=measuring.ROSTER_SIZES,
    help="members of the rosters for `known`; may be repeated",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    required=True,
    help="results file; its results under other names are kept",
)
def slopes_command(
    names: tuple[str, ...], compiled: Path | None, members: tuple[int, ...], out: Path
) -> None:
    """Measure slopes, each size in a process of its own.

    `router_requests` and `router_bytes` are what a real router forwards per second of a core. `known` is how
    much of a roster is known soon after a start.

    Exit code 0; 1 when a measurement gave no result, 2 when the results file can't be used.
    """
    slopes, measures = list[Slope](), list[Measure]()
    try:
        previous = read_file(out) if out.exists() else None
        # fails before the measurements if the file can't be written
        write_file(out, previous or Results(1, measuring.CORES))
        compiled_folder = str(compiled.resolve()) if compiled is not None else ""
        for name in names:
            if name in measuring.ROUTER_MEASURES:
                measures += measuring.measure_router(name, compiled_folder)
            elif name == "known":
                measures += measuring.measure_roster_starts(members)
            else:
                slopes.append(
                    measuring.measure_slope(name, compiled_folder, lambda what: click.echo(what, err=True))
                )
            results = Results(1, measuring.CORES, tuple(slopes), tuple(measures))
            write_file(out, merge_results(previous, results))
    except ResultsError as e:
        click.echo(f"myrtlecourse scale slopes: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    except MeasureError as e:
        click.echo(f"myrtlecourse scale slopes: {e}", err=True)
        sys.exit(EXIT_NOT_MEASURED)
    for line in (*map(slope_line, slopes), *map(measure_line, measures)):
        click.echo(line)


@click.command("page")
@click.option(
    "--docs",
    type=click.Path(path_type=Path),
    default=Path("docs"),
    help="folder of the documentation (default: docs)",
)
def page_command(docs: Path) -> None:
    """Write CAPACITY.md and its picture from the results in the folder's `capacity`.

    Exit code 0; 2 when the results can't be used, or the page or picture can't be written.
    """
    from myrtlecourse.scale.charts import write_png  # noqa: PLC0415  (takes a second to import)

    try:
        results = read_folder(docs / "capacity")
        text = render_page(results)
        write_png(docs / PICTURE, results.slopes)
        (docs / "CAPACITY.md").write_text(text)
    except ResultsError as e:
        click.echo(f"myrtlecourse scale page: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    except OSError as e:
        click.echo(f"myrtlecourse scale page: {e.filename}: {e.strerror}", err=True)
        sys.exit(EXIT_UNUSABLE)


def register(group: click.Group) -> None:
    """Add the commands to a group."""
    group.add_command(slopes_command)
    group.add_command(page_command)


@click.group()
def main() -> None:
    """Measure what the planned fleet costs, and generate the page from the results."""


register(main)

if __name__ == "__main__":
    main()
