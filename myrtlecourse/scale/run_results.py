"""The results of a run, and how they are computed from the reports of its processes. No I/O and no clock."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import Struct

from myrtlecourse.scale.hollow import TERMINATED, InForceRecord
from myrtlecourse.scale.stand_in_fleet import ListChange

SCHEMA = 1


class InForceTimes(Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds from a change of discovery's list until a member's decisions used it.

    The quantiles are over all pairs of change and member. A change that is superseded by a later one of the
    same server counts as in force when that one is.
    """

    changes: int
    members: int  # members that ran to the end
    reached: int  # pairs of change and member that were in force by the end of the run
    missing: int  # pairs that were not
    p50_s: float | None
    p99_s: float | None
    last_s: float | None


class Role(Struct, frozen=True, forbid_unknown_fields=True):
    """What the members of one role used during the run; None: not measured."""

    members: int
    processes: int
    member_seconds: float
    cpu_s: float  # processor seconds
    cpu_per_member_second: float
    calibrated_per_member_second: float  # the same in units of the calibration loop
    memory_mb: float  # resident memory of a member; for a hollow member, what it adds to its process
    list_calls: int
    # Bytes of one member's list calls, without TCP headers.
    list_bytes_in_per_s: float
    list_bytes_out_per_s: float
    # One member's gossip, without UDP headers.
    datagrams_in_per_s: float | None
    datagrams_out_per_s: float | None
    datagram_bytes_in_per_s: float | None
    datagram_bytes_out_per_s: float | None
    in_force: InForceTimes | None


class Calibration(Struct, frozen=True, forbid_unknown_fields=True):
    """Processor seconds of a fixed loop before the first process started and after the last one ended.

    `unit_s` is the mean of both.
    """

    loops: int
    before_s: float
    after_s: float
    unit_s: float


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """The machine of the run."""

    cores: int
    memory_mb: float
    calibration: Calibration
    others_share: float  # share of the machine that other processes used during the run
    shared: bool  # the share of others was over a tenth


class Results(Struct, frozen=True, forbid_unknown_fields=True):
    """The results of a whole run."""

    schema: int
    command: list[str]
    scenario: dict[str, Any]
    seconds: float
    machine: Machine
    roles: dict[str, Role]  # by role: hollow, router
    busiest_hollow_process: float  # share of a core; near 1 the members of that process delay one another
    stand_in_cpu_s: float  # of the two processes of cache servers and discovery
    most_memory_mb: float  # of all processes together; pages that they share are counted for each
    most_processes: int
    killed: list[str]  # names of the processes that the scenario killed
    verdict: dict[str, Any]  # the auditor's verdict on the real routers
    router_faults: list[str]
    load: dict[str, Any]  # scheduled, served and so on, as `myrtlecourse load` reports them


def read_results(text: bytes) -> Results:
    """Decode results that `scale run` wrote. Raises msgspec.DecodeError."""
    return msgspec.json.decode(text, type=Results)


def quantile(ordered: list[float], share: float) -> float | None:
    """Return the smallest value that is not exceeded by this share of the values."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else None


def in_force_times(
    changes: Iterable[ListChange], records: Iterable[InForceRecord], members: set[int]
) -> InForceTimes:
    """Compute when each change was in force at each of these members."""
    by_server: dict[str, list[ListChange]] = defaultdict(list)
    for change in sorted(changes, key=lambda c: c.at):
        by_server[change.server].append(change)
    reached: dict[tuple[str, int, int], float] = {}
    for record in sorted(records, key=lambda r: r.at):
        if record.member not in members:
            continue
        server_changes = by_server.get(record.server, [])
        matching = [i for i, change in enumerate(server_changes) if _matches(record, change)]
        for i in range(matching[-1] + 1 if matching else 0):
            reached.setdefault((record.server, i, record.member), record.at - server_changes[i].at)
    count = sum(map(len, by_server.values()))
    ordered = sorted(reached.values())
    return InForceTimes(
        changes=count,
        members=len(members),
        reached=len(ordered),
        missing=count * len(members) - len(ordered),
        p50_s=quantile(ordered, 0.5),
        p99_s=quantile(ordered, 0.99),
        last_s=quantile(ordered, 1.0),
    )


def _matches(record: InForceRecord, change: ListChange) -> bool:
    """Return whether a member's state of a server is that of a change.

    A removed server is recognized by its absence from the list.
    """
    if change.at > record.at or change.status != record.status:
        return False
    return record.status == TERMINATED or change.since_ms == record.since_ms
