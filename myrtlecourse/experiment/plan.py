"""What to try: a plan file of factors and seeds, read by one strict schema.

A factor is a path and its values. A path leads into the scenario, with `profile.` before it into the load,
and with `policy.` or `evidence.` before it to a constant of the decision module. The first value of each
factor is the baseline that all others are compared with, on the same seeds.
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

MOST_POINTS = 10_000  # of a grid; what is larger must be sampled
MODULES = {"policy": "policy.tuning", "evidence": "evidence"}  # by the name that plans give them
Value = bool | int | float | str


class PlanError(ValueError):
    """A plan that can't be carried out; the message names the file and the field."""


class Factor(Struct, forbid_unknown_fields=True, frozen=True):
    """One thing to vary."""

    path: Annotated[str, Meta(min_length=1, max_length=200)]
    values: Annotated[tuple[Value, ...], Meta(min_length=1, max_length=1000)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole plan; files are found from where the plan lies."""

    scenario: str
    profile: str
    factors: Annotated[tuple[Factor, ...], Meta(min_length=1, max_length=20)]
    seeds: Annotated[int, Meta(ge=2, le=10_000)] = 20  # 1 to so many, the same for each point
    sample: Annotated[int, Meta(ge=1, le=MOST_POINTS)] | None = None  # points drawn from the grid
    seed: Annotated[int, Meta(ge=0)] = 1  # of that draw

    @property
    def size(self) -> int:
        """Points of the whole grid."""
        return math.prod(len(f.values) for f in self.factors)

    def points(self) -> list[tuple[Value, ...]]:
        """The points to try, the baseline first: a value for each factor."""
        grid = itertools.product(*(f.values for f in self.factors))
        if self.sample is None or self.sample >= self.size:
            return list(grid)
        chance = random.Random(f"{self.seed} sample")
        base = tuple(f.values[0] for f in self.factors)
        drawn = {base: None}
        while len(drawn) < self.sample:
            drawn[tuple(chance.choice(f.values) for f in self.factors)] = None
        return list(drawn)


def read_plan(path: Path) -> Plan:
    """Read a plan and look whether each factor leads somewhere."""
    try:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise PlanError(f"{path}: {e}") from e
    paths = [f.path for f in plan.factors]
    if len(set(paths)) < len(paths):
        raise PlanError(f"{path}: a path stands twice in `factors`")
    if plan.sample is None and plan.size > MOST_POINTS:
        raise PlanError(f"{path}: a grid of {plan.size:,} points; {MOST_POINTS:,} at most, or give `sample`")
    for factor in plan.factors:
        for value in factor.values:
            try:
                settled(plan, path, ((factor.path, value),))
            except (ScenarioError, ProfileError, PlanError) as e:
                raise PlanError(f"{path}: factor {factor.path} = {value!r}: {e}") from e
    return plan


def settled(
    plan: Plan, file: Path, point: tuple[tuple[str, Value], ...]
) -> tuple[Scenario, Profile, dict[str, Any]]:
    """Scenario, profile and the decision module's constants at a point."""
    changes, constants = [], {}
    for path, value in point:
        module, _, name = path.partition(".")
        if module in MODULES:
            constants[path] = constant(module, name, value)
        else:
            changes.append(f"{path}={msgspec.json.encode(value).decode()}")
    scenario, profile = read_scenario_and_profile(
        file.parent / plan.scenario, file.parent / plan.profile, changes
    )
    return scenario, profile, constants


def constant(module: str, name: str, value: Value) -> Value:
    """Look whether there is such a constant, and whether the value may stand for it."""
    there = importlib.import_module(f"myrtlecourse.{MODULES[module]}")
    if not str(there.__file__).endswith(".py"):
        raise PlanError(f"{module}.{name}: constants can be changed in the sources only, not compiled")
    before = getattr(there, name, None)
    if not name.isupper() or isinstance(before, bool) or not isinstance(before, int | float):
        raise PlanError(f"there is no number {module}.{name}")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PlanError(f"{module}.{name} is a number, not {value!r}")
    return value


def sources() -> str:
    """A digest of all that a simulated run depends on but its inputs."""
    digest = hashlib.sha256()
    root = Path(myrtlecourse.__file__).parent
    for file in sorted(root.rglob("*.py")):
        if "experiment" not in file.relative_to(root).parts:
            digest.update(f"{file.relative_to(root)}\n".encode() + file.read_bytes())
    return digest.hexdigest()
