"""What the fleet and the clients saw, one observation a line, from any number of processes.

Times are in seconds on the machine's monotonic clock, which all its processes share. Files hold JSON lines,
each file in the order of its times; they are read side by side in constant memory.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct

MAX_LINE = 1024 * 1024  # bytes
GATHERED = 256  # observations between two writes


class ObservationError(ValueError):
    """A file that can't be used; the message names the file and the line."""


class ObservationBase(Struct, frozen=True, tag_field="saw", forbid_unknown_fields=True):
    """Something seen at a time."""

    at: float


class RequestSent(ObservationBase, frozen=True, tag="asked"):
    """A client has written a request's last byte."""

    id: str
    router: str
    request_class: str
    deadline: float  # when it stops waiting
    effect: str  # free, guarded, single_shot
    key: str = ""  # of idempotency


class RequestAnswered(ObservationBase, frozen=True, tag="answered"):
    """A whole answer has come: `served`, `refused` or `failed`; `made`: for this very request."""

    id: str
    how: str
    made: bool = True


class RequestUnanswered(ObservationBase, frozen=True, tag="unanswered"):
    """No answer came: its client `left`, its connection `ended`, or it is `late`, past its deadline."""

    id: str
    how: str
    kept: bool = False  # the connection had carried an answer before


class UnexpectedBytes(ObservationBase, frozen=True, tag="unasked"):
    """Bytes came to a client that waited for none."""

    router: str
    after: str  # the request answered last on that connection


class AttemptReceived(ObservationBase, frozen=True, tag="sent"):
    """A router's attempt has come whole to a box or the origin; `began` is when its first byte came."""

    id: str
    box: str
    router: str
    began: float
    effect: str
    group: str = ""  # of the servers that drop each other's repeats
    window: float = 0.0
    key: str = ""
    until: float = 0.0  # when the box was told that the router stops waiting; 0: not known


class NeverRan(ObservationBase, frozen=True, tag="never_ran"):
    """An attempt was answered in a way that proves it never ran."""

    id: str
    box: str


class WriteExecuted(ObservationBase, frozen=True, tag="ran"):
    """A write took effect."""

    id: str
    box: str
    key: str = ""


class ServerStarted(ObservationBase, frozen=True, tag="started"):
    """A box has started, cold."""

    box: str


class ColdServerOverloaded(ObservationBase, frozen=True, tag="fell"):
    """A cold box was pushed over; the work that each router had sent it."""

    box: str
    work: dict[str, float]


class ListChanged(ObservationBase, frozen=True, tag="listed"):
    """Discovery's list has changed."""

    box: str
    status: str
    since: float  # of its start; 0 for long ago


class ListEntrySent(ObservationBase, frozen=True, tag="told"):
    """Discovery has written an entry to a router."""

    router: str
    box: str
    status: str
    since: float


class DiscoveryCall(ObservationBase, frozen=True, tag="calls"):
    """A router's call of discovery has `begun`, `ended` or `failed`."""

    router: str
    how: str


class RouterUp(ObservationBase, frozen=True, tag="router_up"):
    """A router has been started."""

    router: str


class RouterDown(ObservationBase, frozen=True, tag="router_down"):
    """A router is gone; what it held is its clients' to ask again if it was killed."""

    router: str
    killed: bool


class RouterExited(ObservationBase, frozen=True, tag="router_gone"):
    """The kernel has ended a killed router's process, whose sockets took requests until then."""

    router: str


class ServerZone(ObservationBase, frozen=True, tag="stands"):
    """A box stands in a zone."""

    box: str
    zone: str


class ScenarioStep(ObservationBase, frozen=True, tag="happened"):
    """A scenario did something to a box (`fleet.faults.Step`), to the routers named or to all."""

    box: str
    what: str
    routers: tuple[str, ...] = ()


class UnreachableDial(ObservationBase, frozen=True, tag="dialled"):
    """A router has tried to reach a box that it can't reach; seen in virtual time alone."""

    router: str
    box: str


class RouterStalled(ObservationBase, frozen=True, tag="stalled"):
    """A router's process was stopped for so many seconds, from then on."""

    router: str
    seconds: float


class FollowsHolder(ObservationBase, frozen=True, tag="obeys"):
    """A router obeys a duty's holder from now on, under a token; told by itself."""

    router: str
    duty: str
    token: int


class FollowsNobody(ObservationBase, frozen=True, tag="rests"):
    """A router obeys nobody for a duty; told by itself, maybe later."""

    router: str
    duty: str


class HoldsDuty(ObservationBase, frozen=True, tag="holds"):
    """A router acts for a duty from now on; with token 0, no more."""

    router: str
    duty: str
    token: int


class StepDone(ObservationBase, frozen=True, tag="did"):
    """A duty's step was done, as its command tells."""

    router: str
    duty: str
    step: int
    token: int


class BanAcknowledged(ObservationBase, frozen=True, tag="banned"):
    """A router has said yes to an operator who took a box out, or gave it `back`."""

    router: str
    box: str
    back: bool = False


Observation = (
    RequestSent
    | RequestAnswered
    | RequestUnanswered
    | UnexpectedBytes
    | AttemptReceived
    | NeverRan
    | WriteExecuted
    | ServerStarted
    | ColdServerOverloaded
    | ListChanged
    | ListEntrySent
    | DiscoveryCall
    | RouterUp
    | RouterDown
    | RouterExited
    | ServerZone
    | ScenarioStep
    | UnreachableDial
    | RouterStalled
    | BanAcknowledged
    | FollowsHolder
    | FollowsNobody
    | HoldsDuty
    | StepDone
)


class ObservationLog:
    """Writes observations to a file, a few at a time."""

    def __init__(self, path: Path) -> None:
        self.file: IO[bytes] = path.open("wb")
        self.encoder = msgspec.json.Encoder()
        self.gathered: list[Observation] = []

    def add(self, seen: Observation) -> None:
        """Write it, soon."""
        self.gathered.append(seen)
        if len(self.gathered) >= GATHERED:
            self.flush()

    def flush(self) -> None:
        """Write all that is gathered."""
        # of one process, but answers may be stamped when their bytes came and written when they are whole
        self.gathered.sort(key=lambda o: o.at)
        self.file.write(self.encoder.encode_lines(self.gathered))
        self.file.flush()
        self.gathered.clear()

    def close(self) -> None:
        """Write the rest and close."""
        self.flush()
        self.file.close()


def read_log(path: Path) -> Iterator[Observation]:
    """The observations of a file, checked."""
    decoder = msgspec.json.Decoder(Observation)
    number = 0
    try:
        with path.open("rb") as file:
            while text := file.readline(MAX_LINE + 1):
                number += 1
                if len(text) > MAX_LINE:
                    raise ObservationError(f"{path}:{number}: longer than {MAX_LINE} bytes")
                yield decoder.decode(text)
    except msgspec.DecodeError as e:
        raise ObservationError(f"{path}:{number}: {e}") from e
    except OSError as e:
        raise ObservationError(f"{path}: {e.strerror}") from e


def merge_logs(paths: list[Path]) -> Iterator[Observation]:
    """All observations of some files in the order of their times."""
    return heapq.merge(*(read_log(p) for p in paths), key=lambda o: o.at)
