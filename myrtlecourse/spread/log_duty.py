"""Who holds the duty writes the log: a control machine's part in it, and in what operators send."""

from __future__ import annotations

import asyncio

from myrtlecourse.duties import messages as duties
from myrtlecourse.duties.keeper import Keeper as DutyKeeper
from myrtlecourse.spread.driver import Driver
from myrtlecourse.spread.messages import Entry, SpreadError
from myrtlecourse.spread.replica_events import Acknowledge, Refuse

COMMIT_TIMEOUT = 1.5  # seconds for an entry to last, after which operators are told that it is not known yet


class LogDuty:
    """The duty of writing the log. It has no orders: that it is held is all, and its token is the epoch."""

    def __init__(self, duty: str, of_duties: DutyKeeper, keeper: Driver) -> None:
        self.duty = duty
        self.duties = of_duties
        self.driver = keeper
        keeper.held_token = lambda: of_duties.may(duty)

    def able(self) -> bool:
        """Whether this process can write a log: not while the one before it still does."""
        return self.driver.replica is not None and not self.driver.failure

    def took(self, token: int, value: duties.Value) -> None:
        self.driver.gain_leadership(token)

    def lost(self) -> None:
        self.driver.lose_leadership()
        # not from within what told it
        asyncio.get_running_loop().call_soon(self.duties.post, duties.Stopped(self.duty))

    def settled(self, token: int, number: int) -> None:
        """It orders nothing."""

    def look(self) -> None:
        """It has nothing due."""

    async def close(self) -> None:
        """It begins nothing that would have to end."""


class OutcomeUnknown(Exception):
    """Whether an entry lasts is not known: it may, and to propose it again does no harm but a number more."""


async def commit(keeper: Driver, entry: Entry) -> int:
    """Let an entry last; answers with its number.

    Raises:
        SpreadError: it was not taken; the message says why.
        NotKnown: it may last all the same.
    """
    answer: asyncio.Future[Acknowledge | Refuse] = asyncio.get_running_loop().create_future()
    keeper.propose(entry, lambda told: None if answer.done() else answer.set_result(told))
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT):
            told = await answer
    except TimeoutError:
        raise OutcomeUnknown(f"not known to last after {COMMIT_TIMEOUT:g} s; it may yet") from None
    if isinstance(told, Acknowledge):
        return told.number
    raise (
        OutcomeUnknown(f"{told.reason}; it may last all the same")
        if told.may_commit
        else SpreadError(told.reason)
    )
