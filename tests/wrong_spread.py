"""Faulty variants of the spread, each of which breaks one rule; random worlds must detect them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from myrtlecourse.spread import messages as msg
from myrtlecourse.spread.children import Child, Children
from myrtlecourse.spread.node import Node
from myrtlecourse.spread.parent import Parent
from myrtlecourse.spread.replica import Replica
from myrtlecourse.spread.replica_events import LogState

MakeNode = Callable[[msg.Settings, float, int], Node]
MakeReplica = Callable[[msg.Settings, LogState, float], Replica]


class CountsNoChild(Children):
    def lowest_acknowledged(self, now: float, applied_until: int) -> tuple[int, int]:
        return applied_until, 0


class GrantsTheLate(Children):
    """Grants a lease to a child that lacks entries up to the watermark."""

    def grant(self, now: float, child: Child, lease_left: float, epoch: int) -> int:
        watermark, self.watermark = self.watermark, 0
        try:
            return super().grant(now, child, lease_left, epoch)
        finally:
            self.watermark = watermark


class ForgetsTheSilent(Children):
    """Stops counting a silent child although its lease may still be valid."""

    def _add_lease_floor(self, now: float, done: int, until: float) -> None:
        return


class CountsFromTheAnswer(Parent):
    """Starts a lease when the answer arrives instead of when the report was sent."""

    def on_heartbeat(self, now: float, sender: str, heartbeat: msg.Heartbeat, granted_until: float) -> str:
        if heartbeat.echo in self.sent_reports:
            self.sent_reports[heartbeat.echo] = now
        return super().on_heartbeat(now, sender, heartbeat, granted_until)


def with_children(kind: type[Children]) -> MakeNode:
    """Return a node class that counts its children in another way."""

    class Wrong(Node):
        def __init__(self, settings: msg.Settings, now: float, seed: int) -> None:
            super().__init__(settings, now, seed)
            self.children = kind(settings, self.children.limit)

    return Wrong


class LeaseFromTheAnswer(Node):
    def __init__(self, settings: msg.Settings, now: float, seed: int) -> None:
        super().__init__(settings, now, seed)
        self.parent.__class__ = CountsFromTheAnswer


class VouchesForEver(Node):
    def has_lease(self, now: float) -> bool:
        return self.is_root or self.parent.lease_until > -math.inf

    def _next_timer(self) -> float:
        return max(super()._next_timer(), self.now + 0.02)  # avoids endless wake-ups for an expired lease


class GrantsMoreThanItHas(Node):
    """Grants each child a full lease, whatever is left of its own."""

    def _remaining_lease(self) -> float:
        return self.settings.lease


class SpeaksAtOnce(Node):
    """A new root reports the watermark while members may still hold leases of the previous root."""

    def _on_leadership(self, epoch: int, leader: str) -> None:
        super()._on_leadership(epoch, leader)
        self.first_watermark_at = -math.inf


class AppliesAgain(Node):
    def _on_entries(self, first: int, entries: tuple[msg.Entry, ...]) -> None:
        self._apply(first, entries)


class QuorumOfOne(msg.Settings):
    """Treats one disk as a majority."""

    __slots__ = ()

    @property
    def quorum(self) -> int:
        return 1


def settles_alone(settings: msg.Settings, state: LogState, now: float) -> Replica:
    values: list[Any] = [getattr(settings, f.name) for f in fields(settings)]
    return Replica(QuorumOfOne(*values), state, now)


def forgets_its_disk(settings: msg.Settings, state: LogState, now: float) -> Replica:
    return Replica(settings, LogState(), now)


FAULTY_NODES: dict[str, MakeNode] = {
    "counts_no_child": with_children(CountsNoChild),
    "grants_the_late": with_children(GrantsTheLate),
    "forgets_the_silent": with_children(ForgetsTheSilent),
    "lease_from_the_answer": LeaseFromTheAnswer,
    "vouches_for_ever": VouchesForEver,
    "grants_more_than_it_has": GrantsMoreThanItHas,
    "speaks_at_once": SpeaksAtOnce,
    "applies_again": AppliesAgain,
}
FAULTY_REPLICAS: dict[str, MakeReplica] = {
    "settles_alone": settles_alone,
    "forgets_its_disk": forgets_its_disk,
}
