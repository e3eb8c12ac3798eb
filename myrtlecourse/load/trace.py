"""Traces: recorded requests as JSON lines, read in constant memory.

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
MAX_CACHED_CLASSES = 1000  # distinct request classes that are cached; bounds memory


class TraceError(ProfileError):
    """A trace can't be used; the message names the file and the line."""


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
    """How a trace is replayed: `speed` 2 is twice as fast; `loops` is how often it is repeated."""

    path: Path
    speed: float = 1.0
    loops: int = 1
    classes: tuple[RequestClass, ...] = ()  # deadlines and aims by name; other names have the defaults


def read_trace(path: Path) -> Iterator[TraceLine]:
    """Yield the lines of a trace in order. Raises TraceError if the file or a line can't be used."""
    decoder = msgspec.json.Decoder(TraceLine)
    number = 0
    previous_at = 0.0
    try:
        with path.open("rb") as file:
            while text := file.readline(MAX_LINE + 1):
                number += 1
                if len(text) > MAX_LINE:
                    raise TraceError(f"{path}:{number}: longer than {MAX_LINE} bytes")
                if not text.strip():
                    continue
                line = decoder.decode(text)
                if line.at < previous_at:
                    raise TraceError(
                        f"{path}:{number}: `at` is {line.at:g}, after {previous_at:g}: not sorted"
                    )
                previous_at = line.at
                yield line
    except msgspec.DecodeError as e:
        raise TraceError(f"{path}:{number}: {e}") from e
    except OSError as e:
        raise TraceError(f"{path}: {e.strerror}") from e
    if not previous_at and not number:
        raise TraceError(f"{path}: no request in it")


def replay_requests(replay: Replay, worker: int = 0, workers: int = 1) -> Iterator[PlannedRequest]:
    """Yield the requests of one of several workers, among whom the lines are distributed by round robin."""
    by_name = {c.name: c for c in replay.classes}
    cached: dict[tuple[str, bool, int, int], RequestClass] = {}
    loop_start = 0.0
    for _ in range(replay.loops):
        last = 0.0
        for number, line in enumerate(read_trace(replay.path)):
            last = line.at
            if number % workers != worker:
                continue
            identity = (line.class_, line.write, line.size, line.hint)
            request_class = cached.get(identity)
            if request_class is None:
                base = by_name.get(line.class_, RequestClass(line.class_))
                keyed = base.keyed and line.write
                request_class = msgspec.structs.replace(
                    base, write=line.write, keyed=keyed, size=line.size, hint=line.hint
                )
                if len(cached) < MAX_CACHED_CLASSES:
                    cached[identity] = request_class
            yield PlannedRequest(
                (loop_start + line.at) / replay.speed, request_class, line.tenant, line.key, False
            )
        loop_start += last
