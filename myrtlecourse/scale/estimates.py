"""Looks figures up in the results and does arithmetic on them, so that each carries where it comes from."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from myrtlecourse.scale.calibration import is_shared
from myrtlecourse.scale.capacity_results import Measure, Results, Slope
from myrtlecourse.scale.fit import Fit, check, fit, median_interval

UNIT_SCALES = {  # by unit: what a value is divided by, and what that is called
    "s": ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")),
    "B": ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")),
    "B/s": ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s"), (1.0, "B/s")),
}


def format_value(value: float, unit: str) -> str:
    """A value with three digits and a unit of a fitting size."""
    if unit == "core":  # a share of one
        return f"{value:.3g} cores" if value >= 1 else f"{value * 100:.3g}% of a core"
    scales = UNIT_SCALES.get(unit)
    if scales is None or not value:
        text = f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
        return (
            text if unit in ("", "1") else f"{text}{unit[1:]}" if unit.startswith("1/") else f"{text} {unit}"
        )
    size, name = next((s for s in scales if value >= s[0]), scales[-1])
    scaled = value / size
    return f"{scaled:,.0f} {name}" if scaled >= 100 else f"{scaled:.3g} {name}"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its interval, and where it comes from."""

    value: float
    low: float
    high: float
    unit: str
    source: str
    law_holds: bool = True  # not foretold by a law that failed its check
    exclusive: bool = True  # no other process had a tenth of the machine

    def __str__(self) -> str:
        if not self.law_holds:
            return "not foretold"
        text = format_value(self.value, self.unit)
        if self.low < self.value or self.value < self.high:
            text += f" ({format_value(self.low, self.unit)} to {format_value(self.high, self.unit)})"
        return text

    @property
    def annotated_source(self) -> str:
        """Its source, and what takes from its worth."""
        doubts = [] if self.law_holds else ["the law does not hold"]
        doubts += [] if self.exclusive else ["shared machine"]
        return self.source + "".join(f"; **{d}**" for d in doubts)

    def multiplied(self, factor: float, formula: str, unit: str | None = None) -> Estimate:
        """Arithmetic: a multiple of it. In the formula `{}` stands for its own source."""
        values = (self.value * factor, self.low * factor, self.high * factor)
        return replace(
            self,
            value=values[0],
            low=values[1],
            high=values[2],
            unit=unit or self.unit,
            source=formula.format(self.source),
        )

    def inverted(self, formula: str, unit: str, of: Callable[[float], float]) -> Estimate:
        """Arithmetic by a function that only falls as the figure rises."""
        return replace(
            self,
            value=of(self.value),
            low=of(self.high),
            high=of(self.low),
            unit=unit,
            source=formula.format(self.source),
        )

    def added(self, other: Estimate) -> Estimate:
        """Arithmetic: the sum of two."""
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
    """A figure that is arithmetic on what the fleet is to be, and nothing measured."""
    return Estimate(value, value, value, unit, formula)


class Estimates:
    """The results of a folder."""

    def __init__(self, results: Results) -> None:
        self.slopes: dict[str, Slope] = {s.name: s for s in results.slopes}
        self.measures: dict[str, Measure] = {m.name: m for m in results.measures}
        self.fits: dict[str, tuple[Fit, bool]] = {}

    def at_size(self, name: str, size: int) -> Estimate | None:
        """A slope's cost at a size: as measured there, else by its law fitted to all sizes.

        None when it was not measured.
        """
        slope = self.slopes.get(name)
        if slope is None:
            return None
        unit = slope.unit
        point = next((p for p in slope.points if p.size == size), None)
        if point is not None:
            found, alone = median_interval(point.values), not is_shared(point.others)
            source = f"`{name}` at {size:,}"
            return Estimate(found.value, found.low, found.high, unit, source, exclusive=alone)
        if name not in self.fits:
            self.fits[name] = fit(slope.repeats), check(slope.repeats)[1].holds
        law, holds = self.fits[name]
        told, alone = law.predict(size), not is_shared(slope.others)
        source = f"`{name}` foretold at {size:,} ({law.law.name})"
        return Estimate(told.value, told.low, told.high, unit, source, holds, alone)

    def measure(self, name: str) -> Estimate | None:
        """A measure; None when it was not measured."""
        found = self.measures.get(name)
        if found is None:
            return None
        return Estimate(
            found.value, found.low, found.high, found.unit, f"`{name}`", exclusive=not is_shared(found.others)
        )
