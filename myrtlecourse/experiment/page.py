"""Charts of an experiment: lines with intervals, a heat map of two factors, and a self-contained page."""

from __future__ import annotations

import html
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from myrtlecourse.experiment.analysis import Row  # noqa: E402
from myrtlecourse.experiment.plan import Plan  # noqa: E402
from myrtlecourse.load.page import STYLE, render_svg  # noqa: E402

SHOWN = ("goodput", "p99_ms", "fetches", "refused")


def draw_lines(plan: Plan, rows: list[Row], measure: str, axes: Axes) -> None:
    """Draw a measure over the first factor, with a line for each combination of the others."""
    values = plan.factors[0].values
    others = sorted({r.point[1:] for r in rows}, key=str)
    for other in others:
        selected = [r for v in values for r in rows if r.point[0] == v and r.point[1:] == other]
        positions = [values.index(r.point[0]) for r in selected]
        means = [r.values[measure] for r in selected]
        errors = [[m.mean - m.low for m in means], [m.high - m.mean for m in means]]
        label = ", ".join(map(str, other)) or None
        axes.errorbar(positions, [m.mean for m in means], yerr=errors, marker="o", capsize=3, label=label)
    axes.set_xticks(range(len(values)), [str(v) for v in values])
    axes.set_xlabel(plan.factors[0].path)
    axes.set_ylabel(measure)
    if len(others) > 1:
        axes.legend(title=", ".join(f.path for f in plan.factors[1:]), fontsize=7)


def draw_heat_map(plan: Plan, rows: list[Row], measure: str, axes: Axes) -> None:
    """Draw a measure over two factors as a heat map."""
    first, second = plan.factors
    known = {r.point: r.values[measure].mean for r in rows}
    table = [[known.get((a, b), float("nan")) for b in second.values] for a in first.values]
    image = axes.imshow(table, aspect="auto")
    axes.set_xticks(range(len(second.values)), [str(v) for v in second.values])
    axes.set_yticks(range(len(first.values)), [str(v) for v in first.values])
    axes.set_xlabel(second.path)
    axes.set_ylabel(first.path)
    axes.set_title(measure, fontsize=9)
    axes.figure.colorbar(image, ax=axes)


def draw_figure(plan: Plan, rows: list[Row]) -> Figure:
    """Draw all charts of an experiment."""
    two_factors = len(plan.factors) == 2
    figure = Figure(figsize=(10, 7 if not two_factors else 13), layout="constrained")
    grid = figure.subplots(2 if not two_factors else 4, 2).flat
    for index, measure in enumerate(SHOWN):
        draw_lines(plan, rows, measure, grid[index])
        if two_factors:
            draw_heat_map(plan, rows, measure, grid[index + len(SHOWN)])
    return figure


def write_png(file: Path, plan: Plan, rows: list[Row]) -> None:
    """Write the charts to a PNG file."""
    draw_figure(plan, rows).savefig(file, format="png", dpi=110, metadata={"Software": None})


def page(plan: Plan, rows: list[Row], title: str) -> str:
    """Return the page as HTML: charts, and the table of differences from the baseline."""
    measures = list(rows[0].values)
    header = "".join(f"<th>{html.escape(c)}</th>" for c in (*(f.path for f in plan.factors), *measures))
    body = []
    for row in rows:
        cells = [str(v) for v in row.point]
        for measure in measures:
            mean, change = row.values[measure], row.differences[measure]
            text = f"{mean.mean:.4g}"
            if change.count and (change.low or change.high):
                text += f" ({change.mean:+.3g}, {change.low:+.3g} to {change.high:+.3g})"
            cells.append(f"<b>{text}</b>" if change.clear else text)
        body.append("<tr>" + "".join(f"<td>{c}</td>" for c in cells) + "</tr>")
    return f"""<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title><style>{STYLE}</style>
<h1>{html.escape(title)}</h1>
<p>Means over {plan.seeds} seeds; in brackets the difference from the first row on the same seeds, with
its 95% interval. Bold: the interval leaves out 0.</p>
{render_svg(draw_figure(plan, rows))}
<table><tr>{header}</tr>{"".join(body)}</table>
</html>
"""
