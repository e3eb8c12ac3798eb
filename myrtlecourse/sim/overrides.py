"""Reads scenario and profile files, with single values overridden from the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec

from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load.profile import Profile, ProfileError

T = TypeVar("T")


class PathError(ValueError):
    """An override whose path does not exist or that is not `path=value`; the message quotes it."""


def apply_override(table: Any, override: str) -> None:
    """Apply `path=value` to a table. The path is names and list indexes joined by dots, the value TOML."""
    path, equals, text = override.partition("=")
    try:
        value = msgspec.toml.decode(f"v = {text}")["v"]
    except msgspec.DecodeError:
        value = text  # a single word needs no quotes
    *parents, last = path.strip().split(".")
    if not equals or not last:
        raise PathError(f"{override!r} is not path=value")
    container = table
    for step in parents:
        container = _descend(container, step, override)
    if isinstance(container, list):
        _descend(container, last, override)
        container[int(last)] = value
    elif isinstance(container, dict):
        container[last] = value
    else:
        raise PathError(f"{override!r}: {parents[-1] if parents else path} is neither a table nor a list")


def _descend(container: Any, step: str, override: str) -> Any:
    """Return the value under a name or index; a missing name becomes an empty table."""
    if isinstance(container, list):
        if not step.isdigit() or int(step) >= len(container):
            raise PathError(f"{override!r}: {step} is not an index of a list of {len(container)}")
        return container[int(step)]
    if not isinstance(container, dict):
        raise PathError(f"{override!r}: neither a table nor a list holds {step}")
    return container.setdefault(step, {})


def _read(file: Path, kind: type[T], overrides: list[str], error: type[ValueError]) -> T:
    try:
        table = msgspec.toml.decode(file.read_bytes())
        for override in overrides:
            apply_override(table, override)
        return msgspec.convert(table, kind)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError, ValueError) as e:
        raise error(f"{file}: {e}") from e


def read_scenario_and_profile(
    scenario: Path, profile: Path, overrides: list[str]
) -> tuple[Scenario, Profile]:
    """Read a scenario and a profile; overrides whose path begins with `profile.` are for the profile.

    Raises ScenarioError or ProfileError, which name the file.
    """
    for_profile = [c.removeprefix("profile.") for c in overrides if c.startswith("profile.")]
    for_scenario = [c for c in overrides if not c.startswith("profile.")]
    return (
        _read(scenario, Scenario, for_scenario, ScenarioError),
        _read(profile, Profile, for_profile, ProfileError),
    )
