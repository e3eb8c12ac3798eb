"""Recorded load: JSON lines, one request each, read in constant memory.

A line holds `at` (seconds from the start, never less than in the line before), `class`, `tenant` and `key`,
and may hold `write` (bool), `size` (bytes of a written value) and `hint` (microseconds). Every error names
the file and the line.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from myrtlecourse.load.profile import Name, ProfileError, RequestClass
from myrtlecourse.load.requests import PlannedRequest

MAX_LINE = 64 * 1024  # bytes
MAX_CACHED_CLASSES = 1000  # of classes, sizes and hints told apart: names can't fill the memory


class TraceError(ProfileError):
    """A trace that can't be used; the message names the file and the line."""


class TraceLine(Struct, forbid_unknown_fields=True, frozen=True):
    """One request of a trace."""

    at: Annotated[float, Meta(ge=0.0, le=31_536_000.0)]
    class_: Name = msgspec.field(name="class")
    tenant: Name
    key: Annotated[str, Meta(pattern=r"^[!-~]{1,1024}$")]
    write: bool = False
    size: Annotated[int, Meta(ge=0, le=65_536)] = 64
    hint: Annotated[int, Meta(ge=0, le=10**9)] = 0


@dataclass(frozen=True)
class Replay:
    """How a trace is played: `speed` 2 is twice as fast; `loops` of it, one behind the other."""

    path: Path
    speed: float = 1.0
    loops: int = 1
    classes: tuple[RequestClass, ...] = ()  # deadlines and aims by name; others have the defaults


def read_trace(path: Path) -> Iterator[TraceLine]:
    """The lines of a trace, checked, in order."""
    decoder = msgspec.json.Decoder(TraceLine)
    number = 0
    before = 0.0
    try:
        with path.open("rb") as file:
            while text := file.readline(MAX_LINE + 1):
                number += 1
                if len(text) > MAX_LINE:
                    raise TraceError(f"{path}:{number}: longer than {MAX_LINE} bytes")
                if not text.strip():
                    continue
                line = decoder.decode(text)
                if line.at < before:
                    raise TraceError(f"{path}:{number}: `at` is {line.at:g}, after {before:g}: not sorted")
                before = line.at
                yield line
    except msgspec.DecodeError as e:
        raise TraceError(f"{path}:{number}: {e}") from e
    except OSError as e:
        raise TraceError(f"{path}: {e.strerror}") from e
    if not before and not number:
        raise TraceError(f"{path}: no request in it")


def replay_requests(replay: Replay, worker: int = 0, workers: int = 1) -> Iterator[PlannedRequest]:
    """The requests of one of several workers, which take the lines in turn."""
    known = {c.name: c for c in replay.classes}
    kinds: dict[tuple[str, bool, int, int], RequestClass] = {}
    began = 0.0
    for _ in range(replay.loops):
        last = 0.0
        for number, line in enumerate(read_trace(replay.path)):
            last = line.at
            if number % workers != worker:
                continue
            name = (line.class_, line.write, line.size, line.hint)
            kind = kinds.get(name)
            if kind is None:
                base = known.get(line.class_, RequestClass(line.class_))
                keyed = base.keyed and line.write
                kind = msgspec.structs.replace(
                    base, write=line.write, keyed=keyed, size=line.size, hint=line.hint
                )
                if len(kinds) < MAX_CACHED_CLASSES:
                    kinds[name] = kind
            yield PlannedRequest((began + line.at) / replay.speed, kind, line.tenant, line.key, False)
        began += last
