"""Estimates of costs, looked up in the results or computed from them; each one keeps track of its source."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from myrtlecourse.scale.calibration import is_shared
from myrtlecourse.scale.capacity_results import Measure, Results, Slope
from myrtlecourse.scale.fit import Fit, check, fit, median_interval

UNIT_SCALES = {  # by unit: divisors and the units that result
    "s": ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")),
    "B": ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")),
    "B/s": ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s"), (1.0, "B/s")),
}


def format_value(value: float, unit: str) -> str:
    """Format a value with three digits and a unit of suitable size."""
    if unit == "core":  # a share of one core
        return f"{value:.3g} cores" if value >= 1 else f"{value * 100:.3g}% of a core"
    scales = UNIT_SCALES.get(unit)
    if scales is None or not value:
        text = f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
        return (
            text if unit in ("", "1") else f"{text}{unit[1:]}" if unit.startswith("1/") else f"{text} {unit}"
        )
    divisor, name = next((s for s in scales if value >= s[0]), scales[-1])
    scaled = value / divisor
    return f"{scaled:,.0f} {name}" if scaled >= 100 else f"{scaled:.3g} {name}"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its interval and its source."""

    value: float
    low: float
    high: float
    unit: str
    source: str
    law_holds: bool = True  # False: predicted by a law that failed its check
    exclusive: bool = True  # whether other processes used at most a tenth of the machine

    def __str__(self) -> str:
        if not self.law_holds:
            return "not foretold"
        text = format_value(self.value, self.unit)
        if self.low < self.value or self.value < self.high:
            text += f" ({format_value(self.low, self.unit)} to {format_value(self.high, self.unit)})"
        return text

    @property
    def annotated_source(self) -> str:
        """The source, with remarks on what makes the value unreliable."""
        doubts = [] if self.law_holds else ["the law does not hold"]
        doubts += [] if self.exclusive else ["shared machine"]
        return self.source + "".join(f"; **{d}**" for d in doubts)

    def multiplied(self, factor: float, formula: str, unit: str | None = None) -> Estimate:
        """Return a multiple. `{}` in the formula stands for the source of this estimate."""
        values = (self.value * factor, self.low * factor, self.high * factor)
        return replace(
            self,
            value=values[0],
            low=values[1],
            high=values[2],
            unit=unit or self.unit,
            source=formula.format(self.source),
        )

    def inverted(self, formula: str, unit: str, function: Callable[[float], float]) -> Estimate:
        """Return a function of this estimate; the function must decrease as its argument grows."""
        return replace(
            self,
            value=function(self.value),
            low=function(self.high),
            high=function(self.low),
            unit=unit,
            source=formula.format(self.source),
        )

    def added(self, other: Estimate) -> Estimate:
        """Return the sum of two estimates."""
        return replace(
            self,
            value=self.value + other.value,
            low=self.low + other.low,
            high=self.high + other.high,
            source=f"{self.source} + {other.source}",
            law_holds=self.law_holds and other.law_holds,
            exclusive=self.exclusive and other.exclusive,
        )


def calculated(value: float, unit: str, formula: str) -> Estimate:
    """Return an estimate that is computed from the planned size of the fleet, without any measurement."""
    return Estimate(value, value, value, unit, formula)


class Estimates:
    """The estimates that the results of a folder support."""

    def __init__(self, results: Results) -> None:
        self.slopes: dict[str, Slope] = {s.name: s for s in results.slopes}
        self.measures: dict[str, Measure] = {m.name: m for m in results.measures}
        self.fits: dict[str, tuple[Fit, bool]] = {}

    def at_size(self, name: str, size: int) -> Estimate | None:
        """Return a slope's cost at a size: as measured there, or else as its law predicts.

        Returns None if the slope was not measured.
        """
        slope = self.slopes.get(name)
        if slope is None:
            return None
        unit = slope.unit
        point = next((p for p in slope.points if p.size == size), None)
        if point is not None:
            interval, exclusive = median_interval(point.values), not is_shared(point.others)
            source = f"`{name}` at {size:,}"
            return Estimate(interval.value, interval.low, interval.high, unit, source, exclusive=exclusive)
        if name not in self.fits:
            self.fits[name] = fit(slope.repeats), check(slope.repeats)[1].holds
        fitted, law_holds = self.fits[name]
        predicted, exclusive = fitted.predict(size), not is_shared(slope.others)
        source = f"`{name}` foretold at {size:,} ({fitted.law.name})"
        return Estimate(predicted.value, predicted.low, predicted.high, unit, source, law_holds, exclusive)

    def measure(self, name: str) -> Estimate | None:
        """Return the estimate from a measure; None if it was not measured."""
        measure = self.measures.get(name)
        if measure is None:
            return None
        return Estimate(
            measure.value,
            measure.low,
            measure.high,
            measure.unit,
            f"`{name}`",
            exclusive=not is_shared(measure.others),
        )
