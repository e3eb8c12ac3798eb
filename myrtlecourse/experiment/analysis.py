"""Computes the mean of each measure at each point, and its difference from the baseline on the same seeds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from myrtlecourse.experiment.plan import Plan, Value
from myrtlecourse.experiment.runs import Run, point_name
from myrtlecourse.experiment.statistics import Estimate, estimate, paired
from myrtlecourse.experiment.store import Store


@dataclass(frozen=True)
class Row:
    """The results at one point."""

    point: tuple[Value, ...]
    values: dict[str, Estimate]
    differences: dict[str, Estimate]  # from the baseline, paired by seed

    def to_json(self) -> dict[str, Any]:
        """Return the row as a table for JSON."""
        return {
            "point": list(self.point),
            "values": {n: [e.mean, e.low, e.high] for n, e in self.values.items()},
            "differences": {n: [e.mean, e.low, e.high] for n, e in self.differences.items()},
        }


def rows(plan: Plan, runs: list[Run], store: Store) -> list[Row]:
    """Return the rows of a plan whose runs are in the store, the baseline first."""
    results = store.by_digest(r.digest for r in runs)
    by_point: dict[str, dict[int, dict[str, float]]] = {}
    for run in runs:
        if run.digest in results:
            by_point.setdefault(run.point, {})[run.seed] = results[run.digest]
    points = plan.points()
    baseline = by_point[point_name(points[0])]
    measures = list(next(iter(baseline.values())))
    found = []
    for point in points:
        figures = by_point.get(point_name(point), {})
        found.append(
            Row(
                point,
                {m: estimate([f[m] for f in figures.values()]) for m in measures},
                {m: paired(baseline, figures, m) for m in measures},
            )
        )
    return found


def compare(first_store: Store, second_store: Store) -> list[tuple[str, str, Estimate]]:
    """Compare the points that both stores have.

    Return the point, the measure, and by how much it is greater in the second store.
    """
    first, second = first_store.by_point(), second_store.by_point()
    found = []
    for point in first:
        if point in second:
            measures = next(iter(first[point].values()))
            found += [(point, m, paired(first[point], second[point], m)) for m in measures]
    return found
