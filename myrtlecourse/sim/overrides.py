"""Scenario and profile files with single values changed from the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec

from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load.profile import Profile, ProfileError

T = TypeVar("T")


class PathError(ValueError):
    """A path that leads nowhere, or a value that is none; the message names it."""


def apply_override(table: Any, change: str) -> None:
    """Carry out `path=value` in a table: names and list places, with dots between; the value is TOML."""
    path, equals, text = change.partition("=")
    try:
        value = msgspec.toml.decode(f"v = {text}")["v"]
    except msgspec.DecodeError:
        value = text  # a word needs no quotes
    *way, last = path.strip().split(".")
    if not equals or not last:
        raise PathError(f"{change!r} is not path=value")
    here = table
    for step in way:
        here = _inside(here, step, change)
    if isinstance(here, list):
        _inside(here, last, change)
        here[int(last)] = value
    elif isinstance(here, dict):
        here[last] = value
    else:
        raise PathError(f"{change!r}: {way[-1] if way else path} holds no values of its own")


def _inside(here: Any, step: str, change: str) -> Any:
    if isinstance(here, list):
        if not step.isdigit() or int(step) >= len(here):
            raise PathError(f"{change!r}: {step} is no place in a list of {len(here)}")
        return here[int(step)]
    if not isinstance(here, dict):
        raise PathError(f"{change!r}: nothing is inside {step}")
    return here.setdefault(step, {})


def _read(file: Path, kind: type[T], changes: list[str], error: type[ValueError]) -> T:
    try:
        table = msgspec.toml.decode(file.read_bytes())
        for change in changes:
            apply_override(table, change)
        return msgspec.convert(table, kind)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError, ValueError) as e:
        raise error(f"{file}: {e}") from e


def read_scenario_and_profile(scenario: Path, profile: Path, changes: list[str]) -> tuple[Scenario, Profile]:
    """A scenario and a profile; changes whose path begins with `profile.` are the latter's."""
    ours = [c.removeprefix("profile.") for c in changes if c.startswith("profile.")]
    theirs = [c for c in changes if not c.startswith("profile.")]
    return (_read(scenario, Scenario, theirs, ScenarioError), _read(profile, Profile, ours, ProfileError))
