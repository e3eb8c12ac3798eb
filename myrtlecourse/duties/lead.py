"""What a duty's holder does with its lease: learns what was ordered before, orders, and lets go.

It acts only when nobody can obey the holder before any more: all members have answered and said so, or the
time of the last order is over on every clock. Before that a majority of the members has told which order
they took last, and it goes on from the highest: what a majority took is not forgotten and not done again
(the first phase of Paxos; Lamport, 1998).
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.duties import messages as said
from myrtlecourse.duties.messages import Duty, Message, Settings, Value

JOIN = 0.6  # of the time between two orders: with less left until the next it is brought forward
ROUNDS = 4  # orders in the time that one is good for: one may be lost, and its answer


class Lead:
    """One holding of one duty, under one token."""

    def __init__(self, settings: Settings, duty: Duty, token: int, now: float, clear: bool) -> None:
        """`clear`: nobody obeys the holder before any more, as it has said itself."""
        self.settings = settings
        self.duty = duty
        self.token = token
        self.began = now
        self.clear_at = now if clear else now + settings.over(duty.good_for)
        self.patience = now + 2 * settings.over(settings.lease + duty.good_for)
        self.acting = False
        self.guessed = False  # too few remembered what was ordered before: it may have been forgotten
        self.leaving = False
        self.number = 0
        self.value: Value = duty.first
        self.best = (-1, -1)  # token and number of the highest order told of
        self.known: set[str] = set()  # who has answered, and
        self.witnesses: set[str] = set()  # remembers
        self.stamps: dict[str, int] = {}  # the last one heard of each member
        self.taken: dict[str, int] = {}  # the highest number that each has taken
        self.heard: dict[str, float] = {}  # when each last took one
        self.bound: dict[str, float] = {}  # until when each may obey an order of this holding
        self.settled = 0
        self.say_at = now

    def change(self, settings: Settings) -> None:
        """Take other members.

        Guards majorities: what one that has gone has taken is no part of the new ones.
        """
        self.settings = settings
        members = set(settings.members)
        self.known &= members
        self.witnesses &= members
        for table in (self.stamps, self.taken, self.heard):
            for member in table.keys() - members:
                del table[member]

    # What is said

    def due(self, now: float) -> Iterable[tuple[str, Message]]:
        """The words for each member, if it is time for them."""
        if now < self.say_at or self.leaving:
            return
        self.say_at = now + self.duty.good_for / ROUNDS if self.acting else now + self.settings.heartbeat / 2
        for member in self.settings.members:
            if self.acting:
                yield member, self._order(now, member)
            elif member not in self.known:
                yield member, said.Survey(self.token)

    def join(self, now: float) -> None:
        """Order a little early, as another duty's holder does so just now: one datagram bears both."""
        if self.acting and self.say_at - now < JOIN * self.duty.good_for / ROUNDS:
            self.say_at = min(now, self.say_at)

    def _order(self, now: float, member: str) -> said.Order:
        echo = self.stamps.get(member, 0)
        good_for = 0 if self.leaving else int(self.duty.good_for * 1000)
        if echo and good_for:
            self.bound[member] = now + self.settings.over(self.duty.good_for)
        return said.Order(self.token, self.number, good_for, echo, self.value)

    # What is heard

    def known_of(self, now: float, member: str, known: said.Known) -> None:
        """What a member took last."""
        if known.token != self.token:
            return
        self.known.add(member)
        self.stamps[member] = known.stamp
        if not known.fresh:
            self.witnesses.add(member)
        if not self.acting and (known.taken, known.number) > self.best:
            self.best, self.value = (known.taken, known.number), known.value

    def may_begin(self, now: float) -> bool:
        """Whether to act from now on."""
        settings, members = self.settings, len(self.settings.members)
        if self.acting or self.leaving:
            return False
        everybody = len(self.known) == members
        witnessed = len(self.witnesses) >= settings.majority
        # without a memory anywhere there is nothing to be forgotten
        waited = len(self.known) >= settings.majority and now >= self.patience
        self.guessed = waited and not (everybody or witnessed)
        return (everybody or witnessed or waited) and (everybody or now >= self.clear_at)

    def begin(self, now: float) -> None:
        """Its orders are its own from now on."""
        self.acting = True
        self.number = 1
        self.say_at = now
        self.heard = dict.fromkeys(self.known, now)

    def place(self, now: float, value: Value) -> int:
        """Another state, to be ordered at once; answers with its number."""
        self.number += 1
        self.value = value
        self.say_at = now
        return self.number

    def taken_by(self, now: float, member: str, taken: said.Taken) -> tuple[Message | None, bool]:
        """A member has heard an order. Answers with a word that it is owed at once, as it could not take that
        one for want of a stamp, and whether a majority has now taken a later order than before."""
        if taken.token != self.token or not (self.acting or self.leaving):
            return None, False
        before = self.stamps.get(member, 0)
        # the latest that came, not the highest: a process that has started anew counts anew
        self.stamps[member] = taken.stamp
        if self.leaving:
            if taken.number == self.number:
                self.bound.pop(member, None)
            return None, False
        if not taken.kept:
            again = self.heard.get(member, -math.inf) < now - self.duty.good_for / ROUNDS / 2
            return (self._order(now, member) if again and taken.stamp != before else None), False
        self.heard[member] = now
        self.taken[member] = max(taken.number, self.taken.get(member, 0))
        counts = sorted(self.taken.values(), reverse=True)
        least = counts[self.settings.majority - 1] if len(counts) >= self.settings.majority else 0
        grown, self.settled = least > self.settled, max(least, self.settled)
        return None, grown

    def unheard_for(self, now: float) -> float:
        """Seconds since a majority of the members last answered."""
        if not self.acting:
            return 0.0
        times = sorted(self.heard.values(), reverse=True)
        needed = self.settings.majority
        return now - times[needed - 1] if len(times) >= needed else now - self.began

    def alive(self, now: float) -> set[str]:
        """Members that answered lately."""
        return {m for m, at in self.heard.items() if now - at <= self.duty.good_for}

    # Letting go

    def revoke(self, now: float) -> Iterable[tuple[str, Message]]:
        """Orders that end all orders, for those that may obey one."""
        self.bound = {member: until for member, until in self.bound.items() if now < until}
        if not self.leaving:
            self.leaving = True
            self.number += 1
            self.say_at = now
        if now >= self.say_at:
            self.say_at = now + self.settings.heartbeat / 4
            for member in self.bound:
                yield member, self._order(now, member)

    def clear(self, now: float) -> bool:
        """Whether nobody obeys an order of this holding any more."""
        return not any(now < until for until in self.bound.values())

    def next(self, now: float) -> float:
        """When something is due."""
        if self.leaving:
            return min([self.say_at, *self.bound.values()]) if self.bound else now
        if self.acting:
            times = sorted(self.heard.values(), reverse=True)
            needed = self.settings.majority
            heard = times[needed - 1] if len(times) >= needed else self.began
            return min(self.say_at, heard + self.settings.unheard)
        later = [at for at in (self.clear_at, self.patience) if at > now]
        return min([self.say_at, *later])
