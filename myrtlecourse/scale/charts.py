"""Charts of slopes: the repeats, the law fitted to the smaller sizes, and its prediction for the largest."""

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
    """Draw one slope on logarithmic axes."""
    fitted, validation = check(slope.repeats)
    for size, values in slope.repeats.items():
        axes.plot([size] * len(values), values, ".", color="tab:blue", markersize=4)
    sizes = [min(slope.repeats) * (validation.size / min(slope.repeats)) ** (i / 40) for i in range(41)]
    axes.plot(sizes, [fitted.law.at(n) for n in sizes], color="tab:orange", label=fitted.law.name)
    predicted = validation.predicted
    errors = [[predicted.value - predicted.low], [predicted.high - predicted.value]]
    axes.errorbar(
        [validation.size], [predicted.value], yerr=errors, color="tab:red", capsize=4, label="foretold"
    )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_title(f"{slope.name}: {'counts' if validation.holds else 'does not hold'}", fontsize=9)
    axes.set_xlabel(slope.by, fontsize=8)
    axes.set_ylabel(slope.unit, fontsize=8)
    axes.legend(fontsize=7)


def write_png(file: Path, slopes: tuple[Slope, ...]) -> None:
    """Write all slopes to one image. Raises OSError."""
    rows = -(-len(slopes) // COLUMNS) or 1
    figure = Figure(figsize=(4 * COLUMNS, 3 * rows), layout="constrained")
    grid = figure.subplots(rows, COLUMNS, squeeze=False).flat
    for slope, axes in zip(slopes, grid, strict=False):
        draw_slope(slope, axes)
    for axes in grid:
        axes.set_axis_off()
    figure.savefig(file, format="png", dpi=90, metadata={"Software": None})
