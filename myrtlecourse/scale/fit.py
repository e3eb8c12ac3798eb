"""Finds the law by which a cost grows with size, and checks whether the law predicts a larger size. No I/O.

A law is `base + slope * shape(n)` with neither coefficient negative, because a cost never falls with size. It
is fitted by least squares of the relative errors, and selected by its mean error in leave-one-out
cross-validation over the sizes (Stone, 1974). Its interval is the percentile bootstrap (Efron, 1979) over the
repeats at each size, widened by the largest cross-validation error, and by at least 1%: the repeats don't
show that a law holds only approximately. The fit uses the minimum of the repeats at a size, because other
work on the machine adds processor time and never takes any off. `median_interval` estimates what a router has
to expect at one size.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 5
CHECK_FACTOR = 4  # ratio of the largest size, at which a law is checked, to the largest size that is fitted
MAX_INTERVAL_WIDTH = 1.0  # width of an interval relative to its prediction above which a law is not used
MIN_RELATIVE_ERROR = 0.01  # no law is assumed to be more accurate than this
RESAMPLES = 400
LOW_PERCENTILE, HIGH_PERCENTILE = 2.5, 97.5  # percent
# The simplest shape comes first; a later one is selected only if more accurate by MIN_RELATIVE_ERROR.
SHAPES: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": math.log,
    "n": lambda n: n,
    "n log n": lambda n: n * math.log(n),
    "n squared": lambda n: n * n,
}
Repeats = Mapping[int, Sequence[float]]  # costs by size


class FitError(ValueError):
    """Raised when no law can be fitted to the costs."""


@dataclass(frozen=True, slots=True)
class Law:
    """A fitted law."""

    name: str
    base: float
    slope: float

    def at(self, n: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * SHAPES[self.name](n)


@dataclass(frozen=True, slots=True)
class Interval:
    """A value and its 95% confidence interval."""

    value: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Fit:
    """The law that predicts held-out sizes best."""

    law: Law
    held_out: float  # mean relative error at the held-out sizes
    worst_error: float  # largest relative error at a held-out size
    repeats: Repeats

    def predict(self, n: float) -> Interval:
        """Return the predicted cost at a size, with its interval."""
        rng = np.random.Generator(np.random.PCG64(1))
        samples = {s: rng.choice(list(v), (RESAMPLES, len(v))) for s, v in sorted(self.repeats.items())}
        costs = {s: v.min(axis=1) for s, v in samples.items()}
        predictions = [
            fit_law(self.law.name, {s: float(c[i]) for s, c in costs.items()}).at(n) for i in range(RESAMPLES)
        ]
        low, high = np.percentile(predictions, [LOW_PERCENTILE, HIGH_PERCENTILE])
        value, margin = self.law.at(n), max(MIN_RELATIVE_ERROR, self.worst_error)
        return Interval(
            value, min(value, float(low)) * max(0.0, 1 - margin), max(value, float(high)) * (1 + margin)
        )


@dataclass(frozen=True, slots=True)
class Check:
    """A law's prediction for a larger size, and the cost measured there."""

    size: int
    predicted: Interval
    measured: float

    @property
    def holds(self) -> bool:
        """Whether the law may be used: the interval contains the measured cost, and is narrow enough."""
        interval = self.predicted
        narrow = interval.high - interval.low <= MAX_INTERVAL_WIDTH * interval.value
        return narrow and interval.low <= self.measured <= interval.high


def fit_law(name: str, costs: Mapping[int, float]) -> Law:
    """Fit one law by least squares of relative errors, so that small and large sizes weigh the same."""
    sizes = np.array(list(costs), dtype=np.float64)
    values = np.array(list(costs.values()), dtype=np.float64)
    shape = np.array([SHAPES[name](s) for s in sizes.tolist()])
    base_column, slope_column = 1 / values, shape / values
    base_only = float(base_column.sum() / (base_column @ base_column))
    if not slope_column.any():
        return Law(name, base_only, 0.0)
    slope_only = float(slope_column.sum() / (slope_column @ slope_column))
    determinant = (
        float(base_column @ base_column) * float(slope_column @ slope_column)
        - float(base_column @ slope_column) ** 2
    )
    if determinant > 1e-12 * float(base_column @ base_column) * float(slope_column @ slope_column):
        base = (
            float(slope_column @ slope_column) * float(base_column.sum())
            - float(base_column @ slope_column) * float(slope_column.sum())
        ) / determinant
        slope = (
            float(base_column @ base_column) * float(slope_column.sum())
            - float(base_column @ slope_column) * float(base_column.sum())
        ) / determinant
        if base >= 0 and slope >= 0:
            return Law(name, base, slope)
    # The optimum is on the boundary of the allowed coefficients, at the better of the two candidates.
    candidates = (Law(name, base_only, 0.0), Law(name, 0.0, slope_only))
    return min(candidates, key=lambda law: sum((law.at(s) / c - 1) ** 2 for s, c in costs.items()))


def minimum_costs(repeats: Repeats) -> dict[int, float]:
    """Return the minimum cost at each size. Raises FitError for a cost that is not a positive number."""
    for size, values in repeats.items():
        if size < 1 or not values or not all(0 < v < math.inf for v in values):
            raise FitError(f"size {size}: every cost must be a positive number")
    return {size: min(values) for size, values in sorted(repeats.items())}


def fit(repeats: Repeats) -> Fit:
    """Return the best fit.

    Raises FitError for fewer than five sizes, or for a cost that is not a positive number.
    """
    costs = minimum_costs(repeats)
    if len(costs) < MIN_SIZES:
        raise FitError(f"{len(costs)} sizes, at least {MIN_SIZES} are needed")
    errors = {}
    for name in SHAPES:
        errors[name] = [
            abs(
                fit_law(name, {s: c for s, c in costs.items() if s != held_out_size}).at(held_out_size)
                / costs[held_out_size]
                - 1
            )
            for held_out_size in costs
        ]
    means = {name: sum(found) / len(found) for name, found in errors.items()}
    # Without this margin, noise could make a steep law fit a constant cost slightly better, and its
    # predictions for larger sizes would be far off.
    best = next(name for name in SHAPES if means[name] <= min(means.values()) + MIN_RELATIVE_ERROR)
    return Fit(fit_law(best, costs), means[best], max(errors[best]), repeats)


def check(repeats: Repeats) -> tuple[Fit, Check]:
    """Fit the sizes up to a quarter of the largest one, and predict the cost at the largest.

    Raises FitError if there are too few such sizes, or for a cost that is not a positive number.
    """
    largest = max(repeats, default=0)
    smaller = {size: values for size, values in repeats.items() if size * CHECK_FACTOR <= largest}
    fitted = fit(smaller)
    return fitted, Check(largest, fitted.predict(largest), minimum_costs(repeats)[largest])


def median_interval(values: Sequence[float]) -> Interval:
    """Return the median of the repeats with its bootstrap interval."""
    rng = np.random.Generator(np.random.PCG64(1))
    medians = np.median(rng.choice(list(values), (RESAMPLES, len(values))), axis=1)
    low, high = np.percentile(medians, [LOW_PERCENTILE, HIGH_PERCENTILE])
    return Interval(float(np.median(list(values))), float(low), float(high))
