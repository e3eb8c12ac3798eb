"""The report of a run as tables, and the comparison of two reports."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from myrtlecourse.load.record import LATE_START, MAX_LATE_SHARE

COUNTS = ("scheduled", "served", "in_time", "refused", "failed", "left")
TIMES = ("mean", "p50", "p90", "p99", "p999", "max")


class ReportError(ValueError):
    """The file holds no report."""


def _table(title: str, columns: tuple[str, ...], figures: Mapping[str, Any], form: str) -> Table:
    """Return a table of some figures of all requests, of each class and of each tenant."""
    table = Table(title=title, box=SIMPLE_HEAD)
    table.add_column("", no_wrap=True)
    for column in columns:
        table.add_column(column.replace("_", " "), justify="right", no_wrap=True)

    def add(name: str, stats: Mapping[str, Any]) -> None:
        table.add_row(name, *(format(stats[column], form) for column in columns))

    is_latency = columns is TIMES
    add("all", figures["latency_ms"] if is_latency else figures)
    for kind, label in (("classes", "class"), ("tenants", "tenant")):
        table.add_section()
        for name, stats in figures[kind].items():
            add(f"{label} {name}", stats["latency_ms"] if is_latency else stats)
    return table


def show(figures: Mapping[str, Any], console: Console) -> None:
    """Print a run's figures; two tables, so that both fit a terminal of 80 columns."""
    console.print(_table("Requests", COUNTS, figures, ","))
    title = "Milliseconds from when each was due to its answer"
    console.print(_table(title, TIMES, figures, ",.1f"))
    late = figures["start_lateness_ms"]
    console.print(
        f"{figures['goodput']:,.1f} answers a second within their target latency, "
        f"over {figures['seconds']:.1f} s; sent late by {late['p50']:.2f} ms (p50), "
        f"{late['p99']:.2f} ms (p99), {late['max']:.2f} ms (max)"
    )
    if figures["descriptors_exhausted"]:
        console.print(
            "[bold]The generator ran out of descriptors, and requests waited for connections: raise "
            "`ulimit -n`, or give it more --workers.[/bold]"
        )
    elif figures["generator_was_the_limit"]:
        console.print(
            f"[bold]The generator was the limit, not its target: over {MAX_LATE_SHARE:.0%} of requests "
            f"went out {LATE_START * 1000:g} ms late or more. Give it more --workers or a lower rate.[/bold]"
        )


def read(path: Path) -> dict[str, Any]:
    """Read a report that `--json` wrote. Raises ReportError."""
    try:
        figures = json.loads(path.read_bytes())
        for name in (*COUNTS, "goodput", "latency_ms", "start_lateness_ms"):
            figures[name]
    except OSError as e:
        raise ReportError(f"{path}: {e.strerror}") from e
    except (ValueError, KeyError, TypeError) as e:
        raise ReportError(f"{path}: not a report of a run: {e}") from e
    return dict(figures)


def compare(first: Mapping[str, Any], second: Mapping[str, Any]) -> list[tuple[str, float, float]]:
    """Return the rows of a comparison: a title and the figure of each run."""
    rows = [(name.replace("_", " "), float(first[name]), float(second[name])) for name in COUNTS]
    rows.append(("goodput/s", first["goodput"], second["goodput"]))
    for kind, title in (("latency_ms", "latency"), ("start_lateness_ms", "start lateness")):
        for time in TIMES:
            rows.append((f"{title} {time}, ms", first[kind].get(time, 0.0), second[kind].get(time, 0.0)))
    return rows


def show_comparison(rows: list[tuple[str, float, float]], names: tuple[str, str], console: Console) -> None:
    """Print a comparison of two runs."""
    table = Table()
    table.add_column("")
    for name in (*names, "ratio"):
        table.add_column(name, justify="right")
    for title, first, second in rows:
        ratio = f"{second / first:.2f}" if first else "-"
        table.add_row(title, f"{first:,.2f}", f"{second:,.2f}", ratio)
    console.print(table)
