"""The results of a run: their form, and how they follow from what its processes told; no I/O, no clock."""

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
    """From when discovery's list changed to when a member's decisions had it: each change at each member.

    A state that a later one of the same server overtook counts as in force with that one.
    """

    changes: int
    members: int  # that ran to the end
    reached: int  # of changes times members
    missing: int  # not in force by the end of the run
    p50_s: float | None
    p99_s: float | None
    last_s: float | None


class Role(Struct, frozen=True, forbid_unknown_fields=True):
    """What the members of one role took from when all began; none: it was not measured."""

    members: int
    processes: int
    member_seconds: float
    cpu_s: float  # processor
    cpu_per_member_second: float
    calibrated_per_member_second: float  # the same, in runs of the calibration loop
    memory_mb: float  # resident, of a member; of a hollow one what it adds to its process
    list_calls: int
    # of calls of the list, without TCP's own, of one member
    list_bytes_in_per_s: float
    list_bytes_out_per_s: float
    # of gossip, without UDP's own, of one member
    datagrams_in_per_s: float | None
    datagrams_out_per_s: float | None
    datagram_bytes_in_per_s: float | None
    datagram_bytes_out_per_s: float | None
    in_force: InForceTimes | None


class Calibration(Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds of processor of a fixed loop, before the first process was started and after the last had
    ended; `unit_s` is their mean."""

    loops: int
    before_s: float
    after_s: float
    unit_s: float


class Machine(Struct, frozen=True, forbid_unknown_fields=True):
    """Where it ran."""

    cores: int
    memory_mb: float
    calibration: Calibration
    others_share: float  # of the machine, that processes of others used during the run
    shared: bool  # it was more than a tenth


class Results(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole of a run."""

    schema: int
    command: list[str]
    scenario: dict[str, Any]
    seconds: float
    machine: Machine
    roles: dict[str, Role]  # hollow, router
    busiest_hollow_process: float  # of a core; near 1 its members wait for one another
    stand_in_cpu_s: float  # the two processes of boxes and discovery
    most_memory_mb: float  # of all processes together; pages that they share count for each
    most_processes: int
    killed: list[str]  # processes, by the scenario
    verdict: dict[str, Any]  # the auditor's, on the real routers
    router_faults: list[str]
    load: dict[str, Any]  # scheduled, served, ..., as `myrtlecourse load` counts


def read_results(text: bytes) -> Results:
    """Results that `scale run` wrote. Raises msgspec.DecodeError."""
    return msgspec.json.decode(text, type=Results)


def quantile(ordered: list[float], share: float) -> float | None:
    """The least value that so many are not above."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else None


def in_force_times(
    changes: Iterable[ListChange], records: Iterable[InForceRecord], members: set[int]
) -> InForceTimes:
    """When each change was in force at each of these members."""
    by_server: dict[str, list[ListChange]] = defaultdict(list)
    for change in sorted(changes, key=lambda c: c.at):
        by_server[change.server].append(change)
    reached: dict[tuple[str, int, int], float] = {}
    for record in sorted(records, key=lambda r: r.at):
        if record.member not in members:
            continue
        told = by_server.get(record.server, [])
        same = [i for i, change in enumerate(told) if _matches(record, change)]
        for i in range(same[-1] + 1 if same else 0):
            reached.setdefault((record.server, i, record.member), record.at - told[i].at)
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
    """Whether a member's state of a server is that of a change; one that is gone is told by its absence."""
    if change.at > record.at or change.status != record.status:
        return False
    return record.status == TERMINATED or change.since_ms == record.since_ms
