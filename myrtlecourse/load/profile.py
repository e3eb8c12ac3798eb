"""What load to make: the profile file, read by one strict schema.

A profile is TOML. A field that is unknown, of the wrong type or out of its bounds is an error that names it.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]  # requests a second
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Weight = Annotated[float, Meta(ge=0.0)]
Name = Annotated[
    str, Meta(pattern=r"^[!-+\--<>-~]{1,64}$")
]  # what the protocol's list may hold: no `,` or `=`


class ProfileError(ValueError):
    """A profile that can't be used; the message names the file and the field."""


class Piece(Struct, forbid_unknown_fields=True, frozen=True):
    """A stretch of time and the rate of arrivals in it (requests a second).

    `constant` keeps `rate`; `ramp` goes evenly from `rate` to `to`; `step` jumps to `to` half way; `spike`
    rises from `rate` to `to` in its first tenth and falls back by half every sixth of its length, as on the
    morning when enrolment opens; `wave` swings between both once; `bursts` is at `to` for a fifth of every
    second.
    """

    seconds: Seconds
    rate: Rate
    shape: Literal["constant", "ramp", "step", "spike", "wave", "bursts"] = "constant"
    to: Rate | None = None

    def __post_init__(self) -> None:
        if (self.to is None) != (self.shape == "constant"):
            raise ValueError("`to` belongs to every shape but constant")

    def at(self, offset: float) -> float:
        """The rate so many seconds after the piece began."""
        low, high, part = self.rate, self.rate if self.to is None else self.to, offset / self.seconds
        match self.shape:
            case "ramp":
                return low + (high - low) * part
            case "step":
                return low if part < 0.5 else high
            case "spike":
                rise = min(1.0, part / 0.1)
                return low + (high - low) * rise * math.exp2(-6 * max(0.0, part - 0.1))
            case "wave":
                return low + (high - low) * (1 - math.cos(2 * math.pi * part)) / 2
            case "bursts":
                return high if offset % 1.0 < 0.2 else low
        return low


class RequestClass(Struct, forbid_unknown_fields=True, frozen=True):
    """One kind of request and its part of the mix.

    Times are in seconds, sizes in bytes, hints in microseconds.
    """

    name: Name
    share: Weight = 1.0
    deadline: Seconds = 2.0
    aim: Seconds = 1.0  # an answer within it is goodput
    write: bool = False
    keyed: bool = False  # brings an idempotency key, the same with each repeat
    group: Literal["all", "zone", "cell"] = "all"  # of the servers that drop a repeat of a key
    size: Annotated[int, Meta(ge=0, le=65_536)] = 64  # of a written value
    hint: Annotated[int, Meta(ge=0, le=10**9)] = 0  # 0: none is given


class Tenant(Struct, forbid_unknown_fields=True, frozen=True):
    """One tenant and its part of the requests."""

    name: Name
    share: Weight = 1.0


class Keys(Struct, forbid_unknown_fields=True, frozen=True):
    """Which keys are asked for: Zipf's law over `count` keys, whose ranks move on by `drift` a second."""

    count: Annotated[int, Meta(ge=1, le=10_000_000)] = 10_000
    zipf: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.9
    drift: Annotated[float, Meta(ge=0.0, le=100_000.0)] = 0.0


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """What clients do: how often they ask again, and how many go away while they wait."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff: Seconds = 0.1  # where the answer told no time; doubled with each repeat
    honour: Share = 1.0  # of refusals' times to come back that are kept to
    leave: Share = 0.0  # of requests whose client goes away half way through its time
    connections: Annotated[int, Meta(ge=1, le=60_000)] = 256  # of each worker, at most


class HotKeys(Struct, forbid_unknown_fields=True, frozen=True):
    """For a while a few keys draw a share of all requests that are no writes."""

    at: Annotated[float, Meta(ge=0.0)]  # seconds after the start
    seconds: Seconds
    share: Share
    keys: Annotated[int, Meta(ge=1, le=10_000)] = 1


class Profile(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole of a load."""

    pieces: Annotated[tuple[Piece, ...], Meta(min_length=1, max_length=1000)]
    arrivals: Literal["poisson", "even"] = "poisson"
    seed: Annotated[int, Meta(ge=0)] = 1
    classes: tuple[RequestClass, ...] = (RequestClass("read"),)
    tenants: tuple[Tenant, ...] = (Tenant("demo"),)
    keys: Keys = Keys()
    clients: Clients = Clients()
    hot: tuple[HotKeys, ...] = ()

    def __post_init__(self) -> None:
        for what, members in (("classes", self.classes), ("tenants", self.tenants)):
            names = [m.name for m in members]
            if not sum(m.share for m in members):
                raise ValueError(f"the shares of `{what}` sum to 0")
            if len(set(names)) < len(names):
                raise ValueError(f"a name stands twice in `{what}`")
        for each in self.classes:
            if each.keyed and not each.write:
                raise ValueError(f"class {each.name}: only a write can be keyed")

    @property
    def seconds(self) -> float:
        """How long it lasts."""
        return sum(p.seconds for p in self.pieces)


def read_profile(path: Path) -> Profile:
    """Read a profile file."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Profile)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise ProfileError(f"{path}: {e}") from e


def constant(rate: float, seconds: float) -> Profile:
    """Reads at one rate, evenly as chance has it."""
    try:
        return msgspec.convert({"pieces": [{"rate": rate, "seconds": seconds}]}, Profile)
    except msgspec.ValidationError as e:
        raise ProfileError(f"rate and duration: {e}") from e
