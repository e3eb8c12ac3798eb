"""What a member does with the orders of a duty's holders: takes them, obeys each for its time, drops others.

An order is an answer. It repeats a stamp that this member gave, and is good for a time from then on by this
member's own clock: so no order that lay in a queue, or came from a holder that was stopped since, is obeyed
for longer than its holder meant, whatever the machines' clocks say (leases as Gray and Cheriton's, 1989, the
other way round). The token is the fence (Burrows, 2006, calls it a sequencer): what carries a lower one than
any that was heard is dropped.
"""

from __future__ import annotations

import math

from myrtlecourse.duties import messages
from myrtlecourse.duties.messages import Memory, Message, ObeyedOrder

MILLISECONDS = 1000.0


class Member:
    """One member's part in one duty."""

    def __init__(self, duty: messages.Duty, stored: Memory | None, now: float, first_stamp: int) -> None:
        """`saved` is what was written down by the process before, None where nothing was; `first_stamp` a
        large number drawn at the process's start."""
        self.duty = duty
        memory = stored or Memory(value=duty.initial_state)
        self.promised = memory.promised
        self.token, self.number, self.value = memory.token, memory.number, memory.value
        self.fresh = stored is None  # guards what others settled: who has forgotten it is no witness
        self.started_at = now
        self.first_stamp = first_stamp
        self.obeyed = ObeyedOrder()
        self.holder = ""  # who holds the duty, as was last heard
        self.last_order_at = -math.inf  # an order
        self.dropped_orders = 0  # orders that were dropped, as they came too late or from a holder before
        self.expiry_reported = True
        self.order_ended_at = math.inf  # when the last order obeyed ran out, as it was when it was obeyed

    def stamp(self, now: float) -> int:
        """The moment as this process counts it, in milliseconds.

        Guards against a holder that repeats a stamp of the process before this one: counted from this one's
        start it would lie ahead, and the order would be obeyed for as much too long.
        """
        return self.first_stamp + int((now - self.started_at) * MILLISECONDS)

    def order_in_force(self, now: float) -> ObeyedOrder | None:
        """What is to be done at this very moment."""
        return self.obeyed if now < self.obeyed.until else None

    def survey(self, now: float, survey: messages.Survey) -> Message:
        """A holder asks which order was taken last; from now on nothing with a lower token is."""
        if survey.token < self.promised:
            return messages.Outdated(self.promised)
        self.promised = survey.token
        if self.obeyed.token < survey.token:
            self.obeyed.until = -math.inf
        return messages.Known(survey.token, self.token, self.number, self.fresh, self.stamp(now), self.value)

    def order(self, now: float, sender: str, order: messages.Order) -> Message:
        """Take an order, and obey it if it is still good."""
        if order.token < self.promised:
            self.dropped_orders += 1
            return messages.Outdated(self.promised)
        self.promised = order.token
        if self.obeyed.token < order.token:
            self.obeyed.until = -math.inf
        # with a stamp that this process has not given: then the answer gives one
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
            until = max(until, self.obeyed.until)  # an answer to an earlier stamp may come later
        self.order_ended_at = until if until > -math.inf else now
        self.obeyed = ObeyedOrder(sender, order.token, order.number, order.value, until)
        return messages.Taken(order.token, order.number, True, self.stamp(now))

    def memory(self, term: int, voted: str) -> Memory:
        """What has to last."""
        return Memory(term, voted, self.promised, self.token, self.number, self.value)
