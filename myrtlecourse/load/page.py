"""Renders a report as one self-contained HTML page, with charts of latency over time and by quantile."""

from __future__ import annotations

import html
import io
from collections.abc import Mapping, Sequence
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib.figure import Figure  # noqa: E402

from myrtlecourse.load.record import QUANTILES  # noqa: E402
from myrtlecourse.load.report import COUNTS, TIMES  # noqa: E402

STYLE = """
body{font:15px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
td,th{padding:.25rem .7rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left;white-space:nowrap}
ol{columns:2;font-size:.9em}
svg{max-width:100%;height:auto}
.warn{background:#fff3cd;padding:.6rem}
"""


def render_svg(figure: Figure) -> str:
    """Return a chart as SVG to embed in a page."""
    text = io.StringIO()
    # A fixed salt and no date make the page reproducible.
    with matplotlib.rc_context({"svg.hashsalt": "myrtlecourse"}):
        figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def plot_over_time(figures: Mapping[str, Any], marks: Sequence[tuple[float, str]] = ()) -> str:
    """Plot latency and outcomes by the second in which the requests were due.

    Each mark (a second and an event) is a numbered vertical line in the upper chart.
    """
    figure = Figure(figsize=(9, 5))
    latency_axes, outcome_axes = figure.subplots(2, 1, sharex=True)
    seconds = [int(s) for s in figures["by_second"]]
    stats = list(figures["by_second"].values())
    for name in ("p50", "p99", "max"):
        latency_axes.plot(seconds, [p["latency_ms"][name] for p in stats], label=name)
    latency_axes.set_ylabel("latency, ms")
    latency_axes.set_ylim(bottom=0)
    for number, (at, _) in enumerate(merge_marks(marks), 1):
        latency_axes.axvline(at, color="grey", linewidth=0.7, linestyle=":")
        position = (at, latency_axes.get_ylim()[1])
        latency_axes.annotate(
            f"{number}", position, fontsize=7, color="grey", ha="center", annotation_clip=False
        )
    latency_axes.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0))
    outcomes = ("served", "refused", "failed", "left")
    outcome_axes.stackplot(seconds, [[p[o] for p in stats] for o in outcomes], labels=outcomes)
    outcome_axes.set_ylabel("requests a second")
    outcome_axes.set_xlabel("second in which requests were due")
    outcome_axes.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0))
    return render_svg(figure)


def plot_by_quantile(figures: Mapping[str, Any]) -> str:
    """Plot latency by quantile for each class; the axis gives the tail as much room as the rest."""
    figure = Figure(figsize=(9, 3.5))
    axes = figure.subplots()
    positions = range(len(QUANTILES))
    for name, part in {"all": figures, **figures["classes"]}.items():
        axes.plot(positions, [max(0.001, part["latency_ms"][q]) for q in QUANTILES], marker="o", label=name)
    axes.set_yscale("log")
    axes.set_xticks(list(positions), [f"{q:g}%" if q < 100 else "max" for q in QUANTILES.values()])
    axes.set_ylabel("latency, ms")
    axes.legend()
    return render_svg(figure)


def merge_marks(marks: Sequence[tuple[float, str]]) -> list[tuple[float, str]]:
    """Join the texts of marks with the same time."""
    texts: dict[float, str] = {}
    for at, text in marks:
        texts[at] = f"{texts[at]}, {text}" if at in texts else text
    return list(texts.items())


def _legend(marks: Sequence[tuple[float, str]]) -> str:
    """Return the list that explains the numbers in the chart."""
    items = "".join(f"<li>{at:g} s: {html.escape(text)}</li>" for at, text in merge_marks(marks))
    return f"<ol>{items}</ol>" if items else ""


def _verdict(verdict: Mapping[str, Any]) -> str:
    """Return the auditor's verdict as tables."""
    rules = "".join(f"<tr><td>{html.escape(r)}</td><td>{n:,}</td></tr>" for r, n in verdict["rules"].items())
    columns = ("what", "at", "router", "request", "box", "detail")
    named = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(b[c]))}</td>" for c in columns) + "</tr>"
        for b in verdict["named"]
    )
    header = "".join(f"<th>{c}</th>" for c in columns)
    breaches = f"<table><tr>{header}</tr>{named}</table>" if named else ""
    return f"<h2>The four rules</h2><table><tr><th>rule</th><th>breaches</th></tr>{rules}</table>{breaches}"


def page(
    figures: Mapping[str, Any],
    title: str,
    marks: Sequence[tuple[float, str]] = (),
    verdict: Mapping[str, Any] | None = None,
) -> str:
    """Return the page, with marks of events and the auditor's verdict if given."""
    header = "".join(f"<th>{html.escape(c.replace('_', ' '))}</th>" for c in ("", *COUNTS, *TIMES))
    rows = []
    for name, part in {"all": figures, **figures["classes"], **figures["tenants"]}.items():
        cells = [f"{part[c]:,}" for c in COUNTS] + [f"{part['latency_ms'][t]:,.1f}" for t in TIMES]
        rows.append(f"<tr><td>{html.escape(name)}</td>" + "".join(f"<td>{c}</td>" for c in cells) + "</tr>")
    late = figures["start_lateness_ms"]
    warning = (
        '<p class="warn">The generator was the limit, not its target.</p>'
        if figures["generator_was_the_limit"]
        else ""
    )
    return f"""<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title><style>{STYLE}</style>
<h1>{html.escape(title)}</h1>{warning}
<p>{figures["goodput"]:,.1f} answers a second within their target latency, over {figures["seconds"]:.1f} s.
Latency is in milliseconds, from when a request was due. Requests were sent
{late["p50"]:.2f} ms late at the median and {late["max"]:.2f} ms at most.</p>
<table><tr>{header}</tr>{"".join(rows)}</table>
{"" if verdict is None else _verdict(verdict)}
<h2>Over time</h2>{plot_over_time(figures, marks)}{_legend(marks)}
<h2>By quantile</h2>{plot_by_quantile(figures)}
</html>
"""
