"""Means of paired differences between runs with the same seeds, with confidence intervals.

The interval is the 95% percentile bootstrap (Efron, 1979) of the mean, with a fixed seed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np

RESAMPLES = 5000
LOW, HIGH = 2.5, 97.5  # percent
Figures = Mapping[int, Mapping[str, float]]  # by seed


@dataclass(frozen=True)
class Estimate:
    """A mean and its confidence interval."""

    mean: float
    low: float
    high: float
    count: int  # number of values

    @property
    def clear(self) -> bool:
        """Whether the interval excludes 0."""
        return self.low > 0 or self.high < 0


def estimate(values: list[float]) -> Estimate:
    """Return the mean of some values and its interval."""
    array = np.array(values, dtype=np.float64)
    if len(array) < 2 or np.ptp(array) == 0:
        mean = float(array.mean()) if len(array) else 0.0
        return Estimate(mean, mean, mean, len(array))
    rng = np.random.Generator(np.random.PCG64(1))
    means = array[rng.integers(len(array), size=(RESAMPLES, len(array)))].mean(axis=1)
    low, high = np.percentile(means, [LOW, HIGH])
    return Estimate(float(array.mean()), float(low), float(high), len(array))


def paired(first: Figures, second: Figures, measure: str) -> Estimate:
    """Return by how much a measure is greater in `second` than in `first`, over the seeds of both."""
    seeds = sorted(set(first) & set(second))
    return estimate([second[s][measure] - first[s][measure] for s in seeds])
