"""The commands of `myrtlecourse load` and their options."""

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

EXIT_UNUSABLE = 2  # exit code if the arguments or input files can't be used
EXIT_NOTHING_SERVED = 1


class Address(click.ParamType[tuple[str, int]]):
    """A parameter of the form HOST:PORT."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self.fail(f"{value!r} is not host:port", param, ctx)
        return host, int(port)


class RunByDefault(click.Group):
    """A group whose default command is `run`, for `load PROFILE` or `load --rate ...`."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0] not in self.commands and args[0] != "--help":
            args = ["run", *args]
        return super().parse_args(ctx, args)


class Progress:
    """Shows live counts: a status line in a terminal, otherwise a line every few seconds."""

    def __init__(self, console: Console, quiet: bool) -> None:
        self.console = console
        self.quiet = quiet
        self.status = console.status("starting")
        self.last_printed = time.monotonic()

    def __enter__(self) -> Callable[[float, dict[str, int]], None]:
        self.status.start()
        return self._report

    def __exit__(self, *_: object) -> None:
        self.status.stop()

    def _report(self, at: float, counts: dict[str, int]) -> None:
        counts_text = ", ".join(f"{name} {counts.get(name, 0):,}" for name in ("served", "refused", "failed"))
        if self.console.is_terminal:
            self.status.update(f"{at:.0f} s: {counts_text}")
        elif not self.quiet and time.monotonic() - self.last_printed >= 5.0:
            self.last_printed = time.monotonic()
            self.console.print(f"{at:.0f} s: {counts_text}")


def write_json(file: Path, figures: Any) -> None:
    """Write the figures of a run as JSON."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(figures)) + b"\n")


@click.group(cls=RunByDefault)
def load() -> None:
    """Send open-loop load: each request when it is due, however earlier requests end.

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
            raise click.UsageError("--rate can't be combined with a profile")
        return read_profile(file)
    if trace is not None:
        return constant(1.0, 1.0)  # for a trace, only the clients' behaviour in the profile is used
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
    help="a router's address; repeat for more, used by round robin",
)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="reads a second, without a profile")
@click.option(
    "--duration",
    type=click.FloatRange(0, min_open=True),
    help="seconds to run; with a profile, its first seconds",
)
@click.option(
    "--trace", type=click.Path(path_type=Path), help="replay this file of JSON lines (docs/load.md)"
)
@click.option(
    "--speed",
    type=click.FloatRange(0.001, 1000),
    default=1.0,
    show_default=True,
    help="speed factor of the trace",
)
@click.option(
    "--loops", type=click.IntRange(1), default=1, show_default=True, help="repetitions of the trace"
)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=1, show_default=True, help="processes that send"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures there")
@click.option(
    "--html", "html_file", type=click.Path(path_type=Path), help="write an HTML report with charts there"
)
@click.option(
    "--observations",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="a folder: write the clients' observations there, for `myrtlecourse audit`",
)
@click.option("--quiet", is_flag=True, help="show no progress")
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
    """Send load and report the outcome.

    Exits with 0, with 1 if nothing was served, or with 2 if the run could not start. SIGINT stops the
    sending; the report then covers what was sent.
    """
    console = Console(stderr=True)
    try:
        load_profile = _profile(profile, rate, duration, trace)
        replay = Replay(trace, speed, loops, load_profile.classes if profile else ()) if trace else None
        job = Job(load_profile, target, workers, duration, replay, observations)
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
        from myrtlecourse.load.page import page  # noqa: PLC0415  (matplotlib takes a second to import)

        html_file.write_text(page(figures, "Load on " + ", ".join(f"{host}:{port}" for host, port in target)))
    sys.exit(0 if figures["served"] else EXIT_NOTHING_SERVED)


@load.command("compare")
@click.argument("first", type=click.Path(path_type=Path))
@click.argument("second", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def compare_runs(first: Path, second: Path, as_json: bool) -> None:
    """Compare two runs, from the files that --json wrote."""
    try:
        rows = report.compare(report.read(first), report.read(second))
    except report.ReportError as e:
        click.echo(f"myrtlecourse load compare: {e}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        click.echo(msgspec.json.encode({title: [a, b] for title, a, b in rows}))
    else:
        report.show_comparison(rows, (first.name, second.name), Console())
