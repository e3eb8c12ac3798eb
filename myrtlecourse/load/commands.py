"""`myrtlecourse load`: its commands and their options."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console

from myrtlecourse.load import report
from myrtlecourse.load.profile import Profile, ProfileError, constant, read_profile
from myrtlecourse.load.run import Job, RunError, run
from myrtlecourse.load.trace import Replay

EXIT_UNUSABLE = 2  # exit code of what can't be begun
EXIT_NOTHING_SERVED = 1


class Address(click.ParamType[tuple[str, int]]):
    """HOST:PORT."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self.fail(f"{value!r} is not host:port", param, ctx)
        return host, int(port)


class RunByDefault(click.Group):
    """`load` with a profile or options is a run; `load compare` is the one further word it knows."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0] not in self.commands and args[0] != "--help":
            args = ["run", *args]
        return super().parse_args(ctx, args)


class Progress:
    """Live counts: a line that changes in a terminal, elsewhere one every few seconds."""

    def __init__(self, console: Console, quiet: bool) -> None:
        self.console = console
        self.quiet = quiet
        self.status = console.status("starting")
        self.last = time.monotonic()

    def __enter__(self) -> Callable[[float, dict[str, int]], None]:
        self.status.start()
        return self._tell

    def __exit__(self, *_: object) -> None:
        self.status.stop()

    def _tell(self, at: float, counts: dict[str, int]) -> None:
        told = ", ".join(f"{name} {counts.get(name, 0):,}" for name in ("served", "refused", "failed"))
        if self.console.is_terminal:
            self.status.update(f"{at:.0f} s: {told}")
        elif not self.quiet and time.monotonic() - self.last >= 5.0:
            self.last = time.monotonic()
            self.console.print(f"{at:.0f} s: {told}")


def write_json(file: Path, figures: Any) -> None:
    """For programs: the figures of a run."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(figures)) + b"\n")


@click.group(cls=RunByDefault)
def load() -> None:
    """Send open-loop load: each request at its time, whatever became of those before.

    \b
    myrtlecourse load --rate 200 --duration 10 --target 127.0.0.1:6379
    myrtlecourse load enrolment.toml --target 127.0.0.1:6379 --html report.html
    myrtlecourse load --trace day.jsonl --speed 4 --target 127.0.0.1:6379
    myrtlecourse load compare before.json after.json

    `myrtlecourse load run --help` lists the options of a run.
    """


def _profile(file: Path | None, rate: float | None, duration: float | None, trace: Path | None) -> Profile:
    if file is not None:
        if rate is not None:
            raise click.UsageError("--rate belongs to a run without a profile")
        return read_profile(file)
    if trace is not None:
        return constant(1.0, 1.0)  # of which only the clients' habits count
    if rate is None or duration is None:
        raise click.UsageError("give a profile, a --trace, or --rate with --duration")
    return constant(rate, duration)


@load.command("run")
@click.argument("profile", type=click.Path(path_type=Path), required=False)
@click.option(
    "--target",
    type=Address(),
    required=True,
    multiple=True,
    help="a router's address; again for further ones, asked in turns",
)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="reads a second, without a profile")
@click.option(
    "--duration", type=click.FloatRange(0, min_open=True), help="seconds; of a profile, its first ones"
)
@click.option(
    "--trace", type=click.Path(path_type=Path), help="replay this file of JSON lines (docs/load.md)"
)
@click.option(
    "--speed", type=click.FloatRange(0.001, 1000), default=1.0, show_default=True, help="of the trace"
)
@click.option("--loops", type=click.IntRange(1), default=1, show_default=True, help="of the trace")
@click.option(
    "--workers", type=click.IntRange(1, 256), default=1, show_default=True, help="processes that send"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page with pictures there")
@click.option(
    "--observations",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="a folder: write what the clients see there, for `myrtlecourse audit`",
)
@click.option("--quiet", is_flag=True, help="no progress")
def run_load(
    profile: Path | None,
    target: tuple[tuple[str, int], ...],
    rate: float | None,
    duration: float | None,
    trace: Path | None,
    speed: float,
    loops: int,
    workers: int,
    json_file: Path | None,
    html_file: Path | None,
    observations: Path | None,
    quiet: bool,
) -> None:
    """Send load and report what became of it.

    Exit code 0, 1 when nothing was served, 2 when it could not begin. SIGINT ends the sending; the report is
    then of what ran.
    """
    console = Console(stderr=True)
    try:
        made = _profile(profile, rate, duration, trace)
        replay = Replay(trace, speed, loops, made.classes if profile else ()) if trace else None
        job = Job(made, target, workers, duration, replay, observations)
        with Progress(console, quiet) as progress:
            took, record = run(job, progress)
    except (ProfileError, RunError) as e:
        console.print(f"myrtlecourse load: {e}", markup=False, highlight=False)
        sys.exit(EXIT_UNUSABLE)
    figures = record.figures(took)
    report.show(figures, Console())
    if json_file is not None:
        write_json(json_file, figures)
    if html_file is not None:
        from myrtlecourse.load.page import page  # noqa: PLC0415  (plots take a second to import)

        html_file.write_text(page(figures, "Load on " + ", ".join(f"{host}:{port}" for host, port in target)))
    sys.exit(0 if figures["served"] else EXIT_NOTHING_SERVED)


@load.command("compare")
@click.argument("first", type=click.Path(path_type=Path))
@click.argument("second", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def compare_runs(first: Path, second: Path, as_json: bool) -> None:
    """Set two runs side by side, from the files that --json wrote."""
    try:
        rows = report.compare(report.read(first), report.read(second))
    except report.ReportError as e:
        click.echo(f"myrtlecourse load compare: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        click.echo(msgspec.json.encode({title: [a, b] for title, a, b in rows}))
    else:
        report.show_comparison(rows, (first.name, second.name), Console())
