"""Variants of duties that are each faulty in one way, on purpose. `python -m tests.wrong_duties VARIANT` runs
a real router with one of them."""

from __future__ import annotations

import math
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from myrtlecourse import __main__
from myrtlecourse.duties import messages
from myrtlecourse.duties.core import Duties
from myrtlecourse.duties.holding import Holding
from myrtlecourse.duties.member import Member
from myrtlecourse.election import messages as election
from myrtlecourse.election.core import Election, Role
from myrtlecourse.peers import wire

Patch = Callable[[Any, str, Any], None]


def wakes_without_a_look(patch: Patch) -> None:
    """Checks its lease when it is won, but not before each effect."""
    patch(Election, "holds", lambda self, now: self.role is Role.HOLDER)


def token_is_not_compared(patch: Patch) -> None:
    """Obeys every holder that sends an order."""
    order, survey = Member.order, Member.survey

    def forget(self: Member) -> None:
        self.promised = self.token = self.number = 0
        self.obeyed.token = 0

    def any_order(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        forget(self)
        return order(self, now, sender, message)

    def any_survey(self: Member, now: float, message: messages.Survey) -> messages.Message:
        token, number = self.token, self.number
        forget(self)
        self.token, self.number = token, number
        return survey(self, now, message)

    patch(Member, "order", any_order)
    patch(Member, "survey", any_survey)


def order_without_an_end(patch: Patch) -> None:
    """Obeys an order until it receives another."""
    order = Member.order

    def obey_forever(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        answer = order(self, now, sender, message)
        if now < self.obeyed.until:
            self.obeyed.until = math.inf
        return answer

    patch(Member, "order", obey_forever)


def counts_from_the_arrival(patch: Patch) -> None:
    """Counts an order's validity from its arrival, however long it waited in a queue."""
    order = Member.order

    def accept_as_new(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        new = messages.Order(message.token, message.number, message.good_for, self.stamp(now), message.value)
        return order(self, now, sender, new)

    patch(Member, "order", accept_as_new)


def does_not_ask(patch: Patch) -> None:
    """Starts to act with the state that it knows itself."""
    patch(
        Holding,
        "may_start_acting",
        lambda self, now: not self.acting and not self.revoking and now >= self.safe_from,
    )


def asks_one(patch: Patch) -> None:
    """Relies on one member's report of the last order."""
    patch(
        Holding,
        "may_start_acting",
        lambda self, now: not self.acting and not self.revoking and self.answered and now >= self.safe_from,
    )


def acts_at_once(patch: Patch) -> None:
    """Does not wait until the orders of the previous holder have ended."""
    may_start_acting = Holding.may_start_acting

    def start_at_once(self: Holding, now: float) -> bool:
        self.safe_from = -math.inf
        return may_start_acting(self, now)

    patch(Holding, "may_start_acting", start_at_once)


def says_that_all_is_clear(patch: Patch) -> None:
    """Hands over without answers of the members that obey it."""
    patch(Holding, "nobody_obeys", lambda self, now: True)


def settles_with_one(patch: Patch) -> None:
    """Takes a claim for committed that a single member has accepted."""
    on_taken = Holding.on_taken

    def commit_with_one(
        self: Holding, now: float, member: str, taken: messages.Taken
    ) -> tuple[messages.Message | None, bool]:
        reply, _ = on_taken(self, now, member, taken)
        advanced = bool(self.acting and taken.kept and self.accepted.get(member, 0) > self.committed)
        self.committed = max(self.committed, self.accepted.get(member, 0))
        return reply, advanced

    patch(Holding, "on_taken", commit_with_one)


def lease_from_the_answer(patch: Patch) -> None:
    """Counts the lease from the time of the answer."""
    on_renew = Election._on_renew

    def renew_late(self: Election, sender: str, renew: election.Renew) -> None:
        if renew.number in self.lease.requested_at:
            self.lease.requested_at[renew.number] = self.now
        on_renew(self, sender, renew)

    patch(Election, "_on_renew", renew_late)


def votes_for_all(patch: Patch) -> None:
    """Grants any vote that it is asked for."""
    patch(Election, "_may_grant", lambda self, sender, ask: self.settings.is_voter)


def votes_before_it_is_written(patch: Patch) -> None:
    """Grants without storing anything; after a restart it has never voted and promised nothing."""
    patch(Duties, "_memory", lambda self, name: messages.Memory(value=self.duties[name].initial_state))


def starts_as_if_nothing_had_been_promised(patch: Patch) -> None:
    """Gives promises without a wait after its start."""
    init = Election.__init__

    def init_without_wait(self: Election, *arguments: Any, **more: Any) -> None:
        init(self, *arguments, **more)
        self.startup_wait_until = -math.inf

    patch(Election, "__init__", init_without_wait)


def forgets_that_it_has_forgotten(patch: Patch) -> None:
    """Reports without a memory that nothing was ordered, as if it remembered."""
    init = Member.__init__

    def init_not_fresh(self: Member, *arguments: Any) -> None:
        init(self, *arguments)
        self.fresh = False

    patch(Member, "__init__", init_not_fresh)


def one_of_another_version(patch: Patch) -> None:
    """Makes one router of the fleet, named by its configuration, older or newer than the others; it is not
    faulty."""
    if Path(os.environ.get("RELAY_CONFIG", "")).stem == "router-1":
        patch(wire, "VERSION", wire.VERSION + 1)


WRONG = (
    *(wakes_without_a_look, token_is_not_compared, order_without_an_end, counts_from_the_arrival),
    *(does_not_ask, asks_one, acts_at_once, says_that_all_is_clear, settles_with_one),
    *(lease_from_the_answer, votes_for_all, votes_before_it_is_written),
    *(starts_as_if_nothing_had_been_promised, forgets_that_it_has_forgotten),
)
VARIANTS = {f.__name__: f for f in WRONG}

if __name__ == "__main__":
    (VARIANTS | {"one_of_another_version": one_of_another_version})[sys.argv.pop()](setattr)
    sys.exit(__main__.main())
