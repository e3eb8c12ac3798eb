"""A new process of an upgrade follows the old one in its elections: it knows what that one has promised."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from myrtlecourse.duties import messages as duties
from myrtlecourse.duties.driver import DutyDriver
from myrtlecourse.election import messages as election
from myrtlecourse.fleet.reserved_ports import free_address
from tests.loopback import run

MEMBERS = ("a", "b", "c")
TERM = 2**40  # later than those of new processes, which begin with the time of their start
VOTE_FOR_A = election.Saved(TERM, "a")
DUTY = duties.Duty("x")


def duty_driver(folder: Path) -> DutyDriver:
    """Return the duties' driver of a process of the voter `b`."""
    settings = duties.Settings("b", MEMBERS, MEMBERS, (DUTY,))
    nowhere = dict.fromkeys(MEMBERS, ("127.0.0.1", 1))
    return DutyDriver(settings, nowhere, (b"k" * 16, ()), folder / "memory", lambda: True)


# Guards against two holders, as a process of an upgrade forgot what its old one promised since it started.
def test_a_new_process_knows_the_votes_and_promises_that_the_old_one_gave_in_duties(tmp_path: Path) -> None:
    async def scenario() -> None:
        at = free_address()
        old, new = duty_driver(tmp_path), duty_driver(tmp_path)
        await old.start(at, shared=False)
        await new.start(at, shared=True)
        await asyncio.sleep(0.05)
        assert new.transport is None  # the old process still has the address
        old.duties.elections["x"].startup_wait_until = 0.0
        ask = duties.MessagesReceived("a", ((DUTY.number, election.Ask(TERM, 1, False)),))
        old.post(ask)
        assert old.duties.elections["x"].saved == VOTE_FOR_A
        before_end = time.monotonic()
        await old.close()
        while new.transport is None:
            await asyncio.sleep(0.01)
        followed = new.duties.elections["x"]
        assert followed.saved == VOTE_FOR_A
        assert followed.startup_wait_until >= before_end + new.settings.lease
        await new.close()

    run(scenario)
