"""One process's part in the duties of a fleet, each of which one router holds at a time; events in, actions
out, no I/O.

Each duty has an election of its own (`election/core.py`) over the same voters, so that holders are
independent of each other. All messages to one process at one moment share a datagram, and one heartbeat
renews all leases of a holder. Orders are sent by `holding.py` and obeyed by `member.py`.

Terms: a holding is the time for which a process has the lease of a duty, under one token (the term in which
it was elected). An order tells all members the duty's state; a member obeys it for a limited time. An order
is committed once a majority of the members has accepted it. Acting means doing the duty's work.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from typing import Any

from myrtlecourse.duties import messages
from myrtlecourse.duties.holding import Holding
from myrtlecourse.duties.member import Member
from myrtlecourse.duties.messages import Duty, Item, Memory, Message, ObeyedOrder, Settings
from myrtlecourse.election import messages as election
from myrtlecourse.election.core import Election, Role
from myrtlecourse.election.request_ids import RequestIds

# largest factor of the pause after failed holdings, so that a router still campaigns occasionally for a duty
# that no router could hold so far
MAX_BRAKE_FACTOR = 16
ELECTION_MESSAGES = (
    *(election.Ask, election.Grant, election.Deny, election.Beat),
    *(election.Renew, election.Release, election.Take, election.Invite),
)


class Duties:
    """One process's part in all duties: its elections, its own holdings, and its membership."""

    def __init__(
        self, settings: Settings, saved: dict[str, Memory] | None, now: float, seed: int, term_floor: int = 0
    ) -> None:
        """`saved` is what the previous process stored, or None if there is no disk or nothing was stored.

        With None, terms start after `term_floor`, a number that grows with each start. Otherwise a majority
        of voters that have lost their memory could grant tokens a second time.
        """
        self.settings = settings
        self.now = now
        self.rng = random.Random(seed)
        self.request_ids = RequestIds(self.rng)
        self.duties: dict[str, Duty] = {}
        self.duty_names: dict[int, str] = {}  # number of a duty in datagrams -> its name
        self.elections: dict[str, Election] = {}
        self.members: dict[str, Member] = {}
        self.holdings: dict[str, Holding] = {}
        # duty -> latest time at which to release the lease of a holding whose orders are being revoked
        self.release_deadlines: dict[str, float] = {}
        # duty -> the latest term whose holder has reported that no member obeys its orders any more
        self.ended_terms: dict[str, int] = {}
        # duty -> consecutive holdings that ended because too few members answered
        self.failed_holdings: dict[str, int] = {}
        self.able = True  # whether this process can hold duties at present
        self.unable_duties: set[str] = set()  # duties that this process can't hold at present
        self.timers: dict[str, float] = {}  # duty -> when its election has something due
        self.held_without_orders: set[str] = set()  # duties without orders that this process holds
        self.actions: list[messages.Action] = []
        self.outgoing: dict[str, list[Item]] = defaultdict(list)  # member -> messages to it
        self.own_messages: deque[Item] = deque()  # messages of this process to itself
        # what handling the current event has led to
        self.save_needed = False
        self.heartbeat_sent = False
        self.order_sent = False
        first_stamp = self.rng.getrandbits(48) + 1
        for duty in settings.duties:
            memory = (saved or {}).get(duty.name)
            saved_vote = election.Saved(term_floor, "")
            if memory is not None:
                saved_vote = election.Saved(memory.term, memory.voted)
            election_seed = self.rng.getrandbits(32)
            self.duties[duty.name] = duty
            self.duty_names[duty.number] = duty.name
            self.elections[duty.name] = Election(
                settings.election(duty), saved_vote, now, election_seed, self.request_ids
            )
            self.members[duty.name] = Member(duty, memory, now, first_stamp)

    # Permissions at this moment

    def acting_token(self, now: float, name: str) -> int | None:
        """Return the token under which this process may act for a duty now, or None.

        Must be called before each effect, not once for several.
        """
        duty_election = self.elections[name]
        if not duty_election.holds(now):
            return None
        holding = self.holdings.get(name)
        if holding is None:
            return duty_election.term if name in self.held_without_orders else None
        return holding.token if holding.acting and not holding.revoking else None

    def order_in_force(self, now: float, name: str) -> ObeyedOrder | None:
        """Return the order that this member obeys now; None: the duty's safe default applies."""
        return self.members[name].order_in_force(now)

    # Events

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Handle one event and return the actions to be carried out, in order.

        Raises:
            DutiesError: the event is invalid; nothing was done.
        """
        self.now = max(now, self.now)
        self._validate(event)
        self.actions, self.outgoing = [], defaultdict(list)
        self.save_needed = self.heartbeat_sent = self.order_sent = False
        if not isinstance(event, messages.SettingsChanged):
            # expired leases and orders end first: a process that was stopped receives, when it resumes,
            # messages that were meant for it as a holder
            for name in self.elections:
                self._post_to_election(name, election.TimerFired())
        match event:
            case messages.MessagesReceived(sender, items):
                for number, message in items:
                    if number in self.duty_names and sender in self.settings.members:
                        self._on_message(self.duty_names[number], sender, message)
            case messages.AbilityReported():
                self._on_able(event)
            case messages.SetState(name, value):
                if self.acting_token(self.now, name) is not None:
                    self.holdings[name].set_state(self.now, value)
            case messages.Move(name, to):
                self._on_move(name, to)
            case messages.WorkStopped(name) if not self.duties[name].orders:
                self._post_to_election(name, election.Withdrawn())
            case messages.SettingsChanged(settings):
                self._on_changed(settings)
            case messages.TimerFired() | messages.WorkStopped():
                pass
        self._do_due_work()
        return self._collect_actions()

    def _collect_actions(self) -> list[messages.Action]:
        saves = [messages.Save({n: self._memory(n) for n in self.duties})] if self.save_needed else []
        sends = [messages.Send(to, tuple(items)) for to, items in self.outgoing.items() if items]
        return [*saves, *self.actions, *sends, messages.SetTimer(self._next_due())]

    def _memory(self, name: str) -> Memory:
        saved = self.elections[name].saved
        return self.members[name].memory(saved.term, saved.voted)

    def _send(self, name: str, to: str, message: Message) -> None:
        item = self.duties[name].number, message
        if to == self.settings.name:
            self.own_messages.append(item)
        else:
            self.outgoing[to].append(item)

    def _post_to_election(self, name: str, event: election.Event) -> None:
        self._carry_out(name, self.elections[name].handle(self.now, event))

    def _carry_out(self, name: str, actions: list[election.Action]) -> None:
        """Carry out the actions of a duty's election."""
        for action in actions:
            match action:
                case election.Save():
                    self.save_needed = True
                case election.Send(to, message):
                    self.heartbeat_sent = self.heartbeat_sent or isinstance(message, election.Beat)
                    self._send(name, to, message)
                case election.Announce(term):
                    self._on_won(name, term)
                case election.Withdraw(reason):
                    self._withdraw(name, reason)
                case election.SetTimer(at):
                    self.timers[name] = at

    # Holding

    def _on_won(self, name: str, term: int) -> None:
        """Start a holding, as this process has won the election of a duty."""
        duty = self.duties[name]
        if duty.orders:
            self.holdings[name] = Holding(
                self.settings, duty, term, self.now, self.ended_terms.get(name) == term - 1
            )
        else:
            self.held_without_orders.add(name)
            self.actions.append(messages.Acquired(name, term, ()))

    def _withdraw(self, name: str, reason: str) -> None:
        """Stop acting, as this process steps down, and start to revoke the orders in force."""
        holding = self.holdings.get(name)
        if name in self.held_without_orders:
            self.held_without_orders.discard(name)
            self.actions.append(messages.Lost(name, reason))
            return  # released at the event `WorkStopped`
        if holding is not None and holding.acting:
            self.actions.append(messages.Lost(name, reason))
        # long enough for the members to receive the revocation, and much shorter than the voters' promises,
        # which still hold
        self.release_deadlines[name] = self.now + 2 * self.settings.heartbeat

    def _release(self, name: str, holding: Holding) -> None:
        """Revoke the orders of a holding, and release its lease once no order is in force or the deadline
        for the release has passed."""
        for member, message in holding.revoke(self.now):
            self._send(name, member, message)
        all_clear = holding.nobody_obeys(self.now) and self.now >= holding.safe_from
        if all_clear or not holding.may_obey_until or self.now >= self.release_deadlines[name]:
            del self.holdings[name], self.release_deadlines[name]
            self._post_to_election(name, election.Withdrawn(all_clear))

    def _do_due_work(self) -> None:
        """Do everything that is due, for all duties."""
        for name in list(self.holdings):
            self._run_holding(name, self.holdings[name])
        while self.own_messages:
            self._deliver_own()
            for name in list(self.holdings):
                self._run_holding(name, self.holdings[name])
        if self.order_sent:
            for name, holding in list(self.holdings.items()):
                if name not in self.release_deadlines:
                    holding.schedule_orders_early(self.now)
                    self._run_holding(name, holding)
        self._deliver_own()
        if self.heartbeat_sent:
            for name, duty_election in self.elections.items():
                self._carry_out(name, duty_election.send_heartbeat_early(self.now))
        for name in self.members:
            self._report_expiry(name)

    def _deliver_own(self) -> None:
        """Deliver the messages of this process to itself, including its answers to them."""
        while self.own_messages:
            number, message = self.own_messages.popleft()
            self._on_message(self.duty_names[number], self.settings.name, message)

    def _report_expiry(self, name: str) -> None:
        """Report once that this member's order has expired, or was dropped in favour of a later holder."""
        member = self.members[name]
        if not member.expiry_reported and member.order_in_force(self.now) is None:
            member.expiry_reported = True
            self.actions.append(messages.ObeysNobody(name, min(self.now, member.order_ended_at)))

    def _run_holding(self, name: str, holding: Holding) -> None:
        """Do what is due for a holding: release it, resign, start to act, or send its messages."""
        if name in self.release_deadlines:
            self._release(name, holding)
            return
        if holding.unanswered_for(self.now) >= self.settings.unheard:
            failures = self.failed_holdings.get(name, 0)
            self.failed_holdings[name] = failures + 1
            pause = self.settings.brake * min(MAX_BRAKE_FACTOR, 2**failures)
            self._post_to_election(name, election.Resign("its orders are not heard by enough members", pause))
            return
        if holding.may_start_acting(self.now):
            holding.start_acting(self.now)
            self.actions.append(messages.Acquired(name, holding.token, holding.value))
        for member, message in holding.messages_due(self.now):
            self.order_sent = self.order_sent or holding.acting
            self._send(name, member, message)

    def _on_able(self, event: messages.AbilityReported) -> None:
        if not event.duty:
            self.able = event.able
        elif event.able:
            self.unable_duties.discard(event.duty)
        else:
            self.unable_duties.add(event.duty)
        for name in self.elections:
            self._post_to_election(
                name, election.AbilityReported(self.able and name not in self.unable_duties)
            )

    def _validate(self, event: messages.Event) -> None:
        """Check an event before anything is done for it, so that an invalid one disturbs no work in progress.

        Raises DutiesError.
        """
        match event:
            case messages.SetState(name, value):
                if self.acting_token(self.now, name) is None or name not in self.holdings:
                    raise messages.DutiesError(f"{name}: this process does not hold it")
                if len(value) > messages.MAX_STATE_LENGTH or any(
                    not 0 <= v < messages.STATE_NUMBER_LIMIT for v in value
                ):
                    raise messages.DutiesError(
                        f"{name}: a state has at most {messages.MAX_STATE_LENGTH} numbers, none negative"
                    )
            case messages.Move(name, to):
                if name not in self.duties:
                    raise messages.DutiesError(f"{name}: there is no duty of this name")
                if self.acting_token(self.now, name) is None:
                    raise messages.DutiesError(f"{name}: this process does not hold it")
                if to and to not in self.elections[name].settings.candidates:
                    raise messages.DutiesError(f"{name}: {to} is not a candidate for it")
                if to == self.settings.name:
                    raise messages.DutiesError(f"{name}: {to} already holds it")
            case messages.SettingsChanged(settings):
                self._check_change(settings)

    def _check_change(self, settings: Settings) -> None:
        if settings.name != self.settings.name or settings.duties != self.settings.duties:
            raise messages.DutiesError("name and duties can't change while a process runs")
        for field in ("members", "voters"):
            # a majority from before the change and one from after it must share a member
            if len(set(getattr(settings, field)) ^ set(getattr(self.settings, field))) > 1:
                raise messages.DutiesError(
                    f"{field}: add or remove one at a time; wait until all routers have the change"
                )
        for name, duty_election in self.elections.items():
            try:
                duty_election.check_change(self.now, settings.election(self.duties[name]))
            except election.ElectionError as e:
                raise messages.DutiesError(f"{name}: {e}") from e

    def _on_move(self, name: str, to: str) -> None:
        if self.acting_token(self.now, name) is None:
            return  # the lease has ended since the call was checked
        candidates = self.elections[name].settings.candidates
        holding = self.holdings.get(name)
        if not to and holding is not None:
            # names a successor that answers at present, as an election among all candidates takes longer
            responsive_members = holding.responsive_members(self.now)
            to = next((c for c in candidates if c in responsive_members and c != self.settings.name), "")
        self._post_to_election(name, election.Move(to))

    def _on_changed(self, settings: Settings) -> None:
        self.settings = settings
        for name in self.elections:
            self._post_to_election(name, election.SettingsChanged(settings.election(self.duties[name])))
        for holding in self.holdings.values():
            holding.change_settings(settings)

    # Messages

    def _on_message(self, name: str, sender: str, message: Message) -> None:
        if isinstance(message, ELECTION_MESSAGES):
            if isinstance(message, election.Take) and message.clear:
                self.ended_terms[name] = message.term
            self._post_to_election(name, election.MessageReceived(sender, message))
            return
        holding = self.holdings.get(name)
        match message:
            case messages.Survey() | messages.Order():
                self._on_holder_message(name, sender, message)
            case messages.Known() if holding is not None and name not in self.release_deadlines:
                holding.on_known(self.now, sender, message)
                if sender != self.settings.name:
                    self._run_holding(name, holding)
            case messages.Taken() if holding is not None:
                reply, advanced = holding.on_taken(self.now, sender, message)
                if reply is not None:
                    self._send(name, sender, reply)
                if advanced:
                    self.actions.append(messages.Committed(name, holding.token, holding.committed))
                    if holding.committed == holding.number:
                        self.failed_holdings.pop(name, None)
                if name in self.release_deadlines and sender != self.settings.name:
                    self._release(name, holding)
            case messages.Outdated(token) if (
                holding is not None and token > holding.token and name not in self.release_deadlines
            ):
                self._post_to_election(
                    name, election.Resign("there is a later holder", self.settings.heartbeat)
                )

    def _on_holder_message(self, name: str, sender: str, message: messages.Survey | messages.Order) -> None:
        """Apply a holder's message, and answers it once the changes that must persist are stored."""
        if sender not in self.elections[name].settings.candidates:
            return
        # an order that expired before this message arrived is reported first: if the process was stopped, the
        # message would hide that no order was obeyed for a time
        self._report_expiry(name)
        member = self.members[name]
        stored_before = member.promised, member.token, member.number, member.value
        previous_order = member.obeyed
        if isinstance(message, messages.Survey):
            answer = member.survey(self.now, message)
        else:
            answer = member.order(self.now, sender, message)
        self.save_needed |= stored_before != (member.promised, member.token, member.number, member.value)
        new_order = member.obeyed
        if new_order.token != previous_order.token:
            self._report_expiry(name)
            if not member.expiry_reported:
                # the member stops obeying the previous holder and will obey the next one
                self.actions.append(messages.ObeysNobody(name, self.now))
        if new_order is not previous_order and self.now < new_order.until:
            member.expiry_reported = False
            self.actions.append(
                messages.Obeys(
                    name,
                    new_order.holder,
                    new_order.token,
                    new_order.number,
                    new_order.value,
                    new_order.until,
                )
            )
        self._send(name, sender, answer)

    def _next_due(self) -> float:
        """Return when something is due next."""
        times = [*self.timers.values(), *(holding.next_due(self.now) for holding in self.holdings.values())]
        times += [self.release_deadlines[n] for n in self.release_deadlines if n in self.holdings]
        times += [m.obeyed.until for m in self.members.values() if not m.expiry_reported]
        return min(times)

    # For operators

    def status(self, now: float) -> dict[str, Any]:
        """Return the state of all duties for operators, ready for JSON. Times are in seconds."""
        rows = []
        for name, duty_election in self.elections.items():
            member, holding = self.members[name], self.holdings.get(name)
            order = member.order_in_force(now)
            rows.append(
                {
                    "duty": name,
                    "role": duty_election.role.value,
                    "acts": self.acting_token(now, name) is not None,
                    "holder": self.settings.name if duty_election.holds(now) else member.holder,
                    "token": duty_election.term if duty_election.role is Role.HOLDER else member.promised,
                    "lease_left_s": max(0.0, duty_election.lease_until - now)
                    if duty_election.role is Role.HOLDER
                    else 0.0,
                    "obeys": {"token": order.token, "number": order.number} if order is not None else None,
                    "state": list(member.value),
                    "order_age_s": round(now - member.last_order_at, 3) if member.holder else None,
                    "dropped_orders": member.dropped_orders,
                    "taken_by": dict(holding.accepted) if holding is not None else {},
                    "settled": holding.committed if holding is not None else 0,
                }
            )
        return {"name": self.settings.name, "voters": list(self.settings.voters), "duties": rows}
