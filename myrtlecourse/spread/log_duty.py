"""The duty of writing the log: makes its holder the leader, and commits the entries that operators send."""

from __future__ import annotations

import asyncio

from myrtlecourse.duties import messages as duties
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.spread.driver import Driver
from myrtlecourse.spread.messages import Entry, SpreadError
from myrtlecourse.spread.replica_events import Acknowledge, Refuse

# seconds for an entry to be committed, after which operators are told that its outcome is unknown
COMMIT_TIMEOUT = 1.5


class LogDuty:
    """The duty of writing the log. It has no numbered orders; its fencing token is the log's epoch."""

    def __init__(self, duty: str, duty_driver: DutyDriver, driver: Driver) -> None:
        self.duty = duty
        self.duties = duty_driver
        self.driver = driver
        driver.held_token = lambda: duty_driver.acting_token(duty)

    def able(self) -> bool:
        """Return whether this process can lead; it can't while its predecessor still holds the log."""
        return self.driver.replica is not None and not self.driver.failure

    def on_acquired(self, token: int, value: duties.Value) -> None:
        self.driver.gain_leadership(token)

    def on_lost(self) -> None:
        self.driver.lose_leadership()
        # The duty must not be called back from within its own notification.
        asyncio.get_running_loop().call_soon(self.duties.post, duties.WorkStopped(self.duty))

    def on_committed(self, token: int, number: int) -> None:
        """Do nothing, because this duty has no orders."""

    def poll(self) -> None:
        """Do nothing, because this duty has nothing periodic."""

    async def close(self) -> None:
        """Do nothing, because this duty starts nothing that has to be stopped."""


class OutcomeUnknown(Exception):
    """Raised when it is unknown whether an entry is committed. Proposing it again is harmless and uses
    another number."""


async def commit(driver: Driver, entry: Entry) -> int:
    """Commit an entry and return its log number.

    Raises:
        SpreadError: the entry was rejected; the message gives the reason.
        OutcomeUnknown: the entry may still be committed.
    """
    future: asyncio.Future[Acknowledge | Refuse] = asyncio.get_running_loop().create_future()
    driver.propose(entry, lambda outcome: None if future.done() else future.set_result(outcome))
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT):
            outcome = await future
    except TimeoutError:
        raise OutcomeUnknown(
            f"no outcome after {COMMIT_TIMEOUT:g} s; the entry may still be committed"
        ) from None
    if isinstance(outcome, Acknowledge):
        return outcome.number
    raise (
        OutcomeUnknown(f"{outcome.reason}; the entry may still be committed")
        if outcome.may_commit
        else SpreadError(outcome.reason)
    )
