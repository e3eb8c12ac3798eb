"""Slopes as pictures: repeats, the law fitted to a part of them, and what it foretold of the largest size."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from myrtlecourse.scale.capacity_results import Slope  # noqa: E402
from myrtlecourse.scale.fit import check  # noqa: E402

COLUMNS = 4


def draw_slope(slope: Slope, axes: Axes) -> None:
    """One slope, on axes of logarithms."""
    law, tried = check(slope.repeats)
    for size, values in slope.repeats.items():
        axes.plot([size] * len(values), values, ".", color="tab:blue", markersize=4)
    sizes = [min(slope.repeats) * (tried.size / min(slope.repeats)) ** (i / 40) for i in range(41)]
    axes.plot(sizes, [law.law.at(n) for n in sizes], color="tab:orange", label=law.law.name)
    told = tried.predicted
    spread = [[told.value - told.low], [told.high - told.value]]
    axes.errorbar([tried.size], [told.value], yerr=spread, color="tab:red", capsize=4, label="foretold")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_title(f"{slope.name}: {'counts' if tried.holds else 'does not hold'}", fontsize=9)
    axes.set_xlabel(slope.by, fontsize=8)
    axes.set_ylabel(slope.unit, fontsize=8)
    axes.legend(fontsize=7)


def write_png(file: Path, slopes: tuple[Slope, ...]) -> None:
    """All slopes in one picture. Raises OSError."""
    down = -(-len(slopes) // COLUMNS) or 1
    figure = Figure(figsize=(4 * COLUMNS, 3 * down), layout="constrained")
    places = figure.subplots(down, COLUMNS, squeeze=False).flat
    for slope, axes in zip(slopes, places, strict=False):
        draw_slope(slope, axes)
    for axes in places:
        axes.set_axis_off()
    figure.savefig(file, format="png", dpi=90, metadata={"Software": None})
