"""The service address as a duty of `[duties]`: held on the same votes, words and datagrams as the others."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from myrtlecourse.address.keeper import EMPTY_TIME
from myrtlecourse.address.link import Link, Words
from myrtlecourse.duties import messages as said
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.duties.messages import ADDRESS
from myrtlecourse.election.core import Role


class AddressWork:
    """What the holder of the address does."""

    def __init__(
        self,
        keeper: DutyDriver,
        link: Link,
        held: Callable[[bool], None],
        emptied: Callable[[], Awaitable[None]],
    ) -> None:
        """`held` hears when the address comes and goes; when it goes, nothing may be accepted any more once
        `held` has returned. `emptied` waits until what was taken has ended."""
        self.keeper = keeper
        self.words = Words(link)
        self.held = held
        self.emptied = emptied
        self.leaving: asyncio.Task[None] | None = None

    def holds(self) -> bool:
        """Whether the address is here at this very moment."""
        return self.keeper.acting_token(ADDRESS) is not None

    def on_acquired(self, token: int, value: said.Value) -> None:
        self.held(True)
        self.words.say(token)

    def on_lost(self) -> None:
        self.held(False)
        self.leaving = asyncio.create_task(self._leave())

    async def _leave(self) -> None:
        """Let what was taken end while its clients can still be reached, and then let go."""
        with suppress(TimeoutError):
            async with asyncio.timeout(EMPTY_TIME):
                await self.emptied()
        self.words.say(None)
        self.keeper.post(said.WorkStopped(ADDRESS))

    def on_committed(self, token: int, number: int) -> None:
        """It orders nothing."""

    def poll(self) -> None:
        """It has nothing due."""

    async def close(self) -> None:
        if self.leaving is not None:
            await self.leaving
        self.words.close()

    def status(self) -> dict[str, Any]:
        """What staff may want to know; JSON-able."""
        election, now, keeper = self.keeper.duties.elections[ADDRESS], time.monotonic(), self.keeper
        return {
            "name": keeper.settings.name,
            "role": election.role.value,
            "holds": self.holds(),
            "term": election.term,
            "lease_left_s": max(0.0, election.lease_until - now) if election.role is Role.HOLDER else 0.0,
            "word_given_to": election.promise[0] if now < election.promise_until else "",
            "able": keeper.able() and keeper.abilities[ADDRESS](),
            "voters": list(keeper.settings.voters),
            "sent": keeper.sent,
            "dropped": dict(keeper.wire.dropped),
            "link_failures": self.words.failures,
            "moves": [m for m in keeper.moves if f" {ADDRESS}:" in m],
        }
