"""The service address as one of the duties in `[duties]`, whose voters and datagrams it shares."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from myrtlecourse.address.handover import withdraw
from myrtlecourse.address.link import Link, LinkUpdater
from myrtlecourse.duties import messages
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.duties.messages import ADDRESS
from myrtlecourse.election.core import Role


class AddressWork:
    """The work of the router that holds the address: it announces the address and serves its clients."""

    def __init__(
        self,
        driver: DutyDriver,
        link: Link,
        on_change: Callable[[bool], None],
        wait_until_drained: Callable[[], Awaitable[None]],
    ) -> None:
        """Create the work for the duty's driver.

        `on_change` is called with True when this router acquires the address, with False when it loses it.

        When it loses the address, clients may be accepted only while `may_serve` returns True;
        `wait_until_drained` waits until no client is connected any more.
        """
        self.driver = driver
        self.link_updater = LinkUpdater(link)
        self.on_change = on_change
        self.wait_until_drained = wait_until_drained
        self.withdrawal: asyncio.Task[None] | None = None

    def holds(self) -> bool:
        """Return whether this router holds the address now."""
        return self.driver.acting_token(ADDRESS) is not None

    def may_serve(self) -> bool:
        """Return whether this router may accept clients: it holds the address, or is handing it over."""
        return self._lease_left() > 0.0

    def _lease_left(self) -> float:
        return self.driver.duties.elections[ADDRESS].lease_left(time.monotonic())

    def on_acquired(self, token: int, value: messages.Value) -> None:
        self.on_change(True)
        self.link_updater.request(token)

    def on_lost(self) -> None:
        self.on_change(False)
        self.withdrawal = asyncio.create_task(self._withdraw())

    async def _withdraw(self) -> None:
        await withdraw(self.link_updater, self.wait_until_drained, self._lease_left)
        self.driver.post(messages.WorkStopped(ADDRESS))

    def on_committed(self, token: int, number: int) -> None:
        """Do nothing, as this duty has no orders."""

    def poll(self) -> None:
        """Do nothing, as this duty has no periodic work."""

    async def close(self) -> None:
        if self.withdrawal is not None:
            await self.withdrawal
        self.link_updater.close()

    def status(self) -> dict[str, Any]:
        """Return the status for operators, in a form that can be written as JSON."""
        election, now, driver = self.driver.duties.elections[ADDRESS], time.monotonic(), self.driver
        return {
            "name": driver.settings.name,
            "role": election.role.value,
            "holds": self.holds(),
            "term": election.term,
            "lease_left_s": max(0.0, election.lease_until - now) if election.role is Role.HOLDER else 0.0,
            "word_given_to": election.promise[0] if now < election.promise_until else "",
            "able": driver.able() and driver.abilities[ADDRESS](),
            "voters": list(driver.settings.voters),
            "sent": driver.sent,
            "dropped": dict(driver.wire.dropped),
            "link_failures": self.link_updater.failures,
            "moves": [m for m in driver.moves if f" {ADDRESS}:" in m],
        }
