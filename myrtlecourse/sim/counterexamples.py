"""A schedule that broke a rule, as a file that `myrtlecourse sim` replays."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load.profile import Profile


class Counterexample(Struct, forbid_unknown_fields=True, frozen=True):
    """One find: `breaches` by kind, as the auditor counted them."""

    scenario: Scenario
    profile: Profile
    breaches: dict[str, int]


def write_counterexample(file: Path, find: Counterexample) -> None:
    """Write it as JSON."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(find)) + b"\n")


def read_counterexample(file: Path) -> Counterexample:
    """Read it again. Raises ScenarioError, which names the file and the field."""
    try:
        return msgspec.json.decode(file.read_bytes(), type=Counterexample)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise ScenarioError(f"{file}: {e}") from e
