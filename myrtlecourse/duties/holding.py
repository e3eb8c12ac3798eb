"""What a duty's holder does with its lease: learns the last orders, sends its own, and finally revokes them.

A new holder first surveys the members: each reports the last order that it accepted, and from then on refuses
orders of earlier holders. The holder continues from the highest order among the reports, so that what a
majority accepted is neither forgotten nor done twice (the first phase of Paxos; Lamport, 1998). In the terms
of Paxos, Survey is the prepare message and Known the promise, Order is the accept message and Taken with
`kept` the accepted message.

The survey ends when all members have answered, or a majority that has not lost its memory; after a wait, any
majority of the members is enough. The holder also acts only once no member can obey the previous holder any
more: all members have answered, or the validity of the previous holder's last order has ended on every clock.

A member puts a stamp, a time on its own clock, in each answer. An order repeats the last stamp received from
its receiver (`echo`), and its validity counts from that stamp. So a member obeys only an order that repeats a
recent stamp of its own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from myrtlecourse.duties import messages
from myrtlecourse.duties.messages import Duty, Message, Settings, Value

# part of the time between two orders; an order that is due within this time may be sent early
EARLY_WINDOW = 0.6
# orders sent during the validity of one, so that one of them, or its answer, may be lost
ORDERS_PER_VALIDITY = 4


class Holding:
    """One process's holding of one duty, under one token."""

    def __init__(
        self, settings: Settings, duty: Duty, token: int, now: float, previous_orders_ended: bool
    ) -> None:
        """`previous_orders_ended`: the previous holder has reported that no member obeys its orders any
        more."""
        self.settings = settings
        self.duty = duty
        self.token = token
        self.started_at = now
        # from this time on, no member obeys an order of the previous holder
        self.safe_from = now if previous_orders_ended else now + settings.order_lifetime(duty.good_for)
        # until this time, the survey waits for a majority of members that have not lost their memory
        self.ask_until = now + 2 * settings.order_lifetime(settings.lease + duty.good_for)
        self.acting = False
        # whether too few members remembered their last order, so that the duty's state may have been lost
        self.state_uncertain = False
        self.revoking = False
        self.number = 0  # number of the last order; 0 before the first
        self.value: Value = duty.initial_state
        self.highest_order = (-1, -1)  # token and number of the highest order that was reported
        self.answered: set[str] = set()  # members that have answered
        self.remembering: set[str] = set()  # members that have answered and have not lost their memory
        self.last_stamps: dict[str, int] = {}  # member -> the last stamp received from it
        self.accepted: dict[str, int] = {}  # member -> the highest number of an order that it accepted
        # member -> when its last acceptance arrived; at first, for members that answered the survey, the time
        # when the holder started to act
        self.last_accepted: dict[str, float] = {}
        # member -> until when it may obey an order of this holding
        self.may_obey_until: dict[str, float] = {}
        self.committed = 0  # highest number of an order that a majority of the members has accepted
        self.send_at = now

    def change_settings(self, settings: Settings) -> None:
        """Apply settings with other members.

        The answers of members that were removed no longer count, as the new majorities do not contain them.
        `may_obey_until` keeps these members: `revoke` and `nobody_obeys` still consider them.
        """
        self.settings = settings
        members = set(settings.members)
        self.answered &= members
        self.remembering &= members
        for by_member in (self.last_stamps, self.accepted, self.last_accepted):
            for member in by_member.keys() - members:
                del by_member[member]

    # Sending

    def messages_due(self, now: float) -> Iterable[tuple[str, Message]]:
        """Yield the messages to each member, if it is time for them."""
        if now < self.send_at or self.revoking:
            return
        self.send_at = (
            now + self.duty.good_for / ORDERS_PER_VALIDITY
            if self.acting
            else now + self.settings.heartbeat / 2
        )
        for member in self.settings.members:
            if self.acting:
                yield member, self._order_for(now, member)
            elif member not in self.answered:
                yield member, messages.Survey(self.token)

    def schedule_orders_early(self, now: float) -> None:
        """Make the next orders due now if they are due soon: another holding sends orders now, and they then
        share a datagram."""
        if self.acting and self.send_at - now < EARLY_WINDOW * self.duty.good_for / ORDERS_PER_VALIDITY:
            self.send_at = min(now, self.send_at)

    def _order_for(self, now: float, member: str) -> messages.Order:
        echo = self.last_stamps.get(member, 0)
        good_for = 0 if self.revoking else int(self.duty.good_for * 1000)
        if echo and good_for:
            self.may_obey_until[member] = now + self.settings.order_lifetime(self.duty.good_for)
        return messages.Order(self.token, self.number, good_for, echo, self.value)

    # Receiving

    def on_known(self, now: float, member: str, known: messages.Known) -> None:
        """Handle a member's answer to the survey: its report of the last order that it accepted."""
        if known.token != self.token:
            return
        self.answered.add(member)
        self.last_stamps[member] = known.stamp
        if not known.fresh:  # `fresh`: it started without a memory and has accepted no order since
            self.remembering.add(member)
        if not self.acting and (known.taken, known.number) > self.highest_order:
            self.highest_order, self.value = (known.taken, known.number), known.value

    def may_start_acting(self, now: float) -> bool:
        """Return whether the holder may start to act now. Also sets `state_uncertain`."""
        settings, members = self.settings, len(self.settings.members)
        if self.acting or self.revoking:
            return False
        all_answered = len(self.answered) == members
        enough_remember = len(self.remembering) >= settings.majority
        # In a fleet without disks, a majority that remembers may never be found. After the wait a majority of
        # answers is enough: if no member has a memory, there is nothing that could be forgotten.
        waited_long_enough = len(self.answered) >= settings.majority and now >= self.ask_until
        self.state_uncertain = waited_long_enough and not (all_answered or enough_remember)
        return (all_answered or enough_remember or waited_long_enough) and (
            all_answered or now >= self.safe_from
        )

    def start_acting(self, now: float) -> None:
        """Start to act: from now on the holder sends orders of its own.

        The members that answered the survey count as having accepted an order now, so that `unanswered_for`
        counts from now while they have not yet accepted the first one.
        """
        self.acting = True
        self.number = 1
        self.send_at = now
        self.last_accepted = dict.fromkeys(self.answered, now)

    def set_state(self, now: float, value: Value) -> int:
        """Set another state, which is ordered at once, and return the number of the order."""
        self.number += 1
        self.value = value
        self.send_at = now
        return self.number

    def on_taken(self, now: float, member: str, taken: messages.Taken) -> tuple[Message | None, bool]:
        """Handle a member's answer to an order.

        Return an order to send again at once, or None; and whether a majority has now accepted a later order
        than before. An order is sent again, with the stamp of this answer, if the member did not accept the
        last one, has accepted none recently, and has sent a new stamp.
        """
        if taken.token != self.token or not (self.acting or self.revoking):
            return None, False
        previous_stamp = self.last_stamps.get(member, 0)
        # the latest stamp counts, not the highest, as a restarted member counts from another random number
        self.last_stamps[member] = taken.stamp
        if self.revoking:
            if taken.number == self.number:
                self.may_obey_until.pop(member, None)
            return None, False
        if not taken.kept:
            order_again = (
                self.last_accepted.get(member, -math.inf) < now - self.duty.good_for / ORDERS_PER_VALIDITY / 2
            )
            return (
                self._order_for(now, member) if order_again and taken.stamp != previous_stamp else None
            ), False
        self.last_accepted[member] = now
        self.accepted[member] = max(taken.number, self.accepted.get(member, 0))
        numbers = sorted(self.accepted.values(), reverse=True)
        majority_number = numbers[self.settings.majority - 1] if len(numbers) >= self.settings.majority else 0
        advanced, self.committed = majority_number > self.committed, max(majority_number, self.committed)
        return None, advanced

    def unanswered_for(self, now: float) -> float:
        """Return for how many seconds no majority of the members has accepted an order; 0 before acting."""
        if not self.acting:
            return 0.0
        times = sorted(self.last_accepted.values(), reverse=True)
        needed = self.settings.majority
        return now - times[needed - 1] if len(times) >= needed else now - self.started_at

    def responsive_members(self, now: float) -> set[str]:
        """Return the members whose last acceptance is at most the validity of an order ago."""
        return {m for m, at in self.last_accepted.items() if now - at <= self.duty.good_for}

    # Stepping down

    def revoke(self, now: float) -> Iterable[tuple[str, Message]]:
        """Yield revocations (orders without validity) for the members that may still obey an order."""
        self.may_obey_until = {member: until for member, until in self.may_obey_until.items() if now < until}
        if not self.revoking:
            self.revoking = True
            self.number += 1
            self.send_at = now
        if now >= self.send_at:
            self.send_at = now + self.settings.heartbeat / 4
            for member in self.may_obey_until:
                yield member, self._order_for(now, member)

    def nobody_obeys(self, now: float) -> bool:
        """Whether no member obeys an order of this holding any more."""
        return not any(now < until for until in self.may_obey_until.values())

    def next_due(self, now: float) -> float:
        """Return when something is due next."""
        if self.revoking:
            return min([self.send_at, *self.may_obey_until.values()]) if self.may_obey_until else now
        if self.acting:
            times = sorted(self.last_accepted.values(), reverse=True)
            needed = self.settings.majority
            last_answer = times[needed - 1] if len(times) >= needed else self.started_at
            return min(self.send_at, last_answer + self.settings.unheard)
        deadlines = [at for at in (self.safe_from, self.ask_until) if at > now]
        return min([self.send_at, *deadlines])
