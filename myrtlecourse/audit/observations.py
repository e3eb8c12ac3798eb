"""Observations of the fleet and its clients, and the log files that hold them.

Times are in seconds on the machine's monotonic clock, which all its processes share. Each process writes
a file of JSON lines, one observation a line, in the order of their times. Any number of files are merged by
time in constant memory.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct

MAX_LINE = 1024 * 1024  # bytes
FLUSH_AFTER = 256  # observations buffered before a write


class ObservationError(ValueError):
    """A log file can't be used; the message names the file and the line."""


class ObservationBase(Struct, frozen=True, tag_field="saw", forbid_unknown_fields=True):
    """What all observations share: the time at which the event was seen."""

    at: float


class RequestSent(ObservationBase, frozen=True, tag="asked"):
    """A client has written the last byte of a request."""

    id: str
    router: str
    request_class: str
    deadline: float  # when the client stops waiting
    effect: str  # free, guarded, single_shot
    key: str = ""  # the idempotency key, if any


class RequestAnswered(ObservationBase, frozen=True, tag="answered"):
    """A client has received a whole answer.

    `how` is `served`, `refused` or `failed`; `made` says whether the answer belongs to this request.
    """

    id: str
    how: str
    made: bool = True
    # when its last byte arrived, which the client may have read later; 0: at the time of this observation
    arrived: float = 0.0


class RequestUnanswered(ObservationBase, frozen=True, tag="unanswered"):
    """A request ended without an answer.

    `how` is `left` (the client went away), `ended` (the connection closed) or `late` (its deadline passed).
    """

    id: str
    how: str
    kept: bool = False  # whether the connection was reused: it had carried an answer before


class UnexpectedBytes(ObservationBase, frozen=True, tag="unasked"):
    """A client received bytes on a connection without an open request."""

    router: str
    after: str  # the last request on that connection; empty if there was none


class AttemptReceived(ObservationBase, frozen=True, tag="sent"):
    """A cache server or the origin has received a whole attempt; `began` is when its first byte arrived."""

    id: str
    box: str
    router: str
    began: float
    effect: str
    group: str = ""  # name of the group of servers that drop repeats of each other's requests
    window: float = 0.0  # seconds within which the group drops a repeat
    key: str = ""
    until: float = 0.0  # when the router stops waiting, by the deadline sent to the server; 0: not known


class NeverRan(ObservationBase, frozen=True, tag="never_ran"):
    """The answer to an attempt proves that it was not executed."""

    id: str
    box: str


class SecondAnswerSent(ObservationBase, frozen=True, tag="answered_again"):
    """A server has sent its answer to an attempt a second time.

    `crossed` is whether the connection carried the next request by then, which can't tell the second answer
    from its own.
    """

    id: str
    box: str
    router: str
    crossed: bool


class WriteExecuted(ObservationBase, frozen=True, tag="ran"):
    """A server has executed a write."""

    id: str
    box: str
    key: str = ""


class ServerStarted(ObservationBase, frozen=True, tag="started"):
    """A cache server has started with an empty cache."""

    box: str


class ColdServerOverloaded(ObservationBase, frozen=True, tag="fell"):
    """A cold cache server was overloaded; `work` is what each router had sent it."""

    box: str
    work: dict[str, float]


class ListChanged(ObservationBase, frozen=True, tag="listed"):
    """An entry of discovery's server list has changed."""

    box: str
    status: str
    since: float  # when the server started; 0 for long ago


class ListEntrySent(ObservationBase, frozen=True, tag="told"):
    """Discovery has written a list entry to a router."""

    router: str
    box: str
    status: str
    since: float


class DiscoveryCall(ObservationBase, frozen=True, tag="calls"):
    """A router's request to discovery has `begun`, `ended` or `failed`."""

    router: str
    how: str


class RouterUp(ObservationBase, frozen=True, tag="router_up"):
    """A router has been started."""

    router: str


class RouterDown(ObservationBase, frozen=True, tag="router_down"):
    """A router has ended. If it was killed, its clients must retry the requests that it held."""

    router: str
    killed: bool


class RouterExited(ObservationBase, frozen=True, tag="router_gone"):
    """The kernel has ended the process of a killed router; its sockets accepted requests until then."""

    router: str


class ServerZone(ObservationBase, frozen=True, tag="stands"):
    """Names the zone of a cache server."""

    box: str
    zone: str


class ScenarioStep(ObservationBase, frozen=True, tag="happened"):
    """A step of the scenario (`fleet.faults.Step`) was applied to a server, for some routers or for all."""

    box: str
    what: str
    routers: tuple[str, ...] = ()  # empty: all


class UnreachableDial(ObservationBase, frozen=True, tag="dialled"):
    """A router has dialled an unreachable cache server; observed in virtual time only."""

    router: str
    box: str


class RouterStalled(ObservationBase, frozen=True, tag="stalled"):
    """A router's process was stopped (SIGSTOP), for `seconds` from this time on."""

    router: str
    seconds: float


class FollowsHolder(ObservationBase, frozen=True, tag="obeys"):
    """A router follows the holder of a duty from now on, under a fencing token; reported by the router."""

    router: str
    duty: str
    token: int


class FollowsNobody(ObservationBase, frozen=True, tag="rests"):
    """A router follows no holder of a duty; reported by the router, possibly later."""

    router: str
    duty: str


class HoldsDuty(ObservationBase, frozen=True, tag="holds"):
    """A router holds a duty from now on; token 0 means that it has stopped holding it."""

    router: str
    duty: str
    token: int


class StepDone(ObservationBase, frozen=True, tag="did"):
    """A step of a duty was done; reported by the command of the duty."""

    router: str
    duty: str
    step: int
    token: int


class BanAcknowledged(ObservationBase, frozen=True, tag="banned"):
    """A router has acknowledged an operator's ban of a cache server, or the end of the ban (`back`)."""

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
    | SecondAnswerSent
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
    """Writes observations to a file, in batches."""

    def __init__(self, path: Path) -> None:
        self.file: IO[bytes] = path.open("wb")
        self.encoder = msgspec.json.Encoder()
        self.buffered: list[Observation] = []

    def add(self, observation: Observation) -> None:
        """Buffer an observation, and write the batch once it is full."""
        self.buffered.append(observation)
        if len(self.buffered) >= FLUSH_AFTER:
            self.flush()

    def flush(self) -> None:
        """Write all buffered observations."""
        # Observations of one process can be out of order: an answer carries the time at which its bytes
        # arrived, but is added only once it is complete.
        self.buffered.sort(key=lambda o: o.at)
        self.file.write(self.encoder.encode_lines(self.buffered))
        self.file.flush()
        self.buffered.clear()

    def close(self) -> None:
        """Write all buffered observations and close the file."""
        self.flush()
        self.file.close()


def read_log(path: Path) -> Iterator[Observation]:
    """Yield the observations of a file. Raises ObservationError if the file or a line can't be used."""
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
    """Yield the observations of all files in the order of their times."""
    return heapq.merge(*(read_log(p) for p in paths), key=lambda o: o.at)
