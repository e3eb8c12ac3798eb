"""Counterexamples: schedules of faults that broke a rule, in files that `myrtlecourse sim` replays."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from myrtlecourse.fleet.scenario import Scenario, ScenarioError
from myrtlecourse.load.profile import Profile


class Counterexample(Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario and a load that break a rule; `breaches` is counted by kind, as by the auditor."""

    scenario: Scenario
    profile: Profile
    breaches: dict[str, int]


def write_counterexample(file: Path, counterexample: Counterexample) -> None:
    """Write a counterexample as JSON."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(counterexample)) + b"\n")


def read_counterexample(file: Path) -> Counterexample:
    """Read a counterexample. Raises ScenarioError, which names the file and the field."""
    try:
        return msgspec.json.decode(file.read_bytes(), type=Counterexample)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise ScenarioError(f"{file}: {e}") from e
