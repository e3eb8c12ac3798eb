"""What a member does with the orders of a duty's holders: it obeys each for its validity and drops outdated
ones.

A stamp is a time on this member's own clock, which it sends to the holder with each answer. An order repeats
the last stamp that the holder has received, and its validity counts from that stamp. So an order that waited
in a queue, or comes from a holder that has been stopped since, is never obeyed for longer than its holder
intended, whatever the machines' clocks show (leases as those of Gray and Cheriton, 1989, in the opposite
direction). The token is a fencing token (Burrows, 2006, calls it a sequencer): an order with a lower token
than the highest one seen is dropped.
"""

from __future__ import annotations

import math

from myrtlecourse.duties import messages
from myrtlecourse.duties.messages import Memory, Message, ObeyedOrder

MILLISECONDS = 1000.0


class Member:
    """One member's part in one duty."""

    def __init__(self, duty: messages.Duty, stored: Memory | None, now: float, first_stamp: int) -> None:
        """`stored` is what the previous process stored, or None if nothing was; `first_stamp` is a large
        random number drawn at the process's start."""
        self.duty = duty
        memory = stored or Memory(value=duty.initial_state)
        self.promised = memory.promised
        self.token, self.number, self.value = memory.token, memory.number, memory.value
        # whether it started without a memory and has accepted no order since; such a member does not count
        # towards the majority that remembers the last order
        self.fresh = stored is None
        self.started_at = now
        self.first_stamp = first_stamp
        self.obeyed = ObeyedOrder()
        self.holder = ""  # the sender of the last order
        self.last_order_at = -math.inf  # when the last order was accepted
        # orders that were dropped because they came too late or from an earlier holder
        self.dropped_orders = 0
        self.expiry_reported = True  # whether the end of the last obeyed order was reported; True without one
        self.order_ended_at = math.inf  # when the last obeyed order ends, as known when it was accepted

    def stamp(self, now: float) -> int:
        """Return the time in milliseconds as this process counts it.

        It starts at a random number, so that a stamp of the previous process, which a holder may still
        repeat, is not taken for one of this process; it would lie in the future, and the order would be
        obeyed for too long.
        """
        return self.first_stamp + int((now - self.started_at) * MILLISECONDS)

    def order_in_force(self, now: float) -> ObeyedOrder | None:
        """Return the order that is obeyed now, or None."""
        return self.obeyed if now < self.obeyed.until else None

    def survey(self, now: float, survey: messages.Survey) -> Message:
        """Answer a holder's survey with the last accepted order, and refuse lower tokens from now on."""
        if survey.token < self.promised:
            return messages.Outdated(self.promised)
        self.promised = survey.token
        if self.obeyed.token < survey.token:
            self.obeyed.until = -math.inf
        return messages.Known(survey.token, self.token, self.number, self.fresh, self.stamp(now), self.value)

    def order(self, now: float, sender: str, order: messages.Order) -> Message:
        """Accept an order and obey it while it is valid, or drop it if it is outdated. Return the answer."""
        if order.token < self.promised:
            self.dropped_orders += 1
            return messages.Outdated(self.promised)
        self.promised = order.token
        if self.obeyed.token < order.token:
            self.obeyed.until = -math.inf
        # an order that repeats no stamp of this process can't be obeyed; the answer supplies a new stamp
        until = -math.inf
        if self.first_stamp <= order.echo <= self.stamp(now):
            until = self.started_at + (order.echo - self.first_stamp + order.good_for) / MILLISECONDS
        is_older = (order.token, order.number) < (self.token, self.number)
        if is_older or (order.good_for and now >= until):
            self.dropped_orders += bool(order.echo)
            return messages.Taken(order.token, order.number, False, self.stamp(now))
        self.token, self.number, self.value = order.token, order.number, order.value
        self.fresh = False
        self.holder, self.last_order_at = sender, now
        if not order.good_for:
            until = -math.inf
        elif self.obeyed.token == order.token:
            until = max(until, self.obeyed.until)  # an order that repeats an earlier stamp may arrive later
        self.order_ended_at = until if until > -math.inf else now
        self.obeyed = ObeyedOrder(sender, order.token, order.number, order.value, until)
        return messages.Taken(order.token, order.number, True, self.stamp(now))

    def memory(self, term: int, voted: str) -> Memory:
        """Return what has to be stored, together with the election's term and vote."""
        return Memory(term, voted, self.promised, self.token, self.number, self.value)
