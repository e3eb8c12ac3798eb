"""Which law a cost follows by size, and whether that law foretells a size that it has not seen; no I/O.

A law is `base + slope * shape(n)` with neither negative: a cost never falls with size. It is fitted by least
squares of relative errors, chosen by the held-out error of leaving out one size at a time (Stone, 1974), and
its interval is the percentile bootstrap (Efron, 1979) over the repeats at each size, widened by the largest
held-out error, a hundredth at least: repeats know nothing of a law that does not quite hold. Of the repeats
at a size the least counts: whatever else runs on the machine adds to processor time and takes none off. What
a router has to bear at a size is `middle`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 5
CHECK_FACTOR = 4  # times the largest size seen, at which a law is checked
MAX_INTERVAL_WIDTH = 1.0  # of what is foretold: an interval that is wider tells nothing
MIN_RELATIVE_ERROR = 0.01  # relative error: no law is believed to be nearer than that
RESAMPLES = 400
LOW_PERCENTILE, HIGH_PERCENTILE = 2.5, 97.5  # percent
SHAPES: dict[str, Callable[[float], float]] = {  # the simplest first: a later one must be nearer by SUREST
    "constant": lambda n: 0.0,
    "log n": math.log,
    "n": lambda n: n,
    "n log n": lambda n: n * math.log(n),
    "n squared": lambda n: n * n,
}
Repeats = Mapping[int, Sequence[float]]  # by size


class FitError(ValueError):
    """What no law can be fitted to."""


@dataclass(frozen=True, slots=True)
class Law:
    """A fitted law."""

    name: str
    base: float
    slope: float

    def at(self, n: float) -> float:
        """The cost at a size."""
        return self.base + self.slope * SHAPES[self.name](n)


@dataclass(frozen=True, slots=True)
class Interval:
    """A value and its 95% interval."""

    value: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Fit:
    """The law that foretells held-out sizes best."""

    law: Law
    held_out: float  # mean relative error at sizes left out
    worst_error: float  # the largest of them
    repeats: Repeats

    def predict(self, n: float) -> Interval:
        """The cost at a size, and between what it lies."""
        chance = np.random.Generator(np.random.PCG64(1))
        drawn = {s: chance.choice(list(v), (RESAMPLES, len(v))) for s, v in sorted(self.repeats.items())}
        costs = {s: v.min(axis=1) for s, v in drawn.items()}
        found = [
            fit_law(self.law.name, {s: float(c[i]) for s, c in costs.items()}).at(n) for i in range(RESAMPLES)
        ]
        low, high = np.percentile(found, [LOW_PERCENTILE, HIGH_PERCENTILE])
        value, unsure = self.law.at(n), max(MIN_RELATIVE_ERROR, self.worst_error)
        return Interval(
            value, min(value, float(low)) * max(0.0, 1 - unsure), max(value, float(high)) * (1 + unsure)
        )


@dataclass(frozen=True, slots=True)
class Check:
    """What a law said of a larger size, and what was measured there."""

    size: int
    predicted: Interval
    measured: float

    @property
    def holds(self) -> bool:
        """Whether the law may be used: what was measured lies within an interval that says something."""
        found = self.predicted
        narrow = found.high - found.low <= MAX_INTERVAL_WIDTH * found.value
        return narrow and found.low <= self.measured <= found.high


def fit_law(name: str, costs: Mapping[int, float]) -> Law:
    """One law, by least squares of relative errors: a small size counts as much as a large one."""
    sizes = np.array(list(costs), dtype=np.float64)
    values = np.array(list(costs.values()), dtype=np.float64)
    shape = np.array([SHAPES[name](s) for s in sizes.tolist()])
    ones, bent = 1 / values, shape / values
    base_alone = float(ones.sum() / (ones @ ones))
    if not bent.any():
        return Law(name, base_alone, 0.0)
    slope_alone = float(bent.sum() / (bent @ bent))
    whole = float(ones @ ones) * float(bent @ bent) - float(ones @ bent) ** 2
    if whole > 1e-12 * float(ones @ ones) * float(bent @ bent):
        base = (float(bent @ bent) * float(ones.sum()) - float(ones @ bent) * float(bent.sum())) / whole
        slope = (float(ones @ ones) * float(bent.sum()) - float(ones @ bent) * float(ones.sum())) / whole
        if base >= 0 and slope >= 0:
            return Law(name, base, slope)
    # at the edge of what is allowed, the better of the two
    edges = (Law(name, base_alone, 0.0), Law(name, 0.0, slope_alone))
    return min(edges, key=lambda law: sum((law.at(s) / c - 1) ** 2 for s, c in costs.items()))


def minimum_costs(repeats: Repeats) -> dict[int, float]:
    """The least at each size. Raises FitError for what is no cost."""
    for size, values in repeats.items():
        if size < 1 or not values or not all(0 < v < math.inf for v in values):
            raise FitError(f"size {size}: every cost must be a number over 0")
    return {size: min(values) for size, values in sorted(repeats.items())}


def fit(repeats: Repeats) -> Fit:
    """The best law. Raises FitError with fewer than five sizes, or for what is no cost."""
    costs = minimum_costs(repeats)
    if len(costs) < MIN_SIZES:
        raise FitError(f"{len(costs)} sizes, {MIN_SIZES} are the least")
    errors = {}
    for name in SHAPES:
        errors[name] = [
            abs(fit_law(name, {s: c for s, c in costs.items() if s != out}).at(out) / costs[out] - 1)
            for out in costs
        ]
    means = {name: sum(found) / len(found) for name, found in errors.items()}
    # guards a constant cost: in noise some steep law is nearer by a hair, and foretells far off
    best = next(name for name in SHAPES if means[name] <= min(means.values()) + MIN_RELATIVE_ERROR)
    return Fit(fit_law(best, costs), means[best], max(errors[best]), repeats)


def check(repeats: Repeats) -> tuple[Fit, Check]:
    """Fit up to a quarter of the largest size, and foretell that.

    Raises FitError when there are too few sizes up to it, or for what is no cost.
    """
    largest = max(repeats, default=0)
    seen = {size: values for size, values in repeats.items() if size * CHECK_FACTOR <= largest}
    found = fit(seen)
    return found, Check(largest, found.predict(largest), minimum_costs(repeats)[largest])


def median_interval(values: Sequence[float]) -> Interval:
    """The median of repeats, with the bootstrap's interval."""
    chance = np.random.Generator(np.random.PCG64(1))
    found = np.median(chance.choice(list(values), (RESAMPLES, len(values))), axis=1)
    low, high = np.percentile(found, [LOW_PERCENTILE, HIGH_PERCENTILE])
    return Interval(float(np.median(list(values))), float(low), float(high))
