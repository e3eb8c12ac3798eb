"""The orders of operators, and the events for the decision module that follow from changes; no I/O, no clock.

`Orders` are immutable: each call that changes them creates the next revision, and all processes of an upgrade
adopt the latest.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from myrtlecourse import interface as api

MAX_BANS = 1024
RETURN_MEMORY = 600.0  # seconds for which the end of a ban is remembered: longer than any server's warm-up


class OrdersError(ValueError):
    """Orders that can't be used; the message says why."""


@dataclass(slots=True, frozen=True)
class Orders:
    """One revision of the orders of operators."""

    revision: int = 0
    bans: Mapping[str, float] = field(default_factory=dict)  # cache server -> start of its ban (Unix time, s)
    returned: Mapping[str, float] = field(default_factory=dict)  # cache server -> end of its last ban
    out_of_service: bool = False

    def with_ban(self, server: str, now: float) -> Orders:
        """Return these orders with a ban of a cache server; unchanged if it is banned already.

        Raises:
            OrdersError: too many servers are banned already.
        """
        if server in self.bans:
            return self
        if len(self.bans) >= MAX_BANS:
            raise OrdersError(f"{MAX_BANS} cache servers are banned already")
        return replace(self, revision=self.revision + 1, bans={**self.bans, server: now})

    def without_ban(self, server: str, now: float) -> Orders:
        """Return these orders without the ban of a cache server, however often it was ordered.

        The orders are unchanged if the server is not banned.
        """
        if server not in self.bans:
            return self
        bans = {name: at for name, at in self.bans.items() if name != server}
        returned = {name: at for name, at in self.returned.items() if now < at + RETURN_MEMORY}
        return replace(self, revision=self.revision + 1, bans=bans, returned={**returned, server: now})

    def with_out_of_service(self, out: bool) -> Orders:
        """Return these orders with the router out of service (`out`) or in service."""
        return (
            self
            if out is self.out_of_service
            else replace(self, revision=self.revision + 1, out_of_service=out)
        )


def events_between(before: Orders, after: Orders) -> Iterator[api.ServerBanned | api.BanLifted]:
    """Yield the events for the decision module when `after` replaces `before`."""
    for server in sorted(after.bans.keys() - before.bans.keys()):
        yield api.ServerBanned(server)
    for server in sorted(after.returned.keys() - after.bans.keys()):
        if after.returned[server] != before.returned.get(server):
            yield api.BanLifted(server, after.returned[server])
    # the end of these bans is no longer remembered; without an event this process would keep them forever
    for server in sorted(before.bans.keys() - after.bans.keys() - after.returned.keys()):
        yield api.BanLifted(server, 0.0)


def to_table(orders: Orders) -> dict[str, Any]:
    """Return orders in their JSON form."""
    return {
        "revision": orders.revision,
        "bans": dict(orders.bans),
        "returned": dict(orders.returned),
        "out_of_service": orders.out_of_service,
    }


def read_times(table: dict[str, Any], name: str) -> dict[str, float]:
    """Return a field that holds a time for each cache server. Raises OrdersError."""
    value = table.get(name)
    if not isinstance(value, dict) or not all(
        isinstance(at, (int, float)) and not isinstance(at, bool) for at in value.values()
    ):
        raise OrdersError(f"{name} must contain a time for each id")
    return {str(server): float(at) for server, at in value.items()}


def from_table(table: Any) -> Orders:
    """Return orders read from their JSON form.

    Raises:
        OrdersError: a field is missing or malformed.
    """
    if not isinstance(table, dict):
        raise OrdersError("orders are not an object")
    revision, out = table.get("revision"), table.get("out_of_service")
    if not isinstance(revision, int) or isinstance(revision, bool) or not isinstance(out, bool):
        raise OrdersError("revision or out_of_service is missing or malformed")
    return Orders(revision, read_times(table, "bans"), read_times(table, "returned"), out)
