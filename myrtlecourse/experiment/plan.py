"""The schema of plan files: the factors to vary, and the seeds.

A factor is a path and its values. A path names a value of the scenario, with the prefix `profile.` a value of
the load, and with `policy.` or `evidence.` a constant of the decision module. The first value of each factor
is the baseline, with which all others are compared on the same seeds.
"""

from __future__ import annotations

import hashlib
import importlib
import itertools
import math
import random
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

import myrtlecourse
from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load.profile import Profile, ProfileError
from myrtlecourse.sim.overrides import read_scenario_and_profile

MAX_POINTS = 10_000  # points of a grid; larger grids must be sampled
MODULES = {"policy": "policy.tuning", "evidence": "evidence"}  # prefix in plans -> module
Value = bool | int | float | str


class PlanError(ValueError):
    """A plan that can't be executed; the message names the file and the field."""


class Factor(Struct, forbid_unknown_fields=True, frozen=True):
    """A value to vary."""

    path: Annotated[str, Meta(min_length=1, max_length=200)]
    values: Annotated[tuple[Value, ...], Meta(min_length=1, max_length=1000)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A plan; its paths are relative to the plan file."""

    scenario: str
    profile: str
    factors: Annotated[tuple[Factor, ...], Meta(min_length=1, max_length=20)]
    seeds: Annotated[int, Meta(ge=2, le=10_000)] = 20  # seeds from 1 to this number, the same for each point
    sample: Annotated[int, Meta(ge=1, le=MAX_POINTS)] | None = None  # points drawn from the grid
    seed: Annotated[int, Meta(ge=0)] = 1  # seed of the sample

    @property
    def size(self) -> int:
        """Number of points of the whole grid."""
        return math.prod(len(f.values) for f in self.factors)

    def points(self) -> list[tuple[Value, ...]]:
        """Return the points, each with a value per factor, the baseline first."""
        grid = itertools.product(*(f.values for f in self.factors))
        if self.sample is None or self.sample >= self.size:
            return list(grid)
        rng = random.Random(f"{self.seed} sample")
        base = tuple(f.values[0] for f in self.factors)
        sampled = {base: None}
        while len(sampled) < self.sample:
            sampled[tuple(rng.choice(f.values) for f in self.factors)] = None
        return list(sampled)


def read_plan(path: Path) -> Plan:
    """Read a plan and check that each value of each factor can be applied. Raises PlanError."""
    try:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise PlanError(f"{path}: {e}") from e
    paths = [f.path for f in plan.factors]
    if len(set(paths)) < len(paths):
        raise PlanError(f"{path}: a path appears twice in `factors`")
    if plan.sample is None and plan.size > MAX_POINTS:
        raise PlanError(f"{path}: a grid of {plan.size:,} points; {MAX_POINTS:,} at most, or give `sample`")
    for factor in plan.factors:
        for value in factor.values:
            try:
                resolve_point(plan, path, ((factor.path, value),))
            except (ScenarioError, ProfileError, PlanError) as e:
                raise PlanError(f"{path}: factor {factor.path} = {value!r}: {e}") from e
    return plan


def resolve_point(
    plan: Plan, file: Path, point: tuple[tuple[str, Value], ...]
) -> tuple[Scenario, Profile, dict[str, Any]]:
    """Return the scenario, the profile and the constants of the decision module at a point."""
    changes, constants = [], {}
    for path, value in point:
        module, _, name = path.partition(".")
        if module in MODULES:
            constants[path] = check_constant(module, name, value)
        else:
            changes.append(f"{path}={msgspec.json.encode(value).decode()}")
    scenario, profile = read_scenario_and_profile(
        file.parent / plan.scenario, file.parent / plan.profile, changes
    )
    return scenario, profile, constants


def check_constant(module: str, name: str, value: Value) -> Value:
    """Return the value for a constant. Raises PlanError unless both are numbers."""
    module_object = importlib.import_module(f"myrtlecourse.{MODULES[module]}")
    if not str(module_object.__file__).endswith(".py"):
        raise PlanError(
            f"{module}.{name}: constants can be changed only in the sources, not in compiled modules"
        )
    before = getattr(module_object, name, None)
    if not name.isupper() or isinstance(before, bool) or not isinstance(before, int | float):
        raise PlanError(f"there is no number {module}.{name}")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PlanError(f"{module}.{name} is a number, not {value!r}")
    return value


def source_digest() -> str:
    """Return a digest of the sources, as results depend on them and on the inputs of a run."""
    digest = hashlib.sha256()
    root = Path(myrtlecourse.__file__).parent
    for file in sorted(root.rglob("*.py")):
        if "experiment" not in file.relative_to(root).parts:
            digest.update(f"{file.relative_to(root)}\n".encode() + file.read_bytes())
    return digest.hexdigest()
