"""Expectations of routing as operators write them: the schema of the TOML file, and its contradictions.

An expectation states what is given (a fleet and its faults, a request, the outcomes of earlier attempts) and
what must then happen. All names are those of the settings and lists.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from myrtlecourse import interface as api
from myrtlecourse.load.profile import Name, Share

MAX_KEYS = 1_000_000
MAX_EXPECTATIONS = 100_000
KEY_RANGE = re.compile(r"\{(\d{1,9})\.\.(\d{1,9})\}")
ServerIds = tuple[Name, ...]
AttemptOutcome = Literal["error", "full", "timeout", "connect_failed", "reset", "miss"]
Answer = Literal["sent", "refused", "failed", "waits"]


class ExpectError(ValueError):
    """Expectations that can't be used; the message names the file and the field."""


class Server(Struct, forbid_unknown_fields=True, frozen=True):
    """A server of a named fleet, with the fields of discovery's list."""

    id: Name
    kind: str = ""
    zone: str = ""
    group: int = 0
    weight: Annotated[float, Meta(ge=0.0, le=1e9)] = 1.0


class NamedFleet(Struct, forbid_unknown_fields=True, frozen=True):
    """A named list of servers."""

    name: Name
    servers: Annotated[tuple[Server, ...], Meta(min_length=1, max_length=10_000)]

    def __post_init__(self) -> None:
        ids = [s.id for s in self.servers]
        if duplicate := next((i for i in ids if ids.count(i) > 1), None):
            raise ValueError(f"fleet {self.name}: {duplicate} is listed twice")


class Given(Struct, forbid_unknown_fields=True, frozen=True):
    """The state of the fleet, and a request."""

    request_class: Annotated[str, Meta(min_length=1)] = msgspec.field(name="class")
    keys: tuple[str, ...] = ()  # keys, or patterns with a range, `pupil-{0..999}`; empty: no key
    write: bool = False
    time_left: Annotated[float, Meta(ge=0.0, le=600.0)] = 2.0  # seconds
    gone: ServerIds = ()  # no longer listed
    draining: ServerIds = ()
    offline: ServerIds = ()  # banned by operators
    cold: ServerIds = ()  # just started
    earlier: tuple[AttemptOutcome, ...] = ()  # outcomes of earlier attempts, first to last

    def expand_keys(self) -> Iterator[str | None]:
        """Yield all keys, those of a pattern in the order of their numbers."""
        if not self.keys:
            yield None
        for key in self.keys:
            found = KEY_RANGE.search(key)
            if found is None:
                yield key
                continue
            for number in range(int(found[1]), int(found[2]) + 1):
                yield f"{key[: found.start()]}{number}{key[found.end() :]}"

    def count(self) -> int:
        """Return the number of keys."""
        if not self.keys:
            return 1  # a request without a key
        ranges = [KEY_RANGE.search(k) for k in self.keys]
        return sum(max(0, int(f[2]) - int(f[1]) + 1) if f else 1 for f in ranges)


class Then(Struct, forbid_unknown_fields=True, frozen=True):
    """What must happen to the attempt after the earlier ones, in all cases or in a share of them."""

    to: ServerIds = ()  # the attempt goes to one of these
    zone: str | None = None
    kind: str | None = None
    never: ServerIds = ()
    answer: Answer | None = None
    come_back_at_most: Annotated[float, Meta(ge=0.0)] | None = None  # highest `retry_after` of a refusal (s)
    share: tuple[Share, Share] | None = None  # range of the share of cases; None: all cases
    spread: dict[str, tuple[Share, Share]] = {}  # server -> range of its share of the keys

    def expects_server(self) -> bool:
        """Return whether the attempt is expected to go to certain servers."""
        return bool(self.to or self.zone is not None or self.kind is not None or self.spread)


class Expectation(Struct, forbid_unknown_fields=True, frozen=True):
    """One expectation: what must happen in a given state."""

    name: Annotated[str, Meta(min_length=1, max_length=200)]  # a sentence that states the expectation
    fleet: Name
    given: Given
    then: Then


class Expectations(Struct, forbid_unknown_fields=True, frozen=True):
    """The content of an expectations file."""

    fleets: Annotated[tuple[NamedFleet, ...], Meta(min_length=1, max_length=1000)]
    expect: Annotated[tuple[Expectation, ...], Meta(max_length=MAX_EXPECTATIONS)] = ()
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 20  # number of random seeds that each one is checked with

    def fleets_by_name(self) -> dict[str, NamedFleet]:
        """Return the fleets by name."""
        return {f.name: f for f in self.fleets}


