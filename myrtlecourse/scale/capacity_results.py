"""Result files of the capacity measurements, read with a strict schema.

A slope is stored as its repeats at each size and never as its fit. The page and the commands fit it again, so
a file can't claim that a law holds unless its own measurements support it.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.scale.fit import CHECK_FACTOR, MIN_SIZES

MAX_FILE_BYTES = 2_000_000  # bytes
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_]*(\.[a-z0-9_]+)*$", max_length=64)]
Text = Annotated[str, Meta(min_length=1, max_length=300)]
Cost = Annotated[float, Meta(gt=0.0, le=1e15)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Form = Literal["compiled", "sources", "interpreted"]  # the last one: the same code in both forms


class ResultsError(ValueError):
    """Raised for a file that can't be used; the message is one line: the file, the field and its bounds."""


class Point(Struct, forbid_unknown_fields=True, frozen=True):
    """The repeats at one size, all measured in one process."""

    size: Annotated[int, Meta(ge=1, le=10**9)]
    values: Annotated[tuple[Cost, ...], Meta(min_length=3, max_length=1000)]
    calibration: Cost  # processor seconds of the loop in that process, mean of before and after
    others: Share  # share of the machine that others used during the measurement


class Slope(Struct, forbid_unknown_fields=True, frozen=True):
    """A cost measured at several sizes."""

    name: Name
    what: Text
    by: Text  # what the size counts
    unit: Text
    form: Form
    command: Text
    points: Annotated[tuple[Point, ...], Meta(min_length=5, max_length=50)]

    def __post_init__(self) -> None:
        if len({p.size for p in self.points}) < len(self.points):
            raise ValueError("points: each size may occur only once")
        largest = max(p.size for p in self.points)
        if sum(p.size * CHECK_FACTOR <= largest for p in self.points) < MIN_SIZES:
            raise ValueError(f"points: at least {MIN_SIZES} sizes up to a quarter of the largest")

    @property
    def repeats(self) -> dict[int, tuple[float, ...]]:
        """The values by size."""
        return {p.size: p.values for p in sorted(self.points, key=lambda p: p.size)}

    @property
    def others(self) -> float:
        """The largest share of the machine that others used at any of the sizes."""
        return max(p.others for p in self.points)


class Measure(Struct, forbid_unknown_fields=True, frozen=True):
    """A single value with its interval."""

    name: Name
    what: Text
    unit: Text
    form: Form
    command: Text
    value: Annotated[float, Meta(ge=0.0, le=1e15)]
    low: Annotated[float, Meta(ge=0.0, le=1e15)]
    high: Annotated[float, Meta(ge=0.0, le=1e15)]
    repeats: Annotated[int, Meta(ge=1, le=10**6)]
    others: Share = 0.0

    def __post_init__(self) -> None:
        if not self.low <= self.value <= self.high:
            raise ValueError("value: must lie between low and high")


class Results(Struct, forbid_unknown_fields=True, frozen=True):
    """The contents of one results file."""

    schema: Literal[1]
    cores: Annotated[int, Meta(ge=1, le=4096)]  # cores of the machine
    slopes: Annotated[tuple[Slope, ...], Meta(max_length=100)] = ()
    measures: Annotated[tuple[Measure, ...], Meta(max_length=1000)] = ()

    def __post_init__(self) -> None:
        names = [s.name for s in self.slopes] + [m.name for m in self.measures]
        if len(set(names)) < len(names):
            raise ValueError("slopes, measures: each name may occur only once")


def read_file(path: Path) -> Results:
    """Read a result file. Raises ResultsError."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ResultsError(f"{path}: larger than {MAX_FILE_BYTES:,} bytes")
        results = msgspec.json.decode(path.read_bytes(), type=Results)
    except OSError as e:
        raise ResultsError(f"{path}: {e.strerror}") from e
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise ResultsError(f"{path}: {' '.join(str(e).split())}") from e
    return results


def read_folder(folder: Path) -> Results:
    """Read all results of a folder. Raises ResultsError, also if two files contain the same name."""
    slopes: dict[str, Slope] = {}
    measures: dict[str, Measure] = {}
    paths_by_name: dict[str, Path] = {}
    cores = 1
    if not folder.is_dir():
        raise ResultsError(f"{folder}: no such folder")
    for path in sorted(folder.glob("*.json")):
        results = read_file(path)
        cores = max(cores, results.cores)
        entries: tuple[Slope | Measure, ...] = (*results.slopes, *results.measures)
        for entry in entries:
            if entry.name in paths_by_name:
                raise ResultsError(
                    f"{path}: name {entry.name}: already used in {paths_by_name[entry.name].name}"
                )
            paths_by_name[entry.name] = path
        slopes |= {s.name: s for s in results.slopes}
        measures |= {m.name: m for m in results.measures}
    return Results(1, cores, tuple(slopes.values()), tuple(measures.values()))


def merge_results(old: Results | None, new: Results) -> Results:
    """Return old results updated with new ones; old results under other names are kept."""
    if old is None:
        return new
    slopes = {s.name: s for s in (*old.slopes, *new.slopes)}
    measures = {m.name: m for m in (*old.measures, *new.measures)}
    return Results(1, new.cores, tuple(slopes.values()), tuple(measures.values()))


def round_significant(value: float, digits: int = 5) -> float:
    """Round a value to the precision of the files; further digits are noise."""
    if not value:
        return 0.0
    return round(value, digits - 1 - math.floor(math.log10(abs(value))))


def write_file(path: Path, results: Results) -> None:
    """Write a result file. Raises ResultsError if it can't be written."""
    try:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    except OSError as e:
        raise ResultsError(f"{path}: {e.strerror}") from e
