"""Duties done wrongly in one way each, on purpose; as real routers: `python -m tests.wrong_duties WAY`."""

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
    """Looks at its lease when it was won, and not before each effect."""
    patch(Election, "holds", lambda self, now: self.role is Role.HOLDER)


def token_is_not_compared(patch: Patch) -> None:
    """Obeys whoever orders."""
    order, survey = Member.order, Member.survey

    def forgets(self: Member) -> None:
        self.promised = self.token = self.number = 0
        self.obeyed.token = 0

    def any_order(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        forgets(self)
        return order(self, now, sender, message)

    def any_survey(self: Member, now: float, message: messages.Survey) -> messages.Message:
        token, number = self.token, self.number
        forgets(self)
        self.token, self.number = token, number
        return survey(self, now, message)

    patch(Member, "order", any_order)
    patch(Member, "survey", any_survey)


def order_without_an_end(patch: Patch) -> None:
    """Obeys until it hears something else."""
    order = Member.order

    def for_good(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        answer = order(self, now, sender, message)
        if now < self.obeyed.until:
            self.obeyed.until = math.inf
        return answer

    patch(Member, "order", for_good)


def counts_from_the_arrival(patch: Patch) -> None:
    """Takes an order for as good as new, however long it lay in a queue."""
    order = Member.order

    def taken(self: Member, now: float, sender: str, message: messages.Order) -> messages.Message:
        new = messages.Order(message.token, message.number, message.good_for, self.stamp(now), message.value)
        return order(self, now, sender, new)

    patch(Member, "order", taken)


def does_not_ask(patch: Patch) -> None:
    """Begins with what it knows itself."""
    patch(
        Holding,
        "may_start_acting",
        lambda self, now: not self.acting and not self.revoking and now >= self.safe_from,
    )


def asks_one(patch: Patch) -> None:
    """Takes one member's word for what was ordered last."""
    patch(
        Holding,
        "may_start_acting",
        lambda self, now: not self.acting and not self.revoking and self.answered and now >= self.safe_from,
    )


def acts_at_once(patch: Patch) -> None:
    """Does not wait until the orders of the holder before are over."""
    may_start_acting = Holding.may_start_acting

    def now_or_never(self: Holding, now: float) -> bool:
        self.safe_from = -math.inf
        return may_start_acting(self, now)

    patch(Holding, "may_start_acting", now_or_never)


def says_that_all_is_clear(patch: Patch) -> None:
    """Hands over without an answer of those that obey."""
    patch(Holding, "nobody_obeys", lambda self, now: True)


def settles_with_one(patch: Patch) -> None:
    """Takes a claim for lasting that one member has taken."""
    on_taken = Holding.on_taken

    def settled(
        self: Holding, now: float, member: str, taken: messages.Taken
    ) -> tuple[messages.Message | None, bool]:
        reply, _ = on_taken(self, now, member, taken)
        advanced = bool(self.acting and taken.kept and self.accepted.get(member, 0) > self.committed)
        self.committed = max(self.committed, self.accepted.get(member, 0))
        return reply, advanced

    patch(Holding, "on_taken", settled)


def lease_from_the_answer(patch: Patch) -> None:
    """Counts the lease from when it was answered."""
    on_renew = Election._on_renew

    def late(self: Election, sender: str, renew: election.Renew) -> None:
        if renew.number in self.lease.requested_at:
            self.lease.requested_at[renew.number] = self.now
        on_renew(self, sender, renew)

    patch(Election, "_on_renew", late)


def votes_for_all(patch: Patch) -> None:
    """Gives any vote it is asked for."""
    patch(Election, "_may_grant", lambda self, sender, ask: self.settings.is_voter)


def votes_before_it_is_written(patch: Patch) -> None:
    """Says yes and writes nothing down; after a restart it has never voted, and promised nothing."""
    patch(Duties, "_memory", lambda self, name: messages.Memory(value=self.duties[name].initial_state))


def starts_as_if_nothing_had_been_promised(patch: Patch) -> None:
    """Gives words as soon as it has started."""
    init = Election.__init__

    def at_once(self: Election, *arguments: Any, **more: Any) -> None:
        init(self, *arguments, **more)
        self.startup_wait_until = -math.inf

    patch(Election, "__init__", at_once)


def forgets_that_it_has_forgotten(patch: Patch) -> None:
    """Without a memory it says all the same that nothing was ordered."""
    init = Member.__init__

    def sure(self: Member, *arguments: Any) -> None:
        init(self, *arguments)
        self.fresh = False

    patch(Member, "__init__", sure)


def one_of_another_version(patch: Patch) -> None:
    """One router of the fleet, by its configuration's name: not wrong, but older or newer than the others."""
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
