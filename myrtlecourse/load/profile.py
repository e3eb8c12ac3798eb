"""The profile of a load: a TOML file, checked by a strict schema.

A field that is unknown, of the wrong type or out of its bounds is an error that names it.
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
]  # as the protocol's info list allows: no `,` or `=`


class ProfileError(ValueError):
    """A profile can't be used; the message names the file and the field."""


class Piece(Struct, forbid_unknown_fields=True, frozen=True):
    """A part of the run and the rate of arrivals in it (requests a second).

    `constant` keeps `rate`; `ramp` changes linearly from `rate` to `to`; `step` jumps to `to` half way;
    `spike` rises from `rate` to `to` in its first tenth and then decays by half every sixth of its length,
    like the load on the morning when an enrolment opens; `wave` is one cosine period between both; `bursts`
    is at `to` for the first fifth of every second.
    """

    seconds: Seconds
    rate: Rate
    shape: Literal["constant", "ramp", "step", "spike", "wave", "bursts"] = "constant"
    to: Rate | None = None

    def __post_init__(self) -> None:
        if (self.to is None) != (self.shape == "constant"):
            raise ValueError("`to` is required for every shape but constant, which has none")

    def at(self, offset: float) -> float:
        """Return the rate at `offset` seconds after the start of the piece."""
        low, high, fraction = self.rate, self.rate if self.to is None else self.to, offset / self.seconds
        match self.shape:
            case "ramp":
                return low + (high - low) * fraction
            case "step":
                return low if fraction < 0.5 else high
            case "spike":
                rise = min(1.0, fraction / 0.1)
                return low + (high - low) * rise * math.exp2(-6 * max(0.0, fraction - 0.1))
            case "wave":
                return low + (high - low) * (1 - math.cos(2 * math.pi * fraction)) / 2
            case "bursts":
                return high if offset % 1.0 < 0.2 else low
        return low


class RequestClass(Struct, forbid_unknown_fields=True, frozen=True):
    """One class of requests and its share of the mix.

    Times are in seconds, sizes in bytes, hints in microseconds.
    """

    name: Name
    share: Weight = 1.0
    deadline: Seconds = 2.0
    aim: Seconds = 1.0  # latency up to which an answer counts as goodput
    write: bool = False
    keyed: bool = False  # carries an idempotency key, the same with each retry
    group: Literal["all", "zone", "cell"] = "all"  # the scope in which servers drop repeats of a key
    size: Annotated[int, Meta(ge=0, le=65_536)] = 64  # size of a written value
    hint: Annotated[int, Meta(ge=0, le=10**9)] = 0  # 0: no hint is sent


class Tenant(Struct, forbid_unknown_fields=True, frozen=True):
    """One tenant and its share of the requests."""

    name: Name
    share: Weight = 1.0


class Keys(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of requests: Zipf's law over `count` keys, whose ranks shift by `drift` keys a second."""

    count: Annotated[int, Meta(ge=1, le=10_000_000)] = 10_000
    zipf: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.9
    drift: Annotated[float, Meta(ge=0.0, le=100_000.0)] = 0.0


class Clients(Struct, forbid_unknown_fields=True, frozen=True):
    """The behaviour of clients: how often they retry, and how many leave while they wait."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff: Seconds = 0.1  # delay of a retry if the answer names none; doubled with each retry
    honour: Share = 1.0  # share of the retry delays in refusals that clients respect
    leave: Share = 0.0  # share of requests whose client leaves after half of the deadline
    connections: Annotated[int, Meta(ge=1, le=60_000)] = 256  # maximum per worker


class HotKeys(Struct, forbid_unknown_fields=True, frozen=True):
    """A period in which a few keys receive a share of all reads."""

    at: Annotated[float, Meta(ge=0.0)]  # seconds after the start
    seconds: Seconds
    share: Share
    keys: Annotated[int, Meta(ge=1, le=10_000)] = 1


class Profile(Struct, forbid_unknown_fields=True, frozen=True):
    """A whole load."""

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
                raise ValueError(f"a name occurs twice in `{what}`")
        for request_class in self.classes:
            if request_class.keyed and not request_class.write:
                raise ValueError(f"class {request_class.name}: only a write can be keyed")

    @property
    def seconds(self) -> float:
        """The length of the load."""
        return sum(p.seconds for p in self.pieces)


def read_profile(path: Path) -> Profile:
    """Read a profile file. Raises ProfileError."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Profile)
    except (OSError, msgspec.DecodeError, ValueError) as e:
        raise ProfileError(f"{path}: {e}") from e


def constant(rate: float, seconds: float) -> Profile:
    """Return a profile of reads with Poisson arrivals at a constant rate. Raises ProfileError."""
    try:
        return msgspec.convert({"pieces": [{"rate": rate, "seconds": seconds}]}, Profile)
    except msgspec.ValidationError as e:
        raise ProfileError(f"rate and duration: {e}") from e
