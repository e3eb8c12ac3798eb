"""What operators ordered, and what follows from it for the decisions; no I/O, no clock.

Orders are values: each call makes new ones, and the processes of an upgrade hold the same. What changes
between two of them is told to the decision module as events.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from myrtlecourse import interface as api

MOST_BANS = 1024
KEPT = 600.0  # seconds for which it is known when a server was given back: longer than any warms up
MOST_LISTED = 4096  # ids remembered; beyond that those listed longest ago are forgotten


class OrdersError(ValueError):
    """Orders that can't be used; the message says why."""


@dataclass(slots=True, frozen=True)
class Orders:
    """All that operators have ordered, as of one revision."""

    revision: int = 0
    bans: Mapping[str, float] = field(default_factory=dict)  # of cache servers, since when (Unix time, s)
    returned: Mapping[str, float] = field(default_factory=dict)  # when each was given back
    out_of_service: bool = False

    def offline(self, server: str, now: float) -> Orders:
        """A cache server is out until `online`. May be repeated.

        Raises:
            OrdersError: too many are out already.
        """
        if server in self.bans:
            return self
        if len(self.bans) >= MOST_BANS:
            raise OrdersError(f"{MOST_BANS} cache servers are out already")
        return replace(self, revision=self.revision + 1, bans={**self.bans, server: now})

    def online(self, server: str, now: float) -> Orders:
        """One call ends the ban, however often it was asked for; without a ban it changes nothing."""
        if server not in self.bans:
            return self
        bans = {name: at for name, at in self.bans.items() if name != server}
        returned = {name: at for name, at in self.returned.items() if now < at + KEPT}
        return replace(self, revision=self.revision + 1, bans=bans, returned={**returned, server: now})

    def service(self, out: bool) -> Orders:
        """The router is emptied, or takes clients again."""
        return (
            self
            if out is self.out_of_service
            else replace(self, revision=self.revision + 1, out_of_service=out)
        )


def changes(before: Orders, after: Orders) -> Iterator[api.ServerBanned | api.BanLifted]:
    """What the decision module has to hear when one set of orders follows another."""
    for server in sorted(after.bans.keys() - before.bans.keys()):
        yield api.ServerBanned(server)
    for server in sorted(after.returned.keys() - after.bans.keys()):
        if after.returned[server] != before.returned.get(server):
            yield api.BanLifted(server, after.returned[server])
    # guards against a ban that only one process would go on keeping, when the call back was long forgotten
    for server in sorted(before.bans.keys() - after.bans.keys() - after.returned.keys()):
        yield api.BanLifted(server, 0.0)


def to_table(orders: Orders) -> dict[str, Any]:
    """Orders as JSON has them."""
    return {
        "revision": orders.revision,
        "bans": dict(orders.bans),
        "returned": dict(orders.returned),
        "out_of_service": orders.out_of_service,
    }


def times(table: dict[str, Any], name: str) -> dict[str, float]:
    """A field that holds a time for each cache server."""
    value = table.get(name)
    if not isinstance(value, dict) or not all(
        isinstance(at, (int, float)) and not isinstance(at, bool) for at in value.values()
    ):
        raise OrdersError(f"{name} must hold a time for each id")
    return {str(server): float(at) for server, at in value.items()}


def from_table(table: Any) -> Orders:
    """Read orders.

    Raises:
        OrdersError: something is missing or of another kind.
    """
    if not isinstance(table, dict):
        raise OrdersError("orders are not an object")
    revision, out = table.get("revision"), table.get("out_of_service")
    if not isinstance(revision, int) or isinstance(revision, bool) or not isinstance(out, bool):
        raise OrdersError("revision or out_of_service is missing or malformed")
    return Orders(revision, times(table, "bans"), times(table, "returned"), out)


class Listed:
    """The ids that lists have named: one that never was is no cache server of this fleet."""

    def __init__(self) -> None:
        self.names: dict[str, bool] = {}  # whether it is a cache server, latest named last

    def note(self, named: Iterable[tuple[str, bool]]) -> None:
        """A list has named these. Bounded: a fleet that is replaced for weeks names ever new ones."""
        for name, cache in named:
            self.names.pop(name, None)
            self.names[name] = cache
        while len(self.names) > MOST_LISTED:
            del self.names[next(iter(self.names))]

    def why_not(self, name: str) -> str:
        """Why a call for this id can't be carried out; empty when it can."""
        if name not in self.names:
            return "no list has named this id"
        return "" if self.names[name] else "this is the origin, and no cache server"
