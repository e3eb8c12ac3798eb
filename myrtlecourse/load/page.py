"""The report as one self-contained page, with latency over time and by quantile as pictures."""

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
    """A picture as part of a page."""
    text = io.StringIO()
    # a fixed salt and no date: the same run gives the same page
    with matplotlib.rc_context({"svg.hashsalt": "myrtlecourse"}):
        figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def plot_over_time(figures: Mapping[str, Any], marks: Sequence[tuple[float, str]] = ()) -> str:
    """Latency, and what became of the requests, by the second in which they should have been sent.

    Each mark, a second and what happened then, stands as a line with its number in the upper picture.
    """
    figure = Figure(figsize=(9, 5))
    above, below = figure.subplots(2, 1, sharex=True)
    seconds = [int(s) for s in figures["by_second"]]
    parts = list(figures["by_second"].values())
    for name in ("p50", "p99", "max"):
        above.plot(seconds, [p["latency_ms"][name] for p in parts], label=name)
    above.set_ylabel("latency, ms")
    above.set_ylim(bottom=0)
    for number, (at, _) in enumerate(merge_marks(marks), 1):
        above.axvline(at, color="grey", linewidth=0.7, linestyle=":")
        place = (at, above.get_ylim()[1])
        above.annotate(f"{number}", place, fontsize=7, color="grey", ha="center", annotation_clip=False)
    above.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0))
    outcomes = ("served", "refused", "failed", "left")
    below.stackplot(seconds, [[p[o] for p in parts] for o in outcomes], labels=outcomes)
    below.set_ylabel("requests a second")
    below.set_xlabel("second in which they should have been sent")
    below.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0))
    return render_svg(figure)


def plot_by_quantile(figures: Mapping[str, Any]) -> str:
    """Latency by quantile, for each class: the tail has as much room as the rest."""
    figure = Figure(figsize=(9, 3.5))
    axes = figure.subplots()
    places = range(len(QUANTILES))
    for name, part in {"all": figures, **figures["classes"]}.items():
        axes.plot(places, [max(0.001, part["latency_ms"][q]) for q in QUANTILES], marker="o", label=name)
    axes.set_yscale("log")
    axes.set_xticks(list(places), [f"{q:g}%" if q < 100 else "max" for q in QUANTILES.values()])
    axes.set_ylabel("latency, ms")
    axes.legend()
    return render_svg(figure)


def merge_marks(marks: Sequence[tuple[float, str]]) -> list[tuple[float, str]]:
    """Marks of one time as one."""
    found: dict[float, str] = {}
    for at, word in marks:
        found[at] = f"{found[at]}, {word}" if at in found else word
    return list(found.items())


def _legend(marks: Sequence[tuple[float, str]]) -> str:
    """What the numbers in the picture stand for."""
    items = "".join(f"<li>{at:g} s: {html.escape(word)}</li>" for at, word in merge_marks(marks))
    return f"<ol>{items}</ol>" if items else ""


def _verdict(verdict: Mapping[str, Any]) -> str:
    """The auditor's word, and what it names."""
    rules = "".join(f"<tr><td>{html.escape(r)}</td><td>{n:,}</td></tr>" for r, n in verdict["rules"].items())
    columns = ("what", "at", "router", "request", "box", "detail")
    named = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(b[c]))}</td>" for c in columns) + "</tr>"
        for b in verdict["named"]
    )
    head = "".join(f"<th>{c}</th>" for c in columns)
    breaches = f"<table><tr>{head}</tr>{named}</table>" if named else ""
    return f"<h2>The four rules</h2><table><tr><th>rule</th><th>breaches</th></tr>{rules}</table>{breaches}"


def page(
    figures: Mapping[str, Any],
    title: str,
    marks: Sequence[tuple[float, str]] = (),
    verdict: Mapping[str, Any] | None = None,
) -> str:
    """The page's text, with what happened when and the auditor's verdict where there are any."""
    head = "".join(f"<th>{html.escape(c.replace('_', ' '))}</th>" for c in ("", *COUNTS, *TIMES))
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
<p>{figures["goodput"]:,.1f} answers a second within the wanted time, over {figures["seconds"]:.1f} s. Latency
counts, in milliseconds, from when a request should have been sent. Starts were late by {late["p50"]:.2f} ms
at the median and {late["max"]:.2f} ms at most.</p>
<table><tr>{head}</tr>{"".join(rows)}</table>
{"" if verdict is None else _verdict(verdict)}
<h2>Over time</h2>{plot_over_time(figures, marks)}{_legend(marks)}
<h2>By quantile</h2>{plot_by_quantile(figures)}
</html>
"""