def read_expectations(path: Path) -> Expectations:
    """Read an expectations file. Raises ExpectError."""
    try:
        expectations = msgspec.toml.decode(path.read_bytes(), type=Expectations)
    except OSError as e:
        raise ExpectError(f"{path}: {e.strerror}") from e
    except (msgspec.DecodeError, ValueError) as e:
        raise ExpectError(f"{path}: {e}") from e
    for name, names in (
        ("fleets", [f.name for f in expectations.fleets]),
        ("expect", [e.name for e in expectations.expect]),
    ):
        if len(set(names)) < len(names):
            raise ExpectError(f"{path}: a name appears twice in `{name}`")
    return expectations


class Contradiction(Struct, frozen=True):
    """Expectations that no router can meet, or that never apply."""

    first: str
    second: str  # same as `first` if one contradicts itself
    why: str


def contradictions(expectations: Expectations, settings: api.Settings) -> list[Contradiction]:
    """Return the expectations that can't hold, without running the decision module.

    An expectation allows a set of servers; two that have the same state given must have a server in common.
    """
    found = []
    fleets = expectations.fleets_by_name()
    allowed: dict[bytes, list[tuple[Expectation, set[str]]]] = {}
    for expectation in expectations.expect:
        why = _impossible(expectation, fleets, settings)
        if why:
            found.append(Contradiction(expectation.name, expectation.name, why))
            continue
        if expectation.then.to or expectation.then.zone is not None or expectation.then.kind is not None:
            state = msgspec.json.encode((expectation.fleet, expectation.given))
            allowed.setdefault(state, []).append(
                (expectation, _allowed_servers(expectation, fleets[expectation.fleet]))
            )
    for same_state in allowed.values():
        for (one, its_servers), (other, other_servers) in itertools.combinations(same_state, 2):
            certain = one.then.share is None and other.then.share is None
            if certain and not its_servers & other_servers:
                found.append(Contradiction(one.name, other.name, "no server is allowed by both"))
    return found


def _allowed_servers(expectation: Expectation, fleet: NamedFleet) -> set[str]:
    """Return the servers that an expectation allows."""
    then = expectation.then
    return {
        s.id
        for s in fleet.servers
        if (not then.to or s.id in then.to)
        and (then.zone is None or s.zone == then.zone)
        and (then.kind is None or s.kind == then.kind)
        and s.id not in then.never
    }


def _impossible(expectation: Expectation, fleets: dict[str, NamedFleet], settings: api.Settings) -> str:
    """Return why no router can meet an expectation, or why it never applies; else an empty string."""
    fleet, given, then = fleets.get(expectation.fleet), expectation.given, expectation.then
    if fleet is None:
        return f"no fleet is named {expectation.fleet}"
    if given.request_class not in settings.classes:
        return f"no class is named {given.request_class}"
    ids = {s.id for s in fleet.servers}
    named = {*given.gone, *given.draining, *given.offline, *given.cold, *then.to, *then.never, *then.spread}
    if unknown := sorted(named - ids):
        return f"fleet {expectation.fleet} has no {', '.join(unknown)}"
    if given.count() > MAX_KEYS:
        return f"over {MAX_KEYS:,} keys"
    if given.count() < 1:
        return "its range of keys is empty"
    return _conflicting_figures(expectation, settings) or _no_server(expectation, fleet)


def _conflicting_figures(expectation: Expectation, settings: api.Settings) -> str:
    """Return why the numbers of an expectation contradict each other, or an empty string."""
    given, then = expectation.given, expectation.then
    if len(given.earlier) >= settings.max_attempts and then.expects_server():
        return f"{len(given.earlier)} attempts are all that the settings allow"
    if then.answer in ("refused", "failed", "waits") and then.expects_server():
        return f"what is {then.answer} goes nowhere"
    if then.come_back_at_most is not None and then.answer != "refused":
        return "only what is refused has a time to retry"
    if then.share is not None and then.share[0] > then.share[1]:
        return "share: from more to less"
    least = sum(low for low, _ in then.spread.values())
    if least > 1 or any(low > high for low, high in then.spread.values()):
        return "spread: more than everything"
    return ""


def _no_server(expectation: Expectation, fleet: NamedFleet) -> str:
    """Return why no server could get the request, or an empty string."""
    given = expectation.given
    if not expectation.then.expects_server():
        return ""
    unavailable = {*given.gone, *given.draining, *given.offline}
    allowed_servers = _allowed_servers(expectation, fleet)
    if not allowed_servers:
        return "it allows no server"
    if allowed_servers <= unavailable:
        return f"all that it allows is gone, draining or offline: {', '.join(sorted(allowed_servers))}"
    return ""
